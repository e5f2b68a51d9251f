//! Result types of commands and their exit codes.

use std::error::Error;
use std::fmt;

use serde_json::Value;
use serde_json::json;
use snipegate_fleet::EditError;
use snipegate_platform::StoreError;
use snipegate_service::CallError;
use strum::Display;

/// Exit codes, which are part of the command-line interface. Code 2 is used for
/// command-line usage errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command succeeded. A change has been confirmed by all members.
    Done = 0,
    /// The object does not exist.
    NotFound = 3,
    /// The new record is invalid, or the change is not permitted.
    RecordInvalid = 4,
    /// The record was changed concurrently.
    Conflict = 5,
    /// The store is unavailable, and nothing was changed.
    StoreUnavailable = 6,
    /// The change was sent, but it is unknown whether it was applied.
    OutcomeUnknown = 7,
    /// The change is stored, or accepted by a keeper to be stored later, but not
    /// confirmed by all members.
    NotInForce = 8,
    /// The ledger rejected the operation.
    LedgerRefused = 9,
    /// No process that can handle the call could be reached.
    FleetUnreachable = 10,
    /// A file could not be read.
    FileUnreadable = 11,
}

/// The output of a successful command.
#[derive(Debug)]
pub(crate) struct CommandReport {
    /// The output with `--json`.
    pub(crate) json: Value,
    /// The output without `--json`.
    pub(crate) text: String,
    /// The exit code.
    pub(crate) exit: ExitStatus,
}

impl CommandReport {
    pub(crate) fn success(json: Value, text: String) -> Self {
        Self {
            json,
            text,
            exit: ExitStatus::Done,
        }
    }

    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            println!("{:#}", self.json);
        } else {
            println!("{}", self.text.trim_end());
        }
    }
}

/// The two versions of a record in a conflict.
#[derive(Debug)]
pub(crate) struct ConflictVersions {
    /// The version that this command tried to write.
    pub(crate) yours: Value,
    /// The version in the store.
    pub(crate) theirs: Value,
}

/// The reason why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The object does not exist.
    NotFound { subject: String },
    /// The new record is invalid.
    RecordInvalid { key: String, error: EditError },
    /// The record was changed concurrently.
    Conflict {
        key: String,
        versions: Box<ConflictVersions>,
        may_have_applied: bool,
    },
    /// The store is unavailable, and nothing was changed.
    StoreUnavailable(StoreError),
    /// The change was sent, but it is unknown whether it was applied.
    OutcomeUnknown { subject: String, operation: String },
    /// The ledger rejected the operation.
    LedgerRefused { reason: String },
    /// No process that can handle the call could be reached.
    FleetUnreachable { target: String, error: String },
    /// A file could not be read.
    FileUnreadable { path: String, error: String },
    /// The command is not permitted in the current state.
    Rejected { reason: String },
}

impl CommandError {
    pub(crate) fn call(target: impl Into<String>, error: CallError) -> Self {
        CommandError::FleetUnreachable {
            target: target.into(),
            error: error.to_string(),
        }
    }

    pub(crate) fn exit(&self) -> ExitStatus {
        match self {
            CommandError::NotFound { .. } => ExitStatus::NotFound,
            CommandError::RecordInvalid { .. } | CommandError::Rejected { .. } => {
                ExitStatus::RecordInvalid
            }
            CommandError::Conflict { .. } => ExitStatus::Conflict,
            CommandError::StoreUnavailable(_) => ExitStatus::StoreUnavailable,
            CommandError::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            CommandError::LedgerRefused { .. } => ExitStatus::LedgerRefused,
            CommandError::FleetUnreachable { .. } => ExitStatus::FleetUnreachable,
            CommandError::FileUnreadable { .. } => ExitStatus::FileUnreadable,
        }
    }

    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            eprintln!("{:#}", self.to_json());
        } else {
            eprintln!("error: {self}");
        }
    }

    fn to_json(&self) -> Value {
        let mut fields = json!({
            "error": self.exit().to_string(),
            "message": self.to_string(),
        });
        if let CommandError::Conflict { versions, .. } = self {
            fields["yours"] = versions.yours.clone();
            fields["theirs"] = versions.theirs.clone();
        }
        fields
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NotFound { subject } => write!(f, "{subject} does not exist"),
            CommandError::RecordInvalid { key, error } => write!(f, "{key}: {error}"),
            CommandError::Rejected { reason } => f.write_str(reason),
            CommandError::Conflict {
                key,
                versions,
                may_have_applied,
            } => {
                writeln!(f, "{key} was changed by another operation")?;
                if *may_have_applied {
                    writeln!(f, "your change may have been in force before that")?;
                }
                writeln!(f, "--- yours\n{:#}", versions.yours)?;
                write!(f, "--- theirs\n{:#}", versions.theirs)
            }
            CommandError::StoreUnavailable(error) => write!(f, "{error}; nothing was changed"),
            CommandError::OutcomeUnknown { subject, operation } => write!(
                f,
                "{subject}: the change was sent but its outcome is unknown; run the same command \
                 with --operation {operation}"
            ),
            CommandError::LedgerRefused { reason } => {
                write!(f, "the ledger rejected the operation: {reason}")
            }
            CommandError::FleetUnreachable { target, error } => write!(f, "{target}: {error}"),
            CommandError::FileUnreadable { path, error } => write!(f, "{path}: {error}"),
        }
    }
}

impl Error for CommandError {}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        CommandError::StoreUnavailable(error)
    }
}
