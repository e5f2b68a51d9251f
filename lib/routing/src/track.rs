//! What a router knows of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::rendezvous_seed;
use crate::policy::RoutePolicy;
use crate::request::RequestPhase;
use crate::request::RouteRequest;
use crate::trust::CacheTrust;
use crate::upstream::EngineRole;
use crate::upstream::LoadReport;
use crate::upstream::UpstreamSpec;
use crate::upstream::UpstreamState;

/// Weight of a new sample of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Time in which slowness without new samples goes half-way back to normal.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);

/// Standard deviations up to which a reported load counts as the mean.
const CHANCE_DEVIATIONS: f64 = 3.0;

/// Most that one sample of slowness counts.
const MAX_SLOWNESS_SAMPLE: f64 = 20.0;

/// Whether an upstream is trusted with work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HealthState {
    /// It works; this many failures came in a row.
    Working { failures: u32 },
    /// It is passed over until then; `streak` ejections came in a row.
    Ejected { until: Instant, streak: u32 },
    /// One request at a time tells whether it works again.
    Probing { streak: u32, in_flight: bool },
}

/// Whether an upstream may be chosen as far as its health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthVerdict {
    Usable,
    /// Usable for one request that may be repeated.
    Probe,
    Ejected,
}

/// A load report as it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    /// Work of other routers, in requests.
    others: f64,
    /// When the engine made the report.
    taken_at: Instant,
}

/// What a router knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTrack {
    pub spec: UpstreamSpec,
    /// This router's requests there.
    pub outstanding: u32,
    /// Uncached prompt tokens of this router's requests without a first token.
    pub prefill_tokens: u64,
    /// Stands for the upstream in the placement of prefixes.
    pub affinity_seed: u64,
    /// Changes when the upstream's cache is cleared; never used twice in a pool.
    pub cache_epoch: u32,
    pub cache: CacheTrust,
    /// The pool's count of choices when this upstream was chosen last.
    pub last_chosen: u64,
    load: Option<ReceivedLoad>,
    slowness: f64,
    slowness_at: Instant,
    health: HealthState,
}

impl UpstreamTrack {
    pub fn new(spec: UpstreamSpec, cache_epoch: u32, now: Instant) -> Self {
        Self {
            outstanding: 0,
            prefill_tokens: 0,
            last_chosen: 0,
            affinity_seed: rendezvous_seed(&spec.id),
            cache_epoch,
            cache: CacheTrust::default(),
            spec,
            load: None,
            slowness: 1.0,
            slowness_at: now,
            health: HealthState::Working { failures: 0 },
        }
    }

    /// Tells whether the upstream serves the request's model, version, adapter and phase.
    pub fn serves(&self, request: &RouteRequest) -> bool {
        let role_fits = match (self.spec.role, request.phase) {
            (EngineRole::Mixed, _) => true,
            (EngineRole::Decode, RequestPhase::Resume) => true,
            (EngineRole::Decode, RequestPhase::Whole) | (EngineRole::Prefill, _) => false,
        };
        role_fits
            && self.spec.kind == request.kind
            && self.spec.models.iter().any(|served| {
                served.model == request.model
                    && (request.version.is_none() || served.version == request.version)
                    && request
                        .adapter
                        .as_ref()
                        .is_none_or(|adapter| served.adapters.contains(adapter))
            })
    }

    pub fn is_leaving(&self) -> bool {
        self.spec.state == UpstreamState::Leaving
    }

    /// Returns the number of requests that the upstream works on at once.
    pub fn slots(&self) -> f64 {
        f64::from(self.spec.slots.max(1))
    }

    pub fn health(&self, now: Instant) -> HealthVerdict {
        match self.health {
            HealthState::Working { .. } => HealthVerdict::Usable,
            HealthState::Ejected { until, .. } if now < until => HealthVerdict::Ejected,
            HealthState::Ejected { .. } => HealthVerdict::Probe,
            HealthState::Probing { in_flight, .. } if in_flight => HealthVerdict::Ejected,
            HealthState::Probing { .. } => HealthVerdict::Probe,
        }
    }

    /// Returns when an ejected upstream will be probed.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.health {
            HealthState::Ejected { until, .. } => Some(until),
            HealthState::Working { .. } | HealthState::Probing { .. } => None,
        }
    }

    /// Tells whether the upstream is ejected or on probation.
    pub fn is_suspect(&self) -> bool {
        !matches!(self.health, HealthState::Working { .. })
    }

    /// Notes that a request was given to the upstream.
    pub fn began(&mut self, uncached: u64) {
        self.outstanding += 1;
        self.prefill_tokens += uncached;
        if let HealthState::Ejected { streak, .. } | HealthState::Probing { streak, .. } =
            self.health
        {
            self.health = HealthState::Probing {
                streak,
                in_flight: true,
            };
        }
    }

    /// Notes that a request of this router is there no longer.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let HealthState::Probing { streak, .. } = self.health {
            self.health = HealthState::Probing {
                streak,
                in_flight: false,
            };
        }
    }

    pub fn succeeded(&mut self) {
        self.health = HealthState::Working { failures: 0 };
    }

    /// Notes a failure; returns whether the upstream is ejected for it.
    pub fn failed(&mut self, policy: &RoutePolicy, may_eject: bool, now: Instant) -> bool {
        let streak = match self.health {
            HealthState::Working { failures } if failures + 1 < policy.eject_failures => {
                self.health = HealthState::Working {
                    failures: failures + 1,
                };
                return false;
            }
            HealthState::Working { .. } if !may_eject => return false,
            HealthState::Working { .. } => 0,
            // Requests from before the ejection fail late; they add nothing.
            HealthState::Ejected { .. } => return false,
            HealthState::Probing { streak, .. } => streak + 1,
        };
        let span = policy
            .eject_base
            .saturating_mul(1 << streak.min(16))
            .min(policy.eject_most);
        self.health = HealthState::Ejected {
            until: now + span,
            streak,
        };
        true
    }

    pub fn load_reported(&mut self, report: &LoadReport, now: Instant) {
        let total = f64::from(report.running) + f64::from(report.queued);
        self.load = Some(ReceivedLoad {
            others: (total - f64::from(self.outstanding)).max(0.0),
            taken_at: now.checked_sub(report.age).unwrap_or(now),
        });
    }

    /// Returns the age of the last load report.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load
            .map(|load| now.saturating_duration_since(load.taken_at))
    }

    /// Estimates the requests there now; `mean_others` stands in for an old report.
    pub fn busy(&self, policy: &RoutePolicy, mean_others: f64, now: Instant) -> f64 {
        let weight = self.load_weight(policy, now);
        let others = self.load.map_or(mean_others, |load| load.others);
        // What lies within chance is gone before it can be acted on, and every
        // router that acts on the same report makes the next one differ.
        let chance = CHANCE_DEVIATIONS * mean_others.max(1.0).sqrt();
        let deviation = others - mean_others;
        let excess = match others >= self.slots() {
            // A queue outlasts its report.
            true => deviation,
            false => deviation - deviation.clamp(-chance, chance),
        };
        f64::from(self.outstanding) + mean_others + weight * excess
    }

    /// Returns the prompt tokens of this router that wait there.
    ///
    /// Those of others are processed before a report of them arrives.
    pub fn backlog(&self) -> f64 {
        self.prefill_tokens as f64
    }

    /// Returns the last reported work of other routers.
    pub fn reported_others(&self) -> Option<f64> {
        self.load.map(|load| load.others)
    }

    fn load_weight(&self, policy: &RoutePolicy, now: Instant) -> f64 {
        match self.load_age(now) {
            Some(age) => half_life_weight(age, policy.load_half_life),
            None => 0.0,
        }
    }

    /// Notes the observed time to the first token against the one expected.
    pub fn first_token(&mut self, observed: f64, expected: f64, now: Instant) {
        let sample = (observed / expected.max(1e-3)).min(MAX_SLOWNESS_SAMPLE);
        let current = self.slowness(now);
        self.slowness = current + SLOWNESS_WEIGHT * (sample - current);
        self.slowness_at = now;
    }

    /// Returns how many times longer than expected first tokens take here.
    pub fn slowness(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.slowness_at);
        1.0 + (self.slowness - 1.0) * half_life_weight(span, SLOWNESS_HALF_LIFE)
    }
}

fn half_life_weight(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(1e-6)).exp2()
}
