//! The policies that are compared.

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

/// Attempts that baselines make for one request.
const BASELINE_ATTEMPTS: u32 = 3;

/// How long baselines wait for progress.
const BASELINE_TIMEOUT: Duration = Duration::from_secs(5);

/// The policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyName {
    /// Ours.
    Snipegate,
    RoundRobin,
    Random,
    /// The router's own outstanding requests.
    LeastOutstanding,
    /// Own outstanding requests and the last reported load, whatever its age.
    LeastReported,
    /// The first block's hash picks the engine.
    PrefixHash,
}

/// An engine picked for a request.
pub struct Pick {
    pub engine: usize,
    pub attempt: Option<AttemptId>,
    pub first_byte_timeout: Duration,
    pub progress_timeout: Duration,
}

/// One router's decisions under one policy.
pub struct Chooser {
    name: PolicyName,
    table: RouteTable,
    outstanding: Vec<u32>,
    reported: Vec<f64>,
    next: usize,
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
        table.upstreams_changed(specs, now);
        Self {
            name,
            table,
            outstanding: vec![0; engines],
            reported: vec![0.0; engines],
            next: seed as usize % engines,
            rng: Rng::with_seed(seed),
            engine_names,
            model: "model".parse().expect("a plain name"),
        }
    }

    fn is_ours(&self) -> bool {
        self.name == PolicyName::Snipegate
    }

    fn route_request(
        &self,
        request: &LoadRequest,
        avoid: &[usize],
        deadline: Instant,
    ) -> RouteRequest {
        let blocks: Vec<BlockHash> = request.blocks.iter().copied().map(BlockHash).collect();
        RouteRequest {
            workspace: "w".parse().expect("a plain name"),
            profile: "p".parse().expect("a plain name"),
            kind: UpstreamKind::ModelRunner,
            model: self.model.clone(),
            version: None,
            adapter: None,
            phase: RequestPhase::Whole,
            priority: request.priority,
            deadline: Some(deadline),
            idempotent: true,
            prompt_tokens: TokenCount(request.prompt_tokens),
            max_tokens: TokenCount(request.max_tokens),
            prefix: PromptPrefix::from(blocks),
            avoid: avoid.iter().map(|&i| spec(i, 1).id).collect(),
        }
    }

    /// Picks an engine, or tells why the request is refused.
    pub fn pick(
        &mut self,
        request: &LoadRequest,
        avoid: &[usize],
        deadline: Instant,
        now: Instant,
    ) -> Result<Pick, String> {
        if self.is_ours() {
            let request = self.route_request(request, avoid, deadline);
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
        self.next = (self.next + 1) % engines;
        match self.name {
            PolicyName::Snipegate | PolicyName::RoundRobin => self.next,
            PolicyName::Random => self.rng.usize(..engines),
            PolicyName::LeastOutstanding => self.least(|chooser, i| chooser.own(i)),
            PolicyName::LeastReported => {
                self.least(|chooser, i| chooser.own(i) + chooser.reported[i])
            }
            PolicyName::PrefixHash => match request.blocks.first() {
                Some(&first) => (mix(first) % engines as u64) as usize,
                None => self.rng.usize(..engines),
            },
        }
    }

    fn own(&self, engine: usize) -> f64 {
        f64::from(self.outstanding[engine])
    }

    /// Returns the engine of the least load, the next in turn among equals.
    fn least(&self, load: impl Fn(&Self, usize) -> f64) -> usize {
        let engines = self.outstanding.len();
        (0..engines)
            .map(|i| (self.next + i) % engines)
            .min_by(|&a, &b| load(self, a).total_cmp(&load(self, b)))
            .expect("there are engines")
    }

    pub fn first_byte(&mut self, attempt: Option<AttemptId>, now: Instant) {
        if let Some(attempt) = attempt {
            self.table.first_byte(attempt, now);
        }
    }

    pub fn finished(
        &mut self,
        engine: usize,
        attempt: Option<AttemptId>,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        match attempt {
            Some(attempt) => self.table.finished(attempt, outcome, now),
            None => self.outstanding[engine] -= 1,
        }
    }

    /// Tells whether a failed request is tried again.
    pub fn retries(
        &mut self,
        request: &LoadRequest,
        outcome: AttemptOutcome,
        sent: bool,
        attempts: u32,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), String> {
        if !self.is_ours() {
            return match !sent && attempts < BASELINE_ATTEMPTS && now < deadline {
                true => Ok(()),
                false => Err("failed".to_owned()),
            };
        }
        let request = self.route_request(request, &[], deadline);
        let failed = FailedAttempt {
            outcome,
            sent_to_caller: ByteCount(u64::from(sent)),
            resumable: false,
            attempts,
        };
        match self.table.retry_after_failure(&request, &failed, now) {
            RetryDecision::GiveUp(refusal) => Err(refusal.reason.to_string()),
            RetryDecision::SendAgain(_) | RetryDecision::Resume => Ok(()),
        }
    }

    pub fn load_reported(&mut self, engine: usize, report: &LoadReport, now: Instant) {
        if self.is_ours() {
            let id = spec(engine, 1).id;
            self.table.load_reported(&id, report, now);
        }
        let total = f64::from(report.running + report.queued);
        self.reported[engine] = (total - self.own(engine)).max(0.0);
    }

    pub fn cache_event(&mut self, engine: usize, event: &CacheEvent) {
        if self.is_ours() {
            self.table.cache_event(&spec(engine, 1).id, event);
        }
    }
}

fn spec(index: usize, slots: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("engine-{index}").parse().expect("a plain name"),
        data_centre: format!("dc-{}", index % 3).parse().expect("a plain name"),
        kind: UpstreamKind::ModelRunner,
        models: vec![ServedModel {
            model: "model".parse().expect("a plain name"),
            version: None,
            adapters: Vec::new(),
        }],
        role: EngineRole::Mixed,
        slots: slots as u32,
        state: UpstreamState::Up,
    }
}

fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
}
