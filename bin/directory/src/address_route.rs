//! The route `GET /v1/addresses`, which returns router addresses to callers.

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

/// Path of the route.
const ADDRESS_PATH: &str = "/v1/addresses";
/// Number of addresses returned if the request does not specify a count.
const DEFAULT_COUNT: usize = 3;
/// Maximum number of addresses in a response.
const MAX_COUNT: usize = 32;
/// Value of `Retry-After` in retryable error responses.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Query parameters of the route.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AddressQuery {
    /// The caller's data centre.
    data_centre: Option<DataCentre>,
    /// The number of addresses to return.
    count: Option<usize>,
    /// A name chosen by the caller, which keeps the order of its addresses stable.
    /// Defaults to its IP address.
    caller: Option<String>,
}

/// Registers the route.
pub(crate) fn address_routes(config: &mut ServiceConfig, subscription: ViewSubscription) {
    config
        .state(subscription)
        .route(ADDRESS_PATH, web::get().to(get_addresses));
}

async fn get_addresses(
    request: HttpRequest,
    subscription: State<ViewSubscription>,
    context: State<DaemonContext>,
) -> HttpResponse {
    let query = match Query::<AddressQuery>::from_query(request.query_string()) {
        Ok(query) => query.into_inner(),
        Err(error) => {
            return error_response(&context, ResultCode::UnknownField, &error.to_string());
        }
    };
    let count = query.count.unwrap_or(DEFAULT_COUNT);
    if !(1..=MAX_COUNT).contains(&count) {
        let message = format!("count: {count} is not accepted, expected 1 to {MAX_COUNT}");
        return error_response(&context, ResultCode::UnknownField, &message);
    }
    if context.state() == ProcessState::Stopping {
        return error_response(&context, ResultCode::Stopping, "this directory is stopping");
    }
    let ip = request.peer_addr().map(|peer| peer.ip().to_string());
    let caller = query.caller.or(ip).unwrap_or_default();
    let view = subscription.view();
    let data_centre = query.data_centre.as_ref();
    match AddressAnswer::choose(&view, data_centre, &caller, count, SystemClock.now()) {
        Some(answer) => address_response(&context, &answer),
        None => error_response(
            &context,
            ResultCode::ConfigMissing,
            "no router is known here yet, ask again or ask another directory",
        ),
    }
}

fn address_response(context: &DaemonContext, answer: &AddressAnswer) -> HttpResponse {
    context.metrics.count("address.answers");
    let seconds = answer.keep_for_ms / 1_000;
    HttpResponse::Ok()
        .header("cache-control", format!("private, max-age={seconds}"))
        .json(answer)
}

fn error_response(context: &DaemonContext, code: ResultCode, message: &str) -> HttpResponse {
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
