//! Changes of the configuration, as processes come to act on them.

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
use snipegate_testing_fleet::CallEnd;
use snipegate_testing_fleet::CallerCall;
use snipegate_testing_fleet::CallerRequest;
use snipegate_testing_fleet::FleetCaller;
use snipegate_testing_fleet::FleetLoad;
use snipegate_testing_fleet::MODEL;
use snipegate_testing_fleet::PATIENCE;
use snipegate_testing_fleet::POLL_PAUSE;
use snipegate_testing_fleet::RouterTarget;
use snipegate_testing_fleet::TestFleet;
use snipegate_testing_fleet::VmRole;
use snipegate_testing_fleet::WORKSPACES;
use snipegate_testing_fleet::until;
use snipegate_testing_fleet::upstream_key;
use snipegate_testing_fleet::workspace_key;

/// A change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(8);

/// An upstream's leaving is watched for this long: past the bound.
const LEAVING_WATCH: Duration = Duration::from_secs(12);

const AMPLE_TOKENS: u64 = 10_000_000;

fn profile_key(name: &str) -> FleetKey {
    FleetKey::Profile(name.parse().unwrap())
}

async fn start() -> TestFleet {
    let fleet = TestFleet::start().await;
    for (workspace, number) in WORKSPACES.into_iter().zip(1..) {
        fleet.top_up(workspace, number, AMPLE_TOKENS).await;
    }
    fleet
}

/// Sends requests for this many output tokens until the router refuses them,
/// as a lower limit makes it do.
async fn until_refused(caller: &FleetCaller, target: &RouterTarget, tokens: u64, tag: &str) {
    let start = Instant::now();
    for number in 0.. {
        let request = CallerRequest {
            workspace: WORKSPACES[0].parse().unwrap(),
            key: workspace_key(WORKSPACES[0]),
            idempotency_key: format!("{tag}-{}-{number}", target.address.port()),
            call: CallerCall::Chat {
                model: MODEL.to_owned(),
                answer_tokens: tokens,
                stream: false,
            },
        };
        // Any other end tells nothing of the limit.
        if let CallEnd::Refused { code: 1009, .. } = caller.attempt(&request, target).await {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "limit never acted on");
        sleep(POLL_PAUSE).await;
    }
}

/// Lowers the limit and waits until each router acts on it.
async fn lower_limit(fleet: &TestFleet, limit: u64, tag: &str) -> Duration {
    let caller = FleetCaller::new(fleet.recorder.clone()).await;
    let key = profile_key(WORKSPACES[0]);
    let edit = fleet.operator.edit(&key, |profile: &mut Value| {
        profile["max_output_tokens"] = json!(limit);
        profile["default_output_tokens"] = json!(1);
    });
    let edited = edit.await.unwrap();
    let accepted = Instant::now();
    assert!(matches!(edited, SwapOutcome::Swapped(_)), "{edited:?}");
    for target in fleet.targets() {
        until_refused(&caller, &target, limit + 1, tag).await;
    }
    accepted.elapsed()
}

#[ntex::test]
async fn test_change_is_in_force_everywhere_in_time() {
    let fleet = start().await;
    let took = lower_limit(&fleet, 30, "up").await;
    println!("in force after {} ms", took.as_millis());
    assert!(took <= IN_FORCE, "{took:?}");
    fleet.check().await;
}

#[ntex::test]
async fn test_change_reaches_a_data_centre_cut_off_from_the_store() {
    let fleet = start().await;
    let cut_off = json!({"cut_off": ["mvd-este"]});
    fleet.operator.fault(fleet.platform, cut_off).await;
    let took = lower_limit(&fleet, 30, "cut").await;
    println!("in force after {} ms", took.as_millis());
    assert!(took <= IN_FORCE, "{took:?}");
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
        fleet.sample_config().await;
        let caller = FleetCaller::new(fleet.recorder.clone()).await;
        for target in fleet.targets() {
            let request = CallerRequest {
                workspace: WORKSPACES[0].parse().unwrap(),
                key: workspace_key(WORKSPACES[0]),
                idempotency_key: format!("again-{vm}-{}", target.address.port()),
                call: CallerCall::Chat {
                    model: MODEL.to_owned(),
                    answer_tokens: 31,
                    stream: false,
                },
            };
            let end = caller.attempt(&request, &target).await;
            assert!(matches!(end, CallEnd::Refused { .. }), "{end:?}");
        }
    }
    fleet.check().await;
}

#[ntex::test]
async fn test_of_two_operators_one_wins_and_the_other_sees_it() {
    let fleet = start().await;
    let key = profile_key(WORKSPACES[0]);
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
        panic!("conflict shows nothing: {lost:?}");
    };
    let held: Value = serde_json::from_slice(&held.value).unwrap();
    assert!([json!(100), json!(200)].contains(&held["max_output_tokens"]));
}

#[ntex::test]
async fn test_leaving_upstream_gets_no_new_work() {
    let fleet = start().await;
    let load = FleetLoad::start(&fleet, 21, 6).await;
    until("answers", || async { load.answered() >= 30 }).await;
    let key = upstream_key("e1");
    let edit = fleet.operator.edit(&key, |upstream: &mut Value| {
        upstream["state"] = json!("leaving");
    });
    assert!(matches!(edit.await, Ok(SwapOutcome::Swapped(_))));
    fleet.recorder.record(EventKind::UpstreamLeaving {
        upstream: "e1".to_owned(),
    });
    sleep(LEAVING_WATCH).await;
    let enough = load.answered() + 30;
    until("more answers", || async { load.answered() >= enough }).await;
    load.finish().await;
    fleet.check().await;
}
