//! Commits segments to the store.

use std::time::Duration;
use std::time::Instant;

use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;

use crate::event::KeeperEffect;
use crate::event::KeeperNotice;
use crate::event::StoreCallId;
use crate::keeper::InternalWork;
use crate::keeper::KeeperStage;
use crate::keeper::ShardKeeper;
use crate::pending::PendingSegment;
use crate::pending::PendingStep;
use crate::pending::WaitingBatch;
use crate::record::Segment;
use crate::record::SegmentRecord;
use crate::segment_index::StoredSegment;

impl ShardKeeper {
    /// Writes an empty segment after the last known one, so that a write by an
    /// earlier keeper to its next position conflicts.
    pub(crate) fn write_fence(&mut self, now: Instant) {
        let pending = self.write_segment(true, Vec::new(), Vec::new(), 0);
        match pending {
            Some(pending) => self.stage = KeeperStage::Fencing(pending),
            None => self.schedule_takeover(now),
        }
    }

    /// Encodes the segment that follows the last durable one and sends it to the store.
    pub(crate) fn write_segment(
        &mut self,
        fence: bool,
        records: Vec<SegmentRecord>,
        waiting: Vec<WaitingBatch>,
        operations: usize,
    ) -> Option<PendingSegment> {
        self.next_nonce += 1;
        let segment = Segment {
            writer: self.own_id.clone(),
            nonce: self.next_nonce,
            fence,
            forget_before: self.ledger.forget_before(),
            records,
        };
        let bytes = segment.encode().ok()?;
        self.declare_new_dead_holders(&segment.records);
        let call = self.new_call_id();
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

    /// Schedules the declaration of new holders that were proven dead before they
    /// were first recorded.
    fn declare_new_dead_holders(&mut self, records: &[SegmentRecord]) {
        let opened = records.iter().filter_map(|record| match record {
            SegmentRecord::OpenHolder { incarnation } => Some(incarnation),
            _ => None,
        });
        let dead = opened.filter(|incarnation| self.proven_dead.contains(*incarnation));
        self.internal_work
            .extend(dead.cloned().map(InternalWork::Declare));
    }

    pub(crate) fn handle_swap(
        &mut self,
        call: StoreCallId,
        result: Result<SwapOutcome, StoreError>,
        now: Instant,
    ) {
        let Some(pending) = self.pending_in_step(PendingStep::Swapping(call)) else {
            return self.handle_maintenance_swap(call, result, now);
        };
        match result {
            Ok(SwapOutcome::Swapped(revision)) => self.commit(revision, now),
            Ok(SwapOutcome::Conflict(Some(found))) => self.resolve_position(&found, now),
            Ok(SwapOutcome::Conflict(None)) => self.read_position(),
            Err(error) if error.may_have_applied() => {
                pending.attempts += 1;
                self.read_position();
            }
            // A retry with the same bytes would be rejected again.
            Err(StoreError::ValueTooLarge { .. }) => self.abandon_shard(now),
            Err(error) => self.schedule_retry(&error, now),
        }
    }

    /// Reads the position to determine whether the segment was written.
    fn read_position(&mut self) {
        let call = self.new_call_id();
        let shard = self.shard;
        if let Some(pending) = self.pending_segment() {
            pending.step = PendingStep::Checking(call);
            let key = pending.sequence.key(shard);
            self.effects.push(KeeperEffect::Read { call, key });
        }
    }

    pub(crate) fn handle_read(
        &mut self,
        call: StoreCallId,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        match &mut self.stage {
            KeeperStage::Loading(load) if load.is_waiting_for(call) => {
                let progress = load.handle_read(result);
                self.handle_load_progress(progress, now);
            }
            KeeperStage::Verifying { call: waiting } if *waiting == call => {
                self.handle_verification(result, now);
            }
            _ => self.handle_position_read(call, result, now),
        }
    }

    fn handle_verification(
        &mut self,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        let found = match result {
            Ok(found) => found.map(|found| found.revision),
            Err(error) => {
                let pause = self.handle_store_failure(&error);
                self.stage = KeeperStage::Pausing { until: now + pause };
                return;
            }
        };
        let known = self.head.as_ref().map(|(_, revision)| *revision);
        match found == known {
            true => self.start_serving(now),
            false => self.start_load(now),
        }
    }

    fn handle_position_read(
        &mut self,
        call: StoreCallId,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        let max_attempts = self.settings.lost_reply_attempts;
        let Some(pending) = self.pending_in_step(PendingStep::Checking(call)) else {
            return;
        };
        match result {
            Ok(Some(found)) => self.resolve_position(&found, now),
            Ok(None) if pending.attempts < max_attempts => self.retry_swap(),
            Ok(None) => self.schedule_retry(&StoreError::ReplyLost, now),
            Err(error) => self.schedule_retry(&error, now),
        }
    }

    pub(crate) fn handle_list(
        &mut self,
        call: StoreCallId,
        result: Result<StoreListing, StoreError>,
        now: Instant,
    ) {
        match &mut self.stage {
            KeeperStage::Loading(load) if load.is_waiting_for(call) => {
                let progress = load.handle_list(result);
                self.handle_load_progress(progress, now);
            }
            _ => self.handle_maintenance_list(call, result, now),
        }
    }

    /// Retries the write with the same bytes at the same position, so that the log
    /// contains the segment once, whichever attempt takes effect first.
    pub(crate) fn retry_swap(&mut self) {
        let call = self.new_call_id();
        let shard = self.shard;
        if let Some(pending) = self.pending_segment() {
            let effect = pending.swap(shard, call);
            self.effects.push(effect);
        }
    }

    /// Determines from the stored value whether the pending segment was committed or
    /// another keeper wrote its position.
    fn resolve_position(&mut self, found: &StoredValue, now: Instant) {
        let Ok(segment) = Segment::decode(&found.value) else {
            self.notice(KeeperNotice::LogUnreadable);
            return self.schedule_takeover(now);
        };
        let Some(pending) = self.pending_segment() else {
            return;
        };
        let (sequence, nonce) = (pending.sequence, pending.nonce);
        if segment.writer == self.own_id && segment.nonce == nonce {
            return self.commit(found.revision, now);
        }
        self.notice(KeeperNotice::LostShard {
            writer: segment.writer.clone(),
        });
        match self.stage {
            // The ledger has no uncommitted changes yet, so this keeper can
            // apply the segment and try the next position.
            KeeperStage::Fencing(_) if self.ledger.replay(sequence, &segment).is_ok() => {
                self.committed = sequence;
                self.segments.push(StoredSegment {
                    sequence,
                    revision: found.revision,
                    is_fence: segment.fence,
                    added_at: self.running_time,
                });
                self.write_fence(now);
            }
            _ => {
                self.accept_successor(segment.writer);
                self.abandon_shard(now);
            }
        }
    }

    /// Discards the ledger, which contains changes that are not in the log.
    fn abandon_shard(&mut self, now: Instant) {
        self.schedule_takeover(now);
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    fn commit(&mut self, revision: StoreRevision, now: Instant) {
        self.handle_store_recovery();
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
        self.segments.push(StoredSegment {
            sequence: pending.sequence,
            revision,
            is_fence,
            added_at: self.running_time,
        });
        if is_fence {
            return self.start_verification();
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
            self.start_fence_rounds(now);
        }
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    fn schedule_retry(&mut self, error: &StoreError, now: Instant) {
        let pause = self.handle_store_failure(error);
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

    /// Answers all queued batches, since it is unknown when the store recovers, and
    /// returns the delay before the next attempt.
    pub(crate) fn handle_store_failure(&mut self, error: &StoreError) -> Duration {
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

    pub(crate) fn handle_store_recovery(&mut self) {
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

    fn pending_in_step(&mut self, step: PendingStep) -> Option<&mut PendingSegment> {
        self.pending_segment()
            .filter(|pending| pending.step == step)
    }
}

fn closes_holder(records: &[SegmentRecord]) -> bool {
    records
        .iter()
        .any(|record| matches!(record, SegmentRecord::CloseHolder { .. }))
}
