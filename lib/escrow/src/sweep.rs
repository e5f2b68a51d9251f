//! Return of unneeded tokens to the ledger.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerOperation;
use snipegate_types::BudgetId;
use snipegate_types::TokenCount;

use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::timer::EscrowTimer;

/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of budgets checked in each sweep.
const SWEEP_BATCH_SIZE: usize = 512;

/// A holding with more free tokens than this multiple of its target is reduced to the
/// target.
const EXCESS_FACTOR: u64 = 4;

/// Time for which a recalled holding keeps tokens at the current rate of use.
const RECALL_RESERVE_SPAN: Duration = Duration::from_secs(2);

impl RouterEscrow {
    /// Checks the next budgets for tokens to return, and drops unused holdings.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.timers.set(now + SWEEP_INTERVAL, EscrowTimer::SweepDue);
        self.billed.prune(self.settings.billed_retention, now);
        if self.state != EscrowState::Open {
            return;
        }
        for _ in 0..self.budgets.len().min(SWEEP_BATCH_SIZE) {
            if self.sweep_index >= self.budgets.len() {
                self.sweep_index = 0;
            }
            let Some((budget, holding)) = self.budgets.get_index(self.sweep_index) else {
                return;
            };
            let idle = holding.demand.idle_time(now) >= self.settings.idle_return;
            if idle && holding.is_empty() {
                self.budgets.swap_remove_index(self.sweep_index);
                continue;
            }
            let budget = budget.clone();
            self.sweep_index += 1;
            self.return_excess(&budget, idle, now);
        }
    }

    /// Reduces a holding far above its target to the target, which is zero if no requests
    /// arrive.
    fn return_excess(&mut self, budget: &BudgetId, idle: bool, now: Instant) {
        let settings = &self.settings;
        let Some(holding) = self.budgets.get(budget) else {
            return;
        };
        // The rate of use is unreliable until tokens have been available for a while.
        let since_supply = now.saturating_duration_since(holding.last_supplied);
        let target = match idle {
            true => TokenCount::ZERO,
            false if since_supply < settings.rate_window => return,
            false => holding.target(settings.grant_horizon, settings.rate_window, 1.0, now),
        };
        if holding.free.0 > target.0.saturating_mul(EXCESS_FACTOR) {
            let excess = holding.free.saturating_sub(target);
            self.return_tokens(budget, excess, now);
        }
    }

    /// Returns half of the unneeded tokens, or all of them if no requests arrive.
    ///
    /// The keeper repeats the recall while the shortage lasts. The remaining tokens of a
    /// nearly exhausted budget thus move gradually to the routers that use them, and no
    /// active router loses all of its tokens at once.
    pub(crate) fn recall(&mut self, budget: &BudgetId, now: Instant) {
        let Some(holding) = self.budgets.get(budget) else {
            return;
        };
        let window = self.settings.rate_window;
        let expected_use = holding
            .demand
            .rate(window, now)
            .tokens_in(RECALL_RESERVE_SPAN);
        let in_use = holding.demand.idle_time(now) < RECALL_RESERVE_SPAN;
        let reserve = match in_use {
            true => expected_use.saturating_add(holding.typical_claim),
            false => TokenCount::ZERO,
        };
        let idle = holding
            .free
            .saturating_sub(reserve.max(holding.waiting_total()));
        let amount = match in_use {
            true => TokenCount(idle.0.div_ceil(2)),
            false => idle,
        };
        self.return_tokens(budget, amount, now);
    }

    /// Returns tokens to the ledger.
    ///
    /// Keeps them if the ledger is unreachable, since only this router can use them then.
    fn return_tokens(&mut self, budget: &BudgetId, amount: TokenCount, now: Instant) {
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
