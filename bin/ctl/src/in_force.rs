//! Waiting until a change is in force everywhere.

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

/// Time between two rounds of questions to the keepers.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Waits until every member has confirmed `revision` and reports who has not.
pub(crate) async fn report_change(
    client: &FleetClient,
    what: &str,
    revision: StoreRevision,
    mut fields: Value,
) -> Result<CommandReport, CommandError> {
    let began = Instant::now();
    let missing = wait_until_in_force(client, revision, began).await?;
    let took = began.elapsed();
    fields["revision"] = json!(revision);
    fields["in_force"] = json!(missing.is_empty());
    fields["unconfirmed"] = json!(missing.iter().map(ToString::to_string).collect::<Vec<_>>());
    let (text, exit) = match missing.as_slice() {
        [] => (
            format!("{what}: in force everywhere at revision {revision} after {took:.1?}"),
            ExitStatus::Done,
        ),
        _ => (
            not_in_force(what, revision, &missing),
            ExitStatus::NotInForce,
        ),
    };
    Ok(CommandReport {
        json: fields,
        text,
        exit,
    })
}

fn not_in_force(what: &str, revision: StoreRevision, missing: &[IncarnationId]) -> String {
    let names: String = missing.iter().map(|m| format!("  {m}\n")).collect();
    format!("{what}: stored at revision {revision}, not confirmed by\n{names}")
}

async fn wait_until_in_force(
    client: &FleetClient,
    revision: StoreRevision,
    began: Instant,
) -> Result<Vec<IncarnationId>, CommandError> {
    loop {
        let view = client.view().await?;
        let statuses = client.statuses(&view).await;
        let missing = unconfirmed_members(&view, &statuses, revision);
        if missing.is_empty() || began.elapsed() >= client.wait {
            return Ok(missing);
        }
        sleep(ASK_AGAIN).await;
    }
}
