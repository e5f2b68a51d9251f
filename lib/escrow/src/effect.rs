//! What the embedding process has to do.

use std::time::Duration;

use snipegate_ledger::LedgerBatch;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;

use crate::claim::ReservationId;
use crate::counter::EscrowCounter;
use crate::message::EscrowMessage;
use crate::queue::BatchId;

/// An instruction or notice to the embedding process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EscrowEffect {
    /// Send `batch` to the keeper of its shard and report the outcome as
    /// `EscrowEvent::BatchEnded` with the same id.
    SendBatch {
        /// Identifies the batch in its shard.
        id: BatchId,
        /// What to send.
        batch: LedgerBatch,
    },
    /// Send a message to another router. It may be lost, delayed or doubled.
    SendPeer {
        /// The receiver.
        to: IncarnationId,
        /// What to send.
        message: EscrowMessage,
    },
    /// A waiting attempt now has its reservation.
    Admitted {
        /// The attempt.
        reservation: ReservationId,
    },
    /// A waiting attempt is refused; nothing is reserved.
    Refused {
        /// The attempt.
        reservation: ReservationId,
        /// The reason.
        code: ResultCode,
        /// When another attempt makes sense.
        retry_after: Duration,
    },
    /// The bill of a settled reservation can't be lost: the last part of the
    /// answer may go out.
    BillSafe {
        /// The settled reservation.
        reservation: ReservationId,
        /// The request.
        request: RequestId,
        /// What the request is billed, as far as is known here.
        amount: TokenCount,
    },
    /// The bill of a settled reservation could not be made safe in time: the
    /// answer ends as `bill_unconfirmed`, without its last part.
    BillUnsafe {
        /// The settled reservation.
        reservation: ReservationId,
        /// The request.
        request: RequestId,
        /// Whether the bill is certain never to be posted. If not, it may
        /// stand, and a retry under the same request id is not charged again.
        withdrawn: bool,
    },
    /// Everything held from a dead incarnation is in the ledger, and nothing
    /// more will be taken from it.
    FenceDone {
        /// The dead incarnation.
        dead: IncarnationId,
    },
    /// The ledger has taken back everything after `EscrowEvent::Stop`.
    Stopped,
    /// This incarnation was declared dead: the process has to end and start
    /// again as another incarnation.
    Closed,
    /// Add to a counter.
    Count {
        /// Which.
        counter: EscrowCounter,
        /// How many.
        count: u64,
    },
}
