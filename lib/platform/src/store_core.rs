//! The state machine of a configuration store, without I/O or a clock.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use strum::EnumCount;
use strum::IntoEnumIterator;

use crate::call::CallKind;
use crate::call::StoreAnswer;
use crate::call::StoreCall;
use crate::store::ExpectedVersion;
use crate::store::LeaseId;
use crate::store::MAX_VALUE_BYTES;
use crate::store::StoreChange;
use crate::store::StoreKey;
use crate::store::StoreListing;
use crate::store::StoreRevision;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;

/// Number of changes that a store retains for watches before it compacts them.
const DEFAULT_MAX_RETAINED_CHANGES: usize = 10_000;

/// A configuration store's keys, leases and recent changes.
///
/// [`MemoryStore`](crate::MemoryStore) and the platform stand-in are built on it.
/// Every write has its own revision, and revisions only increase.
#[derive(Debug)]
pub struct StoreCore {
    revision: StoreRevision,
    entries: BTreeMap<StoreKey, StoreEntry>,
    leases: BTreeMap<LeaseId, StoreLease>,
    next_lease_id: u64,
    changes: VecDeque<StoreChange>,
    compacted_revision: StoreRevision,
    max_retained_changes: usize,
    call_counts: [u64; CallKind::COUNT],
}

#[derive(Debug)]
struct StoreEntry {
    stored: StoredValue,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct StoreLease {
    time_to_live: Duration,
    expires_at: Instant,
}

impl Default for StoreCore {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreCore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            revision: StoreRevision::default(),
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease_id: 1,
            changes: VecDeque::new(),
            compacted_revision: StoreRevision::default(),
            max_retained_changes: DEFAULT_MAX_RETAINED_CHANGES,
            call_counts: [0; CallKind::COUNT],
        }
    }

    /// Sets the maximum number of changes retained for watches.
    pub fn set_max_retained_changes(&mut self, count: usize) {
        self.max_retained_changes = count;
        self.compact();
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the number of calls of each kind.
    pub fn call_counts(&self) -> impl Iterator<Item = (CallKind, u64)> + '_ {
        CallKind::iter().map(|kind| (kind, self.call_counts[kind as usize]))
    }

    /// Returns the earliest expiry time of any lease.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Counts and executes a call.
    ///
    /// A watch is answered immediately, even if there are no changes. To wait for
    /// changes, the server calls [`StoreCore::changes_after`] again later.
    pub fn apply(&mut self, call: &StoreCall, now: Instant) -> StoreAnswer {
        self.call_counts[call.kind() as usize] += 1;
        self.expire(now);
        match call {
            StoreCall::Read { key } => {
                StoreAnswer::Value(self.entries.get(key).map(|entry| entry.stored.clone()))
            }
            StoreCall::List { prefix, after } => {
                StoreAnswer::Listing(self.list(prefix, after.as_deref()))
            }
            StoreCall::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value, *lease),
            StoreCall::Remove { key, expected } => self.remove(key, *expected),
            StoreCall::Watch { prefix, after, .. } => {
                StoreAnswer::Batch(self.changes_after(prefix, *after))
            }
            StoreCall::CreateLease { time_to_live_ms } => {
                StoreAnswer::Lease(self.create_lease(Duration::from_millis(*time_to_live_ms), now))
            }
            StoreCall::KeepLease { lease } => self.renew_lease(*lease, now),
        }
    }

    /// Returns the changes under `prefix` after revision `after`.
    pub fn changes_after(&self, prefix: &str, after: StoreRevision) -> WatchBatch {
        if after < self.compacted_revision || after > self.revision {
            return WatchBatch::Compacted;
        }
        let start = self
            .changes
            .partition_point(|change| change.revision <= after);
        let changes = self
            .changes
            .range(start..)
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect();
        WatchBatch::Changes {
            revision: self.revision,
            changes,
        }
    }

    /// Removes expired leases and the keys bound to them.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<StoreKey> = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.lease == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.entries.remove(&key);
                self.record_change(key, None);
            }
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> StoreListing {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let mut listing = StoreListing {
            revision: self.revision,
            ..StoreListing::default()
        };
        let mut bytes = 0;
        let under_prefix = self
            .entries
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix));
        for (key, entry) in under_prefix {
            bytes += key.len() + entry.stored.value.len();
            if bytes > MAX_VALUE_BYTES && !listing.entries.is_empty() {
                listing.more_after = listing.entries.last().map(|(key, _)| key.clone());
                break;
            }
            listing.entries.push((key.clone(), entry.stored.clone()));
        }
        listing
    }

    fn swap(
        &mut self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> StoreAnswer {
        if value.len() > MAX_VALUE_BYTES {
            return StoreAnswer::ValueTooLarge { bytes: value.len() };
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreAnswer::LeaseLapsed;
        }
        if let Some(conflict) = self.conflict(key, expected) {
            return StoreAnswer::Outcome(conflict);
        }
        let revision = self.record_change(key.to_owned(), Some(value.to_vec()));
        let stored = StoredValue {
            revision,
            value: value.to_vec(),
        };
        self.entries
            .insert(key.to_owned(), StoreEntry { stored, lease });
        StoreAnswer::Outcome(SwapOutcome::Swapped(revision))
    }

    fn remove(&mut self, key: &str, expected: ExpectedVersion) -> StoreAnswer {
        if let Some(conflict) = self.conflict(key, expected) {
            return StoreAnswer::Outcome(conflict);
        }
        if self.entries.remove(key).is_none() {
            return StoreAnswer::Outcome(SwapOutcome::Swapped(self.revision));
        }
        let revision = self.record_change(key.to_owned(), None);
        StoreAnswer::Outcome(SwapOutcome::Swapped(revision))
    }

    /// Returns the conflict if the key is not in the `expected` state.
    fn conflict(&self, key: &str, expected: ExpectedVersion) -> Option<SwapOutcome> {
        let stored = self.entries.get(key).map(|entry| &entry.stored);
        let matches = match expected {
            ExpectedVersion::Absent => stored.is_none(),
            ExpectedVersion::At(revision) => {
                stored.is_some_and(|stored| stored.revision == revision)
            }
        };
        (!matches).then(|| SwapOutcome::Conflict(stored.cloned()))
    }

    /// Assigns the next revision to a change and retains the change for watches.
    fn record_change(&mut self, key: StoreKey, value: Option<Vec<u8>>) -> StoreRevision {
        self.revision = StoreRevision::new(self.revision.number + 1);
        self.changes.push_back(StoreChange {
            key,
            revision: self.revision,
            value,
        });
        self.compact();
        self.revision
    }

    fn compact(&mut self) {
        while self.changes.len() > self.max_retained_changes {
            if let Some(change) = self.changes.pop_front() {
                self.compacted_revision = change.revision;
            }
        }
    }

    fn create_lease(&mut self, time_to_live: Duration, now: Instant) -> LeaseId {
        let id = LeaseId(self.next_lease_id);
        self.next_lease_id += 1;
        let expires_at = now + time_to_live;
        self.leases.insert(
            id,
            StoreLease {
                time_to_live,
                expires_at,
            },
        );
        id
    }

    fn renew_lease(&mut self, id: LeaseId, now: Instant) -> StoreAnswer {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.time_to_live;
                StoreAnswer::Kept
            }
            None => StoreAnswer::LeaseLapsed,
        }
    }
}
