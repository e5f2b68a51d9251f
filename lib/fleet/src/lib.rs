//! Configuration, membership and addresses.
