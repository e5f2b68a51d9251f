//! Runs a workload with the escrow.

use std::time::Duration;

use snipegate_escrow::EscrowSettings;
use snipegate_escrow_world::AttemptOutcome;
use snipegate_escrow_world::EscrowWorld;
use snipegate_escrow_world::WorldRequest;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

use crate::outcome::BudgetLeft;
use crate::outcome::OutcomeFigures;
use crate::outcome::OutcomeTally;
use crate::workload::DATA_CENTRES;
use crate::workload::ROUTERS;
use crate::workload::Workload;

/// Time after the last arrival for the last requests to finish.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Runs a workload with an escrow on every router.
pub fn run(name: &str, settings: EscrowSettings, workload: &Workload, seed: u64) -> OutcomeFigures {
    let scenario = workload.scenario;
    let mut world = EscrowWorld::new(seed, ROUTERS, DATA_CENTRES, settings);
    world.faults.delay = Duration::from_millis(6);
    world.faults.commit = Duration::from_millis(60);
    let mut routers: Vec<usize> = (0..ROUTERS).collect();
    let mut purchases = workload.purchases.clone();
    let mut completed_purchases = Vec::new();
    let mut previous_arrival = Duration::ZERO;
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        world.run_for(arrival.at.saturating_sub(world.now()));
        world.faults.store_out = scenario.is_store_down(arrival.at);
        world.faults.partition = match scenario.is_partitioned(arrival.at) {
            true => vec![vec![0, 1], vec![2]],
            false => Vec::new(),
        };
        purchases.retain(|purchase| {
            let due = purchase.at <= arrival.at && !scenario.is_store_down(arrival.at);
            if due {
                world.top_up(&budget_id(purchase.budget), TokenCount(purchase.amount));
                completed_purchases.push((world.now(), purchase.budget, purchase.amount));
            }
            !due
        });
        if let Some(router) = scenario.restarted(previous_arrival, arrival.at) {
            world.stop(routers[router]);
            world.restart(routers[router]);
            routers[router] = world.serving().into_iter().max().unwrap_or_default();
        }
        previous_arrival = arrival.at;
        let request = WorldRequest {
            request: RequestId::from_number(number as u128),
            budget: budget_id(arrival.budget),
            worst_case: TokenCount(arrival.worst_case),
            used: TokenCount(arrival.used),
            duration: arrival.duration,
            fails: false,
        };
        world.request(routers[arrival.router], request);
    }
    world.run_for(DRAIN_TIME);
    tally_outcomes(name, &world, workload, &completed_purchases)
}

fn budget_id(budget: usize) -> BudgetId {
    format!("budget-{budget}")
        .parse()
        .expect("budget name should be valid")
}

/// Computes the results from the record of a finished simulation.
fn tally_outcomes(
    name: &str,
    world: &EscrowWorld,
    workload: &Workload,
    completed_purchases: &[(Duration, usize, u64)],
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
        match attempt.outcome {
            AttemptOutcome::Refused(_) => {
                let (left, purchased) = attempt.unused_at_refusal.unwrap_or_default();
                let left = BudgetLeft {
                    purchased: purchased.0,
                    left: left.0,
                    reachable: attempt.reachable_at_refusal.0,
                    is_partitioned: workload.scenario.is_partitioned(attempt.arrived),
                };
                tally.refuse(arrival.worst_case, left);
            }
            AttemptOutcome::Answered => {
                let purchased = completed_purchases
                    .iter()
                    .filter(|(at, budget, _)| *at <= ended && *budget == arrival.budget)
                    .map(|(_, _, amount)| amount)
                    .sum();
                tally.answer(arrival.budget, arrival.used, purchased);
            }
            AttemptOutcome::Open
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Unconfirmed => tally.unconfirmed += 1,
        }
    }
    tally.figures(name, world.record.batches, world.record.messages)
}
