//! Tasks that wait for a store that does not answer.

use std::rc::Rc;
use std::time::Duration;

use snipegate_gateway::StoreGate;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest time that a task may be kept from asking: a part of the 3 s in which an
/// accepted change has to be in force.
const BOUND: Duration = Duration::from_millis(2500);

fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn task_goes_on_though_the_one_that_asks_hangs() {
    run_local(async {
        let gate = Rc::new(StoreGate::default());
        let asking = Rc::clone(&gate);
        let hangs = spawn_local(async move {
            asking.wait(Duration::ZERO, 1).await;
            std::future::pending::<()>().await;
        });
        tokio::task::yield_now().await;
        let waited = timeout(BOUND, gate.wait(Duration::ZERO, 1)).await;
        assert!(waited.is_ok());
        hangs.abort();
    });
}

#[test]
fn answer_lets_all_tasks_go_on() {
    run_local(async {
        let gate = Rc::new(StoreGate::default());
        let asking = Rc::clone(&gate);
        let asks = spawn_local(async move {
            asking.wait(Duration::ZERO, 1).await;
            asking.open();
        });
        tokio::task::yield_now().await;
        gate.wait(Duration::ZERO, 1).await;
        asks.await.expect("a task");
    });
}
