//! Tracking of whether all members have applied a configuration change.

use indexmap::IndexMap;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;

use crate::service::FleetStatus;
use crate::view::FleetView;

/// Returns the members that have not confirmed all changes up to `revision`.
///
/// A keeper confirms through its status, any other member through the revision in its
/// last query to a keeper. A member is left out only if it is proven to have ended:
/// an unreachable member may still be serving with the previous configuration.
pub fn unconfirmed_members(
    view: &FleetView,
    statuses: &[FleetStatus],
    revision: StoreRevision,
) -> Vec<IncarnationId> {
    let mut confirmed: IndexMap<&IncarnationId, StoreRevision> = IndexMap::new();
    for status in statuses {
        let followers = status.followers.iter().map(|f| (&f.member, f.revision));
        let keeper = std::iter::once((&status.keeper, status.revision));
        for (member, known) in keeper.chain(followers) {
            let newest = confirmed.entry(member).or_default();
            *newest = known.max(*newest);
        }
    }
    let has_confirmed = |member: &IncarnationId| {
        let known = confirmed.get(member);
        known.is_some_and(|known| *known >= revision)
    };
    view.all_members()
        .filter(|entry| !view.is_ended(entry))
        .map(|entry| &entry.record.incarnation)
        .filter(|member| !has_confirmed(member))
        .cloned()
        .collect()
}
