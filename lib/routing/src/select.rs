//! Selection of an upstream from the pool.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::rendezvous_weight;
use crate::affinity::top_two;
use crate::choice::RefusalReason;
use crate::choice::RouteRefusal;
use crate::choice::UpstreamChoice;
use crate::policy::RoutePolicy;
use crate::pool::UpstreamPool;
use crate::pool::UpstreamSet;
use crate::request::RequestPriority;
use crate::request::RouteRequest;
use crate::score::Candidate;
use crate::score::CandidateScore;
use crate::score::ScoreContext;
use crate::score::best_score;
use crate::score::score_candidate;
use crate::track::HealthStatus;
use crate::track::TrackedUpstream;

/// Minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Maximum number of random draws per requested sample. Draws of ineligible or already
/// sampled upstreams count too.
const MAX_DRAWS_PER_SAMPLE: usize = 4;

/// Maximum number of candidates taken from the prefix index.
const MAX_PREFIX_CANDIDATES: usize = 3;

/// What the prefix index and rendezvous hashing say about one request.
#[derive(Clone, Debug, Default)]
struct PrefixInfo {
    /// Pool slots and the prompt tokens that their caches are expected to hold, most
    /// tokens first.
    cached: Vec<(usize, u64)>,
    /// The pool slots on which the prefix is placed, first choice first.
    placed: [Option<usize>; 2],
    /// Share of the prompt's blocks that are in the prefix index for any upstream.
    known_share: f64,
}

impl PrefixInfo {
    /// Returns the slots to consider. A slot may occur more than once.
    fn slots(&self) -> impl Iterator<Item = usize> {
        let cached = self
            .cached
            .iter()
            .take(MAX_PREFIX_CANDIDATES)
            .map(|&(slot, _)| slot);
        cached.chain(self.placed.into_iter().flatten())
    }

    fn candidate(&self, policy: &RoutePolicy, slot: usize, reuse: f64) -> Candidate {
        let matched = self.cached.iter().find(|cached| cached.0 == slot);
        let rank = self.placed.iter().position(|&placed| placed == Some(slot));
        let rank_weight = rank.map_or(0.0, |rank| 1.0 / (1 + rank) as f64);
        Candidate {
            slot,
            matched: matched.map_or(0, |cached| cached.1),
            affinity: policy.affinity_weight * reuse * rank_weight,
        }
    }
}

impl UpstreamPool {
    /// Chooses an upstream and records the request as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns a refusal with its reason and, if known, a retry delay.
    pub fn choose(
        &mut self,
        policy: &RoutePolicy,
        request: &RouteRequest,
        now: Instant,
    ) -> Result<UpstreamChoice, RouteRefusal> {
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RouteRefusal::new(RefusalReason::DeadlinePassed));
        }
        let Some(set_index) = self.sets.get_index_of(&request.model) else {
            return Err(RouteRefusal::new(RefusalReason::NotServed));
        };
        let prefix_info = self.prefix_info(policy, set_index, request);
        let sample_count = match prefix_info.cached.is_empty() {
            true => policy.samples_unmatched,
            false => policy.samples,
        };
        let mut slots = self.sample(sample_count, set_index, request, now);
        let preferred: Vec<usize> = prefix_info
            .slots()
            .filter(|slot| !slots.contains(slot) && self.is_eligible(*slot, request, now))
            .collect();
        slots.extend(preferred);
        let context = self.context(policy, set_index, request, now);
        let scores: Vec<CandidateScore> = slots
            .iter()
            .filter_map(|&slot| self.score(&context, &prefix_info, slot))
            .filter(|score| score.has_capacity(policy, request.priority))
            .collect();
        let best = match best_score(policy, scores.iter()) {
            Some(best) if meets_deadline(best, request, now) => best.clone(),
            _ => self.choose_from_all(policy, set_index, request, &prefix_info, now)?,
        };
        self.sets[set_index]
            .latency
            .record_prefix_reuse(prefix_info.known_share);
        Ok(self.start_attempt(policy, set_index, request, &best, now))
    }

    /// Looks up the prefix index and the placement of a request's prefix.
    fn prefix_info(
        &self,
        policy: &RoutePolicy,
        set_index: usize,
        request: &RouteRequest,
    ) -> PrefixInfo {
        let blocks = request.prefix.blocks();
        let (true, Some(&first)) = (policy.use_prefixes, blocks.first()) else {
            return PrefixInfo::default();
        };
        let block_tokens = request.prompt_tokens.0 as f64 / blocks.len() as f64;
        let cached = self.index.matches(blocks).into_iter().filter_map(|found| {
            let tracked = self.slots[found.holder.slot].tracked.as_ref()?;
            let current = tracked.cache_epoch == found.holder.epoch;
            let tokens = (found.blocks as f64 * block_tokens) as u64;
            current.then_some((found.holder.slot, tokens))
        });
        let members = self.sets[set_index].members.iter();
        let weighted = members.filter_map(|&slot| {
            let tracked = self.slots[slot].tracked.as_ref()?;
            Some((rendezvous_weight(tracked.affinity_seed, first), slot))
        });
        PrefixInfo {
            cached: cached.collect(),
            placed: top_two(weighted),
            known_share: self.index.leading_known_blocks(blocks) as f64 / blocks.len() as f64,
        }
    }

    fn context<'a>(
        &'a self,
        policy: &'a RoutePolicy,
        set_index: usize,
        request: &'a RouteRequest,
        now: Instant,
    ) -> ScoreContext<'a> {
        let set = &self.sets[set_index];
        ScoreContext {
            policy,
            latency: &set.latency,
            request,
            mean_other_load: self.mean_other_load(set),
            mean_outstanding: self.mean_outstanding(set),
            now,
        }
    }

    fn score(
        &self,
        context: &ScoreContext<'_>,
        prefix_info: &PrefixInfo,
        slot: usize,
    ) -> Option<CandidateScore> {
        let tracked = self.slots[slot].tracked.as_ref()?;
        let candidate = prefix_info.candidate(context.policy, slot, context.latency.prefix_reuse);
        Some(score_candidate(context, tracked, candidate))
    }

    /// Samples random upstreams that are eligible for the request.
    fn sample(
        &mut self,
        sample_count: usize,
        set_index: usize,
        request: &RouteRequest,
        now: Instant,
    ) -> Vec<usize> {
        let mut found = Vec::with_capacity(sample_count);
        let count = self.sets[set_index].members.len();
        for _ in 0..sample_count * MAX_DRAWS_PER_SAMPLE {
            if count == 0 || found.len() == sample_count.min(count) {
                break;
            }
            let slot = self.sets[set_index].members[self.rng.usize(..count)];
            if !found.contains(&slot) && self.is_eligible(slot, request, now) {
                found.push(slot);
            }
        }
        found
    }

    /// Returns whether an upstream may serve the request, regardless of its load.
    fn is_eligible(&self, slot: usize, request: &RouteRequest, now: Instant) -> bool {
        self.slots[slot].tracked.as_ref().is_some_and(|tracked| {
            !tracked.is_leaving()
                && tracked.serves(request)
                && !request.failed_upstreams.contains(&tracked.spec.id)
                && match tracked.health(now) {
                    HealthStatus::Usable => true,
                    HealthStatus::Probe => request.idempotent,
                    HealthStatus::Ejected => false,
                }
        })
    }

    /// Returns the mean reported load from other routers over a set, in requests.
    fn mean_other_load(&self, set: &UpstreamSet) -> f64 {
        let (sum, count) = set
            .members
            .iter()
            .filter_map(|&slot| self.slots[slot].tracked.as_ref()?.reported_other_load())
            .fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the mean number of this router's outstanding requests over a set.
    fn mean_outstanding(&self, set: &UpstreamSet) -> f64 {
        let sum: u32 = set
            .members
            .iter()
            .filter_map(|&slot| self.slots[slot].tracked.as_ref())
            .map(|tracked| tracked.outstanding)
            .sum();
        f64::from(sum) / set.members.len().max(1) as f64
    }

    /// Chooses from all upstreams of the set, or returns why none can take the request.
    fn choose_from_all(
        &mut self,
        policy: &RoutePolicy,
        set_index: usize,
        request: &RouteRequest,
        prefix_info: &PrefixInfo,
        now: Instant,
    ) -> Result<CandidateScore, RouteRefusal> {
        let members = self.sets[set_index].members.clone();
        let mut eligible: Vec<usize> = members
            .iter()
            .copied()
            .filter(|&slot| self.is_eligible(slot, request, now))
            .collect();
        if eligible.is_empty() && !request.failed_upstreams.is_empty() {
            let including_failed = RouteRequest {
                failed_upstreams: Vec::new(),
                ..request.clone()
            };
            eligible = members
                .iter()
                .copied()
                .filter(|&slot| self.is_eligible(slot, &including_failed, now))
                .collect();
        }
        if eligible.is_empty() {
            return Err(self.no_eligible_refusal(&members, request, now));
        }
        let context = self.context(policy, set_index, request, now);
        let scores: Vec<CandidateScore> = eligible
            .iter()
            .filter_map(|&slot| self.score(&context, prefix_info, slot))
            .collect();
        let with_capacity = |priority: RequestPriority| {
            scores
                .iter()
                .filter(move |score| score.has_capacity(policy, priority))
        };
        let in_time =
            with_capacity(request.priority).filter(|score| meets_deadline(score, request, now));
        if let Some(best) = best_score(policy, in_time) {
            return Ok(best.clone());
        }
        if let Some(fastest) =
            with_capacity(request.priority).min_by(|a, b| a.total.total_cmp(&b.total))
        {
            // A later attempt helps only if the upstream has a queue that can drain.
            let wait = fastest.queue_wait;
            return Err(if wait > 0.0 {
                RouteRefusal::later(
                    RefusalReason::DeadlineTooNear,
                    self.jittered_retry_after(wait),
                )
            } else {
                RouteRefusal::new(RefusalReason::DeadlineTooNear)
            });
        }
        let reason = match with_capacity(RequestPriority::High).next() {
            Some(_) => RefusalReason::LowPriority,
            None => RefusalReason::AllFull,
        };
        let wait = scores
            .iter()
            .map(|score| score.capacity_wait(policy, request.priority))
            .fold(f64::INFINITY, f64::min);
        Err(RouteRefusal::later(reason, self.jittered_retry_after(wait)))
    }

    fn no_eligible_refusal(
        &mut self,
        members: &[usize],
        request: &RouteRequest,
        now: Instant,
    ) -> RouteRefusal {
        let serving: Vec<&TrackedUpstream> = members
            .iter()
            .filter_map(|&slot| self.slots[slot].tracked.as_ref())
            .filter(|tracked| tracked.serves(request))
            .collect();
        if serving.is_empty() {
            return RouteRefusal::new(RefusalReason::NotServed);
        }
        let not_leaving: Vec<&&TrackedUpstream> = serving
            .iter()
            .filter(|tracked| !tracked.is_leaving())
            .collect();
        if not_leaving.is_empty() {
            return RouteRefusal::later(RefusalReason::AllLeaving, MAX_RETRY_AFTER);
        }
        let wait = not_leaving
            .iter()
            .filter_map(|tracked| tracked.ejected_until())
            .map(|until| until.saturating_duration_since(now).as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let wait = if wait.is_finite() { wait } else { 1.0 };
        RouteRefusal::later(RefusalReason::AllEjected, self.jittered_retry_after(wait))
    }

    /// Adds up to 50% of jitter to a delay and clamps it, so that refused callers do not
    /// all retry at the same time.
    fn jittered_retry_after(&mut self, seconds: f64) -> Duration {
        let jittered = seconds * (1.0 + 0.5 * self.rng.f64());
        Duration::try_from_secs_f64(jittered)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Returns whether the response is expected to complete before the deadline.
fn meets_deadline(score: &CandidateScore, request: &RouteRequest, now: Instant) -> bool {
    request.deadline.is_none_or(|deadline| {
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        score.total <= remaining
    })
}
