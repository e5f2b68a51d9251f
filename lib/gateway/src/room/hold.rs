//! How long an overloaded VM stays not ready.

use std::time::Duration;
use std::time::Instant;

/// Shortest hold. Callers that stick to a VM return as soon as it is ready, and if they
/// overload it again, their requests fail until they have left it.
const MIN_HOLD: Duration = Duration::from_secs(30);

/// Longest hold.
const MAX_HOLD: Duration = Duration::from_secs(600);

/// An overload within this time after a hold shows that the hold was too short.
const RECURRENCE_PERIOD: Duration = Duration::from_secs(300);

/// Lengthens the holds of a VM whose overload recurs.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldSchedule {
    last: Option<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    duration: Duration,
    until: Instant,
}

impl HoldSchedule {
    /// Begins a hold, and returns when it ends.
    pub fn begin(&mut self, now: Instant) -> Instant {
        let duration = match self.last {
            Some(last) if now < last.until + RECURRENCE_PERIOD => (last.duration * 2).min(MAX_HOLD),
            _ => MIN_HOLD,
        };
        let until = now + duration;
        self.last = Some(Hold { duration, until });
        until
    }
}
