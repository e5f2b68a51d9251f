//! Loads a shard's snapshot and log from the store.

use std::time::Duration;

use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::ShardId;

use crate::event::KeeperEffect;
use crate::event::StoreCallId;
use crate::ledger::ShardLedger;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentSequence;
use crate::record::segment_prefix;
use crate::segment_index::SegmentIndex;
use crate::segment_index::StoredSegment;
use crate::snapshot::SnapshotHead;
use crate::snapshot::decode_part;
use crate::snapshot::snapshot_key;

/// The result of a step of a load.
#[derive(Debug)]
pub(crate) enum LoadProgress {
    /// The next call can be made.
    Continue,
    /// The snapshot and the log are loaded.
    Done,
    /// The store failed.
    StoreFailed(StoreError),
    /// The log has a gap or contains a value that can't be decoded. The cause may
    /// be a concurrent change, so a later load can succeed.
    Unreadable,
}

/// The next step of a load.
#[derive(Debug)]
enum LoadStep {
    Head,
    Part(u32),
    Segments { after: Option<StoreKey> },
}

/// A snapshot head and its revision in the store.
pub(crate) type StoredHead = (SnapshotHead, StoreRevision);

/// Loads a shard's snapshot and log from the store, one call at a time.
#[derive(Debug)]
pub(crate) struct ShardLoad {
    shard: ShardId,
    started_at: Duration,
    call: Option<StoreCallId>,
    step: LoadStep,
    /// The next segment to apply or to remember the IDs of.
    next_sequence: SegmentSequence,
    pub(crate) head: Option<StoredHead>,
    pub(crate) ledger: ShardLedger,
    pub(crate) segments: SegmentIndex,
}

impl ShardLoad {
    pub(crate) fn new(shard: ShardId, started_at: Duration) -> Self {
        Self {
            shard,
            started_at,
            call: None,
            step: LoadStep::Head,
            next_sequence: SegmentSequence(1),
            head: None,
            ledger: ShardLedger::new(),
            segments: SegmentIndex::default(),
        }
    }

    pub(crate) fn is_waiting_for(&self, call: StoreCallId) -> bool {
        self.call == Some(call)
    }

    /// Returns the store call of the current step.
    pub(crate) fn effect(&mut self, call: StoreCallId) -> KeeperEffect {
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

    pub(crate) fn handle_read(
        &mut self,
        result: Result<Option<StoredValue>, StoreError>,
    ) -> LoadProgress {
        let found = match result {
            Ok(found) => found,
            Err(error) => return LoadProgress::StoreFailed(error),
        };
        let taken = match self.step {
            LoadStep::Head => self.load_head(found),
            LoadStep::Part(part) => self.load_part(part, found),
            LoadStep::Segments { .. } => Ok(()),
        };
        match taken {
            Ok(()) => LoadProgress::Continue,
            Err(_) => LoadProgress::Unreadable,
        }
    }

    fn load_head(&mut self, found: Option<StoredValue>) -> Result<(), SegmentError> {
        self.step = LoadStep::Segments { after: None };
        let Some(found) = found else {
            return Ok(());
        };
        let head = SnapshotHead::decode(&found.value)?;
        self.next_sequence = head.forget_before.max(SegmentSequence(1));
        self.ledger.begin_segment(head.through);
        self.ledger.forget_ids(head.forget_before);
        if head.parts > 0 {
            self.step = LoadStep::Part(0);
        }
        self.head = Some((head, found.revision));
        Ok(())
    }

    fn load_part(&mut self, part: u32, found: Option<StoredValue>) -> Result<(), SegmentError> {
        let found = found.ok_or(SegmentError::UnknownReference)?;
        decode_part(&mut self.ledger, &found.value)?;
        let parts = self.head.as_ref().map_or(0, |(head, _)| head.parts);
        self.step = match part + 1 < parts {
            true => LoadStep::Part(part + 1),
            false => LoadStep::Segments { after: None },
        };
        Ok(())
    }

    pub(crate) fn handle_list(&mut self, result: Result<StoreListing, StoreError>) -> LoadProgress {
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => return LoadProgress::StoreFailed(error),
        };
        if self.load_segments(&listing).is_err() {
            return LoadProgress::Unreadable;
        }
        match listing.more_after {
            Some(after) => {
                self.step = LoadStep::Segments { after: Some(after) };
                LoadProgress::Continue
            }
            None if self.next_sequence <= self.ledger.sequence() => LoadProgress::Unreadable,
            None => LoadProgress::Done,
        }
    }

    fn load_segments(&mut self, listing: &StoreListing) -> Result<(), SegmentError> {
        for (key, stored) in &listing.entries {
            let sequence = SegmentSequence::from_key(key).ok_or(SegmentError::UnknownReference)?;
            let segment = Segment::decode(&stored.value)?;
            let entry = StoredSegment {
                sequence,
                revision: stored.revision,
                is_fence: segment.fence,
                added_at: self.started_at,
            };
            self.load_segment(entry, &segment)?;
        }
        Ok(())
    }

    fn load_segment(
        &mut self,
        entry: StoredSegment,
        segment: &Segment,
    ) -> Result<(), SegmentError> {
        let sequence = entry.sequence;
        if sequence < self.next_sequence {
            self.segments.push_forgotten(entry);
            return Ok(());
        }
        if sequence != self.next_sequence {
            return Err(SegmentError::UnknownReference);
        }
        self.next_sequence = sequence.next();
        self.segments.push(entry);
        if sequence <= self.ledger.sequence() {
            self.ledger.replay_ids(sequence, segment)
        } else {
            self.ledger.replay(sequence, segment)
        }
    }
}
