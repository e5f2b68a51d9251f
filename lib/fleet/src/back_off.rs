//! Exponential back-off between retries.

use std::time::Duration;

/// Doubles the delay with each consecutive failure, up to a maximum.
#[derive(Clone, Debug)]
pub struct BackOff {
    initial: Duration,
    max: Duration,
    consecutive_failures: u32,
}

impl BackOff {
    /// Creates a back-off whose delay starts at `initial` and grows up to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            consecutive_failures: 0,
        }
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        (self.initial * 2_u32.pow(doublings)).min(self.max)
    }

    /// Returns the number of consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
