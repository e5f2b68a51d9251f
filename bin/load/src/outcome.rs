//! Result of one request, as observed by its caller.

use std::time::Duration;

use crate::event_parser::ErrorDetail;

/// Result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The complete response was received.
    Completed,
    /// The response was an error with a result code.
    ErrorResponse(ErrorDetail),
    /// The request was never written to a connection: connecting failed, or no address
    /// was known.
    NotSent,
    /// The response failed or ended early, without an error code.
    Interrupted,
    /// The caller's deadline passed.
    TimedOut,
    /// The response is not one that the API defines.
    UnexpectedResponse {
        /// HTTP status of the response.
        status: u16,
    },
}

impl RequestResult {
    /// Returns the name under which reports count the result.
    pub fn name(&self) -> String {
        match self {
            RequestResult::Completed => "answered".to_owned(),
            RequestResult::ErrorResponse(detail) => format!("{} {}", detail.code, detail.name),
            RequestResult::NotSent => "not_connected".to_owned(),
            RequestResult::Interrupted => "broken".to_owned(),
            RequestResult::TimedOut => "given_up".to_owned(),
            RequestResult::UnexpectedResponse { status } => format!("not_understood_{status}"),
        }
    }

    /// Returns whether the request was executed, as far as the caller knows.
    pub fn run_state(&self) -> &str {
        match self {
            RequestResult::Completed => "ran",
            RequestResult::ErrorResponse(detail) => &detail.run,
            RequestResult::NotSent => "not_run",
            RequestResult::Interrupted
            | RequestResult::TimedOut
            | RequestResult::UnexpectedResponse { .. } => "unknown",
        }
    }
}

/// Measurements of one request. Times are relative to the scheduled send time.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Index of the record in the trace.
    pub record_index: usize,
    /// Result of the request.
    pub result: RequestResult,
    /// Time to the first part of the response.
    pub first_token: Option<Duration>,
    /// Times between consecutive parts of the response.
    pub between_tokens: Vec<Duration>,
    /// Time to the end of the request.
    pub total: Duration,
    /// Delay between the scheduled and the actual send time.
    pub send_delay: Duration,
    /// Billed tokens, from the usage in the response.
    pub billed_tokens: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the engine's cache.
    pub cached_tokens: u64,
    /// Whether the response contained text of another request. Only detected if the
    /// prompt contains a marker.
    pub has_foreign_text: bool,
}
