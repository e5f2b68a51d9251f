//! The client with which routers and directories follow the fleet view.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::time::sleep;
use snipegate_platform::StoreRevision;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::TimeSource;
use tokio::sync::watch;

use crate::exchange::ViewQuery;
use crate::exchange::ViewReply;
use crate::exchange::ViewScope;
use crate::follower_plan::FollowerPlan;
use crate::view::FleetView;
use crate::view_state::MergeOutcome;
use crate::view_state::ViewState;

/// HTTP path of the view on a keeper.
pub const VIEW_PATH: &str = "/view";
/// Maximum time for which a keeper holds another keeper's query open until a change.
pub const PEER_QUERY_WAIT: Duration = Duration::from_secs(1);
/// Maximum time for which a keeper holds a follower's query open until a change.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time allowed for a reply in addition to the wait time of the query. A keeper that
/// takes longer counts as unresponsive.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);

/// Settings of a [`ViewFollower`].
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// The incarnation of the following process.
    pub process: IncarnationId,
    /// The data centre of the process.
    pub data_centre: DataCentre,
    /// The keeper on the same VM.
    pub keeper: Option<SocketAddr>,
    /// Keepers to query while the view contains none.
    pub seeds: Vec<SocketAddr>,
}

/// The thread-safe handle of a [`ViewFollower`].
#[derive(Clone)]
pub struct ViewSubscription {
    views: watch::Receiver<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
    leave_acknowledged: Arc<AtomicBool>,
}

impl ViewSubscription {
    /// Returns the newest view.
    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Returns a receiver of the published views. A view is published at each change,
    /// and about once a second if nothing changes.
    pub fn views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Announces to the keepers that this process is stopping. This also works while
    /// the store cannot be written.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether a keeper has acknowledged the announcement.
    pub fn is_leaving_acknowledged(&self) -> bool {
        self.leave_acknowledged.load(Ordering::Acquire)
    }
}

/// Follows the keeper on the same VM, or another keeper while that one does not
/// answer.
pub struct ViewFollower {
    settings: FollowerSettings,
    clock: Rc<dyn TimeSource>,
    client: MessageClient,
    plan: FollowerPlan,
    scope: ViewScope,
    view_state: ViewState,
    /// The keeper that sent the current liveness, with its version.
    liveness: Option<(IncarnationId, u64)>,
    queried_keeper: Option<SocketAddr>,
    views: watch::Sender<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
    leave_acknowledged: Arc<AtomicBool>,
}

impl ViewFollower {
    /// Creates a follower with an empty view, and its subscription.
    pub fn new(settings: FollowerSettings, clock: Rc<dyn TimeSource>) -> (Self, ViewSubscription) {
        let (views, receiver) = watch::channel(Arc::new(FleetView::default()));
        let plan = FollowerPlan::new(
            settings.process.vm.clone(),
            settings.data_centre.clone(),
            settings.keeper,
            settings.seeds.clone(),
        );
        let leaving = Arc::new(AtomicBool::new(false));
        let leave_acknowledged = Arc::new(AtomicBool::new(false));
        let subscription = ViewSubscription {
            views: receiver,
            leaving: leaving.clone(),
            leave_acknowledged: leave_acknowledged.clone(),
        };
        let follower = Self {
            settings,
            clock,
            client: MessageClient::new(),
            plan,
            scope: ViewScope::Whole,
            view_state: ViewState::new(),
            liveness: None,
            queried_keeper: None,
            views,
            leaving,
            leave_acknowledged,
        };
        (follower, subscription)
    }

    /// Restricts the follower to the fleet-wide settings and the members.
    pub fn members_only(mut self) -> Self {
        self.scope = ViewScope::Members;
        self
    }

    /// Runs until all subscriptions have been dropped.
    pub async fn run(mut self) {
        while !self.views.is_closed() {
            let pause = self.follow_once().await;
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
    }

    /// Queries a keeper once and returns the delay before the next query.
    async fn follow_once(&mut self) -> Duration {
        let view = self.views.borrow().clone();
        let Some(address) = self.plan.choose(&view, self.clock.now()) else {
            return self.plan.failed();
        };
        if self.queried_keeper != Some(address) {
            self.liveness = None;
            self.queried_keeper = Some(address);
        }
        let requested_at = self.clock.now();
        let query = self.query();
        let announced = query.leaving;
        let after = query.after;
        let reply: Result<ViewReply, CallError> = self
            .client
            .call(address, VIEW_PATH, &query, FOLLOW_WAIT + REPLY_MARGIN)
            .await;
        match reply {
            Ok(reply) if reply.age_ms.is_some() => {
                self.plan.answered();
                if announced {
                    self.leave_acknowledged.store(true, Ordering::Release);
                }
                self.apply_reply(after, &reply, requested_at)
            }
            Ok(_) | Err(_) => self.plan.failed(),
        }
    }

    fn query(&self) -> ViewQuery {
        let version = self.liveness.as_ref().map_or(0, |(_, version)| *version);
        ViewQuery {
            asker: Some(self.settings.process.clone()),
            leaving: self.leaving.load(Ordering::Acquire),
            after: self.view_state.complete_to(),
            scope: self.scope,
            liveness_version: Some(version),
            wait_ms: FOLLOW_WAIT.as_millis() as u64,
        }
    }

    fn apply_reply(
        &mut self,
        after: StoreRevision,
        reply: &ViewReply,
        requested_at: std::time::Instant,
    ) -> Duration {
        let outcome = self.view_state.apply_reply(after, reply, requested_at);
        if let Some(members) = &reply.liveness {
            self.view_state.set_liveness(members.clone());
            self.liveness = Some((reply.keeper.clone(), reply.liveness_version));
        }
        if outcome == MergeOutcome::Behind {
            return self.plan.failed();
        }
        let view = Arc::new(self.view_state.view());
        self.views.send_replace(view);
        Duration::ZERO
    }
}
