//! Prefix cache of the engine and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use serde::Serialize;

/// Maximum number of events retained for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// Change to the cached blocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks were added to the cache.
    Stored(Vec<u64>),
    /// The blocks were removed from the cache.
    Removed(Vec<u64>),
    /// All blocks were removed from the cache.
    Cleared,
}

/// Change to the cache with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// LRU cache of prompt blocks.
///
/// Its events become visible after a delay, and some are lost.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: IndexSet<u64>,
    capacity: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    lag: Duration,
    gap_probability: f64,
    random: fastrand::Rng,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize, lag: Duration, gap_probability: f64, seed: u64) -> Self {
        Self {
            blocks: IndexSet::new(),
            capacity,
            events: VecDeque::new(),
            sequence: 0,
            lag,
            gap_probability,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Inserts the blocks of a prompt as the most recently used ones.
    ///
    /// Returns how many consecutive blocks from its start were already cached.
    pub fn admit(&mut self, blocks: &[u64], now: Instant) -> usize {
        let hits = blocks
            .iter()
            .take_while(|block| self.blocks.contains(*block))
            .count();
        for block in blocks {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        if hits < blocks.len() {
            self.publish(CacheChange::Stored(blocks[hits..].to_vec()), now);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity);
        if excess > 0 {
            let removed = self.blocks.drain(..excess).collect();
            self.publish(CacheChange::Removed(removed), now);
        }
        hits
    }

    /// Returns the events after `sequence` that are at least as old as the lag.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(since, event)| event.sequence > sequence && *since + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Appends an event, or loses it with the configured probability.
    fn publish(&mut self, change: CacheChange, now: Instant) {
        self.sequence += 1;
        if self.random.f64() < self.gap_probability {
            return;
        }
        let sequence = self.sequence;
        self.events
            .push_back((now, CacheEvent { sequence, change }));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
