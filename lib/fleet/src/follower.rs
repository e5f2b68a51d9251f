//! The client by which routers and directories follow the fleet view.

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
use crate::view_keeper::MergeOutcome;
use crate::view_keeper::ViewKeeper;

/// Path of the view on a keeper.
pub const VIEW_PATH: &str = "/view";
/// How long a keeper may hold another keeper's query open until something changes.
pub const VIEW_WAIT: Duration = Duration::from_secs(1);
/// How long the keeper of the own VM may hold a query open.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// How long a reply may take beyond the wait before the keeper counts as
/// silent.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);

/// How a process follows the fleet view.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// The run of the process that follows.
    pub process: IncarnationId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The keeper of its VM.
    pub keeper: Option<SocketAddr>,
    /// Other keepers to ask while none is known.
    pub seeds: Vec<SocketAddr>,
}

/// The side of a follower that other threads hold.
#[derive(Clone)]
pub struct ViewSubscription {
    views: watch::Receiver<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
    leaving_heard: Arc<AtomicBool>,
}

impl ViewSubscription {
    /// Returns the newest view.
    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Returns the channel on which views are published, about once a second
    /// and at each change.
    pub fn views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Lets the fleet know that this process stops soon, also while the store
    /// can't be written.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Tells whether a keeper has taken the announcement.
    pub fn is_leaving_heard(&self) -> bool {
        self.leaving_heard.load(Ordering::Acquire)
    }
}

/// Follows the keeper of the own VM, or another while that does not answer.
pub struct ViewFollower {
    settings: FollowerSettings,
    clock: Rc<dyn TimeSource>,
    client: MessageClient,
    plan: FollowerPlan,
    scope: ViewScope,
    keeper: ViewKeeper,
    /// The keeper whose liveness version is known, with that version.
    liveness: Option<(IncarnationId, u64)>,
    asked: Option<SocketAddr>,
    views: watch::Sender<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
    leaving_heard: Arc<AtomicBool>,
}

impl ViewFollower {
    /// Makes a follower that knows nothing, and its subscription.
    pub fn new(settings: FollowerSettings, clock: Rc<dyn TimeSource>) -> (Self, ViewSubscription) {
        let (views, receiver) = watch::channel(Arc::new(FleetView::default()));
        let plan = FollowerPlan::new(
            settings.process.vm.clone(),
            settings.data_centre.clone(),
            settings.keeper,
            settings.seeds.clone(),
        );
        let leaving = Arc::new(AtomicBool::new(false));
        let leaving_heard = Arc::new(AtomicBool::new(false));
        let subscription = ViewSubscription {
            views: receiver,
            leaving: leaving.clone(),
            leaving_heard: leaving_heard.clone(),
        };
        let follower = Self {
            settings,
            clock,
            client: MessageClient::new(),
            plan,
            scope: ViewScope::Whole,
            keeper: ViewKeeper::new(),
            liveness: None,
            asked: None,
            views,
            leaving,
            leaving_heard,
        };
        (follower, subscription)
    }

    /// Follows the settings and the members only.
    pub fn members_only(mut self) -> Self {
        self.scope = ViewScope::Members;
        self
    }

    /// Follows until no subscription is left.
    pub async fn run(mut self) {
        while !self.views.is_closed() {
            let pause = self.follow_once().await;
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
    }

    /// Asks once; returns how long to wait before the next time.
    async fn follow_once(&mut self) -> Duration {
        let view = self.views.borrow().clone();
        let Some(address) = self.plan.choose(&view, self.clock.now()) else {
            return self.plan.failed();
        };
        if self.asked != Some(address) {
            self.liveness = None;
            self.asked = Some(address);
        }
        let asked = self.clock.now();
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
                    self.leaving_heard.store(true, Ordering::Release);
                }
                self.take(after, &reply, asked)
            }
            Ok(_) | Err(_) => self.plan.failed(),
        }
    }

    fn query(&self) -> ViewQuery {
        let version = self.liveness.as_ref().map_or(0, |(_, version)| *version);
        ViewQuery {
            asker: Some(self.settings.process.clone()),
            leaving: self.leaving.load(Ordering::Acquire),
            after: self.keeper.complete_to(),
            scope: self.scope,
            liveness_version: Some(version),
            wait_ms: FOLLOW_WAIT.as_millis() as u64,
        }
    }

    fn take(
        &mut self,
        after: StoreRevision,
        reply: &ViewReply,
        asked: std::time::Instant,
    ) -> Duration {
        let outcome = self.keeper.apply_reply(after, reply, asked);
        if let Some(members) = &reply.liveness {
            self.keeper.set_liveness(members.clone());
            self.liveness = Some((reply.keeper.clone(), reply.liveness_version));
        }
        if outcome == MergeOutcome::Behind {
            return self.plan.failed();
        }
        let view = Arc::new(self.keeper.view());
        self.views.send_replace(view);
        Duration::ZERO
    }
}
