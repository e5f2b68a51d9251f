//! The entry point of the routing crate.

use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::ProfileName;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;

use crate::attempt::AttemptId;
use crate::attempt::AttemptOutcome;
use crate::choice::RefusalReason;
use crate::choice::RouteRefusal;
use crate::choice::UpstreamChoice;
use crate::counters::RouteCounters;
use crate::limits::RateLimits;
use crate::limits::RequestLimiter;
use crate::limits::RequestPermit;
use crate::policy::RoutePolicy;
use crate::pool::UpstreamPool;
use crate::prefix::CacheEvent;
use crate::request::RouteRequest;
use crate::retry::FailedAttempt;
use crate::retry::RetryDecision;
use crate::retry::RetryReason;
use crate::retry::permitted_retry;
use crate::upstream::LoadReport;
use crate::upstream::UpstreamSpec;

/// The routing state of a router: upstreams, limits and retry budgets.
///
/// It is owned by one thread. For each request, call [`admit`](Self::admit) first. For
/// each attempt, call [`choose`](Self::choose),
/// [`record_first_byte`](Self::record_first_byte) when the response starts, and
/// [`finish_attempt`](Self::finish_attempt) when the attempt ends. Call
/// [`release`](Self::release) when the request ends.
#[derive(Clone, Debug)]
pub struct RouteTable {
    policy: RoutePolicy,
    pool: UpstreamPool,
    limiter: RequestLimiter,
    counters: RouteCounters,
}

impl RouteTable {
    /// Creates a table without upstreams or limits.
    pub fn new(policy: RoutePolicy, seed: u64) -> Self {
        Self {
            pool: UpstreamPool::new(&policy, seed),
            policy,
            limiter: RequestLimiter::new(),
            counters: RouteCounters::default(),
        }
    }

    /// Replaces the list of upstreams.
    ///
    /// Upstreams that are leaving or no longer listed get no new requests. Attempts in
    /// progress there continue and are finished as usual.
    pub fn set_upstreams(&mut self, specs: Vec<UpstreamSpec>, now: Instant) {
        self.pool.set_upstreams(&self.policy, specs, now);
    }

    /// Replaces all request limits.
    pub fn set_limits(
        &mut self,
        workspaces: IndexMap<WorkspaceId, RateLimits>,
        profiles: IndexMap<ProfileName, RateLimits>,
    ) {
        self.limiter.set_limits(workspaces, profiles);
    }

    /// Admits a request under the limits of its workspace and profile.
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
        let admitted = self.limiter.admit(workspace, profile, now);
        admitted.inspect_err(|refusal| self.counters.count_refusal(refusal.reason))
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: RequestPermit) {
        self.limiter.release(permit);
    }

    /// Chooses an upstream and records the request as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns a refusal with its reason and, if known, a retry delay.
    pub fn choose(
        &mut self,
        request: &RouteRequest,
        now: Instant,
    ) -> Result<UpstreamChoice, RouteRefusal> {
        let chosen = self.pool.choose(&self.policy, request, now);
        match &chosen {
            Ok(_) => self.counters.choices += 1,
            Err(refusal) => self.counters.count_refusal(refusal.reason),
        }
        chosen
    }

    /// Records the first byte of a response.
    pub fn record_first_byte(&mut self, attempt: AttemptId, now: Instant) {
        self.pool.record_first_byte(attempt, now);
    }

    /// Records the outcome of an attempt. It must be called once for every choice.
    pub fn finish_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome, now: Instant) {
        if self
            .pool
            .finish_attempt(&self.policy, attempt, outcome, now)
        {
            self.counters.ejections += 1;
        }
    }

    /// Decides whether to retry after a failed attempt. A retry is charged to the retry
    /// budget of the request's model.
    ///
    /// Call [`finish_attempt`](Self::finish_attempt) first, and add the failed upstream
    /// to the request's `failed_upstreams` before choosing again.
    pub fn decide_retry(
        &mut self,
        request: &RouteRequest,
        failed: &FailedAttempt,
        now: Instant,
    ) -> RetryDecision {
        let decision = self.try_retry(request, failed, now);
        match decision {
            RetryDecision::SendAgain(reason) => self.counters.count_retry(reason),
            RetryDecision::Resume => self.counters.count_retry(RetryReason::Resumed),
            RetryDecision::GiveUp(refusal) => self.counters.count_refusal(refusal.reason),
        }
        decision
    }

    fn try_retry(
        &mut self,
        request: &RouteRequest,
        failed: &FailedAttempt,
        now: Instant,
    ) -> RetryDecision {
        let decision = match permitted_retry(&self.policy, request, failed, now) {
            Ok(decision) => decision,
            Err(reason) => return RetryDecision::GiveUp(RouteRefusal::new(reason)),
        };
        let Some(set) = self.pool.set_mut(&request.model) else {
            return RetryDecision::GiveUp(RouteRefusal::new(RefusalReason::NotServed));
        };
        if set.retries.try_take(&self.policy, now) {
            return decision;
        }
        let wait = set.retries.time_to_next(&self.policy);
        RetryDecision::GiveUp(RouteRefusal::later(RefusalReason::RetryBudgetSpent, wait))
    }

    /// Records a load report of an engine.
    pub fn record_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        self.pool.record_load_report(upstream, report, now);
    }

    /// Applies a cache event of an engine. Events may be late, repeated or missing.
    pub fn apply_cache_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) {
        self.counters.cache_events_missed += self.pool.apply_cache_event(upstream, event);
    }

    /// Returns the pool of upstreams and attempts.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the counters of choices, refusals and retries.
    pub fn counters(&self) -> &RouteCounters {
        &self.counters
    }
}
