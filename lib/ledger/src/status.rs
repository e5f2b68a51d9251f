//! Budget status for operators.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;

use crate::ledger::HolderState;
use crate::ledger::ShardLedger;
use crate::record::SegmentSequence;

/// Path prefix of the budget status endpoint of a keeper: `/budgets/<id>?shard=<n>`.
pub const BUDGETS_PATH: &str = "/budgets";

/// Tokens of a budget held by one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingStatus {
    /// The incarnation.
    pub holder: IncarnationId,
    /// Whether the holder is open, closing or closed.
    pub state: HolderState,
    /// Number of tokens; negative while a transfer to the holder is not yet recorded.
    pub amount: i64,
}

/// The balances of a budget, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// The last segment of the shard's log that is applied.
    pub sequence: SegmentSequence,
    /// Total purchased.
    pub purchased: u64,
    /// Total billed.
    pub billed: u64,
    /// Not held by any router.
    pub unassigned: u64,
    /// Holdings of the routers.
    pub holdings: Vec<HoldingStatus>,
}

impl ShardLedger {
    /// Returns the status of a budget, or `None` if the budget does not exist.
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
