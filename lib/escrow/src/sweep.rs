//! Return of tokens that are not needed here.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerOperation;
use snipegate_types::BudgetId;
use snipegate_types::TokenCount;

use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::timer::EscrowTimer;

/// Time between looks at budgets.
const SWEEP_PAUSE: Duration = Duration::from_millis(250);

/// Most budgets looked at each time.
const SWEEP_LIMIT: usize = 512;

/// A holding of more than this many times its target is cut to the target.
const EXCESS_FACTOR: u64 = 4;

/// Time for which a recalled holding keeps tokens at the present rate of use.
const RECALL_KEEP: Duration = Duration::from_secs(2);

impl RouterEscrow {
    /// Looks at the next budgets for tokens to return.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.timers.set(now + SWEEP_PAUSE, EscrowTimer::SweepDue);
        self.billed.prune(self.settings.billed_memory, now);
        if self.state != EscrowState::Open {
            return;
        }
        for _ in 0..self.budgets.len().min(SWEEP_LIMIT) {
            if self.sweep_next >= self.budgets.len() {
                self.sweep_next = 0;
            }
            let Some((budget, holding)) = self.budgets.get_index(self.sweep_next) else {
                return;
            };
            let idle = holding.demand.idle(now) >= self.settings.idle_return;
            if idle && holding.is_empty() {
                self.budgets.swap_remove_index(self.sweep_next);
                continue;
            }
            let budget = budget.clone();
            self.sweep_next += 1;
            self.return_excess(&budget, idle, now);
        }
    }

    fn return_excess(&mut self, budget: &BudgetId, idle: bool, now: Instant) {
        let settings = &self.settings;
        let Some(holding) = self.budgets.get(budget) else {
            return;
        };
        // The rate of use is not known before tokens were here for a while.
        let supplied = now.saturating_duration_since(holding.supplied);
        let target = match idle {
            true => TokenCount::ZERO,
            false if supplied < settings.rate_window => return,
            false => holding.target(settings.grant_horizon, settings.rate_window, 1.0, now),
        };
        if holding.free.0 > target.0.saturating_mul(EXCESS_FACTOR) {
            let excess = holding.free.saturating_sub(target);
            self.give_back(budget, excess, now);
        }
    }

    /// Returns half of what is idle here, or all if no requests come.
    ///
    /// The keeper asks again while the shortage lasts, so that a budget near
    /// its end moves to where it is used without stripping anyone at once.
    pub(crate) fn recall(&mut self, budget: &BudgetId, now: Instant) {
        let Some(holding) = self.budgets.get(budget) else {
            return;
        };
        let window = self.settings.rate_window;
        let soon = holding.demand.rate(window, now).tokens_in(RECALL_KEEP);
        let in_use = holding.demand.idle(now) < RECALL_KEEP;
        let kept = match in_use {
            true => soon.saturating_add(holding.usual_claim),
            false => TokenCount::ZERO,
        };
        let idle = holding
            .free
            .saturating_sub(kept.max(holding.waiting_need()));
        let amount = match in_use {
            true => TokenCount(idle.0.div_ceil(2)),
            false => idle,
        };
        self.give_back(budget, amount, now);
    }

    /// Returns tokens to the ledger, unless it can't be reached: then they
    /// are of more use here.
    fn give_back(&mut self, budget: &BudgetId, amount: TokenCount, now: Instant) {
        let Some(shard) = self.budgets.get(budget).map(|holding| holding.shard) else {
            return;
        };
        if self.state != EscrowState::Open || !self.is_reachable(shard, now) {
            return;
        }
        let operation = self.next_operation();
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let amount = holding.deduct(amount);
        if amount.is_zero() {
            return;
        }
        self.count(EscrowCounter::ReturnSent);
        let budget = budget.clone();
        self.enqueue(
            shard,
            LedgerOperation::Return {
                operation,
                budget,
                amount,
            },
        );
    }
}
