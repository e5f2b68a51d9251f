//! The control state of a router, by event.

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

const TWO: [(&str, &str); 2] = [("e1", "up"), ("e2", "up")];

#[test]
fn a_request_is_admitted_sent_and_billed_once() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut verdict = fixture.complete(admission.handle, 40);
    assert_eq!(verdict.try_recv(), Ok(BillVerdict::Safe(TokenCount(40))));
    let mut again = fixture.complete(admission.handle, 40);
    assert_eq!(again.try_recv(), Ok(BillVerdict::Unsafe));
    assert_eq!(fixture.billed(), 40);
    assert_eq!(fixture.control.open_count(), 0);
}

#[test]
fn a_second_run_of_a_request_costs_what_the_first_did() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    for used in [40, 55] {
        let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
        let mut verdict = fixture.complete(admission.handle, used);
        assert_eq!(verdict.try_recv(), Ok(BillVerdict::Safe(TokenCount(40))));
    }
    assert_eq!(fixture.billed(), 40);
}

#[test]
fn use_beyond_the_reservation_is_billed_up_to_it() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(100);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut verdict = fixture.complete(admission.handle, 5_000);
    assert_eq!(verdict.try_recv(), Ok(BillVerdict::Safe(TokenCount(100))));
}

#[test]
fn an_exhausted_budget_refuses_as_not_run_with_a_time_to_come_back() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(50);
    let mut answer = fixture.admit(1, 100);
    fixture.pass(Duration::from_secs(1));
    let refusal = answer.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::BudgetExhausted);
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
    assert_eq!(fixture.control.open_count(), 0);
}

#[test]
fn a_ledger_out_of_reach_refuses_within_the_wait_limit() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    fixture.link = LedgerLink::Down;
    let mut answer = fixture.admit(1, 100);
    assert!(answer.try_recv().is_err(), "it waits first");
    fixture.pass(Duration::from_secs(1));
    let refusal = answer.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::BudgetUnreachable);
    assert_eq!(refusal.run, RunState::NotRun);
}

#[test]
fn without_configuration_or_with_an_old_one_nothing_is_served() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    fixture.pass(Duration::from_secs(30));
    let refusal = fixture.admit(1, 100).try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::ConfigStale);
    fixture.show(&TWO);
    assert!(fixture.admit(2, 100).try_recv().unwrap().is_ok());
}

#[test]
fn limits_of_a_workspace_are_kept_and_given_back() {
    let mut fixture = ControlFixture::new(&TWO);
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
fn a_failed_attempt_goes_to_another_upstream() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let order = fixture
        .fail(admission.handle, AttemptOutcome::ConnectionLost, 0)
        .unwrap();
    assert_ne!(order.upstream, admission.order.upstream);
    assert!(!order.resume);
    let order = fixture
        .fail(admission.handle, AttemptOutcome::ConnectionLost, 12)
        .unwrap();
    assert!(order.resume, "bytes have reached the caller");
}

#[test]
fn run_state_of_a_given_up_request_is_true() {
    for (outcome, run) in [
        (AttemptOutcome::NotConnected, RunState::NotRun),
        (AttemptOutcome::RefusedBusy, RunState::NotRun),
        (AttemptOutcome::Silent, RunState::Unknown),
        (AttemptOutcome::ConnectionLost, RunState::Unknown),
    ] {
        let mut fixture = ControlFixture::new(&TWO);
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
        let again = fixture.admit(2, 1_000).try_recv().unwrap();
        assert!(again.is_ok(), "its reservation is free again");
    }
}

#[test]
fn one_attempt_that_may_have_run_makes_the_whole_request_unknown() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    let mut next = fixture.fail(admission.handle, AttemptOutcome::Silent, 0);
    while next.is_ok() {
        next = fixture.fail(admission.handle, AttemptOutcome::NotConnected, 0);
    }
    assert_eq!(next.unwrap_err().run, RunState::Unknown);
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(100_000);
    fixture.show(&[("e1", "leaving"), ("e2", "up")]);
    for number in 0..50 {
        let admission = fixture.admit(number, 100).try_recv().unwrap().unwrap();
        assert_eq!(admission.order.upstream.as_str(), "e2");
        fixture.complete(admission.handle, 1);
    }
}

#[test]
fn a_caller_that_goes_after_a_part_pays_for_it_and_before_pays_nothing() {
    for (used, billed) in [(Some(TokenCount(30)), 30), (None, 0)] {
        let mut fixture = ControlFixture::new(&TWO);
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
fn a_caller_that_goes_while_it_waits_leaves_nothing_open() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    fixture.link = LedgerLink::Down;
    drop(fixture.admit(1, 100));
    fixture.link = LedgerLink::Up;
    fixture.pass(Duration::from_secs(1));
    assert_eq!(fixture.control.open_count(), 0);
    assert_eq!(fixture.control.outstanding_attempts(), 0);
}

#[test]
fn a_stopping_router_takes_nothing_new_and_ends_what_is_open() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    let admission = fixture.admit(1, 100).try_recv().unwrap().unwrap();
    fixture.send(ControlCommand::Stop);
    let refusal = fixture.admit(2, 100).try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.code, ResultCode::Stopping);
    let mut verdict = fixture.complete(admission.handle, 40);
    assert_eq!(verdict.try_recv(), Ok(BillVerdict::Safe(TokenCount(40))));
}

#[test]
fn decisions_can_be_explained() {
    let mut fixture = ControlFixture::new(&TWO);
    fixture.top_up(1_000);
    let admission = fixture.admit(7, 100).try_recv().unwrap().unwrap();
    fixture.complete(admission.handle, 5);
    let (reply, mut answer) = oneshot::channel();
    fixture.send(ControlCommand::Explain {
        request: RequestId::from_number(7),
        reply,
    });
    let decisions = answer.try_recv().unwrap();
    let sent = format!("sent to {}", admission.order.upstream);
    assert!(decisions.iter().any(|record| record.decision == sent));
}

#[test]
fn a_router_never_confirms_its_own_death() {
    let mut fixture = ControlFixture::new(&TWO);
    let (reply, mut answer) = oneshot::channel();
    fixture.send(ControlCommand::FenceAsked {
        dead: "vm-1/router/1".parse().unwrap(),
        reply,
    });
    assert_eq!(answer.try_recv(), Ok(false));
}
