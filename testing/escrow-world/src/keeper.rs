//! The ledger's side of the world.

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

/// Time after which an unanswered batch counts as lost at its sender.
const BATCH_LOST: Duration = Duration::from_millis(400);

/// Pause between recalls of one budget, as in the keeper.
const RECALL_PAUSE: Duration = Duration::from_millis(200);

/// Largest holders that the keeper asks in one recall.
const RECALL_HOLDERS: usize = 4;

/// Pause before a router is asked for its fence again.
const FENCE_PAUSE: Duration = Duration::from_millis(300);

impl EscrowWorld {
    pub(crate) fn send_batch(&mut self, node: usize, id: BatchId, batch: LedgerBatch) {
        let event = if self.faults.is_lost(&mut self.rng) {
            let outcome = BatchOutcome::Lost;
            let to = node;
            self.set(BATCH_LOST, WorldEvent::BatchAnswered { to, id, outcome });
            return;
        } else {
            let from = node;
            WorldEvent::BatchArrives { from, id, batch }
        };
        let delay = self.faults.draw_delay(&mut self.rng);
        self.set(delay, event);
    }

    /// Lets the ledger decide a batch, unless it can't.
    pub(crate) fn decide(&mut self, from: usize, id: BatchId, batch: &LedgerBatch) {
        let place = self.nodes[from].place;
        if !self.faults.connects(place, 0) {
            return self.answer(from, id, BATCH_LOST, BatchOutcome::Lost);
        }
        let delay = self.faults.draw_delay(&mut self.rng);
        if self.faults.store_out {
            let answer = LedgerAnswer::Undecided {
                retry_after_ms: 250,
            };
            return self.answer(from, id, delay, BatchOutcome::Answered(answer));
        }
        self.record.batches += 1;
        let results = batch
            .operations
            .iter()
            .map(|operation| self.apply(&batch.sender, operation))
            .collect();
        let delay = delay + self.faults.draw_commit(&mut self.rng);
        let outcome = match self.faults.is_reply_lost(&mut self.rng) {
            true => BatchOutcome::Lost,
            false => BatchOutcome::Answered(LedgerAnswer::Results(results)),
        };
        self.answer(from, id, delay, outcome);
    }

    pub(crate) fn answer(
        &mut self,
        to: usize,
        id: BatchId,
        delay: Duration,
        outcome: BatchOutcome,
    ) {
        self.set(delay, WorldEvent::BatchAnswered { to, id, outcome });
    }

    pub(crate) fn apply(
        &mut self,
        sender: &IncarnationId,
        operation: &LedgerOperation,
    ) -> OperationResult {
        let mut records = Vec::new();
        let result = self.ledger.apply(sender, operation, &mut records);
        for record in &records {
            self.note_record(record);
        }
        if let LedgerOperation::Grant { budget, .. } = operation
            && let OperationResult::Refused(OperationRefusal::BudgetShort { .. }) = result
        {
            self.recall(sender, budget);
        }
        result
    }

    pub(crate) fn note_record(&mut self, record: &SegmentRecord) {
        match record {
            SegmentRecord::Bill {
                request, amount, ..
            } => {
                let amount = TokenCount(*amount);
                if self.record.bills.insert(*request, amount).is_some() {
                    self.record.double_bills += 1;
                }
            }
            SegmentRecord::CloseHolder { .. } => {
                let closing: Vec<_> = self.ledger.closing_holders().cloned().collect();
                for dead in closing {
                    self.set(Duration::ZERO, WorldEvent::FenceRound(dead));
                }
            }
            _ => {}
        }
    }

    pub(crate) fn recall(&mut self, sender: &IncarnationId, budget: &BudgetId) {
        let last = self.recalled.get(budget).copied();
        if last.is_some_and(|last| self.now - last < RECALL_PAUSE) {
            return;
        }
        self.recalled.insert(budget.clone(), self.now);
        let holders = self.ledger.largest_holders(budget, sender);
        for (to, _) in holders.into_iter().take(RECALL_HOLDERS) {
            let delay = self.faults.draw_delay(&mut self.rng);
            let budget = budget.clone();
            self.set(delay, WorldEvent::Recall { to, budget });
        }
    }

    /// Asks every router for its fence, and reclaims when all have answered.
    pub(crate) fn run_fence(&mut self, dead: IncarnationId) {
        if self.ledger.holder_state(&dead) != Some(HolderState::Closing) {
            return;
        }
        let mut missing = false;
        for node in 0..self.nodes.len() {
            let router = &self.nodes[node];
            if router.incarnation == dead || router.is_over() || router.fenced.contains(&dead) {
                continue;
            }
            missing = true;
            if self.faults.connects(0, router.place) {
                let dead = dead.clone();
                self.deliver(node, EscrowEvent::FenceAsked { dead });
            }
        }
        if missing {
            return self.set(FENCE_PAUSE, WorldEvent::FenceRound(dead));
        }
        let mut records = Vec::new();
        self.ledger.reclaim_holder(&dead, &mut records);
    }
}
