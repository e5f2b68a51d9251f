//! Operations that routers and operators send to a shard keeper.
//!
//! Every operation is idempotent: a repetition with the same ID has the same
//! result and no further effect. A result is returned only once it is durable.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

/// Operations from one sender for one shard, applied in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBatch {
    /// The shard that the operations belong to.
    pub shard: ShardId,
    /// The sender; grants and returns change its holding.
    pub sender: IncarnationId,
    /// Position of the first operation in the sender's sequence of operations
    /// for the shard, counted from 0; `None` if the sender is unordered.
    ///
    /// An operation at a position that was already decided is a repetition,
    /// however late it arrives, and has no further effect.
    pub first: Option<u64>,
    /// The operations; an empty batch is a heartbeat of an ordered sender.
    pub operations: Vec<LedgerOperation>,
}

/// One operation on the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerOperation {
    /// Moves unassigned tokens of a budget to the sender.
    Grant {
        /// Identifies the operation.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// The number of tokens that the sender asks for.
        wanted: TokenCount,
        /// The smallest number of tokens that the sender accepts.
        least: TokenCount,
    },
    /// Moves tokens that the sender holds, and has deducted locally, back to
    /// unassigned.
    Return {
        /// Identifies the operation.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens.
        amount: TokenCount,
    },
    /// Records a transfer of tokens from one router to another.
    NoteTransfer {
        /// Identifies the transfer.
        transfer: OperationId,
        /// The budget.
        budget: BudgetId,
        /// The router that deducted the tokens.
        giver: IncarnationId,
        /// The router that received the tokens.
        ///
        /// The operation is sent by the receiver, by the giver, and by any
        /// router that posts a copy of a bill that depends on the transfer.
        /// Like bills, it is accepted until the receiver's holdings are
        /// reclaimed.
        receiver: IncarnationId,
        /// Number of tokens.
        amount: TokenCount,
    },
    /// Bills a request; only the first bill of a request ID has an effect.
    Bill {
        /// The request.
        request: RequestId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens used.
        amount: TokenCount,
        /// The router whose holding is charged; differs from the sender if the
        /// sender posts a copy that it keeps for another router.
        holder: IncarnationId,
        /// Position of this bill in the holder's sequence of operations, if the
        /// holder is an ordered sender. The bill at a position has an effect
        /// only once, regardless of who posts it and when.
        position: Option<u64>,
    },
    /// Adds purchased tokens to a budget, which is created if it does not exist.
    TopUp {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// Number of tokens.
        amount: TokenCount,
    },
    /// Claims the single execution of a non-repeatable call.
    Intend {
        /// The request.
        request: RequestId,
        /// Identifies this claim. Each claim of the same sender has its own ID,
        /// so that a delayed message of one claim is not applied to another.
        attempt: OperationId,
        /// The upstream that will execute the call.
        upstream: UpstreamId,
        /// Digest of the call, which distinguishes a retry from a different call
        /// with the same key.
        digest: [u8; 16],
    },
    /// Records the outcome of a non-repeatable call.
    Conclude {
        /// The request.
        request: RequestId,
        /// The claim that the outcome belongs to.
        attempt: OperationId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// Ends the sender's participation in the ledger: its holdings are reclaimed
    /// as after [`LedgerOperation::DeclareDead`].
    Release,
    /// Declares an incarnation proven dead. Its holdings are reclaimed once every
    /// registered router has confirmed a [`FenceRequest`](crate::FenceRequest) for it.
    DeclareDead {
        /// The dead incarnation.
        holder: IncarnationId,
    },
}

/// The outcome of a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The upstream returned a response.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, truncated if it is too large to store.
        body: Vec<u8>,
    },
    /// Nothing reached the upstream; the intent is void and the call can be
    /// claimed again.
    NotRun,
    /// The call was sent, but no response was received.
    Unknown,
}

/// The result of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// Tokens were added to the sender's holding.
    Granted {
        /// Number of tokens.
        amount: TokenCount,
        /// Number of unassigned tokens left in the budget after this grant.
        unassigned: TokenCount,
    },
    /// The tokens are unassigned again.
    Returned,
    /// The transfer is recorded.
    Noted,
    /// The request is billed.
    Billed {
        /// Number of tokens charged by the first bill of this request.
        amount: TokenCount,
        /// Whether that first bill charged the holder named by this operation,
        /// regardless of who posted it; if not, the holder was not charged.
        first: bool,
    },
    /// The tokens are added.
    ToppedUp,
    /// The sender may execute the call.
    Intended,
    /// The call was claimed before.
    AlreadyIntended {
        /// The incarnation that claimed it.
        claimant: IncarnationId,
        /// The upstream of the claimed call.
        upstream: UpstreamId,
        /// Digest of the claimed call.
        digest: [u8; 16],
        /// The outcome, if it is recorded.
        outcome: Option<CallOutcome>,
    },
    /// The outcome is recorded.
    Concluded,
    /// The sender is closed, and its holdings are being reclaimed.
    Released,
    /// The incarnation is closed, and its holdings are being reclaimed.
    Declared,
    /// The operation was refused and had no effect.
    Refused(OperationRefusal),
}

/// The reason why an operation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperationRefusal {
    /// The budget does not exist.
    BudgetUnknown,
    /// The budget has fewer unassigned tokens than needed. Other routers that
    /// hold tokens of it have been asked to return idle ones.
    BudgetShort {
        /// Number of tokens held by other incarnations.
        held_elsewhere: TokenCount,
    },
    /// The holder was declared dead or has released its holdings.
    HolderClosed,
    /// The holder does not have the tokens that the operation deducts.
    HoldingShort,
    /// The ID of the operation was used for a different operation.
    IdReused,
    /// The sender has no claim on the call whose outcome it reports.
    IntentUnknown,
    /// The resulting balance would exceed the supported range.
    AmountTooLarge,
    /// The operation was decided before, but its result is no longer remembered.
    ResultForgotten,
}

impl OperationRefusal {
    /// Returns the result code for a request that fails because of this refusal.
    pub fn result_code(self) -> ResultCode {
        match self {
            OperationRefusal::BudgetUnknown => ResultCode::BudgetUnknown,
            OperationRefusal::BudgetShort { held_elsewhere } if held_elsewhere.is_zero() => {
                ResultCode::BudgetExhausted
            }
            OperationRefusal::BudgetShort { .. } => ResultCode::BudgetUnreachable,
            OperationRefusal::HolderClosed
            | OperationRefusal::HoldingShort
            | OperationRefusal::IdReused
            | OperationRefusal::IntentUnknown
            | OperationRefusal::AmountTooLarge
            | OperationRefusal::ResultForgotten => ResultCode::InternalFault,
        }
    }
}

/// The answer of a keeper to a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The result of each operation, in order; all of them are durable.
    Results(Vec<OperationResult>),
    /// This process does not keep the shard; the batch belongs to `keeper`.
    NotKeeper {
        /// The keeper of the shard, if it is known.
        keeper: Option<IncarnationId>,
    },
    /// The results are unknown: the operations may or may not take effect
    /// later, and can be sent again.
    Undecided {
        /// Delay before the batch should be sent again, in milliseconds.
        retry_after_ms: u64,
    },
}
