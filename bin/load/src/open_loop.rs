//! Sends requests at their times, whatever became of the ones before.

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

use crate::address_book::AddressBook;
use crate::caller::PreparedRequest;
use crate::caller::RequestCaller;
use crate::caller::TargetKind;
use crate::outcome::RequestEnd;
use crate::outcome::RequestOutcome;
use crate::trace::TraceRecord;

/// What a run needs besides its requests.
pub struct RunPlan {
    /// What the requests are sent to.
    pub kind: TargetKind,
    /// Where they are sent.
    pub addresses: AddressBook,
    /// Keys by workspace.
    pub keys: IndexMap<WorkspaceId, String>,
    /// How many times faster than recorded.
    pub speed: f64,
}

/// Sends all records and returns what became of each, and how long it took.
///
/// The loop is open: a slow answer delays no later request, and each time runs
/// from when a request was meant to be sent.
pub async fn run_open_loop(
    plan: RunPlan,
    records: Vec<TraceRecord>,
) -> (Vec<RequestOutcome>, Duration) {
    let caller = RequestCaller::new(plan.kind).await;
    let addresses = Rc::new(plan.addresses);
    let outcomes = Rc::new(RefCell::new(Vec::with_capacity(records.len())));
    let (ended, ends) = mpsc::channel::<()>();
    let start = SystemClock.now();
    for (index, record) in records.into_iter().enumerate() {
        let intended = start + record.at(plan.speed);
        wait_until(intended).await;
        let request = PreparedRequest {
            record: index,
            intended,
            key: plan.keys.get(&record.workspace).cloned(),
            trace: record,
        };
        let task = send(caller.clone(), addresses.clone(), request);
        let (outcomes, ended) = (outcomes.clone(), ended.clone());
        spawn(async move {
            let outcome = task.await;
            outcomes.borrow_mut().push(outcome);
            drop(ended);
        });
    }
    drop(ended);
    // The channel closes when the last request has ended.
    while ends.recv().await.is_some() {}
    let span = SystemClock.now() - start;
    let mut outcomes = outcomes.take();
    outcomes.sort_by_key(|outcome| outcome.record);
    (outcomes, span)
}

async fn wait_until(intended: Instant) {
    let left = intended.saturating_duration_since(SystemClock.now());
    if !left.is_zero() {
        // The timer of ntex is too coarse for arrival times.
        sleep(left).await;
    }
}

async fn send(
    caller: RequestCaller,
    addresses: Rc<AddressBook>,
    request: PreparedRequest,
) -> RequestOutcome {
    addresses.refresh(SystemClock.now()).await;
    match addresses.next() {
        Some(address) => caller.call(address, request).await,
        None => RequestOutcome {
            record: request.record,
            end: RequestEnd::NotConnected,
            first_token: None,
            between_tokens: Vec::new(),
            total: SystemClock
                .now()
                .saturating_duration_since(request.intended),
            send_delay: Duration::ZERO,
            billed_tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            foreign_text: false,
        },
    }
}
