//! Events recorded by callers, operators, upstreams, processes and the ledger log.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::RunState;
use snipegate_types::ShardId;

/// An event of a run, stored as one JSON line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// Time in microseconds since the Unix epoch, by a clock that all writers
    /// share.
    pub at_us: u64,
    /// The kind of event and its details.
    pub what: EventKind,
}

/// Identifies an attempt among those of all callers of a run.
pub type AttemptId = u64;

/// Kind of event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller started to send a request, possibly as a retry.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
        /// The router process to which it is sent.
        router: String,
        /// The type of request.
        nature: RequestNature,
    },
    /// A caller received an answer including its end marker.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// The usage reported in the answer; plain services report none.
        usage: Option<AnswerUsage>,
        /// The answer's text.
        text: String,
    },
    /// A caller received a refusal or failure with a result code.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The result code.
        code: u16,
        /// The reported state of the work.
        run: RunState,
    },
    /// A caller's connection ended after the request was sent but before the
    /// answer was complete.
    Broken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A caller gave up waiting and closed the connection.
    GaveUp {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A caller could not connect, so the request was not sent.
    NotConnected {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Work reached an upstream, according to the upstream's own records.
    Work {
        /// The upstream.
        upstream: String,
        /// The request ID sent with the work.
        request: RequestId,
        /// Start time in microseconds since the Unix epoch.
        started_us: u64,
    },
    /// An operator's order for an upstream to leave was accepted.
    UpstreamLeaving {
        /// The upstream.
        upstream: String,
    },
    /// A process was asked to stop.
    StopPlanned {
        /// The process.
        process: String,
    },
    /// A process was killed or exited without being asked to stop.
    ProcessDied {
        /// The process.
        process: String,
    },
    /// The store accepted a configuration change by an operator.
    ConfigAccepted {
        /// The revision of the change.
        revision: u64,
    },
    /// A process reported the configuration that it uses.
    ConfigSeen {
        /// The process; each restart counts as another process.
        process: String,
        /// The revision that it uses.
        revision: u64,
        /// Whether it accepts requests.
        serving: bool,
    },
    /// An operator requested a top-up.
    TopUpAsked {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens.
        amount: u64,
    },
    /// A shard's log contains an entry.
    Ledger {
        /// The shard.
        shard: ShardId,
        /// The sequence number of the segment.
        sequence: u64,
        /// The entry.
        entry: LedgerEntry,
    },
}

/// Type of request, with its expected answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestNature {
    /// A chat completion by the engine stand-in.
    ///
    /// Token `i` of the correct answer is `marker/i/digest`.
    Chat {
        /// The marker repeated in each token.
        marker: String,
        /// The digest of the prompt.
        digest: String,
        /// Number of tokens in the correct answer.
        tokens: u64,
    },
    /// A call to a plain service.
    Service {
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

/// Token usage reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerUsage {
    /// Number of answer tokens.
    pub completion: u64,
    /// Total number of prompt and answer tokens.
    pub total: u64,
}

/// Entry of a shard's log that is included in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEntry {
    /// Purchased tokens were added to a budget.
    TopUp {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens.
        amount: u64,
    },
    /// A request was billed.
    Bill {
        /// The request.
        request: RequestId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens.
        amount: u64,
    },
    /// The intent to run a non-repeatable call was recorded.
    Intend {
        /// The request.
        request: RequestId,
    },
}
