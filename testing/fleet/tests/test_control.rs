//! Runs that violate a requirement on purpose, to verify that the recorder and the
//! checker detect violations in a run of the whole system.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_history::EventKind;
use snipegate_history::Violation;
use snipegate_testing_fleet::FleetLoad;
use snipegate_testing_fleet::TestFleet;
use snipegate_testing_fleet::VmRole;
use snipegate_testing_fleet::WORKSPACES;
use snipegate_testing_fleet::upstream_config_key;
use snipegate_testing_fleet::wait_until;

/// Longer than the time within which a leaving upstream may still get new work.
const LEAVING_WAIT: Duration = Duration::from_secs(9);

async fn start(seed: u64) -> (TestFleet, FleetLoad) {
    let fleet = TestFleet::start().await;
    for (workspace, number) in WORKSPACES.into_iter().zip(1..) {
        fleet.top_up(workspace, number, 10_000_000).await;
    }
    let load = FleetLoad::start(&fleet, seed, 6).await;
    wait_until("enough requests are answered", || async {
        load.answered() >= 20
    })
    .await;
    (fleet, load)
}

#[ntex::test]
async fn test_double_runs_are_found_where_bookings_may_be_repeated() {
    let (fleet, load) = start(31).await;
    let key = upstream_config_key("b1");
    let edit = fleet.operator.edit(&key, |upstream: &mut Value| {
        upstream["services"][0]["repeatable"] = json!(true);
    });
    edit.await.unwrap();
    let target_count = load.answered() + 200;
    wait_until("enough requests are answered", || async {
        load.answered() >= target_count
    })
    .await;
    load.finish().await;
    let (violations, summary) = fleet.find_violations().await;
    let ran_twice = |found: &Violation| matches!(found, Violation::RanTwice { .. });
    assert!(violations.iter().any(ran_twice), "{summary}");
}

#[ntex::test]
async fn test_work_is_found_on_an_upstream_that_nobody_told_to_leave() {
    let (fleet, load) = start(32).await;
    fleet.recorder.record(EventKind::UpstreamLeaving {
        upstream: "b1".to_owned(),
    });
    sleep(LEAVING_WAIT).await;
    let target_count = load.answered() + 50;
    wait_until("enough requests are answered", || async {
        load.answered() >= target_count
    })
    .await;
    load.finish().await;
    let (violations, summary) = fleet.find_violations().await;
    let work_while_leaving =
        |found: &Violation| matches!(found, Violation::WorkWhileLeaving { .. });
    assert!(violations.iter().any(work_while_leaving), "{summary}");
}

#[ntex::test]
async fn test_cut_off_requests_are_found_where_a_stop_is_a_kill() {
    let (mut fleet, load) = start(33).await;
    // Slow answers ensure that each router has requests in progress.
    for upstream in &fleet.upstreams {
        let slow = json!({"slow_factor": 50.0});
        fleet.operator.set_faults(upstream.address, slow).await;
    }
    sleep(Duration::from_secs(2)).await;
    for vm in 0..fleet.vms.len() {
        let (name, child) = fleet.vms[vm].process(VmRole::Router).unwrap();
        let process = name.to_owned();
        fleet.recorder.record(EventKind::StopPlanned { process });
        child.kill();
    }
    load.finish().await;
    let (violations, summary) = fleet.find_violations().await;
    let cut_off = |found: &Violation| matches!(found, Violation::StopCutOff { .. });
    assert!(violations.iter().any(cut_off), "{summary}");
}
