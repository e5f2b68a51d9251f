//! Estimate of the prompt parts in an engine's cache, from the requests sent to it.

use std::time::Instant;

use indexmap::IndexMap;

use crate::metadata::PromptPart;

/// Estimated LRU cache of one engine. A part is identified by itself and all parts before
/// it.
#[derive(Debug)]
pub struct PromptCache {
    capacity: u64,
    tokens: u64,
    parts: IndexMap<u64, CachedPart>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used: Instant,
}

impl PromptCache {
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            parts: IndexMap::new(),
        }
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u64 {
        prefix_ids(parts)
            .zip(parts)
            .take_while(|(prefix_id, _)| self.parts.contains_key(prefix_id))
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Returns whether the last part of a prefix is cached, given the id of the prefix.
    pub fn contains(&self, prefix_id: u64) -> bool {
        self.parts.contains_key(&prefix_id)
    }

    /// Adds the parts of a prompt and evicts the least recently used parts beyond the
    /// capacity.
    pub fn record(&mut self, parts: &[PromptPart], now: Instant) {
        for (prefix_id, part) in prefix_ids(parts).zip(parts) {
            let cached = CachedPart {
                tokens: part.tokens,
                used: now,
            };
            if self.parts.insert(prefix_id, cached).is_none() {
                self.tokens += part.tokens;
            }
        }
        while self.tokens > self.capacity && self.evict_least_recently_used() {}
    }

    /// Removes all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    fn evict_least_recently_used(&mut self) -> bool {
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(_, part)| part.used)
            .map(|(&prefix_id, _)| prefix_id);
        let dropped = oldest.and_then(|prefix_id| self.parts.swap_remove(&prefix_id));
        self.tokens -= dropped.map_or(0, |part| part.tokens);
        dropped.is_some()
    }
}

/// Returns for each part an id that also covers the parts before it.
pub fn prefix_ids(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0_u64, |prefix_id, part| {
        *prefix_id = (prefix_id.rotate_left(23) ^ part.id.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Some(*prefix_id)
    })
}
