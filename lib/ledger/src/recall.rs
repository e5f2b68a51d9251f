//! Recalls, which ask holders to return idle tokens of a budget that is short.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

use crate::event::KeeperEffect;
use crate::ledger::ShardLedger;

/// Maximum number of holders asked in one recall.
const MAX_HOLDERS_ASKED: usize = 4;

/// The time of the last recall of each budget.
#[derive(Debug, Default)]
pub(crate) struct BudgetRecalls {
    last_recalled: IndexMap<BudgetId, Instant>,
}

impl BudgetRecalls {
    /// Asks the largest holders of `budget` to return up to `wanted` tokens for
    /// `sender`, unless the budget was recalled within `interval`.
    pub(crate) fn recall(
        &mut self,
        ledger: &ShardLedger,
        sender: &IncarnationId,
        budget: &BudgetId,
        wanted: TokenCount,
        now: Instant,
        interval: Duration,
    ) -> Vec<KeeperEffect> {
        let is_recent = |recalled: &Instant| now.duration_since(*recalled) < interval;
        if self.last_recalled.get(budget).is_some_and(is_recent) {
            return Vec::new();
        }
        self.last_recalled.retain(|_, recalled| is_recent(recalled));
        self.last_recalled.insert(budget.clone(), now);
        let mut missing = wanted;
        ledger
            .largest_holders(budget, sender)
            .into_iter()
            .take(MAX_HOLDERS_ASKED)
            .map_while(|(holder, held)| {
                let amount = held.min(missing);
                missing = missing.saturating_sub(amount);
                (!amount.is_zero()).then(|| KeeperEffect::RequestReturn {
                    holder,
                    budget: budget.clone(),
                    amount,
                })
            })
            .collect()
    }
}
