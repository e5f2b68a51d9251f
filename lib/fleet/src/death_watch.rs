//! Proof that a run of a process has ended.

use indexmap::IndexMap;
use snipegate_platform::VmListing;
use snipegate_types::IncarnationId;
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

/// What a keeper has seen of the VM list.
///
/// Suspicion, a missed heartbeat or a lapsed lease are never proof: the
/// process may be paused.
#[derive(Clone, Debug, Default)]
pub struct DeathWatch {
    newest: Option<VmListing>,
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
        let known = self.newest.as_ref().map(|newest| newest.version);
        if known.is_some_and(|version| version >= listing.version) {
            return false;
        }
        for listed in &listing.vms {
            self.seen
                .entry(listed.vm.clone())
                .or_insert(listing.version);
        }
        self.newest = Some(listing);
        true
    }

    /// Returns the newest listing seen.
    pub fn newest(&self) -> Option<&VmListing> {
        self.newest.as_ref()
    }

    /// Returns the version of the newest listing, if it holds `vm`.
    pub fn listed_at(&self, vm: &VmId) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        let listed = newest.vms.iter().any(|listed| &listed.vm == vm);
        listed.then_some(newest.version)
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
        let newest = self.newest.as_ref()?;
        let first_seen = self.first_listed(&member.vm, view)?;
        let gone = first_seen < newest.version && self.listed_at(&member.vm).is_none();
        gone.then_some(DeathCause::VmGone {
            version: newest.version,
        })
    }

    /// Returns a version of the list that is known to have held `vm`: seen here,
    /// or recorded by a process of that VM.
    fn first_listed(&self, vm: &VmId, view: &FleetView) -> Option<u64> {
        let recorded = view
            .all_members()
            .filter(|entry| &entry.id.0 == vm)
            .filter_map(|entry| entry.record.listed_at);
        self.seen.get(vm).copied().into_iter().chain(recorded).min()
    }
}
