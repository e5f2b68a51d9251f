//! How long ago the configuration store answered.

use std::time::Duration;
use std::time::Instant;

/// How long a VM without an answer of the store still counts as current.
const CONTACT_SPAN: Duration = Duration::from_secs(7);

/// How long an outage counts as just ended.
const REGAINED_SPAN: Duration = Duration::from_secs(1);

/// Contact with the configuration store.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    answered: Option<Instant>,
    failing_since: Option<Instant>,
    regained_at: Option<Instant>,
}

/// How long calls fail before the store counts as lost.
const LOSS_SPAN: Duration = Duration::from_millis(800);

impl StoreContact {
    /// Makes the state of a process that has not asked yet.
    pub fn new() -> Self {
        Self {
            answered: None,
            failing_since: None,
            regained_at: None,
        }
    }

    /// Notes an answer; returns how long the store was lost, if this ends an outage.
    pub fn note_answer(&mut self, now: Instant) -> Option<Duration> {
        let outage = self.is_lost(now).then(|| self.failing_for(now));
        self.answered = Some(now);
        self.failing_since = None;
        if outage.is_some() {
            self.regained_at = Some(now);
        }
        outage
    }

    /// Notes a call without answer that began at `began`; tells whether it is the
    /// first one that failed.
    ///
    /// An answer that came since the call began is the newer sign and stands.
    pub fn note_failure(&mut self, began: Instant, now: Instant) -> bool {
        if self.answered.is_some_and(|at| at > began) {
            return false;
        }
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        first
    }

    /// Returns for how long calls have failed.
    pub fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Tells whether an outage has just ended.
    pub fn is_regained(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < REGAINED_SPAN;
        self.regained_at.is_some_and(recent)
    }

    /// Tells whether the newest call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Tells whether calls have failed for some time.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) > LOSS_SPAN)
    }

    /// Tells whether what was read can be taken as current.
    pub fn is_current(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < CONTACT_SPAN;
        self.failing_since.is_none() && self.answered.is_some_and(recent)
    }
}

impl Default for StoreContact {
    fn default() -> Self {
        Self::new()
    }
}
