//! Which keepers watch the store, and which keeper each of them follows.

use std::net::SocketAddr;

use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;

use crate::rendezvous::rendezvous_weight;
use crate::view::FleetView;
use crate::view::MemberEntry;

/// Returns whether the keeper of `vm` is one of its data centre's watchers.
///
/// The others follow them, so that the store carries a few waiting watches for
/// each data centre and not one for each VM.
pub fn is_watcher(view: &FleetView, vm: &VmId, data_centre: &DataCentre) -> bool {
    let watchers = watcher_count(view);
    let rank = (watch_weight(data_centre, vm), vm);
    let ahead = view
        .usable_members(ProcessRole::Keeper)
        .filter(|entry| &entry.record.data_centre == data_centre && &entry.id.0 != vm)
        .filter(|entry| (watch_weight(data_centre, &entry.id.0), &entry.id.0) > rank)
        .count();
    ahead < watchers
}

/// Returns the keepers that the keeper of `vm` may follow, best first.
///
/// A watcher prefers watchers of other data centres, whose way to the store may
/// differ from its own; any other keeper prefers watchers of its own.
pub fn peers_to_follow(view: &FleetView, vm: &VmId, data_centre: &DataCentre) -> Vec<SocketAddr> {
    let watching = is_watcher(view, vm, data_centre);
    let mut ranked: Vec<_> = view
        .members(ProcessRole::Keeper)
        .filter(|entry| &entry.id.0 != vm)
        .map(|entry| {
            let near = &entry.record.data_centre == data_centre;
            let watches = is_watcher(view, &entry.id.0, &entry.record.data_centre);
            let weight = rendezvous_weight(vm.as_str(), entry.id.0.as_str());
            let rank = (
                view.is_suspected(entry),
                !watches,
                near == watching,
                u64::MAX - weight,
            );
            (rank, peer(entry))
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, address)| address).collect()
}

fn peer(entry: &MemberEntry) -> SocketAddr {
    entry.record.peer()
}

fn watcher_count(view: &FleetView) -> usize {
    let settings = view.settings();
    settings.map_or(1, |settings| settings.watchers_per_data_centre.into())
}

fn watch_weight(data_centre: &DataCentre, vm: &VmId) -> u64 {
    rendezvous_weight(data_centre.as_str(), vm.as_str())
}
