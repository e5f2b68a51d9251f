//! The simulated keeper of the ledger shard.

use std::time::Duration;

use snipegate_escrow::BatchId;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::EscrowEvent;
use snipegate_ledger::HolderState;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_ledger::SegmentRecord;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

use crate::world::EscrowWorld;
use crate::world::WorldEvent;

/// Time after which a sender treats an unanswered batch as lost.
const BATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum interval between recalls of one budget, as in the keeper.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of holders asked in one recall; the largest are asked.
const MAX_RECALL_HOLDERS: usize = 4;

/// Delay before routers that have not confirmed a fence are asked again.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl EscrowWorld {
    /// Sends a batch to the keeper, unless the network loses it.
    pub(crate) fn send_batch(&mut self, node: usize, id: BatchId, batch: LedgerBatch) {
        let event = if self.faults.is_lost(&mut self.rng) {
            let outcome = BatchOutcome::Lost;
            let to = node;
            self.schedule(BATCH_TIMEOUT, WorldEvent::BatchAnswered { to, id, outcome });
            return;
        } else {
            let from = node;
            WorldEvent::BatchArrives { from, id, batch }
        };
        let delay = self.faults.draw_delay(&mut self.rng);
        self.schedule(delay, event);
    }

    /// Applies a batch to the ledger, unless a partition or a store outage prevents it.
    pub(crate) fn process_batch(&mut self, from: usize, id: BatchId, batch: &LedgerBatch) {
        let data_centre = self.nodes[from].data_centre;
        if !self.faults.connects(data_centre, 0) {
            return self.schedule_answer(from, id, BATCH_TIMEOUT, BatchOutcome::Lost);
        }
        let delay = self.faults.draw_delay(&mut self.rng);
        if self.faults.store_out {
            let answer = LedgerAnswer::Undecided {
                retry_after_ms: 250,
            };
            return self.schedule_answer(from, id, delay, BatchOutcome::Answered(answer));
        }
        self.record.batches += 1;
        let results = batch
            .operations
            .iter()
            .map(|operation| self.apply(&batch.sender, operation))
            .collect();
        let delay = delay + self.faults.draw_commit_delay(&mut self.rng);
        let outcome = match self.faults.is_reply_lost(&mut self.rng) {
            true => BatchOutcome::Lost,
            false => BatchOutcome::Answered(LedgerAnswer::Results(results)),
        };
        self.schedule_answer(from, id, delay, outcome);
    }

    /// Schedules the outcome of a batch at its sender.
    pub(crate) fn schedule_answer(
        &mut self,
        to: usize,
        id: BatchId,
        delay: Duration,
        outcome: BatchOutcome,
    ) {
        self.schedule(delay, WorldEvent::BatchAnswered { to, id, outcome });
    }

    /// Applies one operation to the ledger, and recalls tokens if the budget is short.
    pub(crate) fn apply(
        &mut self,
        sender: &IncarnationId,
        operation: &LedgerOperation,
    ) -> OperationResult {
        let mut records = Vec::new();
        let result = self.ledger.apply(sender, operation, &mut records);
        for record in &records {
            self.apply_record(record);
        }
        if let LedgerOperation::Grant { budget, .. } = operation
            && let OperationResult::Refused(OperationRefusal::BudgetShort { .. }) = result
        {
            self.recall(sender, budget);
        }
        result
    }

    /// Updates the run's record, and starts fencing if a holder was closed.
    pub(crate) fn apply_record(&mut self, record: &SegmentRecord) {
        match record {
            SegmentRecord::Bill {
                request, amount, ..
            } => {
                let amount = TokenCount(*amount);
                if self.record.bills.insert(*request, amount).is_some() {
                    self.record.duplicate_bills += 1;
                }
            }
            SegmentRecord::CloseHolder { .. } => {
                let closing: Vec<_> = self.ledger.closing_holders().cloned().collect();
                for dead in closing {
                    self.schedule(Duration::ZERO, WorldEvent::FenceRound(dead));
                }
            }
            _ => {}
        }
    }

    /// Asks the largest holders of a budget to return tokens.
    pub(crate) fn recall(&mut self, sender: &IncarnationId, budget: &BudgetId) {
        let last = self.last_recalls.get(budget).copied();
        if last.is_some_and(|last| self.now - last < RECALL_INTERVAL) {
            return;
        }
        self.last_recalls.insert(budget.clone(), self.now);
        let holders = self.ledger.largest_holders(budget, sender);
        for (to, _) in holders.into_iter().take(MAX_RECALL_HOLDERS) {
            let delay = self.faults.draw_delay(&mut self.rng);
            let budget = budget.clone();
            self.schedule(delay, WorldEvent::RecallArrives { to, budget });
        }
    }

    /// Asks every router to confirm the fence, and reclaims the holding when all have.
    pub(crate) fn run_fence_round(&mut self, dead: IncarnationId) {
        if self.ledger.holder_state(&dead) != Some(HolderState::Closing) {
            return;
        }
        let mut is_unconfirmed = false;
        for node in 0..self.nodes.len() {
            let router = &self.nodes[node];
            if router.incarnation == dead || router.has_ended() || router.fenced.contains(&dead) {
                continue;
            }
            is_unconfirmed = true;
            if self.faults.connects(0, router.data_centre) {
                let dead = dead.clone();
                self.deliver(node, EscrowEvent::FenceRequested { dead });
            }
        }
        if is_unconfirmed {
            return self.schedule(FENCE_RETRY_INTERVAL, WorldEvent::FenceRound(dead));
        }
        let mut records = Vec::new();
        self.ledger.reclaim_holder(&dead, &mut records);
    }
}
