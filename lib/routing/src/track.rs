//! State that a router keeps for one upstream.

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

/// Weight of a new sample in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Half-life of the deviation of slowness from 1 without new samples.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of standard deviations within which a reported load is treated as the mean.
const CHANCE_DEVIATIONS: f64 = 3.0;

/// Upper bound of one sample of slowness.
const MAX_SLOWNESS_SAMPLE: f64 = 20.0;

/// Health of an upstream, with its ejection state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HealthState {
    /// Healthy, with this many consecutive failures.
    Working { failures: u32 },
    /// Not chosen before `until`, after `streak` earlier consecutive ejections.
    Ejected { until: Instant, streak: u32 },
    /// Sent one request at a time to find out whether it has recovered.
    Probing { streak: u32, in_flight: bool },
}

/// Whether the health of an upstream allows choosing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthVerdict {
    Usable,
    /// Only for a single idempotent request, as a probe.
    Probe,
    Ejected,
}

/// A received load report.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    /// Number of requests from other routers.
    others: f64,
    /// When the engine created the report.
    taken_at: Instant,
}

/// State that a router keeps for one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTrack {
    pub spec: UpstreamSpec,
    /// Number of outstanding requests of this router.
    pub outstanding: u32,
    /// Estimated uncached prompt tokens of this router's requests that have no first
    /// token yet.
    pub prefill_tokens: u64,
    /// Seed of the upstream in rendezvous hashing of prefixes.
    pub affinity_seed: u64,
    /// Identifies the contents of the cache between two clearings. Never reused within a
    /// pool.
    pub cache_epoch: u32,
    pub cache: CacheTrust,
    /// Sequence number of the pool's most recent choice of this upstream.
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

    /// Returns whether the upstream serves the request's model, version, adapter and
    /// phase.
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

    /// Returns the number of requests that the upstream processes concurrently.
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

    /// Returns when an ejected upstream becomes eligible for a probe.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.health {
            HealthState::Ejected { until, .. } => Some(until),
            HealthState::Working { .. } | HealthState::Probing { .. } => None,
        }
    }

    /// Returns whether the upstream is ejected or being probed.
    pub fn is_suspect(&self) -> bool {
        !matches!(self.health, HealthState::Working { .. })
    }

    /// Records that a request was assigned to the upstream.
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

    /// Records that a request of this router has ended.
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

    /// Records a failure and returns whether it caused an ejection.
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
            // Requests sent before the ejection can fail late and must not extend it.
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

    /// Returns the age of the latest load report.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load
            .map(|load| now.saturating_duration_since(load.taken_at))
    }

    /// Estimates the current number of requests at the upstream. As the load report ages,
    /// `mean_others` replaces the reported load from other routers.
    pub fn busy(&self, policy: &RoutePolicy, mean_others: f64, now: Instant) -> f64 {
        let weight = self.load_weight(policy, now);
        let others = self.load.map_or(mean_others, |load| load.others);
        // A deviation within random variation has disappeared before a router can act on
        // it, and routers that all act on the same report cause the deviation in the next
        // one.
        let chance = CHANCE_DEVIATIONS * mean_others.max(1.0).sqrt();
        let deviation = others - mean_others;
        let excess = match others >= self.slots() {
            // A queue persists longer than a report takes to arrive.
            true => deviation,
            false => deviation - deviation.clamp(-chance, chance),
        };
        f64::from(self.outstanding) + mean_others + weight * excess
    }

    /// Returns this router's prompt tokens that wait for processing.
    ///
    /// The prompts of other routers are not included, because they are processed before a
    /// report of them arrives.
    pub fn backlog(&self) -> f64 {
        self.prefill_tokens as f64
    }

    /// Returns the last reported number of requests from other routers.
    pub fn reported_others(&self) -> Option<f64> {
        self.load.map(|load| load.others)
    }

    fn load_weight(&self, policy: &RoutePolicy, now: Instant) -> f64 {
        match self.load_age(now) {
            Some(age) => half_life_weight(age, policy.load_half_life),
            None => 0.0,
        }
    }

    /// Records the observed and the expected time to the first token.
    pub fn first_token(&mut self, observed: f64, expected: f64, now: Instant) {
        let sample = (observed / expected.max(1e-3)).min(MAX_SLOWNESS_SAMPLE);
        let current = self.slowness(now);
        self.slowness = current + SLOWNESS_WEIGHT * (sample - current);
        self.slowness_at = now;
    }

    /// Returns the smoothed ratio of the observed to the expected time to the first
    /// token.
    pub fn slowness(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.slowness_at);
        1.0 + (self.slowness - 1.0) * half_life_weight(span, SLOWNESS_HALF_LIFE)
    }
}

fn half_life_weight(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(1e-6)).exp2()
}
