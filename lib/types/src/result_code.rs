//! Numbered result codes of refusals and failures.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::FromRepr;
use strum::IntoStaticStr;

/// What became of the work that a request asked for.
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
    /// No upstream began the work, now or later.
    NotRun,
    /// An upstream may have done the work, in whole or in part.
    Unknown,
}

/// The reason of a refusal or failure, with its number.
///
/// Numbers are part of the interface and are never reused. The first digit is
/// the family: 1 the request itself, 2 budgets and limits, 3 upstreams,
/// 4 the platform, 5 calls that may not be repeated, 6 the process's own
/// state, 9 faults of snipegate.
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
    /// The body is not the JSON that the path takes.
    MalformedBody = 1001,
    /// A field that would change the outcome is not known.
    UnknownField = 1002,
    /// The body is larger than the limit.
    BodyTooLarge = 1003,
    /// No key was sent.
    KeyMissing = 1004,
    /// The key is not one of a workspace.
    KeyInvalid = 1005,
    /// The workspace does not exist or is not the key's.
    UnknownWorkspace = 1006,
    /// The model is not served.
    UnknownModel = 1007,
    /// The profile does not exist.
    UnknownProfile = 1008,
    /// A token count is zero, negative or above the limit.
    TokenCountInvalid = 1009,
    /// The body did not arrive in time.
    SenderTooSlow = 1010,
    /// The plain service does not exist.
    UnknownService = 1011,
    /// A call that may not be repeated came without an idempotency key.
    IdempotencyKeyMissing = 1012,
    /// The idempotency key was used before with another body.
    IdempotencyKeyReused = 1013,
    /// The path or method does not exist.
    UnknownPath = 1014,
    /// The head of the request is larger than the limit.
    HeadTooLarge = 1015,
    /// The request's head or the framing of its body is malformed or ambiguous.
    MalformedRequest = 1016,
    /// The budget cannot cover the request's worst case.
    BudgetExhausted = 2001,
    /// Budget may remain, but none of it can be reached from here now.
    BudgetUnreachable = 2002,
    /// The workspace has no budget for this profile.
    BudgetUnknown = 2003,
    /// The workspace's request limit is reached.
    WorkspaceLimited = 2004,
    /// The profile's request limit is reached.
    ProfileLimited = 2005,
    /// No upstream serves the model, adapter and version asked for.
    NoUpstream = 3001,
    /// Every upstream that could serve the request is full.
    UpstreamsFull = 3002,
    /// The deadline cannot be met, so the request was not started.
    DeadlineUnmeetable = 3003,
    /// A retry was possible but the retry budget is spent.
    RetryBudgetSpent = 3004,
    /// The upstream failed after the request was sent to it.
    UpstreamFailed = 3005,
    /// The deadline passed before the answer was complete.
    DeadlinePassed = 3006,
    /// The upstream's connection went silent.
    UpstreamSilent = 3007,
    /// The request was shed in favour of requests of higher priority.
    PriorityShed = 3008,
    /// The configuration store cannot be reached and the request needs it.
    StoreUnavailable = 4001,
    /// No configuration has been learnt yet.
    ConfigMissing = 4002,
    /// The answer is complete but its bill could not be made safe.
    BillUnconfirmed = 4003,
    /// The configuration known here is too old to act on.
    ConfigStale = 4004,
    /// The call's intent is recorded and its outcome is not known.
    OutcomeUnknown = 5001,
    /// The same call is running now.
    StillRunning = 5002,
    /// The process is stopping and takes no new requests.
    Stopping = 6001,
    /// The process is starting and cannot serve yet.
    NotReady = 6002,
    /// A fault inside snipegate.
    InternalFault = 9001,
}

impl ResultCode {
    /// Returns the number shown to callers.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status that carries this code.
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
            | ConfigStale | Stopping | NotReady => 503,
            InternalFault => 500,
        }
    }

    /// Tells whether sending the same request again later can succeed.
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
            | StillRunning | Stopping | NotReady | InternalFault => true,
        }
    }
}
