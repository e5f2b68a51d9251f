//! Keepers and followers over real connections: a change reaches a process that
//! is cut off from the store, and an order to leave gets past a store outage.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use ntex::time::sleep;
use snipegate_fleet::FleetHandle;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetService;
use snipegate_fleet::FleetServiceSettings;
use snipegate_fleet::FleetView;
use snipegate_fleet::FollowerSettings;
use snipegate_fleet::LEAVE_MARK_PATH;
use snipegate_fleet::LeaveMark;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
use snipegate_fleet::UpstreamState;
use snipegate_fleet::ViewFollower;
use snipegate_fleet::ViewSubscription;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::LeaseId;
use snipegate_platform::MemoryStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_platform::VmList;
use snipegate_platform::VmListing;
use snipegate_platform::WatchBatch;
use snipegate_service::DaemonContext;
use snipegate_service::LogFormat;
use snipegate_service::LogLevel;
use snipegate_service::MessageClient;
use snipegate_service::MetricRegistry;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ProcessRole;
use snipegate_types::SystemClock;

/// Gives up a test that would otherwise wait for ever.
const TEST_LIMIT: Duration = Duration::from_secs(60);

/// One keeper's way to the store, which can be cut.
struct OwnWay {
    store: MemoryStore,
    cut: Rc<Cell<bool>>,
}

impl OwnWay {
    fn check(&self) -> Result<(), StoreError> {
        match self.cut.get() {
            true => Err(StoreError::Unreachable),
            false => Ok(()),
        }
    }
}

impl ConfigStore for OwnWay {
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.check()?;
        self.store.read(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<StoreListing, StoreError> {
        self.check()?;
        self.store.list(prefix, after).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        self.check()?;
        self.store.swap(key, expected, value, lease).await
    }

    async fn remove(&self, key: &str, at: ExpectedVersion) -> Result<SwapOutcome, StoreError> {
        self.check()?;
        self.store.remove(key, at).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.check()?;
        let batch = self.store.watch(prefix, after, wait).await;
        self.check()?;
        batch
    }

    async fn create_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        self.store.create_lease(time_to_live).await
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.keep_lease(lease).await
    }
}

struct NoVms;

impl VmList for NoVms {
    async fn read_vms(&self) -> Result<VmListing, StoreError> {
        Ok(VmListing::default())
    }
}

struct TestKeeper {
    handle: FleetHandle,
    address: SocketAddr,
    cut: Rc<Cell<bool>>,
}

fn incarnation(number: usize, role: ProcessRole) -> IncarnationId {
    let vm = format!("vm-{number}").parse().expect("a name");
    IncarnationId { vm, role, start: 1 }
}

fn start_keeper(number: usize, store: &MemoryStore, seeds: Vec<SocketAddr>) -> TestKeeper {
    let logger = build_logger(LogFormat::Text, LogLevel::Error, "test");
    let metrics = MetricRegistry::new("test", None).expect("no socket is needed");
    let context = DaemonContext::new(logger, metrics);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let member = MemberRecord {
        incarnation: incarnation(number, ProcessRole::Keeper),
        data_centre: format!("dc-{}", number % 2).parse().expect("a name"),
        region: "uy-sur".parse().expect("a name"),
        address,
        peer_address: None,
        weight: 1,
        state: MemberState::Up,
        listed_at: None,
    };
    let cut = Rc::new(Cell::new(false));
    let way = OwnWay {
        store: store.clone(),
        cut: cut.clone(),
    };
    let settings = FleetServiceSettings { member, seeds };
    let clock = Rc::new(SystemClock);
    let (service, handle) = FleetService::new(
        settings,
        Rc::new(way),
        Rc::new(NoVms),
        clock,
        context.clone(),
    );
    ntex::rt::spawn(service.run());
    let routes = handle.clone();
    let configure = move |config: &mut ntex::web::ServiceConfig| routes.routes(config);
    start_server(listener, 1, context, configure).expect("server starts");
    TestKeeper {
        handle,
        address,
        cut,
    }
}

fn start_follower(keeper: &TestKeeper) -> ViewSubscription {
    let settings = FollowerSettings {
        process: incarnation(0, ProcessRole::Router),
        data_centre: "dc-0".parse().expect("a name"),
        keeper: Some(keeper.address),
        seeds: Vec::new(),
    };
    let (follower, subscription) = ViewFollower::new(settings, Rc::new(SystemClock));
    ntex::rt::spawn(follower.run());
    subscription
}

async fn write(store: &MemoryStore, key: &str, value: &str) -> StoreRevision {
    let expected = match store.read(key).await.expect("the store is up") {
        Some(stored) => ExpectedVersion::At(stored.revision),
        None => ExpectedVersion::Absent,
    };
    match store.swap(key, expected, value.into(), None).await {
        Ok(SwapOutcome::Swapped(revision)) => revision,
        other => panic!("not written: {other:?}"),
    }
}

async fn until(mut holds: impl FnMut() -> bool) {
    let waited = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let ended = ntex::time::timeout(TEST_LIMIT, waited).await;
    assert!(ended.is_ok(), "waited {TEST_LIMIT:?} in vain");
}

const UPSTREAM: &str = r#"{"data_centre":"dc-0","address":"127.0.0.1:9","kind":"model_engine",
    "models":["m"],"capacity_slots":1,"state":"STATE"}"#;

fn is_leaving(view: &FleetView) -> bool {
    let upstream = view.upstream(&"u".parse().expect("a name"));
    upstream.is_some_and(|entry| view.is_leaving(entry))
}

#[ntex::test]
async fn test_change_reaches_a_keeper_cut_off_from_the_store() {
    let store = MemoryStore::default();
    write(&store, "fleet/config/fleet", "{}").await;
    let first = start_keeper(0, &store, Vec::new());
    let second = start_keeper(1, &store, vec![first.address]);
    let follower = start_follower(&second);
    let both = |view: &FleetView| view.members(ProcessRole::Keeper).count() == 2;
    until(|| both(&first.handle.view()) && both(&second.handle.view())).await;
    second.cut.set(true);
    let key = FleetKey::Upstream("u".parse().expect("a name")).to_string();
    let revision = write(&store, &key, &UPSTREAM.replace("STATE", "leaving")).await;
    until(|| is_leaving(&follower.view())).await;
    assert!(follower.view().revision() >= revision);
}

#[ntex::test]
async fn test_order_to_leave_gets_past_a_store_outage() {
    let store = MemoryStore::default();
    write(&store, "fleet/config/fleet", "{}").await;
    let key = FleetKey::Upstream("u".parse().expect("a name")).to_string();
    let over = write(&store, &key, &UPSTREAM.replace("STATE", "up")).await;
    let first = start_keeper(0, &store, Vec::new());
    let second = start_keeper(1, &store, vec![first.address]);
    let follower = start_follower(&second);
    let known = |view: &FleetView| view.upstreams().count() == 1;
    until(|| known(&first.handle.view()) && known(&follower.view())).await;
    until(|| second.handle.view().members(ProcessRole::Keeper).count() == 2).await;
    store.set_outage(true);
    let mark = LeaveMark {
        upstream: "u".parse().expect("a name"),
        over,
        operation: OperationId::from_number(1),
    };
    let wait = Duration::from_secs(5);
    let taken: Result<bool, _> = MessageClient::new()
        .call(first.address, LEAVE_MARK_PATH, &mark, wait)
        .await;
    assert_eq!(taken, Ok(true));
    until(|| is_leaving(&follower.view())).await;
    // When the store is back, the order becomes the record.
    store.set_outage(false);
    let written = || {
        let view = follower.view();
        let entry = view.upstream(&"u".parse().expect("a name")).cloned();
        entry.is_some_and(|entry| entry.record.state == UpstreamState::Leaving)
    };
    until(written).await;
}
