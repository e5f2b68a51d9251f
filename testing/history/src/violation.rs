//! Violations that the checks report.

use std::fmt;

use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;

use crate::event::AttemptId;

/// A violation of a requirement found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A budget's bills exceeded the tokens purchased up to that point.
    Overspent {
        /// The budget.
        budget: BudgetId,
        /// Tokens billed.
        billed: u64,
        /// Tokens purchased.
        purchased: u64,
    },
    /// The log contains a purchase more than once.
    TopUpRepeated {
        /// The purchase.
        operation: OperationId,
    },
    /// The log contains a purchase that no operator requested, or with another
    /// budget or amount.
    TopUpNotRequested {
        /// The purchase.
        operation: OperationId,
    },
    /// A request was billed more than once.
    BilledTwice {
        /// The request.
        request: RequestId,
    },
    /// A request was billed although no caller sent it.
    BilledUnsent {
        /// The request.
        request: RequestId,
    },
    /// A request was billed although every attempt was refused as not run or
    /// could not connect.
    BilledNotRun {
        /// The request.
        request: RequestId,
    },
    /// A caller received a complete answer that was never billed.
    AnswerUnbilled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The usage reported to a caller differs from the billed amount.
    UsageDiffers {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens reported to the caller.
        reported: u64,
        /// Tokens billed.
        billed: u64,
    },
    /// A caller received a token that is not the next one of its answer.
    UnexpectedToken {
        /// The attempt.
        attempt: AttemptId,
        /// The token.
        token: String,
    },
    /// The number of correct tokens in an answer differs from the expected length.
    AnswerLengthMismatch {
        /// The attempt.
        attempt: AttemptId,
        /// Number of correct tokens received in order.
        received: u64,
        /// Number of tokens in the correct answer.
        expected: u64,
    },
    /// An attempt has more than one outcome.
    AttemptEndedTwice {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Work ran although every attempt that could have caused it was refused as
    /// not run or could not connect.
    NotRunButExecuted {
        /// The request.
        request: RequestId,
        /// The upstream on which it ran.
        upstream: String,
    },
    /// A non-repeatable call ran more than once.
    RanTwice {
        /// The request.
        request: RequestId,
        /// Number of runs.
        runs: usize,
    },
    /// An upstream received new work too long after it was told to leave.
    WorkWhileLeaving {
        /// The upstream.
        upstream: String,
        /// The request.
        request: RequestId,
        /// Time since it was told to leave, in milliseconds.
        after_ms: u64,
    },
    /// A planned stop interrupted a request in progress.
    StopCutOff {
        /// The process.
        process: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A process reverted to an older configuration.
    ConfigReverted {
        /// The process.
        process: String,
        /// The previous revision.
        from: u64,
        /// The older revision.
        to: u64,
    },
    /// A process served with an outdated configuration for too long.
    ConfigOutdated {
        /// The process.
        process: String,
        /// The accepted revision that it should have used.
        accepted: u64,
        /// The revision that it used.
        seen: u64,
        /// Time since the newer revision was accepted, in milliseconds.
        after_ms: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use Violation::*;
        match self {
            Overspent {
                budget,
                billed,
                purchased,
            } => write!(
                f,
                "budget {budget} overspent: {billed} billed, {purchased} bought"
            ),
            TopUpRepeated { operation } => write!(f, "top-up {operation} counted twice"),
            TopUpNotRequested { operation } => write!(f, "top-up {operation} was not asked for"),
            BilledTwice { request } => write!(f, "request {request} billed twice"),
            BilledUnsent { request } => write!(f, "request {request} billed but never sent"),
            BilledNotRun { request } => {
                write!(f, "request {request} billed but refused as not run")
            }
            AnswerUnbilled { attempt } => write!(f, "attempt {attempt} answered but not billed"),
            UsageDiffers {
                attempt,
                reported,
                billed,
            } => write!(
                f,
                "attempt {attempt} told {reported} tokens, billed {billed}"
            ),
            UnexpectedToken { attempt, token } => {
                write!(f, "attempt {attempt} got a wrong token {token:?}")
            }
            AnswerLengthMismatch {
                attempt,
                received,
                expected,
            } => {
                write!(f, "attempt {attempt} got {received} of {expected} tokens")
            }
            AttemptEndedTwice { attempt } => write!(f, "attempt {attempt} ended twice"),
            NotRunButExecuted { request, upstream } => {
                write!(f, "request {request} refused as not run, ran on {upstream}")
            }
            RanTwice { request, runs } => write!(f, "request {request} ran {runs} times"),
            WorkWhileLeaving {
                upstream,
                request,
                after_ms,
            } => write!(
                f,
                "upstream {upstream} got request {request} {after_ms} ms after it was told to leave"
            ),
            StopCutOff { process, attempt } => {
                write!(f, "planned stop of {process} cut off attempt {attempt}")
            }
            ConfigReverted { process, from, to } => {
                write!(f, "{process} went back from configuration {from} to {to}")
            }
            ConfigOutdated {
                process,
                accepted,
                seen,
                after_ms,
            } => write!(
                f,
                "{process} served under configuration {seen} {after_ms} ms after {accepted}"
            ),
        }
    }
}
