//! Tests the HTTP clients of the platform against the stand-in.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use ntex::web::App;
use ntex::web::test;
use ntex::web::test::TestServer;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::HttpStore;
use snipegate_platform::HttpVmList;
use snipegate_platform::ListedVm;
use snipegate_platform::MemoryStore;
use snipegate_platform::PlatformSettings;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::SwapOutcome;
use snipegate_platform::VmList;
use snipegate_platform::VmState;
use snipegate_platform::WatchBatch;
use snipegate_platform::list_all;
use snipegate_standin_platform::FaultChange;
use snipegate_standin_platform::PlatformState;
use snipegate_standin_platform::configure;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

async fn serve(state: &PlatformState) -> TestServer {
    let state = state.clone();
    test::server(async move || App::new().state(state.clone()).configure(configure)).await
}

fn settings(address: SocketAddr) -> PlatformSettings {
    PlatformSettings {
        address,
        call_timeout: CALL_TIMEOUT,
        vm: "vm-1".parse().unwrap(),
        data_centre: "mvd-centro".parse().unwrap(),
    }
}

async fn client(server: &TestServer) -> HttpStore {
    HttpStore::new(settings(server.addr())).await.unwrap()
}

async fn put(store: &impl ConfigStore, key: &str, value: &[u8]) -> StoreRevision {
    let written = store
        .swap(key, ExpectedVersion::Absent, value.to_vec(), None)
        .await;
    match written.unwrap() {
        SwapOutcome::Swapped(revision) => revision,
        SwapOutcome::Conflict(stored) => panic!("{key} holds {stored:?}"),
    }
}

/// Checks the behaviour that every [`ConfigStore`] implementation must share.
async fn check_store_contract(store: &impl ConfigStore) {
    let first = put(store, "a/1", b"one").await;
    put(store, "a/2", b"two").await;
    put(store, "b/1", b"three").await;
    let conflict = store
        .swap("a/1", ExpectedVersion::Absent, b"x".to_vec(), None)
        .await
        .unwrap();
    let SwapOutcome::Conflict(Some(stored)) = conflict else {
        panic!("a key was created twice");
    };
    assert_eq!((stored.revision, stored.value), (first, b"one".to_vec()));

    let listing = store.list("a/", None).await.unwrap();
    assert_eq!(listing.entries.len(), 2);
    store
        .remove("a/2", ExpectedVersion::At(listing.entries[1].1.revision))
        .await
        .unwrap();
    let batch = store.watch("a/", listing.revision, Duration::ZERO).await;
    let WatchBatch::Changes { changes, .. } = batch.unwrap() else {
        panic!("changes were compacted");
    };
    assert_eq!((&*changes[0].key, &changes[0].value), ("a/2", &None));

    let lease = store.create_lease(Duration::from_millis(1)).await.unwrap();
    store
        .watch("none/", StoreRevision::new(4), Duration::from_millis(50))
        .await
        .unwrap();
    assert_eq!(
        store.renew_lease(lease).await,
        Err(StoreError::LeaseExpired)
    );
}

#[ntex::test]
async fn test_memory_and_http_stores_satisfy_the_contract() {
    check_store_contract(&MemoryStore::default()).await;
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    check_store_contract(&client(&server).await).await;
}

#[ntex::test]
async fn test_listing_is_paginated_at_one_megabyte() {
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    let store = client(&server).await;
    for number in 0..5 {
        put(&store, &format!("big/{number}"), &[7; 600_000]).await;
    }
    let page = store.list("big/", None).await.unwrap();
    assert_eq!(page.entries.len(), 1);
    let listing = list_all(&store, "big/").await.unwrap();
    assert_eq!(listing.entries.len(), 5);
    assert_eq!(listing.revision, page.revision);
}

#[ntex::test]
async fn test_refused_connection_reports_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = HttpStore::new(settings(address)).await.unwrap();
    assert_eq!(store.read("a").await, Err(StoreError::Unreachable));
}

#[ntex::test]
async fn test_closed_connection_reports_lost_reply() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server_thread = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut byte = [0; 1];
        std::io::Read::read_exact(&mut connection, &mut byte).unwrap();
    });
    let store = HttpStore::new(settings(address)).await.unwrap();
    assert_eq!(store.read("a").await, Err(StoreError::ReplyLost));
    server_thread.join().unwrap();
}

#[ntex::test]
async fn test_write_with_lost_reply_takes_effect() {
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    let store = client(&server).await;
    state.change_faults(&FaultChange {
        lose_replies: Some(1),
        ..FaultChange::default()
    });
    let lost = store
        .swap("a", ExpectedVersion::Absent, b"x".to_vec(), None)
        .await;
    assert_eq!(lost, Err(StoreError::ReplyLost));
    let stored = store.read("a").await.unwrap().unwrap();
    assert_eq!(stored.value, b"x");
}

#[ntex::test]
async fn test_outage_rejects_write_without_effect() {
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    let store = client(&server).await;
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    state.change_faults(&outage(true));
    let refused = store
        .swap("a", ExpectedVersion::Absent, b"x".to_vec(), None)
        .await;
    assert_eq!(refused, Err(StoreError::Unreachable));
    state.change_faults(&outage(false));
    assert_eq!(store.read("a").await, Ok(None));
}

#[ntex::test]
async fn test_cut_off_client_gets_no_reply_and_has_no_effect() {
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    let store = client(&server).await;
    let cut_off = |names: &[&str]| FaultChange {
        cut_off: Some(names.iter().map(|&name| name.to_owned()).collect()),
        ..FaultChange::default()
    };
    state.change_faults(&cut_off(&["mvd-centro"]));
    let lost = store
        .swap("a", ExpectedVersion::Absent, b"x".to_vec(), None)
        .await;
    assert_eq!(lost, Err(StoreError::ReplyLost));
    state.change_faults(&cut_off(&["mvd-este"]));
    assert_eq!(store.read("a").await, Ok(None));
}

#[ntex::test]
async fn test_rate_limited_call_returns_retry_delay() {
    let state = PlatformState::new(0, 0);
    let server = serve(&state).await;
    let store = client(&server).await;
    let limited = store.read("a").await;
    assert_eq!(
        limited,
        Err(StoreError::RateLimited {
            retry_after: Duration::from_millis(100)
        })
    );
}

#[ntex::test]
async fn test_vm_list_change_is_visible_after_lag() {
    let state = PlatformState::new(400, 2_000);
    let server = serve(&state).await;
    let list = HttpVmList::new(settings(server.addr())).await.unwrap();
    let vm = |state| ListedVm {
        vm: "vm-1".parse().unwrap(),
        data_centre: "mvd-centro".parse().unwrap(),
        state,
    };
    state.replace_vms(vec![vm(VmState::Live)]);
    state.change_faults(&FaultChange {
        vm_list_lag_ms: Some(60_000),
        ..FaultChange::default()
    });
    state.replace_vms(vec![vm(VmState::Leaving)]);
    let listing = list.read_vms().await.unwrap();
    assert_eq!(listing.vms, [vm(VmState::Live)]);
    state.change_faults(&FaultChange {
        vm_list_lag_ms: Some(0),
        ..FaultChange::default()
    });
    let listing = list.read_vms().await.unwrap();
    assert_eq!(listing.vms, [vm(VmState::Leaving)]);
}
