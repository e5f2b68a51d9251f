//! Schedules the retries of refused callers.
//!
//! Designed for services whose upstreams accept far fewer requests than arrive: callers that
//! were given the same retry time would be refused together again.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::RequestRate;

/// Longest retry delay given to a caller.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Assigns retry times one after another, at the rate that can be served.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// The last assigned retry time.
    last: Option<Instant>,
}

impl RetrySchedule {
    /// Returns the retry delay of the next caller, where this VM can have requests served at
    /// `rate`, from `first` on.
    ///
    /// A retry time beyond the longest delay is not recorded, so it delays no later caller.
    pub fn next(&mut self, rate: RequestRate, first: Instant, now: Instant) -> Duration {
        let spacing = rate.interval(MAX_RETRY_AFTER);
        let retry_at = self.last.map_or(first, |last| (last + spacing).max(first));
        let wait = retry_at.saturating_duration_since(now);
        if wait >= MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER;
        }
        self.last = Some(retry_at);
        wait
    }
}
