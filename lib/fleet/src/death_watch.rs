//! Proof that a run of a process has ended.

use indexmap::IndexMap;
use snipegate_platform::VmListing;
use snipegate_platform::VmState;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;
use strum::Display;

use crate::view::FleetView;

/// Why a run of a process is known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum DeathCause {
    /// Its VM was in the VM list and a later version of the list lacks it.
    VmGone {
        /// The later version.
        version: u64,
    },
    /// A later run of the role has registered on its VM. A process holds a
    /// guard port for its whole life, so the later run began after its end.
    Succeeded {
        /// The later run.
        by: IncarnationId,
    },
}

/// The roles that a VM may run.
const ROLES: [ProcessRole; 3] = [
    ProcessRole::Router,
    ProcessRole::Keeper,
    ProcessRole::Directory,
];

/// What a keeper has seen of the VM list.
///
/// Suspicion, a missed heartbeat or a lapsed lease are never proof: the
/// process may be paused.
#[derive(Clone, Debug, Default)]
pub struct DeathWatch {
    /// Version of the newest listing seen.
    newest: Option<u64>,
    /// The VMs of that listing.
    listed: IndexMap<VmId, VmState>,
    /// The first version in which each VM was seen here.
    seen: IndexMap<VmId, u64>,
}

impl DeathWatch {
    /// Makes a watch that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a listing; tells whether it is newer than the newest seen.
    pub fn observe(&mut self, listing: VmListing) -> bool {
        if self
            .newest
            .is_some_and(|version| version >= listing.version)
        {
            return false;
        }
        for listed in &listing.vms {
            self.seen
                .entry(listed.vm.clone())
                .or_insert(listing.version);
        }
        self.newest = Some(listing.version);
        let listed = listing.vms.into_iter().map(|l| (l.vm, l.state));
        self.listed = listed.collect();
        true
    }

    /// Returns the state of a VM in the newest listing seen.
    pub fn vm_state(&self, vm: &VmId) -> Option<VmState> {
        self.listed.get(vm).copied()
    }

    /// Returns the version of the newest listing, if it holds `vm`.
    pub fn listed_at(&self, vm: &VmId) -> Option<u64> {
        self.listed.get(vm).and(self.newest)
    }

    /// Returns the proof that a run has ended, if there is one.
    pub fn proof(&self, member: &IncarnationId, view: &FleetView) -> Option<DeathCause> {
        let registered = view.member(&member.vm, member.role);
        if let Some(entry) = registered
            && entry.record.incarnation.start > member.start
        {
            let by = entry.record.incarnation.clone();
            return Some(DeathCause::Succeeded { by });
        }
        let version = self.newest?;
        let first_seen = self.first_listed(&member.vm, view)?;
        let gone = first_seen < version && !self.listed.contains_key(&member.vm);
        gone.then_some(DeathCause::VmGone { version })
    }

    /// Returns a version of the list that is known to have held `vm`: seen here,
    /// or recorded by a process of that VM.
    fn first_listed(&self, vm: &VmId, view: &FleetView) -> Option<u64> {
        let recorded = ROLES
            .into_iter()
            .filter_map(|role| view.member(vm, role))
            .filter_map(|entry| entry.record.listed_at);
        self.seen.get(vm).copied().into_iter().chain(recorded).min()
    }
}
