//! Messages exchanged between routers.

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
    /// The router that deducted the tokens.
    pub giver: IncarnationId,
    /// The number of tokens.
    pub amount: TokenCount,
}

impl TransferNote {
    /// Returns the ledger operation that records the transfer.
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

/// A copy of a bill that another router can post.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillCopy {
    /// The billed request.
    pub request: RequestId,
    /// The budget to charge.
    pub budget: BudgetId,
    /// The budget's shard.
    pub shard: ShardId,
    /// Position of the bill among the operations that its holder sends to the shard.
    pub position: u64,
    /// The number of tokens to bill.
    pub amount: TokenCount,
    /// The router whose holding is charged.
    pub holder: IncarnationId,
    /// Transfers that must be recorded before the bill, since the holder may have used
    /// their tokens for it.
    pub notes: Vec<TransferNote>,
}

/// A message from one router to another.
///
/// Messages may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EscrowMessage {
    /// Requests tokens. Answered by `GiveTransfer` or `DeclineTransfer`.
    AskTransfer {
        /// The budget that the tokens belong to.
        budget: BudgetId,
        /// The budget's shard.
        shard: ShardId,
        /// The preferred number of tokens.
        wanted: TokenCount,
        /// The minimum number of tokens that is useful to the sender.
        least: TokenCount,
    },
    /// Transfers tokens that the sender has deducted. Sent again until acknowledged.
    GiveTransfer {
        /// Sequence number among the sender's transfers to this receiver, from 1.
        /// The next transfer is sent only after this one is acknowledged.
        sequence: u64,
        /// Identifies the transfer in the ledger.
        transfer: OperationId,
        /// The budget that the tokens belong to.
        budget: BudgetId,
        /// The budget's shard.
        shard: ShardId,
        /// The number of tokens.
        amount: TokenCount,
        /// The tokens that the sender can still transfer.
        left: TokenCount,
    },
    /// Acknowledges the receipt of a transfer.
    TakeTransfer {
        /// The acknowledged sequence number.
        sequence: u64,
    },
    /// Declines a request for tokens.
    DeclineTransfer {
        /// The budget that the tokens belong to.
        budget: BudgetId,
        /// The tokens that the sender can transfer.
        left: TokenCount,
    },
    /// Asks the receiver to store a copy of a bill, and to post it after a delay.
    HoldBill(BillCopy),
    /// Acknowledges that a copy is stored.
    BillHeld {
        /// The request of the bill.
        request: RequestId,
        /// The router whose holding is charged.
        holder: IncarnationId,
    },
    /// Tells the receiver to drop its copy, since the bill is in the ledger.
    DropBill {
        /// The request of the bill.
        request: RequestId,
        /// The router whose holding is charged.
        holder: IncarnationId,
    },
    /// Tells the receiver that it was declared dead and is fenced.
    Fenced,
}
