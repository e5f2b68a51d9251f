//! The evacuated data centres that a VM knows.
//!
//! Each state of a data centre has the position in the store up to which it is known to hold; the
//! highest position wins, whoever told of it and in whatever order. A listing or a watch
//! completes the knowledge up to its own position. What another VM tells of a position up to
//! there is not news.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreRevision;
use snipegate_types::DataCentre;

use crate::gossip::ANNOUNCE_PERIOD;

/// After the store came back from an older copy, an evacuation ends once the store has lacked its
/// key for this time. Operators write missing keys again within it.
const RETURN_PERIOD: Duration = Duration::from_secs(2);

/// Number of data centres from which on those that are not evacuated are forgotten.
const MAX_REMEMBERED: usize = 256;

/// Maximum number of data centres in one notice.
const MAX_ANNOUNCED: usize = 64;

/// Whether a data centre is evacuated, as one VM tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Position in the store up to which this is known to hold.
    pub revision: StoreRevision,
    /// Whether the data centre is evacuated.
    pub is_evacuated: bool,
    /// Time in ms since a VM read this from the store.
    pub age_ms: u64,
}

/// Change of what is known of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Position in the store up to which this is known to hold.
    pub revision: StoreRevision,
    /// Whether the data centre is evacuated from now on.
    pub is_evacuated: bool,
    /// Time since a VM read this from the store.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct KnownState {
    revision: StoreRevision,
    is_evacuated: bool,
    /// When this was read from the store, by whatever VM.
    read_at: Instant,
    /// Until when each notice includes it.
    announce_until: Instant,
    /// Since when the store, which came back from an older copy, lacks the evacuation.
    absent_since: Option<Instant>,
}

/// Data centres of which an evacuation is or was known.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    states: IndexMap<DataCentre, KnownState>,
    /// Position up to which all changes are known; `None` before the first listing.
    known_through: Option<StoreRevision>,
}

impl EvacuationTable {
    /// Returns whether the evacuations have been listed at least once.
    pub fn is_known(&self) -> bool {
        self.known_through.is_some()
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> IndexSet<DataCentre> {
        let evacuated = self.states.iter().filter(|(_, known)| known.is_evacuated);
        evacuated.map(|(name, _)| name.clone()).collect()
    }

    /// Applies a listing of all evacuations, read at `as_of`. Those that are missing from it
    /// have ended, unless the store came back from an older copy since they were known.
    pub fn apply_listing(
        &mut self,
        listed: &[(DataCentre, StoreRevision)],
        as_of: StoreRevision,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let is_new_era = self
            .known_through
            .is_some_and(|known| known.era < as_of.era);
        if is_new_era {
            for known in self.states.values_mut() {
                known.absent_since = None;
            }
        }
        let mut changes: Vec<EvacuationChange> = listed
            .iter()
            .filter_map(|(name, revision)| self.apply_change(name, true, *revision, now))
            .collect();
        let is_listed = |name: &DataCentre| listed.iter().any(|(listed, _)| listed == name);
        let missing: Vec<DataCentre> = self
            .states
            .iter()
            .filter(|(_, known)| known.is_evacuated)
            .filter(|(name, _)| !is_listed(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &missing {
            match self.states.get_mut(name) {
                Some(known) if known.revision.era < as_of.era => {
                    known.absent_since.get_or_insert(now);
                }
                _ => changes.extend(self.apply_change(name, false, as_of, now)),
            }
        }
        self.known_through = self.known_through.max(Some(as_of));
        changes
    }

    /// Applies a change that a watch delivered: the key was written at `revision`, or removed.
    pub fn apply_change(
        &mut self,
        data_centre: &DataCentre,
        is_evacuated: bool,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let state = EvacuationState {
            data_centre: data_centre.clone(),
            revision,
            is_evacuated,
            age_ms: 0,
        };
        self.store(&state, None, now)
    }

    /// Records that the store was read up to `as_of` and that all changes were applied. Ends
    /// evacuations that it has lacked for long enough since it came back from an older copy.
    pub fn confirm(&mut self, as_of: StoreRevision, now: Instant) -> Vec<EvacuationChange> {
        self.known_through = self.known_through.max(Some(as_of));
        let is_over = |since: Instant| now.saturating_duration_since(since) >= RETURN_PERIOD;
        let absent: Vec<DataCentre> = self
            .states
            .iter()
            .filter(|(_, known)| known.absent_since.is_some_and(is_over))
            .map(|(name, _)| name.clone())
            .collect();
        absent
            .iter()
            .filter_map(|name| self.apply_change(name, false, as_of, now))
            .collect()
    }

    /// Returns when [`Self::confirm`] is to be called next, if any evacuation may end by it.
    pub fn next_end(&self) -> Option<Instant> {
        let ends = self.states.values().filter_map(|known| known.absent_since);
        ends.min().map(|since| since + RETURN_PERIOD)
    }

    /// Applies what another VM tells.
    ///
    /// If the state is outdated, this VM announces its newer one.
    pub fn apply_announced(
        &mut self,
        state: &EvacuationState,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let name = &state.data_centre;
        let known = self.states.get(name).copied();
        if let Some(known) = known.filter(|known| known.revision >= state.revision) {
            if known.revision > state.revision {
                self.announce(name, now);
            }
            return None;
        }
        let Some(through) = self.known_through else {
            return self.store(state, None, now);
        };
        let is_absent = known.is_some_and(|known| known.absent_since.is_some());
        if state.revision.era == through.era && is_absent && !state.is_evacuated {
            // The store has shown this VM only that the key is missing, so the other VM's end holds.
            return self.store(state, None, now);
        }
        if state.revision.era == through.era && state.revision <= through {
            let is_evacuated = known.is_some_and(|known| known.is_evacuated);
            if is_evacuated != state.is_evacuated {
                // The store has shown this VM the opposite since.
                self.apply_change(name, is_evacuated, through, now);
            }
            return None;
        }
        // The store of this VM came back from an older copy that may lack the evacuation.
        let is_of_earlier_era = state.revision.era < through.era && state.is_evacuated;
        let absent_since = known.and_then(|known| known.absent_since);
        let absent_since = is_of_earlier_era.then(|| absent_since.unwrap_or(now));
        self.store(state, absent_since, now)
    }

    /// Stores a state unless a later one is known. Returns the change, if it is one.
    fn store(
        &mut self,
        state: &EvacuationState,
        absent_since: Option<Instant>,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let known = self.states.get(&state.data_centre);
        if known.is_some_and(|known| known.revision >= state.revision) {
            return None;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let age = Duration::from_millis(state.age_ms);
        let stored = KnownState {
            revision: state.revision,
            is_evacuated: state.is_evacuated,
            read_at: now.checked_sub(age).unwrap_or(now),
            announce_until: now + ANNOUNCE_PERIOD,
            absent_since,
        };
        self.states.insert(state.data_centre.clone(), stored);
        self.forget_oldest();
        (was_evacuated != state.is_evacuated).then(|| EvacuationChange {
            data_centre: state.data_centre.clone(),
            revision: state.revision,
            is_evacuated: state.is_evacuated,
            age,
        })
    }

    /// Forgets the data centre whose evacuation ended first, if too many are remembered.
    fn forget_oldest(&mut self) {
        if self.states.len() <= MAX_REMEMBERED {
            return;
        }
        if let Some(index) = self.states.values().position(|known| !known.is_evacuated) {
            self.states.shift_remove_index(index);
        }
    }

    fn announce(&mut self, data_centre: &DataCentre, now: Instant) {
        if let Some(known) = self.states.get_mut(data_centre) {
            known.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Announces all that is known again, for example for a VM that may know nothing.
    pub fn announce_all(&mut self, now: Instant) {
        for known in self.states.values_mut() {
            known.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Returns what a notice tells: recent changes and, if `includes_all` is set, all evacuations
    /// in force.
    pub fn announced(&self, includes_all: bool, now: Instant) -> Vec<EvacuationState> {
        let is_due =
            |known: &KnownState| now < known.announce_until || (includes_all && known.is_evacuated);
        self.states
            .iter()
            .rev()
            .filter(|(_, known)| is_due(known))
            .map(|(name, known)| EvacuationState {
                data_centre: name.clone(),
                revision: known.revision,
                is_evacuated: known.is_evacuated,
                age_ms: now.saturating_duration_since(known.read_at).as_millis() as u64,
            })
            .take(MAX_ANNOUNCED)
            .collect()
    }
}
