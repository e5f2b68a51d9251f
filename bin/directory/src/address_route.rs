//! `GET /v1/addresses`.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use serde_json::json;
use snipegate_fleet::AddressAnswer;
use snipegate_fleet::ViewSubscription;
use snipegate_service::DaemonContext;
use snipegate_service::ProcessState;
use snipegate_types::DataCentre;
use snipegate_types::ResultCode;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;

/// Path of the answer.
const ADDRESS_PATH: &str = "/v1/addresses";
/// Number of addresses where the caller names none.
const DEFAULT_COUNT: usize = 3;
/// Most addresses in an answer.
const MAX_COUNT: usize = 32;
/// When to ask again after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a caller asks.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AddressQuery {
    /// The caller's data centre.
    data_centre: Option<DataCentre>,
    /// How many addresses it wants.
    count: Option<usize>,
    /// A name of its own choice that keeps its order steady; its IP otherwise.
    caller: Option<String>,
}

/// Adds the path.
pub(crate) fn address_routes(config: &mut ServiceConfig, subscription: ViewSubscription) {
    config
        .state(subscription)
        .route(ADDRESS_PATH, web::get().to(addresses));
}

async fn addresses(
    request: HttpRequest,
    subscription: State<ViewSubscription>,
    context: State<DaemonContext>,
) -> HttpResponse {
    let query = match Query::<AddressQuery>::from_query(request.query_string()) {
        Ok(query) => query.into_inner(),
        Err(error) => {
            return refuse(&context, ResultCode::UnknownField, &error.to_string());
        }
    };
    let count = query.count.unwrap_or(DEFAULT_COUNT);
    if !(1..=MAX_COUNT).contains(&count) {
        let message = format!("count: {count} is not accepted, expected 1 to {MAX_COUNT}");
        return refuse(&context, ResultCode::UnknownField, &message);
    }
    if context.state() == ProcessState::Stopping {
        return refuse(&context, ResultCode::Stopping, "this directory is stopping");
    }
    let ip = request.peer_addr().map(|peer| peer.ip().to_string());
    let caller = query.caller.or(ip).unwrap_or_default();
    let view = subscription.view();
    let place = query.data_centre.as_ref();
    match AddressAnswer::choose(&view, place, &caller, count, SystemClock.now()) {
        Some(answer) => respond(&context, &answer),
        None => refuse(
            &context,
            ResultCode::ConfigMissing,
            "no router is known here yet, ask again or ask another directory",
        ),
    }
}

fn respond(context: &DaemonContext, answer: &AddressAnswer) -> HttpResponse {
    context.metrics.count("address.answers");
    let seconds = answer.keep_for_ms / 1_000;
    HttpResponse::Ok()
        .header("cache-control", format!("private, max-age={seconds}"))
        .json(answer)
}

fn refuse(context: &DaemonContext, code: ResultCode, message: &str) -> HttpResponse {
    let reason: &str = code.into();
    context.metrics.count_tagged("address.refusals", reason);
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = HttpResponse::build(status);
    if code.is_retryable() {
        response.header("retry-after", RETRY_AFTER.as_secs().to_string());
    }
    response.json(&json!({
        "error": {
            "code": code.number(),
            "reason": reason,
            "message": message,
        }
    }))
}
