//! What a shard's keeper is told and what it asks for.

use std::time::Duration;

use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

use crate::operation::LedgerAnswer;
use crate::operation::LedgerBatch;
use crate::record::SegmentSequence;

/// Names a batch until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// Names a call to the store until it has ended; unique for one [`ShardKeeper`].
///
/// [`ShardKeeper`]: crate::ShardKeeper
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a shard's keeper is told.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// Who should keep the shard, by the membership known here.
    Chosen {
        /// The keeper, if any is up.
        keeper: Option<IncarnationId>,
    },
    /// Operations arrived.
    Batch {
        /// Names the batch in the reply.
        id: BatchId,
        /// The operations.
        batch: LedgerBatch,
    },
    /// A swap or removal ended. Every call ends, with an error if need be.
    SwapEnded {
        /// The call.
        call: CallId,
        /// How it ended.
        result: Result<SwapOutcome, StoreError>,
    },
    /// A read ended.
    ReadEnded {
        /// The call.
        call: CallId,
        /// How it ended.
        result: Result<Option<StoredValue>, StoreError>,
    },
    /// A listing ended.
    ListEnded {
        /// The call.
        call: CallId,
        /// How it ended.
        result: Result<StoreListing, StoreError>,
    },
    /// An incarnation of any role is proven dead.
    ProvenDead {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// Answers [`KeeperEffect::ListRouters`].
    RoutersListed {
        /// The closing holder that it was asked for.
        dead: IncarnationId,
        /// Every router registered in the store, read after the question.
        routers: Vec<IncarnationId>,
    },
    /// A router takes nothing more from a closing holder and has posted all
    /// that it has from it.
    FenceAnswered {
        /// The router.
        router: IncarnationId,
        /// The closing holder.
        dead: IncarnationId,
    },
    /// Time has passed; comes several times a second.
    Tick,
    /// The process is about to stop: shards are decided on until their next
    /// keepers take them over, and no more are taken.
    Leave,
    /// The process stops: commits in flight end, then the shard is let go.
    Stop,
}

/// What a shard's keeper asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperEffect {
    /// Write a key.
    Swap {
        /// The call.
        call: CallId,
        /// The key.
        key: StoreKey,
        /// What must be true of the key.
        expected: ExpectedVersion,
        /// The value.
        value: Vec<u8>,
    },
    /// Read a key.
    Read {
        /// The call.
        call: CallId,
        /// The key.
        key: StoreKey,
    },
    /// List the keys under a prefix.
    List {
        /// The call.
        call: CallId,
        /// The prefix.
        prefix: StoreKey,
        /// The key to begin after.
        after: Option<StoreKey>,
    },
    /// Remove a key; ends as a swap does.
    Remove {
        /// The call.
        call: CallId,
        /// The key.
        key: StoreKey,
        /// What must be true of the key.
        expected: ExpectedVersion,
    },
    /// Answer a batch.
    Reply {
        /// The batch.
        batch: BatchId,
        /// The answer.
        answer: LedgerAnswer,
    },
    /// Ask a router to return what it holds idle.
    AskReturn {
        /// The router.
        holder: IncarnationId,
        /// The budget.
        budget: BudgetId,
        /// How much is wanted.
        amount: TokenCount,
    },
    /// Read from the store which routers are registered.
    ListRouters {
        /// The closing holder that it is asked for.
        dead: IncarnationId,
    },
    /// Ask a router to take nothing more from a closing holder and to post
    /// what it has from it.
    AskFence {
        /// The router.
        router: IncarnationId,
        /// The closing holder.
        dead: IncarnationId,
    },
    /// Something changed that operators want to know.
    Notice(KeeperNotice),
}

/// A change of a keeper's state.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeeperNotice {
    /// The shard was taken over.
    TookOver {
        /// Position of the first own segment.
        sequence: SegmentSequence,
    },
    /// A segment is durable.
    Committed {
        /// Its position.
        sequence: SegmentSequence,
        /// Its size in bytes.
        bytes: usize,
        /// Operations decided with it.
        operations: usize,
    },
    /// Another keeper wrote the position that this one was writing.
    LostShard {
        /// The other keeper.
        writer: IncarnationId,
    },
    /// The shard was let go.
    SteppedDown,
    /// The store failed.
    StoreFailed {
        /// When the next try is.
        retry_after: Duration,
    },
    /// The store works again.
    StoreRecovered,
    /// A value in the store could not be understood.
    LogUnreadable,
    /// A closing holder was reclaimed.
    Reclaimed {
        /// The holder.
        holder: IncarnationId,
    },
    /// A snapshot is durable.
    Snapshotted {
        /// The last segment that it covers.
        through: SegmentSequence,
        /// Its size in bytes.
        bytes: usize,
    },
}
