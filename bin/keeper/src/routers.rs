//! Reads from the store which routers are registered.

use snipegate_fleet::FleetKey;
use snipegate_fleet::MemberRecord;
use snipegate_platform::ConfigStore;
use snipegate_platform::list_all;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

/// Returns every registered router, or nothing if the store fails or holds a
/// member record that can't be read: a router left out would not be asked.
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
