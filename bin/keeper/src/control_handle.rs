//! Messages to the control thread and the handle that other threads send them with.

use std::sync::Arc;

use snipegate_fleet::DeathWatch;
use snipegate_fleet::FleetView;
use snipegate_ledger::BudgetStatus;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_types::BudgetId;
use snipegate_types::ShardId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// A batch of operations received over HTTP.
    Batch {
        /// The operations.
        batch: LedgerBatch,
        /// Receives the answer.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// A request for the status of a budget.
    ReadBudget {
        /// The shard that holds the budget.
        shard: ShardId,
        /// The budget.
        budget: BudgetId,
        /// Receives the status, or `None` if the budget does not exist. Dropped
        /// without a reply if this process does not keep the shard.
        reply: oneshot::Sender<Option<BudgetStatus>>,
    },
    /// A new fleet view was published, or the VM list was read again.
    ViewUpdated(Arc<FleetView>, Arc<DeathWatch>),
    /// The result of an effect that a shard keeper requested.
    ShardEvent(ShardId, KeeperEvent),
    /// Periodic timer event.
    Tick,
    /// Hand the shards over to other keepers; the sender is notified when no
    /// shard is kept here any more.
    Leave(oneshot::Sender<()>),
    /// Release the shards; the sender is notified when no shard is kept here any
    /// more.
    Stop(oneshot::Sender<()>),
}

/// Sends messages to the control thread from any thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlMessage>,
}

impl ControlHandle {
    /// Creates a handle that sends to `sender`.
    pub(crate) fn new(sender: mpsc::UnboundedSender<ControlMessage>) -> Self {
        Self { sender }
    }

    /// Sends a message, which is dropped if the control loop has ended.
    pub(crate) fn send(&self, message: ControlMessage) {
        let _ = self.sender.send(message);
    }

    /// Submits a batch and waits for its answer.
    pub(crate) async fn submit_batch(&self, batch: LedgerBatch) -> LedgerAnswer {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Batch { batch, reply });
        let dropped = LedgerAnswer::NotKeeper { keeper: None };
        answer.await.unwrap_or(dropped)
    }

    /// Reads the status of a budget.
    ///
    /// The inner option is `None` if the budget does not exist, the outer one if
    /// this process does not keep the shard.
    pub(crate) async fn read_budget(
        &self,
        shard: ShardId,
        budget: BudgetId,
    ) -> Option<Option<BudgetStatus>> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::ReadBudget {
            shard,
            budget,
            reply,
        });
        answer.await.ok()
    }
}
