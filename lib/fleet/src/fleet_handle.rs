//! The thread-safe handle of a [`FleetService`](crate::FleetService) and its HTTP
//! routes.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipegate_service::decode_message;
use snipegate_service::message_response;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::death_watch::DeathWatch;
use crate::exchange::LeaveMark;
use crate::exchange::ViewQuery;
use crate::exchange::ViewReply;
use crate::follower::VIEW_PATH;
use crate::member_table::Heartbeat;
use crate::service::FleetStatus;
use crate::view::FleetView;

/// HTTP path of the heartbeats between keepers.
pub const HEARTBEAT_PATH: &str = "/heartbeat";
/// HTTP path that accepts a [`LeaveMark`], which bypasses the store.
pub const LEAVE_MARK_PATH: &str = "/leave-mark";
/// HTTP path of a keeper's status for operators.
pub const FLEET_STATUS_PATH: &str = "/fleet";

/// A request to the control thread.
pub(crate) enum FleetRequest {
    Query {
        query: ViewQuery,
        reply: oneshot::Sender<ViewReply>,
    },
    Heartbeat {
        heartbeat: Heartbeat,
        reply: oneshot::Sender<Heartbeat>,
    },
    LeaveMark {
        mark: LeaveMark,
        reply: oneshot::Sender<bool>,
    },
    Status {
        reply: oneshot::Sender<FleetStatus>,
    },
    StoreCall {
        answered: bool,
    },
    Leave,
}

/// A handle to a keeper's [`FleetService`](crate::FleetService) for use on any thread.
#[derive(Clone)]
pub struct FleetHandle {
    requests: mpsc::UnboundedSender<FleetRequest>,
    views: watch::Receiver<Arc<FleetView>>,
    deaths: watch::Receiver<Arc<DeathWatch>>,
}

impl FleetHandle {
    pub(crate) fn new(
        requests: mpsc::UnboundedSender<FleetRequest>,
        views: watch::Receiver<Arc<FleetView>>,
        deaths: watch::Receiver<Arc<DeathWatch>>,
    ) -> Self {
        Self {
            requests,
            views,
            deaths,
        }
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Returns a receiver of the published views.
    pub fn views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Returns the observed state of the VM list, which can prove that a process has
    /// ended.
    pub fn deaths(&self) -> Arc<DeathWatch> {
        self.deaths.borrow().clone()
    }

    /// Adds the HTTP routes for other processes and operators.
    pub fn routes(&self, config: &mut ServiceConfig) {
        config
            .state(self.clone())
            .route(VIEW_PATH, web::post().to(view))
            .route(HEARTBEAT_PATH, web::post().to(heartbeat))
            .route(LEAVE_MARK_PATH, web::post().to(leave_mark))
            .route(FLEET_STATUS_PATH, web::get().to(status));
    }

    /// Registers the keeper as leaving, so that its shards move to other keepers.
    pub fn announce_leaving(&self) {
        let _ = self.requests.send(FleetRequest::Leave);
    }

    /// Records whether the store answered a call of this keeper. If the store keeps
    /// failing to answer, the keeper's shards move to other keepers.
    pub fn record_store_call(&self, answered: bool) {
        let _ = self.requests.send(FleetRequest::StoreCall { answered });
    }

    async fn call<R>(&self, request: impl FnOnce(oneshot::Sender<R>) -> FleetRequest) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.requests.send(request(reply)).ok()?;
        answer.await.ok()
    }
}

fn respond<R: Serialize>(answer: Option<R>) -> HttpResponse {
    match answer {
        Some(answer) => message_response(&answer),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn decode<M: DeserializeOwned>(body: &Bytes) -> Result<M, HttpResponse> {
    decode_message(body).map_err(|_| HttpResponse::BadRequest().finish())
}

async fn view(handle: State<FleetHandle>, body: Bytes) -> HttpResponse {
    match decode(&body) {
        Ok(query) => respond(
            handle
                .call(|reply| FleetRequest::Query { query, reply })
                .await,
        ),
        Err(refusal) => refusal,
    }
}

async fn heartbeat(handle: State<FleetHandle>, body: Bytes) -> HttpResponse {
    match decode(&body) {
        Ok(heartbeat) => respond(
            handle
                .call(|reply| FleetRequest::Heartbeat { heartbeat, reply })
                .await,
        ),
        Err(refusal) => refusal,
    }
}

async fn leave_mark(handle: State<FleetHandle>, body: Bytes) -> HttpResponse {
    match decode(&body) {
        Ok(mark) => respond(
            handle
                .call(|reply| FleetRequest::LeaveMark { mark, reply })
                .await,
        ),
        Err(refusal) => refusal,
    }
}

async fn status(handle: State<FleetHandle>) -> HttpResponse {
    match handle.call(|reply| FleetRequest::Status { reply }).await {
        Some(status) => HttpResponse::Ok().json(&status),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}
