//! Results of a policy for a workload.

use serde::Serialize;

use crate::workload::BUDGETS;

/// Remaining share of the budget above which a false refusal is counted as severe.
const SEVERE_SHARE: f64 = 0.05;

/// Accumulates the refusals and the overspend of a run.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTally {
    pub answered: u64,
    pub unconfirmed: u64,
    true_refusals: u64,
    false_refusals: Vec<FalseRefusal>,
    /// Tokens of answered requests, per budget.
    spent: [u64; BUDGETS],
    /// Largest excess of `spent` over the purchased tokens, per budget.
    overspend: [u64; BUDGETS],
}

/// A refusal although the budget covered the request.
#[derive(Clone, Copy, Debug)]
struct FalseRefusal {
    /// Remaining share of the purchased tokens.
    left: f64,
    /// The part of `left` that the router could reach.
    reachable: f64,
    /// Whether a partition was in effect.
    is_partitioned: bool,
}

/// The state of a budget when a request was refused, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLeft {
    pub purchased: u64,
    pub left: u64,
    /// The part of `left` that the router could reach.
    pub reachable: u64,
    /// Whether a partition was in effect.
    pub is_partitioned: bool,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeFigures {
    pub policy: String,
    pub answered: u64,
    pub unconfirmed: u64,
    pub true_refusals: u64,
    pub false_refusals: u64,
    pub false_refusals_over_5_percent_left: u64,
    pub false_refusals_over_5_percent_left_outside_partition: u64,
    pub false_refusals_over_5_percent_reachable: u64,
    pub median_percent_left: f64,
    pub largest_percent_left: f64,
    pub overspend_tokens: u64,
    pub ledger_or_store_calls: u64,
    pub peer_messages: u64,
}

impl OutcomeTally {
    /// Records the refusal of a request for `worst_case` tokens.
    pub fn refuse(&mut self, worst_case: u64, budget: BudgetLeft) {
        if budget.left < worst_case {
            self.true_refusals += 1;
            return;
        }
        let share = |tokens: u64| tokens as f64 / budget.purchased.max(1) as f64;
        self.false_refusals.push(FalseRefusal {
            left: share(budget.left),
            reachable: match budget.reachable >= worst_case {
                true => share(budget.reachable),
                false => 0.0,
            },
            is_partitioned: budget.is_partitioned,
        });
    }

    /// Records an answered request.
    pub fn answer(&mut self, budget: usize, used: u64, purchased: u64) {
        self.answered += 1;
        self.spent[budget] += used;
        let over = self.spent[budget].saturating_sub(purchased);
        self.overspend[budget] = self.overspend[budget].max(over);
    }

    /// Computes the results of the run.
    pub fn figures(mut self, policy: &str, calls: u64, messages: u64) -> OutcomeFigures {
        self.false_refusals
            .sort_by(|a, b| a.left.total_cmp(&b.left));
        let refusals = &self.false_refusals;
        let count = |matches: fn(&FalseRefusal) -> bool| {
            refusals.iter().filter(|refusal| matches(refusal)).count() as u64
        };
        let percent = |refusal: Option<&FalseRefusal>| {
            let left = refusal.map_or(0.0, |refusal| refusal.left);
            (left * 10_000.0).round() / 100.0
        };
        OutcomeFigures {
            policy: policy.to_owned(),
            answered: self.answered,
            unconfirmed: self.unconfirmed,
            true_refusals: self.true_refusals,
            false_refusals: refusals.len() as u64,
            false_refusals_over_5_percent_left: count(|refusal| refusal.left > SEVERE_SHARE),
            false_refusals_over_5_percent_left_outside_partition: count(|refusal| {
                refusal.left > SEVERE_SHARE && !refusal.is_partitioned
            }),
            false_refusals_over_5_percent_reachable: count(|refusal| {
                refusal.reachable > SEVERE_SHARE
            }),
            median_percent_left: percent(refusals.get(refusals.len() / 2)),
            largest_percent_left: percent(refusals.last()),
            overspend_tokens: self.overspend.iter().sum(),
            ledger_or_store_calls: calls,
            peer_messages: messages,
        }
    }
}
