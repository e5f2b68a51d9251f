//! Retry delays of refused callers while upstreams are overloaded.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::RetrySchedule;
use snipegate_types::RequestRate;

const RATE: RequestRate = RequestRate(2.0);

#[test]
fn retries_are_spaced_at_the_served_rate() {
    let start = Instant::now();
    let mut schedule = RetrySchedule::default();
    let mut retries: Vec<Instant> = Vec::new();
    // 10 callers per second for 3 s.
    for number in 0..30 {
        let now = start + Duration::from_millis(100 * number);
        retries.push(now + schedule.next(RATE, now, now));
    }
    let capped = start + Duration::from_secs(10);
    let scheduled: Vec<Instant> = retries
        .into_iter()
        .filter(|retry| *retry < capped)
        .collect();
    assert!(scheduled.len() >= 19);
    for pair in scheduled.windows(2) {
        assert!(pair[1].duration_since(pair[0]) >= Duration::from_millis(500));
    }
}

#[test]
fn first_retry_is_at_the_next_free_send_and_delays_are_bounded() {
    let start = Instant::now();
    let mut schedule = RetrySchedule::default();
    let first = start + Duration::from_millis(300);
    assert_eq!(
        schedule.next(RATE, first, start),
        Duration::from_millis(300)
    );
    assert_eq!(
        schedule.next(RATE, first, start),
        Duration::from_millis(800)
    );
    for _ in 0..100 {
        assert!(schedule.next(RATE, first, start) <= Duration::from_secs(10));
    }
    let later = start + Duration::from_secs(60);
    assert_eq!(schedule.next(RATE, later, later), Duration::ZERO);
}
