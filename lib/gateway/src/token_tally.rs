//! Remaining tokens of scarce budgets, as reported by all VMs.
//!
//! Tokens move between VMs while the reports are collected. Each VM therefore counts
//! with its recent maximum, which keeps the sum from falling below the tokens that are
//! actually left.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::TokenCount;

/// Window over which the maximum of a VM's reports is taken. It is longer than tokens
/// can be in transit without being counted.
const TALLY_WINDOW: Duration = Duration::from_secs(1);

/// Recent maximum of one VM's reports for one budget, over two consecutive windows.
#[derive(Clone, Copy, Debug)]
struct ReportedMaximum {
    /// Start of the current window.
    window_start: Instant,
    /// Maximum reported in the current window.
    current_max: TokenCount,
    /// Maximum reported in the previous window; `None` without a report in it.
    previous_max: Option<TokenCount>,
    /// Time of the last report.
    updated_at: Instant,
}

impl ReportedMaximum {
    fn new(left: TokenCount, now: Instant) -> Self {
        Self {
            window_start: now,
            current_max: left,
            previous_max: None,
            updated_at: now,
        }
    }

    fn record(&mut self, left: TokenCount, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < TALLY_WINDOW {
            self.current_max = self.current_max.max(left);
            self.updated_at = now;
            return;
        }
        let previous_max = (elapsed < 2 * TALLY_WINDOW).then_some(self.current_max);
        *self = Self {
            previous_max,
            ..Self::new(left, now)
        };
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) < TALLY_WINDOW
    }

    /// Returns the maximum of the two windows; `None` if either is missing or the last
    /// report is too old.
    fn recent_max(&self, now: Instant) -> Option<TokenCount> {
        let previous_max = self.previous_max.filter(|_| self.is_recent(now))?;
        Some(previous_max.max(self.current_max))
    }
}

/// Reports of all VMs on scarce budgets.
#[derive(Debug, Default)]
pub struct TokenTally {
    by_budget: IndexMap<u64, IndexMap<SocketAddr, ReportedMaximum>>,
}

impl TokenTally {
    /// Records the remaining tokens that a VM reports for a workspace's budget.
    pub fn record(&mut self, workspace: u64, vm: SocketAddr, left: TokenCount, now: Instant) {
        let by_vm = self.by_budget.entry(workspace).or_default();
        by_vm
            .entry(vm)
            .and_modify(|reported| reported.record(left, now))
            .or_insert_with(|| ReportedMaximum::new(left, now));
    }

    /// Returns an upper bound on the tokens that the given VMs have left together;
    /// `None` if a VM has not reported for a full window or not recently.
    pub fn max_remaining(
        &self,
        workspace: u64,
        vms: impl Iterator<Item = SocketAddr>,
        now: Instant,
    ) -> Option<TokenCount> {
        let by_vm = self.by_budget.get(&workspace)?;
        let each = vms.map(|vm| by_vm.get(&vm)?.recent_max(now));
        each.sum()
    }

    /// Removes reports that are too old to count.
    pub fn remove_expired(&mut self, now: Instant) {
        for by_vm in self.by_budget.values_mut() {
            by_vm.retain(|_, reported| reported.is_recent(now));
        }
        self.by_budget.retain(|_, by_vm| !by_vm.is_empty());
    }
}
