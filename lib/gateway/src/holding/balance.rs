//! Token totals of a process, for the log.

use snipegate_types::TokenCount;

use super::BudgetHolding;

/// Token totals of a process since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingBalance {
    /// Tokens certain to be granted.
    pub granted: TokenCount,
    /// Tokens received from other VMs.
    pub received: TokenCount,
    /// Tokens transferred to other VMs.
    pub given: TokenCount,
    /// Tokens used by completed requests.
    pub used: TokenCount,
    /// Tokens reserved for running requests, at their maximum cost.
    pub reserved: TokenCount,
}

impl BudgetHolding {
    /// Returns the token totals of this process.
    pub fn balance(&self) -> HoldingBalance {
        HoldingBalance {
            granted: self.granted(),
            received: self.received,
            given: self.given,
            used: self.used,
            reserved: self.reserved,
        }
    }
}
