//! Settings of a shard's keeper.

use std::time::Duration;

/// Settings of a shard's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// How long a batch may wait before it is answered as undecided.
    pub answer_within: Duration,
    /// Shortest time between two segments, which bounds the store's writes.
    pub commit_interval: Duration,
    /// Pause before the store is tried again after it failed.
    pub store_retry: Duration,
    /// Pause before a shard is taken over again after another keeper took it.
    pub takeover_pause: Duration,
    /// How long a leaving keeper goes on once another one is chosen.
    pub handover: Duration,
    /// How long request and operation ids are remembered at least.
    pub retry_window: Duration,
    /// Lost replies for one segment before it counts as a failure of the store.
    pub lost_reply_attempts: u32,
    /// Operations that may wait; more are answered as undecided.
    pub max_queued_operations: usize,
    /// Size of a segment, in bytes, above which no further batch joins it.
    pub max_segment_bytes: usize,
    /// Segments between two snapshots.
    pub snapshot_every: u64,
    /// Size of a snapshot part, in bytes.
    pub snapshot_part_bytes: usize,
    /// Pause between two recalls of the same budget.
    pub recall_interval: Duration,
    /// Pause before a router that has not confirmed a fence is asked again.
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
