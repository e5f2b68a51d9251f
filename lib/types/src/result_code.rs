//! Numbered result codes for refusals and failures.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::FromRepr;
use strum::IntoStaticStr;

/// Whether the work of a request was executed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// An upstream did the work.
    Ran,
    /// No upstream has begun the work, and none will.
    NotRun,
    /// An upstream may have done some or all of the work.
    Unknown,
}

/// The numbered reason for a refusal or failure.
///
/// Numbers are part of the public interface and are never reused. The first
/// digit is the category: 1 the request itself, 2 budgets and limits,
/// 3 upstreams, 4 the platform, 5 non-repeatable calls, 6 process state,
/// 9 internal errors.
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
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    FromRepr,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum ResultCode {
    /// The body is not JSON that the path accepts.
    MalformedBody = 1001,
    /// The body contains an unknown field that would affect the outcome.
    UnknownField = 1002,
    /// The body exceeds the size limit.
    BodyTooLarge = 1003,
    /// The request has no API key.
    KeyMissing = 1004,
    /// The API key does not belong to any workspace.
    KeyInvalid = 1005,
    /// The workspace does not exist or does not own the API key.
    UnknownWorkspace = 1006,
    /// No such model is served.
    UnknownModel = 1007,
    /// The profile does not exist.
    UnknownProfile = 1008,
    /// A token count is zero, negative or above the limit.
    TokenCountInvalid = 1009,
    /// The caller did not send the body in time.
    SenderTooSlow = 1010,
    /// The plain service does not exist.
    UnknownService = 1011,
    /// A non-repeatable call has no idempotency key.
    IdempotencyKeyMissing = 1012,
    /// The idempotency key was already used with a different body.
    IdempotencyKeyReused = 1013,
    /// The path or method does not exist.
    UnknownPath = 1014,
    /// The head of the request exceeds the size limit.
    HeadTooLarge = 1015,
    /// The head of the request or its body framing is malformed or ambiguous.
    MalformedRequest = 1016,
    /// Parts of the prompt have crashed upstreams and are not sent for now.
    PromptQuarantined = 1017,
    /// The same request has crashed upstreams and is not sent for now.
    RequestQuarantined = 1018,
    /// The budget cannot cover the worst-case cost of the request.
    BudgetExhausted = 2001,
    /// The budget may have tokens left, but this process cannot reach them now.
    BudgetUnreachable = 2002,
    /// The workspace has no budget for this profile.
    BudgetUnknown = 2003,
    /// The request limit of the workspace is reached.
    WorkspaceLimited = 2004,
    /// The request limit of the profile is reached.
    ProfileLimited = 2005,
    /// No upstream serves the requested model, adapter and version.
    NoUpstream = 3001,
    /// Every upstream that could serve the request is at capacity.
    UpstreamsFull = 3002,
    /// The deadline cannot be met, so the request was not started.
    DeadlineUnmeetable = 3003,
    /// The request could be retried, but the retry budget is exhausted.
    RetryBudgetSpent = 3004,
    /// The upstream failed after the request was sent to it.
    UpstreamFailed = 3005,
    /// The deadline passed before the answer was complete.
    DeadlinePassed = 3006,
    /// The upstream connection stopped delivering data.
    UpstreamSilent = 3007,
    /// The request was shed in favour of requests of higher priority.
    PriorityShed = 3008,
    /// The request needs the configuration store, which is unreachable.
    StoreUnavailable = 4001,
    /// The process has not loaded a configuration yet.
    ConfigMissing = 4002,
    /// The answer is complete, but its bill could not be stored durably.
    BillUnconfirmed = 4003,
    /// The configuration of this process is too old to act on.
    ConfigStale = 4004,
    /// The intent of the call is recorded, but its outcome is unknown.
    OutcomeUnknown = 5001,
    /// The same call is already running.
    StillRunning = 5002,
    /// The process is shutting down and accepts no new requests.
    Stopping = 6001,
    /// The process is starting and cannot serve requests yet.
    NotReady = 6002,
    /// An internal error of snipegate.
    InternalFault = 9001,
}

impl ResultCode {
    /// Returns the number that callers see.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status of responses with this code.
    pub const fn http_status(self) -> u16 {
        use ResultCode::*;
        match self {
            MalformedBody
            | UnknownField
            | TokenCountInvalid
            | IdempotencyKeyMissing
            | MalformedRequest => 400,
            KeyMissing | KeyInvalid => 401,
            UnknownWorkspace => 403,
            UnknownModel | UnknownProfile | UnknownService | UnknownPath => 404,
            SenderTooSlow => 408,
            IdempotencyKeyReused | OutcomeUnknown | StillRunning => 409,
            BodyTooLarge => 413,
            HeadTooLarge => 431,
            BudgetExhausted | BudgetUnknown => 402,
            WorkspaceLimited | ProfileLimited | PriorityShed => 429,
            UpstreamFailed | UpstreamSilent => 502,
            DeadlinePassed => 504,
            BudgetUnreachable | NoUpstream | UpstreamsFull | DeadlineUnmeetable
            | RetryBudgetSpent | StoreUnavailable | ConfigMissing | BillUnconfirmed
            | ConfigStale | Stopping | NotReady | PromptQuarantined | RequestQuarantined => 503,
            InternalFault => 500,
        }
    }

    /// Returns whether the same request can succeed when it is sent again later.
    pub const fn is_retryable(self) -> bool {
        use ResultCode::*;
        match self {
            MalformedBody
            | UnknownField
            | BodyTooLarge
            | KeyMissing
            | KeyInvalid
            | UnknownWorkspace
            | UnknownModel
            | UnknownProfile
            | TokenCountInvalid
            | UnknownService
            | IdempotencyKeyMissing
            | IdempotencyKeyReused
            | UnknownPath
            | HeadTooLarge
            | MalformedRequest
            | BudgetUnknown
            | OutcomeUnknown => false,
            SenderTooSlow | BudgetExhausted | BudgetUnreachable | WorkspaceLimited
            | ProfileLimited | NoUpstream | UpstreamsFull | DeadlineUnmeetable
            | RetryBudgetSpent | UpstreamFailed | DeadlinePassed | UpstreamSilent
            | PriorityShed | StoreUnavailable | ConfigMissing | BillUnconfirmed | ConfigStale
            | StillRunning | Stopping | NotReady | PromptQuarantined | RequestQuarantined
            | InternalFault => true,
        }
    }
}
