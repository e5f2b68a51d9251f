//! Operations that routers and operators send to a shard's keeper.
//!
//! Every operation is idempotent: sent again with the same id, it has the same
//! result and no further effect. A result is given only when it is durable.

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

/// Operations of one sender for one shard, applied in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBatch {
    /// The shard that they belong to.
    pub shard: ShardId,
    /// The sender; grants and bills without another holder are its own.
    pub sender: IncarnationId,
    /// Position of the first operation among all that the sender sends to the
    /// shard, one after the other, from 0; `None` where it keeps no order.
    ///
    /// An operation at a position that was taken before is a repeat, however
    /// late it comes, and has no further effect.
    pub first: Option<u64>,
    /// The operations; none is a heartbeat of a sender that keeps an order.
    pub operations: Vec<LedgerOperation>,
}

/// One operation on the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerOperation {
    /// Moves tokens from a budget's unassigned part to the sender.
    Grant {
        /// Identifies the operation.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// What the sender would like.
        wanted: TokenCount,
        /// What the sender needs now; less is of no use to it.
        least: TokenCount,
    },
    /// Moves tokens that the sender holds and has deducted back to unassigned.
    Return {
        /// Identifies the operation.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// How many tokens.
        amount: TokenCount,
    },
    /// Records a transfer of tokens from one router to another.
    NoteTransfer {
        /// Identifies the transfer.
        transfer: OperationId,
        /// The budget.
        budget: BudgetId,
        /// Who deducted the tokens.
        giver: IncarnationId,
        /// Who received them. Sent by the receiver, by the giver, and by
        /// whoever posts a copy of a bill that needs the transfer; accepted,
        /// as bills are, until the receiver's holdings are reclaimed.
        receiver: IncarnationId,
        /// How many tokens.
        amount: TokenCount,
    },
    /// Bills a request; the first bill of an id counts, later ones do nothing.
    Bill {
        /// The request.
        request: RequestId,
        /// The budget.
        budget: BudgetId,
        /// Tokens used.
        amount: TokenCount,
        /// The router whose grant pays; differs from the sender where the
        /// sender posts a copy that it holds for another router.
        holder: IncarnationId,
        /// Position of this bill among the holder's operations, where the
        /// holder keeps an order. Whoever posts it, and however late, the bill
        /// at a position counts once.
        position: Option<u64>,
    },
    /// Adds purchased tokens to a budget, which comes into being if need be.
    TopUp {
        /// Identifies the purchase.
        operation: OperationId,
        /// The budget.
        budget: BudgetId,
        /// How many tokens.
        amount: TokenCount,
    },
    /// Claims the only run of a call that may not be repeated.
    Intend {
        /// The request.
        request: RequestId,
        /// Identifies this claim; another claim of the same sender has another,
        /// so that an old message can't be taken for a new one.
        attempt: OperationId,
        /// Where it will run.
        upstream: UpstreamId,
        /// Digest of the call, to tell a retry from another call with its key.
        digest: [u8; 16],
    },
    /// Records how a call that may not be repeated ended.
    Conclude {
        /// The request.
        request: RequestId,
        /// The claim that ended.
        attempt: OperationId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Ends the sender's use of the ledger: everything it holds goes back.
    Release,
    /// Declares an incarnation dead on proof; its holdings are reclaimed once
    /// every registered router has been asked for what it holds from it.
    DeclareDead {
        /// The dead incarnation.
        holder: IncarnationId,
    },
}

/// How a call that may not be repeated ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The upstream answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer, cut where it is too large to keep.
        body: Vec<u8>,
    },
    /// Nothing reached the upstream; the intent is void and another may be made.
    NotRun,
    /// The call was sent and no answer came.
    Unknown,
}

/// The result of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// The sender holds this much more.
    Granted {
        /// How many tokens.
        amount: TokenCount,
        /// What is left unassigned in the budget after this grant.
        unassigned: TokenCount,
    },
    /// The tokens are unassigned again.
    Returned,
    /// The transfer is recorded.
    Noted,
    /// The request is billed.
    Billed {
        /// What the first bill of this request charged.
        amount: TokenCount,
        /// Whether that first bill charged the holder that this operation
        /// names, whoever posted it; if not, the holder paid nothing.
        first: bool,
    },
    /// The tokens are added.
    ToppedUp,
    /// The sender may run the call.
    Intended,
    /// Somebody else claimed the call before.
    AlreadyIntended {
        /// Who claimed it.
        claimant: IncarnationId,
        /// Where it runs or ran.
        upstream: UpstreamId,
        /// Digest of the claimed call.
        digest: [u8; 16],
        /// How it ended, if that is recorded.
        outcome: Option<CallOutcome>,
    },
    /// The outcome is recorded.
    Concluded,
    /// The sender holds nothing any more.
    Released,
    /// The incarnation may hold and bill no more; reclaiming is under way.
    Declared,
    /// The operation was refused and had no effect.
    Refused(OperationRefusal),
}

/// Why an operation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperationRefusal {
    /// The budget does not exist.
    BudgetUnknown,
    /// The budget has less left unassigned than is needed; other routers may
    /// hold some, and have been asked to return what is idle.
    BudgetShort {
        /// What other incarnations hold.
        held_elsewhere: TokenCount,
    },
    /// The holder was declared dead or released itself.
    HolderClosed,
    /// The holder does not hold what the operation takes from it.
    HoldingShort,
    /// The operation's id was used before for something else.
    IdReused,
    /// The sender has not claimed the call that it reports an outcome for.
    IntentUnknown,
    /// The sum does not fit.
    AmountTooLarge,
    /// The operation was decided before, and its result is no longer known.
    ResultForgotten,
}

impl OperationRefusal {
    /// Returns the code that a caller sees for a request refused for this.
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

/// A keeper's answer to a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// One result for each operation, in order; all of them are durable.
    Results(Vec<OperationResult>),
    /// This process does not keep the shard; try the keeper it names.
    NotKeeper {
        /// Who keeps the shard, as far as is known here.
        keeper: Option<IncarnationId>,
    },
    /// Nothing was decided: the operations may or may not take effect later,
    /// and can be sent again.
    Undecided {
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}
