//! Whether the configuration store answers this process.

use std::time::Duration;
use std::time::Instant;

/// How long calls fail before the store counts as lost.
const STORE_SILENCE: Duration = Duration::from_secs(2);

/// What the last calls to the configuration store tell of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    /// When the first call failed after which none was answered.
    failing_since: Option<Instant>,
}

impl StoreHealth {
    /// Takes in how a call ended.
    pub fn note(&mut self, answered: bool, now: Instant) {
        self.failing_since = match answered {
            true => None,
            false => self.failing_since.or(Some(now)),
        };
    }

    /// Tells whether the store has not answered for some time.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STORE_SILENCE)
    }
}
