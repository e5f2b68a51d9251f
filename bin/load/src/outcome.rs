//! How one request ended, seen by its caller.

use std::time::Duration;

use crate::event_parser::ErrorDetail;

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer came.
    Answered,
    /// The router refused or failed it with a code.
    Refused(ErrorDetail),
    /// The connection failed before an answer began.
    NotConnected,
    /// The answer broke off without a code.
    Broken,
    /// The caller's deadline passed.
    GivenUp,
    /// An answer came that is not one of the interface.
    NotUnderstood {
        /// Its HTTP status.
        status: u16,
    },
}

impl RequestEnd {
    /// Returns the name that results are counted by.
    pub fn name(&self) -> String {
        match self {
            RequestEnd::Answered => "answered".to_owned(),
            RequestEnd::Refused(detail) => format!("{} {}", detail.code, detail.name),
            RequestEnd::NotConnected => "not_connected".to_owned(),
            RequestEnd::Broken => "broken".to_owned(),
            RequestEnd::GivenUp => "given_up".to_owned(),
            RequestEnd::NotUnderstood { status } => format!("not_understood_{status}"),
        }
    }

    /// Returns what became of the work, as far as the caller knows.
    pub fn run_state(&self) -> &str {
        match self {
            RequestEnd::Answered => "ran",
            RequestEnd::Refused(detail) => &detail.run,
            RequestEnd::NotConnected => "not_run",
            RequestEnd::Broken | RequestEnd::GivenUp | RequestEnd::NotUnderstood { .. } => {
                "unknown"
            }
        }
    }
}

/// What a caller saw of one request; times run from when it meant to send it.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Position in the trace.
    pub record: usize,
    /// How it ended.
    pub end: RequestEnd,
    /// Time to the first part of the answer.
    pub first_token: Option<Duration>,
    /// Times between parts of the answer.
    pub between_tokens: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// How late the tool itself was in sending.
    pub send_delay: Duration,
    /// Tokens billed.
    pub billed_tokens: u64,
    /// Prompt tokens, and those of them from the engine's cache.
    pub prompt_tokens: u64,
    /// See `prompt_tokens`.
    pub cached_tokens: u64,
    /// Whether the answer held text that is not of this request, where the
    /// prompt names a marker.
    pub foreign_text: bool,
}
