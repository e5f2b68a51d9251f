//! Proof that an incarnation of a process has ended.

use indexmap::IndexMap;
use snipegate_platform::VmListing;
use snipegate_platform::VmState;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;
use strum::Display;

use crate::view::FleetView;

/// The reason why an incarnation of a process is known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum DeathCause {
    /// Its VM was in the VM list and is missing from a later version of the list.
    VmGone {
        /// The version of the list that lacks the VM.
        version: u64,
    },
    /// A later incarnation of the role has registered on its VM. A process holds a
    /// guard port for its whole lifetime, so the later one started after it ended.
    #[strum(serialize = "succeeded")]
    Superseded {
        /// The later incarnation.
        by: IncarnationId,
    },
}

/// The process roles that may run on a VM.
const ROLES: [ProcessRole; 3] = [
    ProcessRole::Router,
    ProcessRole::Keeper,
    ProcessRole::Directory,
];

/// The state of the VM list as observed by a keeper.
///
/// A suspicion, a missed heartbeat or an expired lease never proves that a process
/// has ended, since it may only be paused.
#[derive(Clone, Debug, Default)]
pub struct DeathWatch {
    /// Version of the newest observed listing.
    newest_version: Option<u64>,
    /// The VMs in the newest observed listing.
    listed: IndexMap<VmId, VmState>,
    /// The first observed version that lists each VM.
    first_seen_in: IndexMap<VmId, u64>,
}

impl DeathWatch {
    /// Creates a watch that has observed no listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a listing if it is newer than the newest observed one, and returns
    /// whether it was.
    pub fn observe(&mut self, listing: VmListing) -> bool {
        if self
            .newest_version
            .is_some_and(|version| version >= listing.version)
        {
            return false;
        }
        for listed in &listing.vms {
            self.first_seen_in
                .entry(listed.vm.clone())
                .or_insert(listing.version);
        }
        self.newest_version = Some(listing.version);
        let listed = listing.vms.into_iter().map(|l| (l.vm, l.state));
        self.listed = listed.collect();
        true
    }

    /// Returns the state of a VM in the newest observed listing.
    pub fn vm_state(&self, vm: &VmId) -> Option<VmState> {
        self.listed.get(vm).copied()
    }

    /// Returns the version of the newest observed listing if it contains `vm`.
    pub fn listed_at(&self, vm: &VmId) -> Option<u64> {
        self.listed.get(vm).and(self.newest_version)
    }

    /// Returns the proof that an incarnation has ended, if there is one.
    pub fn proof(&self, member: &IncarnationId, view: &FleetView) -> Option<DeathCause> {
        let registered = view.member(&member.vm, member.role);
        if let Some(entry) = registered
            && entry.record.incarnation.start > member.start
        {
            let by = entry.record.incarnation.clone();
            return Some(DeathCause::Superseded { by });
        }
        let version = self.newest_version?;
        let first_seen = self.first_listed(&member.vm, view)?;
        let gone = first_seen < version && !self.listed.contains_key(&member.vm);
        gone.then_some(DeathCause::VmGone { version })
    }

    /// Returns the lowest version of the list that is known to contain `vm`, either
    /// observed by this keeper or recorded by a process of that VM.
    fn first_listed(&self, vm: &VmId, view: &FleetView) -> Option<u64> {
        let recorded = ROLES
            .into_iter()
            .filter_map(|role| view.member(vm, role))
            .filter_map(|entry| entry.record.listed_at);
        self.first_seen_in
            .get(vm)
            .copied()
            .into_iter()
            .chain(recorded)
            .min()
    }
}
