//! Reference copy of the log, which determines the valid answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use snipegate_ledger::CallOutcome;
use snipegate_ledger::HolderNumber;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_ledger::Segment;
use snipegate_ledger::SegmentRecord;
use snipegate_ledger::SegmentSequence;
use snipegate_ledger::ShardLedger;
use snipegate_ledger::SnapshotHead;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;

/// The first write of each position, in order.
///
/// A later write to a position that was removed is not part of the log.
#[derive(Default)]
pub struct ReferenceLog {
    ledger: ShardLedger,
    segments: u64,
    fences: BTreeSet<String>,
    covered: SegmentSequence,
    needed_from: SegmentSequence,
    holders: Vec<IncarnationId>,
    operations: BTreeMap<OperationId, u64>,
    bills: BTreeMap<RequestId, u64>,
    claims: BTreeMap<RequestId, Vec<IncarnationId>>,
    void: BTreeSet<RequestId>,
    outcomes: BTreeMap<RequestId, Vec<CallOutcome>>,
    closed: BTreeSet<IncarnationId>,
    batches: Vec<LedgerBatch>,
}

impl ReferenceLog {
    pub fn ledger(&self) -> &ShardLedger {
        &self.ledger
    }

    pub fn bill_count(&self) -> usize {
        self.bills.len()
    }

    pub fn is_snapshotted(&self) -> bool {
        self.covered > SegmentSequence(0)
    }

    pub fn add_batch(&mut self, batch: LedgerBatch) -> u64 {
        self.batches.push(batch);
        self.batches.len() as u64 - 1
    }

    pub fn batch(&self, batch: u64) -> &LedgerBatch {
        &self.batches[batch as usize]
    }

    /// Records a write that was applied to the store.
    pub fn record_write(&mut self, key: &str, value: &[u8]) {
        if key.ends_with("/snapshot") {
            let head = SnapshotHead::decode(value).unwrap();
            assert!(
                head.through >= self.covered,
                "snapshot is older than the previous one"
            );
            assert!(
                head.through.0 <= self.segments,
                "snapshot is ahead of the log"
            );
            self.covered = head.through;
            self.needed_from = head.forget_before;
        }
        if !key.contains("/segment/") {
            return;
        }
        let sequence = SegmentSequence::from_key(key).unwrap();
        if sequence.0 <= self.segments {
            return;
        }
        assert_eq!(sequence.0, self.segments + 1, "gap in the log");
        self.segments = sequence.0;
        let segment = Segment::decode(value).unwrap();
        if segment.fence {
            self.fences.insert(key.to_owned());
        }
        self.ledger.replay(sequence, &segment).unwrap();
        assert!(self.ledger.is_conserved());
        segment
            .records
            .iter()
            .for_each(|record| self.record_change(record));
    }

    fn record_change(&mut self, record: &SegmentRecord) {
        use SegmentRecord::*;
        match record {
            OpenHolder { incarnation } => self.holders.push(incarnation.clone()),
            Grant {
                operation, amount, ..
            }
            | Return {
                operation, amount, ..
            }
            | TopUp {
                operation, amount, ..
            }
            | Transfer {
                transfer: operation,
                amount,
                ..
            } => {
                let before = self.operations.insert(*operation, *amount);
                assert_eq!(before, None, "{operation} took effect twice");
            }
            Bill {
                request, amount, ..
            } => {
                let before = self.bills.insert(*request, *amount);
                assert_eq!(before, None, "{request} was billed twice");
            }
            Intend {
                request, claimant, ..
            } => {
                let claimant = self.holder(*claimant);
                let claims = self.claims.entry(*request).or_default();
                let is_free = claims.is_empty() || self.void.remove(request);
                assert!(is_free, "{request} was claimed twice");
                claims.push(claimant);
            }
            Conclude {
                request, outcome, ..
            } => {
                if *outcome == CallOutcome::NotRun {
                    self.void.insert(*request);
                }
                self.outcomes
                    .entry(*request)
                    .or_default()
                    .push(outcome.clone());
            }
            CloseHolder { holder } => {
                let holder = self.holder(*holder);
                self.closed.insert(holder);
            }
            Reclaim { .. } | OpenBudget { .. } | Take { .. } | Ahead { .. } => {}
        }
    }

    fn holder(&self, number: HolderNumber) -> IncarnationId {
        self.holders[number.0 as usize].clone()
    }

    /// Checks that a segment may be removed.
    pub fn check_removal(&self, key: &str) {
        if key.contains("/segment/") {
            let sequence = SegmentSequence::from_key(key).unwrap();
            assert!(
                sequence <= self.covered,
                "{key} is not covered by a snapshot"
            );
            assert!(!self.fences.contains(key), "{key} is a fence");
        }
    }

    /// Returns the fences that are not needed to load the shard.
    pub fn covered_fences(&self) -> Vec<String> {
        self.fences
            .iter()
            .filter(|key| SegmentSequence::from_key(key) < Some(self.needed_from))
            .cloned()
            .collect()
    }

    /// Checks that every result of an answer is backed by the log.
    pub fn check_answer(&mut self, batch: u64, answer: &LedgerAnswer) {
        let LedgerAnswer::Results(results) = answer else {
            return;
        };
        let batch = &self.batches[batch as usize];
        assert_eq!(batch.operations.len(), results.len());
        for (operation, result) in batch.operations.iter().zip(results) {
            let is_backed = self.is_backed_by_log(&batch.sender, operation, result);
            assert!(
                is_backed,
                "{operation:?} was answered {result:?} without a record"
            );
        }
    }

    fn is_backed_by_log(
        &self,
        sender: &IncarnationId,
        operation: &LedgerOperation,
        result: &OperationResult,
    ) -> bool {
        use LedgerOperation::*;
        match (operation, result) {
            (_, OperationResult::Refused(_)) => true,
            (Grant { operation, .. }, OperationResult::Granted { amount, .. }) => {
                self.operations.get(operation) == Some(&amount.0)
            }
            (
                Return {
                    operation, amount, ..
                },
                OperationResult::Returned,
            )
            | (
                TopUp {
                    operation, amount, ..
                },
                OperationResult::ToppedUp,
            ) => self.operations.get(operation) == Some(&amount.0),
            (
                NoteTransfer {
                    transfer, amount, ..
                },
                OperationResult::Noted,
            ) => self.operations.get(transfer) == Some(&amount.0),
            (Bill { request, .. }, OperationResult::Billed { amount, .. }) => {
                self.bills.get(request) == Some(&amount.0)
            }
            (Intend { request, .. }, OperationResult::Intended) => self.claimed_by(request, sender),
            (
                Intend { request, .. },
                OperationResult::AlreadyIntended {
                    claimant, outcome, ..
                },
            ) => {
                let recorded = self.outcomes.get(request);
                self.claimed_by(request, claimant)
                    && outcome.as_ref().is_none_or(|outcome| {
                        *outcome == CallOutcome::Unknown
                            || recorded.is_some_and(|recorded| recorded.contains(outcome))
                    })
            }
            (
                Conclude {
                    request, outcome, ..
                },
                OperationResult::Concluded,
            ) => {
                *outcome == CallOutcome::Unknown
                    || self
                        .outcomes
                        .get(request)
                        .is_some_and(|recorded| recorded.contains(outcome))
            }
            (Release, OperationResult::Released) => self.closed.contains(sender),
            (DeclareDead { holder }, OperationResult::Declared) => self.closed.contains(holder),
            _ => false,
        }
    }

    fn claimed_by(&self, request: &RequestId, claimant: &IncarnationId) -> bool {
        let claims = self.claims.get(request);
        claims.is_some_and(|claims| claims.contains(claimant))
    }
}
