//! Choice of the incarnation ID of a new process.

use std::time::UNIX_EPOCH;

use snipegate_platform::ConfigStore;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::TimeSource;
use snipegate_types::VmId;

use crate::key::FleetKey;
use crate::member::MemberRecord;
use crate::registration::choose_start;

/// Returns the incarnation ID of this process.
///
/// It is later than the registered incarnation, if that can be read from the store.
pub async fn choose_incarnation<S: ConfigStore>(
    store: &S,
    vm: &VmId,
    role: ProcessRole,
    clock: &dyn TimeSource,
) -> IncarnationId {
    let key = FleetKey::Member(vm.clone(), role).to_string();
    let stored = store.read(&key).await.ok().flatten();
    let record = stored.and_then(|s| serde_json::from_slice::<MemberRecord>(&s.value).ok());
    let registered = record.as_ref().map(|record| &record.incarnation);
    let wall = clock.wall_time().duration_since(UNIX_EPOCH);
    let wall_ns = wall.map_or(0, |wall| wall.as_nanos() as u64);
    IncarnationId {
        vm: vm.clone(),
        role,
        start: choose_start(wall_ns, registered),
    }
}
