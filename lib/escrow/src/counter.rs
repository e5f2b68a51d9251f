//! Counters of escrow decisions.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// A counter of the escrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EscrowCounter {
    /// Claims admitted immediately.
    ReserveImmediate,
    /// Claims admitted after waiting.
    ReserveWaited,
    /// Refusals because the budget is exhausted.
    RefusedExhausted,
    /// Refusals because no tokens were obtained in time, though some may remain.
    RefusedUnreachable,
    /// Refusals because the ledger does not know the budget.
    RefusedUnknown,
    /// Refusals because the escrow is stopping or closed.
    RefusedStopping,
    /// Waiting claims abandoned by their caller.
    WaitAbandoned,
    /// Grants requested from the ledger.
    GrantAsked,
    /// Grants refused by the ledger.
    GrantRefused,
    /// Returns of unneeded tokens to the ledger.
    ReturnSent,
    /// Batches sent again because the answer was lost or undecided.
    BatchRetried,
    /// Transfer requests sent to peers.
    TransferAsked,
    /// Transfers started to peers.
    TransferGiven,
    /// Transfers sent again for lack of an acknowledgement.
    TransferResent,
    /// Transfers received.
    TransferReceived,
    /// Transfer requests of peers that were declined.
    TransferDeclined,
    /// Bills made safe by the ledger's result.
    BillSafeLedger,
    /// Bills made safe by copies on other routers.
    BillSafeCopies,
    /// Bills that charged nothing because the request was already billed.
    BillDuplicate,
    /// Unsafe bills that were withdrawn and never sent.
    BillWithdrawn,
    /// Unsafe bills that may still be posted.
    BillUnconfirmed,
    /// Copies of bills sent to other routers.
    CopySent,
    /// Copies of bills stored for other routers.
    CopyHeld,
    /// Copies of bills posted for other routers.
    CopyPosted,
    /// Messages ignored because their sender, or a router they depend on, is fenced.
    FencedMessage,
    /// Ledger results that violate the protocol.
    LedgerFault,
}
