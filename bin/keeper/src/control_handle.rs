//! Messages to the control thread, and its inbox as other threads hold it.

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

/// What the control thread is told.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// A batch came over HTTP.
    Batch {
        /// The operations.
        batch: LedgerBatch,
        /// Takes the answer.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// An operator reads a budget.
    Budget {
        /// The shard.
        shard: ShardId,
        /// The budget.
        budget: BudgetId,
        /// Takes the answer.
        reply: oneshot::Sender<Option<BudgetStatus>>,
    },
    /// The fleet view or the VM list was heard of anew.
    View(Arc<FleetView>, Arc<DeathWatch>),
    /// Something that a shard keeper asked for has ended.
    Event(ShardId, KeeperEvent),
    /// Time has passed.
    Tick,
    /// Let other keepers take the shards over; the sender hears when they have.
    Leave(oneshot::Sender<()>),
    /// Let the shards go; the sender hears when that is done.
    Stop(oneshot::Sender<()>),
}

/// The control thread's inbox, as traffic threads hold it.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlMessage>,
}

impl ControlHandle {
    /// Makes a handle on an inbox.
    pub(crate) fn new(sender: mpsc::UnboundedSender<ControlMessage>) -> Self {
        Self { sender }
    }

    /// Sends a message; it is lost if the control loop has ended.
    pub(crate) fn send(&self, message: ControlMessage) {
        let _ = self.sender.send(message);
    }

    /// Has a batch decided.
    pub(crate) async fn decide(&self, batch: LedgerBatch) -> LedgerAnswer {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Batch { batch, reply });
        let lost = LedgerAnswer::NotKeeper { keeper: None };
        answer.await.unwrap_or(lost)
    }

    /// Reads a budget; the inner value is missing if the budget is, the outer
    /// one if this process does not keep the shard.
    pub(crate) async fn read_budget(
        &self,
        shard: ShardId,
        budget: BudgetId,
    ) -> Option<Option<BudgetStatus>> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Budget {
            shard,
            budget,
            reply,
        });
        answer.await.ok()
    }
}
