//! Retries: conditions for sending a request again, and the retry budget.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::engine;
use common::request;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::FailedAttempt;
use snipegate_routing::RefusalReason;
use snipegate_routing::RetryDecision;
use snipegate_routing::RetryReason;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteTable;
use snipegate_types::ByteCount;
use snipegate_types::ResultCode;

fn table(now: Instant) -> RouteTable {
    let mut table = RouteTable::new(RoutePolicy::default(), 1);
    table.set_upstreams(vec![engine("e0", 8), engine("e1", 8)], now);
    table
}

fn failed(outcome: AttemptOutcome) -> FailedAttempt {
    FailedAttempt {
        outcome,
        bytes_sent_to_caller: ByteCount(0),
        resumable: false,
        attempts: 1,
    }
}

const FAILURES: [AttemptOutcome; 5] = [
    AttemptOutcome::NotConnected,
    AttemptOutcome::RefusedBusy,
    AttemptOutcome::UpstreamFault,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Silent,
];

#[test]
fn non_idempotent_request_is_retried_only_if_it_did_not_run() {
    let now = Instant::now();
    let mut request = request();
    request.idempotent = false;
    for outcome in FAILURES {
        let decision = table(now).decide_retry(&request, &failed(outcome), now);
        let is_retried = matches!(decision, RetryDecision::SendAgain(_));
        assert_eq!(is_retried, outcome.proves_not_run(), "{outcome}");
    }
}

#[test]
fn request_is_not_sent_again_after_caller_received_data() {
    let now = Instant::now();
    for outcome in FAILURES {
        let mut attempt = failed(outcome);
        attempt.bytes_sent_to_caller = ByteCount(1);
        let decision = table(now).decide_retry(&request(), &attempt, now);
        assert!(
            matches!(decision, RetryDecision::GiveUp(_)),
            "{outcome}: {decision:?}"
        );
        attempt.resumable = true;
        let decision = table(now).decide_retry(&request(), &attempt, now);
        assert_eq!(decision, RetryDecision::Resume);
    }
}

#[test]
fn no_retry_after_deadline_or_max_attempts() {
    let now = Instant::now();
    let mut expired = request();
    expired.deadline = Some(now);
    let decision = table(now).decide_retry(&expired, &failed(AttemptOutcome::NotConnected), now);
    let RetryDecision::GiveUp(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.code, ResultCode::DeadlinePassed);
    let mut attempt = failed(AttemptOutcome::NotConnected);
    attempt.attempts = RoutePolicy::default().max_attempts;
    let decision = table(now).decide_retry(&request(), &attempt, now);
    let RetryDecision::GiveUp(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::AttemptsSpent);
}

#[test]
fn retries_are_limited_by_budget() {
    let start = Instant::now();
    let mut table = table(start);
    let policy = RoutePolicy::default();
    let mut retries = 0;
    // All 1,000 requests fail within ten seconds.
    for i in 0..1_000 {
        let now = start + Duration::from_millis(10 * i);
        let attempt = failed(AttemptOutcome::RefusedBusy);
        match table.decide_retry(&request(), &attempt, now) {
            RetryDecision::SendAgain(RetryReason::RefusedBusy) => retries += 1,
            RetryDecision::GiveUp(refusal) => {
                assert_eq!(refusal.code, ResultCode::RetryBudgetSpent);
                assert!(refusal.retry_after.is_some());
            }
            other => panic!("{other:?}"),
        }
    }
    let max_retries = policy.retry_burst + 10.0 * policy.min_retries_per_second;
    assert!(f64::from(retries) <= max_retries + 1.0, "{retries}");
    assert_eq!(
        table.counters().retries[&RetryReason::RefusedBusy],
        u64::try_from(retries).unwrap()
    );
}
