//! The escrow under the same workload.

use std::time::Duration;

use snipegate_escrow::EscrowSettings;
use snipegate_escrow_world::EscrowWorld;
use snipegate_escrow_world::RequestFate;
use snipegate_escrow_world::WorldRequest;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

use crate::outcome::BudgetLeft;
use crate::outcome::OutcomeFigures;
use crate::outcome::OutcomeTally;
use crate::workload::PLACES;
use crate::workload::ROUTERS;
use crate::workload::Workload;

/// Time after the last arrival in which the last requests end.
const RUN_OUT: Duration = Duration::from_secs(30);

pub fn run(name: &str, settings: EscrowSettings, workload: &Workload, seed: u64) -> OutcomeFigures {
    let scenario = workload.scenario;
    let mut world = EscrowWorld::new(seed, ROUTERS, PLACES, settings);
    world.faults.delay = Duration::from_millis(6);
    world.faults.commit = Duration::from_millis(60);
    let mut routers: Vec<usize> = (0..ROUTERS).collect();
    let mut purchases = workload.purchases.clone();
    let mut bought = Vec::new();
    let mut before = Duration::ZERO;
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        world.run_for(arrival.at.saturating_sub(world.now()));
        world.faults.store_out = scenario.is_store_out(arrival.at);
        world.faults.partition = match scenario.is_split(arrival.at) {
            true => vec![vec![0, 1], vec![2]],
            false => Vec::new(),
        };
        purchases.retain(|purchase| {
            let due = purchase.at <= arrival.at && !scenario.is_store_out(arrival.at);
            if due {
                world.top_up(&budget_id(purchase.budget), TokenCount(purchase.amount));
                bought.push((world.now(), purchase.budget, purchase.amount));
            }
            !due
        });
        if let Some(turn) = scenario.restarted(before, arrival.at) {
            world.stop(routers[turn]);
            world.restart(routers[turn]);
            routers[turn] = world.serving().into_iter().max().unwrap_or_default();
        }
        before = arrival.at;
        let request = WorldRequest {
            request: RequestId::from_number(number as u128),
            budget: budget_id(arrival.budget),
            worst_case: TokenCount(arrival.worst_case),
            used: TokenCount(arrival.used),
            runs: arrival.runs,
            fails: false,
        };
        world.request(routers[arrival.router], request);
    }
    world.run_for(RUN_OUT);
    tally(name, &world, workload, &bought)
}

fn budget_id(budget: usize) -> BudgetId {
    format!("budget-{budget}")
        .parse()
        .expect("the text is a name")
}

fn tally(
    name: &str,
    world: &EscrowWorld,
    workload: &Workload,
    bought: &[(Duration, usize, u64)],
) -> OutcomeFigures {
    let mut tally = OutcomeTally::default();
    let mut attempts: Vec<_> = world
        .record
        .attempts
        .iter()
        .zip(&workload.arrivals)
        .collect();
    attempts.sort_by_key(|(attempt, _)| attempt.ended);
    for (attempt, arrival) in attempts {
        let Some(ended) = attempt.ended else {
            continue;
        };
        match attempt.fate {
            RequestFate::Refused(_) => {
                let (left, purchased) = attempt.left_at_refusal.unwrap_or_default();
                let left = BudgetLeft {
                    purchased: purchased.0,
                    left: left.0,
                    reachable: attempt.reachable_at_refusal.0,
                    split: workload.scenario.is_split(attempt.arrived),
                };
                tally.refuse(arrival.worst_case, left);
            }
            RequestFate::Answered => {
                let purchased = bought
                    .iter()
                    .filter(|(at, budget, _)| *at <= ended && *budget == arrival.budget)
                    .map(|(_, _, amount)| amount)
                    .sum();
                tally.answer(arrival.budget, arrival.used, purchased);
            }
            RequestFate::Open
            | RequestFate::Cancelled
            | RequestFate::Withdrawn
            | RequestFate::Unconfirmed => tally.unconfirmed += 1,
        }
    }
    tally.figures(name, world.record.batches, world.record.messages)
}
