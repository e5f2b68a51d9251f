//! Events reported by the embedding process.

use snipegate_ledger::LedgerAnswer;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::claim::ReservationId;
use crate::message::EscrowMessage;
use crate::peer::PeerEntry;
use crate::queue::BatchId;

/// The outcome of sending a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The keeper answered.
    Answered(LedgerAnswer),
    /// No answer arrived; the batch may or may not have taken effect.
    Lost,
}

/// An input event of the escrow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EscrowEvent {
    /// The outcome of a batch sent for `EscrowEffect::SendBatch`.
    BatchEnded {
        /// The shard of the batch.
        shard: ShardId,
        /// The id from the effect.
        id: BatchId,
        /// The outcome.
        outcome: BatchOutcome,
    },
    /// A message from another router arrived.
    PeerMessageReceived {
        /// The sender.
        from: IncarnationId,
        /// The message.
        message: EscrowMessage,
    },
    /// The list of other running routers changed.
    PeersChanged(Vec<PeerEntry>),
    /// The keeper asks for the return of unused tokens.
    RecallRequested {
        /// The budget that is short.
        budget: BudgetId,
    },
    /// The keeper asks to fence a dead incarnation: to ignore its messages, and to
    /// confirm with `EscrowEffect::FenceCompleted`.
    FenceRequested {
        /// The dead incarnation.
        dead: IncarnationId,
    },
    /// The caller of a waiting claim disconnected.
    WaitAbandoned(ReservationId),
    /// The process begins its graceful shutdown.
    Stop,
    /// Runs due timers. Must be sent at least every 50 ms.
    Tick,
}
