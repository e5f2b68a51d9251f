//! Messages between routers.

use serde::Deserialize;
use serde::Serialize;
use snipegate_ledger::LedgerOperation;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// A transfer that the ledger may not have recorded yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferNote {
    /// Identifies the transfer.
    pub transfer: OperationId,
    /// Who deducted the tokens.
    pub giver: IncarnationId,
    /// How many tokens.
    pub amount: TokenCount,
}

impl TransferNote {
    pub(crate) fn operation(&self, budget: &BudgetId, receiver: &IncarnationId) -> LedgerOperation {
        LedgerOperation::NoteTransfer {
            transfer: self.transfer,
            budget: budget.clone(),
            giver: self.giver.clone(),
            receiver: receiver.clone(),
            amount: self.amount,
        }
    }
}

/// A bill that another router can post.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillCopy {
    /// The request.
    pub request: RequestId,
    /// The budget.
    pub budget: BudgetId,
    /// The budget's shard.
    pub shard: ShardId,
    /// Position of the bill among what its holder sends to the shard.
    pub position: u64,
    /// Tokens used.
    pub amount: TokenCount,
    /// The router whose holding pays.
    pub holder: IncarnationId,
    /// Transfers that have to be recorded before the bill, as the holder may
    /// have used their tokens for it.
    pub notes: Vec<TransferNote>,
}

/// A message from one router to another.
///
/// Every message may be lost, delayed, doubled or overtaken by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EscrowMessage {
    /// Asks for tokens; answered by `GiveTransfer` or `DeclineTransfer`.
    AskTransfer {
        /// The budget.
        budget: BudgetId,
        /// The budget's shard.
        shard: ShardId,
        /// What the sender would like.
        wanted: TokenCount,
        /// What the sender needs; less is of no use to it.
        least: TokenCount,
    },
    /// Gives tokens that the sender has deducted. Sent again until
    /// acknowledged.
    GiveTransfer {
        /// Position among the sender's transfers to this receiver, from 1.
        /// The next one is sent only after this one was acknowledged.
        sequence: u64,
        /// Identifies the transfer in the ledger.
        transfer: OperationId,
        /// The budget.
        budget: BudgetId,
        /// The budget's shard.
        shard: ShardId,
        /// How many tokens.
        amount: TokenCount,
        /// What the sender has left free.
        left: TokenCount,
    },
    /// Acknowledges a transfer: the receiver has the tokens.
    TakeTransfer {
        /// The acknowledged position.
        sequence: u64,
    },
    /// Turns a request for tokens down.
    DeclineTransfer {
        /// The budget.
        budget: BudgetId,
        /// What the sender has free.
        left: TokenCount,
    },
    /// Asks the receiver to keep a copy of a bill and to post it in time.
    HoldBill(BillCopy),
    /// Confirms that a copy is held.
    BillHeld {
        /// The request of the bill.
        request: RequestId,
        /// The router whose holding pays.
        holder: IncarnationId,
    },
    /// Tells that the bill is in the ledger and its copy is of no more use.
    DropBill {
        /// The request of the bill.
        request: RequestId,
        /// The router whose holding pays.
        holder: IncarnationId,
    },
    /// Tells the receiver that it was declared dead.
    Fenced,
}
