//! Starts and controls the whole system on loopback: stand-ins, keepers, routers
//! and their configuration.

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

/// Time limit for a condition that must eventually hold.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The data centres; each has one VM.
pub const DATA_CENTRES: [&str; 3] = ["mvd-centro", "mvd-este", "canelones"];

/// The model served by the engines.
pub const MODEL: &str = "depot";

/// The plain service whose calls must not be repeated.
pub const BOOKING_SERVICE: &str = "booking";

/// Number of ledger shards.
const LEDGER_SHARDS: u16 = 2;

/// The workspaces; each has an API key, and a budget and a profile with the
/// workspace's name.
pub const WORKSPACES: [&str; 2] = ["cusape", "tallas"];

/// An upstream stand-in.
#[derive(Debug)]
pub struct FleetUpstream {
    /// ID in the configuration.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The stand-in's process.
    pub process: ChildProcess,
}

/// The running system and its recorded history.
pub struct TestFleet {
    /// Records the history of the run.
    pub recorder: HistoryRecorder,
    /// Writes configuration, buys tokens and controls the stand-ins.
    pub operator: FleetOperator,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// The VMs with their keepers and routers.
    pub vms: Vec<FleetVm>,
    /// The upstreams: two engines, then the booking service.
    pub upstreams: Vec<FleetUpstream>,
    _platform_process: ChildProcess,
    _permit: SemaphorePermit<'static>,
}

/// Limits the number of concurrent fleets, independently of the number of test
/// threads.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

/// Returns the API key of a workspace.
pub fn workspace_api_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Returns the ledger shard of a workspace.
pub fn workspace_shard(workspace: &str) -> ShardId {
    let workspace: WorkspaceId = workspace.parse().expect("name is valid");
    ShardId::for_workspace(&workspace, LEDGER_SHARDS)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if condition().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {what}");
}

impl TestFleet {
    /// Starts all processes and waits until keepers and routers are ready.
    pub async fn start() -> Self {
        let permit = FLEET_PERMITS
            .acquire()
            .await
            .expect("semaphore is never closed");
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
            _platform_process: process,
            _permit: permit,
        };
        fleet.write_vm_list().await;
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

    /// Writes the current VMs to the platform's VM list.
    pub async fn write_vm_list(&self) {
        let list: Vec<Value> = self
            .vms
            .iter()
            .map(|vm| json!({"vm": vm.name, "data_centre": vm.data_centre, "state": "live"}))
            .collect();
        self.operator
            .send_json(Method::PUT, self.platform, "/v1/vms", &list.into())
            .await;
    }

    async fn write_config(&self) {
        let settings = json!({"ledger_shards": LEDGER_SHARDS, "grant_horizon_ms": 2_000});
        self.create_record(&FleetKey::Settings, &settings).await;
        for name in WORKSPACES {
            let id = name.parse().expect("name is valid");
            let digest = snipegate_fleet::KeyDigest::of_key(&workspace_api_key(name));
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
            self.create_record(&FleetKey::Workspace(id), &workspace)
                .await;
            let id = name.parse().expect("name is valid");
            let profile = json!({
                "model": MODEL,
                "priority": 5,
                "default_output_tokens": 64,
                "max_output_tokens": 4_096,
                "deadline_ms": 15_000,
                "requests_per_second": 10_000,
                "concurrent_requests": 1_000,
            });
            self.create_record(&FleetKey::Profile(id), &profile).await;
        }
        for upstream in &self.upstreams {
            let is_service = upstream.name.starts_with('b');
            let record = json!({
                "data_centre": DATA_CENTRES[0],
                "address": upstream.address,
                "kind": if is_service { "plain_service" } else { "model_engine" },
                "models": if is_service { json!([]) } else { json!([MODEL]) },
                "services": if is_service {
                    json!([{"name": BOOKING_SERVICE, "tokens_per_call": 5, "repeatable": false}])
                } else {
                    json!([])
                },
                "capacity_slots": 16,
                "honours_fencing": true,
            });
            self.create_record(&upstream_config_key(&upstream.name), &record)
                .await;
        }
    }

    async fn create_record(&self, key: &FleetKey, record: &Value) {
        let written = self.operator.write(key, ExpectedVersion::Absent, record);
        written.await.expect("store accepts the configuration");
    }

    /// Starts or restarts a process of a VM.
    pub fn start_process(&mut self, vm: usize, role: VmRole) {
        let seeds = self.keeper_addresses();
        self.vms[vm].start(role, self.platform, &seeds);
    }

    /// Kills a process of a VM and records its death.
    pub fn kill_process(&mut self, vm: usize, role: VmRole) {
        if let Some((name, child)) = self.vms[vm].process(role) {
            let process = name.to_owned();
            self.recorder.record(EventKind::ProcessDied { process });
            child.kill();
        }
        self.vms[vm].remove_process(role);
    }

    /// Requests a graceful stop of a process and waits for its exit.
    pub async fn stop_process(&mut self, vm: usize, role: VmRole) {
        let Some((name, child)) = self.vms[vm].process(role) else {
            return;
        };
        let process = name.to_owned();
        self.recorder.record(EventKind::StopPlanned { process });
        child.terminate();
        let start = Instant::now();
        while !matches!(child.ended(), Ok(Some(_))) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "process did not exit after a planned stop"
            );
            sleep(POLL_INTERVAL).await;
        }
        self.vms[vm].remove_process(role);
    }

    /// Returns the addresses of all keepers.
    pub fn keeper_addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.keeper_address).collect()
    }

    /// Returns the names and addresses of all routers.
    pub fn router_targets(&self) -> Vec<RouterTarget> {
        self.vms.iter().map(FleetVm::router_target).collect()
    }

    /// Waits until every process of a role reports that it is ready.
    pub async fn wait_ready(&self, role: VmRole) {
        for vm in &self.vms {
            let address = vm.address(role);
            wait_until(&format!("{role:?} of {} is ready", vm.name), || async {
                self.operator.fetch(address, "/ready").await.is_some()
            })
            .await;
        }
    }

    /// Buys tokens for the budget of a workspace.
    pub async fn top_up(&self, workspace: &str, operation: u128, amount: u64) {
        let budget = workspace.parse().expect("name is valid");
        let operation = snipegate_types::OperationId::from_number(operation);
        let shard = workspace_shard(workspace);
        self.operator
            .top_up(&self.keeper_addresses(), shard, &budget, operation, amount)
            .await;
    }

    /// Returns a workspace's budget as reported by the keeper that has applied the
    /// most log segments, or `None` if no keeper answers.
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

    /// Removes a VM permanently: kills its processes, then removes it from the VM
    /// list.
    pub async fn remove_vm(&mut self, vm: usize) {
        self.kill_process(vm, VmRole::Router);
        self.kill_process(vm, VmRole::Keeper);
        self.vms.remove(vm);
        self.write_vm_list().await;
    }

    /// Adds a VM to the VM list and starts its processes.
    pub async fn add_vm(&mut self, name: &str, data_centre: &str) {
        self.vms.push(FleetVm::new(name, data_centre));
        self.write_vm_list().await;
        let vm = self.vms.len() - 1;
        self.start_process(vm, VmRole::Keeper);
        self.start_process(vm, VmRole::Router);
    }

    /// Records the configuration revision that each keeper uses.
    pub async fn record_config_revisions(&self) {
        for vm in &self.vms {
            let Some(body) = self.operator.fetch(vm.keeper_address, "/fleet").await else {
                continue;
            };
            let Ok(status) = serde_json::from_slice::<FleetStatus>(&body) else {
                continue;
            };
            self.recorder.record(EventKind::ConfigSeen {
                process: status.keeper.to_string(),
                revision: status.revision.number,
                serving: false,
            });
        }
    }
}

/// Returns the configuration key of an upstream.
pub fn upstream_config_key(name: &str) -> FleetKey {
    let id: UpstreamId = name.parse().expect("name is valid");
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
