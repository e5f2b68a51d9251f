//! Checks the record of a run for violations, from what callers and upstreams observed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use snipegate_standin_site::RatePeriod;
use snipegate_standin_site::VmEvent;
use snipegate_standin_site::find_rate_excess;

use crate::callers::CallKind;
use crate::callers::CallOutcome;
use crate::callers::CallRecord;
use crate::plan::DRAIN_PROPAGATION_TIME;
use crate::plan::RATE_LIMIT_PROPAGATION_TIME;

/// How long a disturbance or stop still excuses violations after it has ended.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time after which a configuration that was written must be in force on all VMs.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Time after a process first served a configuration in which it may still use an older
/// one.
const REVERT_TOLERANCE: Duration = Duration::from_millis(250);

/// Crashes after which the fleet must know the prompt part that causes them.
const TOLERATED_CRASHES_OF_PART: usize = 5;

/// Crashes after which the fleet must know the request that causes them.
const TOLERATED_CRASHES_OF_REQUEST: usize = 3;

/// Time after the last of these crashes until VMs in contact must know the cause.
const CRASH_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Crashing calls that VMs in contact may still send then.
const TOLERATED_CRASHING_CALLS: usize = 3;

/// Starts of the bodies of refusals because of what crashed upstreams.
const QUARANTINE_CODES: [&[u8]; 2] = [b"1017 ", b"1018 "];

/// The body of a complete stream.
pub const WHOLE_STREAM: &str =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n";

/// Number of prompt tokens of a generation.
pub const PROMPT_TOKENS: u64 = 1000;

/// A request that an upstream executed.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The attempt's id.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// Index of the upstream.
    pub upstream: usize,
    /// When it arrived.
    pub at: Instant,
}

/// A request that reached an upstream, whether it ran or not.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// The attempt's id.
    pub id: String,
    /// Index of the upstream.
    pub upstream: usize,
    /// When it arrived.
    pub at: Instant,
    /// Whether the response advertises a rate limit.
    pub advertises_rate: bool,
}

/// A period in which an upstream advertised a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitRecord {
    /// Index of the upstream.
    pub upstream: usize,
    /// The rate limit and its period.
    pub period: RatePeriod,
}

/// A period in which an upstream was draining.
#[derive(Clone, Copy, Debug)]
pub struct DrainRecord {
    /// Index of the upstream.
    pub upstream: usize,
    /// When its entry in the store changed to draining.
    pub from: Instant,
    /// When the drain ended.
    pub until: Instant,
}

/// A configuration that the operator wrote.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRecord {
    /// The version.
    pub version: u64,
    /// When it was written to the store.
    pub written: Instant,
}

/// A graceful stop of a process.
#[derive(Clone, Copy, Debug)]
pub struct StopRecord {
    /// Index of the VM.
    pub vm: usize,
    /// When the stop was requested.
    pub from: Instant,
    /// When the process had ended.
    pub until: Instant,
}

/// A period in which a fault was injected.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Index of the affected VM, or `None` if all are affected.
    pub vm: Option<usize>,
    /// Whether VMs were restarted, paused or cut off.
    pub interrupts_vms: bool,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakRecord {
    /// Number of tokens that the workspace has bought.
    pub prepaid: u64,
    /// Calls and their outcomes.
    pub calls: Vec<CallRecord>,
    /// Requests that upstreams executed.
    pub runs: Vec<RunRecord>,
    /// Configurations that the operator wrote.
    pub configs: Vec<ConfigRecord>,
    /// Drains of upstreams.
    pub drains: Vec<DrainRecord>,
    /// Requests that reached upstreams.
    pub arrivals: Vec<ArrivalRecord>,
    /// Rate limits that upstreams advertised.
    pub rate_limits: Vec<RateLimitRecord>,
    /// Graceful stops of processes.
    pub stops: Vec<StopRecord>,
    /// Injected faults, without planned work.
    pub disturbances: Vec<Disturbance>,
    /// When calls crashed upstreams.
    pub crashes: Vec<Instant>,
    /// VMs that did not serve the newest configuration after the recovery time.
    pub not_recovered: Vec<usize>,
}

/// A guarantee that a run violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The executed generations cost more tokens than were bought; holds their cost.
    Overspent(u64),
    /// A request that may run at most once ran more often.
    RanTwice(String),
    /// A request was refused as not run although it ran.
    RefusedAndRan(String),
    /// A successful response is incomplete or belongs to another request.
    WrongAnswer(String),
    /// An upstream executed a request that no caller made, or one with another path.
    UnrequestedRun(String),
    /// A leaving upstream executed a new request.
    SentToLeaving(String),
    /// An upstream got more requests than its rate limit allows. Holds the upstream, the
    /// requests in 4 s and the allowed number.
    RateLimitExceeded(usize, usize, usize),
    /// More calls that crash upstreams were sent than the fleet may send once it should know
    /// what they have in common; holds their number.
    CrashingCallsSent(usize),
    /// A sound call was refused as if it crashed upstreams.
    SoundCallRefused(String),
    /// A graceful stop cut off a request.
    CutOff(String),
    /// A configuration was not in force in time.
    NotInForce(String),
    /// A process reverted to an older configuration.
    Reverted(String),
    /// A VM did not serve the newest configuration after the recovery time.
    NotRecovered(usize),
}

/// Returns all violations in the record of a run.
pub fn check_record(record: &SoakRecord) -> Vec<Violation> {
    let calls: BTreeMap<&str, &CallRecord> = record
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call))
        .collect();
    let mut violations = Vec::new();
    check_budget(record, &mut violations);
    check_runs(record, &calls, &mut violations);
    check_responses(record, &mut violations);
    check_drains(record, &calls, &mut violations);
    check_rate_limits(record, &calls, &mut violations);
    check_crashes(record, &calls, &mut violations);
    check_stops(record, &mut violations);
    check_versions(record, &mut violations);
    check_in_force(record, &mut violations);
    let not_recovered = record.not_recovered.iter().copied();
    violations.extend(not_recovered.map(Violation::NotRecovered));
    violations
}

/// Checks the budget. Each execution of a generation costs at least its prompt.
fn check_budget(record: &SoakRecord, violations: &mut Vec<Violation>) {
    let path = CallKind::Stream.path();
    let streams = record.runs.iter().filter(|run| run.path == path).count();
    let spent = streams as u64 * PROMPT_TOKENS;
    if spent > record.prepaid {
        violations.push(Violation::Overspent(spent));
    }
}

fn check_runs(
    record: &SoakRecord,
    calls: &BTreeMap<&str, &CallRecord>,
    violations: &mut Vec<Violation>,
) {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for run in &record.runs {
        *counts.entry(&run.id).or_default() += 1;
        if calls
            .get(run.id.as_str())
            .is_none_or(|call| call.kind.path() != run.path)
        {
            violations.push(Violation::UnrequestedRun(run.id.clone()));
        }
    }
    for call in record.calls.iter().filter(|call| call.kind.runs_once()) {
        let count = counts.get(call.id.as_str()).copied().unwrap_or_default();
        if count > 1 {
            violations.push(Violation::RanTwice(call.id.clone()));
        }
        let refused =
            matches!(call.outcome, CallOutcome::Response { status, .. } if is_refusal(status));
        if refused && count > 0 {
            violations.push(Violation::RefusedAndRan(call.id.clone()));
        }
    }
}

/// Returns whether a status means that the request has not run and will not run.
fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn check_responses(record: &SoakRecord, violations: &mut Vec<Violation>) {
    for call in &record.calls {
        let CallOutcome::Response {
            status: 200,
            attempt_id,
            body,
        } = &call.outcome
        else {
            continue;
        };
        let expected = match call.kind {
            CallKind::Stream | CallKind::CrashingPrompt => WHOLE_STREAM,
            _ => &call.id,
        };
        if *attempt_id != call.id || body != expected.as_bytes() {
            violations.push(Violation::WrongAnswer(call.id.clone()));
        }
    }
}

fn check_drains(
    record: &SoakRecord,
    calls: &BTreeMap<&str, &CallRecord>,
    violations: &mut Vec<Violation>,
) {
    for drain in &record.drains {
        let late_runs = record.runs.iter().filter(|run| {
            run.upstream == drain.upstream
                && run.at > drain.from + DRAIN_PROPAGATION_TIME
                && run.at < drain.until
        });
        for run in late_runs {
            let is_violation = calls.get(run.id.as_str()).is_some_and(|call| {
                call.sent > drain.from && !is_disturbed(record, call.vm, drain.from, run.at)
            });
            if is_violation {
                violations.push(Violation::SentToLeaving(run.id.clone()));
            }
        }
    }
}

fn check_rate_limits(
    record: &SoakRecord,
    calls: &BTreeMap<&str, &CallRecord>,
    violations: &mut Vec<Violation>,
) {
    for rate_limit in &record.rate_limits {
        let mut advertised: Vec<VmEvent> = Vec::new();
        let mut arrivals: Vec<VmEvent> = Vec::new();
        for arrival in record
            .arrivals
            .iter()
            .filter(|a| a.upstream == rate_limit.upstream)
        {
            let Some(call) = calls.get(arrival.id.as_str()) else {
                continue;
            };
            let vm = call.vm;
            if is_interrupted(record, vm, rate_limit.period.from, arrival.at) {
                continue;
            }
            arrivals.push(VmEvent { vm, at: arrival.at });
            if arrival.advertises_rate
                && matches!(call.outcome, CallOutcome::Response { status: 200, .. })
            {
                advertised.push(VmEvent { vm, at: call.ended });
            }
        }
        if let Some(excess) = find_rate_excess(
            &rate_limit.period,
            RATE_LIMIT_PROPAGATION_TIME,
            &advertised,
            &arrivals,
        ) {
            let violation =
                Violation::RateLimitExceeded(rate_limit.upstream, excess.requests, excess.allowed);
            violations.push(violation);
        }
    }
}

/// Checks that VMs in contact stop sending calls that crash upstreams, and refuse no others.
fn check_crashes(
    record: &SoakRecord,
    calls: &BTreeMap<&str, &CallRecord>,
    violations: &mut Vec<Violation>,
) {
    let is_quarantined = |call: &&CallRecord| {
        matches!(&call.outcome, CallOutcome::Response { body, .. }
            if QUARANTINE_CODES.iter().any(|code| body.starts_with(code)))
    };
    let sound = record.calls.iter().filter(|call| !call.kind.is_crashing());
    let refused = sound.filter(is_quarantined);
    violations.extend(refused.map(|call| Violation::SoundCallRefused(call.id.clone())));
    let is_request = |call: &CallRecord| call.kind == CallKind::CrashingBooking;
    let tolerated = match record.calls.iter().any(is_request) {
        true => TOLERATED_CRASHES_OF_REQUEST,
        false => TOLERATED_CRASHES_OF_PART,
    };
    let Some(last_tolerated) = record.crashes.get(tolerated - 1) else {
        return;
    };
    let known_from = *last_tolerated + CRASH_PROPAGATION_TIME;
    let late = record.arrivals.iter().filter(|arrival| {
        let call = calls.get(arrival.id.as_str());
        call.is_some_and(|call| {
            call.kind.is_crashing()
                && arrival.at > known_from
                && !is_interrupted(record, call.vm, call.sent, arrival.at)
        })
    });
    let late = late.count();
    if late > TOLERATED_CRASHING_CALLS {
        violations.push(Violation::CrashingCallsSent(late));
    }
}

/// Returns whether a VM was restarted, paused or cut off in this period or up to
/// [`SETTLE_TIME`] before.
fn is_interrupted(record: &SoakRecord, vm: usize, from: Instant, until: Instant) -> bool {
    let has_stop = record
        .stops
        .iter()
        .any(|stop| stop.vm == vm && stop.from <= until && stop.until + SETTLE_TIME >= from);
    let has_fault = record
        .disturbances
        .iter()
        .any(|disturbance| disturbance.interrupts_vms && disturbance.affects(vm, from, until));
    has_stop || has_fault
}

fn check_stops(record: &SoakRecord, violations: &mut Vec<Violation>) {
    for stop in &record.stops {
        let cut_off = record.calls.iter().filter(|call| {
            call.vm == stop.vm
                && call.outcome == CallOutcome::ConnectionLost
                && call.sent < stop.until
                && call.ended > stop.from
        });
        for call in cut_off {
            let has_run = record.runs.iter().any(|run| run.id == call.id);
            if has_run && !is_disturbed(record, stop.vm, stop.from, call.ended) {
                violations.push(Violation::CutOff(call.id.clone()));
            }
        }
    }
}

fn check_versions(record: &SoakRecord, violations: &mut Vec<Violation>) {
    // When each process first served each version.
    let mut first_served: BTreeMap<(usize, usize, u64), Instant> = BTreeMap::new();
    for call in &record.calls {
        if let (CallKind::Probe(version), CallOutcome::Response { status, .. }) =
            (call.kind, &call.outcome)
            && *status == 200
        {
            let key = (call.vm, call.process, version);
            let first = first_served.entry(key).or_insert(call.ended);
            *first = (*first).min(call.ended);
        }
    }
    for call in &record.calls {
        if let (CallKind::Probe(version), CallOutcome::Response { status, .. }) =
            (call.kind, &call.outcome)
            && *status == 404
            && first_served
                .get(&(call.vm, call.process, version))
                .is_some_and(|first| call.sent > *first + REVERT_TOLERANCE)
        {
            violations.push(Violation::Reverted(call.id.clone()));
        }
    }
}

/// Checks that each configuration is in force in time. Each version adds a route that
/// older versions don't have.
fn check_in_force(record: &SoakRecord, violations: &mut Vec<Violation>) {
    let written: BTreeMap<u64, Instant> = record
        .configs
        .iter()
        .map(|config| (config.version, config.written))
        .collect();
    for call in &record.calls {
        let (CallKind::Probe(version), CallOutcome::Response { status: 404, .. }) =
            (call.kind, &call.outcome)
        else {
            continue;
        };
        let is_due = written
            .get(&version)
            .is_some_and(|written| call.sent > *written + CONFIG_PROPAGATION_TIME);
        if is_due && !is_disturbed(record, call.vm, call.sent, call.ended) {
            violations.push(Violation::NotInForce(call.id.clone()));
        }
    }
}

/// Returns whether a fault affected a VM in this period or up to [`SETTLE_TIME`] before.
fn is_disturbed(record: &SoakRecord, vm: usize, from: Instant, until: Instant) -> bool {
    let mut disturbances = record.disturbances.iter();
    disturbances.any(|disturbance| disturbance.affects(vm, from, until))
}

impl Disturbance {
    /// Returns whether this affected a VM in this period or up to [`SETTLE_TIME`] before.
    fn affects(&self, vm: usize, from: Instant, until: Instant) -> bool {
        self.vm.is_none_or(|disturbed| disturbed == vm)
            && self.from <= until
            && self.until + SETTLE_TIME >= from
    }
}
