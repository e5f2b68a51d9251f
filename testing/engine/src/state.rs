//! State shared by the stand-in's request handlers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::fault::ActiveFaults;
use crate::fault::FaultChange;
use crate::order::OrderLog;
use crate::prefix_cache::PrefixCache;
use crate::record::WorkKind;
use crate::record::WorkRecord;
use crate::record::WorkState;
use crate::record::unix_millis;
use crate::slots::SlotQueue;

/// Maximum number of load reports retained to serve them with a lag.
const MAX_RETAINED_REPORTS: usize = 4_096;

/// Settings of the simulated upstream.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the upstream in its records.
    pub name: String,
    /// Served models; if empty, all are served.
    pub models: Vec<String>,
    /// Version of the models.
    pub version: String,
    /// Maximum number of requests in a batch.
    pub slots: usize,
    /// Prefill time per uncached prompt token.
    pub prefill: Duration,
    /// Decoding time per output token of a request that runs alone.
    pub decode: Duration,
    /// Additional decoding time per output token for each other running request.
    pub decode_per_request: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay before load reports become visible.
    pub load_lag: Duration,
    /// Delay before cache events become visible.
    pub event_lag: Duration,
    /// Probability that a cache event is lost.
    pub event_gap: f64,
    /// Whether orders with outdated fencing numbers are rejected.
    pub honours_fencing: bool,
    /// Processing time of a plain service call.
    pub service_time: Duration,
    /// Seed of all random number generators.
    pub seed: u64,
}

/// Load report of the engine, which may be outdated.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Time of the measurement in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Number of running requests.
    pub running: usize,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Number of blocks in the prefix cache.
    pub cached_blocks: usize,
    /// Served models.
    pub models: Vec<String>,
    /// Version of the models.
    pub version: String,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// State of the upstream, shared among clones.
#[derive(Clone)]
pub struct EngineState {
    inner: Arc<Mutex<EngineInner>>,
}

/// Upstream state protected by the mutex.
pub struct EngineInner {
    /// Settings of the simulated upstream.
    pub settings: EngineSettings,
    /// The faults currently injected.
    pub faults: ActiveFaults,
    /// Slots of the running batch.
    pub slots: SlotQueue,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The executed orders.
    pub orders: OrderLog,
    records: Vec<WorkRecord>,
    reports: VecDeque<(Instant, LoadReport)>,
    leaving: bool,
    confirmations: u64,
}

impl EngineState {
    /// Creates an idle upstream.
    pub fn new(settings: EngineSettings) -> Self {
        let cache = PrefixCache::new(
            settings.cache_blocks,
            settings.event_lag,
            settings.event_gap,
            settings.seed,
        );
        let mut inner = EngineInner {
            faults: ActiveFaults::new(settings.seed),
            slots: SlotQueue::new(settings.slots),
            cache,
            orders: OrderLog::new(settings.honours_fencing),
            records: Vec::new(),
            reports: VecDeque::new(),
            leaving: false,
            confirmations: 0,
            settings,
        };
        inner.record_load(Instant::now());
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Locks the state, even if a thread panicked while holding the lock.
    pub fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change to the faults.
    pub fn change_faults(&self, change: &FaultChange) {
        self.lock().faults.change(change);
    }
}

impl EngineInner {
    /// Records the arrival of work and returns the index of the record.
    pub fn record_start(
        &mut self,
        kind: WorkKind,
        request: &str,
        key: &str,
        resumed_from: u64,
    ) -> usize {
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

    /// Adds an output token to a record.
    pub fn record_token(&mut self, index: usize) {
        self.records[index].tokens += 1;
    }

    /// Records the end of work, unless it has already ended.
    pub fn record_end(&mut self, index: usize, state: WorkState) {
        let record = &mut self.records[index];
        if record.state == WorkState::Running {
            record.state = state;
            record.ended_ms = Some(unix_millis());
        }
    }

    /// Returns the records of all work.
    pub fn records(&self) -> &[WorkRecord] {
        &self.records
    }

    /// Sets whether the upstream is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.record_load(Instant::now());
    }

    /// Returns the next confirmation number of a plain service.
    pub fn next_confirmation(&mut self) -> u64 {
        self.confirmations += 1;
        self.confirmations
    }

    /// Records the current load for later readers.
    pub fn record_load(&mut self, now: Instant) {
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
        if self.reports.len() > MAX_RETAINED_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns the newest load report that is at least as old as the lag.
    ///
    /// If every report is newer, returns the oldest.
    pub fn lagged_load_report(&self, now: Instant) -> Option<LoadReport> {
        let visible = self
            .reports
            .iter()
            .rfind(|(since, _)| *since + self.settings.load_lag <= now);
        visible
            .or(self.reports.front())
            .map(|(_, report)| report.clone())
    }
}
