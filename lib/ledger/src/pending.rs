//! A segment that is being written to the store.

use std::time::Instant;

use snipegate_platform::ExpectedVersion;
use snipegate_types::ShardId;

use crate::event::BatchId;
use crate::event::KeeperEffect;
use crate::event::StoreCallId;
use crate::operation::LedgerAnswer;
use crate::operation::OperationResult;
use crate::record::SegmentSequence;

/// A decided batch whose results are not durable yet.
#[derive(Debug)]
pub(crate) struct WaitingBatch {
    pub(crate) id: BatchId,
    pub(crate) results: Vec<OperationResult>,
    pub(crate) received_at: Instant,
}

impl WaitingBatch {
    /// Returns the reply with the results; called once they are durable.
    pub(crate) fn reply(self) -> KeeperEffect {
        KeeperEffect::Reply {
            batch: self.id,
            answer: LedgerAnswer::Results(self.results),
        }
    }
}

/// The current step of writing a segment to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingStep {
    /// The write is in flight.
    Swapping(StoreCallId),
    /// The result of the write is unclear, so the position is being read.
    Checking(StoreCallId),
    /// The store failed; the write is retried at this time.
    Retrying(Instant),
}

/// A segment that is being written to the store, and the batches that wait for it.
#[derive(Debug)]
pub(crate) struct PendingSegment {
    pub(crate) sequence: SegmentSequence,
    pub(crate) nonce: u64,
    pub(crate) bytes: Vec<u8>,
    pub(crate) waiting: Vec<WaitingBatch>,
    pub(crate) operations: usize,
    /// Whether this segment contains a [`SegmentRecord::CloseHolder`] record.
    ///
    /// [`SegmentRecord::CloseHolder`]: crate::SegmentRecord::CloseHolder
    pub(crate) closes_holder: bool,
    pub(crate) step: PendingStep,
    /// Number of replies lost since the last store failure.
    pub(crate) attempts: u32,
}

impl PendingSegment {
    /// Returns the write of the segment and records that it is in flight.
    pub(crate) fn swap(&mut self, shard: ShardId, call: StoreCallId) -> KeeperEffect {
        self.step = PendingStep::Swapping(call);
        KeeperEffect::Swap {
            call,
            key: self.sequence.key(shard),
            expected: ExpectedVersion::Absent,
            value: self.bytes.clone(),
        }
    }

    /// Returns when the write is retried, or `None` if it is not waiting for a retry.
    pub(crate) fn retry_at(&self) -> Option<Instant> {
        match self.step {
            PendingStep::Retrying(at) => Some(at),
            PendingStep::Swapping(_) | PendingStep::Checking(_) => None,
        }
    }
}
