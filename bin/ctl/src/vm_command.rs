//! The commands `vm leave` and `vm forget`.

use clap::ArgMatches;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetView;
use snipegate_fleet::MemberEntry;
use snipegate_fleet::MemberState;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreRevision;
use snipegate_platform::SwapOutcome;
use snipegate_types::VmId;

use crate::fleet_client::FleetClient;
use crate::in_force::report_change;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;
use crate::outcome::ConflictVersions;

/// Runs a subcommand of `vm`.
pub(crate) async fn run(
    client: &FleetClient,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let (action, matches) = matches.subcommand().expect("required");
    let text = matches.get_one::<String>("vm").expect("required");
    let not_found = || CommandError::NotFound {
        subject: format!("a member on VM {text}"),
    };
    let vm: VmId = text.parse().map_err(|_| not_found())?;
    let view = client.view().await?;
    let entries = view.all_members().filter(|entry| entry.id.0 == vm);
    let entries: Vec<&MemberEntry> = entries.map(AsRef::as_ref).collect();
    if entries.is_empty() {
        return Err(not_found());
    }
    let mut newest = StoreRevision::default();
    for entry in entries {
        let revision = match action {
            "leave" => leave(client, entry).await?,
            "forget" => forget(client, &view, entry).await?,
            other => unreachable!("command {other} is not declared"),
        };
        newest = newest.max(revision);
    }
    report_change(client, text, newest, json!({"vm": text})).await
}

/// Marks a member as leaving.
async fn leave(client: &FleetClient, entry: &MemberEntry) -> Result<StoreRevision, CommandError> {
    let mut record = entry.record.clone();
    record.state = MemberState::Leaving;
    let value = serde_json::to_vec(&record).expect("records have text keys only");
    let key = member_key(entry);
    let expected = ExpectedVersion::At(entry.revision);
    let outcome = client.store.swap(&key, expected, value, None).await?;
    swapped_revision(key, outcome)
}

/// Removes the record of a member that has ended.
async fn forget(
    client: &FleetClient,
    view: &FleetView,
    entry: &MemberEntry,
) -> Result<StoreRevision, CommandError> {
    let key = member_key(entry);
    if !view.is_ended(entry) {
        return Err(CommandError::Rejected {
            reason: format!(
                "{key}: the process is not proven to have ended, so it may still be running"
            ),
        });
    }
    let expected = ExpectedVersion::At(entry.revision);
    let outcome = client.store.remove(&key, expected).await?;
    swapped_revision(key, outcome)
}

fn member_key(entry: &MemberEntry) -> String {
    let (vm, role) = entry.id.clone();
    FleetKey::Member(vm, role).to_string()
}

fn swapped_revision(key: String, outcome: SwapOutcome) -> Result<StoreRevision, CommandError> {
    match outcome {
        SwapOutcome::Swapped(revision) => Ok(revision),
        SwapOutcome::Conflict(found) => Err(CommandError::Conflict {
            key,
            versions: Box::new(ConflictVersions {
                yours: Value::Null,
                theirs: json!(found.map(|found| found.revision)),
            }),
            may_have_applied: false,
        }),
    }
}
