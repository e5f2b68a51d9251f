//! Open-loop execution: sends requests at their scheduled times, regardless of earlier
//! responses.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use ntex::channel::mpsc;
use ntex::rt::spawn;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;
use snipegate_types::WorkspaceId;
use tokio::time::sleep;

use crate::address_pool::AddressPool;
use crate::outcome::RequestOutcome;
use crate::outcome::RequestResult;
use crate::request_sender::PreparedRequest;
use crate::request_sender::RequestSender;
use crate::request_sender::TargetKind;
use crate::trace::TraceRecord;

/// Target and speed of a run.
pub struct RunPlan {
    /// Kind of target.
    pub kind: TargetKind,
    /// Target addresses.
    pub addresses: AddressPool,
    /// API keys by workspace.
    pub api_keys: IndexMap<WorkspaceId, String>,
    /// Replay speed relative to the recorded times.
    pub speed: f64,
}

/// Sends all records and returns their outcomes, in trace order, and the elapsed time.
///
/// The loop is open: a slow response delays no later request. Latencies are measured
/// from the scheduled send time, so that a slow system cannot hide its latency by
/// delaying the load generator.
pub async fn run_open_loop(
    plan: RunPlan,
    records: Vec<TraceRecord>,
) -> (Vec<RequestOutcome>, Duration) {
    let sender = RequestSender::new(plan.kind).await;
    let addresses = Rc::new(plan.addresses);
    let outcomes = Rc::new(RefCell::new(Vec::with_capacity(records.len())));
    let (done_tx, done_rx) = mpsc::channel::<()>();
    let started_at = SystemClock.now();
    for (index, record) in records.into_iter().enumerate() {
        let scheduled_at = started_at + record.send_offset(plan.speed);
        wait_until(scheduled_at).await;
        let request = PreparedRequest {
            record_index: index,
            scheduled_at,
            api_key: plan.api_keys.get(&record.workspace).cloned(),
            record,
        };
        let task = send_to_next(sender.clone(), addresses.clone(), request);
        let (outcomes, done_tx) = (outcomes.clone(), done_tx.clone());
        spawn(async move {
            let outcome = task.await;
            outcomes.borrow_mut().push(outcome);
            drop(done_tx);
        });
    }
    drop(done_tx);
    // The channel closes when the last request has completed.
    while done_rx.recv().await.is_some() {}
    let elapsed = SystemClock.now() - started_at;
    let mut outcomes = outcomes.take();
    outcomes.sort_by_key(|outcome| outcome.record_index);
    (outcomes, elapsed)
}

async fn wait_until(deadline: Instant) {
    let time_left = deadline.saturating_duration_since(SystemClock.now());
    if !time_left.is_zero() {
        // Uses tokio because the ntex timer is too coarse for arrival times.
        sleep(time_left).await;
    }
}

async fn send_to_next(
    sender: RequestSender,
    addresses: Rc<AddressPool>,
    request: PreparedRequest,
) -> RequestOutcome {
    addresses.refresh(SystemClock.now()).await;
    match addresses.next() {
        Some(address) => sender.send(address, request).await,
        None => RequestOutcome {
            record_index: request.record_index,
            result: RequestResult::NotSent,
            first_token: None,
            between_tokens: Vec::new(),
            total: SystemClock
                .now()
                .saturating_duration_since(request.scheduled_at),
            send_delay: Duration::ZERO,
            billed_tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            has_foreign_text: false,
        },
    }
}
