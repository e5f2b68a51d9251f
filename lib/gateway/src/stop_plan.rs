//! Decides which requests a stopping process still takes.

use std::time::Duration;
use std::time::Instant;

use crate::stream_durations::StreamDurations;

/// How long a process that shuts down continues to accept requests, so that callers
/// learn to use other addresses.
const LEAVE_DURATION: Duration = Duration::from_millis(2600);

/// Maximum fraction of the grace period for that.
const MAX_LEAVE_FRACTION: f64 = 0.4;

/// Fraction of the grace period in which open requests may still complete.
const DRAIN_FRACTION: f64 = 0.9;

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When idle connections are closed and no more are accepted.
    pub closing_at: Instant,
    /// When requests that are still open are given up.
    pub drained_at: Instant,
}

/// A request that may be sent while the process stops.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest<'a> {
    /// Path prefix of its route.
    pub route: &'a str,
    /// Whether its answer is a stream.
    pub is_stream: bool,
    /// When its caller gives up.
    pub deadline: Instant,
}

impl StopPlan {
    /// Plans a stop that begins now, with this time until the process is killed.
    pub fn new(grace: Duration, now: Instant) -> Self {
        let leave = LEAVE_DURATION.min(grace.mul_f64(MAX_LEAVE_FRACTION));
        Self {
            closing_at: now + leave,
            drained_at: now + grace.mul_f64(DRAIN_FRACTION),
        }
    }

    /// Returns whether a request ends in time if it is sent now: its caller gives up before, or
    /// it is a stream that ends in time if it lasts as long as the recent ones of its route.
    pub fn has_time_for(
        &self,
        request: &LateRequest<'_>,
        durations: &StreamDurations,
        now: Instant,
    ) -> bool {
        if request.deadline <= self.drained_at {
            return true;
        }
        let longest = durations.longest(request.route, now);
        request.is_stream && longest.is_some_and(|longest| now + longest <= self.drained_at)
    }
}
