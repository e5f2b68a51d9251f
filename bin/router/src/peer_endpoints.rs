//! HTTP endpoints for other processes of the fleet, on a port that callers cannot reach.

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

/// State shared by the peer endpoints.
#[derive(Clone)]
pub struct PeerState {
    /// This router's incarnation; messages for another incarnation are rejected.
    pub incarnation: IncarnationId,
    /// Sends commands to the control thread.
    pub control: ControlHandle,
}

/// Registers the endpoints for other processes of the fleet.
pub fn peer_routes(config: &mut ServiceConfig, state: &PeerState) {
    config
        .state(state.clone())
        .route(PEER_PATH, web::post().to(receive_message))
        .route(FENCE_PATH, web::post().to(fence))
        .route(RETURN_PATH, web::post().to(recall_tokens));
}

/// Decodes a message and checks that it is addressed to this incarnation.
///
/// Returns 400 if it cannot be decoded and 410 if it is for another incarnation.
fn decode<M: DeserializeOwned>(
    body: &Bytes,
    state: &PeerState,
    receiver: impl Fn(&M) -> &IncarnationId,
) -> Result<M, HttpResponse> {
    let message: M = decode_message(body).map_err(|_| HttpResponse::BadRequest().finish())?;
    match receiver(&message) == &state.incarnation {
        true => Ok(message),
        false => Err(HttpResponse::Gone().finish()),
    }
}

fn respond<M: Serialize>(reply: &M) -> HttpResponse {
    message_response(reply)
}

async fn receive_message(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let envelope = match decode(&body, &state, |envelope: &PeerEnvelope| &envelope.to) {
        Ok(envelope) => envelope,
        Err(refusal) => return refusal,
    };
    state.control.send(ControlCommand::PeerMessage {
        from: envelope.from,
        message: envelope.message,
    });
    respond(&())
}

async fn fence(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let request = match decode(&body, &state, |request: &FenceRequest| &request.router) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let fenced = state
        .control
        .request(|reply| ControlCommand::FenceRequested {
            dead: request.dead,
            reply,
        })
        .await
        .unwrap_or(false);
    respond(&FenceReply { fenced })
}

async fn recall_tokens(state: State<PeerState>, body: Bytes) -> HttpResponse {
    let request = match decode(&body, &state, |request: &ReturnRequest| &request.holder) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    state
        .control
        .send(ControlCommand::RecallRequested(request.budget));
    // Idle tokens are returned by ledger operations, so the reply never carries any.
    let amount = TokenCount::ZERO;
    respond(&ReturnReply { amount })
}
