//! The queue of operations to a shard's keeper.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerOperation;

/// Identifies a batch within its shard.
///
/// A batch that is sent again keeps its `first`, so that a late answer to an earlier
/// attempt is still accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BatchId {
    /// Position of the batch's first operation in the shard's queue.
    pub first: u64,
    /// Number of operations.
    pub count: usize,
}

/// A FIFO queue of operations with at most one batch in flight.
///
/// INVARIANT: an operation that was ever sent keeps its position in the queue until its
/// result is known.
#[derive(Debug, Default)]
pub(crate) struct ShardQueue {
    /// Operations with their positions. Positions of withdrawn operations are skipped.
    operations: VecDeque<(u64, LedgerOperation)>,
    /// Position of the next operation to be added.
    next_position: u64,
    /// Number of operations at the front that were ever sent.
    sent_count: usize,
    /// When the batch in flight was sent.
    in_flight_since: Option<Instant>,
    /// When the last batch was sent.
    last_sent: Option<Instant>,
    /// No batch is sent before this time.
    not_before: Option<Instant>,
    /// Failed attempts since the last result.
    failures: u32,
    /// Whether the shard has ever answered a batch with results.
    answered: bool,
}

impl ShardQueue {
    /// Returns the position that the next operation added will have.
    pub(crate) fn next_position(&self) -> u64 {
        self.next_position
    }

    pub(crate) fn push(&mut self, operation: LedgerOperation) {
        self.operations.push_back((self.next_position, operation));
        self.next_position += 1;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Returns the position of the front operation.
    pub(crate) fn front(&self) -> u64 {
        self.operations
            .front()
            .map_or(self.next_position, |(position, _)| *position)
    }

    /// Returns the position after the last matching operation.
    pub(crate) fn position_after_last(
        &self,
        matches: impl Fn(&LedgerOperation) -> bool,
    ) -> Option<u64> {
        let found = self.operations.iter().rfind(|(_, found)| matches(found));
        found.map(|(position, _)| position + 1)
    }

    /// Returns whether the last attempt succeeded and no answer has been outstanding for
    /// `timeout` or longer.
    pub(crate) fn is_reachable(&self, timeout: Duration, now: Instant) -> bool {
        self.failures == 0
            && self
                .in_flight_since
                .is_none_or(|sent| now.saturating_duration_since(sent) < timeout)
    }

    /// Removes matching operations that were never sent. Returns whether there were any.
    pub(crate) fn withdraw(&mut self, matches: impl Fn(&LedgerOperation) -> bool) -> bool {
        let before = self.operations.len();
        let unsent = self.operations.split_off(self.sent_count);
        self.operations
            .extend(unsent.into_iter().filter(|(_, found)| !matches(found)));
        self.operations.len() < before
    }

    /// Returns the batch to send now, if any, and marks it as in flight.
    ///
    /// A batch in flight for `timeout` is sent again. If the queue is empty, an empty batch
    /// is sent once the last one is `heartbeat` ago. A batch ends before the first skipped
    /// position.
    pub(crate) fn next_batch(
        &mut self,
        limit: usize,
        timeout: Duration,
        heartbeat: Duration,
        now: Instant,
    ) -> Option<(BatchId, Vec<LedgerOperation>)> {
        if let Some(sent) = self.in_flight_since {
            if now.saturating_duration_since(sent) < timeout {
                return None;
            }
            self.failures += 1;
        }
        let is_idle = self.operations.is_empty()
            && self
                .last_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) < heartbeat);
        if is_idle || self.not_before.is_some_and(|time| now < time) {
            return None;
        }
        let first = self.front();
        let contiguous = self
            .operations
            .iter()
            .zip(first..)
            .take(limit)
            .take_while(|((position, _), expected)| position == expected);
        let operations: Vec<_> = contiguous.map(|((_, found), _)| found.clone()).collect();
        let count = operations.len();
        self.sent_count = self.sent_count.max(count);
        self.in_flight_since = Some(now);
        self.last_sent = Some(now);
        Some((BatchId { first, count }, operations))
    }

    /// Removes and returns the operations of a batch that has results.
    ///
    /// Returns `None` if they were removed before.
    pub(crate) fn complete(&mut self, id: BatchId) -> Option<Vec<LedgerOperation>> {
        if id.first != self.front() || id.count > self.sent_count {
            return None;
        }
        self.sent_count -= id.count;
        self.in_flight_since = None;
        self.not_before = None;
        self.failures = 0;
        self.answered = true;
        let done = self.operations.drain(..id.count);
        Some(done.map(|(_, operation)| operation).collect())
    }

    /// Records that a batch got no results, and delays the next one.
    ///
    /// The delay starts at `delay` and doubles with each failure up to `max_delay`.
    pub(crate) fn record_failure(
        &mut self,
        id: BatchId,
        delay: Duration,
        max_delay: Duration,
        now: Instant,
    ) {
        if id.first != self.front() {
            return;
        }
        let delay = delay
            .saturating_mul(1 << self.failures.min(10))
            .min(max_delay.max(delay));
        self.in_flight_since = None;
        self.failures += 1;
        self.not_before = Some(now + delay);
    }

    /// Returns whether the shard has ever answered a batch with results.
    pub(crate) fn has_answered(&self) -> bool {
        self.answered
    }

    /// Returns whether the next batch repeats one without results.
    pub(crate) fn is_retrying(&self) -> bool {
        self.failures > 0
    }
}
