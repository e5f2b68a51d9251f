//! How fast a run may spend a grant, so that a bound on what it spent is known after it
//! was killed.
//!
//! A grant has to last through an outage of the store, and what a killed run spent of it
//! can't be seen. So each ask for a grant also names a pace: what the run may have
//! spent of the grant by when, on the clock of its machine's boot. A later run on that
//! machine, in the same boot, began after the earlier one had ended and reads the same
//! clock: all that the pace did not allow until then was not spent. No lease and no
//! clock that can be set is part of this. After a loss of power, or on another machine,
//! nothing is known and the whole grant counts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BootMoment;
use snipegate_types::TokenCount;

/// What a run may have spent of its grant, by the time since the pace was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingPace {
    /// Tokens that it may spend at once, with those that it had spent before.
    pub ceiling: TokenCount,
    /// Milliseconds in which it may spend no more than that.
    pub hold_ms: u64,
    /// Tokens a second that it may spend beyond, after that.
    pub rate: TokenCount,
}

impl SpendingPace {
    /// Returns what may have been spent this long after the pace was set.
    pub fn most_spent(&self, elapsed: Duration) -> TokenCount {
        let rising = elapsed.saturating_sub(Duration::from_millis(self.hold_ms));
        let risen = rising.as_secs_f64() * self.rate.0 as f64;
        self.ceiling.saturating_add(TokenCount(risen as u64))
    }

    /// Returns a pace that allows no more than either of two.
    pub fn least(self, other: Self) -> Self {
        Self {
            ceiling: self.ceiling.min(other.ceiling),
            hold_ms: self.hold_ms.max(other.hold_ms),
            rate: self.rate.min(other.rate),
        }
    }
}

/// A pace and when it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatedPace {
    /// The pace.
    pub pace: SpendingPace,
    /// When it was set.
    pub set_at: BootMoment,
}

impl DatedPace {
    /// Returns what may have been spent by a run that had ended by `end`; `None` if its
    /// machine's clock does not tell.
    pub fn most_spent(&self, end: BootMoment) -> Option<TokenCount> {
        let elapsed = end.since(self.set_at)?;
        Some(self.pace.most_spent(elapsed))
    }
}
