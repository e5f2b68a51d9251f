//! Counts of refusals and retries by reason.

use indexmap::IndexMap;

use crate::choice::RefusalReason;
use crate::retry::RetryReason;

/// Counts since the process started.
#[derive(Clone, Debug, Default)]
pub struct RouteCounters {
    /// Choices made, retries included.
    pub choices: u64,
    /// Refusals by reason.
    pub refusals: IndexMap<RefusalReason, u64>,
    /// Retries and resumptions by reason.
    pub retries: IndexMap<RetryReason, u64>,
    /// Times that an upstream was ejected.
    pub ejections: u64,
    /// Cache events that were missed, by their sequence numbers.
    pub cache_events_missed: u64,
}

impl RouteCounters {
    pub(crate) fn refused(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    pub(crate) fn retried(&mut self, reason: RetryReason) {
        *self.retries.entry(reason).or_default() += 1;
    }
}
