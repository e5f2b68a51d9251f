//! Tests that configuration changes reach all processes in time and are never
//! reverted.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_history::EventKind;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::SwapOutcome;
use snipegate_testing_fleet::CallerRequest;
use snipegate_testing_fleet::FleetCaller;
use snipegate_testing_fleet::FleetLoad;
use snipegate_testing_fleet::MODEL;
use snipegate_testing_fleet::POLL_INTERVAL;
use snipegate_testing_fleet::RequestKind;
use snipegate_testing_fleet::RequestOutcome;
use snipegate_testing_fleet::RouterTarget;
use snipegate_testing_fleet::TestFleet;
use snipegate_testing_fleet::VmRole;
use snipegate_testing_fleet::WAIT_TIMEOUT;
use snipegate_testing_fleet::WORKSPACES;
use snipegate_testing_fleet::upstream_config_key;
use snipegate_testing_fleet::wait_until;
use snipegate_testing_fleet::workspace_api_key;

/// Time within which every router must apply a change.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// Observation time after an upstream is told to leave; longer than the time
/// within which it may still get new work.
const LEAVING_OBSERVATION_TIME: Duration = Duration::from_secs(12);

const AMPLE_TOKENS: u64 = 10_000_000;

fn profile_config_key(name: &str) -> FleetKey {
    FleetKey::Profile(name.parse().unwrap())
}

async fn start() -> TestFleet {
    let fleet = TestFleet::start().await;
    for (workspace, number) in WORKSPACES.into_iter().zip(1..) {
        fleet.top_up(workspace, number, AMPLE_TOKENS).await;
    }
    fleet
}

/// Sends requests for the given number of output tokens until the router refuses
/// one because it exceeds the limit.
async fn send_until_refused(caller: &FleetCaller, target: &RouterTarget, tokens: u64, tag: &str) {
    let start = Instant::now();
    for number in 0.. {
        let request = CallerRequest {
            workspace: WORKSPACES[0].parse().unwrap(),
            key: workspace_api_key(WORKSPACES[0]),
            idempotency_key: format!("{tag}-{}-{number}", target.address.port()),
            kind: RequestKind::Chat {
                model: MODEL.to_owned(),
                answer_tokens: tokens,
                stream: false,
            },
        };
        // Other outcomes don't show whether the router applies the limit.
        if let RequestOutcome::Refused { code: 1009, .. } = caller.attempt(&request, target).await {
            return;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "router never applied the limit"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Lowers the output limit of a profile, waits until each router applies it, and
/// returns the time since the change was accepted.
async fn lower_limit(fleet: &TestFleet, limit: u64, tag: &str) -> Duration {
    let caller = FleetCaller::new(fleet.recorder.clone()).await;
    let key = profile_config_key(WORKSPACES[0]);
    let edit = fleet.operator.edit(&key, |profile: &mut Value| {
        profile["max_output_tokens"] = json!(limit);
        profile["default_output_tokens"] = json!(1);
    });
    let edited = edit.await.unwrap();
    let accepted = Instant::now();
    assert!(matches!(edited, SwapOutcome::Swapped(_)), "{edited:?}");
    for target in fleet.router_targets() {
        send_until_refused(&caller, &target, limit + 1, tag).await;
    }
    accepted.elapsed()
}

#[ntex::test]
async fn test_change_is_in_force_everywhere_in_time() {
    let fleet = start().await;
    let elapsed = lower_limit(&fleet, 30, "up").await;
    println!("applied after {} ms", elapsed.as_millis());
    assert!(elapsed <= MAX_PROPAGATION_TIME, "{elapsed:?}");
    fleet.check().await;
}

#[ntex::test]
async fn test_change_reaches_a_data_centre_cut_off_from_the_store() {
    let fleet = start().await;
    let cut_off = json!({"cut_off": ["mvd-este"]});
    fleet.operator.set_faults(fleet.platform, cut_off).await;
    let elapsed = lower_limit(&fleet, 30, "cut").await;
    println!("applied after {} ms", elapsed.as_millis());
    assert!(elapsed <= MAX_PROPAGATION_TIME, "{elapsed:?}");
    fleet.check().await;
}

#[ntex::test]
async fn test_change_never_reverts_over_restarts() {
    let mut fleet = start().await;
    lower_limit(&fleet, 30, "first").await;
    for vm in 0..fleet.vms.len() {
        fleet.kill_process(vm, VmRole::Keeper);
        fleet.start_process(vm, VmRole::Keeper);
        fleet.wait_ready(VmRole::Keeper).await;
        fleet.record_config_revisions().await;
        let caller = FleetCaller::new(fleet.recorder.clone()).await;
        for target in fleet.router_targets() {
            let request = CallerRequest {
                workspace: WORKSPACES[0].parse().unwrap(),
                key: workspace_api_key(WORKSPACES[0]),
                idempotency_key: format!("again-{vm}-{}", target.address.port()),
                kind: RequestKind::Chat {
                    model: MODEL.to_owned(),
                    answer_tokens: 31,
                    stream: false,
                },
            };
            let outcome = caller.attempt(&request, &target).await;
            assert!(
                matches!(outcome, RequestOutcome::Refused { .. }),
                "{outcome:?}"
            );
        }
    }
    fleet.check().await;
}

#[ntex::test]
async fn test_of_two_operators_one_wins_and_the_other_sees_it() {
    let fleet = start().await;
    let key = profile_config_key(WORKSPACES[0]);
    let stored = fleet.operator.store().read(&key.to_string()).await;
    let stored = stored.unwrap().unwrap();
    let expected = ExpectedVersion::At(stored.revision);
    let changed = |limit: u64| {
        let mut profile: Value = serde_json::from_slice(&stored.value).unwrap();
        profile["max_output_tokens"] = json!(limit);
        profile
    };
    let (one, other) = (changed(100), changed(200));
    let (first, second) = join(
        fleet.operator.write(&key, expected, &one),
        fleet.operator.write(&key, expected, &other),
    )
    .await;
    let outcomes = [first.unwrap(), second.unwrap()];
    let won = |outcome: &&SwapOutcome| matches!(outcome, SwapOutcome::Swapped(_));
    assert_eq!(outcomes.iter().filter(won).count(), 1, "{outcomes:?}");
    let lost = outcomes.iter().find(|outcome| !won(outcome)).unwrap();
    let SwapOutcome::Conflict(Some(held)) = lost else {
        panic!("conflict does not return the stored record: {lost:?}");
    };
    let held: Value = serde_json::from_slice(&held.value).unwrap();
    assert!([json!(100), json!(200)].contains(&held["max_output_tokens"]));
}

#[ntex::test]
async fn test_leaving_upstream_gets_no_new_work() {
    let fleet = start().await;
    let load = FleetLoad::start(&fleet, 21, 6).await;
    wait_until("enough requests are answered", || async {
        load.answered() >= 30
    })
    .await;
    let key = upstream_config_key("e1");
    let edit = fleet.operator.edit(&key, |upstream: &mut Value| {
        upstream["state"] = json!("leaving");
    });
    assert!(matches!(edit.await, Ok(SwapOutcome::Swapped(_))));
    fleet.recorder.record(EventKind::UpstreamLeaving {
        upstream: "e1".to_owned(),
    });
    sleep(LEAVING_OBSERVATION_TIME).await;
    let target_count = load.answered() + 30;
    wait_until("more requests are answered", || async {
        load.answered() >= target_count
    })
    .await;
    load.finish().await;
    fleet.check().await;
}
