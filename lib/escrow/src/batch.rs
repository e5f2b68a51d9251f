//! Batches to the ledger and its answers.

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

/// The ledger's answer to a repeat of what it decided too long ago.
pub(crate) const FORGOTTEN: OperationResult =
    OperationResult::Refused(OperationRefusal::ResultForgotten);

impl RouterEscrow {
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
                sender: self.own.clone(),
                first: Some(id.first),
                operations,
            };
            self.emit(EscrowEffect::SendBatch { id, batch });
        }
    }

    pub(crate) fn end_batch(
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
                self.unconfirmable = false;
                for (operation, result) in operations.into_iter().zip(results) {
                    self.apply(shard, operation, result, now);
                }
                return;
            }
            BatchOutcome::Answered(LedgerAnswer::Undecided { retry_after_ms }) => {
                Duration::from_millis(retry_after_ms)
            }
            BatchOutcome::Answered(_) | BatchOutcome::Lost => settings.retry_pause,
        };
        queue.fail(id, pause, settings.batch_timeout, now);
        self.seek_elsewhere(shard, now);
    }

    pub(crate) fn apply(
        &mut self,
        shard: ShardId,
        operation: LedgerOperation,
        result: OperationResult,
        now: Instant,
    ) {
        match operation {
            LedgerOperation::Grant {
                operation, budget, ..
            } => self.end_grant(operation, &budget, result, now),
            LedgerOperation::Return { .. } => self.expect(&result, &OperationResult::Returned),
            LedgerOperation::NoteTransfer {
                transfer,
                budget,
                giver,
                receiver,
                amount,
            } if receiver == self.own || giver == self.own => {
                let received = receiver == self.own;
                self.end_note(transfer, &budget, received, amount, result, now);
            }
            LedgerOperation::NoteTransfer { .. } => {
                if result != OperationResult::Noted && result != FORGOTTEN {
                    self.count(EscrowCounter::LedgerFault);
                }
            }
            LedgerOperation::Bill {
                request, holder, ..
            } if holder == self.own => self.end_bill(request, result, now),
            LedgerOperation::Bill {
                request, holder, ..
            } => self.end_copy(holder, request, result, now),
            LedgerOperation::Release => {
                self.expect(&result, &OperationResult::Released);
                self.end_release(shard);
            }
            // Other operations are never sent from here.
            LedgerOperation::TopUp { .. }
            | LedgerOperation::Intend { .. }
            | LedgerOperation::Conclude { .. }
            | LedgerOperation::DeclareDead { .. } => {}
        }
    }

    /// Counts a result that the protocol rules out.
    ///
    /// A result that the ledger has forgotten was the expected one: only
    /// operations that took effect are remembered as taken.
    pub(crate) fn expect(&mut self, result: &OperationResult, expected: &OperationResult) {
        if result == expected || *result == FORGOTTEN {
            return;
        }
        if *result == OperationResult::Refused(OperationRefusal::HolderClosed) {
            self.close();
        } else {
            self.count(EscrowCounter::LedgerFault);
        }
    }
}
