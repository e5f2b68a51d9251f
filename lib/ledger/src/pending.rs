//! A segment on its way into the store.

use std::time::Instant;

use snipegate_platform::ExpectedVersion;
use snipegate_types::ShardId;

use crate::event::BatchId;
use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::operation::LedgerAnswer;
use crate::operation::OperationResult;
use crate::record::SegmentSequence;

/// A batch whose results wait for their segment.
#[derive(Debug)]
pub(crate) struct WaitingBatch {
    pub(crate) id: BatchId,
    pub(crate) results: Vec<OperationResult>,
    pub(crate) since: Instant,
}

impl WaitingBatch {
    /// Gives the results, once they are durable.
    pub(crate) fn reply(self) -> KeeperEffect {
        KeeperEffect::Reply {
            batch: self.id,
            answer: LedgerAnswer::Results(self.results),
        }
    }
}

/// What is being done to bring a segment into the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingStep {
    /// The write is on its way.
    Swapping(CallId),
    /// Its reply was lost; the position is being read.
    Checking(CallId),
    /// The store failed; the write is sent again at this time.
    Retrying(Instant),
}

/// A segment on its way into the store, and the batches that wait for it.
#[derive(Debug)]
pub(crate) struct PendingSegment {
    pub(crate) sequence: SegmentSequence,
    pub(crate) nonce: u64,
    pub(crate) bytes: Vec<u8>,
    pub(crate) waiting: Vec<WaitingBatch>,
    pub(crate) operations: usize,
    /// Whether a holder begins to close with this segment.
    pub(crate) closes_holder: bool,
    pub(crate) step: PendingStep,
    /// Replies lost since the store was last seen to fail.
    pub(crate) attempts: u32,
}

impl PendingSegment {
    /// Sends the segment, or sends it again.
    pub(crate) fn swap(&mut self, shard: ShardId, call: CallId) -> KeeperEffect {
        self.step = PendingStep::Swapping(call);
        KeeperEffect::Swap {
            call,
            key: self.sequence.key(shard),
            expected: ExpectedVersion::Absent,
            value: self.bytes.clone(),
        }
    }

    /// Returns when the segment is sent again, if it waits for the store.
    pub(crate) fn retry_at(&self) -> Option<Instant> {
        match self.step {
            PendingStep::Retrying(at) => Some(at),
            PendingStep::Swapping(_) | PendingStep::Checking(_) => None,
        }
    }
}
