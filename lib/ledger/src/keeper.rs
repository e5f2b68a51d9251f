//! The state machine that keeps one shard.
//!
//! It takes the shard over by replaying the log and writing a first segment of
//! its own, then commits operations in groups with one segment in flight. An
//! operation is answered only when every change it rests on is durable: while
//! a segment is in flight, later batches wait without being looked at.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use snipegate_platform::StoreError;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::event::BatchId;
use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::event::KeeperEvent;
use crate::event::KeeperNotice;
use crate::fence::FenceRounds;
use crate::ledger::ShardLedger;
use crate::load::LoadProgress;
use crate::load::ShardLoad;
use crate::operation::CallOutcome;
use crate::operation::LedgerAnswer;
use crate::operation::LedgerBatch;
use crate::operation::LedgerOperation;
use crate::operation::OperationRefusal;
use crate::operation::OperationResult;
use crate::pending::PendingSegment;
use crate::pending::PendingStep;
use crate::pending::WaitingBatch;
use crate::recall::BudgetRecalls;
use crate::record::Segment;
use crate::record::SegmentRecord;
use crate::record::SegmentSequence;
use crate::settings::KeeperSettings;

/// Estimated size of an operation's records, in bytes.
const OPERATION_BYTES: usize = 64;

/// A batch that was not looked at yet.
#[derive(Debug)]
struct QueuedBatch {
    id: BatchId,
    batch: LedgerBatch,
    since: Instant,
}

/// What the keeper is doing about its shard.
#[derive(Debug)]
enum KeeperStage {
    /// Somebody else keeps the shard.
    Idle,
    /// Loads the shard at `until`.
    Pausing { until: Instant },
    /// Reads the log.
    Loading(Box<ShardLoad>),
    /// Writes the first segment of its own.
    Fencing(PendingSegment),
    /// Decides operations; a segment may be in flight.
    Serving(Option<PendingSegment>),
}

/// Work that the keeper gives itself.
#[derive(Debug)]
pub(crate) enum OwnWork {
    /// Declare an incarnation dead.
    Declare(IncarnationId),
    /// Reclaim a closing holder.
    Reclaim(IncarnationId),
}

/// Keeps one shard, or waits until it should.
#[derive(Debug)]
pub struct ShardKeeper {
    pub(crate) shard: ShardId,
    pub(crate) own: IncarnationId,
    pub(crate) settings: KeeperSettings,
    chosen: Option<IncarnationId>,
    is_stopping: bool,
    stage: KeeperStage,
    pub(crate) ledger: ShardLedger,
    /// The last segment known to be durable.
    pub(crate) committed: SegmentSequence,
    /// When each segment in the retry window was written, or read on takeover.
    segment_times: VecDeque<(SegmentSequence, Instant)>,
    queue: VecDeque<QueuedBatch>,
    queued_operations: usize,
    pub(crate) own_work: VecDeque<OwnWork>,
    pub(crate) proven_dead: IndexSet<IncarnationId>,
    fences: FenceRounds,
    recalls: BudgetRecalls,
    store_failed: bool,
    next_call: u64,
    next_nonce: u64,
    pub(crate) effects: Vec<KeeperEffect>,
}

impl ShardKeeper {
    /// Makes a keeper of `shard` that waits to be chosen.
    pub fn new(shard: ShardId, own: IncarnationId, settings: KeeperSettings) -> Self {
        Self {
            shard,
            own,
            settings,
            chosen: None,
            is_stopping: false,
            stage: KeeperStage::Idle,
            ledger: ShardLedger::new(),
            committed: SegmentSequence::default(),
            segment_times: VecDeque::new(),
            queue: VecDeque::new(),
            queued_operations: 0,
            own_work: VecDeque::new(),
            proven_dead: IndexSet::new(),
            fences: FenceRounds::default(),
            recalls: BudgetRecalls::default(),
            store_failed: false,
            next_call: 0,
            next_nonce: 0,
            effects: Vec::new(),
        }
    }

    /// Returns the shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the ledger, which may hold changes that are not durable yet.
    pub fn ledger(&self) -> &ShardLedger {
        &self.ledger
    }

    /// Tells whether operations are decided here.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage, KeeperStage::Serving(_))
    }

    /// Tells whether the shard is let go, so that the process may end.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, KeeperStage::Idle)
    }

    /// Returns the incarnations whose death this keeper needs to hear of.
    pub fn watched_incarnations(&self) -> impl Iterator<Item = &IncarnationId> {
        let is_serving = self.is_serving();
        self.ledger
            .open_holders()
            .chain(self.fences.awaited())
            .filter(move |incarnation| is_serving && !self.proven_dead.contains(*incarnation))
    }

    /// Tells whether nothing waits for the store.
    pub fn is_quiet(&self) -> bool {
        match &self.stage {
            KeeperStage::Idle => true,
            KeeperStage::Serving(pending) => pending.is_none() && self.queue.is_empty(),
            _ => false,
        }
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, event: KeeperEvent, now: Instant) -> Vec<KeeperEffect> {
        match event {
            KeeperEvent::Chosen { keeper } => self.choose(keeper, now),
            KeeperEvent::Batch { id, batch } => self.enqueue(id, batch, now),
            KeeperEvent::SwapEnded { call, result } => self.end_swap(call, result, now),
            KeeperEvent::ReadEnded { call, result } => self.end_read(call, result, now),
            KeeperEvent::ListEnded { call, result } => {
                if let KeeperStage::Loading(load) = &mut self.stage
                    && load.is_waiting_for(call)
                {
                    let progress = load.end_list(result);
                    self.progress_load(progress, now);
                }
            }
            KeeperEvent::ProvenDead { incarnation } => {
                if self.proven_dead.insert(incarnation.clone()) && self.is_serving() {
                    self.own_work.push_back(OwnWork::Declare(incarnation));
                    self.reclaim_fenced();
                }
            }
            KeeperEvent::RoutersListed { dead, routers } => {
                let asked = self.fences.list_routers(&dead, routers, now);
                self.effects.extend(asked);
                self.reclaim_fenced();
            }
            KeeperEvent::FenceAnswered { router, dead } => {
                self.fences.answer(router, &dead);
                self.reclaim_fenced();
            }
            KeeperEvent::Tick => self.tick(now),
            KeeperEvent::Stop => {
                self.is_stopping = true;
                self.step_down(now);
            }
        }
        self.pump(now);
        std::mem::take(&mut self.effects)
    }

    fn is_chosen(&self) -> bool {
        !self.is_stopping && self.chosen.as_ref() == Some(&self.own)
    }

    fn choose(&mut self, keeper: Option<IncarnationId>, now: Instant) {
        self.chosen = keeper;
        if !self.is_chosen() {
            self.step_down(now);
        } else if self.is_idle() {
            self.load(now);
        }
    }

    /// Lets the shard go; a segment in flight is waited for.
    fn step_down(&mut self, now: Instant) {
        self.refuse_queue();
        if let KeeperStage::Serving(Some(pending)) = &self.stage
            && !pending.is_retrying()
        {
            return;
        }
        if !self.is_idle() {
            self.drop_stage(now);
            self.stage = KeeperStage::Idle;
            self.notice(KeeperNotice::SteppedDown);
        }
    }

    /// Answers whoever waits for a segment that is given up.
    fn drop_stage(&mut self, now: Instant) {
        let stage = std::mem::replace(&mut self.stage, KeeperStage::Pausing { until: now });
        if let KeeperStage::Serving(Some(pending)) = stage {
            self.answer_undecided(pending.waiting, self.settings.store_retry);
        }
        self.ledger = ShardLedger::new();
        self.committed = SegmentSequence::default();
        self.segment_times.clear();
        self.fences.clear();
        self.own_work.clear();
    }

    fn load(&mut self, now: Instant) {
        self.drop_stage(now);
        let mut load = Box::new(ShardLoad::new(self.shard));
        let call = self.new_call();
        self.effects.push(load.start(call));
        self.stage = KeeperStage::Loading(load);
    }

    fn progress_load(&mut self, progress: LoadProgress, now: Instant) {
        match progress {
            LoadProgress::Continue => {
                let call = self.new_call();
                if let KeeperStage::Loading(load) = &mut self.stage {
                    self.effects.push(load.proceed(call));
                }
            }
            LoadProgress::Done(ledger) => {
                self.recover_store();
                self.ledger = *ledger;
                self.committed = self.ledger.sequence();
                let first = self.ledger.forget_before().0.max(1);
                let sequences = (first..=self.committed.0).map(SegmentSequence);
                self.segment_times = sequences.map(|sequence| (sequence, now)).collect();
                self.write_fence();
            }
            LoadProgress::StoreFailed(error) => {
                let pause = self.fail_store(&error);
                self.stage = KeeperStage::Pausing { until: now + pause };
            }
            LoadProgress::Unreadable => {
                self.notice(KeeperNotice::LogUnreadable);
                self.pause(now);
            }
        }
    }

    fn pause(&mut self, now: Instant) {
        self.drop_stage(now);
        let until = now + self.settings.takeover_pause;
        self.stage = KeeperStage::Pausing { until };
    }

    fn write_fence(&mut self) {
        let pending = self.open_segment(true, Vec::new(), Vec::new(), 0);
        self.stage = match pending {
            Some(pending) => KeeperStage::Fencing(pending),
            None => KeeperStage::Idle,
        };
    }

    /// Makes and sends the segment after the last durable one.
    fn open_segment(
        &mut self,
        fence: bool,
        records: Vec<SegmentRecord>,
        waiting: Vec<WaitingBatch>,
        operations: usize,
    ) -> Option<PendingSegment> {
        self.next_nonce += 1;
        let sequence = self.committed.next();
        let segment = Segment {
            writer: self.own.clone(),
            nonce: self.next_nonce,
            fence,
            forget_before: self.ledger.forget_before(),
            records,
        };
        let bytes = segment.encode().ok()?;
        let call = self.new_call();
        let mut pending = PendingSegment {
            sequence,
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

    fn enqueue(&mut self, id: BatchId, batch: LedgerBatch, now: Instant) {
        if !self.is_chosen() {
            let keeper = self.chosen.clone().filter(|keeper| *keeper != self.own);
            let answer = LedgerAnswer::NotKeeper { keeper };
            self.effects.push(KeeperEffect::Reply { batch: id, answer });
            return;
        }
        let operations = batch.operations.len();
        let is_full = self.queued_operations + operations > self.settings.max_queued_operations;
        if self.store_failed || (is_full && !self.queue.is_empty()) {
            self.reply_undecided(id, self.settings.store_retry);
            return;
        }
        self.queued_operations += operations;
        self.queue.push_back(QueuedBatch {
            id,
            batch,
            since: now,
        });
    }

    fn end_swap(&mut self, call: CallId, result: Result<SwapOutcome, StoreError>, now: Instant) {
        let Some(pending) = self.pending_mut(PendingStep::Swapping(call)) else {
            return;
        };
        match result {
            Ok(SwapOutcome::Swapped(_)) => self.commit(now),
            Ok(SwapOutcome::Conflict(Some(found))) => self.compare(&found, now),
            Ok(SwapOutcome::Conflict(None)) => self.check_slot(),
            Err(error) if error.may_have_applied() => {
                pending.attempts += 1;
                self.check_slot();
            }
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

    fn end_read(
        &mut self,
        call: CallId,
        result: Result<Option<StoredValue>, StoreError>,
        now: Instant,
    ) {
        if let KeeperStage::Loading(load) = &mut self.stage
            && load.is_waiting_for(call)
        {
            let progress = load.end_read(result);
            self.progress_load(progress, now);
            return;
        }
        let max_attempts = self.settings.lost_reply_attempts;
        let Some(pending) = self.pending_mut(PendingStep::Checking(call)) else {
            return;
        };
        match result {
            Ok(Some(found)) => self.compare(&found, now),
            Ok(None) if pending.attempts < max_attempts => self.swap_again(),
            Ok(None) => self.retry_later(&StoreError::ReplyLost, now),
            Err(error) => self.retry_later(&error, now),
        }
    }

    /// Sends the same bytes to the same position again: whichever attempt
    /// takes effect first, the log holds the segment once.
    fn swap_again(&mut self) {
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
            return self.commit(now);
        }
        self.notice(KeeperNotice::LostShard {
            writer: segment.writer.clone(),
        });
        match self.stage {
            // Nothing of its own is in the ledger yet, so that it can follow
            // the log and try the next position.
            KeeperStage::Fencing(_) if self.ledger.replay(sequence, &segment).is_ok() => {
                self.committed = sequence;
                self.segment_times.push_back((sequence, now));
                self.write_fence();
            }
            _ => self.pause(now),
        }
    }

    fn commit(&mut self, now: Instant) {
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
        self.segment_times.push_back((pending.sequence, now));
        for waiting in pending.waiting {
            self.effects.push(waiting.reply());
        }
        self.notice(match is_fence {
            true => KeeperNotice::TookOver {
                sequence: pending.sequence,
            },
            false => KeeperNotice::Committed {
                sequence: pending.sequence,
                bytes: pending.bytes.len(),
                operations: pending.operations,
            },
        });
        if is_fence {
            let declare = self.proven_dead.iter().cloned().map(OwnWork::Declare);
            self.own_work.extend(declare);
        }
        if is_fence || pending.closes_holder {
            self.begin_fences(now);
        }
        if !self.is_chosen() {
            self.step_down(now);
        }
    }

    /// Asks for what every router has from the closing holders.
    fn begin_fences(&mut self, now: Instant) {
        for dead in self.ledger.closing_holders() {
            self.effects.extend(self.fences.begin(dead, now));
        }
    }

    /// Reclaims the closing holders for which every router has confirmed.
    fn reclaim_fenced(&mut self) {
        let finished = self.fences.take_finished(&self.proven_dead);
        let reclaim = finished.into_iter().map(OwnWork::Reclaim);
        self.own_work.extend(reclaim);
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
    fn fail_store(&mut self, error: &StoreError) -> Duration {
        let pause = match error {
            StoreError::RateLimited { retry_after } => *retry_after,
            _ => self.settings.store_retry,
        };
        if !self.store_failed {
            self.notice(KeeperNotice::StoreFailed { retry_after: pause });
        }
        self.store_failed = true;
        self.queued_operations = 0;
        for queued in std::mem::take(&mut self.queue) {
            self.reply_undecided(queued.id, pause);
        }
        pause
    }

    fn recover_store(&mut self) {
        if self.store_failed {
            self.store_failed = false;
            self.notice(KeeperNotice::StoreRecovered);
        }
    }

    fn tick(&mut self, now: Instant) {
        match &self.stage {
            KeeperStage::Pausing { until } if *until <= now => self.load(now),
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending))
                if pending.is_due(now) =>
            {
                self.swap_again();
            }
            _ => {}
        }
        self.answer_overdue(now);
        let reminders = self.fences.remind(now, self.settings.fence_retry);
        self.effects.extend(reminders);
    }

    /// Answers batches that have waited too long; their operations may still
    /// take effect, and are found by their ids when they come again.
    fn answer_overdue(&mut self, now: Instant) {
        let limit = self.settings.answer_within;
        let pause = self.settings.store_retry;
        if let Some(pending) = self.pending_segment() {
            let overdue: Vec<_> = pending
                .waiting
                .extract_if(.., |waiting| now.duration_since(waiting.since) >= limit)
                .collect();
            self.answer_undecided(overdue, pause);
        }
        while let Some(queued) = self.queue.front()
            && now.duration_since(queued.since) >= limit
        {
            let id = queued.id;
            self.queued_operations -= queued.batch.operations.len();
            self.queue.pop_front();
            self.reply_undecided(id, pause);
        }
    }

    /// Decides what has queued up, if no segment is in flight.
    fn pump(&mut self, now: Instant) {
        while matches!(self.stage, KeeperStage::Serving(None))
            && !(self.queue.is_empty() && self.own_work.is_empty())
        {
            self.decide_group(now);
        }
    }

    fn decide_group(&mut self, now: Instant) {
        let mut records = Vec::new();
        let mut waiting = Vec::new();
        let mut weight = 0;
        let mut operations = 0;
        self.ledger.begin_segment(self.committed.next());
        self.do_own_work(&mut records);
        while weight < self.settings.max_segment_bytes
            && let Some(queued) = self.queue.pop_front()
        {
            operations += queued.batch.operations.len();
            weight += weigh(&queued.batch);
            let results = self.decide_batch(&queued.batch, &mut records, now);
            waiting.push(WaitingBatch {
                id: queued.id,
                results,
                since: queued.since,
            });
        }
        self.queued_operations -= operations;
        if records.is_empty() {
            self.ledger.begin_segment(self.committed);
            let replies = waiting.into_iter().map(WaitingBatch::reply);
            self.effects.extend(replies);
            return;
        }
        self.forget_old(now);
        let pending = self.open_segment(false, records, waiting, operations);
        self.stage = KeeperStage::Serving(pending);
    }

    fn decide_batch(
        &mut self,
        batch: &LedgerBatch,
        records: &mut Vec<SegmentRecord>,
        now: Instant,
    ) -> Vec<OperationResult> {
        let mut results = Vec::with_capacity(batch.operations.len());
        for operation in &batch.operations {
            let result = self.ledger.apply(&batch.sender, operation, records);
            if let OperationResult::Refused(OperationRefusal::BudgetShort { .. }) = result {
                self.recall(&batch.sender, operation, now);
            }
            results.push(result);
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

    fn do_own_work(&mut self, records: &mut Vec<SegmentRecord>) {
        for work in std::mem::take(&mut self.own_work) {
            match work {
                OwnWork::Declare(holder) => {
                    if self.ledger.holder_state(&holder).is_some() {
                        let operation = LedgerOperation::DeclareDead { holder };
                        self.ledger.apply(&self.own, &operation, records);
                    }
                }
                OwnWork::Reclaim(holder) => {
                    self.ledger.reclaim_holder(&holder, records);
                    self.notice(KeeperNotice::Reclaimed { holder });
                }
            }
        }
    }

    /// Lets the ids go whose segments are older than the retry window.
    fn forget_old(&mut self, now: Instant) {
        while let Some((sequence, written)) = self.segment_times.front()
            && now.duration_since(*written) > self.settings.retry_window
        {
            let next = sequence.next();
            self.segment_times.pop_front();
            self.ledger.forget_ids(next);
        }
    }

    fn pending_segment(&mut self) -> Option<&mut PendingSegment> {
        match &mut self.stage {
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending)) => Some(pending),
            _ => None,
        }
    }

    fn pending_mut(&mut self, step: PendingStep) -> Option<&mut PendingSegment> {
        self.pending_segment()
            .filter(|pending| pending.step == step)
    }

    fn refuse_queue(&mut self) {
        self.queued_operations = 0;
        let keeper = self.chosen.clone().filter(|keeper| *keeper != self.own);
        for queued in std::mem::take(&mut self.queue) {
            let answer = LedgerAnswer::NotKeeper {
                keeper: keeper.clone(),
            };
            let batch = queued.id;
            self.effects.push(KeeperEffect::Reply { batch, answer });
        }
    }

    fn answer_undecided(&mut self, waiting: Vec<WaitingBatch>, pause: Duration) {
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

    pub(crate) fn notice(&mut self, notice: KeeperNotice) {
        self.effects.push(KeeperEffect::Notice(notice));
    }

    pub(crate) fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }
}

fn closes_holder(records: &[SegmentRecord]) -> bool {
    records
        .iter()
        .any(|record| matches!(record, SegmentRecord::CloseHolder { .. }))
}

/// Estimates what the records of a batch take in a segment, in bytes.
fn weigh(batch: &LedgerBatch) -> usize {
    let weigh_operation = |operation: &LedgerOperation| match operation {
        LedgerOperation::Conclude {
            outcome: CallOutcome::Answered { body, .. },
            ..
        } => OPERATION_BYTES + 2 * body.len(),
        _ => OPERATION_BYTES,
    };
    batch.operations.iter().map(weigh_operation).sum()
}
