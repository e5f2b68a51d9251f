//! What operators see of a budget.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;

use crate::ledger::HolderState;
use crate::ledger::ShardLedger;
use crate::record::SegmentSequence;

/// Path prefix of a keeper at which a budget can be read: `/budgets/<id>?shard=<n>`.
pub const BUDGETS_PATH: &str = "/budgets";

/// What one incarnation holds of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingStatus {
    /// The incarnation.
    pub holder: IncarnationId,
    /// Whether it takes part, or waits for its reclaim.
    pub state: HolderState,
    /// How many tokens; negative while a transfer to it is not noted yet.
    pub amount: i64,
}

/// The balances of a budget, all in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// The last segment of the shard's log that is taken in.
    pub sequence: SegmentSequence,
    /// Bought so far.
    pub purchased: u64,
    /// Billed so far.
    pub billed: u64,
    /// Held by nobody.
    pub unassigned: u64,
    /// Held by routers.
    pub holdings: Vec<HoldingStatus>,
}

impl ShardLedger {
    /// Returns what operators see of a budget.
    pub fn budget_status(&self, budget: &BudgetId) -> Option<BudgetStatus> {
        let balance = self.balance(budget)?;
        let holdings = balance.holdings.iter().filter_map(|(number, amount)| {
            let (holder, state) = self.holders.get_index(number.0 as usize)?;
            Some(HoldingStatus {
                holder: holder.clone(),
                state: *state,
                amount: *amount,
            })
        });
        Some(BudgetStatus {
            budget: budget.clone(),
            sequence: self.sequence(),
            purchased: balance.purchased,
            billed: balance.billed,
            unassigned: balance.unassigned,
            holdings: holdings.collect(),
        })
    }
}
