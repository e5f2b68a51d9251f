//! What ran on the upstream, for a history checker.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// What kind of work a record is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// A chat completion.
    Completion,
    /// A call of a plain service.
    Service,
}

/// How far the work came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkState {
    /// It waits or runs.
    Running,
    /// All of it was done and handed over.
    Complete,
    /// The other side went away, or a fault cut it off.
    Cancelled,
}

/// One piece of work that reached the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// The upstream's name.
    pub upstream: String,
    /// What kind of work it is.
    pub kind: WorkKind,
    /// The request id that came with it.
    pub request: String,
    /// The idempotency key that came with it, or the prompt's marker.
    pub key: String,
    /// Milliseconds since the Unix epoch when it came.
    pub started_ms: u64,
    /// Milliseconds since the Unix epoch when it ended.
    pub ended_ms: Option<u64>,
    /// How far it came.
    pub state: WorkState,
    /// First output token that was asked for.
    pub resumed_from: u64,
    /// Output tokens handed over by this piece of work.
    pub tokens: u64,
    /// Whether the upstream was leaving when the work came.
    pub while_leaving: bool,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
