//! Selection of an upstream from the pool.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::first_two;
use crate::affinity::rendezvous_weight;
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
use crate::track::HealthVerdict;
use crate::track::UpstreamTrack;

/// Minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Maximum number of random draws per requested sample. Draws of ineligible or already
/// sampled upstreams count too.
const DRAWS_PER_SAMPLE: usize = 4;

/// Maximum number of candidates taken from the prefix index.
const MAX_HELD: usize = 3;

/// What the prefix index and rendezvous hashing say about one request.
#[derive(Clone, Debug, Default)]
struct PrefixView {
    /// Pool slots and the prompt tokens that their caches are expected to hold, most
    /// tokens first.
    held: Vec<(usize, u64)>,
    /// The pool slots on which the prefix is placed, first choice first.
    placed: [Option<usize>; 2],
    /// Share of the prompt's blocks that are in the prefix index for any upstream.
    known_share: f64,
}

impl PrefixView {
    /// Returns the slots to consider. A slot may occur more than once.
    fn slots(&self) -> impl Iterator<Item = usize> {
        let held = self.held.iter().take(MAX_HELD).map(|&(slot, _)| slot);
        held.chain(self.placed.into_iter().flatten())
    }

    fn candidate(&self, policy: &RoutePolicy, slot: usize, reuse: f64) -> Candidate {
        let matched = self.held.iter().find(|held| held.0 == slot);
        let rank = self.placed.iter().position(|&placed| placed == Some(slot));
        let rank_weight = rank.map_or(0.0, |rank| 1.0 / (1 + rank) as f64);
        Candidate {
            slot,
            matched: matched.map_or(0, |held| held.1),
            placement: policy.affinity_belief * reuse * rank_weight,
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
        let view = self.prefix_view(policy, set_index, request);
        let wanted = match view.held.is_empty() {
            true => policy.samples_unmatched,
            false => policy.samples,
        };
        let mut slots = self.sample(wanted, set_index, request, now);
        let preferred: Vec<usize> = view
            .slots()
            .filter(|slot| !slots.contains(slot) && self.may_take(*slot, request, now))
            .collect();
        slots.extend(preferred);
        let context = self.context(policy, set_index, request, now);
        let scores: Vec<CandidateScore> = slots
            .iter()
            .filter_map(|&slot| self.score(&context, &view, slot))
            .filter(|score| score.has_room(policy, request.priority))
            .collect();
        let best = match best_score(policy, scores.iter()) {
            Some(best) if in_time(best, request, now) => best.clone(),
            _ => self.best_of_all(policy, set_index, request, &view, now)?,
        };
        self.sets[set_index].latency.reuse_seen(view.known_share);
        Ok(self.begin(policy, set_index, request, &best, now))
    }

    /// Looks up the prefix index and the placement of a request's prefix.
    fn prefix_view(
        &self,
        policy: &RoutePolicy,
        set_index: usize,
        request: &RouteRequest,
    ) -> PrefixView {
        let blocks = request.prefix.blocks();
        let (true, Some(&first)) = (policy.use_prefixes, blocks.first()) else {
            return PrefixView::default();
        };
        let block_tokens = request.prompt_tokens.0 as f64 / blocks.len() as f64;
        let held = self.index.matches(blocks).into_iter().filter_map(|found| {
            let track = self.slots[found.holder.slot].track.as_ref()?;
            let current = track.cache_epoch == found.holder.epoch;
            let tokens = (found.blocks as f64 * block_tokens) as u64;
            current.then_some((found.holder.slot, tokens))
        });
        let members = self.sets[set_index].members.iter();
        let weighted = members.filter_map(|&slot| {
            let track = self.slots[slot].track.as_ref()?;
            Some((rendezvous_weight(track.affinity_seed, first), slot))
        });
        PrefixView {
            held: held.collect(),
            placed: first_two(weighted),
            known_share: self.index.known(blocks) as f64 / blocks.len() as f64,
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
            mean_others: self.mean_others(set),
            mean_busy: self.mean_busy(set),
            now,
        }
    }

    fn score(
        &self,
        context: &ScoreContext<'_>,
        view: &PrefixView,
        slot: usize,
    ) -> Option<CandidateScore> {
        let track = self.slots[slot].track.as_ref()?;
        let candidate = view.candidate(context.policy, slot, context.latency.reuse);
        Some(score_candidate(context, track, candidate))
    }

    /// Samples random upstreams that are eligible for the request.
    fn sample(
        &mut self,
        wanted: usize,
        set_index: usize,
        request: &RouteRequest,
        now: Instant,
    ) -> Vec<usize> {
        let mut found = Vec::with_capacity(wanted);
        let count = self.sets[set_index].members.len();
        for _ in 0..wanted * DRAWS_PER_SAMPLE {
            if count == 0 || found.len() == wanted.min(count) {
                break;
            }
            let slot = self.sets[set_index].members[self.rng.usize(..count)];
            if !found.contains(&slot) && self.may_take(slot, request, now) {
                found.push(slot);
            }
        }
        found
    }

    /// Returns whether an upstream may serve the request, regardless of its load.
    fn may_take(&self, slot: usize, request: &RouteRequest, now: Instant) -> bool {
        self.slots[slot].track.as_ref().is_some_and(|track| {
            !track.is_leaving()
                && track.serves(request)
                && !request.avoid.contains(&track.spec.id)
                && match track.health(now) {
                    HealthVerdict::Usable => true,
                    HealthVerdict::Probe => request.idempotent,
                    HealthVerdict::Ejected => false,
                }
        })
    }

    /// Returns the mean reported load from other routers over a set, in requests.
    fn mean_others(&self, set: &UpstreamSet) -> f64 {
        let (sum, count) = set
            .members
            .iter()
            .filter_map(|&slot| self.slots[slot].track.as_ref()?.reported_others())
            .fold((0.0, 0.0), |(sum, count), others| {
                (sum + others, count + 1.0)
            });
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the mean number of this router's outstanding requests over a set.
    fn mean_busy(&self, set: &UpstreamSet) -> f64 {
        let sum: u32 = set
            .members
            .iter()
            .filter_map(|&slot| self.slots[slot].track.as_ref())
            .map(|track| track.outstanding)
            .sum();
        f64::from(sum) / set.members.len().max(1) as f64
    }

    /// Chooses from all upstreams of the set, or returns why none can take the request.
    fn best_of_all(
        &mut self,
        policy: &RoutePolicy,
        set_index: usize,
        request: &RouteRequest,
        view: &PrefixView,
        now: Instant,
    ) -> Result<CandidateScore, RouteRefusal> {
        let members = self.sets[set_index].members.clone();
        let mut usable: Vec<usize> = members
            .iter()
            .copied()
            .filter(|&slot| self.may_take(slot, request, now))
            .collect();
        if usable.is_empty() && !request.avoid.is_empty() {
            let again = RouteRequest {
                avoid: Vec::new(),
                ..request.clone()
            };
            usable = members
                .iter()
                .copied()
                .filter(|&slot| self.may_take(slot, &again, now))
                .collect();
        }
        if usable.is_empty() {
            return Err(self.none_usable(&members, request, now));
        }
        let context = self.context(policy, set_index, request, now);
        let scores: Vec<CandidateScore> = usable
            .iter()
            .filter_map(|&slot| self.score(&context, view, slot))
            .collect();
        let roomy = |priority: RequestPriority| {
            scores
                .iter()
                .filter(move |score| score.has_room(policy, priority))
        };
        let timely = roomy(request.priority).filter(|score| in_time(score, request, now));
        if let Some(best) = best_score(policy, timely) {
            return Ok(best.clone());
        }
        if let Some(soonest) = roomy(request.priority).min_by(|a, b| a.total.total_cmp(&b.total)) {
            // A later attempt helps only if the upstream has a queue that can drain.
            let wait = soonest.queue_wait;
            return Err(if wait > 0.0 {
                RouteRefusal::later(RefusalReason::DeadlineTooNear, self.spread(wait))
            } else {
                RouteRefusal::new(RefusalReason::DeadlineTooNear)
            });
        }
        let reason = match roomy(RequestPriority::High).next() {
            Some(_) => RefusalReason::LowPriority,
            None => RefusalReason::AllFull,
        };
        let wait = scores
            .iter()
            .map(|score| score.room_wait(policy, request.priority))
            .fold(f64::INFINITY, f64::min);
        Err(RouteRefusal::later(reason, self.spread(wait)))
    }

    fn none_usable(
        &mut self,
        members: &[usize],
        request: &RouteRequest,
        now: Instant,
    ) -> RouteRefusal {
        let serving: Vec<&UpstreamTrack> = members
            .iter()
            .filter_map(|&slot| self.slots[slot].track.as_ref())
            .filter(|track| track.serves(request))
            .collect();
        if serving.is_empty() {
            return RouteRefusal::new(RefusalReason::NotServed);
        }
        let staying: Vec<&&UpstreamTrack> =
            serving.iter().filter(|track| !track.is_leaving()).collect();
        if staying.is_empty() {
            return RouteRefusal::later(RefusalReason::AllLeaving, MAX_RETRY_AFTER);
        }
        let wait = staying
            .iter()
            .filter_map(|track| track.ejected_until())
            .map(|until| until.saturating_duration_since(now).as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let wait = if wait.is_finite() { wait } else { 1.0 };
        RouteRefusal::later(RefusalReason::AllEjected, self.spread(wait))
    }

    /// Adds up to 50% of jitter to a delay and clamps it, so that refused callers do not
    /// all retry at the same time.
    fn spread(&mut self, seconds: f64) -> Duration {
        let longer = seconds * (1.0 + 0.5 * self.rng.f64());
        Duration::try_from_secs_f64(longer)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Returns whether the response is expected to complete before the deadline.
fn in_time(score: &CandidateScore, request: &RouteRequest, now: Instant) -> bool {
    request.deadline.is_none_or(|deadline| {
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        score.total <= left
    })
}
