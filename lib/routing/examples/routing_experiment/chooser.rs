//! The routing policies that are compared.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use indexmap::IndexMap;
use snipegate_routing::AttemptId;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::BlockHash;
use snipegate_routing::CacheEvent;
use snipegate_routing::EngineRole;
use snipegate_routing::FailedAttempt;
use snipegate_routing::LoadReport;
use snipegate_routing::PromptPrefix;
use snipegate_routing::RequestPhase;
use snipegate_routing::RetryDecision;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_routing::ServedModel;
use snipegate_routing::UpstreamKind;
use snipegate_routing::UpstreamSpec;
use snipegate_routing::UpstreamState;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::load::LoadRequest;

/// Maximum number of attempts for one request under the baseline policies.
const BASELINE_ATTEMPTS: u32 = 3;

/// Progress timeout of the baseline policies.
const BASELINE_TIMEOUT: Duration = Duration::from_secs(5);

/// The routing policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyName {
    /// The routing policy of this crate.
    Snipegate,
    RoundRobin,
    Random,
    /// The engine with the fewest outstanding requests of this router.
    LeastOutstanding,
    /// The engine with the lowest sum of own outstanding requests and the last reported
    /// load, regardless of the report's age.
    LeastReported,
    /// The engine is determined by the hash of the first block.
    PrefixHash,
}

/// An engine picked for a request.
pub struct Pick {
    pub engine: usize,
    pub attempt: Option<AttemptId>,
    pub first_byte_timeout: Duration,
    pub progress_timeout: Duration,
}

/// The decisions of one router under one policy.
pub struct Chooser {
    name: PolicyName,
    table: RouteTable,
    outstanding: Vec<u32>,
    reported: Vec<f64>,
    next_engine: usize,
    rng: Rng,
    engine_names: IndexMap<String, usize>,
    model: ModelName,
}

impl Chooser {
    pub fn new(
        name: PolicyName,
        policy: RoutePolicy,
        engines: usize,
        slots: usize,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut table = RouteTable::new(policy, seed);
        let specs: Vec<UpstreamSpec> = (0..engines).map(|i| spec(i, slots)).collect();
        let engine_names = specs
            .iter()
            .enumerate()
            .map(|(i, spec)| (spec.id.to_string(), i))
            .collect();
        table.set_upstreams(specs, now);
        Self {
            name,
            table,
            outstanding: vec![0; engines],
            reported: vec![0.0; engines],
            next_engine: seed as usize % engines,
            rng: Rng::with_seed(seed),
            engine_names,
            model: "model".parse().expect("valid name"),
        }
    }

    fn uses_route_table(&self) -> bool {
        self.name == PolicyName::Snipegate
    }

    fn route_request(
        &self,
        request: &LoadRequest,
        failed_upstreams: &[usize],
        deadline: Instant,
    ) -> RouteRequest {
        let blocks: Vec<BlockHash> = request.blocks.iter().copied().map(BlockHash).collect();
        RouteRequest {
            workspace: "w".parse().expect("valid name"),
            profile: "p".parse().expect("valid name"),
            kind: UpstreamKind::ModelRunner,
            model: self.model.clone(),
            version: None,
            adapter: None,
            phase: RequestPhase::Start,
            priority: request.priority,
            deadline: Some(deadline),
            idempotent: true,
            prompt_tokens: TokenCount(request.prompt_tokens),
            max_tokens: TokenCount(request.max_tokens),
            prefix: PromptPrefix::from(blocks),
            failed_upstreams: failed_upstreams.iter().map(|&i| spec(i, 1).id).collect(),
        }
    }

    /// Picks an engine, or returns why the request is refused.
    pub fn pick(
        &mut self,
        request: &LoadRequest,
        failed_upstreams: &[usize],
        deadline: Instant,
        now: Instant,
    ) -> Result<Pick, String> {
        if self.uses_route_table() {
            let request = self.route_request(request, failed_upstreams, deadline);
            let choice = self
                .table
                .choose(&request, now)
                .map_err(|refusal| refusal.reason.to_string())?;
            return Ok(Pick {
                engine: self.engine_names[choice.upstream.as_str()],
                attempt: Some(choice.attempt),
                first_byte_timeout: choice.first_byte_timeout,
                progress_timeout: choice.progress_timeout,
            });
        }
        let engine = self.pick_baseline(request);
        self.outstanding[engine] += 1;
        Ok(Pick {
            engine,
            attempt: None,
            first_byte_timeout: BASELINE_TIMEOUT,
            progress_timeout: BASELINE_TIMEOUT,
        })
    }

    fn pick_baseline(&mut self, request: &LoadRequest) -> usize {
        let engines = self.outstanding.len();
        self.next_engine = (self.next_engine + 1) % engines;
        match self.name {
            PolicyName::Snipegate | PolicyName::RoundRobin => self.next_engine,
            PolicyName::Random => self.rng.usize(..engines),
            PolicyName::LeastOutstanding => {
                self.least_loaded(|chooser, i| chooser.own_outstanding(i))
            }
            PolicyName::LeastReported => {
                self.least_loaded(|chooser, i| chooser.own_outstanding(i) + chooser.reported[i])
            }
            PolicyName::PrefixHash => match request.blocks.first() {
                Some(&first) => (hash_block(first) % engines as u64) as usize,
                None => self.rng.usize(..engines),
            },
        }
    }

    fn own_outstanding(&self, engine: usize) -> f64 {
        f64::from(self.outstanding[engine])
    }

    /// Returns the engine with the lowest load. Ties are broken in round-robin order.
    fn least_loaded(&self, load: impl Fn(&Self, usize) -> f64) -> usize {
        let engines = self.outstanding.len();
        (0..engines)
            .map(|i| (self.next_engine + i) % engines)
            .min_by(|&a, &b| load(self, a).total_cmp(&load(self, b)))
            .expect("at least one engine is required")
    }

    pub fn record_first_byte(&mut self, attempt: Option<AttemptId>, now: Instant) {
        if let Some(attempt) = attempt {
            self.table.record_first_byte(attempt, now);
        }
    }

    pub fn finish_attempt(
        &mut self,
        engine: usize,
        attempt: Option<AttemptId>,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        match attempt {
            Some(attempt) => self.table.finish_attempt(attempt, outcome, now),
            None => self.outstanding[engine] -= 1,
        }
    }

    /// Decides whether a failed request is retried, or returns why it is not.
    pub fn decide_retry(
        &mut self,
        request: &LoadRequest,
        outcome: AttemptOutcome,
        sent: bool,
        attempts: u32,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), String> {
        if !self.uses_route_table() {
            return match !sent && attempts < BASELINE_ATTEMPTS && now < deadline {
                true => Ok(()),
                false => Err("failed".to_owned()),
            };
        }
        let request = self.route_request(request, &[], deadline);
        let failed = FailedAttempt {
            outcome,
            bytes_sent_to_caller: ByteCount(u64::from(sent)),
            resumable: false,
            attempts,
        };
        match self.table.decide_retry(&request, &failed, now) {
            RetryDecision::GiveUp(refusal) => Err(refusal.reason.to_string()),
            RetryDecision::SendAgain(_) | RetryDecision::Resume => Ok(()),
        }
    }

    pub fn record_load_report(&mut self, engine: usize, report: &LoadReport, now: Instant) {
        if self.uses_route_table() {
            let id = spec(engine, 1).id;
            self.table.record_load_report(&id, report, now);
        }
        let total = f64::from(report.running + report.queued);
        self.reported[engine] = (total - self.own_outstanding(engine)).max(0.0);
    }

    pub fn apply_cache_event(&mut self, engine: usize, event: &CacheEvent) {
        if self.uses_route_table() {
            self.table.apply_cache_event(&spec(engine, 1).id, event);
        }
    }
}

fn spec(index: usize, slots: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("engine-{index}").parse().expect("valid name"),
        data_centre: format!("dc-{}", index % 3).parse().expect("valid name"),
        kind: UpstreamKind::ModelRunner,
        models: vec![ServedModel {
            model: "model".parse().expect("valid name"),
            version: None,
            adapters: Vec::new(),
        }],
        role: EngineRole::Mixed,
        slots: slots as u32,
        state: UpstreamState::Up,
    }
}

fn hash_block(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
}
