//! Merging of everything that a process hears about the fleet.

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

/// What a merge did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The view is as it was, but for its age.
    Unchanged,
    /// The view has changed; publish another.
    Changed,
    /// Changes are missing between this process's knowledge and the source's;
    /// list the store, or ask a peer for everything.
    Behind,
}

/// A change whose value is no valid record; the previous record stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedChange {
    /// The revision of the change.
    pub revision: StoreRevision,
    /// The bytes written.
    pub value: Vec<u8>,
    /// Why it is not valid.
    pub error: RecordError,
}

#[derive(Clone, Debug)]
struct KeptEntry {
    revision: StoreRevision,
    /// `None` where the key was removed.
    record: Option<FleetRecord>,
}

/// A listing of the store that is being read page by page.
#[derive(Clone, Debug)]
struct ListingProgress {
    /// The revision of the first page: everything up to it is known at the end.
    revision: StoreRevision,
    /// When the first page was asked for.
    asked: Instant,
    /// The keys on the pages read.
    listed: IndexSet<StoreKey>,
}

/// What a process knows of the fleet, and how it takes in more.
///
/// For each key the highest store revision wins, whatever the source. A removal
/// is kept as a tombstone with its revision, so an older value from a peer does
/// not bring the key back. `complete_to` is the revision up to which every
/// change is known.
#[derive(Clone, Debug, Default)]
pub struct ViewKeeper {
    entries: BTreeMap<StoreKey, KeptEntry>,
    rejected: IndexMap<StoreKey, RejectedChange>,
    complete_to: StoreRevision,
    /// The highest revision of any key.
    newest: StoreRevision,
    /// Removals after this revision are all kept as tombstones.
    tombstones_from: StoreRevision,
    ready: bool,
    fresh_as_of: Option<Instant>,
    /// The keeper that heard the store at `fresh_as_of`, if that is another.
    source: Option<IncarnationId>,
    listing: Option<ListingProgress>,
    /// Whether workspaces are only passed on to others.
    passes_workspaces_on: bool,
    leave_marks: Arc<IndexMap<UpstreamId, LeaveMark>>,
    liveness: Arc<IndexMap<IncarnationId, MemberLiveness>>,
    /// The index of the present entries, once it has been asked for.
    index: Option<Arc<ViewIndex>>,
}

impl ViewKeeper {
    /// Makes a keeper that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a keeper that knows nothing and whose views will have no
    /// workspaces: it checks them and passes them on, in a third of the memory.
    pub fn passing_workspaces_on() -> Self {
        Self {
            passes_workspaces_on: true,
            ..Self::default()
        }
    }

    /// Returns the revision up to which every change is known.
    pub fn complete_to(&self) -> StoreRevision {
        self.complete_to
    }

    /// Tells whether everything that some source knew has been taken in once.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns how long ago the store's state was last known to be this one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let fresh_as_of = self.fresh_as_of?;
        Some(now.saturating_duration_since(fresh_as_of))
    }

    /// Returns the changes that were not valid records and are still the newest
    /// write of their key.
    pub fn rejected(&self) -> &IndexMap<StoreKey, RejectedChange> {
        &self.rejected
    }

    /// Returns the revision of a key as known here, removals included.
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        self.entries.get(key).map(|entry| entry.revision)
    }

    /// Returns the record of a key.
    pub fn record(&self, key: &str) -> Option<&FleetRecord> {
        self.entries.get(key)?.record.as_ref()
    }

    /// Returns how many keys are kept, tombstones included.
    pub fn kept_keys(&self) -> usize {
        self.entries.len()
    }

    /// Takes in the answer of a watch that was asked at `asked` for changes
    /// after `after`.
    pub fn apply_watch(
        &mut self,
        after: StoreRevision,
        batch: &WatchBatch,
        asked: Instant,
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
        self.advance(*revision, asked, None);
        outcome(changed)
    }

    /// Forgets a listing that was begun and not finished.
    pub fn begin_listing(&mut self) {
        self.listing = None;
    }

    /// Takes in one page of a listing of [`FleetKey::PREFIX`] that was asked at
    /// `asked`; each page is asked after the one before.
    pub fn apply_page(&mut self, page: &StoreListing, asked: Instant) -> MergeOutcome {
        let mut progress = self.listing.take().unwrap_or_else(|| ListingProgress {
            revision: page.revision,
            asked,
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
        changed |= self.bury_unnamed(progress.revision, |key| listed.contains(key));
        changed |= self.become_ready();
        self.advance(progress.revision, progress.asked, None);
        outcome(changed)
    }

    /// Removes the keys that a source with all keys at `revision` does not
    /// name, unless what is known of them is newer.
    fn bury_unnamed(&mut self, revision: StoreRevision, named: impl Fn(&str) -> bool) -> bool {
        let gone: Vec<StoreKey> = self
            .entries
            .iter()
            .filter(|(key, entry)| entry.record.is_some() && !named(key))
            .map(|(key, _)| key.clone())
            .collect();
        let buried = gone
            .iter()
            .filter(|key| self.merge(key, revision, None))
            .count();
        // Keys that came and went unseen have no tombstone here.
        self.tombstones_from = self.tombstones_from.max(revision);
        buried > 0
    }

    fn become_ready(&mut self) -> bool {
        !std::mem::replace(&mut self.ready, true)
    }

    /// Takes in a peer's reply to a query that was asked at `asked` for what
    /// comes after `after`.
    pub fn apply_reply(
        &mut self,
        after: StoreRevision,
        reply: &ViewReply,
        asked: Instant,
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
            let mut named: Vec<&str> = reply.changes.iter().map(|c| c.key.as_str()).collect();
            named.sort_unstable();
            changed |=
                self.bury_unnamed(reply.complete_to, |key| named.binary_search(&key).is_ok());
        } else if after > self.complete_to {
            return MergeOutcome::Behind;
        }
        changed |= self.become_ready();
        let known = asked.checked_sub(Duration::from_millis(age));
        self.advance(
            reply.complete_to,
            known.unwrap_or(asked),
            reply.source.as_ref(),
        );
        outcome(changed)
    }

    /// Takes in an order that an upstream leaves; tells whether it is new.
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

    /// Replaces what is known of the members' liveness; tells whether it differs.
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

    /// Iterates over the members that are not simply up.
    pub fn liveness(&self) -> impl Iterator<Item = &MemberLiveness> {
        self.liveness.values()
    }

    /// Returns what a peer that knows everything up to `after` lacks.
    ///
    /// The liveness part is left to the caller.
    pub fn reply_to(
        &self,
        keeper: &IncarnationId,
        after: StoreRevision,
        scope: ViewScope,
        now: Instant,
    ) -> ViewReply {
        let full = after < self.tombstones_from;
        let from = if full { StoreRevision(0) } else { after };
        let known_age = self.age(now).filter(|_| self.ready);
        let changes = known_age.map(|_| self.changes_after(from, scope).collect());
        ViewReply {
            keeper: keeper.clone(),
            complete_to: self.complete_to,
            full,
            age_ms: known_age.map(|age| age.as_millis() as u64),
            source: known_age.map(|_| self.source.as_ref().unwrap_or(keeper).clone()),
            changes: changes.unwrap_or_default(),
            leave_marks: self.leave_marks.values().cloned().collect(),
            liveness_version: 0,
            liveness: None,
        }
    }

    /// Iterates over the changes after `after`, lowest revision first.
    fn changes_after(
        &self,
        after: StoreRevision,
        scope: ViewScope,
    ) -> impl Iterator<Item = ViewChange> {
        // Most askers know everything, and there are many keys.
        let any = after < self.newest;
        let kept = self.entries.iter().map(|(key, e)| (e.revision, key));
        let rejected = self.rejected.iter().map(|(key, r)| (r.revision, key));
        let mut newer: Vec<(StoreRevision, &StoreKey)> = kept
            .chain(rejected)
            .take_while(|_| any)
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

    /// Takes the snapshot for traffic threads.
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

    /// Returns when this process last knew the newest state.
    pub fn fresh_as_of(&self) -> Option<Instant> {
        self.fresh_as_of
    }

    fn advance(
        &mut self,
        revision: StoreRevision,
        fresh_as_of: Instant,
        source: Option<&IncarnationId>,
    ) {
        // A source whose knowledge ends before this process's own says nothing
        // about how old that is.
        if revision < self.complete_to {
            return;
        }
        self.complete_to = revision;
        if self.fresh_as_of < Some(fresh_as_of) {
            self.fresh_as_of = Some(fresh_as_of);
            self.source = source.cloned();
        }
    }

    /// Takes in one key at one revision; tells whether that changed anything.
    fn merge(&mut self, key: &str, revision: StoreRevision, value: Option<&[u8]>) -> bool {
        let Ok(fleet_key) = key.parse::<FleetKey>() else {
            return false;
        };
        // What a complete knowledge lacks up to its revision was replaced or
        // removed; only what is newer can be news.
        let known = self.revision_of(key).unwrap_or_default();
        if revision <= self.complete_to.max(known) {
            return false;
        }
        let record = match value.map(|bytes| FleetRecord::parse(fleet_key, revision, bytes)) {
            None => None,
            Some(Ok(FleetRecord::Workspace(_))) if self.passes_workspaces_on => {
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
        let entry = KeptEntry { revision, record };
        self.entries.insert(key.to_owned(), entry);
        self.index = None;
        true
    }

    /// Keeps a change that this process can't read, so that peers that can
    /// read it get it from here.
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
