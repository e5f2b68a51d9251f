//! Tests of the router's control state, driven by commands.

mod common;

use std::time::Duration;

use snipegate_router::command::BillVerdict;
use snipegate_router::command::ControlCommand;
use snipegate_routing::AttemptOutcome;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::RunState;
use snipegate_types::TokenCount;
use tokio::sync::oneshot;

use crate::common::ControlFixture;
use crate::common::LedgerLink;

const TWO_UPSTREAMS: [(&str, &str); 2] = [("e1", "up"), ("e2", "up")];

#[test]
fn completed_request_is_billed_once() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut verdict = fixture.complete(admission.handle, 40);
    assert_eq!(verdict.try_recv(), Ok(BillVerdict::Durable(TokenCount(40))));
    let mut second_verdict = fixture.complete(admission.handle, 40);
    assert_eq!(second_verdict.try_recv(), Ok(BillVerdict::NotDurable));
    assert_eq!(fixture.billed(), 40);
    assert_eq!(fixture.control.open_count(), 0);
}

#[test]
fn rerun_of_request_is_billed_as_the_first_run() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    for used in [40, 55] {
        let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
        let mut verdict = fixture.complete(admission.handle, used);
        assert_eq!(verdict.try_recv(), Ok(BillVerdict::Durable(TokenCount(40))));
    }
    assert_eq!(fixture.billed(), 40);
}

#[test]
fn usage_above_reservation_is_billed_up_to_the_reservation() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(100);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut verdict = fixture.complete(admission.handle, 5_000);
    assert_eq!(
        verdict.try_recv(),
        Ok(BillVerdict::Durable(TokenCount(100)))
    );
}

#[test]
fn exhausted_budget_refuses_as_not_run_with_retry_delay() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(50);
    let mut receiver = fixture.admit(1, 100);
    fixture.advance(Duration::from_secs(1));
    let refusal = receiver.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::BudgetExhausted);
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
    assert_eq!(fixture.control.open_count(), 0);
}

#[test]
fn unreachable_ledger_refuses_within_the_wait_limit() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    fixture.link = LedgerLink::Down;
    let mut receiver = fixture.admit(1, 100);
    assert!(
        receiver.try_recv().is_err(),
        "the request waits for the ledger first"
    );
    fixture.advance(Duration::from_secs(1));
    let refusal = receiver.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::BudgetUnreachable);
    assert_eq!(refusal.run, RunState::NotRun);
}

#[test]
fn stale_configuration_refuses_requests_until_it_is_renewed() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    fixture.advance(Duration::from_secs(30));
    let refusal = fixture.admit(1, 100).try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::ConfigStale);
    fixture.set_upstreams(&TWO_UPSTREAMS);
    assert!(fixture.admit(2, 100).try_recv().unwrap().is_ok());
}

#[test]
fn workspace_concurrency_limit_is_enforced_and_released() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(10_000);
    let first = fixture.admit(1, 10).try_recv().unwrap().unwrap();
    let _second = fixture.admit(2, 10).try_recv().unwrap().unwrap();
    let refusal = fixture.admit(3, 10).try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::WorkspaceLimited);
    fixture.send(ControlCommand::Abandon {
        handle: first.handle,
        used: None,
    });
    assert!(fixture.admit(4, 10).try_recv().unwrap().is_ok());
}

#[test]
fn failed_attempt_is_retried_on_another_upstream() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let target = fixture
        .fail(admission.handle, AttemptOutcome::ConnectionLost, 0)
        .unwrap();
    assert_ne!(target.upstream, admission.target.upstream);
    assert!(!target.resume);
    let target = fixture
        .fail(admission.handle, AttemptOutcome::ConnectionLost, 12)
        .unwrap();
    assert!(target.resume, "bytes were already sent to the caller");
}

#[test]
fn refusal_after_failed_attempts_reports_run_state() {
    for (outcome, run) in [
        (AttemptOutcome::NotConnected, RunState::NotRun),
        (AttemptOutcome::RefusedBusy, RunState::NotRun),
        (AttemptOutcome::Silent, RunState::Unknown),
        (AttemptOutcome::ConnectionLost, RunState::Unknown),
    ] {
        let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
        fixture.top_up(1_000);
        let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
        let refusal = loop {
            if let Err(refusal) = fixture.fail(admission.handle, outcome, 0) {
                break refusal;
            }
        };
        assert_eq!(refusal.run, run, "after {outcome}");
        assert_eq!(fixture.control.open_count(), 0);
        assert_eq!(fixture.billed(), 0);
        let next = fixture.admit(2, 1_000).try_recv().unwrap();
        assert!(next.is_ok(), "the reservation was released");
    }
}

#[test]
fn run_state_is_unknown_if_any_attempt_may_have_run() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut next = fixture.fail(admission.handle, AttemptOutcome::Silent, 0);
    while next.is_ok() {
        next = fixture.fail(admission.handle, AttemptOutcome::NotConnected, 0);
    }
    assert_eq!(next.unwrap_err().run, RunState::Unknown);
}

#[test]
fn leaving_upstream_gets_no_new_requests() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(100_000);
    fixture.set_upstreams(&[("e1", "leaving"), ("e2", "up")]);
    for number in 0..50 {
        let admission = fixture.admit(number, 100).try_recv().unwrap().unwrap();
        assert_eq!(admission.target.upstream.as_str(), "e2");
        fixture.complete(admission.handle, 1);
    }
}

#[test]
fn abandoned_request_is_billed_only_for_tokens_received() {
    for (used, billed) in [(Some(TokenCount(30)), 30), (None, 0)] {
        let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
        fixture.top_up(1_000);
        let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
        fixture.send(ControlCommand::Abandon {
            handle: admission.handle,
            used,
        });
        assert_eq!(fixture.billed(), billed);
        assert_eq!(fixture.control.open_count(), 0);
    }
}

#[test]
fn caller_disconnect_while_waiting_leaves_nothing_open() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    fixture.link = LedgerLink::Down;
    drop(fixture.admit(1, 100));
    fixture.link = LedgerLink::Up;
    fixture.advance(Duration::from_secs(1));
    assert_eq!(fixture.control.open_count(), 0);
    assert_eq!(fixture.control.outstanding_attempts(), 0);
}

#[test]
fn stopping_router_refuses_new_requests_and_completes_open_ones() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    fixture.send(ControlCommand::Stop);
    let refusal = fixture.admit(2, 100).try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::Stopping);
    let mut verdict = fixture.complete(admission.handle, 40);
    assert_eq!(verdict.try_recv(), Ok(BillVerdict::Durable(TokenCount(40))));
}

#[test]
fn explain_returns_recorded_decisions() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    fixture.top_up(1_000);
    let admission = fixture.admit(7, 100).try_recv().unwrap().unwrap();
    fixture.complete(admission.handle, 5);
    let (reply, mut receiver) = oneshot::channel();
    fixture.send(ControlCommand::Explain {
        request: RequestId::from_number(7),
        reply,
    });
    let decisions = receiver.try_recv().unwrap();
    let sent = format!("sent to {}", admission.target.upstream);
    assert!(decisions.iter().any(|record| record.decision == sent));
}

#[test]
fn router_never_confirms_its_own_death() {
    let mut fixture = ControlFixture::new(&TWO_UPSTREAMS);
    let (reply, mut receiver) = oneshot::channel();
    fixture.send(ControlCommand::FenceRequested {
        dead: "vm-1/router/1".parse().unwrap(),
        reply,
    });
    assert_eq!(receiver.try_recv(), Ok(false));
}
