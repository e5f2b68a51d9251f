//! A small fleet in one process: keepers and followers over real connections,
//! with a store in memory.

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

/// Gives up what would otherwise wait for ever.
const LONGEST_WAIT: Duration = Duration::from_secs(120);
/// Number of data centres that the VMs are dealt out to.
const DATA_CENTRES: usize = 3;

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

/// One VM: a keeper, and a follower as a router has it.
pub struct LocalVm {
    /// The keeper.
    pub handle: FleetHandle,
    /// Where the keeper listens.
    pub address: SocketAddr,
    /// Set while the keeper can't reach the store.
    pub cut: Rc<Cell<bool>>,
    /// What the router of this VM sees.
    pub follower: ViewSubscription,
}

/// VMs that share a store.
pub struct LocalFleet {
    /// The store.
    pub store: MemoryStore,
    /// The VMs.
    pub vms: Vec<LocalVm>,
}

impl LocalFleet {
    /// Starts `size` VMs and waits until every keeper knows every other.
    pub async fn start(size: usize) -> Self {
        let store = MemoryStore::default();
        write(&store, "fleet/config/fleet", "{}").await;
        let mut vms: Vec<LocalVm> = Vec::new();
        for number in 0..size {
            let seeds = vms.first().map(|vm| vm.address).into_iter().collect();
            vms.push(start_vm(number, &store, seeds));
        }
        let fleet = Self { store, vms };
        let complete = |vm: &LocalVm| {
            let known = |role| vm.follower.view().members(role).count();
            known(ProcessRole::Keeper) == size && vm.handle.view().all_members().count() == size
        };
        until(|| fleet.vms.iter().all(complete)).await;
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
    let place = format!("dc-{}", number % DATA_CENTRES);
    let member = MemberRecord {
        incarnation: incarnation(number, ProcessRole::Keeper),
        data_centre: place.parse().expect("a name"),
        region: "uy-sur".parse().expect("a name"),
        address,
        peer_address: None,
        weight: 1,
        state: MemberState::Up,
        listed_at: None,
    };
    let data_centre = member.data_centre.clone();
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
        cut,
        follower: subscription,
    }
}

/// Writes a key, whatever it holds.
pub async fn write(store: &MemoryStore, key: &str, value: &str) -> StoreRevision {
    let expected = match store.read(key).await.expect("the store is up") {
        Some(stored) => ExpectedVersion::At(stored.revision),
        None => ExpectedVersion::Absent,
    };
    match store.swap(key, expected, value.into(), None).await {
        Ok(SwapOutcome::Swapped(revision)) => revision,
        other => panic!("not written: {other:?}"),
    }
}

/// Waits until something holds.
pub async fn until(mut holds: impl FnMut() -> bool) {
    let waited = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let ended = ntex::time::timeout(LONGEST_WAIT, waited).await;
    assert!(ended.is_ok(), "waited {LONGEST_WAIT:?} in vain");
}
