//! What the world's books say.

use indexmap::IndexMap;
use snipegate_escrow::EscrowState;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

use crate::node::NodeState;
use crate::world::EscrowWorld;

impl EscrowWorld {
    /// Returns the tokens of a budget that no bill and no reservation uses.
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

    /// Returns the tokens of a budget that are free where a router could get
    /// them: unassigned with the ledger, or held by routers on its side.
    pub(crate) fn reachable(&self, budget: &BudgetId, node: usize) -> TokenCount {
        let place = self.nodes[node].place;
        let ledger = !self.faults.store_out && self.faults.connects(place, 0);
        let unassigned = match self.ledger.balance(budget) {
            Some(balance) if ledger => TokenCount(balance.unassigned),
            _ => TokenCount::ZERO,
        };
        let held: TokenCount = self
            .nodes
            .iter()
            .filter(|other| !other.is_over() && self.faults.connects(place, other.place))
            .map(|other| other.escrow.view(budget))
            .map(|view| view.free.saturating_add(view.pending_credit))
            .sum();
        unassigned.saturating_add(held)
    }

    /// Returns by how many tokens what is promised exceeds what was purchased.
    ///
    /// Promised is: bills in the ledger, safe bills that are not there yet, and
    /// what routers that may still send hold free, reserved or billed; and the
    /// unassigned rest, which the next grant promises.
    pub fn excess(&self, budget: &BudgetId) -> TokenCount {
        let Some(balance) = self.ledger.balance(budget) else {
            return TokenCount::ZERO;
        };
        let mut bills: IndexMap<RequestId, TokenCount> = IndexMap::new();
        for (request, (other, amount)) in &self.safe {
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
        let promised = TokenCount(balance.billed)
            .saturating_add(TokenCount(balance.unassigned))
            .saturating_add(bills.into_values().sum())
            .saturating_add(held);
        promised.saturating_sub(TokenCount(balance.purchased))
    }

    /// Returns the requests reported safe that the ledger has not billed.
    pub fn lost_bills(&self) -> Vec<RequestId> {
        self.safe
            .keys()
            .filter(|request| !self.record.bills.contains_key(*request))
            .copied()
            .collect()
    }
}
