//! Asking holders to return idle tokens of a budget that runs short.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

use crate::event::KeeperEffect;
use crate::ledger::ShardLedger;

/// Holders asked at most in one recall.
const MAX_HOLDERS_ASKED: usize = 4;

/// When each budget was last recalled.
#[derive(Debug, Default)]
pub(crate) struct BudgetRecalls {
    asked: IndexMap<BudgetId, Instant>,
}

impl BudgetRecalls {
    /// Asks the largest holders of `budget` for what `sender` lacks, unless
    /// they were asked within `interval`.
    pub(crate) fn recall(
        &mut self,
        ledger: &ShardLedger,
        sender: &IncarnationId,
        budget: &BudgetId,
        wanted: TokenCount,
        now: Instant,
        interval: Duration,
    ) -> Vec<KeeperEffect> {
        let is_recent = |asked: &Instant| now.duration_since(*asked) < interval;
        if self.asked.get(budget).is_some_and(is_recent) {
            return Vec::new();
        }
        self.asked.retain(|_, asked| is_recent(asked));
        self.asked.insert(budget.clone(), now);
        let mut lacking = wanted;
        ledger
            .largest_holders(budget, sender)
            .into_iter()
            .take(MAX_HOLDERS_ASKED)
            .map_while(|(holder, held)| {
                let amount = held.min(lacking);
                lacking = lacking.saturating_sub(amount);
                (!amount.is_zero()).then(|| KeeperEffect::AskReturn {
                    holder,
                    budget: budget.clone(),
                    amount,
                })
            })
            .collect()
    }
}
