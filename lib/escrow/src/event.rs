//! What the embedding process reports.

use snipegate_ledger::LedgerAnswer;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::claim::ReservationId;
use crate::message::EscrowMessage;
use crate::peer::PeerEntry;
use crate::queue::BatchId;

/// How sending a batch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The keeper answered.
    Answered(LedgerAnswer),
    /// No answer came; the batch may or may not have taken effect.
    Lost,
}

/// Something that happened outside the escrow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EscrowEvent {
    /// A batch sent for `EscrowEffect::SendBatch` ended.
    BatchEnded {
        /// The shard.
        shard: ShardId,
        /// The id given with the batch.
        id: BatchId,
        /// How it ended.
        outcome: BatchOutcome,
    },
    /// A message came from another router.
    PeerSaid {
        /// The sender.
        from: IncarnationId,
        /// The message.
        message: EscrowMessage,
    },
    /// The routers that are up now, without this one.
    PeersChanged(Vec<PeerEntry>),
    /// The keeper asks for tokens that are idle here.
    RecallAsked {
        /// The budget.
        budget: BudgetId,
    },
    /// The keeper asks for confirmation that nothing more is taken from a
    /// dead incarnation.
    FenceAsked {
        /// The dead incarnation.
        dead: IncarnationId,
    },
    /// The caller of a waiting attempt has gone.
    WaitAbandoned(ReservationId),
    /// The process has begun its graceful stop.
    Stop,
    /// Time has passed; due at least every 50 ms.
    Tick,
}
