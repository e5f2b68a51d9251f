//! Traces: requests with their send times.

use std::error::Error;
use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_routing::RequestPriority;
use snipegate_types::ModelName;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;

/// Maximum length of a generated prompt, in words.
const MAX_PROMPT_WORDS: u32 = 100_000;

/// Prompt of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TracePrompt {
    /// Literal text.
    Text(String),
    /// Generated text of a given length.
    Words {
        /// Number of words unique to this record.
        own: u32,
        /// Number of leading words shared by all records with the same `prefix`.
        #[serde(default)]
        shared: u32,
        /// Identifies the shared words.
        #[serde(default)]
        prefix: String,
    },
}

/// Requested model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceWork {
    /// Chat completion of a model.
    Model(ModelName),
    /// Call of a plain service.
    Service(ModelName),
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRecord {
    /// Send time, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Profile of the request.
    pub profile: ProfileName,
    /// Model or plain service, in the field `model` or `service`.
    #[serde(flatten)]
    pub work: TraceWork,
    /// Prompt, or the body of a plain-service call.
    pub prompt: TracePrompt,
    /// Maximum number of completion tokens.
    #[serde(default)]
    pub max_tokens: u32,
    /// Priority of the request.
    #[serde(default)]
    pub priority: RequestPriority,
    /// How long the caller waits for the complete response.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Idempotency key. Records with the same workspace and key are retries of one
    /// request.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Whether the call may be executed more than once.
    #[serde(default = "repeatable_by_default")]
    pub repeatable: bool,
}

fn repeatable_by_default() -> bool {
    true
}

impl TraceRecord {
    /// Returns the send time relative to the start of a replay at `speed` times the
    /// recorded speed.
    pub fn send_offset(&self, speed: f64) -> Duration {
        Duration::from_secs_f64(self.at_ms as f64 / 1e3 / speed)
    }

    /// Returns the prompt text.
    ///
    /// `record_index` makes the unique words of a generated prompt differ between records.
    pub fn prompt_text(&self, record_index: usize) -> String {
        match &self.prompt {
            TracePrompt::Text(text) => text.clone(),
            TracePrompt::Words {
                own,
                shared,
                prefix,
            } => {
                let shared_words = (0..*shared).map(|word| format!("{prefix}{word} "));
                let own_words = (0..*own).map(|word| format!("r{record_index}w{word} "));
                let text: String = shared_words.chain(own_words).collect();
                text.trim_end().to_owned()
            }
        }
    }

    fn validate(&self) -> Result<(), &'static str> {
        if let TracePrompt::Words { own, shared, .. } = self.prompt
            && own.saturating_add(shared) > MAX_PROMPT_WORDS
        {
            return Err("prompt has more than 100000 words");
        }
        match (&self.work, self.repeatable, &self.idempotency_key) {
            (TraceWork::Service(_), false, None) => {
                Err("a call that may not be repeated needs an idempotency_key")
            }
            (TraceWork::Model(_), _, _) if self.max_tokens == 0 => {
                Err("a model request needs max_tokens greater than 0")
            }
            _ => Ok(()),
        }
    }
}

/// Error from reading a trace.
#[derive(Debug)]
pub enum TraceError {
    /// The file could not be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// A line is not a valid JSON record.
    InvalidLine {
        /// Line number, starting at 1.
        line: usize,
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The fields of a record are inconsistent or out of range.
    InvalidRecord {
        /// Line number, starting at 1.
        line: usize,
        /// Constraint that the record violates.
        reason: &'static str,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceError::Read { path, .. } => write!(f, "failed to read trace {}", path.display()),
            TraceError::InvalidLine { line, source } => write!(f, "trace line {line}: {source}"),
            TraceError::InvalidRecord { line, reason } => write!(f, "trace line {line}: {reason}"),
        }
    }
}

impl Error for TraceError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TraceError::Read { source, .. } => Some(source),
            TraceError::InvalidLine { source, .. } => Some(source),
            TraceError::InvalidRecord { .. } => None,
        }
    }
}

/// Parses a trace with one JSON record per line, and sorts the records by send time.
/// Empty lines and lines that start with `#` are ignored.
///
/// # Errors
///
/// Returns an error with the number of the first invalid line.
pub fn parse_trace(text: &str) -> Result<Vec<TraceRecord>, TraceError> {
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let number = index + 1;
        let record: TraceRecord =
            serde_json::from_str(line).map_err(|source| TraceError::InvalidLine {
                line: number,
                source,
            })?;
        record
            .validate()
            .map_err(|reason| TraceError::InvalidRecord {
                line: number,
                reason,
            })?;
        records.push(record);
    }
    records.sort_by_key(|record| record.at_ms);
    Ok(records)
}

/// Reads a trace file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a line is invalid.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRecord>, TraceError> {
    let text = fs::read_to_string(path).map_err(|source| TraceError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_trace(&text)
}
