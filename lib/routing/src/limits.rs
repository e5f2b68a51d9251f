//! Request limits of workspaces and profiles.

use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;

use crate::choice::RefusalReason;
use crate::choice::RouteRefusal;

/// Retry delay of refusals because of a concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Limits of one workspace or profile on one router. `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RateLimits {
    /// Sustained requests per second.
    pub requests_per_second: Option<f64>,
    /// Burst size; defaults to one second's worth of requests, at least one.
    pub burst: Option<u32>,
    /// Maximum number of concurrent requests.
    pub concurrent: Option<u32>,
}

impl RateLimits {
    /// Returns the share of a fleet-wide limit that each of `routers` routers enforces.
    ///
    /// Callers keep using the same address for a while, so their requests are distributed
    /// unevenly. Each router therefore gets twice its even share, but at most the whole
    /// limit, and a burst and concurrency of at least one.
    pub fn per_router(self, routers: u32) -> Self {
        let share = (2.0 / f64::from(routers.max(1))).min(1.0);
        let scale = |count: u32| ((f64::from(count) * share).ceil() as u32).max(1);
        Self {
            requests_per_second: self.requests_per_second.map(|rate| rate * share),
            burst: self.burst.map(scale),
            concurrent: self.concurrent.map(scale),
        }
    }

    fn burst_size(&self, rate: f64) -> f64 {
        self.burst.map_or(rate.max(1.0), f64::from)
    }
}

/// The admission of one request. Return it with [`RequestLimiter::release`].
#[derive(Debug)]
#[must_use = "a permit that is not released counts as a request in progress"]
pub struct RequestPermit {
    workspace: WorkspaceId,
    profile: ProfileName,
}

/// Current usage of one workspace or profile.
#[derive(Clone, Debug)]
struct LimitUsage {
    tokens: f64,
    refilled_at: Instant,
    in_progress: u32,
}

/// The limit that was reached.
enum LimitReached {
    Rate(Duration),
    Concurrency,
}

impl LimitUsage {
    fn new(limits: &RateLimits, now: Instant) -> Self {
        let tokens = limits
            .requests_per_second
            .map_or(0.0, |rate| limits.burst_size(rate));
        Self {
            tokens,
            refilled_at: now,
            in_progress: 0,
        }
    }

    fn refill(&mut self, limits: &RateLimits, now: Instant) {
        let Some(rate) = limits.requests_per_second else {
            return;
        };
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(limits.burst_size(rate));
        self.refilled_at = self.refilled_at.max(now);
    }

    fn check(&self, limits: &RateLimits) -> Result<(), LimitReached> {
        if limits.concurrent.is_some_and(|max| self.in_progress >= max) {
            return Err(LimitReached::Concurrency);
        }
        match limits.requests_per_second {
            Some(rate) if self.tokens < 1.0 => {
                let seconds = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
                let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
                Err(LimitReached::Rate(wait))
            }
            _ => Ok(()),
        }
    }

    fn consume(&mut self, limits: &RateLimits) {
        self.in_progress += 1;
        if limits.requests_per_second.is_some() {
            self.tokens -= 1.0;
        }
    }
}

/// Limits and current usage by key.
#[derive(Clone, Debug)]
struct KeyedLimits<K> {
    limits: IndexMap<K, RateLimits>,
    usages: IndexMap<K, LimitUsage>,
}

impl<K: Hash + Eq + Clone> KeyedLimits<K> {
    fn new() -> Self {
        Self {
            limits: IndexMap::new(),
            usages: IndexMap::new(),
        }
    }

    fn limits_of(&self, key: &K) -> RateLimits {
        self.limits.get(key).copied().unwrap_or_default()
    }

    fn check(&mut self, key: &K, now: Instant) -> Result<(), LimitReached> {
        let limits = self.limits_of(key);
        let usage = self
            .usages
            .entry(key.clone())
            .or_insert_with(|| LimitUsage::new(&limits, now));
        usage.refill(&limits, now);
        usage.check(&limits)
    }

    fn consume(&mut self, key: &K) {
        let limits = self.limits_of(key);
        if let Some(usage) = self.usages.get_mut(key) {
            usage.consume(&limits);
        }
    }

    fn release(&mut self, key: &K) {
        if let Some(usage) = self.usages.get_mut(key) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Replaces the limits and drops the usage of keys that have neither a limit nor
    /// requests in progress.
    fn replace(&mut self, limits: IndexMap<K, RateLimits>) {
        self.limits = limits;
        self.usages
            .retain(|key, usage| usage.in_progress > 0 || self.limits.contains_key(key));
    }
}

/// Enforces the request limits of workspaces and profiles on one router.
#[derive(Clone, Debug)]
pub struct RequestLimiter {
    workspaces: KeyedLimits<WorkspaceId>,
    profiles: KeyedLimits<ProfileName>,
}

impl RequestLimiter {
    /// Creates a limiter without limits.
    pub fn new() -> Self {
        Self {
            workspaces: KeyedLimits::new(),
            profiles: KeyedLimits::new(),
        }
    }

    /// Replaces all limits. Requests in progress stay counted.
    pub fn set_limits(
        &mut self,
        workspaces: IndexMap<WorkspaceId, RateLimits>,
        profiles: IndexMap<ProfileName, RateLimits>,
    ) {
        self.workspaces.replace(workspaces);
        self.profiles.replace(profiles);
    }

    /// Admits a request. A refused request does not count towards any limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the limit reached.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        profile: &ProfileName,
        now: Instant,
    ) -> Result<RequestPermit, RouteRefusal> {
        self.workspaces
            .check(workspace, now)
            .map_err(|reached| match reached {
                LimitReached::Rate(wait) => RouteRefusal::later(RefusalReason::WorkspaceRate, wait),
                LimitReached::Concurrency => RouteRefusal::later(
                    RefusalReason::WorkspaceConcurrency,
                    CONCURRENCY_RETRY_AFTER,
                ),
            })?;
        self.profiles
            .check(profile, now)
            .map_err(|reached| match reached {
                LimitReached::Rate(wait) => RouteRefusal::later(RefusalReason::ProfileRate, wait),
                LimitReached::Concurrency => {
                    RouteRefusal::later(RefusalReason::ProfileConcurrency, CONCURRENCY_RETRY_AFTER)
                }
            })?;
        self.workspaces.consume(workspace);
        self.profiles.consume(profile);
        Ok(RequestPermit {
            workspace: workspace.clone(),
            profile: profile.clone(),
        })
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: RequestPermit) {
        self.workspaces.release(&permit.workspace);
        self.profiles.release(&permit.profile);
    }
}

impl Default for RequestLimiter {
    fn default() -> Self {
        Self::new()
    }
}
