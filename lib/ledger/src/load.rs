//! Reads a shard's snapshot and log from the store.

use std::time::Duration;

use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::ShardId;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::ledger::ShardLedger;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentSequence;
use crate::record::segment_prefix;
use crate::snapshot::SnapshotHead;
use crate::snapshot::decode_part;
use crate::snapshot::snapshot_key;
use crate::trail::SegmentTrace;
use crate::trail::SegmentTrail;

/// How far a load has come.
#[derive(Debug)]
pub(crate) enum LoadProgress {
    /// The next call is to be made.
    Continue,
    /// Everything is read.
    Done,
    /// The store failed.
    StoreFailed(StoreError),
    /// The log has a gap or a value that can't be understood; it may be
    /// changing right now, so reading it again can help.
    Unreadable,
}

/// What is to be read next.
#[derive(Debug)]
enum LoadStep {
    Head,
    Part(u32),
    Segments { after: Option<StoreKey> },
}

/// A snapshot head and the revision at which it lies in the store.
pub(crate) type StoredHead = (SnapshotHead, StoreRevision);

/// Reads a shard's snapshot and log from the store, one call at a time.
#[derive(Debug)]
pub(crate) struct ShardLoad {
    shard: ShardId,
    started: Duration,
    call: Option<CallId>,
    step: LoadStep,
    /// The next segment whose ids are needed.
    next: SegmentSequence,
    pub(crate) head: Option<StoredHead>,
    pub(crate) ledger: ShardLedger,
    pub(crate) trail: SegmentTrail,
}

impl ShardLoad {
    pub(crate) fn new(shard: ShardId, started: Duration) -> Self {
        Self {
            shard,
            started,
            call: None,
            step: LoadStep::Head,
            next: SegmentSequence(1),
            head: None,
            ledger: ShardLedger::new(),
            trail: SegmentTrail::default(),
        }
    }

    pub(crate) fn is_waiting_for(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// Makes the next call.
    pub(crate) fn effect(&mut self, call: CallId) -> KeeperEffect {
        self.call = Some(call);
        match &self.step {
            LoadStep::Head => KeeperEffect::Read {
                call,
                key: snapshot_key(self.shard),
            },
            LoadStep::Part(part) => {
                let head = self.head.as_ref().map(|(head, _)| head);
                let key = head.map(|head| head.part_key(self.shard, *part));
                KeeperEffect::Read {
                    call,
                    key: key.unwrap_or_default(),
                }
            }
            LoadStep::Segments { after } => KeeperEffect::List {
                call,
                prefix: segment_prefix(self.shard),
                after: after.clone(),
            },
        }
    }

    pub(crate) fn end_read(
        &mut self,
        result: Result<Option<StoredValue>, StoreError>,
    ) -> LoadProgress {
        let found = match result {
            Ok(found) => found,
            Err(error) => return LoadProgress::StoreFailed(error),
        };
        let taken = match self.step {
            LoadStep::Head => self.take_head(found),
            LoadStep::Part(part) => self.take_part(part, found),
            LoadStep::Segments { .. } => Ok(()),
        };
        match taken {
            Ok(()) => LoadProgress::Continue,
            Err(_) => LoadProgress::Unreadable,
        }
    }

    fn take_head(&mut self, found: Option<StoredValue>) -> Result<(), SegmentError> {
        self.step = LoadStep::Segments { after: None };
        let Some(found) = found else {
            return Ok(());
        };
        let head = SnapshotHead::decode(&found.value)?;
        self.next = head.forget_before.max(SegmentSequence(1));
        self.ledger.begin_segment(head.through);
        self.ledger.forget_ids(head.forget_before);
        if head.parts > 0 {
            self.step = LoadStep::Part(0);
        }
        self.head = Some((head, found.revision));
        Ok(())
    }

    fn take_part(&mut self, part: u32, found: Option<StoredValue>) -> Result<(), SegmentError> {
        let found = found.ok_or(SegmentError::UnknownReference)?;
        decode_part(&mut self.ledger, &found.value)?;
        let parts = self.head.as_ref().map_or(0, |(head, _)| head.parts);
        self.step = match part + 1 < parts {
            true => LoadStep::Part(part + 1),
            false => LoadStep::Segments { after: None },
        };
        Ok(())
    }

    pub(crate) fn end_list(&mut self, result: Result<StoreListing, StoreError>) -> LoadProgress {
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => return LoadProgress::StoreFailed(error),
        };
        if self.take_segments(&listing).is_err() {
            return LoadProgress::Unreadable;
        }
        match listing.more_after {
            Some(after) => {
                self.step = LoadStep::Segments { after: Some(after) };
                LoadProgress::Continue
            }
            None if self.next <= self.ledger.sequence() => LoadProgress::Unreadable,
            None => LoadProgress::Done,
        }
    }

    fn take_segments(&mut self, listing: &StoreListing) -> Result<(), SegmentError> {
        for (key, stored) in &listing.entries {
            let sequence = SegmentSequence::from_key(key).ok_or(SegmentError::UnknownReference)?;
            let segment = Segment::decode(&stored.value)?;
            let trace = SegmentTrace {
                sequence,
                revision: stored.revision,
                is_fence: segment.fence,
                seen: self.started,
            };
            self.take_segment(trace, &segment)?;
        }
        Ok(())
    }

    fn take_segment(&mut self, trace: SegmentTrace, segment: &Segment) -> Result<(), SegmentError> {
        let sequence = trace.sequence;
        if sequence < self.next {
            self.trail.push_forgotten(trace);
            return Ok(());
        }
        if sequence != self.next {
            return Err(SegmentError::UnknownReference);
        }
        self.next = sequence.next();
        self.trail.push(trace);
        if sequence <= self.ledger.sequence() {
            self.ledger.replay_ids(sequence, segment)
        } else {
            self.ledger.replay(sequence, segment)
        }
    }
}
