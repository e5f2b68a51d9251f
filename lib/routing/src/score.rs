//! What it would take an upstream to serve a request.

use std::time::Instant;

use crate::latency::LatencyModel;
use crate::policy::RoutePolicy;
use crate::request::RequestPriority;
use crate::request::RouteRequest;
use crate::track::UpstreamTrack;
use crate::upstream::UpstreamKind;

/// What is the same for all candidates of one choice.
#[derive(Clone, Copy)]
pub(crate) struct ScoreContext<'a> {
    pub policy: &'a RoutePolicy,
    pub latency: &'a LatencyModel,
    pub request: &'a RouteRequest,
    /// Mean reported work of other routers over the set.
    pub mean_others: f64,
    /// Mean outstanding work of this router over the set.
    pub mean_busy: f64,
    pub now: Instant,
}

/// An upstream that is looked at, and what prefixes tell of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub slot: usize,
    /// Prompt tokens that the index matches.
    pub matched: u64,
    /// Share of the prompt that counts in favour of its consistent placement.
    pub placement: f64,
}

/// What it would take one upstream to serve a request; times in seconds.
#[derive(Clone, Debug)]
pub(crate) struct CandidateScore {
    pub slot: usize,
    /// What upstreams are compared by; the least is best.
    pub score: f64,
    /// Wait for a place in the batch.
    pub queue_wait: f64,
    /// Wait for prompts that were sent before.
    pub backlog_wait: f64,
    /// Time to the first token of an upstream of normal speed.
    pub expected_first: f64,
    /// Time to the end of the answer.
    pub total: f64,
    /// Prompt tokens that the index matches.
    pub matched: u64,
    /// Prompt tokens believed to be in the engine's cache, and the others.
    pub cached: u64,
    pub uncached: u64,
    /// Counts up with every choice of the pool; tells how long ago this one was.
    pub last_chosen: u64,
    busy: f64,
    slots: f64,
    service: f64,
}

impl CandidateScore {
    /// Tells whether there is room for one more request of a priority.
    pub fn has_room(&self, policy: &RoutePolicy, priority: RequestPriority) -> bool {
        self.busy + 1.0 <= self.room(policy, priority)
    }

    /// Returns the seconds until there is likely to be room.
    pub fn room_wait(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let excess = (self.busy + 1.0 - self.room(policy, priority)).max(0.0);
        excess * self.service / self.slots
    }

    fn room(&self, policy: &RoutePolicy, priority: RequestPriority) -> f64 {
        let whole = self.slots * (1.0 + policy.queue_per_slot);
        (whole * policy.room_for(priority)).max(1.0)
    }
}

/// Estimates what it would take an upstream to serve a request.
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
    // The spread of normal answers is no reason to prefer one upstream.
    let slowness = match track.slowness(now) {
        slowness if slowness > policy.normal_slowness => slowness,
        _ => 1.0,
    };
    let travel = 2.0 * policy.distance(&track.spec.data_centre).as_secs_f64();
    let answer = request.max_tokens.0 as f64 * latency.answer_share * latency.between;
    // A fuller batch takes longer for each step, also before a queue forms.
    let crowding = (base + uncached as f64 * token) * busy / slots;
    // A placement draws requests only while it has little more than its part.
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

/// Returns the candidate of the best score; among those near it, the one whose
/// last choice is longest ago.
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
