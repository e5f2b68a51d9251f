//! Sets of prompt parts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::PartId;

use crate::metadata::PromptPart;

/// Prompt parts that are looked for together: a prompt matches if it has all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartSet(Vec<PartId>);

impl PartSet {
    /// Creates the set of some parts, in any order.
    pub fn new(mut parts: Vec<PartId>) -> Self {
        parts.sort();
        parts.dedup();
        Self(parts)
    }

    /// Returns whether the set is not empty and `parts` has all its parts.
    pub fn is_within(&self, parts: &[PromptPart]) -> bool {
        let has = |id: &PartId| parts.iter().any(|part| part.id == *id);
        !self.0.is_empty() && self.0.iter().all(has)
    }

    /// Returns whether all parts of this set are in `other`.
    pub fn is_subset(&self, other: &Self) -> bool {
        self.0.iter().all(|part| other.0.contains(part))
    }

    /// Returns the parts in order of their ids.
    pub fn parts(&self) -> &[PartId] {
        &self.0
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, part) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "+" };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
