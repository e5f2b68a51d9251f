//! The whole system on loopback: stand-ins, keepers, routers, configuration.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ntex::http::Method;
use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetStatus;
use snipegate_history::EventKind;
use snipegate_ledger::BUDGETS_PATH;
use snipegate_ledger::BudgetStatus;
use snipegate_platform::ExpectedVersion;
use snipegate_types::ShardId;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::caller::RouterTarget;
use crate::child::ChildProcess;
use crate::operator::FleetOperator;
use crate::recorder::HistoryRecorder;
use crate::vm::FleetVm;
use crate::vm::VmRole;

/// Longest wait for something that has to happen in the end.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
pub const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Data centres, a VM in each.
pub const DATA_CENTRES: [&str; 3] = ["mvd-centro", "mvd-este", "canelones"];

/// The model that the engines serve.
pub const MODEL: &str = "depot";

/// The plain service whose calls may not be repeated.
pub const BOOKING: &str = "booking";

/// Shards of the ledger.
const LEDGER_SHARDS: u16 = 2;

/// The workspaces; each has a key, a budget and a profile of its name.
pub const WORKSPACES: [&str; 2] = ["cusape", "tallas"];

/// An upstream stand-in.
#[derive(Debug)]
pub struct FleetUpstream {
    /// Its id in the configuration.
    pub name: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its process.
    pub process: ChildProcess,
}

/// The running system.
pub struct TestFleet {
    /// The history.
    pub recorder: HistoryRecorder,
    /// The operator.
    pub operator: FleetOperator,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The VMs.
    pub vms: Vec<FleetVm>,
    /// The upstreams: two engines, then the booking service.
    pub upstreams: Vec<FleetUpstream>,
    _platform: ChildProcess,
    _turn: SemaphorePermit<'static>,
}

/// Fleets that run at a time, whatever the number of test threads.
static TURNS: Semaphore = Semaphore::const_new(3);

/// Returns the key that callers of a workspace use.
pub fn workspace_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Returns the shard of a workspace.
pub fn workspace_shard(workspace: &str) -> ShardId {
    let workspace: WorkspaceId = workspace.parse().expect("name is accepted");
    ShardId::for_workspace(&workspace, LEDGER_SHARDS)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it never does.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if holds().await {
            return;
        }
        sleep(POLL_PAUSE).await;
    }
    panic!("never came about: {what}");
}

impl TestFleet {
    /// Starts everything and waits until it serves.
    pub async fn start() -> Self {
        let turn = TURNS.acquire().await.expect("never closed");
        let recorder = HistoryRecorder::default();
        let (process, platform) =
            ChildProcess::start_stand_in("platform", "snipegate-standin-platform", &[]);
        let operator = FleetOperator::new(platform, recorder.clone()).await;
        let vms = DATA_CENTRES
            .iter()
            .zip(1..)
            .map(|(data_centre, number)| FleetVm::new(&format!("vm-{number}"), data_centre))
            .collect();
        let mut fleet = Self {
            recorder,
            operator,
            platform,
            vms,
            upstreams: ["e1", "e2", "b1"].map(start_upstream).into(),
            _platform: process,
            _turn: turn,
        };
        fleet.list_vms().await;
        fleet.write_config().await;
        for index in 0..fleet.vms.len() {
            fleet.start_process(index, VmRole::Keeper);
        }
        fleet.wait_ready(VmRole::Keeper).await;
        for index in 0..fleet.vms.len() {
            fleet.start_process(index, VmRole::Router);
        }
        fleet.wait_ready(VmRole::Router).await;
        fleet
    }

    /// Writes the VM list from the VMs.
    pub async fn list_vms(&self) {
        let list: Vec<Value> = self
            .vms
            .iter()
            .map(|vm| json!({"vm": vm.name, "data_centre": vm.data_centre, "state": "live"}))
            .collect();
        self.operator
            .control(Method::PUT, self.platform, "/v1/vms", &list.into())
            .await;
    }

    async fn write_config(&self) {
        let settings = json!({"ledger_shards": LEDGER_SHARDS, "grant_horizon_ms": 2_000});
        self.create(&FleetKey::Settings, &settings).await;
        for name in WORKSPACES {
            let id = name.parse().expect("name is accepted");
            let digest = snipegate_fleet::KeyDigest::of_key(&workspace_key(name));
            let workspace = json!({
                "key_digests": [digest.to_string()],
                "budgets": [name],
                "default_budget": name,
                "requests_per_second": 10_000,
                "concurrent_requests": 1_000,
                "max_output_tokens": 4_096,
                "profiles": [name],
                "default_profile": name,
            });
            self.create(&FleetKey::Workspace(id), &workspace).await;
            let id = name.parse().expect("name is accepted");
            let profile = json!({
                "model": MODEL,
                "priority": 5,
                "default_output_tokens": 64,
                "max_output_tokens": 4_096,
                "deadline_ms": 15_000,
                "requests_per_second": 10_000,
                "concurrent_requests": 1_000,
            });
            self.create(&FleetKey::Profile(id), &profile).await;
        }
        for upstream in &self.upstreams {
            let is_service = upstream.name.starts_with('b');
            let record = json!({
                "data_centre": DATA_CENTRES[0],
                "address": upstream.address,
                "kind": if is_service { "plain_service" } else { "model_engine" },
                "models": if is_service { json!([]) } else { json!([MODEL]) },
                "services": if is_service {
                    json!([{"name": BOOKING, "tokens_per_call": 5, "repeatable": false}])
                } else {
                    json!([])
                },
                "capacity_slots": 16,
                "honours_fencing": true,
            });
            self.create(&upstream_key(&upstream.name), &record).await;
        }
    }

    async fn create(&self, key: &FleetKey, record: &Value) {
        let written = self.operator.write(key, ExpectedVersion::Absent, record);
        written.await.expect("store takes the configuration");
    }

    /// Starts or restarts a process of a VM.
    pub fn start_process(&mut self, vm: usize, role: VmRole) {
        let seeds: Vec<SocketAddr> = self.keepers();
        self.vms[vm].start(role, self.platform, &seeds);
    }

    /// Kills a process of a VM without warning.
    pub fn kill_process(&mut self, vm: usize, role: VmRole) {
        if let Some((name, child)) = self.vms[vm].process(role) {
            let process = name.to_owned();
            self.recorder.record(EventKind::ProcessDied { process });
            child.kill();
        }
        self.vms[vm].forget(role);
    }

    /// Asks a process to stop and waits until it has ended.
    pub async fn stop_process(&mut self, vm: usize, role: VmRole) {
        let Some((name, child)) = self.vms[vm].process(role) else {
            return;
        };
        let process = name.to_owned();
        self.recorder.record(EventKind::StopPlanned { process });
        child.terminate();
        let start = Instant::now();
        while !matches!(child.ended(), Ok(Some(_))) {
            assert!(start.elapsed() < PATIENCE, "planned stop never ended");
            sleep(POLL_PAUSE).await;
        }
        self.vms[vm].forget(role);
    }

    /// Returns the keepers' addresses.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.keeper_address).collect()
    }

    /// Returns the routers as callers know them.
    pub fn targets(&self) -> Vec<RouterTarget> {
        self.vms.iter().map(FleetVm::target).collect()
    }

    /// Waits until every process of a role says that it is ready.
    pub async fn wait_ready(&self, role: VmRole) {
        for vm in &self.vms {
            let address = vm.address(role);
            until(&format!("{} {role:?} ready", vm.name), || async {
                self.operator.fetch(address, "/ready").await.is_some()
            })
            .await;
        }
    }

    /// Buys tokens for a workspace's budget.
    pub async fn top_up(&self, workspace: &str, operation: u128, amount: u64) {
        let budget = workspace.parse().expect("name is accepted");
        let operation = snipegate_types::OperationId::from_number(operation);
        let shard = workspace_shard(workspace);
        self.operator
            .top_up(&self.keepers(), shard, &budget, operation, amount)
            .await;
    }

    /// Reads a workspace's budget from the keeper that has taken in the most.
    pub async fn budget(&self, workspace: &str) -> Option<BudgetStatus> {
        let shard = workspace_shard(workspace);
        let path = format!("{BUDGETS_PATH}/{workspace}?shard={shard}");
        let mut newest: Option<BudgetStatus> = None;
        for vm in &self.vms {
            let body = self.operator.fetch(vm.keeper_address, &path).await;
            let status = body.and_then(|body| serde_json::from_slice::<BudgetStatus>(&body).ok());
            newest = newest
                .into_iter()
                .chain(status)
                .max_by_key(|status| status.sequence);
        }
        newest
    }

    /// Takes a VM away for good: its processes, and then its place in the list.
    pub async fn remove_vm(&mut self, vm: usize) {
        self.kill_process(vm, VmRole::Router);
        self.kill_process(vm, VmRole::Keeper);
        self.vms.remove(vm);
        self.list_vms().await;
    }

    /// Adds a VM, lists it and starts its processes.
    pub async fn add_vm(&mut self, name: &str, data_centre: &str) {
        self.vms.push(FleetVm::new(name, data_centre));
        self.list_vms().await;
        let vm = self.vms.len() - 1;
        self.start_process(vm, VmRole::Keeper);
        self.start_process(vm, VmRole::Router);
    }

    /// Records which configuration each keeper and its followers act on.
    pub async fn sample_config(&self) {
        for vm in &self.vms {
            let Some(body) = self.operator.fetch(vm.keeper_address, "/fleet").await else {
                continue;
            };
            let Ok(status) = serde_json::from_slice::<FleetStatus>(&body) else {
                continue;
            };
            self.recorder.record(EventKind::ConfigSeen {
                process: status.keeper.to_string(),
                revision: status.revision.0,
                serving: false,
            });
        }
    }
}

/// Returns the configuration key of an upstream.
pub fn upstream_key(name: &str) -> FleetKey {
    let id: UpstreamId = name.parse().expect("name is accepted");
    FleetKey::Upstream(id)
}

fn start_upstream(name: &str) -> FleetUpstream {
    let args = ["--name", name, "--decode-us", "2000"].map(str::to_owned);
    let (process, address) = ChildProcess::start_stand_in(name, "snipegate-standin-engine", &args);
    FleetUpstream {
        name: name.to_owned(),
        address,
        process,
    }
}
