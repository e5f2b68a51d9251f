//! Which requests a stopping process still takes.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::LateRequest;
use snipegate_gateway::StopPlan;
use snipegate_gateway::StreamDurations;

const GRACE: Duration = Duration::from_secs(8);

fn request(is_stream: bool, deadline: Instant) -> LateRequest<'static> {
    LateRequest {
        route: "/r/",
        is_stream,
        deadline,
    }
}

#[test]
fn request_is_taken_only_if_its_caller_gives_up_before_the_drain_ends() {
    let now = Instant::now();
    let plan = StopPlan::new(GRACE, now);
    let durations = StreamDurations::default();
    for is_stream in [false, true] {
        let fits = request(is_stream, plan.drained_at);
        assert!(plan.has_time_for(&fits, &durations, now));
        let late = request(is_stream, plan.drained_at + Duration::from_millis(1));
        assert!(!plan.has_time_for(&late, &durations, now));
    }
}

#[test]
fn stream_is_taken_if_recent_ones_of_its_route_would_end_in_time() {
    let now = Instant::now();
    let plan = StopPlan::new(GRACE, now);
    let mut durations = StreamDurations::default();
    durations.record("/other/", Duration::from_secs(1), now);
    let stream = request(true, now + Duration::from_secs(15));
    assert!(!plan.has_time_for(&stream, &durations, now));
    durations.record("/r/", Duration::from_secs(2), now);
    durations.record("/r/", Duration::from_secs(1), now);
    let latest = plan.drained_at - Duration::from_secs(2);
    assert!(plan.has_time_for(&stream, &durations, latest));
    let later = latest + Duration::from_millis(1);
    assert!(!plan.has_time_for(&stream, &durations, later));
    let booking = request(false, now + Duration::from_secs(15));
    assert!(!plan.has_time_for(&booking, &durations, now));
}

#[test]
fn streams_of_long_ago_say_nothing_of_the_present_ones() {
    let now = Instant::now();
    let mut durations = StreamDurations::default();
    durations.record("/r/", Duration::from_secs(5), now);
    let later = now + Duration::from_secs(40);
    assert_eq!(
        durations.longest("/r/", later),
        Some(Duration::from_secs(5))
    );
    durations.record("/r/", Duration::from_secs(1), later);
    assert_eq!(
        durations.longest("/r/", later),
        Some(Duration::from_secs(5))
    );
    let much_later = later + Duration::from_secs(40);
    assert_eq!(
        durations.longest("/r/", much_later),
        Some(Duration::from_secs(1))
    );
    let too_late = much_later + Duration::from_secs(40);
    assert_eq!(durations.longest("/r/", too_late), None);
}

#[test]
fn callers_have_time_to_leave_also_where_the_grace_period_is_short() {
    let now = Instant::now();
    let plan = StopPlan::new(Duration::from_secs(2), now);
    assert!(plan.closing_at > now && plan.closing_at < plan.drained_at);
    assert!(plan.drained_at < now + Duration::from_secs(2));
}
