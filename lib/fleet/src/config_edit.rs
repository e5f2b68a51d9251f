//! One change of one record by an operator.

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

/// Field of a stored record that says which operation wrote it.
pub(crate) const CHANGE_FIELD: &str = "change";

/// Which operation wrote a record, and which wrote the version before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNote {
    /// The operation that wrote the record.
    pub operation: OperationId,
    /// The operation that wrote the version that it replaced.
    pub previous: Option<OperationId>,
}

/// Reads which operation wrote a stored record.
pub fn change_note(bytes: &[u8]) -> Option<ChangeNote> {
    let fields: Value = serde_json::from_slice(bytes).ok()?;
    let note = fields.get(CHANGE_FIELD)?;
    let text = |name: &str| note.get(name)?.as_str()?.parse::<OperationId>().ok();
    Some(ChangeNote {
        operation: text("operation")?,
        previous: text("previous"),
    })
}

/// Why a record can't be changed as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The new record is not accepted.
    Record(RecordError),
    /// The text is not a JSON object.
    NotAnObject,
    /// The assignment is not of the form `field=value`.
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

/// Sets one field of a record; the value is JSON, or text where it is not JSON.
///
/// # Errors
///
/// Fails if the record is no object or the assignment has no `=`.
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

/// What an edit needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Write the value if the expectation holds.
    Write {
        /// What the key must hold.
        expected: ExpectedVersion,
        /// The record with its note.
        value: Vec<u8>,
    },
    /// Read the key, to learn whether a write whose reply was lost took effect.
    Read,
    /// The change is stored. Where another operator has already replaced it,
    /// this is the revision of that later change.
    Stored(StoreRevision),
    /// Somebody else wrote the record since it was read.
    Conflict {
        /// What the key holds now.
        found: Option<StoredValue>,
        /// Whether this edit may have been in force in between.
        may_have_applied: bool,
    },
}

/// A compare-and-swap of one record against the version that the operator saw.
///
/// Of two operators who saw the same version exactly one succeeds. A lost reply
/// is resolved by reading which operation wrote the record.
#[derive(Clone, Debug)]
pub struct ConfigEdit {
    operation: OperationId,
    base: Option<StoredValue>,
    value: Vec<u8>,
    /// A write was sent and its reply was lost.
    in_doubt: bool,
    reading: bool,
    end: Option<EditStep>,
}

impl ConfigEdit {
    /// Makes the edit of `key` from `base`, the version that the operator saw,
    /// to `record`.
    ///
    /// # Errors
    ///
    /// Fails if the record is not accepted.
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

    /// Returns what to do next.
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

    /// Takes in the answer to [`EditStep::Write`].
    pub fn written(&mut self, answer: Result<SwapOutcome, StoreError>) {
        match answer {
            Ok(SwapOutcome::Swapped(revision)) => self.end = Some(EditStep::Stored(revision)),
            Ok(SwapOutcome::Conflict(found)) => self.found(found),
            Err(error) if error.may_have_applied() => {
                self.in_doubt = true;
                self.reading = true;
            }
            Err(_) => {}
        }
    }

    /// Takes in the answer to [`EditStep::Read`].
    pub fn read(&mut self, answer: Result<Option<StoredValue>, StoreError>) {
        if let Ok(found) = answer {
            self.reading = false;
            self.found(found);
        }
    }

    /// Tells whether the change may have taken effect without being confirmed.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt && self.end.is_none()
    }

    fn found(&mut self, found: Option<StoredValue>) {
        let unchanged = match (&found, &self.base) {
            (None, None) => true,
            (Some(found), Some(base)) => found.revision == base.revision,
            _ => false,
        };
        if unchanged {
            return;
        }
        let note = found.as_ref().and_then(|found| change_note(&found.value));
        let mine = note.is_some_and(|note| {
            note.operation == self.operation || note.previous == Some(self.operation)
        });
        self.end = Some(match (&found, mine) {
            (Some(found), true) => EditStep::Stored(found.revision),
            _ => EditStep::Conflict {
                found,
                may_have_applied: self.in_doubt,
            },
        });
    }
}
