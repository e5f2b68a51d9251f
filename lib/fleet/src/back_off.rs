//! Waits between tries that fail.

use std::time::Duration;

/// Doubles the wait with each failure in a row, up to a limit.
#[derive(Clone, Debug)]
pub struct BackOff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl BackOff {
    /// Makes a back-off that begins at `first` and grows to `longest`.
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure; returns how long to wait.
    pub fn failed(&mut self) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        (self.first * 2_u32.pow(doublings)).min(self.longest)
    }

    /// Returns how many tries have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
