//! Cost estimates for serving a request on an upstream.

use std::time::Instant;

use crate::latency::LatencyModel;
use crate::policy::RoutePolicy;
use crate::request::RequestPriority;
use crate::request::RouteRequest;
use crate::track::UpstreamTrack;
use crate::upstream::UpstreamKind;

/// The inputs that all candidates of one choice share.
#[derive(Clone, Copy)]
pub(crate) struct ScoreContext<'a> {
    pub policy: &'a RoutePolicy,
    pub latency: &'a LatencyModel,
    pub request: &'a RouteRequest,
    /// Mean reported load from other routers over the set, in requests.
    pub mean_others: f64,
    /// Mean number of this router's outstanding requests over the set.
    pub mean_busy: f64,
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
    pub placement: f64,
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
    pub expected_first: f64,
    /// Estimated time to the end of the response.
    pub total: f64,
    /// Prompt tokens that the prefix index matches.
    pub matched: u64,
    /// Prompt tokens that are expected to be cached and not cached by the engine.
    pub cached: u64,
    pub uncached: u64,
    /// Sequence number of the pool's most recent choice of this upstream.
    pub last_chosen: u64,
    busy: f64,
    slots: f64,
    service: f64,
}

impl CandidateScore {
    /// Returns whether the upstream has capacity for one more request of a priority.
    pub fn has_room(&self, policy: &RoutePolicy, priority: RequestPriority) -> bool {
        self.busy + 1.0 <= self.room(policy, priority)
    }

    /// Returns the estimated seconds until the upstream has capacity.
    pub fn room_wait(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let excess = (self.busy + 1.0 - self.room(policy, priority)).max(0.0);
        excess * self.service / self.slots
    }

    fn room(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let whole = self.slots * (1.0 + policy.queue_per_slot);
        (whole * policy.room_for(priority)).max(1.0)
    }
}

/// Estimates the cost of serving a request on an upstream.
pub(crate) fn score_candidate(
    context: &ScoreContext<'_>,
    track: &UpstreamTrack,
    candidate: Candidate,
) -> CandidateScore {
    let ScoreContext {
        policy,
        latency,
        request,
        mean_others,
        mean_busy,
        now,
    } = *context;
    let prompt = request.prompt_tokens.0;
    let slots = track.slots();
    let busy = track.busy(policy, mean_others, now);
    let matched = candidate.matched.min(prompt);
    let cached = (matched as f64 * track.cache.value()) as u64;
    let uncached = prompt - cached;
    let (base, token) = match request.kind {
        UpstreamKind::ModelRunner => latency.first_token(),
        UpstreamKind::ServiceRunner => (latency.service, 0.0),
    };
    let queue_wait = (busy + 1.0 - slots).max(0.0) * latency.service / slots;
    let backlog_wait = track.backlog() * token;
    let expected_first = queue_wait + backlog_wait + uncached as f64 * token + base;
    // Normal variation of response times must not influence the choice.
    let slowness = match track.slowness(now) {
        slowness if slowness > policy.normal_slowness => slowness,
        _ => 1.0,
    };
    let travel = 2.0 * policy.distance(&track.spec.data_centre).as_secs_f64();
    let answer = request.max_tokens.0 as f64 * latency.answer_share * latency.between;
    // Each step takes longer in a fuller batch, even before a queue builds up.
    let crowding = (base + uncached as f64 * token) * busy / slots;
    // The placement is preferred only while the load of the upstream is not far above the
    // mean.
    let bounded = busy <= policy.affinity_bound * (mean_busy + mean_others) + 1.0;
    let placement = match bounded {
        true => prompt as f64 * token * candidate.placement,
        false => 0.0,
    };
    CandidateScore {
        slot: candidate.slot,
        score: (expected_first + crowding) * slowness + travel - placement,
        queue_wait,
        backlog_wait,
        expected_first,
        total: expected_first * slowness + answer + travel,
        matched,
        cached,
        uncached,
        last_chosen: track.last_chosen,
        busy,
        slots,
        service: latency.service,
    }
}

/// Returns the candidate with the best score. Among candidates close to it, returns the
/// least recently chosen one.
pub(crate) fn best_score<'a>(
    policy: &RoutePolicy,
    scores: impl Iterator<Item = &'a CandidateScore> + Clone,
) -> Option<&'a CandidateScore> {
    let least = scores
        .clone()
        .map(|score| score.score)
        .min_by(f64::total_cmp)?;
    let limit = least + least.abs() * policy.score_tolerance;
    scores
        .filter(|score| score.score <= limit)
        .min_by_key(|score| score.last_chosen)
}
