//! Selection of the keepers that watch the store, and of the peers that a keeper
//! follows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;
use snipegate_types::rendezvous_weight;

use crate::view::FleetView;

/// The keepers that watch the store.
///
/// A few keepers in each data centre watch the store and the others follow them, so
/// that the number of pending watches grows with the number of data centres and not
/// with the number of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatcherSet {
    watchers: IndexSet<VmId>,
}

impl WatcherSet {
    /// Selects the watchers among the usable keepers.
    pub fn choose(view: &FleetView) -> Self {
        let count = view.settings().map_or(1, |s| s.watchers_per_data_centre);
        let mut keepers_by_data_centre: IndexMap<&DataCentre, Vec<&VmId>> = IndexMap::new();
        for entry in view.usable_members(ProcessRole::Keeper) {
            let keepers = keepers_by_data_centre
                .entry(&entry.record.data_centre)
                .or_default();
            keepers.push(&entry.id.0);
        }
        let mut watchers = IndexSet::new();
        for (data_centre, mut vms) in keepers_by_data_centre {
            vms.sort_by_cached_key(|vm| rendezvous_weight(data_centre.as_str(), vm.as_str()));
            let chosen = vms.into_iter().rev().take(count.into());
            watchers.extend(chosen.cloned());
        }
        Self { watchers }
    }

    /// Returns whether the keeper on `vm` is one of the watchers.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.watchers.contains(vm)
    }

    /// Returns the number of watchers.
    pub fn len(&self) -> usize {
        self.watchers.len()
    }

    /// Returns whether there are no watchers.
    pub fn is_empty(&self) -> bool {
        self.watchers.is_empty()
    }
}

/// Returns the addresses of the keepers that the keeper on `vm` may follow, in order
/// of preference.
///
/// A watcher prefers watchers in other data centres, whose network path to the store
/// may differ from its own. Any other keeper prefers watchers in its data centre.
pub fn peers_to_follow(
    view: &FleetView,
    watchers: &WatcherSet,
    vm: &VmId,
    data_centre: &DataCentre,
) -> Vec<SocketAddr> {
    let is_watcher = watchers.contains(vm);
    let mut ranked: Vec<_> = view
        .members(ProcessRole::Keeper)
        .filter(|entry| &entry.id.0 != vm)
        .map(|entry| {
            let same_data_centre = &entry.record.data_centre == data_centre;
            let weight = rendezvous_weight(vm.as_str(), entry.id.0.as_str());
            let rank = (
                view.is_suspected(entry),
                !watchers.contains(&entry.id.0),
                same_data_centre == is_watcher,
                u64::MAX - weight,
            );
            (rank, entry.record.peer())
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, address)| address).collect()
}
