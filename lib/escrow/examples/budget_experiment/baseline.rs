//! Baseline policies to compare the escrow with.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use strum::Display;
use strum::EnumIter;

use crate::outcome::BudgetLeft;
use crate::outcome::OutcomeFigures;
use crate::outcome::OutcomeTally;
use crate::workload::Arrival;
use crate::workload::BUDGETS;
use crate::workload::DATA_CENTRES;
use crate::workload::ROUTERS;
use crate::workload::Scenario;
use crate::workload::Workload;

/// Interval at which routers exchange their local counters.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// A baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Baseline {
    /// Every router has an equal, fixed share of each budget.
    FixedSplit,
    /// Every request reserves and settles by a compare-and-swap in the store.
    StoreSwap,
    /// Every router counts its own use and learns the use of others every second.
    LocalCounters,
}

/// Token counts of one budget in one run.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetCount {
    purchased: u64,
    /// Tokens used by each router.
    used: [u64; ROUTERS],
    /// Tokens reserved by each router.
    reserved: [u64; ROUTERS],
    /// Purchased tokens, as known to each router.
    known_purchased: [u64; ROUTERS],
    /// Tokens used by all other routers, as known to each router.
    known_others: [u64; ROUTERS],
}

impl BudgetCount {
    /// Returns the tokens that are neither used nor reserved.
    fn left(&self) -> u64 {
        let spent: u64 = self.used.iter().chain(&self.reserved).sum();
        self.purchased.saturating_sub(spent)
    }

    /// Returns the remaining tokens of a router's equal share.
    fn share_left(&self, router: usize) -> u64 {
        let spent = self.used[router] + self.reserved[router];
        (self.known_purchased[router] / ROUTERS as u64).saturating_sub(spent)
    }

    /// Returns whether the policy lets a router reserve `worst_case` tokens.
    fn can_reserve(&self, baseline: Baseline, router: usize, worst_case: u64) -> bool {
        let own = self.used[router] + self.reserved[router];
        match baseline {
            Baseline::FixedSplit => {
                own + worst_case <= self.known_purchased[router] / ROUTERS as u64
            }
            Baseline::StoreSwap => self.left() >= worst_case,
            Baseline::LocalCounters => {
                own + self.known_others[router] + worst_case <= self.known_purchased[router]
            }
        }
    }

    /// Exchanges counters between the routers that can communicate.
    fn exchange(&mut self, connected: impl Fn(usize, usize) -> bool) {
        for router in 0..ROUTERS {
            let others_used: u64 = (0..ROUTERS)
                .filter(|&other| other != router && connected(router, other))
                .map(|other| self.used[other])
                .sum();
            // Routers that can't be reached count with at least their last known use.
            self.known_others[router] = self.known_others[router].max(others_used);
            // The store is in the first data centre.
            if connected(router, 0) {
                self.known_purchased[router] = self.purchased;
            }
        }
    }
}

/// Returns whether two routers can communicate at a given time.
fn connected(scenario: Scenario, at: Duration, a: usize, b: usize) -> bool {
    !scenario.is_partitioned(at)
        || (a % DATA_CENTRES == DATA_CENTRES - 1) == (b % DATA_CENTRES == DATA_CENTRES - 1)
}

/// Runs a workload under a baseline policy.
pub fn run(baseline: Baseline, workload: &Workload) -> OutcomeFigures {
    let scenario = workload.scenario;
    let mut counts = [BudgetCount::default(); BUDGETS];
    let mut tally = OutcomeTally::default();
    let mut ends: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut purchases = workload.purchases.clone();
    let mut next_exchange = Duration::ZERO;
    let mut calls = 0;
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        while let Some(&Reverse((time, ended))) = ends.peek()
            && time <= arrival.at
        {
            ends.pop();
            let Arrival {
                router,
                budget,
                worst_case,
                used,
                ..
            } = workload.arrivals[ended];
            counts[budget].reserved[router] -= worst_case;
            counts[budget].used[router] += used;
            calls += 1;
            tally.answer(budget, used, counts[budget].purchased);
        }
        purchases.retain(|purchase| {
            let due = purchase.at <= arrival.at && !scenario.is_store_down(arrival.at);
            if due {
                counts[purchase.budget].purchased += purchase.amount;
            }
            !due
        });
        if arrival.at >= next_exchange {
            next_exchange = arrival.at + EXCHANGE_INTERVAL;
            for count in &mut counts {
                count.exchange(|a, b| connected(scenario, arrival.at, a, b));
            }
        }
        let count = &mut counts[arrival.budget];
        let is_store_reachable = !scenario.is_store_down(arrival.at)
            && connected(scenario, arrival.at, arrival.router, 0);
        let admitted = (baseline != Baseline::StoreSwap || is_store_reachable)
            && count.can_reserve(baseline, arrival.router, arrival.worst_case);
        if admitted {
            calls += 1;
            count.reserved[arrival.router] += arrival.worst_case;
            ends.push(Reverse((arrival.at + arrival.duration, number)));
        } else {
            let reachable = (0..ROUTERS)
                .filter(|&other| connected(scenario, arrival.at, arrival.router, other))
                .map(|other| count.share_left(other))
                .sum();
            let left = BudgetLeft {
                purchased: count.purchased,
                left: count.left(),
                reachable,
                is_partitioned: scenario.is_partitioned(arrival.at),
            };
            tally.refuse(arrival.worst_case, left);
        }
    }
    let calls = match baseline {
        Baseline::StoreSwap => calls,
        Baseline::FixedSplit | Baseline::LocalCounters => 0,
    };
    tally.figures(&baseline.to_string(), calls, 0)
}
