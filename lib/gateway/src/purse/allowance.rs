//! What asks for a grant leave a run to spend.

use std::time::Instant;

use snipegate_types::TokenCount;

use crate::spending_pace::SpendingPace;

/// What one ask leaves a run to spend, if it is the last one that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens that it may spend in all.
    pub granted: TokenCount,
    /// How fast; `None` where nothing is known of a killed run either way.
    pub pace: Option<SpendingPace>,
    /// When the pace began, or later.
    pub since: Instant,
}

impl Allowance {
    /// Returns what may be spent by now.
    pub fn by(&self, now: Instant) -> TokenCount {
        let elapsed = now.saturating_duration_since(self.since);
        match self.pace {
            Some(pace) => self.granted.min(pace.most_spent(elapsed)),
            None => self.granted,
        }
    }

    /// Returns an allowance that leaves no more than either of two.
    pub fn least(self, other: Self) -> Self {
        let pace = match (self.pace, other.pace) {
            (Some(one), Some(other)) => Some(one.least(other)),
            (one, other) => one.or(other),
        };
        Self {
            granted: self.granted.min(other.granted),
            pace,
            since: self.since.max(other.since),
        }
    }
}
