//! Refusals and failures as callers see them.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use snipegate_types::ResultCode;
use snipegate_types::RunState;

/// The final answer to a request that gets no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The reason.
    pub code: ResultCode,
    /// What became of the work.
    pub run: RunState,
    /// When the caller may come back; callers are told whole seconds, at least 1.
    pub retry_after: Option<Duration>,
    /// Details for the caller's developers; holds no key.
    pub message: String,
}

/// Time to come back where nothing better is known.
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
    /// Makes a refusal of a request that no upstream began.
    ///
    /// A code that may succeed later gets a time to come back.
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: code.is_retryable().then_some(DEFAULT_RETRY_AFTER),
            message: message.into(),
        }
    }

    /// Makes the failure of a request that an upstream may have begun.
    pub fn failed(code: ResultCode, run: RunState, message: impl Into<String>) -> Self {
        Self {
            run,
            ..Self::not_run(code, message)
        }
    }

    /// Sets when the caller may come back.
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the body as JSON.
    pub fn body(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code.number(),
                name: self.code.into(),
                kind: "snipegate_error",
                run: self.run,
                retry_after_ms: self.retry_after.map(|span| span.as_millis() as u64),
                message: &self.message,
            },
        };
        serde_json::to_string(&body).unwrap_or_else(|_| "{}".to_owned())
    }

    /// Returns the HTTP response.
    pub fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder
            .content_type("application/json")
            .header("X-Snipegate-Code", self.code.number().to_string())
            .header("X-Snipegate-Run", self.run.to_string());
        if let Some(span) = self.retry_after {
            let seconds = span.as_millis().div_ceil(1_000).max(1);
            builder.header("Retry-After", seconds.to_string());
        }
        builder.body(self.body())
    }
}
