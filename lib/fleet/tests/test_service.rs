//! Tests with keepers and followers over real connections: a change reaches a keeper
//! without a connection to the store, and a leave mark takes effect during a store
//! outage.

#[path = "../examples/local_fleet/mod.rs"]
mod local_fleet;

use std::time::Duration;

use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetView;
use snipegate_fleet::LEAVE_MARK_PATH;
use snipegate_fleet::LeaveMark;
use snipegate_fleet::UpstreamState;
use snipegate_service::MessageClient;
use snipegate_types::OperationId;

use crate::local_fleet::LocalFleet;
use crate::local_fleet::wait_until;
use crate::local_fleet::write;

const UPSTREAM: &str = r#"{"data_centre":"dc-0","address":"127.0.0.1:9","kind":"model_engine",
    "models":["m"],"capacity_slots":1,"state":"STATE"}"#;

fn upstream_key() -> String {
    FleetKey::Upstream("u".parse().expect("a name")).to_string()
}

fn is_leaving(view: &FleetView) -> bool {
    let upstream = view.upstream(&"u".parse().expect("a name"));
    upstream.is_some_and(|entry| view.is_leaving(entry))
}

#[ntex::test]
async fn test_change_reaches_a_keeper_disconnected_from_the_store() {
    let fleet = LocalFleet::start(3).await;
    fleet.vms[1].disconnected.set(true);
    let leaving = UPSTREAM.replace("STATE", "leaving");
    let revision = write(&fleet.store, &upstream_key(), &leaving).await;
    wait_until(|| fleet.vms.iter().all(|vm| is_leaving(&vm.follower.view()))).await;
    assert!(fleet.vms[1].follower.view().revision() >= revision);
}

#[ntex::test]
async fn test_leave_mark_takes_effect_during_a_store_outage() {
    let fleet = LocalFleet::start(3).await;
    let over = write(
        &fleet.store,
        &upstream_key(),
        &UPSTREAM.replace("STATE", "up"),
    )
    .await;
    let has_upstream = |view: &FleetView| view.upstreams().count() == 1;
    wait_until(|| fleet.vms.iter().all(|vm| has_upstream(&vm.follower.view()))).await;
    fleet.store.set_outage(true);
    let mark = LeaveMark {
        upstream: "u".parse().expect("a name"),
        over,
        operation: OperationId::from_number(1),
    };
    let wait = Duration::from_secs(5);
    let accepted: Result<bool, _> = MessageClient::new()
        .call(fleet.vms[0].address, LEAVE_MARK_PATH, &mark, wait)
        .await;
    assert_eq!(accepted, Ok(true));
    wait_until(|| fleet.vms.iter().all(|vm| is_leaving(&vm.follower.view()))).await;
    // After the outage, the leave mark is written to the upstream's record.
    fleet.store.set_outage(false);
    let record_is_leaving = |view: &FleetView| {
        let entry = view.upstream(&"u".parse().expect("a name")).cloned();
        entry.is_some_and(|entry| entry.record.state == UpstreamState::Leaving)
    };
    wait_until(|| record_is_leaving(&fleet.vms[2].follower.view())).await;
}
