//! The stand-in's HTTP paths.

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

use crate::fault::CallFate;
use crate::fault::FaultChange;
use crate::state::PlatformState;

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Longest wait between two looks at the leases, while a watch waits.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Seconds after which a call refused for its rate may be tried again.
const RETRY_AFTER_SECONDS: &str = "0.1";

/// Adds the platform's paths and those that control the stand-in.
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
    let (fate, answer) = match (&call, result.fate, result.answer) {
        (
            StoreCall::Watch { prefix, after, .. },
            CallFate::Answer,
            Some(StoreAnswer::Batch(batch)),
        ) => {
            let watch = WaitingWatch {
                state: &state,
                revision,
                client,
                prefix,
                after: *after,
            };
            let (fate, batch) = watch.wait(batch, call.wait()).await;
            (fate, Some(StoreAnswer::Batch(batch)))
        }
        (_, fate, answer) => (fate, answer),
    };
    settle(fate, result.delay).await.unwrap_or_else(|| {
        match answer.and_then(|answer| rmp_serde::to_vec_named(&answer).ok()) {
            Some(reply) => HttpResponse::Ok()
                .content_type("application/msgpack")
                .body(reply),
            None => HttpResponse::InternalServerError().finish(),
        }
    })
}

/// A watch that is held open until there is something to report.
struct WaitingWatch<'a> {
    state: &'a PlatformState,
    revision: tokio::sync::watch::Receiver<StoreRevision>,
    client: [&'a str; 2],
    prefix: &'a str,
    after: StoreRevision,
}

impl WaitingWatch<'_> {
    async fn wait(mut self, mut batch: WatchBatch, wait: Duration) -> (CallFate, WatchBatch) {
        let deadline = Instant::now() + wait;
        let mut fate = CallFate::Answer;
        while fate == CallFate::Answer && batch.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let _ = timeout(left.min(LEASE_CHECK_INTERVAL), self.revision.changed()).await;
            (fate, batch) = self.state.look(self.prefix, self.after, &self.client);
        }
        (fate, batch)
    }
}

/// Waits out the delay; returns the response unless the call is answered.
async fn settle(fate: CallFate, delay: Duration) -> Option<HttpResponse> {
    if !delay.is_zero() {
        sleep(delay).await;
    }
    match fate {
        CallFate::Answer => None,
        CallFate::LoseReply | CallFate::Vanish => pending().await,
        CallFate::Refuse => Some(HttpResponse::ServiceUnavailable().finish()),
        CallFate::Limit => Some(
            HttpResponse::build(StatusCode::TOO_MANY_REQUESTS)
                .header("retry-after", RETRY_AFTER_SECONDS)
                .finish(),
        ),
    }
}

async fn read_vms(request: HttpRequest, state: State<PlatformState>) -> HttpResponse {
    let (fate, delay, listing) = state.read_vms(&client_names(&request));
    settle(fate, delay)
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
    let (fate, delay, bytes) = state.read_weights(&name, &client_names(&request));
    let info = bytes.map(|bytes| WeightInfo {
        model,
        version,
        bytes,
    });
    settle(fate, delay)
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
