//! What a process holds by grants of an earlier era of the store.

use snipegate_platform::StoreEra;

use super::BudgetHolding;
use crate::budget_record::BudgetView;

impl BudgetHolding {
    /// Records that the store has entered an era, in which it may have lost recent writes.
    ///
    /// This process keeps what it is certain to hold, and claims it in the record. No write of
    /// an earlier era can take effect any more.
    pub fn enter_era(&mut self, era: StoreEra) {
        if era <= self.era {
            return;
        }
        self.era = era;
        let own_witness = self.view.and_then(|view| view.own_witness);
        let allowance = self.record_allowance();
        self.pending = None;
        self.claim = Some(allowance.granted).filter(|claim| !claim.is_zero());
        self.applied_at = allowance.since;
        self.view = self.claim.map(|claim| BudgetView {
            own_granted: claim,
            own_pace: allowance.pace,
            own_witness,
            ..BudgetView::default()
        });
    }

    /// Returns whether this process holds a grant of an earlier era that it has to claim.
    pub fn has_claim(&self) -> bool {
        self.claim.is_some()
    }
}
