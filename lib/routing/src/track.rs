//! State that a router keeps for one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::rendezvous_seed;
use crate::policy::RoutePolicy;
use crate::request::RequestPhase;
use crate::request::RouteRequest;
use crate::trust::CacheConfidence;
use crate::upstream::EngineRole;
use crate::upstream::LoadReport;
use crate::upstream::UpstreamSpec;
use crate::upstream::UpstreamState;

/// Weight of a new sample in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Half-life of the deviation of slowness from 1 without new samples.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of standard deviations within which a reported load is treated as the mean.
const NOISE_STD_DEVS: f64 = 3.0;

/// Upper bound of one sample of slowness.
const MAX_SLOWNESS_SAMPLE: f64 = 20.0;

/// Health of an upstream, with its ejection state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HealthState {
    /// Healthy, with this many consecutive failures.
    Healthy { failures: u32 },
    /// Not chosen before `until`, after `streak` earlier consecutive ejections.
    Ejected { until: Instant, streak: u32 },
    /// Sent one request at a time to find out whether it has recovered.
    Probing { streak: u32, in_flight: bool },
}

/// Whether the health of an upstream allows choosing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    Usable,
    /// Only for a single idempotent request, as a probe.
    Probe,
    Ejected,
}

/// A received load report.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    /// Number of requests from other routers.
    other_load: f64,
    /// When the engine created the report.
    reported_at: Instant,
}

/// State that a router keeps for one upstream.
#[derive(Clone, Debug)]
pub(crate) struct TrackedUpstream {
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
    pub cache: CacheConfidence,
    /// Sequence number of the pool's most recent choice of this upstream.
    pub last_chosen: u64,
    load_report: Option<ReceivedLoad>,
    slowness: f64,
    slowness_updated_at: Instant,
    health: HealthState,
}

impl TrackedUpstream {
    pub fn new(spec: UpstreamSpec, cache_epoch: u32, now: Instant) -> Self {
        Self {
            outstanding: 0,
            prefill_tokens: 0,
            last_chosen: 0,
            affinity_seed: rendezvous_seed(&spec.id),
            cache_epoch,
            cache: CacheConfidence::default(),
            spec,
            load_report: None,
            slowness: 1.0,
            slowness_updated_at: now,
            health: HealthState::Healthy { failures: 0 },
        }
    }

    /// Returns whether the upstream serves the request's model, version, adapter and
    /// phase.
    pub fn serves(&self, request: &RouteRequest) -> bool {
        let role_fits = match (self.spec.role, request.phase) {
            (EngineRole::Mixed, _) => true,
            (EngineRole::Decode, RequestPhase::Resume) => true,
            (EngineRole::Decode, RequestPhase::Start) | (EngineRole::Prefill, _) => false,
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

    pub fn health(&self, now: Instant) -> HealthStatus {
        match self.health {
            HealthState::Healthy { .. } => HealthStatus::Usable,
            HealthState::Ejected { until, .. } if now < until => HealthStatus::Ejected,
            HealthState::Ejected { .. } => HealthStatus::Probe,
            HealthState::Probing { in_flight, .. } if in_flight => HealthStatus::Ejected,
            HealthState::Probing { .. } => HealthStatus::Probe,
        }
    }

    /// Returns when an ejected upstream becomes eligible for a probe.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.health {
            HealthState::Ejected { until, .. } => Some(until),
            HealthState::Healthy { .. } | HealthState::Probing { .. } => None,
        }
    }

    /// Returns whether the upstream is ejected or being probed.
    pub fn is_suspect(&self) -> bool {
        !matches!(self.health, HealthState::Healthy { .. })
    }

    /// Records that a request was assigned to the upstream.
    pub fn request_started(&mut self, uncached: u64) {
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
    pub fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let HealthState::Probing { streak, .. } = self.health {
            self.health = HealthState::Probing {
                streak,
                in_flight: false,
            };
        }
    }

    pub fn record_success(&mut self) {
        self.health = HealthState::Healthy { failures: 0 };
    }

    /// Records a failure and returns whether it caused an ejection.
    pub fn record_failure(&mut self, policy: &RoutePolicy, may_eject: bool, now: Instant) -> bool {
        let streak = match self.health {
            HealthState::Healthy { failures } if failures + 1 < policy.eject_after_failures => {
                self.health = HealthState::Healthy {
                    failures: failures + 1,
                };
                return false;
            }
            HealthState::Healthy { .. } if !may_eject => return false,
            HealthState::Healthy { .. } => 0,
            // Requests sent before the ejection can fail late and must not extend it.
            HealthState::Ejected { .. } => return false,
            HealthState::Probing { streak, .. } => streak + 1,
        };
        let duration = policy
            .base_ejection_time
            .saturating_mul(1 << streak.min(16))
            .min(policy.max_ejection_time);
        self.health = HealthState::Ejected {
            until: now + duration,
            streak,
        };
        true
    }

    pub fn record_load(&mut self, report: &LoadReport, now: Instant) {
        let total = f64::from(report.running) + f64::from(report.queued);
        self.load_report = Some(ReceivedLoad {
            other_load: (total - f64::from(self.outstanding)).max(0.0),
            reported_at: now.checked_sub(report.age).unwrap_or(now),
        });
    }

    /// Returns the age of the latest load report.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load_report
            .map(|load| now.saturating_duration_since(load.reported_at))
    }

    /// Estimates the current number of requests at the upstream. As the load report ages,
    /// `mean_other_load` replaces the reported load from other routers.
    pub fn estimated_load(&self, policy: &RoutePolicy, mean_other_load: f64, now: Instant) -> f64 {
        let weight = self.report_weight(policy, now);
        let other_load = self
            .load_report
            .map_or(mean_other_load, |load| load.other_load);
        // A deviation within random variation has disappeared before a router can act on
        // it, and routers that all act on the same report cause the deviation in the next
        // one.
        let noise = NOISE_STD_DEVS * mean_other_load.max(1.0).sqrt();
        let deviation = other_load - mean_other_load;
        let excess = match other_load >= self.slots() {
            // A queue persists longer than a report takes to arrive.
            true => deviation,
            false => deviation - deviation.clamp(-noise, noise),
        };
        f64::from(self.outstanding) + mean_other_load + weight * excess
    }

    /// Returns this router's prompt tokens that wait for processing.
    ///
    /// The prompts of other routers are not included, because they are processed before a
    /// report of them arrives.
    pub fn own_prefill_backlog(&self) -> f64 {
        self.prefill_tokens as f64
    }

    /// Returns the last reported number of requests from other routers.
    pub fn reported_other_load(&self) -> Option<f64> {
        self.load_report.map(|load| load.other_load)
    }

    fn report_weight(&self, policy: &RoutePolicy, now: Instant) -> f64 {
        match self.load_age(now) {
            Some(age) => decay_weight(age, policy.load_half_life),
            None => 0.0,
        }
    }

    /// Records the observed and the expected time to the first token.
    pub fn record_first_token(&mut self, observed: f64, expected: f64, now: Instant) {
        let sample = (observed / expected.max(1e-3)).min(MAX_SLOWNESS_SAMPLE);
        let current = self.slowness(now);
        self.slowness = current + SLOWNESS_WEIGHT * (sample - current);
        self.slowness_updated_at = now;
    }

    /// Returns the smoothed ratio of the observed to the expected time to the first
    /// token.
    pub fn slowness(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.slowness_updated_at);
        1.0 + (self.slowness - 1.0) * decay_weight(elapsed, SLOWNESS_HALF_LIFE)
    }
}

fn decay_weight(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(1e-6)).exp2()
}
