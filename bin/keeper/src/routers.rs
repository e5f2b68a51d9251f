//! Lists the routers that are registered in the store.

use snipegate_fleet::FleetKey;
use snipegate_fleet::MemberRecord;
use snipegate_platform::ConfigStore;
use snipegate_platform::list_all;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

/// Returns all registered routers.
///
/// Returns `None` if the store call fails or the record of a router cannot be
/// decoded, since a router missing from the list would not be sent a fence request.
pub(crate) async fn list_routers<S: ConfigStore>(store: &S) -> Option<Vec<IncarnationId>> {
    let listing = list_all(store, FleetKey::MEMBER_PREFIX).await.ok()?;
    let mut routers = Vec::new();
    for (key, stored) in listing.entries {
        let Ok(FleetKey::Member(_, ProcessRole::Router)) = key.parse() else {
            continue;
        };
        let record: MemberRecord = serde_json::from_slice(&stored.value).ok()?;
        routers.push(record.incarnation);
    }
    Some(routers)
}
