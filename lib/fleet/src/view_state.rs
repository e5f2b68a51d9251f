//! Merging of updates from the store and from peers into the fleet view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::WatchBatch;
use snipegate_types::IncarnationId;
use snipegate_types::UpstreamId;

use crate::exchange::LeaveMark;
use crate::exchange::MemberLiveness;
use crate::exchange::ViewChange;
use crate::exchange::ViewReply;
use crate::exchange::ViewScope;
use crate::key::FleetKey;
use crate::record::FleetRecord;
use crate::record::RecordError;
use crate::view::FleetView;
use crate::view::ViewIndex;

/// The outcome of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The view has not changed, except for its age.
    Unchanged,
    /// The view has changed and must be published.
    Changed,
    /// Changes are missing between the state of this process and that of the source. The
    /// process has to list the store or request the full state from a peer.
    Behind,
}

/// A change whose value is not a valid record. The previous record stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedChange {
    /// The revision of the change.
    pub revision: StoreRevision,
    /// The written value.
    pub value: Vec<u8>,
    /// Why the value is invalid.
    pub error: RecordError,
}

#[derive(Clone, Debug)]
struct KeyState {
    revision: StoreRevision,
    /// `None` if the key was removed.
    record: Option<FleetRecord>,
}

/// The progress of a paginated listing of the store.
#[derive(Clone, Debug)]
struct ListingProgress {
    /// The revision of the first page. Once the listing is complete, all changes up to it
    /// are known.
    revision: StoreRevision,
    /// When the first page was requested.
    requested_at: Instant,
    /// The keys on the pages read so far.
    listed: IndexSet<StoreKey>,
}

/// The state from which a process builds its [`FleetView`].
///
/// For each key, the change with the highest store revision takes precedence, no
/// matter which source it came from. A removal is kept as a tombstone with its
/// revision, so that an older value from a peer does not restore the key.
/// `complete_to` is the revision up to which all changes are known.
#[derive(Clone, Debug, Default)]
pub struct ViewState {
    entries: BTreeMap<StoreKey, KeyState>,
    rejected: IndexMap<StoreKey, RejectedChange>,
    complete_to: StoreRevision,
    /// The highest revision of all known changes.
    newest: StoreRevision,
    /// Tombstones exist for all removals after this revision.
    tombstones_from: StoreRevision,
    ready: bool,
    fresh_as_of: Option<Instant>,
    /// The keeper that read the store at `fresh_as_of`, if it is another one.
    source: Option<IncarnationId>,
    listing: Option<ListingProgress>,
    /// Whether workspaces are only relayed to other processes.
    relays_workspaces: bool,
    leave_marks: Arc<IndexMap<UpstreamId, LeaveMark>>,
    liveness: Arc<IndexMap<IncarnationId, MemberLiveness>>,
    /// The cached index of the current entries.
    index: Option<Arc<ViewIndex>>,
}

impl ViewState {
    /// Creates a view state with no data.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a view state with no data that only relays workspaces to other processes.
    ///
    /// It validates the workspaces, but its views do not contain them. This needs a third
    /// of the memory.
    pub fn relaying_workspaces() -> Self {
        Self {
            relays_workspaces: true,
            ..Self::default()
        }
    }

    /// Returns the revision up to which all changes are known.
    pub fn complete_to(&self) -> StoreRevision {
        self.complete_to
    }

    /// Returns whether the complete state of some source has been applied.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the time since the state was last known to be that of the store.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let fresh_as_of = self.fresh_as_of?;
        Some(now.saturating_duration_since(fresh_as_of))
    }

    /// Returns the invalid changes that are still the newest change of their key.
    pub fn rejected(&self) -> &IndexMap<StoreKey, RejectedChange> {
        &self.rejected
    }

    /// Returns the revision of the newest known change of a key, including its removal.
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        self.entries.get(key).map(|entry| entry.revision)
    }

    /// Returns the record of a key.
    pub fn record(&self, key: &str) -> Option<&FleetRecord> {
        self.entries.get(key)?.record.as_ref()
    }

    /// Returns the number of stored keys, including tombstones.
    pub fn kept_keys(&self) -> usize {
        self.entries.len()
    }

    /// Applies the result of a watch for changes after `after`, which was sent at
    /// `requested_at`.
    pub fn apply_watch(
        &mut self,
        after: StoreRevision,
        batch: &WatchBatch,
        requested_at: Instant,
    ) -> MergeOutcome {
        let WatchBatch::Changes { revision, changes } = batch else {
            return MergeOutcome::Behind;
        };
        let mut changed = false;
        for change in changes {
            changed |= self.merge(&change.key, change.revision, change.value.as_deref());
        }
        if after > self.complete_to {
            return MergeOutcome::Behind;
        }
        self.advance(*revision, requested_at, None);
        outcome(changed)
    }

    /// Starts a new listing, discarding an unfinished one.
    pub fn begin_listing(&mut self) {
        self.listing = None;
    }

    /// Applies a page of a listing of [`FleetKey::PREFIX`] that was requested at `requested_at`.
    /// The pages must be requested and applied one after the other.
    pub fn apply_page(&mut self, page: &StoreListing, requested_at: Instant) -> MergeOutcome {
        let mut progress = self.listing.take().unwrap_or_else(|| ListingProgress {
            revision: page.revision,
            requested_at,
            listed: IndexSet::new(),
        });
        let mut changed = false;
        for (key, stored) in &page.entries {
            changed |= self.merge(key, stored.revision, Some(&stored.value));
            progress.listed.insert(key.clone());
        }
        if page.more_after.is_some() {
            self.listing = Some(progress);
            return outcome(changed);
        }
        let listed = progress.listed;
        changed |= self.remove_missing(progress.revision, |key| listed.contains(key));
        changed |= self.set_ready();
        self.advance(progress.revision, progress.requested_at, None);
        outcome(changed)
    }

    /// Removes the keys that are missing from a source's complete state at `revision`,
    /// unless a newer change of them is known.
    fn remove_missing(&mut self, revision: StoreRevision, exists: impl Fn(&str) -> bool) -> bool {
        let missing: Vec<StoreKey> = self
            .entries
            .iter()
            .filter(|(key, entry)| entry.record.is_some() && !exists(key))
            .map(|(key, _)| key.clone())
            .collect();
        let removed = missing
            .iter()
            .filter(|key| self.merge(key, revision, None))
            .count();
        // There are no tombstones for keys that were created and removed unnoticed.
        self.tombstones_from = self.tombstones_from.max(revision);
        removed > 0
    }

    /// Marks the state as complete and returns whether it was not so before.
    fn set_ready(&mut self) -> bool {
        !std::mem::replace(&mut self.ready, true)
    }

    /// Applies a peer's reply to a query for changes after `after`, which was sent at
    /// `requested_at`.
    pub fn apply_reply(
        &mut self,
        after: StoreRevision,
        reply: &ViewReply,
        requested_at: Instant,
    ) -> MergeOutcome {
        let mut changed = reply
            .changes
            .iter()
            .filter(|change| self.merge(&change.key, change.revision, change.value.as_deref()))
            .count()
            > 0;
        for mark in &reply.leave_marks {
            changed |= self.mark_leaving(mark.clone());
        }
        let Some(age) = reply.age_ms else {
            return outcome(changed);
        };
        if reply.full {
            let mut keys: Vec<&str> = reply.changes.iter().map(|c| c.key.as_str()).collect();
            keys.sort_unstable();
            changed |=
                self.remove_missing(reply.complete_to, |key| keys.binary_search(&key).is_ok());
        } else if after > self.complete_to {
            return MergeOutcome::Behind;
        }
        changed |= self.set_ready();
        let fresh_as_of = requested_at.checked_sub(Duration::from_millis(age));
        self.advance(
            reply.complete_to,
            fresh_as_of.unwrap_or(requested_at),
            reply.source.as_ref(),
        );
        outcome(changed)
    }

    /// Applies a leave mark and returns whether it is new.
    pub fn mark_leaving(&mut self, mark: LeaveMark) -> bool {
        match self.leave_marks.get(&mark.upstream) {
            Some(kept) if kept.over >= mark.over => false,
            _ => {
                let marks = Arc::make_mut(&mut self.leave_marks);
                marks.insert(mark.upstream.clone(), mark);
                true
            }
        }
    }

    /// Replaces the liveness of the members and returns whether it has changed.
    pub fn set_liveness(&mut self, members: Vec<MemberLiveness>) -> bool {
        let members: IndexMap<_, _> = members
            .into_iter()
            .map(|found| (found.member.clone(), found))
            .collect();
        if *self.liveness == members {
            return false;
        }
        self.liveness = Arc::new(members);
        true
    }

    /// Iterates over the members that are not in the normal state.
    pub fn liveness(&self) -> impl Iterator<Item = &MemberLiveness> {
        self.liveness.values()
    }

    /// Creates the reply to a peer that has all changes up to `after`.
    ///
    /// The caller has to add the liveness.
    pub fn reply_to(
        &self,
        keeper: &IncarnationId,
        after: StoreRevision,
        scope: ViewScope,
        now: Instant,
    ) -> ViewReply {
        let full = after < self.tombstones_from;
        let from = if full { StoreRevision::new(0) } else { after };
        let age = self.age(now).filter(|_| self.ready);
        let changes = age.map(|_| self.changes_after(from, scope).collect());
        ViewReply {
            keeper: keeper.clone(),
            complete_to: self.complete_to,
            full,
            age_ms: age.map(|age| age.as_millis() as u64),
            source: age.map(|_| self.source.as_ref().unwrap_or(keeper).clone()),
            changes: changes.unwrap_or_default(),
            leave_marks: self.leave_marks.values().cloned().collect(),
            liveness_version: 0,
            liveness: None,
        }
    }

    /// Iterates over the changes after `after` in ascending order of revision.
    fn changes_after(
        &self,
        after: StoreRevision,
        scope: ViewScope,
    ) -> impl Iterator<Item = ViewChange> {
        // Most queries find no changes, so avoid iterating over all keys for them.
        let has_changes = after < self.newest;
        let applied = self.entries.iter().map(|(key, e)| (e.revision, key));
        let rejected = self.rejected.iter().map(|(key, r)| (r.revision, key));
        let mut newer: Vec<(StoreRevision, &StoreKey)> = applied
            .chain(rejected)
            .take_while(|_| has_changes)
            .filter(|(revision, key)| *revision > after && scope.covers(key))
            .collect();
        newer.sort_unstable();
        newer.into_iter().map(|(revision, key)| ViewChange {
            key: key.clone(),
            revision,
            value: self.value_at(key, revision),
        })
    }

    fn value_at(&self, key: &str, revision: StoreRevision) -> Option<Vec<u8>> {
        match self.rejected.get(key) {
            Some(rejected) if rejected.revision == revision => Some(rejected.value.clone()),
            _ => self.record(key).map(FleetRecord::to_json),
        }
    }

    /// Returns a snapshot for the traffic threads.
    pub fn view(&mut self) -> FleetView {
        let records = self.entries.values().filter_map(|e| e.record.as_ref());
        let index = self
            .index
            .get_or_insert_with(|| Arc::new(ViewIndex::build(records)));
        FleetView {
            index: index.clone(),
            revision: self.complete_to,
            ready: self.ready,
            fresh_as_of: self.fresh_as_of,
            leave_marks: self.leave_marks.clone(),
            liveness: self.liveness.clone(),
        }
    }

    /// Returns the time at which the state was last known to be that of the store.
    pub fn fresh_as_of(&self) -> Option<Instant> {
        self.fresh_as_of
    }

    fn advance(
        &mut self,
        revision: StoreRevision,
        fresh_as_of: Instant,
        source: Option<&IncarnationId>,
    ) {
        // A source that is behind this process gives no information on the age of the
        // state of this process.
        if revision < self.complete_to {
            return;
        }
        self.complete_to = revision;
        if self.fresh_as_of < Some(fresh_as_of) {
            self.fresh_as_of = Some(fresh_as_of);
            self.source = source.cloned();
        }
    }

    /// Applies a change of a key and returns whether it has changed the records.
    fn merge(&mut self, key: &str, revision: StoreRevision, value: Option<&[u8]>) -> bool {
        let Ok(fleet_key) = key.parse::<FleetKey>() else {
            return false;
        };
        // All changes up to `complete_to` have been applied, or replaced by later ones,
        // so only a newer change can have an effect.
        let current = self.revision_of(key).unwrap_or_default();
        if revision <= self.complete_to.max(current) {
            return false;
        }
        let record = match value.map(|bytes| FleetRecord::parse(fleet_key, revision, bytes)) {
            None => None,
            Some(Ok(FleetRecord::Workspace(_))) if self.relays_workspaces => {
                value.map(|bytes| FleetRecord::StoredWorkspace(bytes.into()))
            }
            Some(Ok(record)) => Some(record),
            Some(Err(error)) => {
                self.reject(key, revision, value.unwrap_or_default(), error);
                return false;
            }
        };
        if self
            .rejected
            .get(key)
            .is_some_and(|r| r.revision < revision)
        {
            self.rejected.swap_remove(key);
        }
        self.newest = self.newest.max(revision);
        let entry = KeyState { revision, record };
        self.entries.insert(key.to_owned(), entry);
        self.index = None;
        true
    }

    /// Stores a change that this process cannot parse, so that peers that can parse it
    /// receive it from here.
    fn reject(&mut self, key: &str, revision: StoreRevision, value: &[u8], error: RecordError) {
        if self
            .rejected
            .get(key)
            .is_some_and(|r| r.revision >= revision)
        {
            return;
        }
        self.newest = self.newest.max(revision);
        let rejected = RejectedChange {
            revision,
            value: value.to_vec(),
            error,
        };
        self.rejected.insert(key.to_owned(), rejected);
    }
}

fn outcome(changed: bool) -> MergeOutcome {
    if changed {
        MergeOutcome::Changed
    } else {
        MergeOutcome::Unchanged
    }
}
