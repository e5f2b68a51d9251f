//! Exponential back-off between retries.

use std::time::Duration;

/// Doubles the delay with each consecutive failure, up to a maximum.
#[derive(Clone, Debug)]
pub struct BackOff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl BackOff {
    /// Creates a back-off whose delay starts at `initial` and grows up to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Resets the delay after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn failed(&mut self) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        (self.initial * 2_u32.pow(doublings)).min(self.max)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
