//! What VMs say that they have left of budgets that are short.
//!
//! Tokens move between VMs while they are counted, so each VM counts with the most
//! that it said lately, and the sum is never less than what is left.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::TokenCount;

/// Time over which the most that a VM said counts; longer than tokens are on their
/// way without being counted.
const TALLY_SPAN: Duration = Duration::from_secs(1);

/// What one VM said of one budget.
#[derive(Clone, Copy, Debug)]
struct LeftTokens {
    /// When the present span began.
    since: Instant,
    /// The most that it said in the present span.
    most: TokenCount,
    /// The most that it said in the span before; `None` if it said nothing.
    most_before: Option<TokenCount>,
    /// When it last said something.
    at: Instant,
}

impl LeftTokens {
    fn new(left: TokenCount, now: Instant) -> Self {
        Self {
            since: now,
            most: left,
            most_before: None,
            at: now,
        }
    }

    fn note(&mut self, left: TokenCount, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < TALLY_SPAN {
            self.most = self.most.max(left);
            self.at = now;
            return;
        }
        let most_before = (elapsed < 2 * TALLY_SPAN).then_some(self.most);
        *self = Self {
            most_before,
            ..Self::new(left, now)
        };
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < TALLY_SPAN
    }

    /// Returns the most that the VM said lately; `None` if that is not known.
    fn most(&self, now: Instant) -> Option<TokenCount> {
        let most_before = self.most_before.filter(|_| self.is_recent(now))?;
        Some(most_before.max(self.most))
    }
}

/// What all VMs said of budgets that are short.
#[derive(Debug, Default)]
pub struct TokenTally {
    by_budget: IndexMap<u64, IndexMap<SocketAddr, LeftTokens>>,
}

impl TokenTally {
    /// Notes what a VM says that it has left of a workspace's budget.
    pub fn note(&mut self, workspace: u64, vm: SocketAddr, left: TokenCount, now: Instant) {
        let by_vm = self.by_budget.entry(workspace).or_default();
        by_vm
            .entry(vm)
            .and_modify(|told| told.note(left, now))
            .or_insert_with(|| LeftTokens::new(left, now));
    }

    /// Returns the most that VMs can have left of a budget together; `None` if one of
    /// them has not told it for long enough, or not lately.
    pub fn most_left(
        &self,
        workspace: u64,
        vms: impl Iterator<Item = SocketAddr>,
        now: Instant,
    ) -> Option<TokenCount> {
        let by_vm = self.by_budget.get(&workspace)?;
        let each = vms.map(|vm| by_vm.get(&vm)?.most(now));
        each.sum()
    }

    /// Drops what is too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        for by_vm in self.by_budget.values_mut() {
            by_vm.retain(|_, told| told.is_recent(now));
        }
        self.by_budget.retain(|_, by_vm| !by_vm.is_empty());
    }
}
