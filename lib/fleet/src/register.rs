//! Carrying out of a registration.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use ntex::time::sleep;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::TimeSource;
use snipegate_types::VmId;

use crate::back_off::BackOff;
use crate::key::FleetKey;
use crate::member::MemberRecord;
use crate::registration::Registration;
use crate::registration::RegistrationStep;
use crate::registration::choose_start;

/// Brings the record of `registration` into the store, for as long as it takes.
///
/// # Errors
///
/// Fails with the later run that has registered in its place.
pub async fn register_member<S: ConfigStore>(
    store: &S,
    registration: &mut Registration,
) -> Result<StoreRevision, IncarnationId> {
    let mut back_off = BackOff::new(Duration::from_millis(50), Duration::from_secs(2));
    let key = registration.key();
    loop {
        let failed = match registration.step() {
            RegistrationStep::Registered(revision) => return Ok(revision),
            RegistrationStep::Superseded(by) => return Err(by),
            RegistrationStep::Read => {
                let answer = store.read(&key).await;
                let failed = answer.is_err();
                registration.read(answer);
                failed
            }
            RegistrationStep::Write { expected, value } => {
                let answer = store.swap(&key, expected, value, None).await;
                let failed = answer.is_err();
                registration.written(answer);
                failed
            }
        };
        if failed {
            sleep(back_off.failed()).await;
        }
    }
}

/// Names a run that begins now, later than the registered one's if the store
/// can tell which that is.
///
/// The caller holds the guard port of `role`, so the registered run has ended.
pub async fn choose_incarnation<S: ConfigStore>(
    store: &S,
    clock: &dyn TimeSource,
    vm: &VmId,
    role: ProcessRole,
) -> IncarnationId {
    let key = FleetKey::Member(vm.clone(), role).to_string();
    let stored = store.read(&key).await.ok().flatten();
    let record = stored.and_then(|s| serde_json::from_slice::<MemberRecord>(&s.value).ok());
    let earlier = record.as_ref().map(|record| &record.incarnation);
    let wall = clock.wall().duration_since(UNIX_EPOCH);
    let wall_ns = wall.map_or(0, |wall| wall.as_nanos() as u64);
    IncarnationId {
        vm: vm.clone(),
        role,
        start: choose_start(wall_ns, earlier),
    }
}
