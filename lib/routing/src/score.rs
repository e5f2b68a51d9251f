//! Cost estimates for serving a request on an upstream.

use std::time::Instant;

use crate::latency::LatencyModel;
use crate::policy::RoutePolicy;
use crate::request::RequestPriority;
use crate::request::RouteRequest;
use crate::track::TrackedUpstream;
use crate::upstream::UpstreamKind;

/// The inputs that all candidates of one choice share.
#[derive(Clone, Copy)]
pub(crate) struct ScoreContext<'a> {
    pub policy: &'a RoutePolicy,
    pub latency: &'a LatencyModel,
    pub request: &'a RouteRequest,
    /// Mean reported load from other routers over the set, in requests.
    pub mean_other_load: f64,
    /// Mean number of this router's outstanding requests over the set.
    pub mean_outstanding: f64,
    pub now: Instant,
}

/// A candidate upstream with its prefix information.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub slot: usize,
    /// Prompt tokens that the prefix index matches.
    pub matched: u64,
    /// Share of the prompt by which the score prefers this upstream because the prefix is
    /// placed on it.
    pub affinity: f64,
}

/// Estimated cost of serving a request on one upstream. Times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct CandidateScore {
    pub slot: usize,
    /// The value by which candidates are compared; lower is better.
    pub score: f64,
    /// Estimated wait for a batch slot.
    pub queue_wait: f64,
    /// Estimated wait for prompts that this router sent earlier.
    pub backlog_wait: f64,
    /// Estimated time to the first token if the upstream has normal speed.
    pub expected_first_token_secs: f64,
    /// Estimated time to the end of the response.
    pub total: f64,
    /// Prompt tokens that the prefix index matches.
    pub matched: u64,
    /// Prompt tokens that are expected to be cached and not cached by the engine.
    pub cached: u64,
    pub uncached: u64,
    /// Sequence number of the pool's most recent choice of this upstream.
    pub last_chosen: u64,
    load: f64,
    slots: f64,
    request_secs: f64,
}

impl CandidateScore {
    /// Returns whether the upstream has capacity for one more request of a priority.
    pub fn has_capacity(&self, policy: &RoutePolicy, priority: RequestPriority) -> bool {
        self.load + 1.0 <= self.capacity(policy, priority)
    }

    /// Returns the estimated seconds until the upstream has capacity.
    pub fn capacity_wait(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let excess = (self.load + 1.0 - self.capacity(policy, priority)).max(0.0);
        excess * self.request_secs / self.slots
    }

    fn capacity(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let total_capacity = self.slots * (1.0 + policy.queue_per_slot);
        (total_capacity * policy.capacity_share(priority)).max(1.0)
    }
}

/// Estimates the cost of serving a request on an upstream.
pub(crate) fn score_candidate(
    context: &ScoreContext<'_>,
    tracked: &TrackedUpstream,
    candidate: Candidate,
) -> CandidateScore {
    let ScoreContext {
        policy,
        latency,
        request,
        mean_other_load,
        mean_outstanding,
        now,
    } = *context;
    let prompt = request.prompt_tokens.0;
    let slots = tracked.slots();
    let load = tracked.estimated_load(policy, mean_other_load, now);
    let matched = candidate.matched.min(prompt);
    let cached = (matched as f64 * tracked.cache.value()) as u64;
    let uncached = prompt - cached;
    let (base, prefill_per_token) = match request.kind {
        UpstreamKind::ModelRunner => latency.first_token_line(),
        UpstreamKind::ServiceRunner => (latency.request_secs, 0.0),
    };
    let queue_wait = (load + 1.0 - slots).max(0.0) * latency.request_secs / slots;
    let backlog_wait = tracked.own_prefill_backlog() * prefill_per_token;
    let expected_first_token_secs =
        queue_wait + backlog_wait + uncached as f64 * prefill_per_token + base;
    // Normal variation of response times must not influence the choice.
    let slowness = match tracked.slowness(now) {
        slowness if slowness > policy.slowness_threshold => slowness,
        _ => 1.0,
    };
    let network_delay = 2.0 * policy.distance(&tracked.spec.data_centre).as_secs_f64();
    let generation = request.max_tokens.0 as f64 * latency.output_share * latency.inter_token_secs;
    // Each step takes longer in a fuller batch, even before a queue builds up.
    let batching_delay = (base + uncached as f64 * prefill_per_token) * load / slots;
    // The placement is preferred only while the load of the upstream is not far above the
    // mean.
    let below_bound =
        load <= policy.affinity_load_factor * (mean_outstanding + mean_other_load) + 1.0;
    let affinity = match below_bound {
        true => prompt as f64 * prefill_per_token * candidate.affinity,
        false => 0.0,
    };
    CandidateScore {
        slot: candidate.slot,
        score: (expected_first_token_secs + batching_delay) * slowness + network_delay - affinity,
        queue_wait,
        backlog_wait,
        expected_first_token_secs,
        total: expected_first_token_secs * slowness + generation + network_delay,
        matched,
        cached,
        uncached,
        last_chosen: tracked.last_chosen,
        load,
        slots,
        request_secs: latency.request_secs,
    }
}

/// Returns the candidate with the best score. Among candidates close to it, returns the
/// least recently chosen one.
pub(crate) fn best_score<'a>(
    policy: &RoutePolicy,
    scores: impl Iterator<Item = &'a CandidateScore> + Clone,
) -> Option<&'a CandidateScore> {
    let lowest = scores
        .clone()
        .map(|score| score.score)
        .min_by(f64::total_cmp)?;
    let limit = lowest + lowest.abs() * policy.score_tolerance;
    scores
        .filter(|score| score.score <= limit)
        .min_by_key(|score| score.last_chosen)
}
