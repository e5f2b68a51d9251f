//! Three simple policies to compare with.

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
use crate::workload::PLACES;
use crate::workload::ROUTERS;
use crate::workload::Scenario;
use crate::workload::Workload;

/// Time between exchanges of what local counters have counted.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(1);

/// A simple policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Baseline {
    /// Each router has an equal, fixed part of every budget.
    FixedSplit,
    /// Each request reserves and settles by a compare-and-swap in the store.
    StoreSwap,
    /// Each router counts its own use and hears of others' every second.
    LocalCounters,
}

/// Tokens of one budget in one run.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetCount {
    purchased: u64,
    /// Used and reserved by each router.
    used: [u64; ROUTERS],
    reserved: [u64; ROUTERS],
    /// What was purchased as each router knows it.
    known_purchased: [u64; ROUTERS],
    /// Use of all others as each router knows it.
    known_others: [u64; ROUTERS],
}

impl BudgetCount {
    fn left(&self) -> u64 {
        let gone: u64 = self.used.iter().chain(&self.reserved).sum();
        self.purchased.saturating_sub(gone)
    }

    /// Returns what is left of a router's equal part.
    fn part_left(&self, router: usize) -> u64 {
        let gone = self.used[router] + self.reserved[router];
        (self.known_purchased[router] / ROUTERS as u64).saturating_sub(gone)
    }

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

    /// Lets the routers on one side learn what the others on it know.
    fn exchange(&mut self, connected: impl Fn(usize, usize) -> bool) {
        for router in 0..ROUTERS {
            let heard: u64 = (0..ROUTERS)
                .filter(|&other| other != router && connected(router, other))
                .map(|other| self.used[other])
                .sum();
            // Others that can't be heard count as they last did, at least.
            self.known_others[router] = self.known_others[router].max(heard);
            // The store is in the first data centre.
            if connected(router, 0) {
                self.known_purchased[router] = self.purchased;
            }
        }
    }
}

fn connected(scenario: Scenario, at: Duration, a: usize, b: usize) -> bool {
    !scenario.is_split(at) || (a % PLACES == PLACES - 1) == (b % PLACES == PLACES - 1)
}

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
            let due = purchase.at <= arrival.at && !scenario.is_store_out(arrival.at);
            if due {
                counts[purchase.budget].purchased += purchase.amount;
            }
            !due
        });
        if arrival.at >= next_exchange {
            next_exchange = arrival.at + EXCHANGE_PAUSE;
            for count in &mut counts {
                count.exchange(|a, b| connected(scenario, arrival.at, a, b));
            }
        }
        let count = &mut counts[arrival.budget];
        let store_reached = !scenario.is_store_out(arrival.at)
            && connected(scenario, arrival.at, arrival.router, 0);
        let admitted = (baseline != Baseline::StoreSwap || store_reached)
            && count.can_reserve(baseline, arrival.router, arrival.worst_case);
        if admitted {
            calls += 1;
            count.reserved[arrival.router] += arrival.worst_case;
            ends.push(Reverse((arrival.at + arrival.runs, number)));
        } else {
            let reachable = (0..ROUTERS)
                .filter(|&other| connected(scenario, arrival.at, arrival.router, other))
                .map(|other| count.part_left(other))
                .sum();
            let left = BudgetLeft {
                purchased: count.purchased,
                left: count.left(),
                reachable,
                split: scenario.is_split(arrival.at),
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
