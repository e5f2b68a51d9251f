//! The results of a choice.

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
/// The attempt counts as outstanding work from here on and has to be finished.
#[derive(Clone, Debug)]
pub struct UpstreamChoice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Names this sending in everything that is reported back.
    pub attempt: AttemptId,
    /// Estimated time to the first token.
    pub expected_first_token: Duration,
    /// Prompt tokens that the engine is believed to hold in its cache.
    pub expected_cached: TokenCount,
    /// How long the upstream may take to its first byte before it counts as silent.
    pub first_byte_timeout: Duration,
    /// How long the stream may stand still after its first byte.
    pub progress_timeout: Duration,
}

/// Why routing refused a request; each has a counter.
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
    /// The workspace sends more requests a second than it may.
    WorkspaceRate,
    /// The workspace has as many requests in progress as it may.
    WorkspaceConcurrency,
    /// The profile's requests come faster than they may.
    ProfileRate,
    /// The profile has as many requests in progress as it may.
    ProfileConcurrency,
    /// No upstream serves what is asked for.
    NotServed,
    /// All upstreams that serve it are leaving.
    AllLeaving,
    /// All upstreams that serve it are ejected for failures.
    AllEjected,
    /// All upstreams that serve it are full.
    AllFull,
    /// What room is left is kept for higher priorities.
    LowPriority,
    /// The estimated end lies after the deadline.
    DeadlineTooNear,
    /// The deadline has passed.
    DeadlinePassed,
    /// The retry budget of the upstream set is spent.
    RetryBudgetSpent,
    /// The request was tried as often as it may be.
    AttemptsSpent,
    /// The upstream failed, and the request may not be sent again.
    NotRepeatable,
    /// The upstream went silent, and the request may not be sent again.
    SilentNotRepeatable,
}

impl RefusalReason {
    /// Returns the code that the caller sees.
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

/// A refusal, decided at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRefusal {
    /// The code that the caller sees.
    pub code: ResultCode,
    /// The reason that is counted.
    pub reason: RefusalReason,
    /// When it is worth sending the request again, where that can be said.
    pub retry_after: Option<Duration>,
}

impl RouteRefusal {
    /// Makes a refusal without a time to come back.
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            code: reason.code(),
            reason,
            retry_after: None,
        }
    }

    /// Makes a refusal with a time to come back.
    pub fn later(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(reason)
        }
    }
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "refused with {} for {}", self.code, self.reason)
    }
}

impl Error for RouteRefusal {}
