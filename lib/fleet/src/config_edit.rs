//! Compare-and-swap edits of a configuration record by an operator.

use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::OperationId;

use crate::key::FleetKey;
use crate::record::FleetRecord;
use crate::record::RecordError;

/// The field of a stored record that holds its [`ChangeNote`].
pub(crate) const CHANGE_FIELD: &str = "change";

/// The operations that wrote a record and the version before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNote {
    /// The operation that wrote the record.
    pub operation: OperationId,
    /// The operation that wrote the replaced version, if known.
    pub previous: Option<OperationId>,
}

/// Parses the [`ChangeNote`] of a stored record, if it has a valid one.
pub fn change_note(bytes: &[u8]) -> Option<ChangeNote> {
    let fields: Value = serde_json::from_slice(bytes).ok()?;
    let note = fields.get(CHANGE_FIELD)?;
    let operation_id = |name: &str| note.get(name)?.as_str()?.parse::<OperationId>().ok();
    Some(ChangeNote {
        operation: operation_id("operation")?,
        previous: operation_id("previous"),
    })
}

/// An error in a requested change of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The new record is invalid.
    Record(RecordError),
    /// The record is not a JSON object.
    NotAnObject,
    /// The assignment does not have the form `field=value`.
    BadAssignment {
        /// The assignment.
        text: String,
    },
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Record(error) => error.fmt(f),
            EditError::NotAnObject => write!(f, "record is not a JSON object"),
            EditError::BadAssignment { text } => {
                write!(f, "{text:?} is not accepted, expected field=value")
            }
        }
    }
}

impl Error for EditError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            EditError::Record(error) => Some(error),
            EditError::NotAnObject | EditError::BadAssignment { .. } => None,
        }
    }
}

/// Sets one field of a record.
///
/// The value is parsed as JSON. If it is not valid JSON, it is stored as a string.
///
/// # Errors
///
/// Returns an error if the record is not an object or the assignment has no `=`.
pub fn set_field(record: &mut Value, assignment: &str) -> Result<(), EditError> {
    let (field, text) = assignment
        .split_once('=')
        .ok_or_else(|| EditError::BadAssignment {
            text: assignment.to_owned(),
        })?;
    let fields = record.as_object_mut().ok_or(EditError::NotAnObject)?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
    fields.insert(field.to_owned(), value);
    Ok(())
}

/// The next step of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Write the value if the key is in the expected state.
    Write {
        /// The expected state of the key.
        expected: ExpectedVersion,
        /// The record with its [`ChangeNote`].
        value: Vec<u8>,
    },
    /// Read the key to find out whether a write whose reply was lost took effect.
    Read,
    /// The change is stored at this revision. If another operator has already
    /// replaced it, this is the revision of the later change.
    Stored(StoreRevision),
    /// Another operation has written the record since it was read.
    Conflict {
        /// The current value of the key.
        found: Option<StoredValue>,
        /// Whether this edit may have taken effect before it was overwritten.
        may_have_applied: bool,
    },
}

/// A compare-and-swap of a record against the version that the operator read.
///
/// If two operators edit the same version, exactly one succeeds. After a lost reply,
/// the record is read again, and its [`ChangeNote`] shows whether the write took
/// effect.
#[derive(Clone, Debug)]
pub struct ConfigEdit {
    operation: OperationId,
    base: Option<StoredValue>,
    value: Vec<u8>,
    /// Whether a write was sent whose reply was lost.
    in_doubt: bool,
    reading: bool,
    end: Option<EditStep>,
}

impl ConfigEdit {
    /// Creates an edit that replaces `base`, the version of `key` that the operator
    /// read, by `record`.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is invalid.
    pub fn new(
        key: FleetKey,
        base: Option<StoredValue>,
        record: &[u8],
        operation: OperationId,
    ) -> Result<Self, EditError> {
        FleetRecord::parse(key, StoreRevision::default(), record).map_err(EditError::Record)?;
        let mut fields: Value =
            serde_json::from_slice(record).map_err(|_| EditError::NotAnObject)?;
        let previous = base.as_ref().and_then(|base| change_note(&base.value));
        let mut note = serde_json::Map::new();
        note.insert("operation".to_owned(), operation.to_string().into());
        if let Some(previous) = previous {
            note.insert("previous".to_owned(), previous.operation.to_string().into());
        }
        let object = fields.as_object_mut().ok_or(EditError::NotAnObject)?;
        object.insert(CHANGE_FIELD.to_owned(), Value::Object(note));
        Ok(Self {
            operation,
            base,
            value: serde_json::to_vec_pretty(&fields).expect("JSON values can be written"),
            in_doubt: false,
            reading: false,
            end: None,
        })
    }

    /// Returns the next step.
    pub fn step(&self) -> EditStep {
        if let Some(end) = &self.end {
            return end.clone();
        }
        if self.reading {
            return EditStep::Read;
        }
        let expected = match &self.base {
            Some(base) => ExpectedVersion::At(base.revision),
            None => ExpectedVersion::Absent,
        };
        EditStep::Write {
            expected,
            value: self.value.clone(),
        }
    }

    /// Handles the result of [`EditStep::Write`].
    pub fn handle_write(&mut self, answer: Result<SwapOutcome, StoreError>) {
        match answer {
            Ok(SwapOutcome::Swapped(revision)) => self.end = Some(EditStep::Stored(revision)),
            Ok(SwapOutcome::Conflict(found)) => self.check_stored(found),
            Err(error) if error.may_have_applied() => {
                self.in_doubt = true;
                self.reading = true;
            }
            Err(_) => {}
        }
    }

    /// Handles the result of [`EditStep::Read`].
    pub fn handle_read(&mut self, answer: Result<Option<StoredValue>, StoreError>) {
        if let Ok(found) = answer {
            self.reading = false;
            self.check_stored(found);
        }
    }

    /// Returns whether the outcome of a write is still unknown.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt && self.end.is_none()
    }

    /// Compares the stored value with `base` to decide whether the edit has ended.
    fn check_stored(&mut self, found: Option<StoredValue>) {
        let unchanged = match (&found, &self.base) {
            (None, None) => true,
            (Some(found), Some(base)) => found.revision == base.revision,
            _ => false,
        };
        if unchanged {
            return;
        }
        let note = found.as_ref().and_then(|found| change_note(&found.value));
        let is_own = note.is_some_and(|note| {
            note.operation == self.operation || note.previous == Some(self.operation)
        });
        self.end = Some(match (&found, is_own) {
            (Some(found), true) => EditStep::Stored(found.revision),
            _ => EditStep::Conflict {
                found,
                may_have_applied: self.in_doubt,
            },
        });
    }
}
