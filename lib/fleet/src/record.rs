//! Parsing and validation of fleet records.

use std::error::Error;
use std::fmt;
use std::fmt::Display;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use snipegate_platform::StoreRevision;
use snipegate_types::ProcessRole;
use snipegate_types::ProfileName;
use snipegate_types::UpstreamId;
use snipegate_types::VmId;
use snipegate_types::WorkspaceId;

use crate::config_edit::CHANGE_FIELD;
use crate::key::FleetKey;
use crate::member::MemberRecord;
use crate::profile::ProfileRecord;
use crate::settings::FleetSettings;
use crate::upstream::UpstreamRecord;
use crate::workspace::WorkspaceRecord;

/// An error in a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The bytes are not valid JSON for this type of record.
    Malformed {
        /// The message of the parser.
        reason: String,
    },
    /// A field has an invalid value.
    Value {
        /// The name of the field.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// A description of the valid values.
        accepted: String,
    },
}

impl RecordError {
    pub(crate) fn value(
        field: &'static str,
        value: impl Display,
        accepted: impl Into<String>,
    ) -> Self {
        RecordError::Value {
            field,
            value: value.to_string(),
            accepted: accepted.into(),
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Malformed { reason } => write!(f, "record is malformed: {reason}"),
            RecordError::Value {
                field,
                value,
                accepted,
            } => write!(f, "{field}: {value} is not accepted, expected {accepted}"),
        }
    }
}

impl Error for RecordError {}

pub(crate) fn check_range(
    field: &'static str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), RecordError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(RecordError::value(field, value, format!("{min} to {max}")))
}

pub(crate) fn check_unique<T: PartialEq + Display>(
    field: &'static str,
    values: &[T],
) -> Result<(), RecordError> {
    let is_duplicate = |(at, value): (usize, &T)| values[..at].contains(value);
    match values.iter().enumerate().find(|&item| is_duplicate(item)) {
        Some((_, value)) => Err(RecordError::value(field, value, "each name once")),
        None => Ok(()),
    }
}

/// Maximum length of a model version in bytes.
const MAX_VERSION_BYTES: usize = 128;

pub(crate) fn check_version(field: &'static str, value: Option<&str>) -> Result<(), RecordError> {
    match value {
        Some(text) if text.is_empty() || text.len() > MAX_VERSION_BYTES => Err(RecordError::value(
            field,
            format!("{text:?}"),
            "1 to 128 bytes of text",
        )),
        _ => Ok(()),
    }
}

/// A record with its ID and store revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigEntry<I, R> {
    /// The ID of the recorded object.
    pub id: I,
    /// Revision of the write that stored the record.
    pub revision: StoreRevision,
    /// The record.
    pub record: R,
}

/// A parsed record of any type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRecord {
    /// The fleet-wide settings.
    Settings(Arc<ConfigEntry<(), FleetSettings>>),
    /// A workspace.
    Workspace(Arc<ConfigEntry<WorkspaceId, WorkspaceRecord>>),
    /// A workspace that is only relayed to other processes. It has been validated and is
    /// kept as its stored bytes.
    StoredWorkspace(Arc<[u8]>),
    /// A profile.
    Profile(Arc<ConfigEntry<ProfileName, ProfileRecord>>),
    /// An upstream.
    Upstream(Arc<ConfigEntry<UpstreamId, UpstreamRecord>>),
    /// A process of the fleet.
    Member(Arc<ConfigEntry<(VmId, ProcessRole), MemberRecord>>),
}

impl FleetRecord {
    /// Parses and validates the value of `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed or a field is invalid.
    pub fn parse(
        key: FleetKey,
        revision: StoreRevision,
        bytes: &[u8],
    ) -> Result<Self, RecordError> {
        Ok(match key {
            FleetKey::Settings => {
                let record: FleetSettings = decode(bytes)?;
                record.validate()?;
                FleetRecord::Settings(new_entry((), revision, record))
            }
            FleetKey::Workspace(id) => {
                let mut record: WorkspaceRecord = decode(bytes)?;
                record.validate()?;
                record.share_names();
                FleetRecord::Workspace(new_entry(id, revision, record))
            }
            FleetKey::Profile(name) => {
                let record: ProfileRecord = decode(bytes)?;
                record.validate()?;
                FleetRecord::Profile(new_entry(name, revision, record))
            }
            FleetKey::Upstream(id) => {
                let record: UpstreamRecord = decode(bytes)?;
                record.validate()?;
                FleetRecord::Upstream(new_entry(id, revision, record))
            }
            FleetKey::Member(vm, role) => {
                let record: MemberRecord = decode(bytes)?;
                record.validate()?;
                check_member_key(&record, &vm, role)?;
                FleetRecord::Member(new_entry((vm, role), revision, record))
            }
        })
    }

    /// Serializes the record to JSON as in the store.
    pub fn to_json(&self) -> Vec<u8> {
        let written = match self {
            FleetRecord::StoredWorkspace(bytes) => return bytes.to_vec(),
            FleetRecord::Settings(entry) => serde_json::to_vec(&entry.record),
            FleetRecord::Workspace(entry) => serde_json::to_vec(&entry.record),
            FleetRecord::Profile(entry) => serde_json::to_vec(&entry.record),
            FleetRecord::Upstream(entry) => serde_json::to_vec(&entry.record),
            FleetRecord::Member(entry) => serde_json::to_vec(&entry.record),
        };
        written.expect("records have only string keys")
    }
}

fn check_member_key(
    record: &MemberRecord,
    vm: &VmId,
    role: ProcessRole,
) -> Result<(), RecordError> {
    let incarnation = &record.incarnation;
    if &incarnation.vm == vm && incarnation.role == role {
        return Ok(());
    }
    Err(RecordError::value(
        "incarnation",
        incarnation,
        format!("a run of {role} on {vm}"),
    ))
}

fn new_entry<I, R>(id: I, revision: StoreRevision, record: R) -> Arc<ConfigEntry<I, R>> {
    Arc::new(ConfigEntry {
        id,
        revision,
        record,
    })
}

/// Parses a record, ignoring its [`ChangeNote`](crate::ChangeNote).
fn decode<R: DeserializeOwned>(bytes: &[u8]) -> Result<R, RecordError> {
    let malformed = |error: serde_json::Error| RecordError::Malformed {
        reason: error.to_string(),
    };
    let mut fields: serde_json::Value = serde_json::from_slice(bytes).map_err(malformed)?;
    let change_note = fields
        .as_object_mut()
        .and_then(|fields| fields.shift_remove(CHANGE_FIELD));
    match change_note {
        Some(_) => serde_json::from_value(fields).map_err(malformed),
        // Parse the bytes again, so that an error has the line and column.
        None => serde_json::from_slice(bytes).map_err(malformed),
    }
}
