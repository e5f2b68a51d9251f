//! Estimate of a budget's token rate on this router.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;
use snipegate_types::TokenRate;

/// An exponentially decaying average of the rate of use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandEstimate {
    rate: f64,
    updated: Instant,
    last_request: Instant,
}

impl DemandEstimate {
    /// Creates an estimate of zero.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
            last_request: now,
        }
    }

    /// Records the use of `tokens`, averaged over `window`.
    pub(crate) fn record(&mut self, tokens: TokenCount, window: Duration, now: Instant) {
        self.rate = self.decayed(window, now) + tokens.0 as f64 / window.as_secs_f64();
        self.updated = now;
        self.last_request = now;
    }

    /// Records the arrival of a request, which has used no tokens yet.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.last_request = now;
    }

    /// Returns the estimated rate at `now`.
    pub(crate) fn rate(&self, window: Duration, now: Instant) -> TokenRate {
        TokenRate(self.decayed(window, now))
    }

    /// Returns the time since the last request.
    pub(crate) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_request)
    }

    fn decayed(&self, window: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.rate * (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }
}
