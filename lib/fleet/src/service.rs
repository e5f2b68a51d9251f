//! The fleet service of a keeper, which maintains the fleet view and serves it to
//! other processes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::join;
use indexmap::IndexMap;
use ntex::time::sleep;
use ntex::time::timeout;
use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreRevision;
use snipegate_platform::VmList;
use snipegate_platform::VmState;
use snipegate_service::DaemonContext;
use snipegate_types::IncarnationId;
use snipegate_types::TimeSource;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::death_watch::DeathWatch;
use crate::exchange::LeaveMark;
use crate::exchange::MemberLiveness;
use crate::exchange::ViewQuery;
use crate::exchange::ViewReply;
use crate::fleet_handle::FleetHandle;
use crate::fleet_handle::FleetRequest;
use crate::member::MemberRecord;
use crate::member_table::HEARTBEAT_PERIOD;
use crate::member_table::MemberTable;
use crate::registration::Registration;
use crate::source_plan::WatcherSet;
use crate::store_health::StoreHealth;
use crate::view::FleetView;
use crate::view_state::MergeOutcome;
use crate::view_state::ViewState;

/// Maximum time for which a query is held open.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(10);
/// Time without a query after which a follower is no longer reported.
const FOLLOWER_STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a [`FleetService`].
#[derive(Clone, Debug)]
pub struct FleetServiceSettings {
    /// The member record of this keeper.
    pub member: MemberRecord,
    /// Keepers to query while the view contains no others.
    pub seeds: Vec<SocketAddr>,
}

/// The status of a process that follows a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The incarnation of the process.
    pub member: IncarnationId,
    /// The revision up to which it has all changes in force.
    pub revision: StoreRevision,
    /// Time since its last query, in milliseconds.
    pub asked_ms_ago: u64,
}

/// The response body of `GET /fleet`, which shows operators the state of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The keeper.
    pub keeper: IncarnationId,
    /// The revision up to which it has all changes in force.
    pub revision: StoreRevision,
    /// Whether it has received a complete configuration.
    pub ready: bool,
    /// Age of its view in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether it is one of the watchers of the store.
    pub watches_store: bool,
    /// Keys whose newest value is invalid, with the error.
    pub rejected: IndexMap<String, String>,
    /// The processes that follow it.
    pub followers: Vec<FollowerStatus>,
}

/// The last query of a follower.
struct FollowerEntry {
    revision: StoreRevision,
    queried_at: Instant,
}

/// The state that only the control thread accesses.
pub(crate) struct FleetState {
    pub view_state: ViewState,
    pub table: MemberTable,
    pub deaths: DeathWatch,
    pub registration: Registration,
    /// Whether the process is stopping.
    pub is_leaving: bool,
    pub watchers: WatcherSet,
    /// When a peer last sent a reply that makes watching the store unnecessary.
    pub fresh_peer_reply_at: Option<Instant>,
    pub store_health: StoreHealth,
    liveness_version: u64,
    followers: IndexMap<IncarnationId, FollowerEntry>,
}

impl FleetState {
    /// Returns every member that is not in the normal state. This combines the member
    /// table, the states in the VM list and the proofs that members have ended.
    fn liveness(&self, view: &FleetView, now: Instant) -> Vec<MemberLiveness> {
        let reported = self.table.liveness(now).into_iter();
        let mut members: IndexMap<IncarnationId, MemberLiveness> = reported
            .map(|found| (found.member.clone(), found))
            .collect();
        for entry in view.all_members() {
            let member = &entry.record.incarnation;
            let ended = self.deaths.proof(member, view).is_some();
            let leaving = self.deaths.vm_state(&member.vm) == Some(VmState::Leaving);
            if ended || leaving {
                let liveness = members
                    .entry(member.clone())
                    .or_insert_with(|| MemberLiveness::up(member.clone()));
                liveness.ended |= ended;
                liveness.leaving |= leaving;
            }
        }
        members.into_values().collect()
    }
}

/// The data shared by the loops of a [`FleetService`].
pub(crate) struct FleetCore {
    pub settings: FleetServiceSettings,
    pub clock: Rc<dyn TimeSource>,
    pub context: DaemonContext,
    pub state: RefCell<FleetState>,
    views: watch::Sender<Arc<FleetView>>,
    deaths: watch::Sender<Arc<DeathWatch>>,
    /// Counts the changes that wake up pending queries.
    changes: watch::Sender<u64>,
}

impl FleetCore {
    pub fn own_id(&self) -> &IncarnationId {
        &self.settings.member.incarnation
    }

    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Publishes the view. If its records have changed, updates the data derived from
    /// them.
    pub fn publish(&self, outcome: MergeOutcome) {
        let mut state = self.state.borrow_mut();
        let view = Arc::new(state.view_state.view());
        if outcome == MergeOutcome::Changed {
            let deaths = state.deaths.clone();
            let alive = view
                .all_members()
                .map(|entry| &entry.record.incarnation)
                .filter(|member| deaths.proof(member, &view).is_none());
            state.table.set_members(alive);
            state.watchers = WatcherSet::choose(&view);
        }
        drop(state);
        self.views.send_replace(view);
        if outcome == MergeOutcome::Changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Updates the liveness in the view and publishes the view if it has changed.
    pub fn refresh_liveness(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.table.suspect_inactive(now);
        let lost = state.store_health.is_lost(now);
        state.table.set_store_lost(lost);
        let members = state.liveness(&self.view(), now);
        if state.view_state.set_liveness(members) {
            state.liveness_version += 1;
            drop(state);
            self.context.metrics.count("fleet.liveness_changes");
            self.publish(MergeOutcome::Changed);
        }
    }

    pub fn publish_deaths(&self) {
        let deaths = self.state.borrow().deaths.clone();
        self.deaths.send_replace(Arc::new(deaths));
        self.publish(MergeOutcome::Changed);
    }

    pub fn mark_leaving(&self, mark: LeaveMark) -> bool {
        let is_new = self.state.borrow_mut().view_state.mark_leaving(mark);
        if is_new {
            self.publish(MergeOutcome::Changed);
        }
        is_new
    }

    fn record_follower(&self, query: &ViewQuery) {
        let Some(asker) = &query.asker else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.table.record_query(asker, query.leaving, now);
        let entry = FollowerEntry {
            revision: query.after,
            queried_at: now,
        };
        state.followers.insert(asker.clone(), entry);
        state.followers.retain(|_, entry| {
            now.saturating_duration_since(entry.queried_at) < FOLLOWER_STATUS_TIMEOUT
        });
    }

    fn build_reply(&self, query: &ViewQuery) -> ViewReply {
        let state = self.state.borrow();
        let now = self.clock.now();
        let mut reply = state
            .view_state
            .reply_to(self.own_id(), query.after, query.scope, now);
        reply.liveness_version = state.liveness_version;
        let wanted = query.liveness_version;
        if wanted.is_some_and(|known| known != state.liveness_version) {
            reply.liveness = Some(state.view_state.liveness().cloned().collect());
        }
        reply
    }

    async fn answer_query(&self, query: &ViewQuery) -> ViewReply {
        self.record_follower(query);
        let mut changes = self.changes.subscribe();
        let reply = self.build_reply(query);
        if reply.age_ms.is_none() || !reply.changes.is_empty() || reply.liveness.is_some() {
            return reply;
        }
        let wait = Duration::from_millis(query.wait_ms).min(MAX_QUERY_WAIT);
        let _ = timeout(wait, changes.changed()).await;
        self.build_reply(query)
    }

    pub fn record_store_call(&self, answered: bool) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .store_health
            .record_call(answered, now);
    }

    fn status(&self) -> FleetStatus {
        let state = self.state.borrow();
        let now = self.clock.now();
        let millis_since = |then: Instant| now.saturating_duration_since(then).as_millis() as u64;
        FleetStatus {
            keeper: self.own_id().clone(),
            revision: state.view_state.complete_to(),
            ready: state.view_state.is_ready(),
            age_ms: state.view_state.age(now).map(|age| age.as_millis() as u64),
            watches_store: state.watchers.contains(&self.own_id().vm),
            rejected: state
                .view_state
                .rejected()
                .iter()
                .map(|(key, rejected)| (key.clone(), rejected.error.to_string()))
                .collect(),
            followers: state
                .followers
                .iter()
                .map(|(member, entry)| FollowerStatus {
                    member: member.clone(),
                    revision: entry.revision,
                    asked_ms_ago: millis_since(entry.queried_at),
                })
                .collect(),
        }
    }

    async fn handle_request(self: Rc<Self>, request: FleetRequest) {
        match request {
            FleetRequest::Query { query, reply } => {
                let _ = reply.send(self.answer_query(&query).await);
            }
            FleetRequest::Heartbeat { heartbeat, reply } => {
                let now = self.clock.now();
                let answer = {
                    let mut state = self.state.borrow_mut();
                    state.table.receive(&heartbeat, now);
                    state.table.heartbeat(&heartbeat.sender)
                };
                let _ = reply.send(answer);
            }
            FleetRequest::LeaveMark { mark, reply } => {
                let _ = reply.send(self.mark_leaving(mark));
            }
            FleetRequest::Status { reply } => {
                let _ = reply.send(self.status());
            }
            FleetRequest::StoreCall { answered } => self.record_store_call(answered),
            FleetRequest::Leave => self.state.borrow_mut().is_leaving = true,
        }
    }
}

/// Follows the store, the VM list and other keepers, and serves the resulting view.
///
/// It runs on the keeper's control thread. Other threads use its [`FleetHandle`].
pub struct FleetService<S, V> {
    core: Rc<FleetCore>,
    store: Rc<S>,
    vms: Rc<V>,
    requests: mpsc::UnboundedReceiver<FleetRequest>,
}

impl<S: ConfigStore + 'static, V: VmList + 'static> FleetService<S, V> {
    /// Creates a service with an empty view, and its handle for other threads.
    pub fn new(
        settings: FleetServiceSettings,
        store: Rc<S>,
        vms: Rc<V>,
        clock: Rc<dyn TimeSource>,
        context: DaemonContext,
    ) -> (Self, FleetHandle) {
        let (views, view_receiver) = watch::channel(Arc::new(FleetView::default()));
        let (deaths, death_receiver) = watch::channel(Arc::new(DeathWatch::new()));
        let (sender, requests) = mpsc::unbounded_channel();
        let own_id = settings.member.incarnation.clone();
        let state = FleetState {
            view_state: ViewState::relaying_workspaces(),
            table: MemberTable::new(own_id.clone(), own_id.start),
            deaths: DeathWatch::new(),
            registration: Registration::new(settings.member.clone()),
            is_leaving: false,
            watchers: WatcherSet::default(),
            fresh_peer_reply_at: None,
            store_health: StoreHealth::default(),
            // Distinguishes the versions from those of an earlier incarnation.
            liveness_version: own_id.start,
            followers: IndexMap::new(),
        };
        let core = Rc::new(FleetCore {
            settings,
            clock,
            context,
            state: RefCell::new(state),
            views,
            deaths,
            changes: watch::channel(0).0,
        });
        let handle = FleetHandle::new(sender, view_receiver, death_receiver);
        let service = Self {
            core,
            store,
            vms,
            requests,
        };
        (service, handle)
    }

    /// Runs until the returned future is dropped.
    pub async fn run(self) {
        let core = &self.core;
        join!(
            core.follow_store(&*self.store),
            core.follow_vm_list(&*self.vms),
            core.keep_registered(&*self.store),
            core.follow_peers(),
            core.send_heartbeats(),
            answer_requests(core.clone(), self.requests),
        );
    }
}

async fn answer_requests(core: Rc<FleetCore>, mut requests: mpsc::UnboundedReceiver<FleetRequest>) {
    while let Some(request) = requests.recv().await {
        ntex::rt::spawn(core.clone().handle_request(request));
    }
    // All handles have been dropped. Keep running for the sake of the other loops.
    loop {
        sleep(HEARTBEAT_PERIOD).await;
    }
}
