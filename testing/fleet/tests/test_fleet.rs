//! Runs the whole system as separate processes under faults and verifies each run
//! with the history checker.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::json;
use snipegate_ledger::BudgetStatus;
use snipegate_testing_fleet::FleetLoad;
use snipegate_testing_fleet::TestFleet;
use snipegate_testing_fleet::VmRole;
use snipegate_testing_fleet::WORKSPACES;
use snipegate_testing_fleet::wait_until;

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 6;

/// Number of answers to wait for in each phase of a run.
const ANSWERS_PER_PHASE: usize = 30;

/// Tokens per budget in runs that must not exhaust it.
const AMPLE_TOKENS: u64 = 10_000_000;

/// Duration of faults that must outlast every lease and time limit; the longest is
/// 8 s, for configuration changes.
const LONG_FAULT_DURATION: Duration = Duration::from_secs(10);

async fn start(seed: u64) -> (TestFleet, FleetLoad) {
    let fleet = TestFleet::start().await;
    for (workspace, number) in WORKSPACES.into_iter().zip(1..) {
        fleet.top_up(workspace, number, AMPLE_TOKENS).await;
    }
    let load = FleetLoad::start(&fleet, seed, CALLER_COUNT).await;
    wait_for_answers(&load).await;
    (fleet, load)
}

/// Waits until [`ANSWERS_PER_PHASE`] more requests are answered.
async fn wait_for_answers(load: &FleetLoad) {
    let target_count = load.answered() + ANSWERS_PER_PHASE;
    wait_until("more requests are answered", || async {
        load.answered() >= target_count
    })
    .await;
}

async fn finish(fleet: &TestFleet, load: FleetLoad) {
    wait_for_answers(&load).await;
    load.finish().await;
    let summary = fleet.check().await;
    assert!(summary.bills > ANSWERS_PER_PHASE, "{summary}");
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
        wait_for_answers(&load).await;
        fleet.start_process(vm, VmRole::Router);
        load.set_targets(fleet.router_targets());
        fleet.wait_ready(VmRole::Router).await;
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_keepers_killed_and_restarted() {
    let (mut fleet, load) = start(3).await;
    for vm in [0, 1, 2] {
        fleet.kill_process(vm, VmRole::Keeper);
        wait_for_answers(&load).await;
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
    sleep(LONG_FAULT_DURATION).await;
    wait_for_answers(&load).await;
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
    fleet
        .operator
        .set_faults(fleet.platform, outage(true))
        .await;
    sleep(LONG_FAULT_DURATION).await;
    fleet
        .operator
        .set_faults(fleet.platform, outage(false))
        .await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_slow_store() {
    let (fleet, load) = start(6).await;
    // The first delay exceeds the call timeout, so every reply is lost.
    for delay_ms in [1_500, 400] {
        fleet
            .operator
            .set_faults(fleet.platform, json!({"delay_ms": delay_ms}))
            .await;
        sleep(LONG_FAULT_DURATION).await;
    }
    fleet
        .operator
        .set_faults(fleet.platform, json!({"delay_ms": 0}))
        .await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_replies_lost_after_the_write() {
    let (fleet, load) = start(7).await;
    let lose = |probability: f64| json!({"lose_probability": probability, "seed": 7});
    fleet.operator.set_faults(fleet.platform, lose(0.3)).await;
    wait_for_answers(&load).await;
    wait_for_answers(&load).await;
    fleet.operator.set_faults(fleet.platform, lose(0.0)).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_data_centre_cut_off_from_the_store() {
    let (fleet, load) = start(8).await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .set_faults(fleet.platform, cut_off(&["mvd-este"]))
        .await;
    sleep(LONG_FAULT_DURATION).await;
    fleet.top_up(WORKSPACES[0], 100, 50_000).await;
    wait_for_answers(&load).await;
    fleet
        .operator
        .set_faults(fleet.platform, cut_off(&[]))
        .await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_late_frozen_and_closed_answers() {
    let (fleet, load) = start(9).await;
    for (upstream, number) in fleet.upstreams.iter().zip(0..) {
        let cut = json!({"after_tokens": 3, "times": 5});
        let change = json!({"jitter_ms": 1_500, "seed": number, "close": cut, "freeze": cut});
        fleet.operator.set_faults(upstream.address, change).await;
    }
    wait_for_answers(&load).await;
    wait_for_answers(&load).await;
    for upstream in &fleet.upstreams {
        let lose = json!({"lose_answers": 2});
        fleet.operator.set_faults(upstream.address, lose).await;
    }
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_planned_stop_of_routers_and_keepers() {
    let (mut fleet, load) = start(10).await;
    fleet.stop_process(0, VmRole::Keeper).await;
    wait_for_answers(&load).await;
    fleet.stop_process(0, VmRole::Router).await;
    wait_for_answers(&load).await;
    fleet.start_process(0, VmRole::Keeper);
    fleet.wait_ready(VmRole::Keeper).await;
    fleet.stop_process(1, VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_router_killed_while_replies_are_lost() {
    let (mut fleet, load) = start(11).await;
    let lose = |probability: f64| json!({"lose_probability": probability, "seed": 11});
    fleet.operator.set_faults(fleet.platform, lose(0.3)).await;
    fleet.kill_process(2, VmRole::Router);
    wait_for_answers(&load).await;
    fleet.kill_process(0, VmRole::Keeper);
    wait_for_answers(&load).await;
    fleet.start_process(0, VmRole::Keeper);
    fleet.start_process(2, VmRole::Router);
    load.set_targets(fleet.router_targets());
    fleet.operator.set_faults(fleet.platform, lose(0.0)).await;
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_paused_router_during_a_partition() {
    let (mut fleet, load) = start(12).await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .set_faults(fleet.platform, cut_off(&["canelones"]))
        .await;
    let (_, router) = fleet.vms[2].process(VmRole::Router).unwrap();
    router.pause();
    sleep(LONG_FAULT_DURATION).await;
    let (_, router) = fleet.vms[2].process(VmRole::Router).unwrap();
    router.resume();
    wait_for_answers(&load).await;
    fleet
        .operator
        .set_faults(fleet.platform, cut_off(&[]))
        .await;
    finish(&fleet, load).await;
}

/// Budgets run out repeatedly and are topped up during a partition, then while
/// replies are lost.
#[ntex::test]
async fn test_scarce_budgets_during_a_partition() {
    let fleet = TestFleet::start().await;
    let cut_off = |names: &[&str]| json!({"cut_off": names});
    fleet
        .operator
        .set_faults(fleet.platform, cut_off(&["mvd-centro"]))
        .await;
    let load = FleetLoad::start(&fleet, 13, CALLER_COUNT).await;
    for operation in 0..30 {
        let workspace = WORKSPACES[operation % WORKSPACES.len()];
        fleet.top_up(workspace, operation as u128, 200).await;
        sleep(Duration::from_millis(300)).await;
        if operation == 15 {
            let faults = json!({"cut_off": [], "lose_probability": 0.2, "seed": 13});
            fleet.operator.set_faults(fleet.platform, faults).await;
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
    fleet
        .operator
        .set_faults(fleet.platform, outage(true))
        .await;
    fleet.kill_process(2, VmRole::Router);
    fleet.kill_process(2, VmRole::Keeper);
    fleet.start_process(2, VmRole::Keeper);
    fleet.start_process(2, VmRole::Router);
    load.set_targets(fleet.router_targets());
    sleep(LONG_FAULT_DURATION).await;
    fleet
        .operator
        .set_faults(fleet.platform, outage(false))
        .await;
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}

#[ntex::test]
async fn test_tokens_of_a_vm_that_is_gone_come_back() {
    let (mut fleet, load) = start(15).await;
    let removed_vm = fleet.vms[1].name.clone();
    let held_by_removed_vm = |status: &BudgetStatus| {
        let holders = status.holdings.iter();
        let held_by_vm =
            holders.filter(|held| held.holder.vm.as_str() == removed_vm && held.amount != 0);
        held_by_vm.count() > 0
    };
    wait_until("the VM to be removed holds tokens", || async {
        let status = fleet.budget(WORKSPACES[0]).await;
        status.is_some_and(|status| held_by_removed_vm(&status))
    })
    .await;
    fleet.remove_vm(1).await;
    fleet.add_vm("vm-4", "mvd-este").await;
    load.set_targets(fleet.router_targets());
    for workspace in WORKSPACES {
        wait_until("the tokens of the removed VM are returned", || async {
            let status = fleet.budget(workspace).await;
            status.is_some_and(|status| !held_by_removed_vm(&status))
        })
        .await;
    }
    fleet.wait_ready(VmRole::Router).await;
    finish(&fleet, load).await;
}
