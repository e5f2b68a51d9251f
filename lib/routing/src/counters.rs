//! Counters of choices, refusals and retries.

use indexmap::IndexMap;

use crate::choice::RefusalReason;
use crate::retry::RetryReason;

/// Counters since the process started.
#[derive(Clone, Debug, Default)]
pub struct RouteCounters {
    /// Upstreams chosen, including for retries.
    pub choices: u64,
    /// Number of refusals by reason.
    pub refusals: IndexMap<RefusalReason, u64>,
    /// Number of retries and resumptions by reason.
    pub retries: IndexMap<RetryReason, u64>,
    /// Number of ejections of upstreams.
    pub ejections: u64,
    /// Number of missed cache events, derived from gaps in their sequence numbers.
    pub cache_events_missed: u64,
}

impl RouteCounters {
    pub(crate) fn count_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    pub(crate) fn count_retry(&mut self, reason: RetryReason) {
        *self.retries.entry(reason).or_default() += 1;
    }
}
