//! Estimate of how fast a budget is used here.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;
use snipegate_types::TokenRate;

/// An exponentially weighted rate of use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandEstimate {
    rate: f64,
    updated: Instant,
    last_use: Instant,
}

impl DemandEstimate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
            last_use: now,
        }
    }

    /// Records that `tokens` were used.
    pub(crate) fn record(&mut self, tokens: TokenCount, window: Duration, now: Instant) {
        self.rate = self.decayed(window, now) + tokens.0 as f64 / window.as_secs_f64();
        self.updated = now;
        self.last_use = now;
    }

    /// Notes that a request arrived, without any use of tokens yet.
    pub(crate) fn touch(&mut self, now: Instant) {
        self.last_use = now;
    }

    /// Returns the rate of use at `now`.
    pub(crate) fn rate(&self, window: Duration, now: Instant) -> TokenRate {
        TokenRate(self.decayed(window, now))
    }

    /// Returns how long no request has arrived.
    pub(crate) fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_use)
    }

    fn decayed(&self, window: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.rate * (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }
}
