//! HTTP routes of the stand-in.

use std::future::pending;
use std::time::Duration;
use std::time::Instant;

use ntex::http::StatusCode;
use ntex::time::sleep;
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Json;
use ntex::web::types::Path;
use ntex::web::types::PayloadConfig;
use ntex::web::types::State;
use snipegate_platform::CLIENT_DATA_CENTRE_HEADER;
use snipegate_platform::CLIENT_VM_HEADER;
use snipegate_platform::ListedVm;
use snipegate_platform::STORE_PATH;
use snipegate_platform::StoreAnswer;
use snipegate_platform::StoreCall;
use snipegate_platform::StoreRevision;
use snipegate_platform::VM_LIST_PATH;
use snipegate_platform::WEIGHT_PATH;
use snipegate_platform::WatchBatch;
use snipegate_platform::WeightInfo;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;

use crate::fault::CallAction;
use crate::fault::FaultChange;
use crate::state::PlatformState;

/// Maximum request body size in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Interval at which a waiting watch checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `Retry-After` value for rate-limited calls, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.1";

/// Registers the platform's routes and those that control the stand-in.
pub fn configure(config: &mut ServiceConfig) {
    config
        .state(PayloadConfig::new(MAX_BODY_BYTES))
        .route(STORE_PATH, web::post().to(store_call))
        .route(VM_LIST_PATH, web::get().to(read_vms))
        .route(VM_LIST_PATH, web::put().to(replace_vms))
        .route(
            &format!("{WEIGHT_PATH}/{{model}}/{{version}}"),
            web::get().to(read_weights),
        )
        .route(
            &format!("{WEIGHT_PATH}/{{model}}/{{version}}"),
            web::put().to(set_weights),
        )
        .route("/fault", web::post().to(change_faults))
        .route("/counts", web::get().to(counts));
}

/// Returns the VM and data centre that the client reports, or empty strings.
fn client_names(request: &HttpRequest) -> [&str; 2] {
    [CLIENT_VM_HEADER, CLIENT_DATA_CENTRE_HEADER].map(|name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    })
}

async fn store_call(
    request: HttpRequest,
    body: Bytes,
    state: State<PlatformState>,
) -> HttpResponse {
    let Ok(call) = rmp_serde::from_slice::<StoreCall>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let client = client_names(&request);
    let revision = state.subscribe();
    let result = state.call(&call, &client);
    let (action, answer) = match (&call, result.action, result.answer) {
        (
            StoreCall::Watch { prefix, after, .. },
            CallAction::Answer,
            Some(StoreAnswer::Batch(batch)),
        ) => {
            let watch = PendingWatch {
                state: &state,
                revision,
                client,
                prefix,
                after: *after,
            };
            let (action, batch) = watch.wait(batch, call.wait()).await;
            (action, Some(StoreAnswer::Batch(batch)))
        }
        (_, action, answer) => (action, answer),
    };
    apply_action(action, result.delay).await.unwrap_or_else(|| {
        match answer.and_then(|answer| rmp_serde::to_vec_named(&answer).ok()) {
            Some(reply) => HttpResponse::Ok()
                .content_type("application/msgpack")
                .body(reply),
            None => HttpResponse::InternalServerError().finish(),
        }
    })
}

/// A watch that waits for changes under its prefix.
struct PendingWatch<'a> {
    state: &'a PlatformState,
    revision: tokio::sync::watch::Receiver<StoreRevision>,
    client: [&'a str; 2],
    prefix: &'a str,
    after: StoreRevision,
}

impl PendingWatch<'_> {
    /// Waits until there are changes, the client's calls fail or `wait` elapses.
    async fn wait(mut self, mut batch: WatchBatch, wait: Duration) -> (CallAction, WatchBatch) {
        let deadline = Instant::now() + wait;
        let mut action = CallAction::Answer;
        while action == CallAction::Answer && batch.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let _ = timeout(remaining.min(LEASE_CHECK_INTERVAL), self.revision.changed()).await;
            (action, batch) = self.state.poll_watch(self.prefix, self.after, &self.client);
        }
        (action, batch)
    }
}

/// Applies the delay and returns the error response, if any.
///
/// Returns `None` if the call should get its regular response. Never returns if
/// the call should get no reply.
async fn apply_action(action: CallAction, delay: Duration) -> Option<HttpResponse> {
    if !delay.is_zero() {
        sleep(delay).await;
    }
    match action {
        CallAction::Answer => None,
        CallAction::LoseReply | CallAction::Vanish => pending().await,
        CallAction::Refuse => Some(HttpResponse::ServiceUnavailable().finish()),
        CallAction::Limit => Some(
            HttpResponse::build(StatusCode::TOO_MANY_REQUESTS)
                .header("retry-after", RETRY_AFTER_SECONDS)
                .finish(),
        ),
    }
}

async fn read_vms(request: HttpRequest, state: State<PlatformState>) -> HttpResponse {
    let (action, delay, listing) = state.read_vms(&client_names(&request));
    apply_action(action, delay)
        .await
        .unwrap_or_else(|| HttpResponse::Ok().json(&listing))
}

async fn replace_vms(vms: Json<Vec<ListedVm>>, state: State<PlatformState>) -> HttpResponse {
    state.replace_vms(vms.into_inner());
    HttpResponse::NoContent().finish()
}

async fn read_weights(
    request: HttpRequest,
    path: Path<(ModelName, String)>,
    state: State<PlatformState>,
) -> HttpResponse {
    let (model, version) = path.into_inner();
    let name = format!("{model}/{version}");
    let (action, delay, bytes) = state.read_weights(&name, &client_names(&request));
    let info = bytes.map(|bytes| WeightInfo {
        model,
        version,
        bytes,
    });
    apply_action(action, delay)
        .await
        .unwrap_or_else(|| HttpResponse::Ok().json(&info))
}

async fn set_weights(
    path: Path<(ModelName, String)>,
    bytes: Json<ByteCount>,
    state: State<PlatformState>,
) -> HttpResponse {
    let (model, version) = path.into_inner();
    state.set_weights(format!("{model}/{version}"), bytes.into_inner());
    HttpResponse::NoContent().finish()
}

async fn change_faults(change: Json<FaultChange>, state: State<PlatformState>) -> HttpResponse {
    state.change_faults(&change);
    HttpResponse::NoContent().finish()
}

async fn counts(state: State<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.counts())
}
