//! Settings of a shard keeper.

use std::time::Duration;

/// Settings of a [`ShardKeeper`](crate::ShardKeeper).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Maximum time that a batch waits before it is answered as undecided.
    pub answer_within: Duration,
    /// Minimum time between two segments, which limits the write rate on the store.
    pub commit_interval: Duration,
    /// Delay before a store operation is retried after a failure.
    pub store_retry: Duration,
    /// Delay before the keeper retries to take over a shard that it lost to another keeper.
    pub takeover_pause: Duration,
    /// How long a leaving keeper continues to serve after another keeper is chosen.
    pub handover: Duration,
    /// Minimum time for which request and operation IDs are remembered.
    pub retry_window: Duration,
    /// Number of lost replies for one segment that counts as a store failure.
    pub lost_reply_attempts: u32,
    /// Maximum number of queued operations; further batches are answered as undecided.
    pub max_queued_operations: usize,
    /// Estimated segment size in bytes at which no further batch is added.
    pub max_segment_bytes: usize,
    /// Number of segments between two snapshots.
    pub snapshot_every: u64,
    /// Target size of a snapshot part in bytes.
    pub snapshot_part_bytes: usize,
    /// Minimum time between two recalls of the same budget.
    pub recall_interval: Duration,
    /// Delay before a fence request is repeated to a router that has not confirmed it.
    pub fence_retry: Duration,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            answer_within: Duration::from_millis(1_000),
            commit_interval: Duration::from_millis(50),
            store_retry: Duration::from_millis(250),
            takeover_pause: Duration::from_millis(500),
            handover: Duration::from_millis(2_000),
            retry_window: Duration::from_secs(15 * 60),
            lost_reply_attempts: 3,
            max_queued_operations: 20_000,
            max_segment_bytes: 256 * 1024,
            snapshot_every: 2_000,
            snapshot_part_bytes: 512 * 1024,
            recall_interval: Duration::from_millis(200),
            fence_retry: Duration::from_millis(1_000),
        }
    }
}
