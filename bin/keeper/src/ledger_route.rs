//! HTTP routes of the ledger: operation batches from routers, budget status for
//! operators.

use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Path;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use snipegate_ledger::BUDGETS_PATH;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerBatch;
use snipegate_service::DaemonContext;
use snipegate_service::decode_message;
use snipegate_service::message_response;
use snipegate_types::BudgetId;
use snipegate_types::ShardId;

use crate::control_handle::ControlHandle;

/// Maximum size of a batch in bytes, since its records must fit into one segment.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Query parameters of a budget read.
#[derive(Debug, Deserialize)]
struct BudgetQuery {
    shard: ShardId,
}

/// Registers the routes of the ledger.
pub(crate) fn ledger_routes(config: &mut ServiceConfig, control: ControlHandle) {
    config
        .state(control)
        .route(LEDGER_PATH, web::post().to(submit_batch))
        .route(
            &format!("{BUDGETS_PATH}/{{budget}}"),
            web::get().to(read_budget),
        );
}

async fn read_budget(
    control: State<ControlHandle>,
    budget: Path<BudgetId>,
    query: Query<BudgetQuery>,
) -> HttpResponse {
    let budget = budget.into_inner();
    match control.read_budget(query.shard, budget).await {
        Some(Some(status)) => HttpResponse::Ok().json(&status),
        Some(None) => HttpResponse::NotFound().finish(),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn submit_batch(
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
    let answer = control.submit_batch(batch).await;
    message_response(&answer)
}
