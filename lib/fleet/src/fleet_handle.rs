//! The side of a [`FleetService`](crate::FleetService) that other threads hold,
//! and its HTTP paths.

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

/// Path of heartbeats between keepers.
pub const HEARTBEAT_PATH: &str = "/heartbeat";
/// Path of orders that an upstream leaves, given past the store.
pub const LEAVE_MARK_PATH: &str = "/leave-mark";
/// Path of a keeper's status for operators.
pub const FLEET_STATUS_PATH: &str = "/fleet";

/// A question to the control thread.
pub(crate) enum FleetRequest {
    Query {
        query: ViewQuery,
        reply: oneshot::Sender<ViewReply>,
    },
    Beat {
        beat: Heartbeat,
        reply: oneshot::Sender<Heartbeat>,
    },
    Mark {
        mark: LeaveMark,
        reply: oneshot::Sender<bool>,
    },
    Status {
        reply: oneshot::Sender<FleetStatus>,
    },
    StoreCalled {
        answered: bool,
    },
    Leave,
}

/// Reaches a keeper's [`FleetService`](crate::FleetService) from any thread.
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

    /// Returns the channel on which views are published.
    pub fn views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Returns what has been seen of the VM list, to ask for proofs of death.
    pub fn deaths(&self) -> Arc<DeathWatch> {
        self.deaths.borrow().clone()
    }

    /// Adds the paths that other processes and operators call.
    pub fn routes(&self, config: &mut ServiceConfig) {
        config
            .state(self.clone())
            .route(VIEW_PATH, web::post().to(view))
            .route(HEARTBEAT_PATH, web::post().to(heartbeat))
            .route(LEAVE_MARK_PATH, web::post().to(leave_mark))
            .route(FLEET_STATUS_PATH, web::get().to(status));
    }

    /// Has the keeper registered as leaving, so that its shards go to others.
    pub fn announce_leaving(&self) {
        let _ = self.requests.send(FleetRequest::Leave);
    }

    /// Tells whether the store answered a call of this keeper, so that its
    /// shards go to others where it does not.
    pub fn note_store_call(&self, answered: bool) {
        let _ = self.requests.send(FleetRequest::StoreCalled { answered });
    }

    async fn ask<R>(&self, request: impl FnOnce(oneshot::Sender<R>) -> FleetRequest) -> Option<R> {
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
                .ask(|reply| FleetRequest::Query { query, reply })
                .await,
        ),
        Err(refusal) => refusal,
    }
}

async fn heartbeat(handle: State<FleetHandle>, body: Bytes) -> HttpResponse {
    match decode(&body) {
        Ok(beat) => respond(handle.ask(|reply| FleetRequest::Beat { beat, reply }).await),
        Err(refusal) => refusal,
    }
}

async fn leave_mark(handle: State<FleetHandle>, body: Bytes) -> HttpResponse {
    match decode(&body) {
        Ok(mark) => respond(handle.ask(|reply| FleetRequest::Mark { mark, reply }).await),
        Err(refusal) => refusal,
    }
}

async fn status(handle: State<FleetHandle>) -> HttpResponse {
    match handle.ask(|reply| FleetRequest::Status { reply }).await {
        Some(status) => HttpResponse::Ok().json(&status),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}
