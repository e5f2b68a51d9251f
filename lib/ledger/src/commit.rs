//! How a keeper brings its segments into the store.

use std::time::Duration;
use std::time::Instant;

use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::event::KeeperNotice;
use crate::keeper::KeeperStage;
use crate::keeper::OwnWork;
use crate::keeper::ShardKeeper;
use crate::pending::PendingSegment;
use crate::pending::PendingStep;
use crate::pending::WaitingBatch;
use crate::record::Segment;
use crate::record::SegmentRecord;
use crate::trail::SegmentTrace;

impl ShardKeeper {
    /// Writes an empty segment after the last one that is known, so that an
    /// earlier keeper finds its next position taken.
    pub(crate) fn write_fence(&mut self, now: Instant) {
        let pending = self.open_segment(true, Vec::new(), Vec::new(), 0);
        match pending {
            Some(pending) => self.stage = KeeperStage::Fencing(pending),
            None => self.pause(now),
        }
    }

    /// Makes and sends the segment after the last durable one.
    pub(crate) fn open_segment(
        &mut self,
        fence: bool,
        records: Vec<SegmentRecord>,
        waiting: Vec<WaitingBatch>,
        operations: usize,
    ) -> Option<PendingSegment> {
        self.next_nonce += 1;
        let segment = Segment {
            writer: self.own.clone(),
            nonce: self.next_nonce,
            fence,
            forget_before: self.ledger.forget_before(),
            records,
        };
        let bytes = segment.encode().ok()?;
        self.declare_opened(&segment.records);
        let call = self.new_call();
        let mut pending = PendingSegment {
            sequence: self.committed.next(),
            nonce: segment.nonce,
            bytes,
            waiting,
            operations,
            closes_holder: closes_holder(&segment.records),
            step: PendingStep::Swapping(call),
            attempts: 0,
        };
        self.effects.push(pending.swap(self.shard, call));
        Some(pending)
    }

    /// Declares holders dead that are named for the first time after their
    /// death was proven.
    fn declare_opened(&mut self, records: &[SegmentRecord]) {
        let opened = records.iter().filter_map(|record| match record {
            SegmentRecord::OpenHolder { incarnation } => Some(incarnation),
            _ => None,
        });
        let dead = opened.filter(|incarnation| self.proven_dead.contains(*incarnation));
        self.own_work.extend(dead.cloned().map(OwnWork::Declare));
    }

    pub(crate) fn end_swap(
        &mut self,
        call: CallId,
        result: Result<SwapOutcome, StoreError>,
        now: Instant,
    ) {
        let Some(pending) = self.pending_at(PendingStep::Swapping(call)) else {
            return self.end_upkeep_swap(call, result, now);
        };
        match result {
            Ok(SwapOutcome::Swapped(revision)) => self.commit(revision, now),
            Ok(SwapOutcome::Conflict(Some(found))) => self.compare(&found, now),
            Ok(SwapOutcome::Conflict(None)) => self.check_slot(),
            Err(error) if error.may_have_applied() => {
                pending.attempts += 1;
                self.check_slot();
            }
            // The same bytes would be refused again.
            Err(StoreError::ValueTooLarge { .. }) => self.lose_shard(now),
            Err(error) => self.retry_later(&error, now),
        }
    }

    /// Reads the position, to learn whether the segment was written after all.
    fn check_slot(&mut self) {
        let call = self.new_call();
        let shard = self.shard;
        if let Some(pending) = self.pending_segment() {
            pending.step = PendingStep::Checking(call);
            let key = pending.sequence.key(shard);
            self.effects.push(KeeperEffect::Read { call, key });
        }
    }

    pub(crate) fn end_read(
        &mut self,
        call: CallId,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        match &mut self.stage {
            KeeperStage::Loading(load) if load.is_waiting_for(call) => {
                let progress = load.end_read(result);
                self.progress_load(progress, now);
            }
            KeeperStage::Verifying { call: waiting } if *waiting == call => {
                self.end_verify(result, now);
            }
            _ => self.end_check(call, result, now),
        }
    }

    fn end_verify(&mut self, result: Result<Option<StoredValue>, StoreError>, now: Instant) {
        let found = match result {
            Ok(found) => found.map(|found| found.revision),
            Err(error) => {
                let pause = self.fail_store(&error);
                self.stage = KeeperStage::Pausing { until: now + pause };
                return;
            }
        };
        let known = self.head.as_ref().map(|(_, revision)| *revision);
        match found == known {
            true => self.serve(now),
            false => self.load(now),
        }
    }

    fn end_check(
        &mut self,
        call: CallId,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        let max_attempts = self.settings.lost_reply_attempts;
        let Some(pending) = self.pending_at(PendingStep::Checking(call)) else {
            return;
        };
        match result {
            Ok(Some(found)) => self.compare(&found, now),
            Ok(None) if pending.attempts < max_attempts => self.swap_again(),
            Ok(None) => self.retry_later(&StoreError::ReplyLost, now),
            Err(error) => self.retry_later(&error, now),
        }
    }

    pub(crate) fn end_list(
        &mut self,
        call: CallId,
        result: Result<StoreListing, StoreError>,
        now: Instant,
    ) {
        match &mut self.stage {
            KeeperStage::Loading(load) if load.is_waiting_for(call) => {
                let progress = load.end_list(result);
                self.progress_load(progress, now);
            }
            _ => self.end_upkeep_list(call, result, now),
        }
    }

    /// Sends the same bytes to the same position again: whichever attempt
    /// takes effect first, the log holds the segment once.
    pub(crate) fn swap_again(&mut self) {
        let call = self.new_call();
        let shard = self.shard;
        if let Some(pending) = self.pending_segment() {
            let effect = pending.swap(shard, call);
            self.effects.push(effect);
        }
    }

    /// Decides whose segment lies at the position that was being written.
    fn compare(&mut self, found: &StoredValue, now: Instant) {
        let Ok(segment) = Segment::decode(&found.value) else {
            self.notice(KeeperNotice::LogUnreadable);
            return self.pause(now);
        };
        let Some(pending) = self.pending_segment() else {
            return;
        };
        let (sequence, nonce) = (pending.sequence, pending.nonce);
        if segment.writer == self.own && segment.nonce == nonce {
            return self.commit(found.revision, now);
        }
        self.notice(KeeperNotice::LostShard {
            writer: segment.writer.clone(),
        });
        match self.stage {
            // Nothing of its own is in the ledger yet, so that it can follow
            // the log and try the next position.
            KeeperStage::Fencing(_) if self.ledger.replay(sequence, &segment).is_ok() => {
                self.committed = sequence;
                self.trail.push(SegmentTrace {
                    sequence,
                    revision: found.revision,
                    is_fence: segment.fence,
                    seen: self.running,
                });
                self.write_fence(now);
            }
            _ => {
                self.yield_to(segment.writer);
                self.lose_shard(now);
            }
        }
    }

    /// The ledger holds changes that are not in the log, so it is dropped.
    fn lose_shard(&mut self, now: Instant) {
        self.pause(now);
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    fn commit(&mut self, revision: StoreRevision, now: Instant) {
        self.recover_store();
        let stage = std::mem::replace(&mut self.stage, KeeperStage::Serving(None));
        let (is_fence, pending) = match stage {
            KeeperStage::Fencing(pending) => (true, pending),
            KeeperStage::Serving(Some(pending)) => (false, pending),
            other => {
                self.stage = other;
                return;
            }
        };
        self.committed = pending.sequence;
        self.ledger.begin_segment(pending.sequence);
        self.trail.push(SegmentTrace {
            sequence: pending.sequence,
            revision,
            is_fence,
            seen: self.running,
        });
        if is_fence {
            return self.verify();
        }
        for waiting in pending.waiting {
            self.effects.push(waiting.reply());
        }
        self.notice(KeeperNotice::Committed {
            sequence: pending.sequence,
            bytes: pending.bytes.len(),
            operations: pending.operations,
        });
        if pending.closes_holder {
            self.begin_fences(now);
        }
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    fn retry_later(&mut self, error: &StoreError, now: Instant) {
        let pause = self.fail_store(error);
        let Some(pending) = self.pending_segment() else {
            return;
        };
        pending.step = PendingStep::Retrying(now + pause);
        pending.attempts = 0;
        let waiting = std::mem::take(&mut pending.waiting);
        self.answer_undecided(waiting, pause);
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    /// Answers everyone that waits, since the store's return can't be foreseen.
    pub(crate) fn fail_store(&mut self, error: &StoreError) -> Duration {
        let pause = match error {
            StoreError::RateLimited { retry_after } => *retry_after,
            _ => self.settings.store_retry,
        };
        if !self.store_failed {
            self.notice(KeeperNotice::StoreFailed { retry_after: pause });
        }
        self.store_failed = true;
        self.answer_queue_undecided(pause);
        pause
    }

    pub(crate) fn recover_store(&mut self) {
        if self.store_failed {
            self.store_failed = false;
            self.notice(KeeperNotice::StoreRecovered);
        }
    }

    pub(crate) fn pending_segment(&mut self) -> Option<&mut PendingSegment> {
        match &mut self.stage {
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending)) => Some(pending),
            _ => None,
        }
    }

    fn pending_at(&mut self, step: PendingStep) -> Option<&mut PendingSegment> {
        self.pending_segment()
            .filter(|pending| pending.step == step)
    }
}

fn closes_holder(records: &[SegmentRecord]) -> bool {
    records
        .iter()
        .any(|record| matches!(record, SegmentRecord::CloseHolder { .. }))
}
