//! Whether a failed request is sent again.

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

/// Why a request was sent again; each has a counter.
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
    /// No connection came about.
    NotConnected,
    /// The upstream refused it for its load.
    RefusedBusy,
    /// The upstream failed, and the call is idempotent.
    UpstreamFault,
    /// The connection broke, and the call is idempotent.
    ConnectionLost,
    /// The connection went silent, and the call is idempotent.
    Silent,
    /// The stream broke after its first byte and goes on elsewhere.
    Resumed,
}

/// A failed attempt, as far as the decision to retry needs it.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What the caller has received of the answer.
    pub sent_to_caller: ByteCount,
    /// Whether an engine can go on from what was received.
    pub resumable: bool,
    /// Attempts made for this request, this one included.
    pub attempts: u32,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Choose again and send the request anew on a fresh connection.
    SendAgain(RetryReason),
    /// Choose again and go on after the last token received.
    Resume,
    /// Answer the caller with this.
    GiveUp(RouteRefusal),
}

/// Limits retries to a share of successes, so that they cannot multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(policy: &RoutePolicy, now: Instant) -> Self {
        Self {
            tokens: policy.retry_burst,
            refilled_at: now,
        }
    }

    /// Adds the share that a success earns.
    pub fn succeeded(&mut self, policy: &RoutePolicy) {
        self.tokens = (self.tokens + policy.retry_share).min(policy.retry_burst);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self, policy: &RoutePolicy, now: Instant) -> bool {
        let span = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens =
            (self.tokens + policy.retry_floor * span.as_secs_f64()).min(policy.retry_burst);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Returns when the floor alone will have earned a retry.
    pub fn wait(&self, policy: &RoutePolicy) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / policy.retry_floor.max(0.01))
    }
}

/// Decides by the rules that need no budget: `Ok` means that a retry is right.
pub(crate) fn permitted_retry(
    policy: &RoutePolicy,
    request: &RouteRequest,
    failed: &FailedAttempt,
    now: Instant,
) -> Result<RetryDecision, RefusalReason> {
    if request.deadline.is_some_and(|deadline| deadline <= now) {
        return Err(RefusalReason::DeadlinePassed);
    }
    let decision = retry_kind(request, failed)?;
    if failed.attempts >= policy.max_attempts {
        return Err(RefusalReason::AttemptsSpent);
    }
    Ok(decision)
}

fn retry_kind(
    request: &RouteRequest,
    failed: &FailedAttempt,
) -> Result<RetryDecision, RefusalReason> {
    if failed.sent_to_caller.0 > 0 {
        // A second run could differ from what the caller already has.
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
