//! Retries to a store that does not answer.

use std::rc::Rc;
use std::time::Duration;

use snipegate_gateway::RetryRole;
use snipegate_gateway::StoreGate;
use snipegate_gateway::longest_pause;
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

/// In an outage of 9 s, 64 VMs asked the store 80 times a second whether it is back. A few are
/// enough, and they have to ask often, since the others learn of the return from them.
#[test]
fn few_vms_probe_for_a_large_fleet() {
    let (vms, probers) = (64, 4);
    let per_second = |count: usize, role| count as f64 / longest_pause(vms, role).as_secs_f64();
    let all = per_second(vms, RetryRole::Each);
    let told = per_second(vms - probers, RetryRole::Told);
    // Those that are told probe by renewals of their leases, at a tenth of the price.
    let paid = per_second(probers, RetryRole::Prober) + told / 10.0;
    assert!(paid < all / 4.0, "{paid} instead of {all}");
    assert!(longest_pause(vms, RetryRole::Prober) <= longest_pause(1, RetryRole::Each));
    assert!(longest_pause(vms, RetryRole::Told) <= BOUND);
}
