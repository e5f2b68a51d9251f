//! Spending limits that follow from grant requests.

use std::time::Instant;

use snipegate_types::TokenCount;

use crate::spending_pace::SpendingPace;

/// What a process may spend if a given grant request is the last one applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Total tokens that may be spent.
    pub granted: TokenCount,
    /// Limit on how fast they may be spent; `None` if a kill would make the whole grant
    /// count as spent in any case.
    pub pace: Option<SpendingPace>,
    /// Time from which the pace counts; never earlier than the time at which it was
    /// set.
    pub since: Instant,
}

impl Allowance {
    /// Returns the total that may be spent by `now`.
    pub fn spendable_at(&self, now: Instant) -> TokenCount {
        let elapsed = now.saturating_duration_since(self.since);
        match self.pace {
            Some(pace) => self.granted.min(pace.max_spent(elapsed)),
            None => self.granted,
        }
    }

    /// Returns an allowance that permits no more than either of the two.
    pub fn intersect(self, other: Self) -> Self {
        let pace = match (self.pace, other.pace) {
            (Some(one), Some(other)) => Some(one.intersect(other)),
            (one, other) => one.or(other),
        };
        Self {
            granted: self.granted.min(other.granted),
            pace,
            since: self.since.max(other.since),
        }
    }
}
