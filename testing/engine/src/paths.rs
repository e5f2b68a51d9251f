//! HTTP routes of the stand-in.

use std::time::Instant;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Json;
use ntex::web::types::Path;
use ntex::web::types::PayloadConfig;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::chat::REQUEST_ID_HEADER;
use crate::chat::complete_chat;
use crate::chat::header;
use crate::fault::FaultChange;
use crate::order::EngineOrder;
use crate::order::OrderReply;
use crate::record::WorkKind;
use crate::record::WorkState;
use crate::state::EngineState;

/// Maximum request body size in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Header with the idempotency key of a service call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

/// Registers the upstream's routes and those that control the stand-in.
pub fn configure(config: &mut ServiceConfig) {
    config
        .state(PayloadConfig::new(MAX_BODY_BYTES))
        .state(web::types::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/v1/chat/completions", web::post().to(complete_chat))
        .route("/services/{name}", web::post().to(call_service))
        .route("/load", web::get().to(load))
        .route("/cache-events", web::get().to(cache_events))
        .route("/orders", web::post().to(submit_order))
        .route("/orders", web::get().to(list_orders))
        .route("/leave", web::post().to(leave))
        .route("/fault", web::post().to(change_faults))
        .route("/records", web::get().to(records));
}

async fn call_service(
    request: HttpRequest,
    name: Path<String>,
    _body: Bytes,
    state: State<EngineState>,
) -> HttpResponse {
    let (silent, refused) = {
        let inner = state.lock();
        (inner.faults.silent, inner.faults.refuse)
    };
    if silent {
        std::future::pending::<()>().await;
    }
    if refused {
        return HttpResponse::ServiceUnavailable().json(&json!({"error": "refused"}));
    }
    let key = header(&request, IDEMPOTENCY_KEY_HEADER);
    let (record_index, duration, confirmation, lost) = {
        let mut inner = state.lock();
        let id = header(&request, REQUEST_ID_HEADER);
        // The call takes effect here, whether or not the answer arrives.
        let record_index = inner.record_start(WorkKind::Service, id, key, 0);
        let duration =
            inner.faults.scale_duration(inner.settings.service_time) + inner.faults.next_jitter();
        (
            record_index,
            duration,
            inner.next_confirmation(),
            inner.faults.take_lost_answer(),
        )
    };
    let guard = ServiceCallGuard {
        state: state.get_ref().clone(),
        record_index,
    };
    sleep(duration).await;
    if lost {
        std::future::pending::<()>().await;
    }
    guard
        .state
        .lock()
        .record_end(record_index, WorkState::Complete);
    let upstream = state.lock().settings.name.clone();
    HttpResponse::Ok().json(&json!({
        "service": *name,
        "confirmation": format!("{upstream}-{confirmation}"),
        "key": key,
    }))
}

/// Records a call as cancelled if its handler is dropped before completion.
struct ServiceCallGuard {
    state: EngineState,
    record_index: usize,
}

impl Drop for ServiceCallGuard {
    fn drop(&mut self) {
        self.state
            .lock()
            .record_end(self.record_index, WorkState::Cancelled);
    }
}

async fn load(state: State<EngineState>) -> HttpResponse {
    if state.lock().faults.silent {
        std::future::pending::<()>().await;
    }
    let report = state.lock().lagged_load_report(Instant::now());
    HttpResponse::Ok().json(&report)
}

async fn cache_events(query: Query<EventQuery>, state: State<EngineState>) -> HttpResponse {
    let events = state.lock().cache.events_after(query.after, Instant::now());
    HttpResponse::Ok().json(&json!({ "events": events }))
}

async fn submit_order(order: Json<EngineOrder>, state: State<EngineState>) -> HttpResponse {
    let reply = state.lock().orders.accept(order.into_inner());
    let status = match reply {
        OrderReply::Done => StatusCode::OK,
        OrderReply::Fenced { .. } => StatusCode::CONFLICT,
    };
    HttpResponse::build(status).json(&reply)
}

async fn list_orders(state: State<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().orders.executed())
}

async fn leave(leaving: Json<bool>, state: State<EngineState>) -> HttpResponse {
    state.lock().set_leaving(*leaving);
    HttpResponse::NoContent().finish()
}

async fn change_faults(change: Json<FaultChange>, state: State<EngineState>) -> HttpResponse {
    if change.die {
        std::process::exit(1);
    }
    state.change_faults(&change);
    HttpResponse::NoContent().finish()
}

async fn records(state: State<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().records())
}
