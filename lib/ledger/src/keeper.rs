//! The state machine of the keeper of one shard.
//!
//! The keeper takes over the shard by replaying the log and writing a fence, its
//! first own segment. It then commits operations in groups, with one segment in
//! flight at a time. An operation is answered only when every change that it
//! depends on is durable; later batches are not decided while a segment is in
//! flight.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::event::KeeperEffect;
use crate::event::KeeperEvent;
use crate::event::KeeperNotice;
use crate::event::StoreCallId;
use crate::fence::FenceRounds;
use crate::ledger::ShardLedger;
use crate::load::LoadProgress;
use crate::load::ShardLoad;
use crate::load::StoredHead;
use crate::pending::PendingSegment;
use crate::queue::BatchQueue;
use crate::recall::BudgetRecalls;
use crate::record::SegmentSequence;
use crate::segment_index::SegmentIndex;
use crate::settings::KeeperSettings;
use crate::snapshot::snapshot_key;
use crate::snapshot_write::SnapshotWrite;

/// Maximum time between two events that is counted as running time; a longer gap
/// means that the process was paused.
const MAX_EVENT_GAP: Duration = Duration::from_secs(1);

/// The stage of a keeper's work on its shard.
#[derive(Debug)]
pub(crate) enum KeeperStage {
    /// The shard is not kept here.
    Idle,
    /// Waits until `until`, then loads the shard.
    Pausing { until: Instant },
    /// Loads the snapshot and the log.
    Loading(Box<ShardLoad>),
    /// Writes the fence.
    Fencing(PendingSegment),
    /// Reads the snapshot head again. If it is unchanged since the start of the
    /// load, no segment was removed while the log was read.
    Verifying { call: StoreCallId },
    /// Decides operations, possibly with a segment in flight.
    Serving(Option<PendingSegment>),
}

/// Ledger changes that the keeper itself initiates.
#[derive(Debug)]
pub(crate) enum InternalWork {
    /// Declares an incarnation dead.
    Declare(IncarnationId),
    /// Reclaims a closing holder.
    Reclaim(IncarnationId),
}

/// The keeper of one shard, or a standby for it.
#[derive(Debug)]
pub struct ShardKeeper {
    pub(crate) shard: ShardId,
    pub(crate) own_id: IncarnationId,
    pub(crate) settings: KeeperSettings,
    pub(crate) chosen: Option<IncarnationId>,
    is_stopping: bool,
    is_leaving: bool,
    /// The keeper chosen while this one is leaving, and since when another keeper
    /// than this one is chosen.
    handover_to: Option<(IncarnationId, Instant)>,
    pub(crate) stage: KeeperStage,
    pub(crate) ledger: ShardLedger,
    /// The last segment known to be durable.
    pub(crate) committed: SegmentSequence,
    /// The head of the latest known snapshot in the store.
    pub(crate) head: Option<StoredHead>,
    pub(crate) segments: SegmentIndex,
    pub(crate) snapshot: Option<SnapshotWrite>,
    /// The segment removal in flight.
    pub(crate) removal: Option<(StoreCallId, SegmentSequence)>,
    /// Snapshots and removals are suspended until then.
    pub(crate) maintenance_resumes_at: Instant,
    pub(crate) queue: BatchQueue,
    pub(crate) internal_work: Vec<InternalWork>,
    /// The earliest time at which the next segment may be written.
    pub(crate) next_commit: Instant,
    pub(crate) proven_dead: IndexSet<IncarnationId>,
    pub(crate) fence_rounds: FenceRounds,
    pub(crate) recalls: BudgetRecalls,
    pub(crate) store_failed: bool,
    /// How long the process has been running, excluding pauses.
    ///
    /// A batch that waited in a paused process must not find its IDs forgotten when
    /// the process resumes.
    pub(crate) running_time: Duration,
    last_event: Instant,
    next_call: u64,
    pub(crate) next_nonce: u64,
    pub(crate) effects: Vec<KeeperEffect>,
}

impl ShardKeeper {
    /// Creates a keeper of `shard` that waits to be chosen.
    pub fn new(
        shard: ShardId,
        own_id: IncarnationId,
        settings: KeeperSettings,
        now: Instant,
    ) -> Self {
        Self {
            shard,
            own_id,
            settings,
            chosen: None,
            is_stopping: false,
            is_leaving: false,
            handover_to: None,
            stage: KeeperStage::Idle,
            ledger: ShardLedger::new(),
            committed: SegmentSequence::default(),
            head: None,
            segments: SegmentIndex::default(),
            snapshot: None,
            removal: None,
            maintenance_resumes_at: now,
            queue: BatchQueue::default(),
            internal_work: Vec::new(),
            next_commit: now,
            proven_dead: IndexSet::new(),
            fence_rounds: FenceRounds::default(),
            recalls: BudgetRecalls::default(),
            store_failed: false,
            running_time: Duration::ZERO,
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

    /// Returns the ledger, which may include changes that are not durable yet.
    pub fn ledger(&self) -> &ShardLedger {
        &self.ledger
    }

    /// Returns the ledger if this keeper serves the shard and all changes are durable.
    pub fn durable_ledger(&self) -> Option<&ShardLedger> {
        matches!(self.stage, KeeperStage::Serving(None)).then_some(&self.ledger)
    }

    /// Returns the last segment known to be durable.
    pub fn committed(&self) -> SegmentSequence {
        self.committed
    }

    /// Returns whether this keeper decides operations.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage, KeeperStage::Serving(_))
    }

    /// Returns whether the shard is released, so that the process may exit.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, KeeperStage::Idle)
    }

    /// Returns the incarnations whose death must be reported to this keeper.
    pub fn watched_incarnations(&self) -> impl Iterator<Item = &IncarnationId> {
        let is_serving = self.is_serving();
        self.ledger
            .open_holders()
            .chain(self.fence_rounds.unconfirmed_routers())
            .filter(move |incarnation| is_serving && !self.proven_dead.contains(*incarnation))
    }

    /// Returns when a [`KeeperEvent::Tick`] is needed in addition to the periodic
    /// ones, if any.
    pub fn next_deadline(&self) -> Option<Instant> {
        match &self.stage {
            KeeperStage::Pausing { until } => Some(*until),
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending)) => {
                pending.retry_at()
            }
            KeeperStage::Serving(None) if self.has_work() => Some(self.next_commit),
            _ => None,
        }
    }

    /// Changes how long request and operation IDs are remembered.
    pub fn set_retry_window(&mut self, retry_window: Duration) {
        self.settings.retry_window = retry_window;
    }

    /// Handles one event and returns the resulting effects.
    pub fn handle(&mut self, event: KeeperEvent, now: Instant) -> Vec<KeeperEffect> {
        self.update_running_time(now);
        match event {
            KeeperEvent::KeeperChosen { keeper } => self.handle_chosen(keeper, now),
            KeeperEvent::Batch { id, batch } => self.enqueue(id, batch, now),
            KeeperEvent::SwapCompleted { call, result } => self.handle_swap(call, result, now),
            KeeperEvent::ReadCompleted { call, result } => self.handle_read(call, result, now),
            KeeperEvent::ListCompleted { call, result } => self.handle_list(call, result, now),
            KeeperEvent::ProvenDead { incarnation } => {
                if self.proven_dead.insert(incarnation.clone()) && self.is_serving() {
                    self.internal_work.push(InternalWork::Declare(incarnation));
                    self.schedule_reclaims();
                }
            }
            KeeperEvent::RoutersListed { dead, routers } => {
                let asked = self.fence_rounds.set_routers(&dead, routers, now);
                self.effects.extend(asked);
                self.schedule_reclaims();
            }
            KeeperEvent::FenceConfirmed { router, dead } => {
                self.fence_rounds.record_confirmation(router, &dead);
                self.schedule_reclaims();
            }
            KeeperEvent::Tick => self.tick(now),
            KeeperEvent::Leave => self.is_leaving = true,
            KeeperEvent::Stop => {
                self.is_stopping = true;
                self.step_down(now);
            }
        }
        // A snapshot can be taken only between two segments, so it must start
        // before the next segment is written.
        self.run_maintenance(now);
        self.decide_queue(now);
        std::mem::take(&mut self.effects)
    }

    fn update_running_time(&mut self, now: Instant) {
        let span = now.duration_since(self.last_event);
        self.running_time += span.min(MAX_EVENT_GAP);
        self.last_event = now;
    }

    pub(crate) fn is_chosen(&self) -> bool {
        !self.is_stopping && self.chosen.as_ref() == Some(&self.own_id)
    }

    fn handle_chosen(&mut self, keeper: Option<IncarnationId>, now: Instant) {
        if self.is_leaving && self.is_chosen() {
            return self.start_handover(keeper, now);
        }
        self.chosen = keeper;
        if !self.is_chosen() {
            self.step_down(now);
        } else if self.is_idle() {
            self.start_load(now);
        }
    }

    /// Continues to serve until the next keeper has had time to take over the shard.
    fn start_handover(&mut self, keeper: Option<IncarnationId>, now: Instant) {
        let next = keeper.filter(|keeper| *keeper != self.own_id);
        let since = self.handover_to.as_ref().map_or(now, |(_, since)| *since);
        self.handover_to = next.map(|keeper| (keeper, since));
    }

    /// Accepts `keeper` as the chosen one if it took over while this keeper is leaving.
    pub(crate) fn accept_successor(&mut self, keeper: IncarnationId) {
        if self.is_leaving {
            self.chosen = Some(keeper);
        }
    }

    /// Releases the shard, after the segment in flight, if any, is resolved.
    pub(crate) fn step_down(&mut self, now: Instant) {
        self.redirect_queue();
        if let KeeperStage::Serving(Some(pending)) = &self.stage
            && pending.retry_at().is_none()
        {
            return;
        }
        if !self.is_idle() {
            self.reset(now);
            self.stage = KeeperStage::Idle;
            self.notice(KeeperNotice::SteppedDown);
        }
    }

    /// Discards the shard's state and answers the batches that wait for an
    /// abandoned segment as undecided.
    fn reset(&mut self, now: Instant) {
        let stage = std::mem::replace(&mut self.stage, KeeperStage::Pausing { until: now });
        if let KeeperStage::Serving(Some(pending)) = stage {
            self.answer_undecided(pending.waiting, self.settings.store_retry);
        }
        self.ledger = ShardLedger::new();
        self.committed = SegmentSequence::default();
        self.head = None;
        self.segments = SegmentIndex::default();
        self.snapshot = None;
        self.removal = None;
        self.fence_rounds.clear();
        self.internal_work.clear();
    }

    pub(crate) fn start_load(&mut self, now: Instant) {
        self.reset(now);
        let mut load = Box::new(ShardLoad::new(self.shard, self.running_time));
        let call = self.new_call_id();
        self.effects.push(load.effect(call));
        self.stage = KeeperStage::Loading(load);
    }

    /// Discards the shard's state and schedules a later takeover.
    pub(crate) fn schedule_takeover(&mut self, now: Instant) {
        self.reset(now);
        let until = now + self.settings.takeover_pause;
        self.stage = KeeperStage::Pausing { until };
    }

    pub(crate) fn handle_load_progress(&mut self, progress: LoadProgress, now: Instant) {
        match progress {
            LoadProgress::Continue => {
                let call = self.new_call_id();
                if let KeeperStage::Loading(load) = &mut self.stage {
                    self.effects.push(load.effect(call));
                }
            }
            LoadProgress::Done => {
                let stage = std::mem::replace(&mut self.stage, KeeperStage::Idle);
                if let KeeperStage::Loading(load) = stage {
                    self.handle_store_recovery();
                    self.committed = load.ledger.sequence();
                    self.ledger = load.ledger;
                    self.head = load.head;
                    self.segments = load.segments;
                    self.write_fence(now);
                }
            }
            LoadProgress::StoreFailed(error) => {
                let pause = self.handle_store_failure(&error);
                self.stage = KeeperStage::Pausing { until: now + pause };
            }
            LoadProgress::Unreadable => {
                self.notice(KeeperNotice::LogUnreadable);
                self.schedule_takeover(now);
            }
        }
    }

    /// Reads the snapshot head again, once the fence is durable.
    pub(crate) fn start_verification(&mut self) {
        let call = self.new_call_id();
        let key = snapshot_key(self.shard);
        self.effects.push(KeeperEffect::Read { call, key });
        self.stage = KeeperStage::Verifying { call };
    }

    /// Starts to decide operations.
    pub(crate) fn start_serving(&mut self, now: Instant) {
        self.stage = KeeperStage::Serving(None);
        self.notice(KeeperNotice::TookOver {
            sequence: self.committed,
        });
        let declare = self.proven_dead.iter().cloned().map(InternalWork::Declare);
        self.internal_work.extend(declare);
        self.start_fence_rounds(now);
    }

    /// Starts to collect fence confirmations for the closing holders.
    pub(crate) fn start_fence_rounds(&mut self, now: Instant) {
        for dead in self.ledger.closing_holders() {
            self.effects.extend(self.fence_rounds.start(dead, now));
        }
    }

    /// Schedules the reclaim of the closing holders that every router has confirmed.
    fn schedule_reclaims(&mut self) {
        let finished = self.fence_rounds.take_finished(&self.proven_dead);
        let reclaim = finished.into_iter().map(InternalWork::Reclaim);
        self.internal_work.extend(reclaim);
    }

    fn tick(&mut self, now: Instant) {
        if let Some((keeper, since)) = &self.handover_to
            && now.duration_since(*since) >= self.settings.handover
        {
            self.chosen = Some(keeper.clone());
            self.handover_to = None;
            self.step_down(now);
        }
        match &self.stage {
            KeeperStage::Pausing { until } if *until <= now => self.start_load(now),
            KeeperStage::Fencing(pending) | KeeperStage::Serving(Some(pending))
                if pending.retry_at().is_some_and(|at| at <= now) =>
            {
                self.retry_swap();
            }
            _ => {}
        }
        self.answer_overdue(now);
        let requests = self
            .fence_rounds
            .repeat_requests(now, self.settings.fence_retry);
        self.effects.extend(requests);
    }

    pub(crate) fn notice(&mut self, notice: KeeperNotice) {
        self.effects.push(KeeperEffect::Notice(notice));
    }

    pub(crate) fn new_call_id(&mut self) -> StoreCallId {
        self.next_call += 1;
        StoreCallId(self.next_call)
    }
}
