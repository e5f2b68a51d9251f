//! The snapshot of the fleet that the traffic threads read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;
use snipegate_types::ModelName;
use snipegate_types::ProcessRole;
use snipegate_types::ProfileName;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::UpstreamId;
use snipegate_types::VmId;
use snipegate_types::WorkspaceId;
use snipegate_types::rendezvous_owner;

use crate::exchange::LeaveMark;
use crate::exchange::MemberLiveness;
use crate::key_digest::KeyDigest;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::profile::ProfileRecord;
use crate::record::ConfigEntry;
use crate::record::FleetRecord;
use crate::settings::FleetSettings;
use crate::settings::StalePolicy;
use crate::upstream::UpstreamRecord;
use crate::upstream::UpstreamState;
use crate::workspace::WorkspaceRecord;

/// The entry of a workspace in the view.
pub type WorkspaceEntry = ConfigEntry<WorkspaceId, WorkspaceRecord>;
/// The entry of a profile in the view.
pub type ProfileEntry = ConfigEntry<ProfileName, ProfileRecord>;
/// The entry of an upstream in the view.
pub type UpstreamEntry = ConfigEntry<UpstreamId, UpstreamRecord>;
/// The entry of a process of the fleet in the view.
pub type MemberEntry = ConfigEntry<(VmId, ProcessRole), MemberRecord>;

/// The freshness of the configuration, which decides whether requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFreshness {
    /// No complete configuration is known, so no request may be served.
    Missing,
    /// The configuration has this age, which is within the staleness bound.
    Fresh(Duration),
    /// The configuration is older than the bound, but the policy is to keep serving.
    ServedStale(Duration),
    /// The configuration is older than the bound, and requests must be refused.
    Stale(Duration),
}

impl ViewFreshness {
    /// Returns the code to refuse requests with, or `None` if they may be served.
    pub fn refusal(self) -> Option<ResultCode> {
        match self {
            ViewFreshness::Missing => Some(ResultCode::ConfigMissing),
            ViewFreshness::Stale(_) => Some(ResultCode::ConfigStale),
            ViewFreshness::Fresh(_) | ViewFreshness::ServedStale(_) => None,
        }
    }
}

/// An immutable snapshot of the configuration and the members.
///
/// It is cheap to clone, because the records and their indices are shared. They are
/// only rebuilt when a record has changed.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    pub(crate) index: Arc<ViewIndex>,
    pub(crate) revision: StoreRevision,
    pub(crate) ready: bool,
    pub(crate) fresh_as_of: Option<Instant>,
    pub(crate) leave_marks: Arc<IndexMap<UpstreamId, LeaveMark>>,
    pub(crate) liveness: Arc<IndexMap<IncarnationId, MemberLiveness>>,
}

/// The records, indexed by the IDs and names for lookup.
#[derive(Debug, Default)]
pub(crate) struct ViewIndex {
    settings: Option<Arc<ConfigEntry<(), FleetSettings>>>,
    workspaces: IndexMap<WorkspaceId, Arc<WorkspaceEntry>>,
    keys: IndexMap<KeyDigest, Arc<WorkspaceEntry>>,
    profiles: IndexMap<ProfileName, Arc<ProfileEntry>>,
    upstreams: IndexMap<UpstreamId, Arc<UpstreamEntry>>,
    by_model: IndexMap<ModelName, Vec<Arc<UpstreamEntry>>>,
    by_service: IndexMap<ModelName, Vec<Arc<UpstreamEntry>>>,
    members: IndexMap<(VmId, ProcessRole), Arc<MemberEntry>>,
}

impl ViewIndex {
    pub(crate) fn build<'a>(records: impl Iterator<Item = &'a FleetRecord>) -> Self {
        let mut index = ViewIndex::default();
        records.for_each(|record| index.insert(record));
        index
    }

    fn insert(&mut self, record: &FleetRecord) {
        match record {
            FleetRecord::Settings(entry) => self.settings = Some(entry.clone()),
            FleetRecord::StoredWorkspace(_) => {}
            FleetRecord::Workspace(entry) => {
                for digest in &entry.record.key_digests {
                    self.keys.insert(*digest, entry.clone());
                }
                self.workspaces.insert(entry.id.clone(), entry.clone());
            }
            FleetRecord::Profile(entry) => {
                self.profiles.insert(entry.id.clone(), entry.clone());
            }
            FleetRecord::Upstream(entry) => self.insert_upstream(entry),
            FleetRecord::Member(entry) => {
                self.members.insert(entry.id.clone(), entry.clone());
            }
        }
    }

    fn insert_upstream(&mut self, entry: &Arc<UpstreamEntry>) {
        for model in &entry.record.models {
            let upstreams = self.by_model.entry(model.clone()).or_default();
            upstreams.push(entry.clone());
        }
        for offer in &entry.record.services {
            let upstreams = self.by_service.entry(offer.name.clone()).or_default();
            upstreams.push(entry.clone());
        }
        self.upstreams.insert(entry.id.clone(), entry.clone());
    }
}

impl FleetView {
    /// Returns whether this view has the same records, leave marks and liveness as
    /// `other`, so that data derived from them does not have to be recomputed.
    pub fn has_same_content(&self, other: &FleetView) -> bool {
        Arc::ptr_eq(&self.index, &other.index)
            && self.leave_marks == other.leave_marks
            && (Arc::ptr_eq(&self.liveness, &other.liveness) || self.liveness == other.liveness)
    }

    /// Returns the revision up to which this view contains all changes.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the last time at which the store is known to have had no changes after
    /// [`revision`](Self::revision).
    pub fn fresh_as_of(&self) -> Option<Instant> {
        self.fresh_as_of
    }

    /// Determines the freshness of the configuration at `now`.
    pub fn freshness(&self, now: Instant) -> ViewFreshness {
        let (Some(settings), Some(fresh_as_of), true) =
            (self.settings(), self.fresh_as_of, self.ready)
        else {
            return ViewFreshness::Missing;
        };
        let age = now.saturating_duration_since(fresh_as_of);
        if age <= settings.staleness_bound() {
            return ViewFreshness::Fresh(age);
        }
        match settings.stale_policy {
            StalePolicy::Serve => ViewFreshness::ServedStale(age),
            StalePolicy::Refuse => ViewFreshness::Stale(age),
        }
    }

    /// Returns the fleet-wide settings, or `None` if they are not known yet.
    pub fn settings(&self) -> Option<&FleetSettings> {
        self.index.settings.as_deref().map(|entry| &entry.record)
    }

    /// Returns the revision of the fleet-wide settings.
    pub fn settings_revision(&self) -> Option<StoreRevision> {
        self.index.settings.as_deref().map(|entry| entry.revision)
    }

    /// Returns the workspace that an API key belongs to.
    ///
    /// The map is searched by digest, so the timing of the lookup reveals nothing about
    /// the key. The digests are then compared in constant time.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Arc<WorkspaceEntry>> {
        let digest = KeyDigest::of_key(key);
        let (found, entry) = self.index.keys.get_key_value(&digest)?;
        found.matches(&digest).then_some(entry)
    }

    /// Returns a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceEntry>> {
        self.index.workspaces.get(id)
    }

    /// Iterates over all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.index.workspaces.values()
    }

    /// Returns a profile.
    pub fn profile(&self, name: &ProfileName) -> Option<&Arc<ProfileEntry>> {
        self.index.profiles.get(name)
    }

    /// Iterates over all profiles.
    pub fn profiles(&self) -> impl Iterator<Item = &Arc<ProfileEntry>> {
        self.index.profiles.values()
    }

    /// Returns an upstream.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Arc<UpstreamEntry>> {
        self.index.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        self.index.upstreams.values()
    }

    /// Returns the upstreams that serve a model, including leaving ones.
    pub fn upstreams_of_model(&self, model: &ModelName) -> &[Arc<UpstreamEntry>] {
        self.index.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the upstreams that offer a plain service, including leaving ones.
    pub fn upstreams_of_service(&self, service: &ModelName) -> &[Arc<UpstreamEntry>] {
        self.index
            .by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Iterates over the models that at least one upstream serves.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.index.by_model.keys()
    }

    /// Returns whether an upstream accepts no new work, due to its record or to a
    /// [`LeaveMark`] that no newer write has replaced.
    pub fn is_leaving(&self, upstream: &UpstreamEntry) -> bool {
        let marked = self
            .leave_marks
            .get(&upstream.id)
            .is_some_and(|mark| upstream.revision <= mark.over);
        marked || upstream.record.state == UpstreamState::Leaving
    }

    /// Iterates over the leave marks.
    pub fn leave_marks(&self) -> impl Iterator<Item = &LeaveMark> {
        self.leave_marks.values()
    }

    /// Iterates over all members with a role, including ended and leaving ones.
    pub fn members(&self, role: ProcessRole) -> impl Iterator<Item = &Arc<MemberEntry>> {
        let of_role = move |entry: &&Arc<MemberEntry>| entry.id.1 == role;
        self.index.members.values().filter(of_role)
    }

    /// Iterates over all members, including ended and leaving ones.
    pub fn all_members(&self) -> impl Iterator<Item = &Arc<MemberEntry>> {
        self.index.members.values()
    }

    /// Returns the process with a role on a VM.
    pub fn member(&self, vm: &VmId, role: ProcessRole) -> Option<&Arc<MemberEntry>> {
        self.index.members.get(&(vm.clone(), role))
    }

    /// Returns the liveness of a member, or `None` if it is in the normal state.
    pub fn liveness(&self, member: &IncarnationId) -> Option<&MemberLiveness> {
        self.liveness.get(member)
    }

    /// Returns whether a member is leaving.
    pub fn is_member_leaving(&self, entry: &MemberEntry) -> bool {
        let liveness = self.liveness(&entry.record.incarnation);
        entry.record.state == MemberState::Leaving || liveness.is_some_and(|found| found.leaving)
    }

    /// Returns whether a member is proven to have ended.
    pub fn is_ended(&self, entry: &MemberEntry) -> bool {
        self.liveness(&entry.record.incarnation)
            .is_some_and(|found| found.ended)
    }

    /// Returns whether a member is suspected to be down. A suspicion is not proof.
    ///
    /// Keepers monitor each other. If a keeper is suspected, all processes on its VM are.
    pub fn is_suspected(&self, entry: &MemberEntry) -> bool {
        let suspected = |entry: &MemberEntry| {
            self.liveness(&entry.record.incarnation)
                .is_some_and(|found| found.suspected)
        };
        let keeper = self.member(&entry.id.0, ProcessRole::Keeper);
        suspected(entry) || keeper.is_some_and(|keeper| suspected(keeper))
    }

    /// Iterates over the members with a role that are not ended, suspected or leaving.
    pub fn usable_members(&self, role: ProcessRole) -> impl Iterator<Item = &Arc<MemberEntry>> {
        self.members(role).filter(|entry| {
            let is_down = self.is_ended(entry) || self.is_suspected(entry);
            !is_down && !self.is_member_leaving(entry)
        })
    }

    /// Returns whether a member has reported that it cannot reach the store.
    pub fn has_lost_store(&self, entry: &MemberEntry) -> bool {
        self.liveness(&entry.record.incarnation)
            .is_some_and(|found| found.store_lost)
    }

    /// Returns the keeper that a shard is assigned to, among the usable keepers that can
    /// reach the store.
    ///
    /// If no keeper can reach the store, the store itself is down, and the shards stay
    /// where they are. A wrong result costs time but never safety, since the ledger's
    /// slots determine the owner of a shard.
    pub fn shard_owner(&self, shard: ShardId) -> Option<&Arc<MemberEntry>> {
        let name = shard.to_string();
        let usable = || self.usable_members(ProcessRole::Keeper);
        let connected = usable().filter(|entry| !self.has_lost_store(entry));
        rendezvous_owner(&name, connected, |entry| entry.id.0.as_str())
            .or_else(|| rendezvous_owner(&name, usable(), |entry| entry.id.0.as_str()))
    }

    /// Returns the address of a member for other processes of the fleet, or `None` if
    /// this incarnation is not registered.
    pub fn peer_address(&self, member: &IncarnationId) -> Option<SocketAddr> {
        let entry = self.member(&member.vm, member.role)?;
        (&entry.record.incarnation == member).then(|| entry.record.peer())
    }
}
