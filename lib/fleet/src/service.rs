//! The part of a keeper that follows the fleet and tells others about it.

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
use crate::view_keeper::MergeOutcome;
use crate::view_keeper::ViewKeeper;

/// Longest time that a query is held open.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(10);
/// Age of the last query from which a follower is no longer reported.
const FOLLOWER_SILENCE: Duration = Duration::from_secs(30);

/// How a keeper takes part in the fleet.
#[derive(Clone, Debug)]
pub struct FleetServiceSettings {
    /// The keeper's own record.
    pub member: MemberRecord,
    /// Keepers to ask before any is known from the store.
    pub seeds: Vec<SocketAddr>,
}

/// A process that follows this keeper, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The run of the process.
    pub member: IncarnationId,
    /// It has everything up to this revision in force.
    pub revision: StoreRevision,
    /// Time since it last asked, in milliseconds.
    pub asked_ms_ago: u64,
}

/// What a keeper tells operators: `GET /fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The keeper.
    pub keeper: IncarnationId,
    /// It has everything up to this revision in force.
    pub revision: StoreRevision,
    /// Whether it has learnt a whole configuration.
    pub ready: bool,
    /// Age of its knowledge in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether it watches the store itself.
    pub watches_store: bool,
    /// Keys whose newest value it can't read, with the reason.
    pub rejected: IndexMap<String, String>,
    /// The processes that follow it.
    pub followers: Vec<FollowerStatus>,
}

/// When a process last asked, and what it knew then.
struct FollowerRow {
    revision: StoreRevision,
    asked: Instant,
}

/// State that only the control thread touches.
pub(crate) struct FleetState {
    pub keeper: ViewKeeper,
    pub table: MemberTable,
    pub deaths: DeathWatch,
    pub registration: Registration,
    /// Whether the process is about to stop.
    pub is_leaving: bool,
    pub watchers: WatcherSet,
    /// When a peer last told something fresh.
    pub peer_answered: Option<Instant>,
    pub store_health: StoreHealth,
    liveness_version: u64,
    followers: IndexMap<IncarnationId, FollowerRow>,
}

impl FleetState {
    /// Returns every member that is not simply up: as keepers tell each other,
    /// as the VM list says of its VM, and by proof of its end.
    fn liveness(&self, view: &FleetView, now: Instant) -> Vec<MemberLiveness> {
        let told = self.table.liveness(now).into_iter();
        let mut members: IndexMap<IncarnationId, MemberLiveness> =
            told.map(|found| (found.member.clone(), found)).collect();
        for entry in view.all_members() {
            let member = &entry.record.incarnation;
            let ended = self.deaths.proof(member, view).is_some();
            let leaving = self.deaths.vm_state(&member.vm) == Some(VmState::Leaving);
            if ended || leaving {
                let row = members
                    .entry(member.clone())
                    .or_insert_with(|| MemberLiveness::up(member.clone()));
                row.ended |= ended;
                row.leaving |= leaving;
            }
        }
        members.into_values().collect()
    }
}

/// What the loops of a [`FleetService`] share.
pub(crate) struct FleetCore {
    pub settings: FleetServiceSettings,
    pub clock: Rc<dyn TimeSource>,
    pub context: DaemonContext,
    pub state: RefCell<FleetState>,
    views: watch::Sender<Arc<FleetView>>,
    deaths: watch::Sender<Arc<DeathWatch>>,
    /// Counts changes that a waiting query should be answered for.
    changes: watch::Sender<u64>,
}

impl FleetCore {
    pub fn me(&self) -> &IncarnationId {
        &self.settings.member.incarnation
    }

    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Publishes the view, and recomputes what depends on its records.
    pub fn publish(&self, outcome: MergeOutcome) {
        let mut state = self.state.borrow_mut();
        let view = Arc::new(state.keeper.view());
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

    /// Takes the members' liveness over into the view where it differs.
    pub fn refresh_liveness(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.table.suspect_silent(now);
        let lost = state.store_health.is_lost(now);
        state.table.set_store_lost(lost);
        let members = state.liveness(&self.view(), now);
        if state.keeper.set_liveness(members) {
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
        let new = self.state.borrow_mut().keeper.mark_leaving(mark);
        if new {
            self.publish(MergeOutcome::Changed);
        }
        new
    }

    fn note_asker(&self, query: &ViewQuery) {
        let Some(asker) = &query.asker else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.table.observe_asker(asker, query.leaving, now);
        let row = FollowerRow {
            revision: query.after,
            asked: now,
        };
        state.followers.insert(asker.clone(), row);
        state
            .followers
            .retain(|_, row| now.saturating_duration_since(row.asked) < FOLLOWER_SILENCE);
    }

    fn reply_now(&self, query: &ViewQuery) -> ViewReply {
        let state = self.state.borrow();
        let now = self.clock.now();
        let mut reply = state
            .keeper
            .reply_to(self.me(), query.after, query.scope, now);
        reply.liveness_version = state.liveness_version;
        let wanted = query.liveness_version;
        if wanted.is_some_and(|known| known != state.liveness_version) {
            reply.liveness = Some(state.keeper.liveness().cloned().collect());
        }
        reply
    }

    async fn answer_query(&self, query: &ViewQuery) -> ViewReply {
        self.note_asker(query);
        let mut changes = self.changes.subscribe();
        let reply = self.reply_now(query);
        if reply.age_ms.is_none() || !reply.changes.is_empty() || reply.liveness.is_some() {
            return reply;
        }
        let wait = Duration::from_millis(query.wait_ms).min(MAX_QUERY_WAIT);
        let _ = timeout(wait, changes.changed()).await;
        self.reply_now(query)
    }

    pub fn note_store_call(&self, answered: bool) {
        let now = self.clock.now();
        self.state.borrow_mut().store_health.note(answered, now);
    }

    fn status(&self) -> FleetStatus {
        let state = self.state.borrow();
        let now = self.clock.now();
        let millis_since = |then: Instant| now.saturating_duration_since(then).as_millis() as u64;
        FleetStatus {
            keeper: self.me().clone(),
            revision: state.keeper.complete_to(),
            ready: state.keeper.is_ready(),
            age_ms: state.keeper.age(now).map(|age| age.as_millis() as u64),
            watches_store: state.watchers.contains(&self.me().vm),
            rejected: state
                .keeper
                .rejected()
                .iter()
                .map(|(key, rejected)| (key.clone(), rejected.error.to_string()))
                .collect(),
            followers: state
                .followers
                .iter()
                .map(|(member, row)| FollowerStatus {
                    member: member.clone(),
                    revision: row.revision,
                    asked_ms_ago: millis_since(row.asked),
                })
                .collect(),
        }
    }

    async fn answer(self: Rc<Self>, request: FleetRequest) {
        match request {
            FleetRequest::Query { query, reply } => {
                let _ = reply.send(self.answer_query(&query).await);
            }
            FleetRequest::Beat { beat, reply } => {
                let now = self.clock.now();
                let answer = {
                    let mut state = self.state.borrow_mut();
                    state.table.receive(&beat, now);
                    state.table.heartbeat(&beat.sender)
                };
                let _ = reply.send(answer);
            }
            FleetRequest::Mark { mark, reply } => {
                let _ = reply.send(self.mark_leaving(mark));
            }
            FleetRequest::Status { reply } => {
                let _ = reply.send(self.status());
            }
            FleetRequest::StoreCalled { answered } => self.note_store_call(answered),
            FleetRequest::Leave => self.state.borrow_mut().is_leaving = true,
        }
    }
}

/// Follows the store, the VM list and other keepers, and answers about them.
///
/// Runs on the keeper's control thread. Other threads use its [`FleetHandle`].
pub struct FleetService<S, V> {
    core: Rc<FleetCore>,
    store: Rc<S>,
    vms: Rc<V>,
    requests: mpsc::UnboundedReceiver<FleetRequest>,
}

impl<S: ConfigStore + 'static, V: VmList + 'static> FleetService<S, V> {
    /// Makes a service that knows nothing yet, and the handle for other threads.
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
        let me = settings.member.incarnation.clone();
        let state = FleetState {
            keeper: ViewKeeper::passing_workspaces_on(),
            table: MemberTable::new(me.clone(), me.start),
            deaths: DeathWatch::new(),
            registration: Registration::new(settings.member.clone()),
            is_leaving: false,
            watchers: WatcherSet::default(),
            peer_answered: None,
            store_health: StoreHealth::default(),
            // Differs from what a follower has of an earlier run.
            liveness_version: me.start,
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
        ntex::rt::spawn(core.clone().answer(request));
    }
    // Without handles there is nothing to answer; the other loops go on.
    loop {
        sleep(HEARTBEAT_PERIOD).await;
    }
}
