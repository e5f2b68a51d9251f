//! Grants held by a router: reservation, settlement, transfer, pending bills.
