//! Detection of an overloaded VM, and how long it is not ready.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::HoldSchedule;
use snipegate_gateway::LoadSample;
use snipegate_gateway::OverloadCause;
use snipegate_gateway::OverloadState;
use snipegate_gateway::VmCapacity;
use snipegate_types::ByteCount;
use snipegate_types::ByteRate;
use snipegate_types::RequestRate;

const SPAN: Duration = Duration::from_millis(200);

fn capacity() -> VmCapacity {
    VmCapacity {
        link: Some(ByteRate::from_megabits(10.0)),
        cores: 0.1,
        memory: ByteCount(64 << 20),
        descriptors: 1024,
    }
}

/// Returns a sample in which the link received and sent these shares of its rate.
fn sample(received: f64, sent: f64, late_ms: u64) -> LoadSample {
    let link = ByteRate::from_megabits(10.0).0;
    LoadSample {
        span: SPAN,
        received: ByteRate(received * link),
        sent: ByteRate(sent * link),
        streams: ByteRate(0.0),
        requests: RequestRate(100.0),
        lateness: Duration::from_millis(late_ms),
        free_memory: 1.0,
        free_descriptors: 1.0,
    }
}

/// Returns the number of the first sample that shows an overload, and its cause.
fn first_overload(samples: &[LoadSample]) -> Option<(usize, OverloadCause)> {
    let mut state = OverloadState::new(&capacity());
    let start = Instant::now();
    samples.iter().enumerate().find_map(|(number, sample)| {
        let overload = state.record(sample, start + SPAN * number as u32)?;
        Some((number, overload.cause))
    })
}

/// Callers that overload a VM lose requests until it is found to be overloaded.
#[test]
fn full_link_in_one_direction_is_found_within_three_samples() {
    let found = Some((2, OverloadCause::Link));
    assert_eq!(first_overload(&[sample(0.8, 0.1, 0); 5]), found);
    assert_eq!(first_overload(&[sample(0.1, 1.3, 0); 5]), found);
    assert_eq!(first_overload(&[sample(0.7, 0.7, 0); 50]), None);
}

/// Sockets accept bytes faster than the link carries them, so one sample may show little
/// although the link is still busy with what the one before accepted.
#[test]
fn bytes_that_wait_for_the_link_keep_it_busy() {
    let samples = [(1.3, 0.0), (0.6, 0.0), (0.9, 0.0)];
    let samples = samples.map(|(received, sent)| sample(received, sent, 0));
    assert_eq!(first_overload(&samples), Some((2, OverloadCause::Link)));
}

/// A VM that is not ready for a burst that its link carries drives callers away in vain.
#[test]
fn short_burst_is_no_overload() {
    let burst = [1.0, 1.0, 0.1, 0.9, 0.9, 0.5, 2.0, 0.3, 0.2];
    let samples = burst.map(|share| sample(share, 0.2, 0));
    assert_eq!(first_overload(&samples), None);
    let mut paused = [sample(0.1, 0.1, 0); 6];
    paused[1].lateness = Duration::from_secs(3);
    paused[3].lateness = Duration::from_secs(3);
    assert_eq!(first_overload(&paused), None);
}

/// A process that gets too little processor time serves its callers late on a free link. One
/// that has just started has work without callers.
#[test]
fn late_timer_is_an_overload_while_there_are_callers() {
    let found = Some((2, OverloadCause::Processor));
    assert_eq!(first_overload(&[sample(0.1, 0.1, 150); 5]), found);
    assert_eq!(first_overload(&[sample(0.1, 0.1, 90); 5]), None);
    let mut starting = sample(0.1, 0.1, 150);
    starting.requests = RequestRate(0.0);
    assert_eq!(first_overload(&[starting; 5]), None);
}

/// Callers that return overload the VM again: with holds of one length they would do so for
/// as long as the load lasts.
#[test]
fn holds_grow_while_the_overload_recurs() {
    let mut schedule = HoldSchedule::default();
    let mut now = Instant::now();
    let mut next_hold = |pause: u64| {
        now += Duration::from_secs(pause);
        let hold = schedule.begin(now) - now;
        now += hold;
        hold.as_secs()
    };
    let holds: Vec<u64> = (0..7).map(|_| next_hold(20)).collect();
    assert_eq!(holds, [30, 60, 120, 240, 480, 600, 600]);
    assert_eq!(next_hold(301), 30);
}
