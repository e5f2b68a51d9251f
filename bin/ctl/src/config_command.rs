//! `profile`, `upstream`, `workspace` and `fleet-settings`.

use std::fs;
use std::io;
use std::io::Read;

use clap::ArgMatches;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::ConfigEdit;
use snipegate_fleet::EditError;
use snipegate_fleet::EditStep;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetRecord;
use snipegate_fleet::set_field;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_platform::list_all;
use snipegate_types::OperationId;

use crate::config_kind::ConfigKind;
use crate::fleet_client::FleetClient;
use crate::in_force::report_change;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;
use crate::outcome::ConflictVersions;
use crate::upstream_command;

/// How often a call to the store is tried before the command gives up.
const STORE_TRIES: u32 = 5;

/// Runs one of the commands on records.
pub(crate) async fn run(
    client: &FleetClient,
    name: &str,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let kind = ConfigKind::of_command(name);
    let (action, matches) = matches.subcommand().expect("required");
    if action == "list" {
        return list(client, kind).await;
    }
    let id = match kind {
        ConfigKind::Settings => "fleet",
        ConfigKind::Profile | ConfigKind::Upstream | ConfigKind::Workspace => {
            matches.get_one::<String>("id").expect("required").as_str()
        }
    };
    let key = kind.key(id)?;
    match action {
        "show" => show(client, &key).await,
        "put" => {
            let record = read_record(matches.get_one::<String>("file"))?;
            let base = base_version(client, &key, matches).await?;
            change(client, key, base, &record, operation(matches)).await
        }
        "edit" => edit(client, key, matches).await,
        "remove" => remove(client, &key, matches).await,
        "leave" => upstream_command::leave(client, id, operation(matches)).await,
        "return" => upstream_command::take_back(client, id, operation(matches)).await,
        other => unreachable!("command {other} is not declared"),
    }
}

/// Returns the operation that a command line names, or a new one.
pub(crate) fn operation(matches: &ArgMatches) -> OperationId {
    let named = matches.get_one::<OperationId>("operation").copied();
    named.unwrap_or_else(|| OperationId::from_number(fastrand::u128(..)))
}

async fn list(client: &FleetClient, kind: ConfigKind) -> Result<CommandReport, CommandError> {
    let listing = list_all(&client.store, kind.prefix()).await?;
    let records = listing.entries.iter().map(|(key, stored)| {
        let id = key.strip_prefix(kind.prefix()).unwrap_or(key);
        json!({"id": id, "revision": stored.revision, "record": to_json(&stored.value)})
    });
    let records: Vec<Value> = records.collect();
    let lines = records.iter().map(|entry| {
        let id = entry["id"].as_str().unwrap_or_default();
        format!("{id:<32} {:>10}\n", entry["revision"].to_string())
    });
    let text = format!("{:<32} {:>10}\n", "ID", "REVISION") + &lines.collect::<String>();
    Ok(CommandReport::done(Value::Array(records), text))
}

async fn show(client: &FleetClient, key: &FleetKey) -> Result<CommandReport, CommandError> {
    let stored = existing(client, key).await?;
    let record = to_json(&stored.value);
    let text = format!("revision {}\n{record:#}", stored.revision);
    let fields = json!({"revision": stored.revision, "record": record});
    Ok(CommandReport::done(fields, text))
}

/// Reads a record that must exist.
pub(crate) async fn existing(
    client: &FleetClient,
    key: &FleetKey,
) -> Result<StoredValue, CommandError> {
    let found = client.store.read(&key.to_string()).await?;
    found.ok_or_else(|| CommandError::NotFound {
        what: key.to_string(),
    })
}

fn read_record(path: Option<&String>) -> Result<Vec<u8>, CommandError> {
    let mut bytes = Vec::new();
    let read = match path.map(String::as_str) {
        None | Some("-") => io::stdin().read_to_end(&mut bytes).map(drop),
        Some(path) => fs::read(path).map(|read| bytes = read),
    };
    read.map_err(|error| CommandError::File {
        path: path.cloned().unwrap_or_else(|| "-".to_owned()),
        error: error.to_string(),
    })?;
    Ok(bytes)
}

/// Reads the version that the change is made against.
async fn base_version(
    client: &FleetClient,
    key: &FleetKey,
    matches: &ArgMatches,
) -> Result<Option<StoredValue>, CommandError> {
    let mut base = client.store.read(&key.to_string()).await?;
    if let Some(revision) = matches.get_one::<u64>("expect") {
        // A base that the operator did not see must not be replaced; the write
        // fails at this revision and shows what is there.
        let value = base.take().map_or_else(Vec::new, |stored| stored.value);
        base = Some(StoredValue {
            revision: StoreRevision(*revision),
            value,
        });
    }
    Ok(base)
}

async fn edit(
    client: &FleetClient,
    key: FleetKey,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let base = base_version(client, &key, matches).await?;
    let Some(base) = base else {
        let what = key.to_string();
        return Err(CommandError::NotFound { what });
    };
    let refused = |error: EditError| CommandError::Record {
        what: key.to_string(),
        error,
    };
    let mut record = match matches.get_one::<String>("file") {
        Some(path) => to_json(&read_record(Some(path))?),
        None => to_json(&base.value),
    };
    for assignment in matches.get_many::<String>("set").unwrap_or_default() {
        set_field(&mut record, assignment).map_err(refused)?;
    }
    let bytes = serde_json::to_vec(&record).expect("JSON values can be written");
    change(client, key, Some(base), &bytes, operation(matches)).await
}

/// Writes a record against the version that was read, and waits until the
/// change is in force.
pub(crate) async fn change(
    client: &FleetClient,
    key: FleetKey,
    base: Option<StoredValue>,
    record: &[u8],
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let what = key.to_string();
    let revision = write(client, key, base, record, operation).await?;
    let fields = json!({"key": what, "operation": operation.to_string()});
    report_change(client, &what, revision, fields).await
}

/// Writes a record against the version that was read.
pub(crate) async fn write(
    client: &FleetClient,
    key: FleetKey,
    base: Option<StoredValue>,
    record: &[u8],
    operation: OperationId,
) -> Result<StoreRevision, CommandError> {
    let what = key.to_string();
    check_fixed(&key, base.as_ref(), record)?;
    let edit = ConfigEdit::new(key, base, record, operation);
    let mut edit = edit.map_err(|error| CommandError::Record {
        what: what.clone(),
        error,
    })?;
    let mut failures = 0;
    loop {
        let failed = match edit.step() {
            EditStep::Stored(revision) => return Ok(revision),
            EditStep::Conflict {
                found,
                may_have_applied,
            } => return Err(conflict(what, record, found.as_ref(), may_have_applied)),
            EditStep::Write { expected, value } => {
                let answer = client.store.swap(&what, expected, value, None).await;
                let failed = answer.as_ref().err().cloned();
                edit.handle_write(answer);
                failed
            }
            EditStep::Read => {
                let answer = client.store.read(&what).await;
                let failed = answer.as_ref().err().cloned();
                edit.handle_read(answer);
                failed
            }
        };
        let Some(error) = failed else { continue };
        failures += 1;
        if failures >= STORE_TRIES {
            return Err(give_up(&edit, error, &what, operation));
        }
    }
}

fn give_up(
    edit: &ConfigEdit,
    error: StoreError,
    what: &str,
    operation: OperationId,
) -> CommandError {
    match edit.is_in_doubt() {
        true => CommandError::OutcomeUnknown {
            what: what.to_owned(),
            operation: operation.to_string(),
        },
        false => CommandError::Store(error),
    }
}

fn conflict(
    what: String,
    yours: &[u8],
    found: Option<&StoredValue>,
    may_have_applied: bool,
) -> CommandError {
    let theirs =
        found.map(|found| json!({"revision": found.revision, "record": to_json(&found.value)}));
    let versions = ConflictVersions {
        yours: to_json(yours),
        theirs: theirs.unwrap_or(Value::Null),
    };
    CommandError::Conflict {
        what,
        versions: Box::new(versions),
        may_have_applied,
    }
}

/// Refuses a change of the number of shards: it would move workspaces away
/// from their balances.
fn check_fixed(
    key: &FleetKey,
    base: Option<&StoredValue>,
    record: &[u8],
) -> Result<(), CommandError> {
    let (FleetKey::Settings, Some(base)) = (key, base) else {
        return Ok(());
    };
    let shards = |bytes: &[u8]| match FleetRecord::parse(key.clone(), base.revision, bytes) {
        Ok(FleetRecord::Settings(entry)) => Some(entry.record.ledger_shards),
        _ => None,
    };
    match (shards(&base.value), shards(record)) {
        (Some(old), Some(new)) if old != new => Err(CommandError::Fixed {
            what: format!(
                "ledger_shards: {new} is not accepted, expected {old}, where the balances lie"
            ),
        }),
        _ => Ok(()),
    }
}

async fn remove(
    client: &FleetClient,
    key: &FleetKey,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let what = key.to_string();
    let stored = existing(client, key).await?;
    let seen = matches.get_one::<u64>("expect").copied();
    let revision = seen.map_or(stored.revision, StoreRevision);
    let expected = ExpectedVersion::At(revision);
    match client.store.remove(&what, expected).await {
        Ok(SwapOutcome::Swapped(revision)) => {
            let fields = json!({"key": what});
            report_change(client, &what, revision, fields).await
        }
        Ok(SwapOutcome::Conflict(found)) => Err(conflict(what, b"null", found.as_ref(), false)),
        Err(error) if error.may_have_applied() => Err(CommandError::Fleet {
            what,
            error: "the removal was sent and its outcome is not known; run it again".to_owned(),
        }),
        Err(error) => Err(CommandError::Store(error)),
    }
}

fn to_json(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(bytes).into_owned()))
}
