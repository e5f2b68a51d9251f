//! Waits until a change is in force everywhere, that is, confirmed by all members.

use std::time::Duration;
use std::time::Instant;

use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::unconfirmed_members;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;

use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;
use crate::outcome::ExitStatus;

/// Interval at which the keepers are polled for confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until all members have confirmed `revision`, and reports the members that
/// have not done so within the timeout.
pub(crate) async fn report_change(
    client: &FleetClient,
    subject: &str,
    revision: StoreRevision,
    mut fields: Value,
) -> Result<CommandReport, CommandError> {
    let start = Instant::now();
    let unconfirmed = wait_until_in_force(client, revision, start).await?;
    let elapsed = start.elapsed();
    fields["revision"] = json!(revision);
    fields["in_force"] = json!(unconfirmed.is_empty());
    fields["unconfirmed"] = json!(
        unconfirmed
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    );
    let (text, exit) = match unconfirmed.as_slice() {
        [] => (
            format!("{subject}: in force everywhere at revision {revision} after {elapsed:.1?}"),
            ExitStatus::Done,
        ),
        _ => (
            unconfirmed_text(subject, revision, &unconfirmed),
            ExitStatus::NotInForce,
        ),
    };
    Ok(CommandReport {
        json: fields,
        text,
        exit,
    })
}

fn unconfirmed_text(
    subject: &str,
    revision: StoreRevision,
    unconfirmed: &[IncarnationId],
) -> String {
    let names: String = unconfirmed.iter().map(|m| format!("  {m}\n")).collect();
    format!("{subject}: stored at revision {revision}, not confirmed by\n{names}")
}

/// Returns the members that have not confirmed `revision` when the timeout expires.
async fn wait_until_in_force(
    client: &FleetClient,
    revision: StoreRevision,
    start: Instant,
) -> Result<Vec<IncarnationId>, CommandError> {
    loop {
        let view = client.view().await?;
        let statuses = client.statuses(&view).await;
        let unconfirmed = unconfirmed_members(&view, &statuses, revision);
        if unconfirmed.is_empty() || start.elapsed() >= client.confirm_timeout {
            return Ok(unconfirmed);
        }
        sleep(POLL_INTERVAL).await;
    }
}
