//! What a policy did with a workload.

use serde::Serialize;

use crate::workload::BUDGETS;

/// Share of the budget left above which a false refusal weighs most.
const MUCH_LEFT: f64 = 0.05;

/// Counts refusals and overspend as they happen.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTally {
    pub answered: u64,
    pub unconfirmed: u64,
    true_refusals: u64,
    false_refusals: Vec<FalseRefusal>,
    /// Tokens of answers that went out, for each budget.
    spent: [u64; BUDGETS],
    overspend: [u64; BUDGETS],
}

/// A refusal although tokens were left.
#[derive(Clone, Copy, Debug)]
struct FalseRefusal {
    /// Share of the purchased tokens that was left.
    left: f64,
    /// As much of it as lay on the router's side of a partition.
    reachable: f64,
    /// Whether a partition lasted.
    split: bool,
}

/// What was left of a budget when a request was refused, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLeft {
    pub purchased: u64,
    pub left: u64,
    /// As much of it as lay on the router's side of a partition.
    pub reachable: u64,
    /// Whether a partition lasted.
    pub split: bool,
}

/// The figures of one run.
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
    /// Records a refusal of `worst_case` tokens.
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
            split: budget.split,
        });
    }

    /// Records an answer that went out.
    pub fn answer(&mut self, budget: usize, used: u64, purchased: u64) {
        self.answered += 1;
        self.spent[budget] += used;
        let over = self.spent[budget].saturating_sub(purchased);
        self.overspend[budget] = self.overspend[budget].max(over);
    }

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
            false_refusals_over_5_percent_left: count(|refusal| refusal.left > MUCH_LEFT),
            false_refusals_over_5_percent_left_outside_partition: count(|refusal| {
                refusal.left > MUCH_LEFT && !refusal.split
            }),
            false_refusals_over_5_percent_reachable: count(|refusal| refusal.reachable > MUCH_LEFT),
            median_percent_left: percent(refusals.get(refusals.len() / 2)),
            largest_percent_left: percent(refusals.last()),
            overspend_tokens: self.overspend.iter().sum(),
            ledger_or_store_calls: calls,
            peer_messages: messages,
        }
    }
}
