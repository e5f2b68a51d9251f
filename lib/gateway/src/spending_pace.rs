//! Limits on how fast a process may spend a grant. They bound what a killed process can
//! have spent.
//!
//! A grant has to last through an outage of the store, and the spending of a killed
//! process cannot be observed. Each grant request therefore carries a pace: the maximum
//! spending as a function of time on the clock of the machine's boot. A later process
//! on the same machine, in the same boot, reads the same clock and started after the
//! earlier one had ended, so whatever the pace did not allow until then was not spent.
//! This needs neither a lease nor a clock that can be adjusted. After a power loss, or
//! on another machine, no bound is known and the whole grant counts as spent.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use crate::spending_witness::WitnessRef;

/// Upper bound on the spending of a grant, as a function of the time since the pace was
/// set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingPace {
    /// Total tokens that may be spent immediately, including those spent before.
    pub ceiling: TokenCount,
    /// Milliseconds during which the bound stays at `ceiling`.
    pub hold_ms: u64,
    /// Tokens per second by which the bound grows afterwards.
    pub rate: TokenCount,
}

impl SpendingPace {
    /// Returns the maximum spending `elapsed` after the pace was set.
    pub fn max_spent(&self, elapsed: Duration) -> TokenCount {
        let rising = elapsed.saturating_sub(Duration::from_millis(self.hold_ms));
        let risen = rising.as_secs_f64() * self.rate.0 as f64;
        self.ceiling.saturating_add(TokenCount(risen as u64))
    }

    /// Returns a pace that allows no more than either of the two.
    pub fn intersect(self, other: Self) -> Self {
        Self {
            ceiling: self.ceiling.min(other.ceiling),
            hold_ms: self.hold_ms.max(other.hold_ms),
            rate: self.rate.min(other.rate),
        }
    }
}

/// A pace together with the time at which it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatedPace {
    /// Limit on spending since `set_at`.
    pub pace: SpendingPace,
    /// Time at which the pace was set, on the clock of the machine's boot.
    pub set_at: BootTimestamp,
    /// Process to which the spending process promises closer bounds.
    #[serde(default)]
    pub witness: Option<WitnessRef>,
}

impl DatedPace {
    /// Returns the maximum spending of a process that had ended by `end`; `None` if
    /// `end` is not comparable with the time at which the pace was set.
    pub fn max_spent(&self, end: BootTimestamp) -> Option<TokenCount> {
        let elapsed = end.since(self.set_at)?;
        Some(self.pace.max_spent(elapsed))
    }
}
