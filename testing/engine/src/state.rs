//! Everything that the stand-in's handlers share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::fault::FaultChange;
use crate::fault::FaultPlan;
use crate::order::OrderLog;
use crate::prefix_cache::PrefixCache;
use crate::record::WorkKind;
use crate::record::WorkRecord;
use crate::record::WorkState;
use crate::record::unix_millis;
use crate::slots::SlotQueue;

/// Load reports kept for lagging readers.
const KEPT_REPORTS: usize = 4_096;

/// What the stand-in pretends to be.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name in the records.
    pub name: String,
    /// Models that it serves; any if empty.
    pub models: Vec<String>,
    /// Version of the models.
    pub version: String,
    /// Requests in one batch.
    pub slots: usize,
    /// Time for each prompt token that is not cached.
    pub prefill: Duration,
    /// Time for each output token of a request that runs alone.
    pub decode: Duration,
    /// Time that each other running request adds to an output token.
    pub decode_per_request: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age of cache events.
    pub event_lag: Duration,
    /// Probability that a cache event is lost.
    pub event_gap: f64,
    /// Whether old fencing numbers are refused.
    pub honours_fencing: bool,
    /// Time that a call of a plain service takes.
    pub service_time: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

/// What the engine says of its load, as it was some time ago.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Milliseconds since the Unix epoch when it was true.
    pub as_of_ms: u64,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that can run at a time.
    pub slots: usize,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
    /// Models that are served.
    pub models: Vec<String>,
    /// Version of the models.
    pub version: String,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// The upstream; clones share one state.
#[derive(Clone)]
pub struct EngineState {
    inner: Arc<Mutex<EngineInner>>,
}

/// The state behind the lock.
pub struct EngineInner {
    /// What it pretends to be.
    pub settings: EngineSettings,
    /// The faults that are switched on.
    pub plan: FaultPlan,
    /// The batch.
    pub slots: SlotQueue,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The orders.
    pub orders: OrderLog,
    records: Vec<WorkRecord>,
    reports: VecDeque<(Instant, LoadReport)>,
    leaving: bool,
    confirmations: u64,
}

impl EngineState {
    /// Makes an idle upstream.
    pub fn new(settings: EngineSettings) -> Self {
        let cache = PrefixCache::new(
            settings.cache_blocks,
            settings.event_lag,
            settings.event_gap,
            settings.seed,
        );
        let mut inner = EngineInner {
            plan: FaultPlan::new(settings.seed),
            slots: SlotQueue::new(settings.slots),
            cache,
            orders: OrderLog::new(settings.honours_fencing),
            records: Vec::new(),
            reports: VecDeque::new(),
            leaving: false,
            confirmations: 0,
            settings,
        };
        inner.report(Instant::now());
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches faults on or off.
    pub fn change_faults(&self, change: &FaultChange) {
        self.lock().plan.change(change);
    }
}

impl EngineInner {
    /// Records that work came, and returns its number.
    pub fn begin(&mut self, kind: WorkKind, request: &str, key: &str, resumed_from: u64) -> usize {
        self.records.push(WorkRecord {
            upstream: self.settings.name.clone(),
            kind,
            request: request.to_owned(),
            key: key.to_owned(),
            started_ms: unix_millis(),
            ended_ms: None,
            state: WorkState::Running,
            resumed_from,
            tokens: 0,
            while_leaving: self.leaving,
        });
        self.records.len() - 1
    }

    /// Records one more output token.
    pub fn count_token(&mut self, number: usize) {
        self.records[number].tokens += 1;
    }

    /// Records how work ended; the first end counts.
    pub fn end(&mut self, number: usize, state: WorkState) {
        let record = &mut self.records[number];
        if record.state == WorkState::Running {
            record.state = state;
            record.ended_ms = Some(unix_millis());
        }
    }

    /// Returns what ran.
    pub fn records(&self) -> &[WorkRecord] {
        &self.records
    }

    /// Begins or ends leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.report(Instant::now());
    }

    /// Returns the next confirmation number of a plain service.
    pub fn next_confirmation(&mut self) -> u64 {
        self.confirmations += 1;
        self.confirmations
    }

    /// Notes the load, for readers to come.
    pub fn report(&mut self, now: Instant) {
        let report = LoadReport {
            as_of_ms: unix_millis(),
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            slots: self.settings.slots,
            cached_blocks: self.cache.len(),
            models: self.settings.models.clone(),
            version: self.settings.version.clone(),
            leaving: self.leaving,
        };
        self.reports.push_back((now, report));
        if self.reports.len() > KEPT_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was before the lag.
    pub fn lagging_report(&self, now: Instant) -> Option<LoadReport> {
        let shown = self
            .reports
            .iter()
            .rfind(|(since, _)| *since + self.settings.load_lag <= now);
        shown
            .or(self.reports.front())
            .map(|(_, report)| report.clone())
    }
}
