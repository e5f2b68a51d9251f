//! State shared by all tasks of a VM's front end. It is owned by a single thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use siphasher::sip::SipHasher13;
use slog::Logger;
use slog::info;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_service::MetricRegistry;
use snipegate_types::BootTimestamp;
use snipegate_types::ByteCount;
use snipegate_types::DataCentre;
use snipegate_types::RegionName;
use snipegate_types::TimeSource;
use snipegate_types::UpstreamId;
use snipegate_types::VmId;
use snipegate_types::WorkspaceId;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::change_hint::ChangeHint;
use crate::config::ColdTolerance;
use crate::config::FleetConfig;
use crate::config::ServiceName;
use crate::directory::DirectoryLog;
use crate::era_contacts::EraContacts;
use crate::feature_guard::FeatureGuard;
use crate::gossip::PeerMessage;
use crate::gossip::PlacedPrompt;
use crate::holding::BudgetHolding;
use crate::load::LoadTable;
use crate::peers::PeerTable;
use crate::peers::VmRecord;
use crate::pool::ConnectionPool;
use crate::promise_keeper::EarlierRun;
use crate::promise_keeper::WitnessLink;
use crate::rate_table::RateTable;
use crate::response_memory::ResponseMemory;
use crate::retry_budget::RetryBudget;
use crate::retry_budget::RetryRule;
use crate::retry_schedule::RetrySchedule;
use crate::room::OverloadCause;
use crate::room::RoomOwner;
use crate::room::VmCapacity;
use crate::room::VmRoom;
use crate::shard_memory::ShardMemory;
use crate::spending_witness::WitnessLog;
use crate::stage::VmStage;
use crate::stop_plan::StopPlan;
use crate::store_contact::StoreContact;
use crate::store_gate::StoreGate;
use crate::stream_durations::StreamDurations;
use crate::token_request::FreeTokens;
use crate::token_request::QueuedTokenRequest;
use crate::token_request::TokenRequestOutcome;
use crate::token_tally::TokenTally;
use crate::transfer::DuplicateFilter;
use crate::transfer::TransferLog;
use crate::upstream::UpstreamChange;
use crate::upstream::UpstreamTable;
use crate::wire_format::WireFormat;

/// Startup settings of a VM's front end.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Id of this VM.
    pub vm: VmId,
    /// Data centre that this VM runs in.
    pub data_centre: DataCentre,
    /// Address on which callers connect.
    pub front: SocketAddr,
    /// Address of the gossip socket.
    pub gossip: SocketAddr,
    /// Limit on sends of a request beyond the first.
    pub retry: RetryRule,
    /// Longest time that a caller may cache an address answer.
    pub address_ttl: Duration,
    /// How long a stopping process may take to finish requests.
    pub grace: Duration,
    /// Maximum number of open caller connections.
    pub caller_connections: usize,
    /// Memory limit of the process.
    pub memory: ByteCount,
    /// A VM or a store that was not reachable for this long is out of contact.
    pub contact_timeout: Duration,
    /// What this VM can carry.
    pub capacity: VmCapacity,
    /// What cold upstreams tolerate beyond their stated rate.
    pub cold_tolerance: ColdTolerance,
    /// Region of each data centre.
    pub regions: IndexMap<DataCentre, RegionName>,
    /// Age of the oldest copy from which the configuration store may come back.
    pub max_copy_age: Duration,
}

/// State shared by all tasks of a VM's front end.
pub struct Gateway {
    /// Startup settings.
    pub settings: GatewaySettings,
    /// Random id of this run of the process.
    pub incarnation: u64,
    /// When this run started, on the machine's boot clock. All earlier runs of the VM had
    /// ended by then. `None` if the clock is not available.
    pub started_at: Option<BootTimestamp>,
    /// Wire formats of the platform.
    pub wire_format: Rc<dyn WireFormat>,
    /// Source of the monotonic and the boot clock.
    pub clock: Arc<dyn TimeSource>,
    /// Logger of the process.
    pub log: Logger,
    /// Registry of counters and latencies.
    pub metrics: MetricRegistry,
    /// Configuration in force; `None` until one has been read.
    pub config: RefCell<Option<Rc<FleetConfig>>>,
    /// Upstreams that are known.
    pub upstreams: RefCell<UpstreamTable>,
    /// Rate limits advertised by upstreams.
    pub rates: RefCell<RateTable>,
    /// Per service, when callers should retry that were refused because no upstream could
    /// take them.
    pub retry_schedules: RefCell<IndexMap<ServiceName, RetrySchedule>>,
    /// Whether the upstreams have been listed at least once.
    pub upstreams_known: Cell<bool>,
    /// Features of requests that crash upstreams.
    pub crash_features: FeatureGuard,
    /// Outstanding work at the upstreams.
    pub loads: RefCell<LoadTable>,
    /// Prompts placed since the last gossip message, to be announced in the next.
    pub placed: RefCell<Vec<PlacedPrompt>>,
    /// Memory available for buffering answers.
    pub response_memory: ResponseMemory,
    /// Idle connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Budget for retries.
    pub retry_budget: RefCell<RetryBudget>,
    /// This VM's holdings of the budgets, by workspace.
    pub holdings: RefCell<IndexMap<WorkspaceId, BudgetHolding>>,
    /// Whether the witnesses of earlier runs of this VM have been asked, or there are none.
    pub earlier_runs_known: Cell<bool>,
    /// Earlier runs of this VM whose spending had a witness.
    pub earlier_runs: RefCell<Vec<EarlierRun>>,
    /// This run's relation to the witness of its spending.
    pub witness_link: RefCell<WitnessLink>,
    /// Promises that this run keeps as the witness of other VMs.
    pub witness_log: RefCell<WitnessLog>,
    /// Wakes the task that makes promises.
    pub promise_notify: Notify,
    /// Shards of the budget records in which this run may not be granted all of a budget.
    pub restricted_shards: RefCell<IndexSet<u64>>,
    /// What this run remembers of the shards of the budget records, by their numbers.
    pub shard_memories: RefCell<IndexMap<u64, ShardMemory>>,
    /// Workspaces whose budget is scarce at this VM, announced by gossip.
    pub scarce_budgets: RefCell<IndexMap<WorkspaceId, Instant>>,
    /// Workspaces whose budget is scarce at other VMs, by hash of the workspace.
    pub peer_scarce_budgets: RefCell<IndexMap<u64, Instant>>,
    /// Other VMs of the fleet.
    pub peers: RefCell<PeerTable>,
    /// Whether the configuration store answers.
    pub store_contact: Cell<StoreContact>,
    /// Latest known era of the configuration store; `None` before its first answer.
    pub store_era: Cell<Option<StoreEra>>,
    /// Revision of the marker of the present era, if this process has written or read it.
    pub era_marker: Cell<Option<StoreRevision>>,
    /// When this process was created.
    pub created_at: Instant,
    /// When the store last answered in each era that this process has seen.
    pub era_contacts: RefCell<EraContacts>,
    /// Notified when the store has come back from an older copy.
    pub era_changed: Notify,
    /// Limits retries while the store does not answer.
    pub store_gate: StoreGate,
    /// Notified when the store answers again after an outage.
    pub store_regained: Notify,
    /// Lifecycle stage of this VM.
    pub stage: Cell<VmStage>,
    /// When this VM began to serve.
    pub serving_since: Cell<Option<Instant>>,
    /// Load and readiness of this VM.
    pub room: VmRoom,
    /// What the last answers to address queries were based on.
    pub directory_log: DirectoryLog,
    /// Number of requests that are not fully answered.
    pub active: Cell<usize>,
    /// Number of open caller connections.
    pub connections: Cell<usize>,
    /// Free tokens announced by other VMs, by gossip address.
    pub peer_free_tokens: RefCell<IndexMap<SocketAddr, FreeTokens>>,
    /// Tokens that each VM has left of scarce budgets.
    pub token_tally: RefCell<TokenTally>,
    /// Token transfers that were sent and received.
    pub transfers: RefCell<TransferLog>,
    /// VMs that did not answer as the keeper of a budget or could not reach the store, with
    /// the time of the failure.
    pub failed_keepers: RefCell<IndexMap<SocketAddr, Instant>>,
    /// Number of token requests sent by this VM.
    pub token_requests_sent: Cell<u64>,
    /// Unanswered token requests of this VM, by number.
    pub pending_token_requests: RefCell<IndexMap<u64, oneshot::Sender<TokenRequestOutcome>>>,
    /// Numbers of token requests received from other VMs.
    pub token_request_dedup: RefCell<DuplicateFilter>,
    /// Token requests of other VMs that wait for a grant.
    pub queued_token_requests: RefCell<Vec<QueuedTokenRequest>>,
    /// Notified when tokens have been transferred to another VM.
    pub transfer_notify: Notify,
    /// Queued messages to individual VMs.
    pub direct_messages: RefCell<Vec<(SocketAddr, PeerMessage)>>,
    /// Notified when `direct_messages` is not empty.
    pub direct_notify: Notify,
    /// Notified when the next gossip message should be sent early.
    pub gossip_notify: Notify,
    /// Notified when a workspace needs a grant.
    pub grant_notify: Notify,
    /// Notifies the tasks that write budget records.
    pub shard_notify: Notify,
    /// Notified when a budget record has changed.
    pub grant_changed: Notify,
    /// Newest configuration version announced by other VMs.
    pub config_hint: ChangeHint<u64>,
    /// Newest upstream revision announced by other VMs.
    pub upstream_hint: ChangeHint<StoreRevision>,
    /// Notified when idle caller connections should close.
    pub closing: Notify,
    /// Whether idle caller connections should close.
    pub is_closing: Cell<bool>,
    /// Times of the graceful stop, if one has begun.
    pub stop_plan: Cell<Option<StopPlan>>,
    /// Notified when requests that are still open are given up.
    pub drain_ended: Notify,
    /// Whether they are.
    pub is_drained: Cell<bool>,
    /// How long recent streams lasted.
    pub stream_durations: RefCell<StreamDurations>,
}

impl Gateway {
    /// Creates the state of a newly started process.
    ///
    /// No earlier process of the VM may still be running: the caller must hold the bound
    /// gossip address.
    pub fn new(
        settings: GatewaySettings,
        wire_format: Rc<dyn WireFormat>,
        clock: Arc<dyn TimeSource>,
        log: Logger,
        metrics: MetricRegistry,
    ) -> Self {
        let retry_budget = RetryBudget::new(settings.retry);
        let response_memory = ResponseMemory::new(settings.memory);
        let rates = RateTable::new(stable_hash(settings.vm.as_str()));
        let started_at = clock.boot_timestamp().map(|timestamp| BootTimestamp {
            boot: timestamp.boot.with_address(settings.gossip),
            ..timestamp
        });
        let created_at = clock.now();
        let incarnation = fastrand::u64(1..);
        let room_owner = RoomOwner {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            capacity: settings.capacity,
        };
        let room = VmRoom::new(room_owner, created_at);
        Self {
            settings,
            incarnation,
            started_at,
            wire_format,
            clock,
            log,
            metrics,
            config: RefCell::default(),
            upstreams: RefCell::default(),
            rates: RefCell::new(rates),
            retry_schedules: RefCell::default(),
            upstreams_known: Cell::new(false),
            crash_features: FeatureGuard::default(),
            loads: RefCell::default(),
            placed: RefCell::default(),
            response_memory,
            pool: RefCell::default(),
            retry_budget: RefCell::new(retry_budget),
            holdings: RefCell::default(),
            shard_memories: RefCell::default(),
            restricted_shards: RefCell::default(),
            earlier_runs_known: Cell::new(false),
            earlier_runs: RefCell::default(),
            witness_link: RefCell::default(),
            witness_log: RefCell::default(),
            promise_notify: Notify::new(),
            scarce_budgets: RefCell::default(),
            peer_scarce_budgets: RefCell::default(),
            peers: RefCell::default(),
            store_contact: Cell::new(StoreContact::new()),
            store_era: Cell::default(),
            era_marker: Cell::default(),
            created_at,
            era_contacts: RefCell::default(),
            era_changed: Notify::new(),
            store_gate: StoreGate::default(),
            store_regained: Notify::new(),
            stage: Cell::new(VmStage::Starting),
            serving_since: Cell::new(None),
            room,
            directory_log: DirectoryLog::default(),
            active: Cell::new(0),
            connections: Cell::new(0),
            peer_free_tokens: RefCell::default(),
            token_tally: RefCell::default(),
            transfers: RefCell::default(),
            failed_keepers: RefCell::default(),
            token_requests_sent: Cell::new(0),
            pending_token_requests: RefCell::default(),
            token_request_dedup: RefCell::default(),
            queued_token_requests: RefCell::default(),
            transfer_notify: Notify::new(),
            direct_messages: RefCell::default(),
            direct_notify: Notify::new(),
            gossip_notify: Notify::new(),
            grant_notify: Notify::new(),
            shard_notify: Notify::new(),
            grant_changed: Notify::new(),
            config_hint: ChangeHint::default(),
            upstream_hint: ChangeHint::default(),
            closing: Notify::new(),
            is_closing: Cell::new(false),
            stop_plan: Cell::new(None),
            drain_ended: Notify::new(),
            is_drained: Cell::new(false),
            stream_durations: RefCell::default(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the current time on the machine's boot clock, tagged with this VM's gossip
    /// address.
    pub fn boot_timestamp(&self) -> Option<BootTimestamp> {
        let boot = self.started_at?.boot;
        let timestamp = self.clock.boot_timestamp()?;
        Some(BootTimestamp { boot, ..timestamp })
    }

    /// Returns the configuration in force.
    pub fn current_config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version.0)
    }

    /// Returns the record that this VM announces of itself.
    pub fn own_record(&self) -> VmRecord {
        VmRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            front: self.settings.front,
            gossip: self.settings.gossip,
            data_centre: self.settings.data_centre.clone(),
            stage: self.stage.get(),
        }
    }

    /// Returns how many connections an upstream of a service accepts from all VMs together,
    /// if configured.
    pub fn connections_accepted(&self, service: &str) -> Option<u32> {
        let config = self.config.borrow();
        config.as_ref()?.services.get(service)?.connections
    }

    /// Returns the number of known VMs, including this one.
    pub fn vm_count(&self) -> usize {
        self.peers.borrow().count() + 1
    }

    /// Returns whether the link of this VM is saturated.
    pub fn is_link_saturated(&self) -> bool {
        let cause = self.room.readiness.borrow().overload_cause(self.now());
        cause == Some(OverloadCause::Link)
    }

    /// Moves from `Starting` to `Serving` once the configuration, the upstreams and the
    /// the quarantined features are known.
    pub fn update_stage(&self) {
        let known = self.config.borrow().is_some()
            && self.upstreams_known.get()
            && self.crash_features.is_quarantine_known.get();
        if known && self.stage.get() == VmStage::Starting {
            self.serving_since.set(Some(self.now()));
            self.set_stage(VmStage::Serving);
        }
    }

    /// Sets the lifecycle stage and announces it by gossip.
    pub fn set_stage(&self, stage: VmStage) {
        info!(self.log, "stage changed"; "from" => %self.stage.get(), "to" => %stage);
        self.stage.set(stage);
        self.gossip_notify.notify_one();
    }

    /// Logs upstream changes and updates the connection pool and the load table.
    pub fn apply_upstream_changes(&self, changes: Vec<UpstreamChange>) {
        for change in changes {
            let revision = self.upstreams.borrow().latest();
            match change {
                UpstreamChange::Appeared(entry) => {
                    info!(self.log, "upstream ready"; "upstream" => %entry.id,
                        "service" => &*entry.service, "address" => %entry.address,
                        "revision" => %revision);
                    self.pool.borrow_mut().forget(&entry.id);
                    self.set_cache_capacity(&entry.id, &entry.service);
                    self.loads.borrow_mut().begin_run(&entry);
                }
                UpstreamChange::Left(id) => {
                    info!(self.log, "upstream left"; "upstream" => %id, "revision" => %revision);
                    self.pool.borrow_mut().forget(&id);
                    self.loads.borrow_mut().forget(&id);
                }
            }
        }
    }

    fn set_cache_capacity(&self, id: &UpstreamId, service: &str) {
        let config = self.config.borrow();
        let engine = config
            .as_ref()
            .and_then(|config| config.services.get(service))
            .and_then(|rule| rule.engine);
        if let Some(engine) = engine {
            let mut loads = self.loads.borrow_mut();
            loads.set_cache_capacity(id, engine.cache_capacity.0);
        }
    }

    /// Begins a graceful stop, in which requests that can't end in time are refused. Returns its
    /// times.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::new(self.settings.grace, self.now());
        self.stop_plan.set(Some(plan));
        self.set_stage(VmStage::Leaving);
        plan
    }

    /// Gives up the requests that are still open: those without an answer get one.
    pub fn end_drain(&self) {
        self.is_drained.set(true);
        self.drain_ended.notify_waiters();
    }

    /// Waits until the requests that are still open are given up.
    pub async fn wait_for_drain_end(&self) {
        let ended = self.drain_ended.notified();
        if !self.is_drained.get() {
            ended.await;
        }
    }

    /// Stops accepting connections and closes idle ones.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.closing.notify_waiters();
    }

    /// Queues a message to one VM.
    pub fn send_direct(&self, target: SocketAddr, message: PeerMessage) {
        self.direct_messages.borrow_mut().push((target, message));
        self.direct_notify.notify_one();
    }
}

/// Hashes a string. All VMs, and all runs of a VM, compute the same value.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the rendezvous-hashing weight of a VM for an upstream, both given by their name
/// hashes. All VMs compute the same value.
pub fn rendezvous_weight(vm: u64, upstream: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(vm);
    hasher.write_u64(upstream);
    hasher.finish()
}

/// Returns the rendezvous-hashing weight of a VM for a duty. All VMs compute the same
/// value; the VMs with the highest weights have the duty.
pub fn duty_rendezvous_weight(vm: &VmId, duty: impl fmt::Display) -> u64 {
    stable_hash(&format!("{vm}/{duty}"))
}
