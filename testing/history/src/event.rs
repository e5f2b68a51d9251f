//! What callers, operators, upstreams, processes and the ledger's log tell.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::RunState;
use snipegate_types::ShardId;

/// One event of a run, one JSON line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// Microseconds since the Unix epoch; all writers share one clock.
    pub at_us: u64,
    /// What happened.
    pub what: EventKind,
}

/// Numbers the attempts of all callers of a run.
pub type AttemptId = u64;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller begins to send a request, or to send it again.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
        /// The process that it is sent to.
        router: String,
        /// What it asks for.
        nature: RequestNature,
    },
    /// A caller got an answer up to its end mark.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// The usage in the answer; plain services tell none.
        usage: Option<AnswerUsage>,
        /// The answer's text.
        text: String,
    },
    /// A caller got a refusal or failure with a number.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The result code.
        code: u16,
        /// What is said of the work.
        run: RunState,
    },
    /// A caller's connection ended after sending and before the answer's end.
    Broken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A caller waited long enough and closed the connection itself.
    GaveUp {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A caller could not connect, so nothing was sent.
    NotConnected {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Work that reached an upstream, in the upstream's own words.
    Work {
        /// The upstream.
        upstream: String,
        /// The request id that came with the work.
        request: RequestId,
        /// When the work began, in microseconds since the Unix epoch.
        started_us: u64,
    },
    /// An operator's order that an upstream leave was accepted.
    UpstreamLeaving {
        /// The upstream.
        upstream: String,
    },
    /// A process was asked to stop.
    StopPlanned {
        /// The process.
        process: String,
    },
    /// A process was killed or ended by itself without being asked to.
    ProcessDied {
        /// The process.
        process: String,
    },
    /// The store accepted an operator's change of the configuration.
    ConfigAccepted {
        /// Its revision.
        revision: u64,
    },
    /// A process told which configuration it acts on.
    ConfigSeen {
        /// The process, one incarnation.
        process: String,
        /// The revision that it acts on.
        revision: u64,
        /// Whether it takes requests.
        serving: bool,
    },
    /// An operator asked for a top-up.
    TopUpAsked {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// How many tokens.
        amount: u64,
    },
    /// An entry of a shard's log.
    Ledger {
        /// The shard.
        shard: ShardId,
        /// The segment.
        sequence: u64,
        /// The entry.
        entry: LedgerEntry,
    },
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestNature {
    /// A chat completion of the engine stand-in: token `i` of the right answer
    /// is `marker/i/digest`.
    Chat {
        /// The word that the answer repeats.
        marker: String,
        /// The prompt's digest.
        digest: String,
        /// Tokens of the right answer.
        tokens: u64,
    },
    /// A call of a plain service.
    Service {
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

/// The usage that an answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerUsage {
    /// Tokens of the answer.
    pub completion: u64,
    /// Tokens of prompt and answer.
    pub total: u64,
}

/// An entry of a shard's log that matters to the checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEntry {
    /// Tokens were added to a budget.
    TopUp {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// How many tokens.
        amount: u64,
    },
    /// A request was billed.
    Bill {
        /// The request.
        request: RequestId,
        /// The budget.
        budget: BudgetId,
        /// How many tokens.
        amount: u64,
    },
    /// A call that may not be repeated was claimed.
    Intend {
        /// The request.
        request: RequestId,
    },
}
