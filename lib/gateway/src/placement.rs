//! Selects the upstream for a request.
//!
//! Designed for bursts of long prompts over engines with prefix caches: a prompt is sent to
//! the upstream with the lowest expected time to first token, given the work that all VMs
//! have outstanding there and the part of the prompt that is already cached. Other requests
//! are sent to the upstream with the lowest expected response time, given its outstanding
//! requests and measured service time.

mod sample;
mod shared_beginning;

use std::time::Duration;
use std::time::Instant;

use snipegate_types::DataCentre;
use snipegate_types::UpstreamId;

pub use self::shared_beginning::BeginningDemand;
pub use self::shared_beginning::SharedBeginning;

use self::sample::SampledUpstream;
use self::sample::sample_candidates;
use crate::expectation::UpstreamSlowness;
use crate::load::LoadTable;
use crate::load::UpstreamLoad;
use crate::metadata::PromptShape;
use crate::upstream::UpstreamEntry;

/// Weight of the prefill time of a request's own uncached tokens. It is above 1 because
/// prefill also delays the requests queued behind this one.
const PREFILL_WEIGHT: f64 = 2.5;

/// Delay caused by each running request, in equivalent prefill tokens.
const TOKENS_PER_RUNNING_REQUEST: f64 = 100.0;

/// Fixed overhead of a request, in equivalent prefill tokens.
const REQUEST_OVERHEAD_TOKENS: f64 = 300.0;

/// Cost of an upstream that fails every request, in ms.
const FAILURE_COST_MS: f64 = 4000.0;

/// Failure rate that is not held against an upstream, since some requests fail on any
/// upstream.
const BASELINE_FAILURE_RATE: f64 = 0.1;

/// Slowness up to which an upstream is as good as others. Delayed views of the load let sound
/// upstreams seem that slow for a while; to avoid these would overload the others.
const USUAL_SLOWNESS: f64 = 1.5;

/// Up to this many upstreams are all scored. Of more, only a sample is: load reports are
/// delayed, so all VMs would pick the same upstream.
const MAX_SCORED_WITHOUT_SAMPLING: usize = 16;

/// Cost of sending a request without a prompt to another data centre, in ms.
const CROSS_DATA_CENTRE_COST_MS: f64 = 2.0;

/// Cost reduction, in ms, of a rate-limited upstream that this VM may send to now. Without
/// it, an upstream that was slow once would get no requests and so could never advertise a
/// higher limit.
const RATE_LIMITED_BONUS_MS: f64 = 20.0;

/// The request to place and the constraints on its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The prompt; `None` if the request is not a generation.
    pub prompt: Option<&'a PromptShape>,
    /// Upstreams already tried for this request.
    pub tried: &'a [UpstreamId],
    /// Upstreams with an advertised rate limit that this VM may send to now.
    pub rate_limited: &'a [UpstreamId],
    /// The data centre of this VM.
    pub data_centre: &'a DataCentre,
}

/// The selected upstream and the estimates behind the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChoice {
    /// The selected upstream.
    pub id: UpstreamId,
    /// Tokens of the prompt that are not cached there.
    pub uncached_tokens: u64,
    /// Tokens to process before the first output token, of all known requests there; includes
    /// the fixed overheads.
    pub queued_tokens: u64,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Known outstanding requests there.
    pub running: u32,
    /// Prompt tokens to process before the first output token, of all known requests there.
    pub unread_tokens: u64,
    /// Tokens of the prompt that are cached there.
    pub cached_tokens: u64,
    /// Expected wait for a place; part of `expected`.
    pub wait: Duration,
    /// How slow the upstream is, if that was taken into account.
    pub slowness: Option<UpstreamSlowness>,
}

/// Selects one of the `ready` upstreams; `None` if none is left to try.
pub fn choose<'a>(
    table: &mut LoadTable,
    ready: impl Iterator<Item = &'a UpstreamEntry>,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<PlacementChoice> {
    let mut best: Option<(f64, PlacementChoice)> = None;
    let candidates: Vec<&UpstreamEntry> = ready
        .filter(|entry| !query.tried.contains(&entry.id))
        .collect();
    let is_large = candidates.len() > MAX_SCORED_WITHOUT_SAMPLING;
    let scored = if is_large {
        table.begin_judging(&candidates[0].service);
        let admitted = admitted_candidates(table, candidates, now);
        sample_candidates(table, &admitted, query, now)
    } else {
        candidates.into_iter().map(Into::into).collect()
    };
    for sampled in scored {
        let load = table.entry(&sampled.entry.id, now);
        let mut pace = UpstreamPace::of_load(load);
        if is_large && query.prompt.is_some() {
            pace = pace.with_reports(table, sampled.entry, now);
        }
        let load = table.entry(&sampled.entry.id, now);
        let (cost, choice) = score(load, sampled, &pace, query, now);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the candidates that are not left out for how they recently answered; all if fewer than
/// half would remain, since these could not take the load.
fn admitted_candidates<'a>(
    table: &LoadTable,
    candidates: Vec<&'a UpstreamEntry>,
    now: Instant,
) -> Vec<&'a UpstreamEntry> {
    if !table.limits_any() {
        return candidates;
    }
    let admits = |entry: &&&UpstreamEntry| table.admits(&entry.id, fastrand::f64(), now);
    let admitted: Vec<&UpstreamEntry> = candidates.iter().filter(admits).copied().collect();
    if admitted.len() * 2 < candidates.len() {
        return candidates;
    }
    admitted
}

/// How fast an upstream is expected to process prompts.
#[derive(Clone, Copy, Debug)]
struct UpstreamPace {
    /// Time to the first event per token to be processed before it, in ms.
    ms_per_token: f64,
    /// Expected wait for a place, in ms.
    wait_ms: f64,
    slowness: Option<UpstreamSlowness>,
}

impl UpstreamPace {
    /// Returns the pace that this VM alone observed.
    fn of_load(load: &UpstreamLoad) -> Self {
        Self {
            ms_per_token: load.ms_per_token(),
            wait_ms: 0.0,
            slowness: None,
        }
    }

    /// Returns the pace that also regards what all VMs observed, and the upstream's slots and
    /// memory.
    fn with_reports(self, table: &LoadTable, entry: &UpstreamEntry, now: Instant) -> Self {
        let fit = table.fit(&entry.service);
        let load = table.get(&entry.id);
        let slowness = load.and_then(|load| table.slowness(load.name_hash, now));
        let factor = slowness.map_or(1.0, |slowness| slowness.factor / USUAL_SLOWNESS);
        let ms_per_token = self.ms_per_token * factor.max(1.0);
        let running = load.map_or(0, |load| load.total(now).running);
        let memory = table.cache_capacity(&entry.id);
        let places = fit.places(entry.slots, memory);
        Self {
            ms_per_token,
            wait_ms: fit.wait_ms(running, places),
            slowness,
        }
    }
}

/// Returns the cost, in ms, of an upstream that fails this share of its requests.
fn failure_cost_ms(share: f64) -> f64 {
    let excess = (share - BASELINE_FAILURE_RATE).max(0.0) / (1.0 - BASELINE_FAILURE_RATE);
    FAILURE_COST_MS * excess
}

/// Returns the cost in ms of placing the request on an upstream, and the resulting choice.
fn score(
    load: &UpstreamLoad,
    sampled: SampledUpstream<'_>,
    pace: &UpstreamPace,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> (f64, PlacementChoice) {
    let entry = sampled.entry;
    let total = load.total(now);
    let failing = failure_cost_ms(load.outcomes(now).failed_share());
    let near = entry.data_centre == *query.data_centre;
    let distance = if near { 0.0 } else { CROSS_DATA_CENTRE_COST_MS };
    let rate_limited = query.rate_limited.contains(&entry.id);
    let bonus = if rate_limited {
        RATE_LIMITED_BONUS_MS
    } else {
        0.0
    };
    // Up to 1 ms of random cost breaks ties.
    let adjusted = failing + fastrand::f64() - bonus;
    let choice = PlacementChoice {
        id: entry.id.clone(),
        uncached_tokens: 0,
        queued_tokens: 0,
        expected: Duration::ZERO,
        running: total.running,
        unread_tokens: 0,
        cached_tokens: 0,
        wait: Duration::from_secs_f64(pace.wait_ms / 1e3),
        slowness: pace.slowness,
    };
    let Some(prompt) = query.prompt else {
        let expected_ms = f64::from(total.running + 1) * load.service_ms();
        let expected = Duration::from_secs_f64(expected_ms / 1e3);
        let cost = expected_ms + distance + adjusted;
        return (cost, PlacementChoice { expected, ..choice });
    };
    let cached = load.cache.cached_prefix_tokens(&prompt.parts);
    let uncached = prompt.input.0.saturating_sub(cached);
    let unread = total.unread + uncached;
    let queued = unread as f64 + overhead_tokens(total.running);
    let expected_ms = pace.ms_per_token * queued + pace.wait_ms;
    // A copy at a home of the prompt's beginning spares later requests as much delay.
    let charged = uncached.saturating_sub(sampled.home_tokens.saturating_sub(cached));
    let prefill_penalty = (PREFILL_WEIGHT - 1.0) * pace.ms_per_token * charged as f64;
    let choice = PlacementChoice {
        uncached_tokens: uncached,
        queued_tokens: queued as u64,
        expected: Duration::from_secs_f64(expected_ms / 1e3),
        unread_tokens: unread,
        cached_tokens: cached,
        ..choice
    };
    (expected_ms + prefill_penalty + adjusted, choice)
}

/// Returns the overheads of a request before this number of running ones, in equivalent prefill
/// tokens.
fn overhead_tokens(running: u32) -> f64 {
    REQUEST_OVERHEAD_TOKENS + TOKENS_PER_RUNNING_REQUEST * f64::from(running)
}
