//! The command `load-config`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreRevision;
use snipegate_types::OperationId;

use crate::config_command::write_record;
use crate::config_kind::ConfigKind;
use crate::fleet_client::FleetClient;
use crate::in_force::report_change;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;

/// The subdirectories and the kind of records that each contains.
const DIRECTORIES: [(&str, ConfigKind); 3] = [
    ("profile", ConfigKind::Profile),
    ("upstream", ConfigKind::Upstream),
    ("workspace", ConfigKind::Workspace),
];

/// Writes all records of a directory to the store.
pub(crate) async fn run(
    client: &FleetClient,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let root = matches.get_one::<PathBuf>("directory").expect("required");
    fs::read_dir(root).map_err(|error| unreadable(root, &error))?;
    let mut files = Vec::new();
    let settings = root.join("fleet.json");
    if settings.exists() {
        files.push((FleetKey::Settings, settings));
    }
    for (name, kind) in DIRECTORIES {
        files.extend(record_files(&root.join(name), kind)?);
    }
    let mut newest = StoreRevision::default();
    for (key, path) in &files {
        let record = fs::read(path).map_err(|error| unreadable(path, &error))?;
        let base = client.store.read(&key.to_string()).await?;
        let operation = OperationId::from_number(fastrand::u128(..));
        let written = write_record(client, key.clone(), base, &record, operation).await?;
        newest = newest.max(written);
    }
    let subject = format!("{} records", files.len());
    report_change(client, &subject, newest, json!({"records": files.len()})).await
}

/// Returns the store keys and paths of the record files in a directory, sorted by
/// path.
fn record_files(
    directory: &Path,
    kind: ConfigKind,
) -> Result<Vec<(FleetKey, PathBuf)>, CommandError> {
    if !directory.exists() {
        return Ok(Vec::new());
    }
    let entries = fs::read_dir(directory).map_err(|error| unreadable(directory, &error))?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|e| e == "json"));
    paths.sort();
    let keyed = paths.into_iter().map(|path| {
        let id = path.file_stem().unwrap_or_default().to_string_lossy();
        Ok((kind.key(&id)?, path.clone()))
    });
    keyed.collect()
}

fn unreadable(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::FileUnreadable {
        path: path.display().to_string(),
        error: error.to_string(),
    }
}
