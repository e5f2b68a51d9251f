//! A guess at which parts of prompts an engine keeps, from what was sent to it.

use std::time::Instant;

use indexmap::IndexMap;

use crate::terms::PromptPart;

/// The parts that one engine is taken to keep, the least recently used first
/// to go. A part is known by itself and all parts before it.
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
    /// Makes an empty cache that holds `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            parts: IndexMap::new(),
        }
    }

    /// Returns how many tokens at the front of a prompt are kept.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u64 {
        chain_ids(parts)
            .zip(parts)
            .take_while(|(chain, _)| self.parts.contains_key(chain))
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Notes that a prompt is read, and drops what no longer fits.
    pub fn note(&mut self, parts: &[PromptPart], now: Instant) {
        for (chain, part) in chain_ids(parts).zip(parts) {
            let cached = CachedPart {
                tokens: part.tokens,
                used: now,
            };
            if self.parts.insert(chain, cached).is_none() {
                self.tokens += part.tokens;
            }
        }
        while self.tokens > self.capacity && self.drop_oldest() {}
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(_, part)| part.used)
            .map(|(&chain, _)| chain);
        let dropped = oldest.and_then(|chain| self.parts.swap_remove(&chain));
        self.tokens -= dropped.map_or(0, |part| part.tokens);
        dropped.is_some()
    }
}

/// Returns for each part an id that also stands for the parts before it.
fn chain_ids(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0_u64, |chain, part| {
        *chain = (chain.rotate_left(23) ^ part.id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Some(*chain)
    })
}
