//! Property tests of several escrows and a ledger over a simulated faulty network.

use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_escrow::EscrowCounter;
use snipegate_escrow::EscrowPolicy;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow_world::AttemptOutcome;
use snipegate_escrow_world::EscrowWorld;
use snipegate_escrow_world::NodeState;
use snipegate_escrow_world::WorldRequest;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

/// Size of the arbtest entropy buffer of one run, the low half of its seed.
const ENTROPY_BYTES: u64 = 64;

/// Number of runs of each property.
const RUNS: u64 = 1500;

/// Number of routers, three in each data centre. A bill is held by its router and two
/// copies, so it survives the up to two kills of a run.
const ROUTERS: usize = 9;

/// Interval between ticks, and so the maximum delay of a refusal.
const TICK: Duration = Duration::from_millis(50);

/// The kinds of faults that a run may inject.
#[derive(Clone, Copy)]
struct FaultPlan {
    /// Maximum number of killed routers.
    kills: usize,
    pauses: bool,
    partitions: bool,
    outages: bool,
    stops: bool,
}

/// Runs `property` with [`RUNS`] fixed seeds. A failure reports its seed.
fn for_each_seed(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for number in 0..RUNS {
        arbtest(property).seed(ENTROPY_BYTES | number << 32);
    }
}

fn budget(number: usize) -> BudgetId {
    format!("budget-{number}").parse().unwrap()
}

fn settings(world_seed: u64) -> EscrowSettings {
    let policy = match world_seed % 3 {
        0 => EscrowPolicy::AvoidOverspend,
        _ => EscrowPolicy::AvoidRefusals,
    };
    EscrowSettings {
        copy_post_after: Duration::from_secs(2),
        idle_return: Duration::from_secs(4),
        rate_window: Duration::from_secs(2),
        ..EscrowSettings::for_policy(policy)
    }
}

/// Sends a request to a random router, sometimes with a request id used before.
fn send_request(world: &mut EscrowWorld, next: &mut u128) {
    let serving = world.serving();
    if serving.is_empty() {
        return;
    }
    let node = serving[world.rng().usize(0..serving.len())];
    let is_retry = *next > 0 && world.rng().u8(0..100) < 8;
    let number = match is_retry {
        true => world.rng().u128(0..*next),
        false => *next,
    };
    *next += u128::from(!is_retry);
    let worst_case = world.rng().u64(1..400);
    let rng = world.rng();
    let request = WorldRequest {
        request: RequestId::from_number(number),
        budget: budget((number % 2) as usize),
        worst_case: TokenCount(worst_case),
        used: TokenCount(rng.u64(0..=worst_case + 20)),
        duration: Duration::from_millis(rng.u64(1..800)),
        fails: rng.u8(0..100) < 10,
    };
    world.request(node, request);
}

/// Applies a random change of faults, or tops up a budget.
fn change_faults(world: &mut EscrowWorld, plan: FaultPlan, kills: &mut usize) {
    let serving = world.serving();
    let chosen = match serving.len() {
        0 => None,
        count => Some(serving[world.rng().usize(0..count)]),
    };
    match world.rng().u8(0..10) {
        0 if plan.outages => world.faults.store_out = !world.faults.store_out,
        1 | 2 if plan.partitions => {
            let split = world.rng().usize(0..4);
            world.faults.partition = match split {
                0 => vec![vec![0], vec![1, 2]],
                1 => vec![vec![0, 1], vec![2]],
                2 => vec![vec![0], vec![1], vec![2]],
                _ => Vec::new(),
            };
        }
        3 => {
            let rng = world.rng();
            let (lost, duplicated, lost_reply) = (rng.u8(0..20), rng.u8(0..20), rng.u8(0..20));
            world.faults.lost_percent = lost;
            world.faults.duplicated_percent = duplicated;
            world.faults.lost_reply_percent = lost_reply;
        }
        4 if plan.pauses => match chosen {
            Some(node) => world.pause(node),
            None => world.resume_all(),
        },
        5 => world.resume_all(),
        6 if *kills < plan.kills && serving.len() > 2 => {
            *kills += 1;
            let detection_delay = Duration::from_millis(world.rng().u64(0..5000));
            if let Some(node) = chosen {
                world.kill(node, detection_delay);
            }
        }
        7 if plan.stops && serving.len() > 3 => {
            if let Some(node) = chosen {
                world.stop(node);
                world.restart(node);
            }
        }
        8 => {
            let number = world.rng().usize(0..2);
            let amount = world.rng().u64(100..3000);
            world.top_up(&budget(number), TokenCount(amount));
        }
        _ => {}
    }
}

/// Checks the invariants that hold at any time.
fn check_invariants(world: &EscrowWorld) {
    for number in 0..2 {
        let excess = world.excess(&budget(number));
        assert_eq!(
            excess,
            TokenCount::ZERO,
            "more tokens are allocated than were purchased"
        );
    }
    assert!(world.ledger.is_conserved(), "the ledger does not balance");
    assert_eq!(
        world.record.duplicate_bills, 0,
        "a request was billed twice"
    );
}

/// Clears all faults, stops every router, and checks that all tokens and requests are
/// accounted for.
fn check_final_state(world: &mut EscrowWorld, settings: &EscrowSettings) {
    world.faults = Default::default();
    world.faults.delay = Duration::from_millis(2);
    world.resume_all();
    world.run_for(Duration::from_secs(20));
    check_invariants(world);
    assert!(
        world.stop_all(Duration::from_secs(30)),
        "a router did not stop"
    );
    check_invariants(world);
    assert_eq!(world.lost_bills(), Vec::new(), "a safe bill was lost");
    for number in 0..2 {
        let balance = world.ledger.balance(&budget(number)).unwrap();
        let sum = balance.billed + balance.unassigned;
        assert_eq!(sum, balance.purchased, "tokens were not released");
    }
    for attempt in &world.record.attempts {
        let billed = world.record.bills.get(&attempt.request);
        let is_only_attempt = world
            .record
            .attempts
            .iter()
            .filter(|other| other.request == attempt.request)
            .count()
            == 1;
        match attempt.outcome {
            AttemptOutcome::Answered => assert!(billed.is_some()),
            AttemptOutcome::Refused(_) => {
                let waited = attempt.ended.unwrap() - attempt.arrived - attempt.paused;
                assert!(attempt.admitted.is_none(), "a refused request was run");
                assert!(
                    !is_only_attempt || billed.is_none(),
                    "a refused request was billed"
                );
                assert!(waited <= settings.wait_timeout + TICK, "waited {waited:?}");
            }
            AttemptOutcome::Cancelled | AttemptOutcome::Withdrawn => {
                assert!(
                    !is_only_attempt || billed.is_none(),
                    "an attempt was billed although it ended as {:?}",
                    attempt.outcome
                );
            }
            AttemptOutcome::Unconfirmed => {}
            AttemptOutcome::Open => {
                assert_eq!(
                    world.state(attempt.node),
                    NodeState::Dead,
                    "an attempt on a live router has no outcome"
                );
            }
        }
    }
    assert_eq!(world.record.count(EscrowCounter::LedgerFault), 0);
}

/// Runs random requests and faults, and checks the invariants after each step.
fn run(u: &mut Unstructured<'_>, plan: FaultPlan) -> Result<()> {
    let seed: u64 = u.arbitrary()?;
    let settings = settings(seed);
    let mut world = EscrowWorld::new(seed, ROUTERS, 3, settings.clone());
    for number in 0..2 {
        let amount = world.rng().u64(500..20_000);
        world.top_up(&budget(number), TokenCount(amount));
    }
    let (mut next, mut kills) = (0, 0);
    for _ in 0..world.rng().usize(50..250) {
        match world.rng().u8(0..10) {
            0 => change_faults(&mut world, plan, &mut kills),
            _ => send_request(&mut world, &mut next),
        }
        let span = world.rng().u64(0..120);
        world.run_for(Duration::from_millis(span));
        check_invariants(&world);
    }
    check_final_state(&mut world, &settings);
    Ok(())
}

/// A plan with message loss, duplication and delay only.
const NETWORK_FAULTS_ONLY: FaultPlan = FaultPlan {
    kills: 0,
    pauses: false,
    partitions: false,
    outages: false,
    stops: false,
};

#[test]
fn tokens_are_conserved_over_lossy_network() {
    for_each_seed(|u| run(u, NETWORK_FAULTS_ONLY));
}

#[test]
fn tokens_are_conserved_through_partitions_and_store_outages() {
    let plan = |u: &mut Unstructured<'_>| {
        let plan = FaultPlan {
            partitions: true,
            outages: true,
            ..NETWORK_FAULTS_ONLY
        };
        run(u, plan)
    };
    for_each_seed(plan);
}

#[test]
fn tokens_are_conserved_while_routers_stop_and_restart() {
    let plan = |u: &mut Unstructured<'_>| {
        let plan = FaultPlan {
            stops: true,
            partitions: true,
            ..NETWORK_FAULTS_ONLY
        };
        run(u, plan)
    };
    for_each_seed(plan);
}

#[test]
fn tokens_are_conserved_when_routers_die() {
    let plan = |u: &mut Unstructured<'_>| {
        let plan = FaultPlan {
            kills: 2,
            partitions: true,
            outages: true,
            pauses: true,
            stops: true,
        };
        run(u, plan)
    };
    for_each_seed(plan);
}
