//! The engine's cache of prompt prefixes and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use serde::Serialize;

/// Events kept for readers.
const KEPT_EVENTS: usize = 4_096;

/// A change of what the cache holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks are held now.
    Stored(Vec<u64>),
    /// The blocks are held no longer.
    Removed(Vec<u64>),
    /// Nothing is held any more.
    Cleared,
}

/// A numbered change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Counts the events; a jump means that events were lost.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// Least-recently-used blocks, with events that are late and have gaps.
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
    /// Makes an empty cache of `capacity` blocks.
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

    /// Uses a prompt's blocks and returns how many from its start were held.
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
        let surplus = self.blocks.len().saturating_sub(self.capacity);
        if surplus > 0 {
            let removed = self.blocks.drain(..surplus).collect();
            self.publish(CacheChange::Removed(removed), now);
        }
        hits
    }

    /// Returns the events after `sequence` that are old enough to be seen.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(since, event)| event.sequence > sequence && *since + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the number of blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn publish(&mut self, change: CacheChange, now: Instant) {
        self.sequence += 1;
        if self.random.f64() < self.gap_probability {
            return;
        }
        let sequence = self.sequence;
        self.events
            .push_back((now, CacheEvent { sequence, change }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
