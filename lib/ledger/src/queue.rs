//! The queue of undecided batches, and group commit.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use snipegate_types::IncarnationId;

use crate::event::BatchId;
use crate::event::KeeperEffect;
use crate::event::KeeperNotice;
use crate::keeper::InternalWork;
use crate::keeper::KeeperStage;
use crate::keeper::ShardKeeper;
use crate::operation::CallOutcome;
use crate::operation::LedgerAnswer;
use crate::operation::LedgerBatch;
use crate::operation::LedgerOperation;
use crate::operation::OperationRefusal;
use crate::operation::OperationResult;
use crate::pending::WaitingBatch;
use crate::record::SegmentRecord;

/// Estimated size of the records of one operation in bytes.
const OPERATION_BYTES: usize = 64;

/// A batch that has not been decided yet.
#[derive(Debug)]
pub(crate) struct QueuedBatch {
    id: BatchId,
    batch: LedgerBatch,
    received_at: Instant,
}

/// Batches that have not been decided yet, oldest first.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    batches: VecDeque<QueuedBatch>,
    operations: usize,
}

impl BatchQueue {
    fn push(&mut self, queued: QueuedBatch) {
        self.operations += queued.batch.operations.len();
        self.batches.push_back(queued);
    }

    fn pop(&mut self) -> Option<QueuedBatch> {
        let queued = self.batches.pop_front()?;
        self.operations -= queued.batch.operations.len();
        Some(queued)
    }

    /// Removes and returns the oldest batch if it has waited for at least `limit`.
    fn pop_older(&mut self, limit: Duration, now: Instant) -> Option<QueuedBatch> {
        let oldest = self.batches.front()?;
        match now.duration_since(oldest.received_at) >= limit {
            true => self.pop(),
            false => None,
        }
    }

    fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }
}

impl ShardKeeper {
    pub(crate) fn has_work(&self) -> bool {
        !(self.queue.is_empty() && self.internal_work.is_empty())
    }

    pub(crate) fn enqueue(&mut self, id: BatchId, batch: LedgerBatch, now: Instant) {
        if !self.is_chosen() {
            return self.redirect(id);
        }
        let operations = self.queue.operations + batch.operations.len();
        let is_full = operations > self.settings.max_queued_operations;
        if self.store_failed || (is_full && !self.queue.is_empty()) {
            self.reply_undecided(id, self.settings.store_retry);
            return;
        }
        self.queue.push(QueuedBatch {
            id,
            batch,
            received_at: now,
        });
    }

    /// Decides queued batches if no segment is in flight and the commit interval
    /// has passed.
    pub(crate) fn decide_queue(&mut self, now: Instant) {
        while matches!(self.stage, KeeperStage::Serving(None))
            && self.has_work()
            && self.next_commit <= now
        {
            self.decide_group(now);
        }
    }

    fn decide_group(&mut self, now: Instant) {
        let mut records = Vec::new();
        let mut waiting = Vec::new();
        let mut bytes = 0;
        let mut operations = 0;
        self.ledger.begin_segment(self.committed.next());
        self.apply_internal_work(&mut records);
        while bytes < self.settings.max_segment_bytes
            && let Some(queued) = self.queue.pop()
        {
            operations += queued.batch.operations.len();
            bytes += estimate_size(&queued.batch);
            let results = self.decide_batch(&queued.batch, &mut records, now);
            waiting.push(WaitingBatch {
                id: queued.id,
                results,
                received_at: queued.received_at,
            });
        }
        if records.is_empty() {
            self.ledger.begin_segment(self.committed);
            let replies = waiting.into_iter().map(WaitingBatch::reply);
            self.effects.extend(replies);
            return;
        }
        let window = self.settings.retry_window;
        let contact = self.ledger.oldest_contact();
        let forget_before = self.segments.expire(self.running_time, window, contact);
        if let Some(forget_before) = forget_before {
            self.ledger.forget_ids(forget_before);
        }
        self.next_commit = now + self.settings.commit_interval;
        let pending = self.write_segment(false, records, waiting, operations);
        self.stage = KeeperStage::Serving(pending);
    }

    fn decide_batch(
        &mut self,
        batch: &LedgerBatch,
        records: &mut Vec<SegmentRecord>,
        now: Instant,
    ) -> Vec<OperationResult> {
        let results = self.ledger.apply_batch(batch, records);
        for (operation, result) in batch.operations.iter().zip(&results) {
            if let OperationResult::Refused(OperationRefusal::BudgetShort { .. }) = result {
                self.recall(&batch.sender, operation, now);
            }
        }
        results
    }

    fn recall(&mut self, sender: &IncarnationId, operation: &LedgerOperation, now: Instant) {
        if let LedgerOperation::Grant { budget, wanted, .. } = operation {
            let interval = self.settings.recall_interval;
            let asked = self
                .recalls
                .recall(&self.ledger, sender, budget, *wanted, now, interval);
            self.effects.extend(asked);
        }
    }

    fn apply_internal_work(&mut self, records: &mut Vec<SegmentRecord>) {
        for work in std::mem::take(&mut self.internal_work) {
            match work {
                InternalWork::Declare(holder) => {
                    if self.ledger.holder_state(&holder).is_some() {
                        let operation = LedgerOperation::DeclareDead { holder };
                        self.ledger.apply(&self.own_id, &operation, records);
                    }
                }
                InternalWork::Reclaim(holder) => {
                    self.ledger.reclaim_holder(&holder, records);
                    self.notice(KeeperNotice::Reclaimed { holder });
                }
            }
        }
    }

    /// Answers batches that have waited too long as undecided.
    ///
    /// Their operations may still take effect; a retry is recognized by its
    /// operation IDs.
    pub(crate) fn answer_overdue(&mut self, now: Instant) {
        let limit = self.settings.answer_within;
        let pause = self.settings.store_retry;
        if let Some(pending) = self.pending_segment() {
            let overdue: Vec<_> = pending
                .waiting
                .extract_if(.., |waiting| {
                    now.duration_since(waiting.received_at) >= limit
                })
                .collect();
            self.answer_undecided(overdue, pause);
        }
        while let Some(queued) = self.queue.pop_older(limit, now) {
            self.reply_undecided(queued.id, pause);
        }
    }

    /// Answers all queued batches as undecided.
    pub(crate) fn answer_queue_undecided(&mut self, pause: Duration) {
        while let Some(queued) = self.queue.pop() {
            self.reply_undecided(queued.id, pause);
        }
    }

    /// Redirects all queued batches to the shard's keeper.
    pub(crate) fn redirect_queue(&mut self) {
        while let Some(queued) = self.queue.pop() {
            self.redirect(queued.id);
        }
    }

    fn redirect(&mut self, batch: BatchId) {
        let keeper = self.chosen.clone().filter(|keeper| *keeper != self.own_id);
        let answer = LedgerAnswer::NotKeeper { keeper };
        self.effects.push(KeeperEffect::Reply { batch, answer });
    }

    pub(crate) fn answer_undecided(&mut self, waiting: Vec<WaitingBatch>, pause: Duration) {
        for waiting in waiting {
            self.reply_undecided(waiting.id, pause);
        }
    }

    fn reply_undecided(&mut self, batch: BatchId, pause: Duration) {
        let answer = LedgerAnswer::Undecided {
            retry_after_ms: pause.as_millis() as u64,
        };
        self.effects.push(KeeperEffect::Reply { batch, answer });
    }
}

/// Estimates the size in bytes of a batch's records in a segment.
fn estimate_size(batch: &LedgerBatch) -> usize {
    let operation_size = |operation: &LedgerOperation| match operation {
        LedgerOperation::Conclude {
            outcome: CallOutcome::Answered { body, .. },
            ..
        } => OPERATION_BYTES + 2 * body.len(),
        _ => OPERATION_BYTES,
    };
    batch.operations.iter().map(operation_size).sum()
}
