//! Records of the work on the upstream, for the history checker.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// Kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// A chat completion.
    Completion,
    /// A call to a plain service.
    Service,
}

/// Progress of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkState {
    /// The work is waiting or running.
    Running,
    /// The work was completed and its result returned.
    Complete,
    /// The client disconnected, or an injected fault interrupted the work.
    Cancelled,
}

/// Record of a piece of work that reached the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// The upstream's name.
    pub upstream: String,
    /// Kind of work.
    pub kind: WorkKind,
    /// The request ID sent by the client.
    pub request: String,
    /// The idempotency key of a service call, or the marker of a prompt.
    pub key: String,
    /// Arrival time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// End time in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Progress of the work.
    pub state: WorkState,
    /// Index of the first requested output token.
    pub resumed_from: u64,
    /// Number of output tokens produced by this piece of work.
    pub tokens: u64,
    /// Whether the upstream was leaving when the work arrived.
    pub while_leaving: bool,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
