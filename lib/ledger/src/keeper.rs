//! The state machine that keeps one shard.
//!
//! It takes the shard over by replaying the log and writing a first segment of
//! its own, then commits operations in groups with one segment in flight. An
//! operation is answered only when every change it rests on is durable: while
//! a segment is in flight, later batches wait without being looked at.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::event::KeeperEvent;
use crate::event::KeeperNotice;
use crate::fence::FenceRounds;
use crate::ledger::ShardLedger;
use crate::load::LoadProgress;
use crate::load::ShardLoad;
use crate::load::StoredHead;
use crate::pending::PendingSegment;
use crate::queue::BatchQueue;
use crate::recall::BudgetRecalls;
use crate::record::SegmentSequence;
use crate::settings::KeeperSettings;
use crate::snapshot::snapshot_key;
use crate::snapshot_write::SnapshotWrite;
use crate::trail::SegmentTrail;

/// Longest time between two events of a process that is not paused.
const MAX_EVENT_GAP: Duration = Duration::from_secs(1);

/// What the keeper is doing about its shard.
#[derive(Debug)]
pub(crate) enum KeeperStage {
    /// Somebody else keeps the shard.
    Idle,
    /// Loads the shard at `until`.
    Pausing { until: Instant },
    /// Reads the snapshot and the log.
    Loading(Box<ShardLoad>),
    /// Writes the first segment of its own.
    Fencing(PendingSegment),
    /// Reads the snapshot head again: if it is the one that the load began
    /// with, no segment was removed while the log was read.
    Verifying { call: CallId },
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
    pub(crate) chosen: Option<IncarnationId>,
    is_stopping: bool,
    is_leaving: bool,
    /// Since when another keeper is chosen while this one leaves.
    handed_over: Option<(IncarnationId, Instant)>,
    pub(crate) stage: KeeperStage,
    pub(crate) ledger: ShardLedger,
    /// The last segment known to be durable.
    pub(crate) committed: SegmentSequence,
    /// The snapshot in the store, as far as it is known.
    pub(crate) head: Option<StoredHead>,
    pub(crate) trail: SegmentTrail,
    pub(crate) snapshot: Option<SnapshotWrite>,
    pub(crate) removal: Option<(CallId, SegmentSequence)>,
    /// Snapshots and removals rest until then.
    pub(crate) upkeep_from: Instant,
    pub(crate) queue: BatchQueue,
    pub(crate) own_work: Vec<OwnWork>,
    /// The next segment is not opened before.
    pub(crate) next_commit: Instant,
    pub(crate) proven_dead: IndexSet<IncarnationId>,
    pub(crate) fences: FenceRounds,
    pub(crate) recalls: BudgetRecalls,
    pub(crate) store_failed: bool,
    /// For how long the process has run, pauses left out: a batch that waited
    /// in a paused process must not find its ids forgotten when it wakes up.
    pub(crate) running: Duration,
    last_event: Instant,
    next_call: u64,
    pub(crate) next_nonce: u64,
    pub(crate) effects: Vec<KeeperEffect>,
}

impl ShardKeeper {
    /// Makes a keeper of `shard` that waits to be chosen.
    pub fn new(shard: ShardId, own: IncarnationId, settings: KeeperSettings, now: Instant) -> Self {
        Self {
            shard,
            own,
            settings,
            chosen: None,
            is_stopping: false,
            is_leaving: false,
            handed_over: None,
            stage: KeeperStage::Idle,
            ledger: ShardLedger::new(),
            committed: SegmentSequence::default(),
            head: None,
            trail: SegmentTrail::default(),
            snapshot: None,
            removal: None,
            upkeep_from: now,
            queue: BatchQueue::default(),
            own_work: Vec::new(),
            next_commit: now,
            proven_dead: IndexSet::new(),
            fences: FenceRounds::default(),
            recalls: BudgetRecalls::default(),
            store_failed: false,
            running: Duration::ZERO,
            last_event: now,
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

    /// Returns the ledger if all of it is durable and this keeper serves it.
    pub fn settled_ledger(&self) -> Option<&ShardLedger> {
        matches!(self.stage, KeeperStage::Serving(None)).then_some(&self.ledger)
    }

    /// Returns the last segment known to be durable.
    pub fn committed(&self) -> SegmentSequence {
        self.committed
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

    /// Returns when the next [`KeeperEvent::Tick`] is of use at the latest,
    /// beside the regular ones.
    pub fn next_wake(&self) -> Option<Instant> {
        match &self.stage {
            KeeperStage::Pausing { until } => Some(*until),
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending)) => {
                pending.retry_at()
            }
            KeeperStage::Serving(None) if self.has_work() => Some(self.next_commit),
            _ => None,
        }
    }

    /// Takes over a changed setting: how long ids are remembered.
    pub fn set_retry_window(&mut self, retry_window: Duration) {
        self.settings.retry_window = retry_window;
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, event: KeeperEvent, now: Instant) -> Vec<KeeperEffect> {
        self.count_running(now);
        match event {
            KeeperEvent::Chosen { keeper } => self.choose(keeper, now),
            KeeperEvent::Batch { id, batch } => self.enqueue(id, batch, now),
            KeeperEvent::SwapEnded { call, result } => self.end_swap(call, result, now),
            KeeperEvent::ReadEnded { call, result } => self.end_read(call, result, now),
            KeeperEvent::ListEnded { call, result } => self.end_list(call, result, now),
            KeeperEvent::ProvenDead { incarnation } => {
                if self.proven_dead.insert(incarnation.clone()) && self.is_serving() {
                    self.own_work.push(OwnWork::Declare(incarnation));
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
            KeeperEvent::Leave => self.is_leaving = true,
            KeeperEvent::Stop => {
                self.is_stopping = true;
                self.step_down(now);
            }
        }
        // A snapshot is begun between two segments, so before the next is opened.
        self.keep_up(now);
        self.decide_queue(now);
        std::mem::take(&mut self.effects)
    }

    fn count_running(&mut self, now: Instant) {
        let span = now.duration_since(self.last_event);
        self.running += span.min(MAX_EVENT_GAP);
        self.last_event = now;
    }

    pub(crate) fn is_chosen(&self) -> bool {
        !self.is_stopping && self.chosen.as_ref() == Some(&self.own)
    }

    fn choose(&mut self, keeper: Option<IncarnationId>, now: Instant) {
        if self.is_leaving && self.is_chosen() {
            return self.hand_over(keeper, now);
        }
        self.chosen = keeper;
        if !self.is_chosen() {
            self.step_down(now);
        } else if self.is_idle() {
            self.load(now);
        }
    }

    /// Goes on until the next keeper has had time to take the shard over.
    fn hand_over(&mut self, keeper: Option<IncarnationId>, now: Instant) {
        let next = keeper.filter(|keeper| *keeper != self.own);
        let since = self.handed_over.as_ref().map_or(now, |(_, since)| *since);
        self.handed_over = next.map(|keeper| (keeper, since));
    }

    /// Lets the shard go to whoever took it over while this keeper leaves.
    pub(crate) fn yield_to(&mut self, keeper: IncarnationId) {
        if self.is_leaving {
            self.chosen = Some(keeper);
        }
    }

    /// Lets the shard go; a segment in flight is waited for.
    pub(crate) fn step_down(&mut self, now: Instant) {
        self.refuse_queue();
        if let KeeperStage::Serving(Some(pending)) = &self.stage
            && pending.retry_at().is_none()
        {
            return;
        }
        if !self.is_idle() {
            self.drop_stage(now);
            self.stage = KeeperStage::Idle;
            self.notice(KeeperNotice::SteppedDown);
        }
    }

    /// Forgets the shard's state and answers whoever waits for a segment that
    /// is given up.
    fn drop_stage(&mut self, now: Instant) {
        let stage = std::mem::replace(&mut self.stage, KeeperStage::Pausing { until: now });
        if let KeeperStage::Serving(Some(pending)) = stage {
            self.answer_undecided(pending.waiting, self.settings.store_retry);
        }
        self.ledger = ShardLedger::new();
        self.committed = SegmentSequence::default();
        self.head = None;
        self.trail = SegmentTrail::default();
        self.snapshot = None;
        self.removal = None;
        self.fences.clear();
        self.own_work.clear();
    }

    pub(crate) fn load(&mut self, now: Instant) {
        self.drop_stage(now);
        let mut load = Box::new(ShardLoad::new(self.shard, self.running));
        let call = self.new_call();
        self.effects.push(load.effect(call));
        self.stage = KeeperStage::Loading(load);
    }

    /// Takes the shard over later, if it is still to be taken over then.
    pub(crate) fn pause(&mut self, now: Instant) {
        self.drop_stage(now);
        let until = now + self.settings.takeover_pause;
        self.stage = KeeperStage::Pausing { until };
    }

    pub(crate) fn progress_load(&mut self, progress: LoadProgress, now: Instant) {
        match progress {
            LoadProgress::Continue => {
                let call = self.new_call();
                if let KeeperStage::Loading(load) = &mut self.stage {
                    self.effects.push(load.effect(call));
                }
            }
            LoadProgress::Done => {
                let stage = std::mem::replace(&mut self.stage, KeeperStage::Idle);
                if let KeeperStage::Loading(load) = stage {
                    self.recover_store();
                    self.committed = load.ledger.sequence();
                    self.ledger = load.ledger;
                    self.head = load.head;
                    self.trail = load.trail;
                    self.write_fence(now);
                }
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

    /// Reads the snapshot head again, after the first own segment is durable.
    pub(crate) fn verify(&mut self) {
        let call = self.new_call();
        let key = snapshot_key(self.shard);
        self.effects.push(KeeperEffect::Read { call, key });
        self.stage = KeeperStage::Verifying { call };
    }

    /// Begins to decide operations.
    pub(crate) fn serve(&mut self, now: Instant) {
        self.stage = KeeperStage::Serving(None);
        self.notice(KeeperNotice::TookOver {
            sequence: self.committed,
        });
        let declare = self.proven_dead.iter().cloned().map(OwnWork::Declare);
        self.own_work.extend(declare);
        self.begin_fences(now);
    }

    /// Asks for what every router has from the closing holders.
    pub(crate) fn begin_fences(&mut self, now: Instant) {
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

    fn tick(&mut self, now: Instant) {
        if let Some((keeper, since)) = &self.handed_over
            && now.duration_since(*since) >= self.settings.handover
        {
            self.chosen = Some(keeper.clone());
            self.handed_over = None;
            self.step_down(now);
        }
        match &self.stage {
            KeeperStage::Pausing { until } if *until <= now => self.load(now),
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending))
                if pending.retry_at().is_some_and(|at| at <= now) =>
            {
                self.swap_again();
            }
            _ => {}
        }
        self.answer_overdue(now);
        let reminders = self.fences.remind(now, self.settings.fence_retry);
        self.effects.extend(reminders);
    }

    pub(crate) fn notice(&mut self, notice: KeeperNotice) {
        self.effects.push(KeeperEffect::Notice(notice));
    }

    pub(crate) fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }
}
