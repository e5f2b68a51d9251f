//! Known upstreams and which of them accept new requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_platform::StoreRevision;
use snipegate_types::DataCentre;
use snipegate_types::UpstreamId;
use strum::Display;

use crate::config::ServiceName;
use crate::departure_log::DepartureLog;
use crate::gateway::stable_hash;

/// How long an entry whose lease expired during a store outage may still be used.
const EXPIRY_GRACE: Duration = Duration::from_millis(1200);

/// How long after a store outage a missing entry counts as expired rather than withdrawn.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// How long after the store came back from an older copy it may list upstreams that had gone.
const RETURN_PERIOD: Duration = Duration::from_secs(2);

/// How long a removal is remembered. It is longer than a copy of the store is old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(30);

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamPhase {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and leaves.
    Draining,
}

/// Entry that an upstream publishes in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream; most restarts change it.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it accepts new requests.
    pub phase: UpstreamPhase,
    /// Start time in milliseconds since the Unix epoch, if published.
    pub started_ms: Option<u64>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// How much longer it was cold when it published the entry.
    pub cold_left: Duration,
}

#[derive(Clone, Debug)]
struct KnownUpstream {
    entry: UpstreamEntry,
    revision: StoreRevision,
    expired_at: Option<Instant>,
    /// Until when it asked this VM not to send requests.
    back_off_until: Option<Instant>,
}

impl KnownUpstream {
    fn is_backing_off(&self, now: Instant) -> bool {
        self.back_off_until.is_some_and(|until| now < until)
    }
}

/// Change of a known upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamChange {
    /// The upstream became ready, or its entry changed while it is ready.
    Appeared(UpstreamEntry),
    /// The entry of a ready upstream was written again and differs at most in how long the
    /// upstream is cold, which it was before or is now.
    ColdTime(UpstreamEntry),
    /// The upstream no longer accepts new requests.
    Left(UpstreamId),
}

/// Upstreams by id.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    known: IndexMap<UpstreamId, KnownUpstream>,
    /// Ids by code; see [`upstream_code`].
    ids: IndexMap<u32, UpstreamId>,
    latest: StoreRevision,
    known_through: StoreRevision,
    store_recovered_at: Option<Instant>,
    /// When the store last came back from an older copy.
    era_began_at: Option<Instant>,
    departures: DepartureLog,
    /// Data centres whose upstreams get no new requests.
    evacuated: IndexSet<DataCentre>,
    /// Runs that were removed from the store, with the time.
    removals: IndexMap<(UpstreamId, Option<u64>), Instant>,
    /// Entries of removed runs that an older copy of the store listed again, with their revision.
    withheld: IndexMap<UpstreamId, (UpstreamEntry, StoreRevision)>,
}

impl UpstreamTable {
    /// Returns the revision of the newest known change.
    pub fn latest(&self) -> StoreRevision {
        self.latest
    }

    /// Returns the revision up to which all changes are known.
    pub fn known_through(&self) -> StoreRevision {
        self.known_through
    }

    /// Records that all changes up to `revision` are known.
    pub fn record_known_through(&mut self, revision: StoreRevision) {
        self.known_through = self.known_through.max(revision);
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Instant) {
        self.store_recovered_at = Some(now);
    }

    /// Records that the store came back from an older copy. It may list upstreams as ready that
    /// leave or have gone, and lack ready ones until they write again.
    pub fn enter_era(&mut self, now: Instant) {
        self.era_began_at = Some(now);
        self.record_store_recovery(now);
    }

    /// Applies withheld entries that are still listed some time after the return of the store.
    pub fn release_withheld(&mut self, now: Instant) -> Vec<UpstreamChange> {
        if self.has_just_returned(now) {
            return Vec::new();
        }
        let withheld = std::mem::take(&mut self.withheld);
        withheld
            .into_iter()
            .filter_map(|(id, (entry, revision))| self.apply_entry(&id, Some(entry), revision))
            .collect()
    }

    fn has_just_returned(&self, now: Instant) -> bool {
        self.era_began_at
            .is_some_and(|at| now.saturating_duration_since(at) < RETURN_PERIOD)
    }

    /// Applies a written entry; `None` stands for an entry that could not be decoded.
    ///
    /// Right after the store came back from an older copy, the entry of a run that was removed
    /// before is withheld.
    pub fn put(
        &mut self,
        id: &UpstreamId,
        entry: Option<UpstreamEntry>,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<UpstreamChange> {
        self.withheld.shift_remove(id);
        if let Some(entry) = &entry
            && self.has_just_returned(now)
            && self.removals.contains_key(&(id.clone(), entry.started_ms))
        {
            self.withheld.insert(id.clone(), (entry.clone(), revision));
            return None;
        }
        self.apply_entry(id, entry, revision)
    }

    fn apply_entry(
        &mut self,
        id: &UpstreamId,
        entry: Option<UpstreamEntry>,
        revision: StoreRevision,
    ) -> Option<UpstreamChange> {
        self.latest = self.latest.max(revision);
        let known = self.known.get(id);
        if known.is_some_and(|known| known.revision > revision) {
            return None;
        }
        let before = known.map(|known| known.entry.clone());
        let Some(mut entry) = entry else {
            self.known.shift_remove(id);
            return before.map(|_| UpstreamChange::Left(id.clone()));
        };
        if self.departures.contains(&entry) {
            entry.phase = UpstreamPhase::Draining;
        }
        if entry.phase == UpstreamPhase::Draining && entry.started_ms.is_some() {
            // An older copy of the store may list the run as ready again.
            self.departures.record(&entry);
        }
        let is_same_run = |before: &UpstreamEntry| before.started_ms == entry.started_ms;
        let back_off_until = known
            .filter(|known| is_same_run(&known.entry))
            .and_then(|known| known.back_off_until);
        let is_rewritten = known.is_some_and(|known| known.revision < revision);
        let change = describe_change(before.as_ref(), &entry, is_rewritten);
        self.ids.insert(upstream_code(id), id.clone());
        self.known.insert(
            id.clone(),
            KnownUpstream {
                entry,
                revision,
                expired_at: None,
                back_off_until,
            },
        );
        change
    }

    /// Records that an upstream announced in a response that it is leaving. `entry` is the
    /// entry by which the request was sent.
    pub fn record_leaving(&mut self, entry: &UpstreamEntry) -> Option<UpstreamChange> {
        self.departures.record(entry);
        let known = self.known_run(entry)?;
        if known.entry.phase == UpstreamPhase::Draining {
            return None;
        }
        known.entry.phase = UpstreamPhase::Draining;
        Some(UpstreamChange::Left(entry.id.clone()))
    }

    /// Records that an upstream asked this VM not to send requests before `until`.
    pub fn record_back_off(&mut self, entry: &UpstreamEntry, until: Instant) {
        if let Some(known) = self.known_run(entry) {
            known.back_off_until = known.back_off_until.max(Some(until));
        }
    }

    /// Returns the upstream of an entry if it is still in the same run.
    fn known_run(&mut self, entry: &UpstreamEntry) -> Option<&mut KnownUpstream> {
        let known = self.known.get_mut(&entry.id)?;
        (known.entry.started_ms == entry.started_ms).then_some(known)
    }

    /// Records the revision of a removal.
    pub fn record_removal(&mut self, revision: StoreRevision) {
        self.latest = self.latest.max(revision);
    }

    /// Applies the removal of an entry. Right after a store outage, a ready upstream is
    /// only marked as expired, since its lease may have lapsed during the outage.
    pub fn remove(
        &mut self,
        id: &UpstreamId,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<UpstreamChange> {
        let after_outage = self
            .store_recovered_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_PERIOD);
        self.withheld.shift_remove(id);
        let known = self.known.get_mut(id)?;
        if known.revision > revision {
            return None;
        }
        if after_outage && known.entry.phase == UpstreamPhase::Ready {
            known.expired_at.get_or_insert(now);
            return None;
        }
        let run = (id.clone(), known.entry.started_ms);
        self.removals
            .retain(|_, at| now.saturating_duration_since(*at) < REMOVAL_MEMORY);
        self.removals.insert(run, now);
        self.known.shift_remove(id);
        self.ids.shift_remove(&upstream_code(id));
        Some(UpstreamChange::Left(id.clone()))
    }

    /// Applies a full listing; entries that are missing from it are removed.
    pub fn replace(
        &mut self,
        listed: Vec<(UpstreamId, Option<UpstreamEntry>, StoreRevision)>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<UpstreamChange> {
        let missing: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !listed.iter().any(|(listed, _, _)| listed == *id))
            .cloned()
            .collect();
        let mut changes: Vec<UpstreamChange> = listed
            .into_iter()
            .filter_map(|(id, entry, at)| self.put(&id, entry, at, now))
            .collect();
        changes.extend(
            missing
                .iter()
                .filter_map(|id| self.remove(id, revision, now)),
        );
        self.record_known_through(revision);
        changes
    }

    /// Removes entries that expired during an outage and were not renewed within
    /// `EXPIRY_GRACE`.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<UpstreamChange> {
        let gone: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, known)| {
                known
                    .expired_at
                    .is_some_and(|at| now.saturating_duration_since(at) > EXPIRY_GRACE)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.known.shift_remove(id);
            self.ids.shift_remove(&upstream_code(id));
        }
        gone.into_iter().map(UpstreamChange::Left).collect()
    }

    /// Sets the data centres whose upstreams get no new requests.
    pub fn set_evacuated(&mut self, evacuated: IndexSet<DataCentre>) {
        self.evacuated = evacuated;
    }

    /// Returns the number of upstreams in a data centre that accept new requests, or would if it
    /// were not evacuated.
    pub fn count_in(&self, data_centre: &DataCentre) -> usize {
        let entries = self.known.values().map(|known| &known.entry);
        entries
            .filter(|entry| entry.data_centre == *data_centre)
            .filter(|entry| entry.phase == UpstreamPhase::Ready)
            .count()
    }

    /// Returns the number of ready upstreams of a service in evacuated data centres.
    pub fn count_evacuated(&self, service: &str) -> usize {
        let entries = self.known.values().map(|known| &known.entry);
        entries
            .filter(|entry| &*entry.service == service && self.is_evacuated(entry))
            .filter(|entry| entry.phase == UpstreamPhase::Ready)
            .count()
    }

    fn is_evacuated(&self, entry: &UpstreamEntry) -> bool {
        self.evacuated.contains(&entry.data_centre)
    }

    /// Returns the upstreams of a service that accept new requests, including those that
    /// asked this VM to back off. Those of evacuated data centres are left out.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.known_ready(service).map(|known| &known.entry)
    }

    /// Returns the upstreams of a service that accept new requests from this VM.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.known_ready(service)
            .filter(move |known| !known.is_backing_off(now))
            .map(|known| &known.entry)
    }

    /// Returns when the first upstream of a service that may be used stops backing off, if any
    /// is.
    pub fn next_available(
        &self,
        service: &str,
        may_use: impl Fn(&UpstreamEntry) -> bool,
        now: Instant,
    ) -> Option<Instant> {
        self.known_ready(service)
            .filter(|known| may_use(&known.entry))
            .filter(|known| known.is_backing_off(now))
            .filter_map(|known| known.back_off_until)
            .min()
    }

    fn known_ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownUpstream> {
        self.known.values().filter(move |known| {
            &*known.entry.service == service
                && known.entry.phase == UpstreamPhase::Ready
                && !self.is_evacuated(&known.entry)
        })
    }

    /// Returns the id of a known upstream by its code.
    pub fn id_of(&self, code: u32) -> Option<&UpstreamId> {
        self.ids
            .get(&code)
            .filter(|id| self.known.contains_key(*id))
    }

    /// Returns the upstreams of a data centre.
    pub fn in_data_centre(&self, data_centre: &DataCentre) -> impl Iterator<Item = &UpstreamEntry> {
        let entries = self.known.values().map(|known| &known.entry);
        entries.filter(move |entry| entry.data_centre == *data_centre)
    }

    /// Returns the revision of an upstream's entry.
    pub fn revision_of(&self, id: &UpstreamId) -> Option<StoreRevision> {
        self.known.get(id).map(|known| known.revision)
    }

    /// Returns whether an upstream accepts new requests.
    pub fn is_ready(&self, id: &UpstreamId) -> bool {
        self.get(id)
            .is_some_and(|entry| entry.phase == UpstreamPhase::Ready)
    }

    /// Returns an upstream by id.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        self.known.get(id).map(|known| &known.entry)
    }
}

/// Returns a short code of an upstream's id, the same on all VMs.
///
/// Codes may collide; they are used only in gossip about load, placed prompts and rate
/// limits.
pub fn upstream_code(id: &UpstreamId) -> u32 {
    stable_hash(id.as_str()) as u32
}

fn describe_change(
    before: Option<&UpstreamEntry>,
    entry: &UpstreamEntry,
    is_rewritten: bool,
) -> Option<UpstreamChange> {
    let is_same = |before: &&UpstreamEntry| {
        UpstreamEntry {
            cold_left: entry.cold_left,
            ..(*before).clone()
        } == *entry
    };
    let same = before.filter(is_same);
    let was_ready = before.is_some_and(|before| before.phase == UpstreamPhase::Ready);
    match entry.phase {
        UpstreamPhase::Draining if was_ready => Some(UpstreamChange::Left(entry.id.clone())),
        UpstreamPhase::Draining => None,
        UpstreamPhase::Ready if let Some(before) = same => {
            let is_warm = before.cold_left.is_zero() && entry.cold_left.is_zero();
            (is_rewritten && !is_warm).then(|| UpstreamChange::ColdTime(entry.clone()))
        }
        UpstreamPhase::Ready => Some(UpstreamChange::Appeared(entry.clone())),
    }
}
