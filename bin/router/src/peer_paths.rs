//! The paths of the fleet's own processes, on a port that callers don't reach.

use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipegate_ledger::FENCE_PATH;
use snipegate_ledger::FenceReply;
use snipegate_ledger::FenceRequest;
use snipegate_ledger::RETURN_PATH;
use snipegate_ledger::ReturnReply;
use snipegate_ledger::ReturnRequest;
use snipegate_service::decode_message;
use snipegate_service::message_response;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

use crate::command::ControlCommand;
use crate::command::ControlHandle;
use crate::driver::PEER_PATH;
use crate::driver::PeerEnvelope;

/// What the paths need.
#[derive(Clone)]
pub struct PeerState {
    /// This run of the router; messages for another are not taken.
    pub own: IncarnationId,
    /// The way to the control thread.
    pub control: ControlHandle,
}

/// Adds the paths of the fleet's own processes.
pub fn peer_routes(config: &mut ServiceConfig, state: &PeerState) {
    config
        .state(state.clone())
        .route(PEER_PATH, web::post().to(peer))
        .route(FENCE_PATH, web::post().to(fence))
        .route(RETURN_PATH, web::post().to(give_back));
}

/// Decodes a message that is meant for this run of the router.
fn decode<M: DeserializeOwned>(
    body: &Bytes,
    state: &PeerState,
    receiver: impl Fn(&M) -> &IncarnationId,
) -> Result<M, HttpResponse> {
    let message: M = decode_message(body).map_err(|_| HttpResponse::BadRequest().finish())?;
    match receiver(&message) == &state.own {
        true => Ok(message),
        false => Err(HttpResponse::Gone().finish()),
    }
}

fn respond<M: Serialize>(reply: &M) -> HttpResponse {
    message_response(reply)
}

async fn peer(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let envelope = match decode(&body, &state, |envelope: &PeerEnvelope| &envelope.to) {
        Ok(envelope) => envelope,
        Err(refusal) => return refusal,
    };
    state.control.send(ControlCommand::PeerSaid {
        from: envelope.from,
        message: envelope.message,
    });
    respond(&())
}

async fn fence(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let order = match decode(&body, &state, |order: &FenceRequest| &order.router) {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    let fenced = state
        .control
        .ask(|reply| ControlCommand::FenceAsked {
            dead: order.dead,
            reply,
        })
        .await
        .unwrap_or(false);
    respond(&FenceReply { fenced })
}

async fn give_back(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let order = match decode(&body, &state, |order: &ReturnRequest| &order.holder) {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    state
        .control
        .send(ControlCommand::RecallAsked(order.budget));
    // What is idle is returned through the ledger, which is where it counts.
    let amount = TokenCount::ZERO;
    respond(&ReturnReply { amount })
}
