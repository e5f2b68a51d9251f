//! The whole of routing behind one type.

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

/// A router's view of its upstreams, limits and retry budgets.
///
/// One thread owns it. For each request: [`admit`](Self::admit), then
/// [`choose`](Self::choose) for each attempt, [`first_byte`](Self::first_byte)
/// and [`finished`](Self::finished) as they come, and
/// [`release`](Self::release) at the end.
#[derive(Clone, Debug)]
pub struct RouteTable {
    policy: RoutePolicy,
    pool: UpstreamPool,
    limiter: RequestLimiter,
    counters: RouteCounters,
}

impl RouteTable {
    /// Makes a table without upstreams or limits.
    pub fn new(policy: RoutePolicy, seed: u64) -> Self {
        Self {
            pool: UpstreamPool::new(&policy, seed),
            policy,
            limiter: RequestLimiter::new(),
            counters: RouteCounters::default(),
        }
    }

    /// Takes over a new list of upstreams.
    ///
    /// One that is leaving or gone gets no new work from here on; attempts
    /// there go on and are finished as usual.
    pub fn upstreams_changed(&mut self, specs: Vec<UpstreamSpec>, now: Instant) {
        self.pool.upstreams_changed(&self.policy, specs, now);
    }

    /// Replaces all request limits.
    pub fn limits_changed(
        &mut self,
        workspaces: IndexMap<WorkspaceId, RateLimits>,
        profiles: IndexMap<ProfileName, RateLimits>,
    ) {
        self.limiter.limits_changed(workspaces, profiles);
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
        admitted.inspect_err(|refusal| self.counters.refused(refusal.reason))
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: RequestPermit) {
        self.limiter.release(permit);
    }

    /// Chooses an upstream and counts the request as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the reason and, where it can be said, when to come back.
    pub fn choose(
        &mut self,
        request: &RouteRequest,
        now: Instant,
    ) -> Result<UpstreamChoice, RouteRefusal> {
        let chosen = self.pool.choose(&self.policy, request, now);
        match &chosen {
            Ok(_) => self.counters.choices += 1,
            Err(refusal) => self.counters.refused(refusal.reason),
        }
        chosen
    }

    /// Notes the first byte of an answer.
    pub fn first_byte(&mut self, attempt: AttemptId, now: Instant) {
        self.pool.first_byte(attempt, now);
    }

    /// Notes the end of an attempt, which every choice must come to.
    pub fn finished(&mut self, attempt: AttemptId, outcome: AttemptOutcome, now: Instant) {
        if self.pool.finished(&self.policy, attempt, outcome, now) {
            self.counters.ejections += 1;
        }
    }

    /// Decides what follows on a failed attempt, and pays for it out of the
    /// retry budget of the request's model.
    ///
    /// Call [`finished`](Self::finished) first, and add the failed upstream to
    /// the request's `avoid` before choosing again.
    pub fn retry_after_failure(
        &mut self,
        request: &RouteRequest,
        failed: &FailedAttempt,
        now: Instant,
    ) -> RetryDecision {
        let decision = self.decide_retry(request, failed, now);
        match decision {
            RetryDecision::SendAgain(reason) => self.counters.retried(reason),
            RetryDecision::Resume => self.counters.retried(RetryReason::Resumed),
            RetryDecision::GiveUp(refusal) => self.counters.refused(refusal.reason),
        }
        decision
    }

    fn decide_retry(
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
        if set.retries.take(&self.policy, now) {
            return decision;
        }
        let wait = set.retries.wait(&self.policy);
        RetryDecision::GiveUp(RouteRefusal::later(RefusalReason::RetryBudgetSpent, wait))
    }

    /// Notes an engine's load report.
    pub fn load_reported(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        self.pool.load_reported(upstream, report, now);
    }

    /// Notes an engine's cache event; events may be late, repeated or missing.
    pub fn cache_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) {
        self.counters.cache_events_missed += self.pool.cache_event(upstream, event);
    }

    /// Returns the upstreams and attempts.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the counts of choices, refusals and retries.
    pub fn counters(&self) -> &RouteCounters {
        &self.counters
    }
}
