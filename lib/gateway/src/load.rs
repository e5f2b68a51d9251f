//! Outstanding work at each upstream, of this VM and of the others, and the outcomes of
//! recent requests.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::UpstreamId;

use crate::config::ServiceName;
use crate::expectation::ReturnShare;
use crate::expectation::ServiceFit;
use crate::expectation::SpeedSums;
use crate::expectation::SpeedTable;
use crate::expectation::UpstreamSlowness;
use crate::gateway::stable_hash;
use crate::metadata::PromptPart;
use crate::placement::BeginningDemand;
use crate::placement::PlacementChoice;
use crate::placement::SharedBeginning;
use crate::prompt_cache::PromptCache;
use crate::upstream::UpstreamEntry;

/// How long a load report from another VM remains valid.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1500);

/// Time in which the weight of an outcome decays to 1/e.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(4);

/// Decayed number of failures above which an upstream without load is reported.
const MIN_REPORTED_FAILURES: f32 = 0.1;

/// Initial estimate of the time to first byte per token, in ms.
const INITIAL_MS_PER_TOKEN: f64 = 0.025;

/// Bounds of a sample of the time to first byte per token, in ms.
const MS_PER_TOKEN_RANGE: (f64, f64) = (0.008, 0.5);

/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Initial estimate of the duration of a plain request, in ms.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// Outstanding work at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkLoad {
    /// Prompt tokens that the upstream has not processed yet.
    pub unread: u64,
    /// Requests that are not fully answered.
    pub running: u32,
}

/// Outcomes of requests, weighted by exponential decay with age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeTally {
    /// Weight of answered requests.
    pub good: f32,
    /// Weight of requests that failed at the upstream.
    pub failed: f32,
}

impl OutcomeTally {
    fn decayed(self, age: Duration) -> Self {
        let factor = (-age.as_secs_f32() / OUTCOME_DECAY_TIME.as_secs_f32()).exp();
        Self {
            good: self.good * factor,
            failed: self.failed * factor,
        }
    }

    fn merged(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
        }
    }

    /// Returns the share of failures. Adding one to the denominator keeps the share low
    /// while there are few outcomes.
    pub fn failed_share(self) -> f64 {
        f64::from(self.failed) / (f64::from(self.good) + f64::from(self.failed) + 1.0)
    }
}

/// One VM's report about one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Outstanding work of the VM at the upstream.
    pub load: WorkLoad,
    /// Outcomes of the VM's recent requests.
    pub outcomes: OutcomeTally,
}

impl UpstreamReport {
    /// Returns whether the report differs from what receivers assume of an upstream that is
    /// not listed.
    pub fn is_worth_reporting(&self) -> bool {
        self.load != WorkLoad::default() || self.outcomes.failed > MIN_REPORTED_FAILURES
    }
}

#[derive(Debug)]
struct PeerReport {
    report: UpstreamReport,
    at: Instant,
}

/// Outstanding work and recent outcomes at one upstream.
#[derive(Debug)]
pub struct UpstreamLoad {
    /// Hash of the upstream's id, the same on all VMs.
    pub name_hash: u64,
    own: WorkLoad,
    outcomes: OutcomeTally,
    outcomes_at: Instant,
    peers: IndexMap<u64, PeerReport>,
    /// Estimate of the prompt parts in the upstream's cache.
    pub cache: PromptCache,
    ms_per_token: f64,
    service_ms: f64,
}

impl UpstreamLoad {
    fn new(id: &UpstreamId, cache_capacity: u64, now: Instant) -> Self {
        Self {
            name_hash: stable_hash(id.as_str()),
            own: WorkLoad::default(),
            outcomes: OutcomeTally::default(),
            outcomes_at: now,
            peers: IndexMap::new(),
            cache: PromptCache::new(cache_capacity),
            ms_per_token: INITIAL_MS_PER_TOKEN,
            service_ms: INITIAL_SERVICE_MS,
        }
    }

    /// Returns the outstanding work of this VM and of all VMs with a valid report.
    pub fn total(&self, now: Instant) -> WorkLoad {
        self.valid_reports(now)
            .fold(self.own, |total, peer| WorkLoad {
                unread: total.unread + peer.report.load.unread,
                running: total.running + peer.report.load.running,
            })
    }

    /// Returns the recent outcomes of this VM and of all VMs with a valid report.
    pub fn outcomes(&self, now: Instant) -> OutcomeTally {
        let own = self.own_outcomes(now);
        self.valid_reports(now)
            .map(|peer| {
                let age = now.saturating_duration_since(peer.at);
                peer.report.outcomes.decayed(age)
            })
            .fold(own, OutcomeTally::merged)
    }

    /// Returns the estimated time to first byte per token to be processed before it, in ms.
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }

    /// Returns the estimated duration of a plain request, in ms.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    fn own_outcomes(&self, now: Instant) -> OutcomeTally {
        let age = now.saturating_duration_since(self.outcomes_at);
        self.outcomes.decayed(age)
    }

    fn valid_reports(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.at) < PEER_REPORT_TTL)
    }
}

/// Load of all upstreams.
#[derive(Debug)]
pub struct LoadTable {
    upstreams: IndexMap<UpstreamId, UpstreamLoad>,
    cache_capacity: IndexMap<UpstreamId, u64>,
    demand: BeginningDemand,
    speeds: SpeedTable,
    fits: IndexMap<ServiceName, ServiceFit>,
    /// Time to first byte per token over all upstreams, in ms.
    mean_ms_per_token: f64,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self {
            upstreams: IndexMap::new(),
            cache_capacity: IndexMap::new(),
            demand: BeginningDemand::default(),
            speeds: SpeedTable::default(),
            fits: IndexMap::new(),
            mean_ms_per_token: INITIAL_MS_PER_TOKEN,
        }
    }
}

impl LoadTable {
    /// Returns how often all VMs place each shared beginning.
    pub fn demand(&self) -> &BeginningDemand {
        &self.demand
    }

    /// Returns the estimated time to first byte per token over all upstreams, in ms.
    pub fn mean_ms_per_token(&self) -> f64 {
        self.mean_ms_per_token
    }

    /// Returns the load of an upstream, if it was used or reported.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamLoad> {
        self.upstreams.get(id)
    }

    /// Returns the capacity of an upstream's prompt cache; 0 if unknown.
    pub fn cache_capacity(&self, id: &UpstreamId) -> u64 {
        self.cache_capacity.get(id).copied().unwrap_or_default()
    }

    /// Returns the averages of a service.
    pub fn fit(&self, service: &str) -> ServiceFit {
        self.fits.get(service).copied().unwrap_or_default()
    }

    fn fit_mut(&mut self, service: &ServiceName) -> &mut ServiceFit {
        if !self.fits.contains_key(service) {
            self.fits.insert(service.clone(), ServiceFit::default());
        }
        &mut self.fits[service]
    }

    /// Returns how slow an upstream is; `None` if nothing is known.
    pub fn slowness(&self, name_hash: u64, now: Instant) -> Option<UpstreamSlowness> {
        self.speeds.slowness(name_hash, now)
    }

    /// Returns whether some upstream is left out or returns.
    pub fn limits_any(&self) -> bool {
        self.speeds.limits_any()
    }

    /// Returns whether a request may go to an upstream, by how it recently answered. `point` is
    /// random in `0.0..1.0`.
    pub fn admits(&self, id: &UpstreamId, point: f64, now: Instant) -> bool {
        let Some(load) = self.get(id) else {
            return true;
        };
        match self.speeds.return_share(load.name_hash) {
            ReturnShare::Full => true,
            share => share.admits(load.total(now).running, point, now),
        }
    }

    /// Begins a run of an upstream; what was observed of an earlier one is dropped.
    pub fn begin_run(&mut self, entry: &UpstreamEntry) {
        let name_hash = stable_hash(entry.id.as_str());
        self.speeds.begin_run(name_hash, entry.started_ms);
    }

    /// Has the speed of a service's upstreams judged from now on.
    pub fn begin_judging(&mut self, service: &ServiceName) {
        if !self.fits.get(service).is_some_and(|fit| fit.is_judged) {
            self.fit_mut(service).is_judged = true;
        }
    }

    /// Records a prompt that is sent to an upstream of a service.
    pub fn record_prompt(&mut self, service: &ServiceName, tokens: u64) {
        self.fit_mut(service).record_prompt(tokens);
    }

    /// Records how long a request was outstanding.
    pub fn record_residence(&mut self, service: &ServiceName, span: Duration) {
        let residence_ms = span.as_secs_f64() * 1e3;
        self.fit_mut(service).record_residence(residence_ms);
    }

    /// Records the time to the first event of a request. Returns the new state of the upstream if
    /// it is now left out or returns.
    pub fn record_speed(
        &mut self,
        entry: &UpstreamEntry,
        choice: &PlacementChoice,
        span: Duration,
        now: Instant,
    ) -> Option<ReturnShare> {
        let fit = self.fit_mut(&entry.service);
        if !fit.is_judged {
            return None;
        }
        let observed_ms = span.as_secs_f64() * 1e3;
        let wait_ms = choice.wait.as_secs_f64() * 1e3;
        let (tokens, running) = (choice.unread_tokens as f64, choice.running);
        let expected_ms = fit.first_event.expected_ms(tokens, running) + wait_ms;
        if choice.wait.is_zero() {
            fit.first_event.record(tokens, running, observed_ms);
        }
        let name_hash = stable_hash(entry.id.as_str());
        self.speeds.record(name_hash, expected_ms, observed_ms, now)
    }

    /// Stores what another VM observed of an upstream's speed. Returns the new state if the
    /// upstream is now left out or returns.
    pub fn record_peer_speed(
        &mut self,
        id: &UpstreamId,
        peer: u64,
        sums: SpeedSums,
        now: Instant,
    ) -> Option<ReturnShare> {
        let name_hash = stable_hash(id.as_str());
        self.speeds.record_peer(name_hash, peer, sums, now)
    }

    /// Takes what this VM observed of upstreams' speed since the last call.
    pub fn take_speed_news(&mut self) -> Vec<(UpstreamId, SpeedSums)> {
        let news = self.speeds.take_news();
        let id_of = |name_hash: u64| {
            let mut known = self.upstreams.iter();
            let found = known.find(|(_, load)| load.name_hash == name_hash);
            found.map(|(id, _)| id.clone())
        };
        let known = news
            .into_iter()
            .filter_map(|(name_hash, sums)| Some((id_of(name_hash)?, sums)));
        known.collect()
    }

    /// Leaves an upstream out for a while if most of its recent requests failed. Returns its new
    /// state then.
    pub fn judge_failures(
        &mut self,
        service: &str,
        id: &UpstreamId,
        now: Instant,
    ) -> Option<ReturnShare> {
        if !self.fit(service).is_judged {
            return None;
        }
        let load = self.upstreams.get(id)?;
        let failed_share = load.outcomes(now).failed_share();
        self.speeds
            .record_failures(load.name_hash, failed_share, now)
    }

    /// Records a prompt that this or another VM placed.
    pub fn record_placed(&mut self, id: &UpstreamId, parts: &[PromptPart], now: Instant) {
        self.entry(id, now).cache.record(parts, now);
        if let Some(beginning) = SharedBeginning::of(parts) {
            self.demand.record(beginning, now);
        }
    }

    /// Sets the capacity of an upstream's prompt cache.
    pub fn set_cache_capacity(&mut self, id: &UpstreamId, tokens: u64) {
        self.cache_capacity.insert(id.clone(), tokens);
    }

    /// Returns the load of an upstream, which is added if it is missing.
    pub fn entry(&mut self, id: &UpstreamId, now: Instant) -> &mut UpstreamLoad {
        if !self.upstreams.contains_key(id) {
            let capacity = self.cache_capacity.get(id).copied().unwrap_or_default();
            let load = UpstreamLoad::new(id, capacity, now);
            self.upstreams.insert(id.clone(), load);
        }
        &mut self.upstreams[id]
    }

    /// Removes an upstream, unless this VM still has work there.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.cache_capacity.shift_remove(id);
        self.speeds.forget(stable_hash(id.as_str()));
        let idle = |load: &UpstreamLoad| load.own == WorkLoad::default();
        if self.upstreams.get(id).is_some_and(idle) {
            self.upstreams.shift_remove(id);
        }
    }

    /// Adds a request that is being sent, with `uncached_tokens` prompt tokens that are not in
    /// the upstream's cache.
    pub fn begin(
        &mut self,
        id: &UpstreamId,
        uncached_tokens: u64,
        parts: &[PromptPart],
        now: Instant,
    ) {
        let load = self.entry(id, now);
        load.own.unread += uncached_tokens;
        load.own.running += 1;
        self.record_placed(id, parts, now);
    }

    /// Subtracts the tokens of a prompt that the upstream has processed.
    pub fn prefill_finished(&mut self, id: &UpstreamId, uncached_tokens: u64) {
        if let Some(load) = self.upstreams.get_mut(id) {
            load.own.unread = load.own.unread.saturating_sub(uncached_tokens);
        }
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, id: &UpstreamId) {
        if let Some(load) = self.upstreams.get_mut(id) {
            load.own.running = load.own.running.saturating_sub(1);
        }
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, id: &UpstreamId, good: bool, now: Instant) {
        let load = self.entry(id, now);
        let mut outcomes = load.own_outcomes(now);
        match good {
            true => outcomes.good += 1.0,
            false => outcomes.failed += 1.0,
        }
        load.outcomes = outcomes;
        load.outcomes_at = now;
        if good {
            let name_hash = load.name_hash;
            self.speeds.record_good_answer(name_hash, now);
        }
    }

    /// Records the time to first byte of a prompt with `tokens` to be processed before it.
    pub fn record_first_byte(
        &mut self,
        id: &UpstreamId,
        tokens: u64,
        span: Duration,
        now: Instant,
    ) {
        let load = self.entry(id, now);
        let sample = span.as_secs_f64() * 1e3 / tokens.max(1) as f64;
        let sample = sample.clamp(MS_PER_TOKEN_RANGE.0, MS_PER_TOKEN_RANGE.1);
        load.ms_per_token += SAMPLE_WEIGHT * (sample - load.ms_per_token);
        self.mean_ms_per_token += SAMPLE_WEIGHT * (sample - self.mean_ms_per_token);
    }

    /// Records the duration of a plain request.
    pub fn record_service_time(&mut self, id: &UpstreamId, span: Duration, now: Instant) {
        let load = self.entry(id, now);
        load.service_ms += SAMPLE_WEIGHT * (span.as_secs_f64() * 1e3 - load.service_ms);
    }

    /// Removes another VM's reports about all upstreams.
    pub fn forget_peer(&mut self, peer: u64) {
        for load in self.upstreams.values_mut() {
            load.peers.swap_remove(&peer);
        }
    }

    /// Stores another VM's report about an upstream.
    pub fn record_peer_report(
        &mut self,
        id: &UpstreamId,
        peer: u64,
        report: UpstreamReport,
        now: Instant,
    ) {
        let load = self.entry(id, now);
        load.peers.insert(peer, PeerReport { report, at: now });
    }

    /// Returns this VM's report about each upstream.
    pub fn own_reports(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, UpstreamReport)> {
        self.upstreams.iter().map(move |(id, load)| {
            let report = UpstreamReport {
                load: load.own,
                outcomes: load.own_outcomes(now),
            };
            (id, report)
        })
    }
}
