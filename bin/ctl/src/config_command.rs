//! The commands `profile`, `upstream`, `workspace` and `fleet-settings`.

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

/// Number of failed store calls after which a write is abandoned.
const MAX_STORE_FAILURES: u32 = 5;

/// Runs a subcommand on configuration records.
pub(crate) async fn run(
    client: &FleetClient,
    name: &str,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let kind = ConfigKind::from_command(name);
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
            write_and_confirm(client, key, base, &record, operation_id(matches)).await
        }
        "edit" => edit(client, key, matches).await,
        "remove" => remove(client, &key, matches).await,
        "leave" => upstream_command::leave(client, id, operation_id(matches)).await,
        "return" => upstream_command::return_to_service(client, id, operation_id(matches)).await,
        other => unreachable!("command {other} is not declared"),
    }
}

/// Returns the operation id given with `--operation`, or a random one.
pub(crate) fn operation_id(matches: &ArgMatches) -> OperationId {
    let given = matches.get_one::<OperationId>("operation").copied();
    given.unwrap_or_else(|| OperationId::from_number(fastrand::u128(..)))
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
    Ok(CommandReport::success(Value::Array(records), text))
}

async fn show(client: &FleetClient, key: &FleetKey) -> Result<CommandReport, CommandError> {
    let stored = read_existing(client, key).await?;
    let record = to_json(&stored.value);
    let text = format!("revision {}\n{record:#}", stored.revision);
    let fields = json!({"revision": stored.revision, "record": record});
    Ok(CommandReport::success(fields, text))
}

/// Reads a record, and fails if it does not exist.
pub(crate) async fn read_existing(
    client: &FleetClient,
    key: &FleetKey,
) -> Result<StoredValue, CommandError> {
    let found = client.store.read(&key.to_string()).await?;
    found.ok_or_else(|| CommandError::NotFound {
        subject: key.to_string(),
    })
}

/// Reads a record from a file, or from standard input if `path` is absent or `-`.
fn read_record(path: Option<&String>) -> Result<Vec<u8>, CommandError> {
    let mut bytes = Vec::new();
    let read = match path.map(String::as_str) {
        None | Some("-") => io::stdin().read_to_end(&mut bytes).map(drop),
        Some(path) => fs::read(path).map(|read| bytes = read),
    };
    read.map_err(|error| CommandError::FileUnreadable {
        path: path.cloned().unwrap_or_else(|| "-".to_owned()),
        error: error.to_string(),
    })?;
    Ok(bytes)
}

/// Returns the version that a change is based on.
async fn base_version(
    client: &FleetClient,
    key: &FleetKey,
    matches: &ArgMatches,
) -> Result<Option<StoredValue>, CommandError> {
    let mut base = client.store.read(&key.to_string()).await?;
    if let Some(revision) = matches.get_one::<u64>("expect") {
        // A version that the operator has not seen must not be overwritten. If the
        // stored revision differs, the write fails and reports the stored version.
        let value = base.take().map_or_else(Vec::new, |stored| stored.value);
        base = Some(StoredValue {
            revision: StoreRevision::new(*revision),
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
        let subject = key.to_string();
        return Err(CommandError::NotFound { subject });
    };
    let invalid = |error: EditError| CommandError::RecordInvalid {
        key: key.to_string(),
        error,
    };
    let mut record = match matches.get_one::<String>("file") {
        Some(path) => to_json(&read_record(Some(path))?),
        None => to_json(&base.value),
    };
    for assignment in matches.get_many::<String>("set").unwrap_or_default() {
        set_field(&mut record, assignment).map_err(invalid)?;
    }
    let bytes = serde_json::to_vec(&record).expect("JSON values can be written");
    write_and_confirm(client, key, Some(base), &bytes, operation_id(matches)).await
}

/// Writes a record if the stored version is still `base`, and waits until the change
/// is in force.
pub(crate) async fn write_and_confirm(
    client: &FleetClient,
    key: FleetKey,
    base: Option<StoredValue>,
    record: &[u8],
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let store_key = key.to_string();
    let revision = write_record(client, key, base, record, operation).await?;
    let fields = json!({"key": store_key, "operation": operation.to_string()});
    report_change(client, &store_key, revision, fields).await
}

/// Writes a record if the stored version is still `base`.
pub(crate) async fn write_record(
    client: &FleetClient,
    key: FleetKey,
    base: Option<StoredValue>,
    record: &[u8],
    operation: OperationId,
) -> Result<StoreRevision, CommandError> {
    let store_key = key.to_string();
    check_shard_count(&key, base.as_ref(), record)?;
    let edit = ConfigEdit::new(key, base, record, operation);
    let mut edit = edit.map_err(|error| CommandError::RecordInvalid {
        key: store_key.clone(),
        error,
    })?;
    let mut failures = 0;
    loop {
        let failed = match edit.step() {
            EditStep::Stored(revision) => return Ok(revision),
            EditStep::Conflict {
                found,
                may_have_applied,
            } => {
                return Err(conflict(
                    store_key,
                    record,
                    found.as_ref(),
                    may_have_applied,
                ));
            }
            EditStep::Write { expected, value } => {
                let answer = client.store.swap(&store_key, expected, value, None).await;
                let failed = answer.as_ref().err().cloned();
                edit.handle_write(answer);
                failed
            }
            EditStep::Read => {
                let answer = client.store.read(&store_key).await;
                let failed = answer.as_ref().err().cloned();
                edit.handle_read(answer);
                failed
            }
        };
        let Some(error) = failed else { continue };
        failures += 1;
        if failures >= MAX_STORE_FAILURES {
            return Err(write_failure(&edit, error, &store_key, operation));
        }
    }
}

/// Returns the error for an abandoned write, depending on whether the write may have
/// been applied.
fn write_failure(
    edit: &ConfigEdit,
    error: StoreError,
    key: &str,
    operation: OperationId,
) -> CommandError {
    match edit.is_in_doubt() {
        true => CommandError::OutcomeUnknown {
            subject: key.to_owned(),
            operation: operation.to_string(),
        },
        false => CommandError::StoreUnavailable(error),
    }
}

fn conflict(
    key: String,
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
        key,
        versions: Box::new(versions),
        may_have_applied,
    }
}

/// Rejects a change of the number of ledger shards, since it would map workspaces to
/// shards that do not hold their balances.
fn check_shard_count(
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
        (Some(old), Some(new)) if old != new => Err(CommandError::Rejected {
            reason: format!(
                "ledger_shards: {new} is not accepted, expected {old}: existing balances are \
                 partitioned by this number"
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
    let store_key = key.to_string();
    let stored = read_existing(client, key).await?;
    let expected = matches.get_one::<u64>("expect").copied();
    let revision = expected.map_or(stored.revision, StoreRevision::new);
    let expected = ExpectedVersion::At(revision);
    match client.store.remove(&store_key, expected).await {
        Ok(SwapOutcome::Swapped(revision)) => {
            let fields = json!({"key": store_key});
            report_change(client, &store_key, revision, fields).await
        }
        Ok(SwapOutcome::Conflict(found)) => {
            Err(conflict(store_key, b"null", found.as_ref(), false))
        }
        Err(error) if error.may_have_applied() => Err(CommandError::FleetUnreachable {
            target: store_key,
            error: "the removal was sent but its outcome is unknown; run the command again"
                .to_owned(),
        }),
        Err(error) => Err(CommandError::StoreUnavailable(error)),
    }
}

/// Parses a stored value as JSON, or returns it as a string if it is not JSON.
fn to_json(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(bytes).into_owned()))
}
