//! Which requests count against an advertised rate limit, and how many are allowed.

use std::time::Duration;
use std::time::Instant;

use snipegate_standin_site::RatePeriod;
use snipegate_standin_site::VmEvent;
use snipegate_standin_site::find_rate_excess;
use snipegate_types::RequestRate;

const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Returns a period of 20 s with a limit of 1.5 requests per second, which allows 14
/// requests in a window of 4 s.
fn period(start: Instant) -> RatePeriod {
    RatePeriod {
        rate: RequestRate(1.5),
        from: start,
        until: start + Duration::from_secs(20),
    }
}

fn event(start: Instant, vm: usize, seconds: f64) -> VmEvent {
    let at = start + Duration::from_secs_f64(seconds);
    VmEvent { vm, at }
}

/// Returns requests of two VMs in turn, evenly spaced over `span` seconds after `from`.
fn requests(start: Instant, from: f64, span: f64, count: usize) -> Vec<VmEvent> {
    let step = span / count as f64;
    (0..count)
        .map(|number| event(start, number % 2, from + step * number as f64))
        .collect()
}

#[test]
fn requests_of_all_informed_vms_count_together() {
    let start = Instant::now();
    let advertised = [event(start, 0, 0.0), event(start, 1, 0.0)];
    let check = |arrivals: &[VmEvent]| {
        find_rate_excess(&period(start), PROPAGATION_TIME, &advertised, arrivals)
    };
    assert_eq!(check(&requests(start, 8.0, 3.9, 14)), None);
    let excess =
        check(&requests(start, 8.0, 3.9, 15)).expect("15 requests should exceed the limit of 14");
    assert_eq!((excess.requests, excess.allowed), (15, 14));
}

#[test]
fn requests_outside_the_limited_time_or_of_uninformed_vms_do_not_count() {
    let start = Instant::now();
    let early = requests(start, 0.0, 2.9, 40);
    let late = requests(start, 20.1, 3.0, 40);
    let all = [early, late].concat();
    let advertised = [event(start, 0, 0.0), event(start, 1, 0.0)];
    assert_eq!(
        find_rate_excess(&period(start), PROPAGATION_TIME, &advertised, &all),
        None
    );
    let arrivals = requests(start, 8.0, 3.9, 28);
    let one_informed = [event(start, 0, 0.0), event(start, 1, 11.5)];
    assert_eq!(
        find_rate_excess(&period(start), PROPAGATION_TIME, &one_informed, &arrivals),
        None
    );
    let both_informed = [event(start, 0, 0.0), event(start, 1, 7.4)];
    assert!(
        find_rate_excess(&period(start), PROPAGATION_TIME, &both_informed, &arrivals).is_some()
    );
}
