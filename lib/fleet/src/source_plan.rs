//! Which keepers watch the store, and which keeper each of them follows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;

use crate::rendezvous::rendezvous_weight;
use crate::view::FleetView;

/// Which keepers watch the store.
///
/// Some of each data centre do and the others follow them, so that the store
/// carries a few waiting watches for each data centre and not one for each VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatcherSet {
    watchers: IndexSet<VmId>,
}

impl WatcherSet {
    /// Chooses the watchers among the keepers that are up.
    pub fn choose(view: &FleetView) -> Self {
        let wanted = view.settings().map_or(1, |s| s.watchers_per_data_centre);
        let mut places: IndexMap<&DataCentre, Vec<&VmId>> = IndexMap::new();
        for entry in view.usable_members(ProcessRole::Keeper) {
            let place = places.entry(&entry.record.data_centre).or_default();
            place.push(&entry.id.0);
        }
        let mut watchers = IndexSet::new();
        for (data_centre, mut vms) in places {
            vms.sort_by_cached_key(|vm| rendezvous_weight(data_centre.as_str(), vm.as_str()));
            let chosen = vms.into_iter().rev().take(wanted.into());
            watchers.extend(chosen.cloned());
        }
        Self { watchers }
    }

    /// Tells whether the keeper of `vm` watches the store.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.watchers.contains(vm)
    }

    /// Returns how many keepers watch the store.
    pub fn len(&self) -> usize {
        self.watchers.len()
    }

    /// Tells whether no keeper is known to watch the store.
    pub fn is_empty(&self) -> bool {
        self.watchers.is_empty()
    }
}

/// Returns the keepers that the keeper of `vm` may follow, best first.
///
/// A watcher prefers watchers of other data centres, whose way to the store may
/// differ from its own; any other keeper prefers watchers of its own.
pub fn peers_to_follow(
    view: &FleetView,
    watchers: &WatcherSet,
    vm: &VmId,
    data_centre: &DataCentre,
) -> Vec<SocketAddr> {
    let watching = watchers.contains(vm);
    let mut ranked: Vec<_> = view
        .members(ProcessRole::Keeper)
        .filter(|entry| &entry.id.0 != vm)
        .map(|entry| {
            let near = &entry.record.data_centre == data_centre;
            let weight = rendezvous_weight(vm.as_str(), entry.id.0.as_str());
            let rank = (
                view.is_suspected(entry),
                !watchers.contains(&entry.id.0),
                near == watching,
                u64::MAX - weight,
            );
            (rank, entry.record.peer())
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, address)| address).collect()
}
