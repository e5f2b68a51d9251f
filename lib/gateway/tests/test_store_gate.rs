//! Retries to a store that does not answer.

use std::rc::Rc;
use std::time::Duration;

use snipegate_gateway::StoreGate;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest time that a task may be kept from retrying. It is part of the 3 s within which
/// an accepted change has to be in force.
const BOUND: Duration = Duration::from_millis(2500);

fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn waiting_task_proceeds_although_the_retrying_task_hangs() {
    run_local(async {
        let gate = Rc::new(StoreGate::default());
        let retry_gate = Rc::clone(&gate);
        let retrying = spawn_local(async move {
            retry_gate.wait(Duration::ZERO, 1).await;
            std::future::pending::<()>().await;
        });
        tokio::task::yield_now().await;
        let waited = timeout(BOUND, gate.wait(Duration::ZERO, 1)).await;
        assert!(waited.is_ok());
        retrying.abort();
    });
}

#[test]
fn answer_releases_waiting_tasks() {
    run_local(async {
        let gate = Rc::new(StoreGate::default());
        let retry_gate = Rc::clone(&gate);
        let retrying = spawn_local(async move {
            retry_gate.wait(Duration::ZERO, 1).await;
            retry_gate.open();
        });
        tokio::task::yield_now().await;
        gate.wait(Duration::ZERO, 1).await;
        retrying.await.expect("a task");
    });
}
