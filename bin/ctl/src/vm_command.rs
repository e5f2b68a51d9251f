//! `vm leave` and `vm forget`.

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

/// Runs one of the commands on VMs.
pub(crate) async fn run(
    client: &FleetClient,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let (action, matches) = matches.subcommand().expect("required");
    let text = matches.get_one::<String>("vm").expect("required");
    let not_found = || CommandError::NotFound {
        what: format!("a member on VM {text}"),
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
        let changed = match action {
            "leave" => leave(client, entry).await?,
            "forget" => forget(client, &view, entry).await?,
            other => unreachable!("command {other} is not declared"),
        };
        newest = newest.max(changed);
    }
    report_change(client, text, newest, json!({"vm": text})).await
}

async fn leave(client: &FleetClient, entry: &MemberEntry) -> Result<StoreRevision, CommandError> {
    let mut record = entry.record.clone();
    record.state = MemberState::Leaving;
    let value = serde_json::to_vec(&record).expect("records have text keys only");
    let key = key_of(entry);
    let expected = ExpectedVersion::At(entry.revision);
    let outcome = client.store.swap(&key, expected, value, None).await?;
    changed(key, outcome)
}

async fn forget(
    client: &FleetClient,
    view: &FleetView,
    entry: &MemberEntry,
) -> Result<StoreRevision, CommandError> {
    let key = key_of(entry);
    if !view.is_ended(entry) {
        return Err(CommandError::Fixed {
            what: format!("{key}: the VM has not gone from the VM list, so it may still run"),
        });
    }
    let expected = ExpectedVersion::At(entry.revision);
    let outcome = client.store.remove(&key, expected).await?;
    changed(key, outcome)
}

fn key_of(entry: &MemberEntry) -> String {
    let (vm, role) = entry.id.clone();
    FleetKey::Member(vm, role).to_string()
}

fn changed(key: String, outcome: SwapOutcome) -> Result<StoreRevision, CommandError> {
    match outcome {
        SwapOutcome::Swapped(revision) => Ok(revision),
        SwapOutcome::Conflict(found) => Err(CommandError::Conflict {
            what: key,
            versions: Box::new(ConflictVersions {
                yours: Value::Null,
                theirs: json!(found.map(|found| found.revision)),
            }),
            may_have_applied: false,
        }),
    }
}
