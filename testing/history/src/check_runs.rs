//! Checks the work that ran on upstreams.

use std::time::Duration;

use indexmap::IndexMap;
use snipegate_types::RequestId;

use crate::attempts::AttemptEnd;
use crate::attempts::CallAttempt;
use crate::event::AttemptId;
use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::RequestNature;
use crate::violation::Violation;

/// A piece of work on an upstream.
struct UpstreamWork<'a> {
    upstream: &'a str,
    request: RequestId,
    started_us: u64,
}

fn collect_work(events: &[HistoryEvent]) -> impl Iterator<Item = UpstreamWork<'_>> {
    events.iter().filter_map(|event| match &event.what {
        EventKind::Work {
            upstream,
            request,
            started_us,
        } => Some(UpstreamWork {
            upstream,
            request: *request,
            started_us: *started_us,
        }),
        _ => None,
    })
}

/// Checks that requests refused as not run were not executed.
///
/// Work is accounted for by an attempt of the same request that was sent before
/// the work began and that neither was refused as not run nor failed to connect.
pub(crate) fn check_not_run(
    events: &[HistoryEvent],
    attempts: &IndexMap<AttemptId, CallAttempt>,
    violations: &mut Vec<Violation>,
) {
    let mut by_request: IndexMap<RequestId, Vec<&CallAttempt>> = IndexMap::new();
    for call in attempts.values() {
        by_request.entry(call.request).or_default().push(call);
    }
    for work in collect_work(events) {
        let calls = by_request.get(&work.request);
        let is_accounted_for = calls.into_iter().flatten().any(|call| {
            // Upstreams round start times down to whole milliseconds.
            let latest_start = work.started_us.saturating_add(1_000);
            call.sent_us <= latest_start && !call.is_not_run()
        });
        if !is_accounted_for {
            violations.push(Violation::NotRunButExecuted {
                request: work.request,
                upstream: work.upstream.to_owned(),
            });
        }
    }
}

/// Checks that non-repeatable calls ran at most once.
pub(crate) fn check_single_runs(
    events: &[HistoryEvent],
    attempts: &IndexMap<AttemptId, CallAttempt>,
    violations: &mut Vec<Violation>,
) {
    let mut runs: IndexMap<RequestId, usize> = attempts
        .values()
        .filter(|call| matches!(call.nature, RequestNature::Service { repeatable: false }))
        .map(|call| (call.request, 0))
        .collect();
    for work in collect_work(events) {
        if let Some(count) = runs.get_mut(&work.request) {
            *count += 1;
        }
    }
    for (request, runs) in runs {
        if runs > 1 {
            violations.push(Violation::RanTwice { request, runs });
        }
    }
}

/// Checks that upstreams received no new work later than `allowed` after they
/// were told to leave.
pub(crate) fn check_leaving(
    events: &[HistoryEvent],
    allowed: Duration,
    violations: &mut Vec<Violation>,
) {
    let leaving: IndexMap<&str, u64> = events
        .iter()
        .filter_map(|event| match &event.what {
            EventKind::UpstreamLeaving { upstream } => Some((&**upstream, event.at_us)),
            _ => None,
        })
        .collect();
    for work in collect_work(events) {
        let Some(&since) = leaving.get(work.upstream) else {
            continue;
        };
        let elapsed = Duration::from_micros(work.started_us.saturating_sub(since));
        if elapsed > allowed {
            violations.push(Violation::WorkWhileLeaving {
                upstream: work.upstream.to_owned(),
                request: work.request,
                after_ms: elapsed.as_millis() as u64,
            });
        }
    }
}

/// Checks that planned stops did not interrupt requests in progress.
pub(crate) fn check_stops(
    events: &[HistoryEvent],
    attempts: &IndexMap<AttemptId, CallAttempt>,
    violations: &mut Vec<Violation>,
) {
    let mut deaths: IndexMap<&str, u64> = IndexMap::new();
    let mut stops: IndexMap<&str, u64> = IndexMap::new();
    for event in events {
        match &event.what {
            EventKind::StopPlanned { process } => drop(stops.insert(process, event.at_us)),
            EventKind::ProcessDied { process } => drop(deaths.insert(process, event.at_us)),
            _ => {}
        }
    }
    for (&attempt, call) in attempts {
        let Some(&stop) = stops.get(&*call.router) else {
            continue;
        };
        let interrupted = match &call.end {
            Some((ended, AttemptEnd::Broken)) => call.sent_us < stop && *ended >= stop,
            _ => false,
        };
        if interrupted && !deaths.contains_key(&*call.router) {
            violations.push(Violation::StopCutOff {
                process: call.router.clone(),
                attempt,
            });
        }
    }
}
