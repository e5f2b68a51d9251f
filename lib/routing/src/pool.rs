//! The pool of upstreams that a router knows, and the requests outstanding at them.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use indexmap::IndexMap;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

use crate::attempt::Attempt;
use crate::attempt::AttemptId;
use crate::attempt::AttemptOutcome;
use crate::choice::UpstreamChoice;
use crate::index::CacheHolder;
use crate::index::PrefixIndex;
use crate::latency::LatencyModel;
use crate::policy::RoutePolicy;
use crate::prefix::CacheChange;
use crate::prefix::CacheEvent;
use crate::request::RouteRequest;
use crate::retry::RetryBudget;
use crate::score::CandidateScore;
use crate::track::TrackedUpstream;
use crate::trust::EventOrder;
use crate::upstream::LoadReport;
use crate::upstream::UpstreamSpec;

/// Upper bound of the estimated time to the first token in [`UpstreamChoice`], in
/// seconds.
const MAX_EXPECTED_FIRST_TOKEN_SECS: f64 = 60.0;

/// The first byte times out after this multiple of its estimated time.
const FIRST_BYTE_TIMEOUT_FACTOR: f64 = 8.0;

/// The upstreams that serve one model or plain service.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSet {
    /// Indices of the members' pool slots.
    pub members: Vec<usize>,
    pub latency: LatencyModel,
    pub retries: RetryBudget,
}

/// A slot of the pool. Removing its upstream increments the generation, so that late
/// reports for that upstream do not affect a successor in the same slot.
#[derive(Clone, Debug)]
pub(crate) struct PoolSlot {
    pub generation: u32,
    pub tracked: Option<TrackedUpstream>,
}

/// The status of one upstream as seen by this router.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// The ID of the upstream.
    pub id: UpstreamId,
    /// Number of outstanding requests of this router.
    pub outstanding: u32,
    /// Whether the upstream is ejected or being probed after an ejection.
    pub suspect: bool,
    /// Ratio of the observed to the expected time to the first token.
    pub slowness: f64,
    /// Age of the latest load report.
    pub load_age: Option<Duration>,
}

/// The upstreams that a router knows, with their state and outstanding attempts.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    pub(crate) slots: Vec<PoolSlot>,
    slot_of: IndexMap<UpstreamId, usize>,
    pub(crate) sets: IndexMap<ModelName, UpstreamSet>,
    attempts: IndexMap<AttemptId, Attempt>,
    pub(crate) index: PrefixIndex,
    /// The most recently assigned cache epoch.
    last_epoch: u32,
    next_attempt: u64,
    pub(crate) rng: Rng,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(policy: &RoutePolicy, seed: u64) -> Self {
        Self {
            slots: Vec::new(),
            slot_of: IndexMap::new(),
            sets: IndexMap::new(),
            attempts: IndexMap::new(),
            index: PrefixIndex::new(policy.prefix_blocks),
            last_epoch: 0,
            next_attempt: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Replaces the list of upstreams. The state of upstreams that remain is kept.
    pub fn set_upstreams(&mut self, policy: &RoutePolicy, specs: Vec<UpstreamSpec>, now: Instant) {
        let listed: IndexMap<UpstreamId, UpstreamSpec> = specs
            .into_iter()
            .map(|spec| (spec.id.clone(), spec))
            .collect();
        let slots = &mut self.slots;
        self.slot_of.retain(|id, slot| {
            let is_listed = listed.contains_key(id);
            if !is_listed {
                slots[*slot].tracked = None;
                slots[*slot].generation += 1;
            }
            is_listed
        });
        for (id, spec) in listed {
            match self.slot_of.get(&id) {
                Some(&slot) => {
                    if let Some(tracked) = &mut self.slots[slot].tracked {
                        tracked.spec = spec;
                    }
                }
                None => {
                    let slot = self.free_slot();
                    self.last_epoch += 1;
                    self.slots[slot].tracked =
                        Some(TrackedUpstream::new(spec, self.last_epoch, now));
                    self.slot_of.insert(id, slot);
                }
            }
        }
        self.rebuild_sets(policy, now);
    }

    fn free_slot(&mut self) -> usize {
        let free = self.slots.iter().position(|slot| slot.tracked.is_none());
        free.unwrap_or_else(|| {
            self.slots.push(PoolSlot {
                generation: 0,
                tracked: None,
            });
            self.slots.len() - 1
        })
    }

    fn rebuild_sets(&mut self, policy: &RoutePolicy, now: Instant) {
        for set in self.sets.values_mut() {
            set.members.clear();
        }
        for (slot, pool_slot) in self.slots.iter().enumerate() {
            let Some(tracked) = &pool_slot.tracked else {
                continue;
            };
            for served in &tracked.spec.models {
                let set = self
                    .sets
                    .entry(served.model.clone())
                    .or_insert_with(|| UpstreamSet {
                        members: Vec::new(),
                        latency: LatencyModel::new(policy),
                        retries: RetryBudget::new(policy, now),
                    });
                if set.members.last() != Some(&slot) {
                    set.members.push(slot);
                }
            }
        }
    }

    pub(crate) fn set_mut(&mut self, model: &ModelName) -> Option<&mut UpstreamSet> {
        self.sets.get_mut(model)
    }

    /// Records a request as outstanding at the chosen upstream.
    pub(crate) fn start_attempt(
        &mut self,
        policy: &RoutePolicy,
        set_index: usize,
        request: &RouteRequest,
        best: &CandidateScore,
        now: Instant,
    ) -> UpstreamChoice {
        let pool_slot = &mut self.slots[best.slot];
        let generation = pool_slot.generation;
        let tracked = pool_slot
            .tracked
            .as_mut()
            .expect("scored slot is not in use");
        tracked.request_started(best.uncached);
        tracked.last_chosen = self.next_attempt + 1;
        let holder = CacheHolder {
            slot: best.slot,
            epoch: tracked.cache_epoch,
        };
        if policy.use_prefixes {
            self.index.add(request.prefix.blocks(), holder);
        }
        let upstream = tracked.spec.id.clone();
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let attempt = Attempt {
            slot: best.slot,
            generation,
            holder,
            set_index,
            prefix: request.prefix.clone(),
            chosen_at: now,
            first_byte_at: None,
            uncached: best.uncached,
            matched: best.matched,
            prompt_tokens: request.prompt_tokens.0,
            max_tokens: request.max_tokens.0,
            expected_first_token_secs: best.expected_first_token_secs,
            expects_no_wait: best.queue_wait <= 0.0 && best.backlog_wait <= 0.0,
        };
        self.attempts.insert(id, attempt);
        let expected = best
            .expected_first_token_secs
            .min(MAX_EXPECTED_FIRST_TOKEN_SECS);
        UpstreamChoice {
            upstream,
            attempt: id,
            expected_first_token: Duration::from_secs_f64(expected),
            expected_cached: TokenCount(best.cached),
            first_byte_timeout: policy.first_byte_timeout.max(Duration::from_secs_f64(
                expected * FIRST_BYTE_TIMEOUT_FACTOR,
            )),
            progress_timeout: policy.progress_timeout,
        }
    }

    fn tracked_upstream(&mut self, attempt: &Attempt) -> Option<&mut TrackedUpstream> {
        let pool_slot = self.slots.get_mut(attempt.slot)?;
        if pool_slot.generation != attempt.generation {
            return None;
        }
        pool_slot.tracked.as_mut()
    }

    /// Records the first byte of a response.
    pub fn record_first_byte(&mut self, id: AttemptId, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.first_byte_at.is_some() {
            return;
        }
        attempt.first_byte_at = Some(now);
        let attempt = attempt.clone();
        let seconds = now
            .saturating_duration_since(attempt.chosen_at)
            .as_secs_f64();
        if let Some(tracked) = self.tracked_upstream(&attempt) {
            tracked.prefill_tokens = tracked.prefill_tokens.saturating_sub(attempt.uncached);
            tracked.record_first_token(seconds, attempt.expected_first_token_secs, now);
        }
        if attempt.expects_no_wait && attempt.prompt_tokens > 0 {
            let latency = &mut self.sets[attempt.set_index].latency;
            latency.record_first_token(attempt.uncached, seconds);
        }
    }

    /// Records the outcome of an attempt and returns whether it caused an ejection.
    pub fn finish_attempt(
        &mut self,
        policy: &RoutePolicy,
        id: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> bool {
        let Some(attempt) = self.attempts.swap_remove(&id) else {
            return false;
        };
        let may_eject = self.may_eject(policy, attempt.set_index);
        if let AttemptOutcome::Completed { generated, .. } = outcome {
            let set = &mut self.sets[attempt.set_index];
            set.retries.record_success(policy);
            let first_byte_at = attempt.first_byte_at.unwrap_or(now);
            set.latency.record_completion(
                generated.0,
                attempt.max_tokens,
                now.saturating_duration_since(first_byte_at),
                now.saturating_duration_since(attempt.chosen_at),
            );
        }
        if outcome.proves_not_run() {
            self.index.remove(attempt.prefix.blocks(), attempt.holder);
        }
        let Some(tracked) = self.tracked_upstream(&attempt) else {
            return false;
        };
        if attempt.first_byte_at.is_none() {
            tracked.prefill_tokens = tracked.prefill_tokens.saturating_sub(attempt.uncached);
        }
        tracked.request_ended();
        match outcome {
            AttemptOutcome::Completed { cached, .. } => {
                tracked.record_success();
                if let Some(cached) = cached {
                    tracked.cache.record_answer(attempt.matched, cached.0);
                }
                false
            }
            AttemptOutcome::Cancelled | AttemptOutcome::Withdrawn | AttemptOutcome::RefusedBusy => {
                false
            }
            AttemptOutcome::NotConnected
            | AttemptOutcome::UpstreamFault
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Silent => tracked.record_failure(policy, may_eject, now),
        }
    }

    /// Returns whether one more upstream of a set may be ejected.
    fn may_eject(&self, policy: &RoutePolicy, set_index: usize) -> bool {
        let members = &self.sets[set_index].members;
        let suspects = members
            .iter()
            .filter_map(|&slot| self.slots[slot].tracked.as_ref())
            .filter(|tracked| tracked.is_suspect())
            .count();
        (suspects + 1) as f64 <= members.len() as f64 * policy.max_ejected_share
    }

    /// Records a load report of an engine.
    pub fn record_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        let Some(&slot) = self.slot_of.get(upstream) else {
            return;
        };
        if let Some(tracked) = &mut self.slots[slot].tracked {
            tracked.record_load(report, now);
        }
    }

    /// Applies a cache event and returns how many earlier events were missed.
    pub fn apply_cache_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) -> u64 {
        let Some(&slot) = self.slot_of.get(upstream) else {
            return 0;
        };
        let pool_slot = &mut self.slots[slot];
        let Some(tracked) = &mut pool_slot.tracked else {
            return 0;
        };
        if event.change == CacheChange::Cleared {
            tracked.cache.reset_sequence(event.sequence);
            self.last_epoch += 1;
            tracked.cache_epoch = self.last_epoch;
            return 0;
        }
        let EventOrder::Next { missed } = tracked.cache.record_sequence(event.sequence) else {
            return 0;
        };
        let holder = CacheHolder {
            slot,
            epoch: tracked.cache_epoch,
        };
        match &event.change {
            CacheChange::Stored(blocks) => self.index.add(blocks, holder),
            CacheChange::Removed(blocks) => self.index.remove(blocks, holder),
            CacheChange::Cleared => {}
        }
        missed
    }

    /// Returns the number of blocks in the prefix index.
    pub fn indexed_blocks(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of attempts in progress.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the status of every upstream.
    pub fn status(&self, now: Instant) -> Vec<UpstreamStatus> {
        self.slots
            .iter()
            .filter_map(|pool_slot| pool_slot.tracked.as_ref())
            .map(|tracked| UpstreamStatus {
                id: tracked.spec.id.clone(),
                outstanding: tracked.outstanding,
                suspect: tracked.is_suspect(),
                slowness: tracked.slowness(now),
                load_age: tracked.load_age(now),
            })
            .collect()
    }
}
