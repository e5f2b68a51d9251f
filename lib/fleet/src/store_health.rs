//! Tracking of whether the configuration store is reachable.

use std::time::Duration;
use std::time::Instant;

/// Time without an answered call after which the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The health of the configuration store, judged by the latest calls to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    /// When the first call failed since the last answered one.
    failing_since: Option<Instant>,
}

impl StoreHealth {
    /// Records whether a call was answered.
    pub fn record_call(&mut self, answered: bool, now: Instant) {
        self.failing_since = match answered {
            true => None,
            false => self.failing_since.or(Some(now)),
        };
    }

    /// Returns whether the store has not answered for at least [`STORE_TIMEOUT`].
    pub fn is_lost(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STORE_TIMEOUT)
    }
}
