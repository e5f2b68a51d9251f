//! The path on which ledger batches come in.

use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerBatch;
use snipegate_service::DaemonContext;
use snipegate_service::decode_message;
use snipegate_service::message_response;

use crate::ledger_control::ControlHandle;

/// Largest batch, in bytes: its records have to fit one segment.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Adds the path.
pub(crate) fn ledger_routes(config: &mut ServiceConfig, control: ControlHandle) {
    config
        .state(control)
        .route(LEDGER_PATH, web::post().to(ledger));
}

async fn ledger(
    control: State<ControlHandle>,
    context: State<DaemonContext>,
    body: Bytes,
) -> HttpResponse {
    if body.len() > MAX_BATCH_BYTES {
        context.metrics.count("ledger.batch_too_large");
        return HttpResponse::PayloadTooLarge().finish();
    }
    let Ok(batch) = decode_message::<LedgerBatch>(&body) else {
        context.metrics.count("ledger.batch_malformed");
        return HttpResponse::BadRequest().finish();
    };
    let answer = control.decide(batch).await;
    message_response(&answer)
}
