//! Results of choosing an upstream.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::attempt::AttemptId;

/// An upstream chosen for a request.
///
/// The attempt counts as outstanding until it is reported as finished.
#[derive(Clone, Debug)]
pub struct UpstreamChoice {
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// Identifies this attempt in later reports.
    pub attempt: AttemptId,
    /// Estimated time to the first token.
    pub expected_first_token: Duration,
    /// Prompt tokens that the engine is expected to have cached.
    pub expected_cached: TokenCount,
    /// Maximum time to the first byte before the attempt counts as silent.
    pub first_byte_timeout: Duration,
    /// Maximum time between two pieces of data after the first byte.
    pub progress_timeout: Duration,
}

/// The reason for refusing a request. Refusals are counted per reason.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace exceeds its request rate.
    WorkspaceRate,
    /// The workspace has reached its limit of concurrent requests.
    WorkspaceConcurrency,
    /// The profile exceeds its request rate.
    ProfileRate,
    /// The profile has reached its limit of concurrent requests.
    ProfileConcurrency,
    /// No upstream serves the requested model, version, adapter and phase.
    NotServed,
    /// All upstreams that serve the request are draining.
    AllLeaving,
    /// All upstreams that serve the request are ejected after failures.
    AllEjected,
    /// All upstreams that serve the request are at capacity.
    AllFull,
    /// The remaining capacity is reserved for higher priorities.
    LowPriority,
    /// The request is not expected to complete before its deadline.
    DeadlineTooNear,
    /// The deadline has already passed.
    DeadlinePassed,
    /// The retry budget of the upstream set is exhausted.
    RetryBudgetSpent,
    /// The request has used up its attempts.
    AttemptsSpent,
    /// The upstream failed, and the request must not be sent again.
    NotRepeatable,
    /// The upstream stopped responding, and the request must not be sent again.
    SilentNotRepeatable,
}

impl RefusalReason {
    /// Returns the result code reported to the caller.
    pub fn code(self) -> ResultCode {
        match self {
            RefusalReason::WorkspaceRate | RefusalReason::WorkspaceConcurrency => {
                ResultCode::WorkspaceLimited
            }
            RefusalReason::ProfileRate | RefusalReason::ProfileConcurrency => {
                ResultCode::ProfileLimited
            }
            RefusalReason::NotServed | RefusalReason::AllLeaving | RefusalReason::AllEjected => {
                ResultCode::NoUpstream
            }
            RefusalReason::AllFull => ResultCode::UpstreamsFull,
            RefusalReason::LowPriority => ResultCode::PriorityShed,
            RefusalReason::DeadlineTooNear => ResultCode::DeadlineUnmeetable,
            RefusalReason::DeadlinePassed => ResultCode::DeadlinePassed,
            RefusalReason::RetryBudgetSpent => ResultCode::RetryBudgetSpent,
            RefusalReason::AttemptsSpent | RefusalReason::NotRepeatable => {
                ResultCode::UpstreamFailed
            }
            RefusalReason::SilentNotRepeatable => ResultCode::UpstreamSilent,
        }
    }
}

/// An immediate refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRefusal {
    /// The result code reported to the caller.
    pub code: ResultCode,
    /// The reason, used for counters.
    pub reason: RefusalReason,
    /// How long to wait before sending the request again, if known.
    pub retry_after: Option<Duration>,
}

impl RouteRefusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            code: reason.code(),
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal with a retry delay.
    pub fn later(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(reason)
        }
    }
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request refused with code {}: {}",
            self.code, self.reason
        )
    }
}

impl Error for RouteRefusal {}
