//! The whole system as separate processes, under faults; the history checker
//! decides each run.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::json;
use snipegate_ledger::BudgetStatus;
use snipegate_testing_fleet::FleetLoad;
use snipegate_testing_fleet::TestFleet;
use snipegate_testing_fleet::VmRole;
use snipegate_testing_fleet::WORKSPACES;
use snipegate_testing_fleet::until;

/// Callers at a time.
const CALLERS: u64 = 6;

/// Answers that a phase of a run waits for.
const PHASE_ANSWERS: usize = 30;

/// Tokens of each budget where the run is not about their end.
const AMPLE_TOKENS: u64 = 10_000_000;

/// How long a fault lasts that has to outlive every lease and bound: the
/// longest is the configuration's 8 s.
const LONG_FAULT: Duration = Duration::from_secs(10);

async fn start(seed: u64) -> (TestFleet, FleetLoad) {
    let fleet = TestFleet::start().await;
    for (workspace, number) in WORKSPACES.into_iter().zip(1..) {
        fleet.top_up(workspace, number, AMPLE_TOKENS).await;
    }
    let load = FleetLoad::start(&fleet, seed, CALLERS).await;
    more_answers(&load).await;
    (fleet, load)
}

/// Waits for more answers.
async fn more_answers(load: &FleetLoad) {
    let enough = load.answered() + PHASE_ANSWERS;
    until("more answers", || async { load.answered() >= enough }).await;
}

async fn finish(fleet: &TestFleet, load: FleetLoad) {
    more_answers(&load).await;
    load.finish().await;
    let summary = fleet.check().await;
    assert!(summary.bills > PHASE_ANSWERS, "{summary}");
}

#[ntex::test]
async fn test_undisturbed_run() {
    let (fleet, load) = start(1).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_router_killed_and_restarted() {
    let (mut fleet, load) = start(2).await;
    for vm in [0, 1] {
        fleet.kill_process(vm, VmRole::Router);
        more_answers(&load).await;
        fleet.start_process(vm, VmRole::Router);
        load.set_targets(fleet.targets());
        fleet.wait_ready(VmRole::Router).await;
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_keepers_killed_and_restarted() {
    let (mut fleet, load) = start(3).await;
    for vm in [0, 1, 2] {
        fleet.kill_process(vm, VmRole::Keeper);
        more_answers(&load).await;
        fleet.start_process(vm, VmRole::Keeper);
        fleet.wait_ready(VmRole::Keeper).await;
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_processes_paused_for_longer_than_any_lease() {
    let (mut fleet, load) = start(4).await;
    for role in [VmRole::Router, VmRole::Keeper] {
        let (_, process) = fleet.vms[1].process(role).unwrap();
        process.pause();
    }
    sleep(LONG_FAULT).await;
    more_answers(&load).await;
    for role in [VmRole::Keeper, VmRole::Router] {
        let (_, process) = fleet.vms[1].process(role).unwrap();
        process.resume();
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_store_outage() {
    let (fleet, load) = start(5).await;
    let outage = |on: bool| json!({"outage": on});
    fleet.operator.fault(fleet.platform, outage(true)).await;
    sleep(LONG_FAULT).await;
    fleet.operator.fault(fleet.platform, outage(false)).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_slow_store() {
    let (fleet, load) = start(6).await;
    // First slower than the timeout of a call, so that each reply is lost.
    for delay_ms in [1_500, 400] {
        fleet
            .operator
            .fault(fleet.platform, json!({"delay_ms": delay_ms}))
            .await;
        sleep(LONG_FAULT).await;
    }
    fleet
        .operator
        .fault(fleet.platform, json!({"delay_ms": 0}))
        .await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_replies_lost_after_the_write() {
    let (fleet, load) = start(7).await;
    let lose = |probability: f64| json!({"lose_probability": probability, "seed": 7});
    fleet.operator.fault(fleet.platform, lose(0.3)).await;
    more_answers(&load).await;
    more_answers(&load).await;
    fleet.operator.fault(fleet.platform, lose(0.0)).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_data_centre_cut_off_from_the_store() {
    let (fleet, load) = start(8).await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .fault(fleet.platform, cut_off(&["mvd-este"]))
        .await;
    sleep(LONG_FAULT).await;
    fleet.top_up(WORKSPACES[0], 100, 50_000).await;
    more_answers(&load).await;
    fleet.operator.fault(fleet.platform, cut_off(&[])).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_late_frozen_and_closed_answers() {
    let (fleet, load) = start(9).await;
    for (upstream, number) in fleet.upstreams.iter().zip(0..) {
        let cut = json!({"after_tokens": 3, "times": 5});
        let change = json!({"jitter_ms": 1_500, "seed": number, "close": cut, "freeze": cut});
        fleet.operator.fault(upstream.address, change).await;
    }
    more_answers(&load).await;
    more_answers(&load).await;
    for upstream in &fleet.upstreams {
        let lose = json!({"lose_answers": 2});
        fleet.operator.fault(upstream.address, lose).await;
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_planned_stop_of_routers_and_keepers() {
    let (mut fleet, load) = start(10).await;
    fleet.stop_process(0, VmRole::Keeper).await;
    more_answers(&load).await;
    fleet.stop_process(0, VmRole::Router).await;
    more_answers(&load).await;
    fleet.start_process(0, VmRole::Keeper);
    fleet.wait_ready(VmRole::Keeper).await;
    fleet.stop_process(1, VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_router_killed_while_replies_are_lost() {
    let (mut fleet, load) = start(11).await;
    let lose = |probability: f64| json!({"lose_probability": probability, "seed": 11});
    fleet.operator.fault(fleet.platform, lose(0.3)).await;
    fleet.kill_process(2, VmRole::Router);
    more_answers(&load).await;
    fleet.kill_process(0, VmRole::Keeper);
    more_answers(&load).await;
    fleet.start_process(0, VmRole::Keeper);
    fleet.start_process(2, VmRole::Router);
    load.set_targets(fleet.targets());
    fleet.operator.fault(fleet.platform, lose(0.0)).await;
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_paused_router_during_a_partition() {
    let (mut fleet, load) = start(12).await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .fault(fleet.platform, cut_off(&["canelones"]))
        .await;
    let (_, router) = fleet.vms[2].process(VmRole::Router).unwrap();
    router.pause();
    sleep(LONG_FAULT).await;
    let (_, router) = fleet.vms[2].process(VmRole::Router).unwrap();
    router.resume();
    more_answers(&load).await;
    fleet.operator.fault(fleet.platform, cut_off(&[])).await;
    finish(&fleet, load).await;
}

/// Budgets that run out again and again, topped up on both sides of a cut.
#[ntex::test]
async fn test_scarce_budgets_during_a_partition() {
    let fleet = TestFleet::start().await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .fault(fleet.platform, cut_off(&["mvd-centro"]))
        .await;
    let load = FleetLoad::start(&fleet, 13, CALLERS).await;
    for operation in 0..30 {
        let workspace = WORKSPACES[operation % WORKSPACES.len()];
        fleet.top_up(workspace, operation as u128, 200).await;
        sleep(Duration::from_millis(300)).await;
        if operation == 15 {
            let faults = json!({"cut_off": [], "lose_probability": 0.2, "seed": 13});
            fleet.operator.fault(fleet.platform, faults).await;
        }
    }
    load.finish().await;
    let summary = fleet.check().await;
    assert!(summary.bills > 0 && summary.billed <= 6_000, "{summary}");
}

#[ntex::test]
async fn test_vm_restarted_while_the_store_is_out() {
    let (mut fleet, load) = start(14).await;
    let outage = |on: bool| json!({"outage": on});
    fleet.operator.fault(fleet.platform, outage(true)).await;
    fleet.kill_process(2, VmRole::Router);
    fleet.kill_process(2, VmRole::Keeper);
    fleet.start_process(2, VmRole::Keeper);
    fleet.start_process(2, VmRole::Router);
    load.set_targets(fleet.targets());
    sleep(LONG_FAULT).await;
    fleet.operator.fault(fleet.platform, outage(false)).await;
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_tokens_of_a_vm_that_is_gone_come_back() {
    let (mut fleet, load) = start(15).await;
    let gone = fleet.vms[1].name.clone();
    let held_by_gone = |status: &BudgetStatus| {
        let holders = status.holdings.iter();
        let held = holders.filter(|held| held.holder.vm.as_str() == gone && held.amount != 0);
        held.count() > 0
    };
    until("tokens are held", || async {
        let status = fleet.budget(WORKSPACES[0]).await;
        status.is_some_and(|status| held_by_gone(&status))
    })
    .await;
    fleet.remove_vm(1).await;
    fleet.add_vm("vm-4", "mvd-este").await;
    load.set_targets(fleet.targets());
    for workspace in WORKSPACES {
        until("tokens are back", || async {
            let status = fleet.budget(workspace).await;
            status.is_some_and(|status| !held_by_gone(&status))
        })
        .await;
    }
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}
