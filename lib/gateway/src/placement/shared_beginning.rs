//! The beginnings that prompts share, and how often the fleet places them.
//!
//! Designed for one beginning that gets a quarter of a route's requests: it needs more copies
//! than one, as many as its requests need and no more, since each copy costs a prefill.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::metadata::PromptPart;
use crate::prompt_cache::prefix_ids;

/// Time in which the weight of a placed prompt decays to 1/e. It is long against the delay of
/// gossip, and short against the time in which the use of a beginning changes.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(3);

/// Number of known beginnings above which those without recent requests are removed.
const MAX_IDLE_BEGINNINGS: usize = 1024;

/// Decayed count below which a beginning counts as without recent requests.
const MIN_COUNT: f64 = 0.05;

/// The beginning of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBeginning {
    /// Identifies the parts, in their order.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

impl SharedBeginning {
    /// Returns the beginning of a prompt of these parts: all but the last, which belongs to the
    /// request or its session alone, or the only one.
    pub fn of(parts: &[PromptPart]) -> Option<Self> {
        let count = parts.len().saturating_sub(1).max(1);
        let shared = &parts[..count.min(parts.len())];
        Some(Self {
            id: prefix_ids(shared).last()?,
            tokens: shared.iter().map(|part| part.tokens).sum(),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    count: f64,
    at: Instant,
}

impl DecayedCount {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// How often all VMs place each shared beginning.
#[derive(Debug, Default)]
pub struct BeginningDemand {
    counts: IndexMap<u64, DecayedCount>,
    /// Number of known beginnings at which idle ones are next removed.
    next_removal: usize,
}

impl BeginningDemand {
    /// Counts a placed prompt.
    pub fn record(&mut self, beginning: SharedBeginning, now: Instant) {
        let entry = self.counts.entry(beginning.id);
        let counted = entry.or_insert(DecayedCount {
            count: 0.0,
            at: now,
        });
        *counted = DecayedCount {
            count: counted.at(now) + 1.0,
            at: now,
        };
        if self.counts.len() > self.next_removal.max(MAX_IDLE_BEGINNINGS) {
            self.counts.retain(|_, counted| counted.at(now) > MIN_COUNT);
            self.next_removal = 2 * self.counts.len();
        }
    }

    /// Returns the recent requests per second with this beginning.
    pub fn rate(&self, beginning: SharedBeginning, now: Instant) -> f64 {
        let counted = self.counts.get(&beginning.id);
        counted.map_or(0.0, |counted| counted.at(now)) / DEMAND_DECAY_TIME.as_secs_f64()
    }
}
