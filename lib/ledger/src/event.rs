//! Input events and output effects of a shard keeper.

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

/// Identifies a batch until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// Identifies a store call until it completes; unique within one [`ShardKeeper`].
///
/// [`ShardKeeper`]: crate::ShardKeeper
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// An input of a shard keeper.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// The current membership assigns the shard to this keeper.
    KeeperChosen {
        /// The assigned keeper, or `None` if no keeper is up.
        keeper: Option<IncarnationId>,
    },
    /// A batch of operations arrived.
    Batch {
        /// Identifies the batch in the reply.
        id: BatchId,
        /// The operations.
        batch: LedgerBatch,
    },
    /// A swap or removal completed. Every call completes, possibly with an error.
    SwapCompleted {
        /// Identifies the call.
        call: StoreCallId,
        /// The result of the call.
        result: Result<SwapOutcome, StoreError>,
    },
    /// A read completed.
    ReadCompleted {
        /// Identifies the call.
        call: StoreCallId,
        /// The result of the call.
        result: Result<Option<StoredValue>, StoreError>,
    },
    /// A listing completed.
    ListCompleted {
        /// Identifies the call.
        call: StoreCallId,
        /// The result of the call.
        result: Result<StoreListing, StoreError>,
    },
    /// An incarnation of any role has been proven dead.
    ProvenDead {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// Answers [`KeeperEffect::ListRouters`].
    RoutersListed {
        /// The closing holder for which the routers were requested.
        dead: IncarnationId,
        /// All routers registered in the store, read after the request.
        routers: Vec<IncarnationId>,
    },
    /// A router has confirmed a fence: it accepts nothing more from a closing
    /// holder and has posted everything that it received from it.
    FenceConfirmed {
        /// The router.
        router: IncarnationId,
        /// The closing holder.
        dead: IncarnationId,
    },
    /// Periodic timer event, sent several times a second.
    Tick,
    /// The process is about to stop: it serves its shards until the next
    /// keepers take them over, and takes over no further shards.
    Leave,
    /// The process stops: the commit in flight is completed, then the shard is
    /// released.
    Stop,
}

/// An action that a shard keeper requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperEffect {
    /// Write a key with a compare-and-swap.
    Swap {
        /// Identifies the call.
        call: StoreCallId,
        /// The key.
        key: StoreKey,
        /// The version that the key must have.
        expected: ExpectedVersion,
        /// The value.
        value: Vec<u8>,
    },
    /// Read a key.
    Read {
        /// Identifies the call.
        call: StoreCallId,
        /// The key.
        key: StoreKey,
    },
    /// List the keys under a prefix.
    List {
        /// Identifies the call.
        call: StoreCallId,
        /// The prefix.
        prefix: StoreKey,
        /// The key after which the listing starts.
        after: Option<StoreKey>,
    },
    /// Remove a key; completes with [`KeeperEvent::SwapCompleted`].
    Remove {
        /// Identifies the call.
        call: StoreCallId,
        /// The key.
        key: StoreKey,
        /// The version that the key must have.
        expected: ExpectedVersion,
    },
    /// Answer a batch.
    Reply {
        /// The batch.
        batch: BatchId,
        /// The answer.
        answer: LedgerAnswer,
    },
    /// Ask a router to return idle tokens.
    RequestReturn {
        /// The router.
        holder: IncarnationId,
        /// The budget.
        budget: BudgetId,
        /// The number of tokens wanted.
        amount: TokenCount,
    },
    /// Read the registered routers from the store.
    ListRouters {
        /// The closing holder for which the routers are requested.
        dead: IncarnationId,
    },
    /// Ask a router to accept nothing more from a closing holder and to post
    /// everything that it received from it.
    RequestFence {
        /// The router.
        router: IncarnationId,
        /// The closing holder.
        dead: IncarnationId,
    },
    /// Report a state change to operators.
    Notice(KeeperNotice),
}

/// A state change of a keeper that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeeperNotice {
    /// This keeper took over the shard.
    TookOver {
        /// Position of the first segment written by this keeper.
        sequence: SegmentSequence,
    },
    /// A segment became durable.
    Committed {
        /// Its position.
        sequence: SegmentSequence,
        /// Its size in bytes.
        bytes: usize,
        /// Number of operations decided with it.
        operations: usize,
    },
    /// Another keeper wrote a segment at the position that this one was writing.
    LostShard {
        /// The other keeper.
        writer: IncarnationId,
    },
    /// This keeper released the shard.
    SteppedDown,
    /// A store call failed.
    StoreFailed {
        /// Delay until the next attempt.
        retry_after: Duration,
    },
    /// The store is available again.
    StoreRecovered,
    /// The log is incomplete or a value in the store could not be decoded.
    LogUnreadable,
    /// The holdings of a closing holder were reclaimed.
    Reclaimed {
        /// The holder.
        holder: IncarnationId,
    },
    /// A snapshot became durable.
    Snapshotted {
        /// The last segment that it covers.
        through: SegmentSequence,
        /// Its size in bytes.
        bytes: usize,
    },
}
