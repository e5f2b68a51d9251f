//! The check reports each kind of violation, and nothing else.

use std::time::Duration;
use std::time::Instant;

use snipegate_soak::ArrivalRecord;
use snipegate_soak::CallKind;
use snipegate_soak::CallOutcome;
use snipegate_soak::CallRecord;
use snipegate_soak::ConfigRecord;
use snipegate_soak::Disturbance;
use snipegate_soak::DrainRecord;
use snipegate_soak::FaultPlan;
use snipegate_soak::RateLimitRecord;
use snipegate_soak::RunRecord;
use snipegate_soak::SoakRecord;
use snipegate_soak::StopRecord;
use snipegate_soak::Violation;
use snipegate_soak::check_record;
use snipegate_standin_site::RatePeriod;
use snipegate_types::RequestRate;

const COMPLETE_STREAM: &[u8] =
    b"id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n";

fn seconds_after(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

fn response(status: u16, id: &str, body: &[u8]) -> CallOutcome {
    CallOutcome::Response {
        status,
        attempt_id: id.to_owned(),
        body: body.to_vec(),
    }
}

fn call(id: &str, kind: CallKind, sent: Instant, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind,
        vm: 0,
        process: 1,
        sent,
        ended: seconds_after(sent, 0.1),
        outcome,
    }
}

fn run(id: &str, kind: CallKind, at: Instant) -> RunRecord {
    RunRecord {
        id: id.to_owned(),
        path: kind.path(),
        upstream: 0,
        at,
    }
}

/// Returns the record of a booking and a generation that succeeded.
fn good_record(start: Instant) -> SoakRecord {
    let sent = seconds_after(start, 1.0);
    let booked = response(200, "b", b"b");
    let streamed = response(200, "s", COMPLETE_STREAM);
    SoakRecord {
        prepaid: 1000,
        calls: vec![
            call("b", CallKind::Booking, sent, booked),
            call("s", CallKind::Stream, sent, streamed),
        ],
        runs: vec![
            run("b", CallKind::Booking, sent),
            run("s", CallKind::Stream, sent),
        ],
        ..SoakRecord::default()
    }
}

#[test]
fn good_record_has_no_violation() {
    assert_eq!(check_record(&good_record(Instant::now())), []);
}

#[test]
fn overspending_is_seen() {
    let mut record = good_record(Instant::now());
    record.prepaid = 999;
    assert_eq!(check_record(&record), [Violation::Overspent(1000)]);
}

#[test]
fn second_run_is_seen() {
    let mut record = good_record(Instant::now());
    record.runs.push(record.runs[0].clone());
    assert_eq!(check_record(&record), [Violation::RanTwice("b".into())]);
}

#[test]
fn refusal_of_what_ran_is_seen() {
    let mut record = good_record(Instant::now());
    record.calls[0].outcome = response(503, "", b"");
    let expected = Violation::RefusedAndRan("b".into());
    assert_eq!(check_record(&record), [expected]);
}

#[test]
fn answer_that_is_not_whole_or_not_the_callers_is_seen() {
    let start = Instant::now();
    for outcome in [
        response(200, "b", b"another"),
        response(200, "another", b"b"),
        response(200, "b", b""),
    ] {
        let mut record = good_record(start);
        record.calls[0].outcome = outcome;
        assert_eq!(check_record(&record), [Violation::WrongAnswer("b".into())]);
    }
    let mut record = good_record(start);
    record.calls[1].outcome = response(200, "s", &COMPLETE_STREAM[..COMPLETE_STREAM.len() - 1]);
    assert_eq!(check_record(&record), [Violation::WrongAnswer("s".into())]);
}

#[test]
fn request_that_nobody_made_is_seen() {
    let mut record = good_record(Instant::now());
    record.runs[0].path = "/read/".into();
    assert_eq!(
        check_record(&record),
        [Violation::UnrequestedRun("b".into())]
    );
    record.runs[0] = run("x", CallKind::Booking, Instant::now());
    assert_eq!(
        check_record(&record),
        [Violation::UnrequestedRun("x".into())]
    );
}

#[test]
fn request_to_a_leaving_upstream_is_seen_unless_something_was_wrong() {
    let start = Instant::now();
    let mut record = good_record(start);
    let late = seconds_after(start, 5.0);
    record.calls[0].sent = late;
    record.runs[0].at = late;
    record.drains.push(DrainRecord {
        upstream: 0,
        from: seconds_after(start, 1.5),
        until: seconds_after(start, 6.0),
    });
    let expected = Violation::SentToLeaving("b".into());
    assert_eq!(check_record(&record), [expected]);
    record.disturbances.push(Disturbance {
        vm: Some(0),
        interrupts_vms: false,
        from: seconds_after(start, 2.0),
        until: seconds_after(start, 2.1),
    });
    assert_eq!(check_record(&record), []);
}

/// Returns a record in which 15 requests reach an upstream in 3 s while it advertises a
/// rate limit of 1.5 requests per second.
fn record_over_rate(start: Instant) -> SoakRecord {
    let mut record = good_record(start);
    let period = RatePeriod {
        rate: RequestRate(1.5),
        from: start,
        until: seconds_after(start, 20.0),
    };
    record.rate_limits.push(RateLimitRecord {
        upstream: 0,
        period,
    });
    for number in 0..16 {
        let id = format!("r{number}");
        // The first request informs the VM of the rate limit.
        let at = if number == 0 {
            1.0
        } else {
            5.0 + f64::from(number) / 5.0
        };
        let sent = seconds_after(start, at);
        let outcome = response(200, &id, id.as_bytes());
        record.calls.push(call(&id, CallKind::Read, sent, outcome));
        record.arrivals.push(ArrivalRecord {
            id,
            upstream: 0,
            at: sent,
            advertises_rate: true,
        });
    }
    record
}

#[test]
fn requests_beyond_a_advertised_rate_are_seen_unless_the_vm_was_away() {
    let start = Instant::now();
    let mut record = record_over_rate(start);
    assert_eq!(
        check_record(&record),
        [Violation::RateLimitExceeded(0, 15, 14)]
    );
    let mut disturbance = Disturbance {
        vm: Some(0),
        interrupts_vms: false,
        from: seconds_after(start, 2.0),
        until: seconds_after(start, 2.1),
    };
    record.disturbances.push(disturbance);
    assert_eq!(
        check_record(&record),
        [Violation::RateLimitExceeded(0, 15, 14)]
    );
    disturbance.interrupts_vms = true;
    record.disturbances.push(disturbance);
    assert_eq!(check_record(&record), []);
}

#[test]
fn request_cut_off_by_a_planned_stop_is_seen() {
    let start = Instant::now();
    let mut record = good_record(start);
    record.calls[0].outcome = CallOutcome::ConnectionLost;
    record.stops.push(StopRecord {
        vm: 0,
        from: seconds_after(start, 0.5),
        until: seconds_after(start, 3.5),
    });
    assert_eq!(check_record(&record), [Violation::CutOff("b".into())]);
}

#[test]
fn older_configuration_is_seen_within_one_process() {
    let start = Instant::now();
    let mut record = good_record(start);
    let kind = CallKind::Probe(7);
    let first = seconds_after(start, 2.0);
    let served = response(200, "p1", b"p1");
    record.calls.push(call("p1", kind, first, served));
    let late = seconds_after(start, 3.0);
    let missing = response(404, "", b"");
    record.calls.push(call("p2", kind, late, missing));
    assert_eq!(check_record(&record), [Violation::Reverted("p2".into())]);
    record.calls[3].process = 2;
    assert_eq!(check_record(&record), []);
}

#[test]
fn configuration_that_is_not_in_force_in_time_is_seen_unless_something_was_wrong() {
    let start = Instant::now();
    let mut record = good_record(start);
    let written = seconds_after(start, 1.0);
    let version = 7;
    record.configs.push(ConfigRecord { version, written });
    let missing = || response(404, "", b"");
    let kind = CallKind::Probe(version);
    let in_time = seconds_after(start, 2.9);
    record.calls.push(call("p1", kind, in_time, missing()));
    assert_eq!(check_record(&record), []);
    let late = seconds_after(start, 3.1);
    record.calls.push(call("p2", kind, late, missing()));
    assert_eq!(check_record(&record), [Violation::NotInForce("p2".into())]);
    record.disturbances.push(Disturbance {
        vm: None,
        interrupts_vms: false,
        from: seconds_after(start, 1.2),
        until: seconds_after(start, 1.5),
    });
    assert_eq!(check_record(&record), []);
}

#[test]
fn vm_that_does_not_recover_is_seen() {
    let mut record = good_record(Instant::now());
    record.not_recovered.push(1);
    assert_eq!(check_record(&record), [Violation::NotRecovered(1)]);
}

#[test]
fn plan_follows_from_its_seed() {
    let span = Duration::from_secs(20);
    let plan = FaultPlan::new(5, 4, 3, span);
    assert_eq!(plan, FaultPlan::new(5, 4, 3, span));
    assert_ne!(plan, FaultPlan::new(6, 4, 3, span));
    assert!(plan.faults.iter().all(|fault| fault.until <= span));
}

/// Returns a record of crashes at each second, and of a call with the crashing part after
/// each.
fn crash_record(start: Instant, kind: CallKind, crashes: usize) -> SoakRecord {
    let mut record = SoakRecord::default();
    for crash in 0..crashes {
        let at = seconds_after(start, crash as f64);
        let id = format!("x-{crash}");
        record.crashes.push(at);
        let outcome = response(502, &id, b"3005 upstream_failed");
        record.calls.push(call(&id, kind, at, outcome));
        record.arrivals.push(ArrivalRecord {
            id,
            upstream: 0,
            at,
            advertises_rate: false,
        });
    }
    record
}

#[test]
fn prompts_that_crash_upstreams_are_found_once_the_fleet_should_know_them() {
    let start = Instant::now();
    // The fifth crash is 4 s after the start, and the first late call 8 s after it.
    assert_eq!(
        check_record(&crash_record(start, CallKind::CrashingPrompt, 11)),
        []
    );
    let mut record = crash_record(start, CallKind::CrashingPrompt, 12);
    assert_eq!(check_record(&record), [Violation::CrashingCallsSent(4)]);
    record.disturbances.push(Disturbance {
        vm: Some(0),
        interrupts_vms: true,
        from: seconds_after(start, 7.5),
        until: seconds_after(start, 8.0),
    });
    assert_eq!(check_record(&record), []);
}

#[test]
fn same_booking_that_crashes_upstreams_is_found_after_fewer_crashes() {
    let start = Instant::now();
    // The third crash is 2 s after the start, and the first late call 6 s after it.
    assert_eq!(
        check_record(&crash_record(start, CallKind::CrashingBooking, 9)),
        []
    );
    let record = crash_record(start, CallKind::CrashingBooking, 10);
    assert_eq!(check_record(&record), [Violation::CrashingCallsSent(4)]);
}

#[test]
fn sound_prompt_that_is_refused_for_its_parts_is_found() {
    let start = Instant::now();
    let mut record = SoakRecord::default();
    let outcome = response(503, "s", b"1017 prompt_quarantined\n");
    record
        .calls
        .push(call("s", CallKind::Stream, start, outcome));
    let expected = [Violation::SoundCallRefused("s".to_owned())];
    assert_eq!(check_record(&record), expected);
}
