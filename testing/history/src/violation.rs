//! What a check can find.

use std::fmt;

use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;

use crate::event::AttemptId;

/// A point of the requirements that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A budget's bills exceed what was bought up to then.
    Overspent {
        /// The budget.
        budget: BudgetId,
        /// Tokens billed.
        billed: u64,
        /// Tokens bought.
        purchased: u64,
    },
    /// A purchase stands in the log more than once.
    TopUpRepeated {
        /// The purchase.
        operation: OperationId,
    },
    /// A purchase stands in the log that nobody made, or not as it was made.
    TopUpUnasked {
        /// The purchase.
        operation: OperationId,
    },
    /// A request has more than one bill.
    BilledTwice {
        /// The request.
        request: RequestId,
    },
    /// A request was billed that no caller sent.
    BilledUnsent {
        /// The request.
        request: RequestId,
    },
    /// A request was billed although each attempt was refused as not run.
    BilledNotRun {
        /// The request.
        request: RequestId,
    },
    /// A caller got a whole answer that was never billed.
    AnswerUnbilled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A caller was told another usage than was billed.
    UsageDiffers {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens told.
        told: u64,
        /// Tokens billed.
        billed: u64,
    },
    /// A caller got a token that is not its answer's next one.
    AnswerForeign {
        /// The attempt.
        attempt: AttemptId,
        /// The token.
        token: String,
    },
    /// A caller's answer has not as many tokens as the right one.
    AnswerCut {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens that came.
        came: u64,
        /// Tokens of the right answer.
        whole: u64,
    },
    /// An attempt ended more than once.
    EndedTwice {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Work ran that no attempt accounts for but those refused as not run.
    RanThoughNotRun {
        /// The request.
        request: RequestId,
        /// Where it ran.
        upstream: String,
    },
    /// A call that may not be repeated ran more than once.
    RanTwice {
        /// The request.
        request: RequestId,
        /// How often it ran.
        runs: usize,
    },
    /// An upstream got new work too long after it was told to leave.
    WorkWhileLeaving {
        /// The upstream.
        upstream: String,
        /// The request.
        request: RequestId,
        /// Time since it was told to leave, in milliseconds.
        after_ms: u64,
    },
    /// A planned stop cut off a request in progress.
    StopCutOff {
        /// The process.
        process: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A process went back to an older configuration.
    ConfigReverted {
        /// The process.
        process: String,
        /// The revision before.
        from: u64,
        /// The older revision.
        to: u64,
    },
    /// A process served under an older configuration for too long.
    ConfigLate {
        /// The process.
        process: String,
        /// The revision that it should have.
        accepted: u64,
        /// The revision that it had.
        seen: u64,
        /// Time since the newer one was accepted, in milliseconds.
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
            TopUpUnasked { operation } => write!(f, "top-up {operation} was not asked for"),
            BilledTwice { request } => write!(f, "request {request} billed twice"),
            BilledUnsent { request } => write!(f, "request {request} billed but never sent"),
            BilledNotRun { request } => {
                write!(f, "request {request} billed but refused as not run")
            }
            AnswerUnbilled { attempt } => write!(f, "attempt {attempt} answered but not billed"),
            UsageDiffers {
                attempt,
                told,
                billed,
            } => write!(f, "attempt {attempt} told {told} tokens, billed {billed}"),
            AnswerForeign { attempt, token } => {
                write!(f, "attempt {attempt} got a wrong token {token:?}")
            }
            AnswerCut {
                attempt,
                came,
                whole,
            } => {
                write!(f, "attempt {attempt} got {came} of {whole} tokens")
            }
            EndedTwice { attempt } => write!(f, "attempt {attempt} ended twice"),
            RanThoughNotRun { request, upstream } => {
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
            ConfigLate {
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
