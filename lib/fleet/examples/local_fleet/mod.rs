//! A small fleet in a single process: keepers and followers that communicate over real
//! connections, and an in-memory store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use ntex::time::sleep;
use snipegate_fleet::FleetHandle;
use snipegate_fleet::FleetService;
use snipegate_fleet::FleetServiceSettings;
use snipegate_fleet::FollowerSettings;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
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
use snipegate_service::MetricRegistry;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::SystemClock;

/// Timeout of [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of data centres over which the VMs are distributed.
const DATA_CENTRES: usize = 3;

/// A keeper's connection to the store, which can be interrupted.
struct StoreConnection {
    store: MemoryStore,
    disconnected: Rc<Cell<bool>>,
}

impl StoreConnection {
    fn check(&self) -> Result<(), StoreError> {
        match self.disconnected.get() {
            true => Err(StoreError::Unreachable),
            false => Ok(()),
        }
    }
}

impl ConfigStore for StoreConnection {
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

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }
}

struct EmptyVmList;

impl VmList for EmptyVmList {
    async fn read_vms(&self) -> Result<VmListing, StoreError> {
        Ok(VmListing::default())
    }
}

/// A VM with a keeper and the view follower of a router.
pub struct LocalVm {
    /// The handle of the keeper.
    pub handle: FleetHandle,
    /// The address of the keeper.
    pub address: SocketAddr,
    /// Whether the keeper is disconnected from the store.
    pub disconnected: Rc<Cell<bool>>,
    /// The view subscription of the router.
    pub follower: ViewSubscription,
}

/// A fleet of VMs that share a store.
pub struct LocalFleet {
    /// The store.
    pub store: MemoryStore,
    /// The VMs.
    pub vms: Vec<LocalVm>,
}

impl LocalFleet {
    /// Starts `size` VMs and waits until all keepers and followers know all keepers.
    pub async fn start(size: usize) -> Self {
        let store = MemoryStore::default();
        write(&store, "fleet/config/fleet", "{}").await;
        let mut vms: Vec<LocalVm> = Vec::new();
        for number in 0..size {
            let seeds = vms.first().map(|vm| vm.address).into_iter().collect();
            vms.push(start_vm(number, &store, seeds));
        }
        let fleet = Self { store, vms };
        let is_complete = |vm: &LocalVm| {
            let count = |role| vm.follower.view().members(role).count();
            count(ProcessRole::Keeper) == size && vm.handle.view().all_members().count() == size
        };
        wait_until(|| fleet.vms.iter().all(is_complete)).await;
        fleet
    }
}

fn incarnation(number: usize, role: ProcessRole) -> IncarnationId {
    let vm = format!("vm-{number}").parse().expect("a name");
    IncarnationId { vm, role, start: 1 }
}

fn start_vm(number: usize, store: &MemoryStore, seeds: Vec<SocketAddr>) -> LocalVm {
    let logger = build_logger(LogFormat::Text, LogLevel::Error, "local");
    let metrics = MetricRegistry::new("local", None).expect("no socket is needed");
    let context = DaemonContext::new(logger, metrics);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let data_centre = format!("dc-{}", number % DATA_CENTRES);
    let member = MemberRecord {
        incarnation: incarnation(number, ProcessRole::Keeper),
        data_centre: data_centre.parse().expect("a name"),
        region: "uy-sur".parse().expect("a name"),
        address,
        peer_address: None,
        weight: 1,
        state: MemberState::Up,
        listed_at: None,
    };
    let data_centre = member.data_centre.clone();
    let disconnected = Rc::new(Cell::new(false));
    let connection = StoreConnection {
        store: store.clone(),
        disconnected: disconnected.clone(),
    };
    let settings = FleetServiceSettings { member, seeds };
    let clock = Rc::new(SystemClock);
    let (service, handle) = FleetService::new(
        settings,
        Rc::new(connection),
        Rc::new(EmptyVmList),
        clock.clone(),
        context.clone(),
    );
    ntex::rt::spawn(service.run());
    let routes = handle.clone();
    let configure = move |config: &mut ntex::web::ServiceConfig| routes.routes(config);
    start_server(listener, 1, context, configure).expect("server starts");
    let settings = FollowerSettings {
        process: incarnation(number, ProcessRole::Router),
        data_centre,
        keeper: Some(address),
        seeds: Vec::new(),
    };
    let (follower, subscription) = ViewFollower::new(settings, clock);
    ntex::rt::spawn(follower.run());
    LocalVm {
        handle,
        address,
        disconnected,
        follower: subscription,
    }
}

/// Writes a key, replacing its current value.
pub async fn write(store: &MemoryStore, key: &str, value: &str) -> StoreRevision {
    let expected = match store.read(key).await.expect("the store is up") {
        Some(stored) => ExpectedVersion::At(stored.revision),
        None => ExpectedVersion::Absent,
    };
    match store.swap(key, expected, value.into(), None).await {
        Ok(SwapOutcome::Swapped(revision)) => revision,
        other => panic!("write failed: {other:?}"),
    }
}

/// Waits until the condition is true, and panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let result = ntex::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(result.is_ok(), "timed out after {WAIT_TIMEOUT:?}");
}
