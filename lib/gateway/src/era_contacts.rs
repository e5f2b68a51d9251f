//! Contact of a process with the eras of the configuration store.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_platform::StoreEra;

/// Maximum time from the store's execution of a call to the arrival of its answer.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of eras that are remembered.
const MAX_ERAS: usize = 64;

/// When the store last answered in each era.
#[derive(Clone, Debug, Default)]
pub struct EraContacts {
    answered_at: IndexMap<StoreEra, Instant>,
}

impl EraContacts {
    /// Records an answer.
    pub fn record(&mut self, era: StoreEra, now: Instant) {
        if self.answered_at.len() >= MAX_ERAS && !self.answered_at.contains_key(&era) {
            self.answered_at.shift_remove_index(0);
        }
        self.answered_at.insert(era, now);
    }

    /// Returns whether a process created at `created_at` knows all grants of its VM that the
    /// store had forgotten when `era` began: the process was there before the oldest copy, of
    /// age `max_copy_age`, from which the store can have come back then.
    pub fn knows_grants_before(
        &self,
        era: StoreEra,
        created_at: Instant,
        max_copy_age: Duration,
    ) -> bool {
        let earlier = self.answered_at.iter().filter(|(seen, _)| **seen < era);
        let last = earlier.map(|(_, at)| *at).max();
        let needed = max_copy_age + MAX_ANSWER_DELAY;
        last.is_some_and(|at| at.saturating_duration_since(created_at) >= needed)
    }
}
