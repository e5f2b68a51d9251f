//! Operations on their way to one shard's keeper.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerOperation;

/// Identifies a batch in its shard.
///
/// A batch sent again has the same `first`, so that a late answer to the
/// first copy still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BatchId {
    /// Position of the batch's first operation among all of the shard's.
    pub first: u64,
    /// How many operations it has.
    pub count: usize,
}

/// A first-in first-out queue with at most one batch on its way.
///
/// INVARIANT: an operation that was sent once stays, at its position, until
/// its result is known.
#[derive(Debug, Default)]
pub(crate) struct ShardQueue {
    /// Operations by position; where one was withdrawn its position stays empty.
    operations: VecDeque<(u64, LedgerOperation)>,
    /// Position of the next operation to be added.
    next: u64,
    /// How many operations at the front were ever sent.
    sent: usize,
    /// When the batch on its way was sent.
    on_its_way: Option<Instant>,
    /// When a batch was last sent.
    last_sent: Option<Instant>,
    /// No batch is sent before this time.
    not_before: Option<Instant>,
    /// Attempts without a result since the last result.
    failures: u32,
    /// Whether any batch had a result.
    heard: bool,
}

impl ShardQueue {
    /// Returns the position that the next operation added will have.
    pub(crate) fn next_position(&self) -> u64 {
        self.next
    }

    pub(crate) fn push(&mut self, operation: LedgerOperation) {
        self.operations.push_back((self.next, operation));
        self.next += 1;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Returns the position of the front operation.
    pub(crate) fn front(&self) -> u64 {
        self.operations
            .front()
            .map_or(self.next, |(position, _)| *position)
    }

    /// Returns the position after the last operation that matches.
    pub(crate) fn end_of(&self, matches: impl Fn(&LedgerOperation) -> bool) -> Option<u64> {
        let found = self.operations.iter().rfind(|(_, found)| matches(found));
        found.map(|(position, _)| position + 1)
    }

    /// Tells whether answers come: none is overdue by more than `patience`.
    pub(crate) fn is_reachable(&self, patience: Duration, now: Instant) -> bool {
        self.failures == 0
            && self
                .on_its_way
                .is_none_or(|sent| now.saturating_duration_since(sent) < patience)
    }

    /// Removes the operations that match and were never sent.
    pub(crate) fn withdraw(&mut self, matches: impl Fn(&LedgerOperation) -> bool) -> bool {
        let before = self.operations.len();
        let unsent = self.operations.split_off(self.sent);
        self.operations
            .extend(unsent.into_iter().filter(|(_, found)| !matches(found)));
        self.operations.len() < before
    }

    /// Returns the batch to send now, if one is due.
    pub(crate) fn next_batch(
        &mut self,
        limit: usize,
        timeout: Duration,
        heartbeat: Duration,
        now: Instant,
    ) -> Option<(BatchId, Vec<LedgerOperation>)> {
        if let Some(sent) = self.on_its_way {
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
        let adjoining = self
            .operations
            .iter()
            .zip(first..)
            .take(limit)
            .take_while(|((position, _), expected)| position == expected);
        let operations: Vec<_> = adjoining.map(|((_, found), _)| found.clone()).collect();
        let count = operations.len();
        self.sent = self.sent.max(count);
        self.on_its_way = Some(now);
        self.last_sent = Some(now);
        Some((BatchId { first, count }, operations))
    }

    /// Takes out the operations that `id` names, if they are still waiting
    /// for their results.
    pub(crate) fn complete(&mut self, id: BatchId) -> Option<Vec<LedgerOperation>> {
        if id.first != self.front() || id.count > self.sent {
            return None;
        }
        self.sent -= id.count;
        self.on_its_way = None;
        self.not_before = None;
        self.failures = 0;
        self.heard = true;
        let done = self.operations.drain(..id.count);
        Some(done.map(|(_, operation)| operation).collect())
    }

    /// Notes that the batch `id` has no result and waits before the next one.
    pub(crate) fn fail(&mut self, id: BatchId, pause: Duration, longest: Duration, now: Instant) {
        if id.first != self.front() {
            return;
        }
        let pause = pause
            .saturating_mul(1 << self.failures.min(10))
            .min(longest.max(pause));
        self.on_its_way = None;
        self.failures += 1;
        self.not_before = Some(now + pause);
    }

    /// Tells whether the shard has ever answered.
    pub(crate) fn is_heard(&self) -> bool {
        self.heard
    }

    /// Tells whether the next batch repeats one that had no result.
    pub(crate) fn is_retrying(&self) -> bool {
        self.failures > 0
    }
}
