//! Answers of the router's own.

use std::time::Duration;

use snipegate_http1::AnswerHead;
use snipegate_types::ResultCode;
use snipegate_types::RunState;

/// A request that ends without an answer of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: ResultCode,
    /// What became of the work.
    pub run: RunState,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request for good.
    pub fn fatal(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Refuses a request that has not run and says when to come back.
    pub fn come_back(code: ResultCode, after: Duration) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: Some(after),
        }
    }

    /// Ends a request that may have run.
    pub fn unknown(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::Unknown,
            retry_after: None,
        }
    }

    /// Returns the status; one that means "not run" only where that is true.
    pub fn status(&self) -> u16 {
        let status = self.code.http_status();
        let promises = matches!(status, 408 | 421 | 429 | 503);
        match self.run {
            RunState::NotRun => status,
            _ if promises => 502,
            _ => status,
        }
    }

    /// Makes the head of the answer, without framing.
    pub fn head(&self) -> AnswerHead {
        let mut head = AnswerHead::new(self.status(), reason_phrase(self.status()));
        head.headers
            .push("X-Snipegate-Code", self.code.number().to_string());
        head.headers.push("X-Snipegate-Run", self.run.to_string());
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            head.headers.push("Retry-After", seconds);
        }
        head.headers.push("Content-Type", "text/plain");
        head
    }

    /// Returns the body of the answer.
    pub fn body(&self) -> String {
        format!("{} {}\n", self.code.number(), self.code)
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
