//! Effects for the embedding process to execute.

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

/// An action or notification for the embedding process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EscrowEffect {
    /// Send `batch` to the keeper of its shard and report the outcome with
    /// `EscrowEvent::BatchEnded` and the same id.
    SendBatch {
        /// Identifies the batch within its shard.
        id: BatchId,
        /// The operations to send.
        batch: LedgerBatch,
    },
    /// Send a message to another router. It may be lost, delayed or duplicated.
    SendPeerMessage {
        /// The receiver.
        to: IncarnationId,
        /// The message.
        message: EscrowMessage,
    },
    /// A waiting claim was admitted.
    Admitted {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A waiting claim was refused; nothing is reserved.
    Refused {
        /// The reservation.
        reservation: ReservationId,
        /// The reason.
        code: ResultCode,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The bill of a settled reservation is durable, so the last part of the response
    /// may be sent.
    BillSafe {
        /// The settled reservation.
        reservation: ReservationId,
        /// The request.
        request: RequestId,
        /// The billed amount as known to this router.
        amount: TokenCount,
    },
    /// The bill of a settled reservation could not be made durable in time. The
    /// response ends with `bill_unconfirmed`, without its last part.
    BillUnsafe {
        /// The settled reservation.
        reservation: ReservationId,
        /// The request.
        request: RequestId,
        /// Whether the bill was withdrawn and will never be posted. Otherwise it may
        /// still be charged, and a retry with the same request id is not charged again.
        withdrawn: bool,
    },
    /// Everything received from a dead incarnation is in the ledger, and its further
    /// messages are ignored.
    FenceCompleted {
        /// The dead incarnation.
        dead: IncarnationId,
    },
    /// All holdings were released to the ledger after `EscrowEvent::Stop`.
    Stopped,
    /// This incarnation was declared dead. The process must exit and restart as a new
    /// incarnation.
    Closed,
    /// Increment a counter.
    Count {
        /// The counter.
        counter: EscrowCounter,
        /// The increment.
        count: u64,
    },
}
