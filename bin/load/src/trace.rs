//! Recorded or made requests with the times at which callers send them.

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

/// Longest prompt that a record may ask for, in words.
const MAX_PROMPT_WORDS: u32 = 100_000;

/// The prompt of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TracePrompt {
    /// The text itself.
    Text(String),
    /// Made-up text of a size.
    Words {
        /// Words that no other record has.
        own: u32,
        /// Words at the beginning that all records with the same `prefix` share.
        #[serde(default)]
        shared: u32,
        /// Names the shared beginning.
        #[serde(default)]
        prefix: String,
    },
}

/// What a record asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceWork {
    /// An answer of a model.
    Model(ModelName),
    /// A call of a plain service.
    Service(ModelName),
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRecord {
    /// When the caller sends it, in milliseconds from the trace's start.
    pub at_ms: u64,
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The profile that it runs under.
    pub profile: ProfileName,
    /// The model or plain service, as `"model"` or `"service"`.
    #[serde(flatten)]
    pub work: TraceWork,
    /// The prompt, or the body of a plain service's call.
    pub prompt: TracePrompt,
    /// Most tokens of the answer.
    #[serde(default)]
    pub max_tokens: u32,
    /// How urgent it is.
    #[serde(default)]
    pub priority: RequestPriority,
    /// How long the caller waits for the whole answer.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The idempotency key; records with the same one are retries of one request.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Whether the call may be repeated.
    #[serde(default = "repeatable_by_default")]
    pub repeatable: bool,
}

fn repeatable_by_default() -> bool {
    true
}

impl TraceRecord {
    /// Returns when the caller sends it at `speed` times the recorded speed.
    pub fn at(&self, speed: f64) -> Duration {
        Duration::from_secs_f64(self.at_ms as f64 / 1e3 / speed)
    }

    /// Returns the prompt's text.
    ///
    /// `number` tells records of one trace apart.
    pub fn prompt_text(&self, number: usize) -> String {
        match &self.prompt {
            TracePrompt::Text(text) => text.clone(),
            TracePrompt::Words {
                own,
                shared,
                prefix,
            } => {
                let beginning = (0..*shared).map(|word| format!("{prefix}{word} "));
                let rest = (0..*own).map(|word| format!("r{number}w{word} "));
                let text: String = beginning.chain(rest).collect();
                text.trim_end().to_owned()
            }
        }
    }

    fn check(&self) -> Result<(), &'static str> {
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
                Err("a model's answer needs max_tokens above 0")
            }
            _ => Ok(()),
        }
    }
}

/// Why a trace could not be read.
#[derive(Debug)]
pub enum TraceError {
    /// The file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line is not a record.
    BadLine {
        /// Number of the line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A record asks for what cannot be.
    BadRecord {
        /// Number of the line, from 1.
        line: usize,
        /// Why.
        reason: &'static str,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceError::Read { path, .. } => write!(f, "trace {} not read", path.display()),
            TraceError::BadLine { line, source } => write!(f, "trace line {line}: {source}"),
            TraceError::BadRecord { line, reason } => write!(f, "trace line {line}: {reason}"),
        }
    }
}

impl Error for TraceError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TraceError::Read { source, .. } => Some(source),
            TraceError::BadLine { source, .. } => Some(source),
            TraceError::BadRecord { .. } => None,
        }
    }
}

/// Reads a trace: one JSON record a line, empty lines and `#` lines aside.
///
/// # Errors
///
/// Names the first line that is not a record.
pub fn parse_trace(text: &str) -> Result<Vec<TraceRecord>, TraceError> {
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let number = index + 1;
        let record: TraceRecord =
            serde_json::from_str(line).map_err(|source| TraceError::BadLine {
                line: number,
                source,
            })?;
        record.check().map_err(|reason| TraceError::BadRecord {
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
/// Fails where the file cannot be read or a line is not a record.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRecord>, TraceError> {
    let text = fs::read_to_string(path).map_err(|source| TraceError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_trace(&text)
}
