//! Error responses to callers.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use snipegate_types::ResultCode;
use snipegate_types::RunState;

/// The error response to a request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Result code that states the reason.
    pub code: ResultCode,
    /// Whether the request ran on an upstream.
    pub run: RunState,
    /// Delay before the caller may retry. The `Retry-After` header rounds it up to whole
    /// seconds, at least 1.
    pub retry_after: Option<Duration>,
    /// Details for the caller's developers. Must not contain an API key.
    pub message: String,
}

/// Retry delay if no better value is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: u16,
    name: &'static str,
    #[serde(rename = "type")]
    kind: &'static str,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    message: &'a str,
}

impl RequestRefusal {
    /// Creates a refusal of a request that no upstream started.
    ///
    /// If the code is retryable, the retry delay is [`DEFAULT_RETRY_AFTER`].
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: code.is_retryable().then_some(DEFAULT_RETRY_AFTER),
            message: message.into(),
        }
    }

    /// Creates a failure of a request that an upstream may have started.
    pub fn failed(code: ResultCode, run: RunState, message: impl Into<String>) -> Self {
        Self {
            run,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the delay before the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the response body as JSON.
    pub fn body(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code.number(),
                name: self.code.into(),
                kind: "snipegate_error",
                run: self.run,
                retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
                message: &self.message,
            },
        };
        serde_json::to_string(&body).unwrap_or_else(|_| "{}".to_owned())
    }

    /// Returns the HTTP response, with the result code, run state and retry delay as headers.
    pub fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder
            .content_type("application/json")
            .header("X-Snipegate-Code", self.code.number().to_string())
            .header("X-Snipegate-Run", self.run.to_string());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            builder.header("Retry-After", seconds.to_string());
        }
        builder.body(self.body())
    }
}
