//! The upstreams of a large service that are scored for a request.
//!
//! Designed for services of many upstreams before many VMs whose views of the load are some
//! tenths of a second old. If all VMs took the upstream that looks best, it would be overloaded
//! before they see it, so each scores a random sample. To that come upstreams that hold the
//! prompt's beginning, or are to hold it: its homes, the first upstreams in the order of
//! rendezvous hashing, on which all VMs agree without messages.

use std::time::Instant;

use super::PlacementQuery;
use super::shared_beginning::SharedBeginning;
use crate::gateway::rendezvous_weight;
use crate::gateway::stable_hash;
use crate::load::LoadTable;
use crate::metadata::PromptShape;
use crate::prompt_cache::PromptCache;
use crate::prompt_cache::prefix_ids;
use crate::upstream::UpstreamEntry;

/// Upstreams sampled at random.
const RANDOM_SAMPLE_SIZE: usize = 6;

/// Upstreams sampled of those that hold or are to hold the prompt's beginning. With several, their
/// load evens out; with all of them, the VMs would pick the same one until they see its load.
const COPY_SAMPLE_SIZE: usize = 3;

/// Share of an upstream's time that the requests of one beginning are to take there. The rest
/// is for other prompts and for changes of the load.
const MAX_SHARE_OF_ONE_BEGINNING: f64 = 0.35;

/// What an upstream holds of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Holding {
    Less,
    Beginning,
    /// Also the part that belongs to the request or its session.
    All,
}

/// A candidate and what it is to the request's beginning.
struct Copy {
    at: usize,
    holding: Holding,
    weight: u64,
}

/// An upstream to score.
#[derive(Clone, Copy, Debug)]
pub struct SampledUpstream<'a> {
    /// The upstream.
    pub entry: &'a UpstreamEntry,
    /// Tokens of the prompt that it is to hold from now on, for later requests.
    pub home_tokens: u64,
}

impl<'a> From<&'a UpstreamEntry> for SampledUpstream<'a> {
    fn from(entry: &'a UpstreamEntry) -> Self {
        Self {
            entry,
            home_tokens: 0,
        }
    }
}

/// Returns the upstreams to score, each once: those with an advertised rate limit, which only
/// few VMs may send to, some that hold or are to hold the prompt's beginning, and others at
/// random.
pub fn sample_candidates<'a>(
    table: &LoadTable,
    candidates: &[&'a UpstreamEntry],
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Vec<SampledUpstream<'a>> {
    let mut chosen: Vec<(usize, u64)> = Vec::with_capacity(RANDOM_SAMPLE_SIZE + COPY_SAMPLE_SIZE);
    if !query.rate_limited.is_empty() {
        let is_limited = |at: &usize| query.rate_limited.contains(&candidates[*at].id);
        let limited = (0..candidates.len()).filter(is_limited);
        chosen.extend(limited.map(|at| (at, 0)));
    }
    if let Some(prompt) = query.prompt
        && let Some(beginning) = SharedBeginning::of(&prompt.parts)
    {
        let wanted = wanted_copies(table, prompt, beginning, now);
        let mut copies = find_copies(table, candidates, prompt, beginning, wanted);
        for _ in 0..COPY_SAMPLE_SIZE.min(copies.len()) {
            let (at, is_home) = copies.swap_remove(fastrand::usize(..copies.len()));
            let home_tokens = if is_home { beginning.tokens } else { 0 };
            chosen.retain(|(other, _)| *other != at);
            chosen.push((at, home_tokens));
        }
    }
    for _ in 0..RANDOM_SAMPLE_SIZE {
        let at = fastrand::usize(..candidates.len());
        if chosen.iter().all(|(other, _)| *other != at) {
            chosen.push((at, 0));
        }
    }
    let sampled = chosen.into_iter().map(|(at, home_tokens)| SampledUpstream {
        entry: candidates[at],
        home_tokens,
    });
    sampled.collect()
}

/// Returns how many upstreams are to hold a beginning, by what its requests need beyond it.
fn wanted_copies(
    table: &LoadTable,
    prompt: &PromptShape,
    beginning: SharedBeginning,
    now: Instant,
) -> usize {
    let own_tokens = prompt.input.0.saturating_sub(beginning.tokens);
    let busy_seconds = table.mean_ms_per_token() * own_tokens as f64 / 1e3;
    let needed = table.demand().rate(beginning, now) * busy_seconds;
    (needed / MAX_SHARE_OF_ONE_BEGINNING).ceil().max(1.0) as usize
}

/// Returns the homes of the beginning, and the upstreams that hold most of the prompt and at
/// least its beginning, each with whether it is a home.
fn find_copies(
    table: &LoadTable,
    candidates: &[&UpstreamEntry],
    prompt: &PromptShape,
    beginning: SharedBeginning,
    wanted: usize,
) -> Vec<(usize, bool)> {
    let whole = prefix_ids(&prompt.parts).last();
    let find_holding = |cache: &PromptCache| match whole {
        _ if !cache.contains(beginning.id) => Holding::Less,
        Some(whole) if cache.contains(whole) => Holding::All,
        _ => Holding::Beginning,
    };
    let mut copies: Vec<Copy> = Vec::with_capacity(candidates.len());
    for (at, entry) in candidates.iter().enumerate() {
        let load = table.get(&entry.id);
        let name_hash = load.map_or_else(|| stable_hash(entry.id.as_str()), |load| load.name_hash);
        copies.push(Copy {
            at,
            holding: load.map_or(Holding::Less, |load| find_holding(&load.cache)),
            weight: rendezvous_weight(beginning.id, name_hash),
        });
    }
    let most = copies.iter().map(|copy| copy.holding).max();
    let wanted = wanted.min(copies.len());
    if wanted < copies.len() {
        copies.select_nth_unstable_by_key(wanted, |copy| std::cmp::Reverse(copy.weight));
    }
    let is_copy = |(rank, copy): &(usize, Copy)| {
        *rank < wanted || (copy.holding > Holding::Less && Some(copy.holding) == most)
    };
    let copies = copies.into_iter().enumerate();
    copies
        .filter(is_copy)
        .map(|(rank, copy)| (copy.at, rank < wanted))
        .collect()
}
