//! Execution of a [`Registration`] against the configuration store.

use std::time::Duration;

use ntex::time::sleep;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;

use crate::back_off::BackOff;
use crate::registration::Registration;
use crate::registration::RegistrationStep;

/// Stores the record of `registration`, retrying until it succeeds.
///
/// # Errors
///
/// Returns the later incarnation if one has registered under the same key.
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
                registration.handle_read(answer);
                failed
            }
            RegistrationStep::Write { expected, value } => {
                let answer = store.swap(&key, expected, value, None).await;
                let failed = answer.is_err();
                registration.handle_write(answer);
                failed
            }
        };
        if failed {
            sleep(back_off.next_delay()).await;
        }
    }
}
