//! Sends operation batches to the ledger and applies their results.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::ShardId;

use crate::counter::EscrowCounter;
use crate::effect::EscrowEffect;
use crate::escrow::RouterEscrow;
use crate::event::BatchOutcome;
use crate::queue::BatchId;

/// The ledger's result for a repeated operation whose result it no longer stores.
pub(crate) const RESULT_FORGOTTEN: OperationResult =
    OperationResult::Refused(OperationRefusal::ResultForgotten);

impl RouterEscrow {
    /// Emits the batches that are due, at most one for each shard.
    pub(crate) fn send_batches(&mut self, now: Instant) {
        let mut batches = Vec::new();
        for (&shard, queue) in &mut self.queues {
            let retrying = queue.is_retrying();
            let due = queue.next_batch(
                self.settings.batch_limit,
                self.settings.batch_timeout,
                self.settings.heartbeat,
                now,
            );
            if let Some((id, operations)) = due {
                batches.push((shard, id, operations, retrying || queue.is_retrying()));
            }
        }
        for (shard, id, operations, retried) in batches {
            if retried {
                self.count(EscrowCounter::BatchRetried);
            }
            let batch = LedgerBatch {
                shard,
                sender: self.own_id.clone(),
                first: Some(id.first),
                operations,
            };
            self.emit(EscrowEffect::SendBatch { id, batch });
        }
    }

    /// Applies the results of a batch, or schedules it to be sent again.
    pub(crate) fn handle_batch_outcome(
        &mut self,
        shard: ShardId,
        id: BatchId,
        outcome: BatchOutcome,
        now: Instant,
    ) {
        let settings = &self.settings;
        let Some(queue) = self.queues.get_mut(&shard) else {
            return;
        };
        let pause = match outcome {
            BatchOutcome::Answered(LedgerAnswer::Results(results)) if results.len() == id.count => {
                let operations = queue.complete(id).unwrap_or_default();
                self.admission_blocked = false;
                for (operation, result) in operations.into_iter().zip(results) {
                    self.apply_result(shard, operation, result, now);
                }
                return;
            }
            BatchOutcome::Answered(LedgerAnswer::Undecided { retry_after_ms }) => {
                Duration::from_millis(retry_after_ms)
            }
            BatchOutcome::Answered(_) | BatchOutcome::Lost => settings.retry_delay,
        };
        queue.record_failure(id, pause, settings.batch_timeout, now);
        self.ask_peers_for_shard(shard, now);
    }

    /// Applies the result of one operation.
    pub(crate) fn apply_result(
        &mut self,
        shard: ShardId,
        operation: LedgerOperation,
        result: OperationResult,
        now: Instant,
    ) {
        match operation {
            LedgerOperation::Grant {
                operation, budget, ..
            } => self.handle_grant_result(operation, &budget, result, now),
            LedgerOperation::Return { .. } => {
                self.check_result(&result, &OperationResult::Returned)
            }
            LedgerOperation::NoteTransfer {
                transfer,
                budget,
                giver,
                receiver,
                amount,
            } if receiver == self.own_id || giver == self.own_id => {
                let received = receiver == self.own_id;
                self.handle_transfer_result(transfer, &budget, received, amount, result, now);
            }
            LedgerOperation::NoteTransfer { .. } => {
                if result != OperationResult::Noted && result != RESULT_FORGOTTEN {
                    self.count(EscrowCounter::LedgerFault);
                }
            }
            LedgerOperation::Bill {
                request, holder, ..
            } if holder == self.own_id => self.handle_bill_result(request, result, now),
            LedgerOperation::Bill {
                request, holder, ..
            } => self.handle_copy_result(holder, request, result, now),
            LedgerOperation::Release => {
                self.check_result(&result, &OperationResult::Released);
                self.handle_release_result(shard);
            }
            // Routers never send these operations.
            LedgerOperation::TopUp { .. }
            | LedgerOperation::Intend { .. }
            | LedgerOperation::Conclude { .. }
            | LedgerOperation::DeclareDead { .. } => {}
        }
    }

    /// Counts a ledger fault if a result differs from `expected`.
    ///
    /// A forgotten result counts as the expected one, since the ledger gives it only for
    /// operations that took effect. If this holder was closed, the escrow closes.
    pub(crate) fn check_result(&mut self, result: &OperationResult, expected: &OperationResult) {
        if result == expected || *result == RESULT_FORGOTTEN {
            return;
        }
        if *result == OperationResult::Refused(OperationRefusal::HolderClosed) {
            self.close();
        } else {
            self.count(EscrowCounter::LedgerFault);
        }
    }
}
