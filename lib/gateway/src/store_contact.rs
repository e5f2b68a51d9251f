//! Tracks whether the configuration store answers.

use std::time::Duration;
use std::time::Instant;

/// How long data read from the store counts as current after the last answer.
const CURRENT_TIMEOUT: Duration = Duration::from_secs(7);

/// How long after an outage it counts as just ended.
const REGAINED_PERIOD: Duration = Duration::from_secs(1);

/// State of the contact with the configuration store.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    last_answer_at: Option<Instant>,
    failing_since: Option<Instant>,
    regained_at: Option<Instant>,
}

/// How long calls have to fail before the store counts as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(800);

impl StoreContact {
    /// Creates the state before the first call.
    pub fn new() -> Self {
        Self {
            last_answer_at: None,
            failing_since: None,
            regained_at: None,
        }
    }

    /// Records an answer. Returns the duration of the outage that it ends, if any.
    pub fn record_answer(&mut self, now: Instant) -> Option<Duration> {
        let outage = self.is_lost(now).then(|| self.failing_for(now));
        self.last_answer_at = Some(now);
        self.failing_since = None;
        if outage.is_some() {
            self.regained_at = Some(now);
        }
        outage
    }

    /// Records the failure of a call that started at `began`. Returns whether it is the
    /// first failure since the last answer.
    ///
    /// The failure is ignored if another call was answered after `began`, because that
    /// answer is more recent evidence.
    pub fn record_failure(&mut self, began: Instant, now: Instant) -> bool {
        if self.last_answer_at.is_some_and(|at| at > began) {
            return false;
        }
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        first
    }

    /// Returns how long calls have been failing.
    pub fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether an outage has just ended.
    pub fn is_regained(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < REGAINED_PERIOD;
        self.regained_at.is_some_and(recent)
    }

    /// Returns whether calls are failing at present.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether calls have been failing for long enough that the store counts as
    /// lost.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) > LOSS_TIMEOUT)
    }

    /// Returns whether data read from the store counts as current.
    pub fn is_current(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < CURRENT_TIMEOUT;
        self.failing_since.is_none() && self.last_answer_at.is_some_and(recent)
    }
}

impl Default for StoreContact {
    fn default() -> Self {
        Self::new()
    }
}
