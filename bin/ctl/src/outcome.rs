//! What a command ends with: a report or an error, each with its exit code.

use std::error::Error;
use std::fmt;

use serde_json::Value;
use serde_json::json;
use snipegate_fleet::EditError;
use snipegate_platform::StoreError;
use snipegate_service::CallError;
use strum::Display;

/// Exit codes of the command line; part of its interface. Code 2 is a command
/// line that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// Done; a change is in force everywhere.
    Done = 0,
    /// What was named does not exist.
    NotFound = 3,
    /// The new record is not accepted.
    RecordInvalid = 4,
    /// Somebody else changed the record first.
    Conflict = 5,
    /// The store can't be reached; nothing was changed.
    StoreUnavailable = 6,
    /// The change was sent and may or may not have taken effect.
    OutcomeUnknown = 7,
    /// The change is stored, and some member has not confirmed it.
    NotInForce = 8,
    /// The ledger refused the operation.
    LedgerRefused = 9,
    /// No process that could answer was reached.
    FleetUnreachable = 10,
    /// A file could not be read.
    FileUnreadable = 11,
}

/// What a command prints when it has done its work.
#[derive(Debug)]
pub(crate) struct CommandReport {
    /// For programs.
    pub(crate) json: Value,
    /// For people.
    pub(crate) text: String,
    /// How it ended.
    pub(crate) exit: ExitStatus,
}

impl CommandReport {
    pub(crate) fn done(json: Value, text: String) -> Self {
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
    /// What this command would have written.
    pub(crate) yours: Value,
    /// What the store holds.
    pub(crate) theirs: Value,
}

/// Why a command has not done its work.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// What was named does not exist.
    NotFound { what: String },
    /// The new record is not accepted.
    Record { what: String, error: EditError },
    /// Somebody else changed the record first.
    Conflict {
        what: String,
        versions: Box<ConflictVersions>,
        may_have_applied: bool,
    },
    /// The store can't be reached; nothing was changed.
    Store(StoreError),
    /// The change was sent and may or may not have taken effect.
    OutcomeUnknown { what: String, operation: String },
    /// The ledger refused the operation.
    Ledger { reason: String },
    /// No process that could answer was reached.
    Fleet { what: String, error: String },
    /// A file could not be read.
    File { path: String, error: String },
    /// A record would change what can't be changed.
    Fixed { what: String },
}

impl CommandError {
    pub(crate) fn call(what: impl Into<String>, error: CallError) -> Self {
        CommandError::Fleet {
            what: what.into(),
            error: error.to_string(),
        }
    }

    pub(crate) fn exit(&self) -> ExitStatus {
        match self {
            CommandError::NotFound { .. } => ExitStatus::NotFound,
            CommandError::Record { .. } | CommandError::Fixed { .. } => ExitStatus::RecordInvalid,
            CommandError::Conflict { .. } => ExitStatus::Conflict,
            CommandError::Store(_) => ExitStatus::StoreUnavailable,
            CommandError::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            CommandError::Ledger { .. } => ExitStatus::LedgerRefused,
            CommandError::Fleet { .. } => ExitStatus::FleetUnreachable,
            CommandError::File { .. } => ExitStatus::FileUnreadable,
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
            CommandError::NotFound { what } => write!(f, "{what} does not exist"),
            CommandError::Record { what, error } => write!(f, "{what}: {error}"),
            CommandError::Fixed { what } => f.write_str(what),
            CommandError::Conflict {
                what,
                versions,
                may_have_applied,
            } => {
                writeln!(f, "{what} was changed by somebody else")?;
                if *may_have_applied {
                    writeln!(f, "your change may have been in force in between")?;
                }
                writeln!(f, "--- yours\n{:#}", versions.yours)?;
                write!(f, "--- theirs\n{:#}", versions.theirs)
            }
            CommandError::Store(error) => write!(f, "{error}; nothing was changed"),
            CommandError::OutcomeUnknown { what, operation } => write!(
                f,
                "{what}: the change was sent and its outcome is not known; run the same command \
                 with --operation {operation}"
            ),
            CommandError::Ledger { reason } => write!(f, "ledger refused: {reason}"),
            CommandError::Fleet { what, error } => write!(f, "{what}: {error}"),
            CommandError::File { path, error } => write!(f, "{path}: {error}"),
        }
    }
}

impl Error for CommandError {}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        CommandError::Store(error)
    }
}
