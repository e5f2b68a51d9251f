//! Counters of decisions, one for each reason.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EscrowCounter {
    /// Reservations made at once.
    ReserveImmediate,
    /// Reservations made after a wait.
    ReserveWaited,
    /// Refusals: nothing is left in the budget.
    RefusedExhausted,
    /// Refusals: budget may remain but was not reached in time.
    RefusedUnreachable,
    /// Refusals: the ledger does not know the budget.
    RefusedUnknown,
    /// Refusals: the escrow is stopping or closed.
    RefusedStopping,
    /// Waiting attempts that their caller gave up.
    WaitAbandoned,
    /// Grants asked for.
    GrantAsked,
    /// Grants refused by the ledger.
    GrantRefused,
    /// Returns of idle tokens.
    ReturnSent,
    /// Batches sent again after a lost or undecided answer.
    BatchRetried,
    /// Requests for a transfer sent to peers.
    TransferAsked,
    /// Transfers given to peers.
    TransferGiven,
    /// Transfers sent again because the receiver has not acknowledged.
    TransferResent,
    /// Transfers received.
    TransferReceived,
    /// Requests for a transfer turned down.
    TransferDeclined,
    /// Bills safe because the ledger answered.
    BillSafeLedger,
    /// Bills safe because other data centres hold copies.
    BillSafeCopies,
    /// Bills that charged nothing, as the request was billed before.
    BillDuplicate,
    /// Bills that could not be made safe and were withdrawn.
    BillWithdrawn,
    /// Bills that could not be made safe and may have been posted.
    BillUnconfirmed,
    /// Copies of bills sent to other routers.
    CopySent,
    /// Copies of bills kept for other routers.
    CopyHeld,
    /// Copies of bills posted for other routers.
    CopyPosted,
    /// Messages ignored because their sender was declared dead.
    FencedMessage,
    /// Ledger refusals that the protocol rules out.
    LedgerFault,
}
