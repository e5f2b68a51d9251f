//! When prompts with a part were last answered.

use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::PartId;

/// Number of parts after which the older half of the table is dropped.
const GENERATION_SIZE: usize = 4096;

/// Time of the last known answer to a prompt with a part, by part.
///
/// Two generations bound the memory: when the younger one is full it replaces the older one.
/// A part that is dropped counts as never answered until its next answer.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    young: IndexMap<PartId, Instant>,
    old: IndexMap<PartId, Instant>,
}

impl AnsweredParts {
    /// Records an answer. Returns whether it is newer than the known ones.
    pub fn record(&mut self, part: PartId, at: Instant) -> bool {
        let known = self.last(part);
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(part, at);
        true
    }

    /// Returns the time of the last answer.
    pub fn last(&self, part: PartId) -> Option<Instant> {
        self.young
            .get(&part)
            .or_else(|| self.old.get(&part))
            .copied()
    }
}
