//! Whether a change is in force everywhere.

use indexmap::IndexMap;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;

use crate::service::FleetStatus;
use crate::view::FleetView;

/// Returns the members that have not confirmed everything up to `revision`.
///
/// A keeper confirms by its status, any other member by what it last asked a
/// keeper for. Only proof of its end excuses a member: one that can't be
/// reached may still serve under the version before.
pub fn unconfirmed_members(
    view: &FleetView,
    statuses: &[FleetStatus],
    revision: StoreRevision,
) -> Vec<IncarnationId> {
    let mut confirmed: IndexMap<&IncarnationId, StoreRevision> = IndexMap::new();
    for status in statuses {
        let followers = status.followers.iter().map(|f| (&f.member, f.revision));
        let own = std::iter::once((&status.keeper, status.revision));
        for (member, known) in own.chain(followers) {
            let newest = confirmed.entry(member).or_default();
            *newest = known.max(*newest);
        }
    }
    let confirms = |member: &IncarnationId| {
        let known = confirmed.get(member);
        known.is_some_and(|known| *known >= revision)
    };
    view.all_members()
        .filter(|entry| !view.is_ended(entry))
        .map(|entry| &entry.record.incarnation)
        .filter(|member| !confirms(member))
        .cloned()
        .collect()
}
