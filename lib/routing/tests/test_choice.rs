//! Upstream selection: eligibility, capacity, priorities, deadlines and health.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::engine;
use common::request;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::EngineRole;
use snipegate_routing::LoadReport;
use snipegate_routing::RefusalReason;
use snipegate_routing::RequestPriority;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRefusal;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_routing::UpstreamKind;
use snipegate_routing::UpstreamState;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;

fn table(engines: usize, slots: u32, now: Instant) -> RouteTable {
    let mut table = RouteTable::new(RoutePolicy::default(), 7);
    let specs = (0..engines).map(|i| engine(&format!("e{i}"), slots));
    table.set_upstreams(specs.collect(), now);
    table
}

fn completed() -> AttemptOutcome {
    AttemptOutcome::Completed {
        generated: TokenCount(10),
        cached: None,
    }
}

#[test]
fn leaving_upstream_gets_no_new_requests_and_keeps_outstanding_ones() {
    let now = Instant::now();
    let mut table = table(2, 8, now);
    let choices: Vec<_> = (0..4)
        .map(|_| table.choose(&request(), now).unwrap())
        .collect();
    let mut leaving = engine("e0", 8);
    leaving.state = UpstreamState::Leaving;
    table.set_upstreams(vec![leaving.clone(), engine("e1", 8)], now);
    for _ in 0..5 {
        let choice = table.choose(&request(), now).unwrap();
        assert_eq!(choice.upstream.as_str(), "e1");
    }
    let sent_to_e0 = choices.iter().filter(|c| c.upstream.as_str() == "e0");
    assert_eq!(
        table.pool().status(now)[0].outstanding as usize,
        sent_to_e0.count()
    );
    let mut other_leaving = engine("e1", 8);
    other_leaving.state = UpstreamState::Leaving;
    table.set_upstreams(vec![leaving, other_leaving], now);
    let refusal = table.choose(&request(), now).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AllLeaving);
    assert_eq!(refusal.code, ResultCode::NoUpstream);
}

#[test]
fn lowest_priority_is_shed_first_and_capacity_is_bounded() {
    let now = Instant::now();
    let mut table = table(1, 10, now);
    let mut admitted = [0; 3];
    let order = [
        RequestPriority::Low,
        RequestPriority::Normal,
        RequestPriority::High,
    ];
    for (count, priority) in admitted.iter_mut().zip(order) {
        let request = common::request();
        let request = RouteRequest {
            priority,
            ..request
        };
        while table.choose(&request, now).is_ok() {
            *count += 1;
        }
        let refusal = table.choose(&request, now).unwrap_err();
        let expected = match priority {
            RequestPriority::High => RefusalReason::AllFull,
            _ => RefusalReason::LowPriority,
        };
        assert_eq!(refusal.reason, expected);
        assert!(refusal.retry_after.is_some());
    }
    // 10 batch slots and 5 queued: 70% for low, 90% for normal and all of it for high
    // priority.
    assert_eq!(admitted, [10, 3, 2]);
}

#[test]
fn deadline_that_cannot_be_met_is_refused_at_once() {
    let now = Instant::now();
    let mut table = table(2, 8, now);
    let mut request = request();
    request.deadline = Some(now + Duration::from_millis(20));
    let refusal = table.choose(&request, now).unwrap_err();
    assert_eq!(refusal.code, ResultCode::DeadlineUnmeetable);
    // Even an idle engine is too slow, so a later attempt would not help.
    assert_eq!(refusal.retry_after, None);
    request.deadline = Some(now);
    let refusal = table.choose(&request, now).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    request.deadline = Some(now + Duration::from_secs(30));
    assert!(table.choose(&request, now).is_ok());
}

#[test]
fn failing_upstream_is_ejected_and_probed() {
    let now = Instant::now();
    let mut table = table(4, 8, now);
    let mut sent_to_bad = 0;
    for _ in 0..200 {
        let choice = table.choose(&request(), now).unwrap();
        let bad = choice.upstream.as_str() == "e2";
        sent_to_bad += usize::from(bad);
        let outcome = match bad {
            true => AttemptOutcome::NotConnected,
            false => completed(),
        };
        table.finish_attempt(choice.attempt, outcome, now);
    }
    assert_eq!(sent_to_bad, 3);
    assert_eq!(table.counters().ejections, 1);

    let later = now + Duration::from_millis(1_001);
    let mut probes = 0;
    let mut open = Vec::new();
    for _ in 0..20 {
        let choice = table.choose(&request(), later).unwrap();
        probes += usize::from(choice.upstream.as_str() == "e2");
        open.push(choice);
    }
    assert_eq!(probes, 1, "expected a single probe request");
    for choice in open {
        table.finish_attempt(choice.attempt, completed(), later);
    }
    assert!(!table.pool().status(later)[2].suspect);
}

#[test]
fn at_most_half_of_a_set_is_ejected() {
    let now = Instant::now();
    let mut table = table(4, 8, now);
    for _ in 0..100 {
        let choice = table.choose(&request(), now).unwrap();
        table.finish_attempt(choice.attempt, AttemptOutcome::UpstreamFault, now);
    }
    let suspects = table
        .pool()
        .status(now)
        .iter()
        .filter(|s| s.suspect)
        .count();
    assert_eq!(suspects, 2);
}

#[test]
fn load_report_loses_its_weight_with_age() {
    let now = Instant::now();
    let mut table = table(2, 8, now);
    let busy = LoadReport {
        running: 8,
        queued: 3,
        ..LoadReport::default()
    };
    let idle = LoadReport::default();
    table.record_load_report(&"e0".parse().unwrap(), &busy, now);
    table.record_load_report(&"e1".parse().unwrap(), &idle, now);
    for _ in 0..4 {
        let choice = table.choose(&request(), now).unwrap();
        assert_eq!(choice.upstream.as_str(), "e1");
        table.finish_attempt(choice.attempt, AttemptOutcome::Withdrawn, now);
    }
    let much_later = now + Duration::from_secs(60);
    let to_e0 = (0..40)
        .map(|_| table.choose(&request(), much_later))
        .filter(|c| c.as_ref().is_ok_and(|c| c.upstream.as_str() == "e0"))
        .count();
    assert!(to_e0 > 0, "a stale report must not exclude an upstream");
}

#[test]
fn late_reports_for_removed_upstream_have_no_effect() {
    let now = Instant::now();
    let mut table = table(1, 8, now);
    let choice = table.choose(&request(), now).unwrap();
    table.set_upstreams(vec![engine("f0", 8)], now);
    table.record_first_byte(choice.attempt, now);
    table.finish_attempt(choice.attempt, AttemptOutcome::Silent, now);
    let status = table.pool().status(now);
    assert_eq!((status[0].outstanding, status[0].suspect), (0, false));
    assert_eq!(table.pool().outstanding(), 0);
}

#[test]
fn only_upstreams_that_serve_the_request_are_chosen() {
    let now = Instant::now();
    let mut table = RouteTable::new(RoutePolicy::default(), 7);
    let mut versioned = engine("versioned", 8);
    versioned.models[0].version = Some("2".to_owned());
    let mut adapted = engine("adapted", 8);
    adapted.models[0].adapters = vec!["legal".parse().unwrap()];
    let mut decoder = engine("decoder", 8);
    decoder.role = EngineRole::Decode;
    let mut prefiller = engine("prefiller", 8);
    prefiller.role = EngineRole::Prefill;
    let specs = vec![versioned, adapted, decoder, prefiller];
    table.set_upstreams(specs, now);
    let mut chosen = |request: RouteRequest| {
        let choice = table.choose(&request, now)?;
        table.finish_attempt(choice.attempt, AttemptOutcome::Withdrawn, now);
        Ok::<_, RouteRefusal>(choice.upstream.to_string())
    };
    for _ in 0..20 {
        let version = Some("2".to_owned());
        let request = RouteRequest {
            version,
            ..request()
        };
        assert_eq!(chosen(request).unwrap(), "versioned");
        let adapter = Some("legal".parse().unwrap());
        let request = RouteRequest {
            adapter,
            ..common::request()
        };
        assert_eq!(chosen(request).unwrap(), "adapted");
        let whole = chosen(common::request()).unwrap();
        assert!(["versioned", "adapted"].contains(&whole.as_str()));
    }
    let service = RouteRequest {
        kind: UpstreamKind::ServiceRunner,
        ..common::request()
    };
    let refusal = chosen(service).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NotServed);
    let unknown = RouteRequest {
        model: "other".parse().unwrap(),
        ..common::request()
    };
    assert_eq!(
        chosen(unknown).unwrap_err().reason,
        RefusalReason::NotServed
    );
}
