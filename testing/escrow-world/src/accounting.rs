//! Token accounting over all routers and the ledger.

use indexmap::IndexMap;
use snipegate_escrow::EscrowState;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

use crate::node::NodeState;
use crate::world::EscrowWorld;

impl EscrowWorld {
    /// Returns the purchased tokens of a budget that are neither billed nor reserved.
    pub fn unused(&self, budget: &BudgetId) -> TokenCount {
        let Some(balance) = self.ledger.balance(budget) else {
            return TokenCount::ZERO;
        };
        let in_use: TokenCount = self
            .nodes
            .iter()
            .filter(|node| node.state != NodeState::Dead)
            .map(|node| node.escrow.view(budget))
            .map(|view| view.reserved.saturating_add(view.billed))
            .sum();
        TokenCount(balance.purchased)
            .saturating_sub(TokenCount(balance.billed))
            .saturating_sub(in_use)
    }

    /// Returns the free tokens of a budget that a router could obtain across the current
    /// partition: unassigned in the ledger, or held by routers that it reaches.
    pub(crate) fn reachable(&self, budget: &BudgetId, node: usize) -> TokenCount {
        let data_centre = self.nodes[node].data_centre;
        let reaches_ledger = !self.faults.store_out && self.faults.connects(data_centre, 0);
        let unassigned = match self.ledger.balance(budget) {
            Some(balance) if reaches_ledger => TokenCount(balance.unassigned),
            _ => TokenCount::ZERO,
        };
        let held: TokenCount = self
            .nodes
            .iter()
            .filter(|other| {
                !other.has_ended() && self.faults.connects(data_centre, other.data_centre)
            })
            .map(|other| other.escrow.view(budget))
            .map(|view| view.free.saturating_add(view.pending_credit))
            .sum();
        unassigned.saturating_add(held)
    }

    /// Returns how many more tokens of a budget are allocated than were purchased.
    ///
    /// Allocated tokens are those billed in the ledger, those of safe bills that are not
    /// in the ledger yet, the free, pending and reserved tokens of routers that may still
    /// act, and the unassigned tokens, which may be granted next.
    pub fn excess(&self, budget: &BudgetId) -> TokenCount {
        let Some(balance) = self.ledger.balance(budget) else {
            return TokenCount::ZERO;
        };
        let mut bills: IndexMap<RequestId, TokenCount> = IndexMap::new();
        for (request, (other, amount)) in &self.safe_bills {
            if other == budget && !self.record.bills.contains_key(request) {
                bills.insert(*request, *amount);
            }
        }
        let held: TokenCount = self
            .nodes
            .iter()
            .filter(|node| node.state != NodeState::Dead)
            .filter(|node| node.escrow.state() != EscrowState::Closed)
            .map(|node| node.escrow.view(budget))
            .map(|view| {
                view.free
                    .saturating_add(view.pending_credit)
                    .saturating_add(view.reserved)
            })
            .sum();
        let allocated = TokenCount(balance.billed)
            .saturating_add(TokenCount(balance.unassigned))
            .saturating_add(bills.into_values().sum())
            .saturating_add(held);
        allocated.saturating_sub(TokenCount(balance.purchased))
    }

    /// Returns the requests whose bill was reported safe but is not in the ledger.
    pub fn lost_bills(&self) -> Vec<RequestId> {
        self.safe_bills
            .keys()
            .filter(|request| !self.record.bills.contains_key(*request))
            .copied()
            .collect()
    }
}
