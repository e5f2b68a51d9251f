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
    let scored = match candidates.len() {
        ..=MAX_SCORED_WITHOUT_SAMPLING => candidates.into_iter().map(Into::into).collect(),
        _ => sample_candidates(table, &candidates, query, now),
    };
    for sampled in scored {
        let load = table.entry(&sampled.entry.id, now);
        let (cost, choice) = score(load, sampled, query, now);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
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
    let choice = |uncached_tokens, queued_tokens, expected_ms: f64| PlacementChoice {
        id: entry.id.clone(),
        uncached_tokens,
        queued_tokens,
        expected: Duration::from_secs_f64(expected_ms / 1e3),
        running: total.running,
    };
    let Some(prompt) = query.prompt else {
        let expected = f64::from(total.running + 1) * load.service_ms();
        let cost = expected + distance + adjusted;
        return (cost, choice(0, 0, expected));
    };
    let cached = load.cache.cached_prefix_tokens(&prompt.parts);
    let uncached = prompt.input.0.saturating_sub(cached);
    let queued = total.unread + uncached;
    let fixed = REQUEST_OVERHEAD_TOKENS + TOKENS_PER_RUNNING_REQUEST * f64::from(total.running);
    let expected = load.ms_per_token() * (queued as f64 + fixed);
    // Prefilling the prompt's beginning at a home saves later requests that work, so their delay
    // is not charged to this one.
    let charged = uncached.saturating_sub(sampled.home_tokens.saturating_sub(cached));
    let prefill_penalty = load.ms_per_token() * (PREFILL_WEIGHT - 1.0) * charged as f64;
    let cost = expected + prefill_penalty + adjusted;
    (cost, choice(uncached, queued + fixed as u64, expected))
}
