//! Decisions whether to retry failed requests.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snipegate_types::ByteCount;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::attempt::AttemptOutcome;
use crate::choice::RefusalReason;
use crate::choice::RouteRefusal;
use crate::policy::RoutePolicy;
use crate::request::RouteRequest;

/// The reason for a retry. Retries are counted per reason.
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
pub enum RetryReason {
    /// The connection could not be established.
    NotConnected,
    /// The upstream rejected the request because of its load.
    RefusedBusy,
    /// The upstream failed, and the request is idempotent.
    UpstreamFault,
    /// The connection was lost, and the request is idempotent.
    ConnectionLost,
    /// The upstream stopped responding, and the request is idempotent.
    Silent,
    /// The stream broke after its first byte and is resumed on another engine.
    Resumed,
}

/// The properties of a failed attempt that decide about a retry.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Number of response bytes that the caller has received.
    pub bytes_sent_to_caller: ByteCount,
    /// Whether an engine can resume after the received part.
    pub resumable: bool,
    /// Number of attempts for this request so far, including this one.
    pub attempts: u32,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Choose an upstream again and send the whole request on a new connection.
    SendAgain(RetryReason),
    /// Choose an upstream again and resume after the last received token.
    Resume,
    /// Return this refusal to the caller.
    GiveUp(RouteRefusal),
}

/// Token bucket that limits retries to a share of the successful requests, so that
/// retries cannot amplify an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: &RoutePolicy, now: Instant) -> Self {
        Self {
            tokens: policy.retry_burst,
            refilled_at: now,
        }
    }

    /// Adds the tokens for one successful request.
    pub fn record_success(&mut self, policy: &RoutePolicy) {
        self.tokens = (self.tokens + policy.retry_ratio).min(policy.retry_burst);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn try_take(&mut self, policy: &RoutePolicy, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + policy.min_retries_per_second * elapsed.as_secs_f64())
            .min(policy.retry_burst);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Returns the time until the minimum refill rate alone has added up to one retry.
    pub fn time_to_next(&self, policy: &RoutePolicy) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / policy.min_retries_per_second.max(0.01))
    }
}

/// Returns the kind of retry that is permitted apart from the retry budget, or the reason
/// why there is none.
pub(crate) fn permitted_retry(
    policy: &RoutePolicy,
    request: &RouteRequest,
    failed: &FailedAttempt,
    now: Instant,
) -> Result<RetryDecision, RefusalReason> {
    if request.deadline.is_some_and(|deadline| deadline <= now) {
        return Err(RefusalReason::DeadlinePassed);
    }
    let decision = retry_decision(request, failed)?;
    if failed.attempts >= policy.max_attempts {
        return Err(RefusalReason::AttemptsSpent);
    }
    Ok(decision)
}

fn retry_decision(
    request: &RouteRequest,
    failed: &FailedAttempt,
) -> Result<RetryDecision, RefusalReason> {
    if failed.bytes_sent_to_caller.0 > 0 {
        // The output of a second run could differ from what the caller already has.
        return match failed.resumable && request.idempotent {
            true => Ok(RetryDecision::Resume),
            false => Err(failure_reason(failed.outcome)),
        };
    }
    let reason = match failed.outcome {
        AttemptOutcome::NotConnected => RetryReason::NotConnected,
        AttemptOutcome::RefusedBusy => RetryReason::RefusedBusy,
        AttemptOutcome::UpstreamFault => RetryReason::UpstreamFault,
        AttemptOutcome::ConnectionLost => RetryReason::ConnectionLost,
        AttemptOutcome::Silent => RetryReason::Silent,
        AttemptOutcome::Completed { .. }
        | AttemptOutcome::Cancelled
        | AttemptOutcome::Withdrawn => return Err(RefusalReason::NotRepeatable),
    };
    if failed.outcome.proves_not_run() || request.idempotent {
        Ok(RetryDecision::SendAgain(reason))
    } else {
        Err(failure_reason(failed.outcome))
    }
}

fn failure_reason(outcome: AttemptOutcome) -> RefusalReason {
    match outcome {
        AttemptOutcome::Silent => RefusalReason::SilentNotRepeatable,
        _ => RefusalReason::NotRepeatable,
    }
}
