//! Checks whether a fleet obeyed a rate limit that a runner advertised.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::RequestRate;

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which the requests in a window may exceed the advertised rate.
const EXCESS_FACTOR: f64 = 1.5;

/// Number of requests allowed in a window on top of [`EXCESS_FACTOR`].
const EXCESS_REQUESTS: f64 = 5.0;

/// Minimum time between a VM forwarding a response that advertises the rate limit and a
/// request of this VM, for the request to count.
const MIN_NOTICE: Duration = Duration::from_millis(500);

/// A period in which a runner advertised a rate limit in each of its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePeriod {
    /// The advertised rate.
    pub rate: RequestRate,
    /// Time of the first response that advertised it.
    pub from: Instant,
    /// Time of the last response that advertised it.
    pub until: Instant,
}

/// The time at which a VM's request reached the runner, or the VM forwarded a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmEvent {
    /// Index of the VM.
    pub vm: usize,
    /// Time of the request or response.
    pub at: Instant,
}

/// A window that holds more requests than the rate limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateExcess {
    /// End of the window.
    pub at: Instant,
    /// Number of requests in the window.
    pub requests: usize,
    /// Number of requests that are allowed in a window.
    pub allowed: usize,
}

/// Returns the window with the most requests if it exceeds the rate limit.
///
/// The limit applies once `propagation_time` has passed since the first response of the
/// period. `advertised` holds the responses with the limit that VMs forwarded, and
/// `arrivals` the requests that reached the runner. The caller must leave out VMs whose
/// excess is excused.
pub fn find_rate_excess(
    period: &RatePeriod,
    propagation_time: Duration,
    advertised: &[VmEvent],
    arrivals: &[VmEvent],
) -> Option<RateExcess> {
    let applies_from = period.from + propagation_time;
    let is_informed = |arrival: &VmEvent| {
        advertised
            .iter()
            .any(|response| response.vm == arrival.vm && response.at + MIN_NOTICE <= arrival.at)
    };
    let mut counted: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| arrival.at >= applies_from && arrival.at <= period.until)
        .filter(|arrival| is_informed(arrival))
        .map(|arrival| arrival.at)
        .collect();
    counted.sort();
    let allowed = period.rate.0 * WINDOW.as_secs_f64() * EXCESS_FACTOR + EXCESS_REQUESTS;
    let allowed = allowed as usize;
    let requests_until = |at: &Instant| {
        let start = counted.partition_point(|other| *other + WINDOW < *at);
        let end = counted.partition_point(|other| other <= at);
        end - start
    };
    let (requests, at) = counted.iter().map(|at| (requests_until(at), *at)).max()?;
    (requests > allowed).then_some(RateExcess {
        at,
        requests,
        allowed,
    })
}
