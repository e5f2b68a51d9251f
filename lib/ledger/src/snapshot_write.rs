//! Writing of a snapshot, part by part, beside the commits.

use indexmap::IndexMap;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::ShardId;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::snapshot::SnapshotHead;
use crate::snapshot::snapshot_key;
use crate::snapshot::snapshot_part_prefix;
use crate::snapshot::through_of_part;

/// What is to be written next.
#[derive(Debug)]
enum SnapshotStep {
    /// A part.
    Part(usize),
    /// The head, which makes the snapshot the valid one.
    Head,
    /// Looks for parts of earlier snapshots.
    Search { after: Option<StoreKey> },
    /// Removes parts of earlier snapshots.
    Remove,
}

/// What became of a step.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SnapshotProgress {
    /// The next step can be taken.
    Continue,
    /// The head is durable at this revision; more steps follow.
    HeadWritten(StoreRevision),
    /// The store failed; the step is to be taken again later.
    StoreFailed,
    /// Everything is done.
    Done,
    /// Something else stands at a key that was to be written.
    GivenUp(Option<StoredValue>),
}

/// A snapshot on its way into the store.
#[derive(Debug)]
pub(crate) struct SnapshotWrite {
    shard: ShardId,
    pub(crate) head: SnapshotHead,
    head_bytes: Vec<u8>,
    expected_head: ExpectedVersion,
    parts: Vec<Vec<u8>>,
    step: SnapshotStep,
    obsolete: IndexMap<StoreKey, StoreRevision>,
    pub(crate) call: Option<CallId>,
}

impl SnapshotWrite {
    /// Prepares to write `parts` and then `head` over the head at `expected_head`.
    pub(crate) fn new(
        shard: ShardId,
        head: SnapshotHead,
        head_bytes: Vec<u8>,
        parts: Vec<Vec<u8>>,
        expected_head: ExpectedVersion,
    ) -> Self {
        Self {
            shard,
            head,
            head_bytes,
            expected_head,
            parts,
            step: SnapshotStep::Part(0),
            obsolete: IndexMap::new(),
            call: None,
        }
    }

    /// Returns the size of all parts in bytes.
    pub(crate) fn size(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }

    /// Makes the call of the present step.
    pub(crate) fn effect(&mut self, call: CallId) -> Option<KeeperEffect> {
        let effect = match &self.step {
            SnapshotStep::Part(part) => KeeperEffect::Swap {
                call,
                key: self.head.part_key(self.shard, *part as u32),
                expected: ExpectedVersion::Absent,
                value: self.parts.get(*part)?.clone(),
            },
            SnapshotStep::Head => KeeperEffect::Swap {
                call,
                key: snapshot_key(self.shard),
                expected: self.expected_head,
                value: self.head_bytes.clone(),
            },
            SnapshotStep::Search { after } => KeeperEffect::List {
                call,
                prefix: snapshot_part_prefix(self.shard),
                after: after.clone(),
            },
            SnapshotStep::Remove => {
                let (key, revision) = self.obsolete.last()?;
                KeeperEffect::Remove {
                    call,
                    key: key.clone(),
                    expected: ExpectedVersion::At(*revision),
                }
            }
        };
        self.call = Some(call);
        Some(effect)
    }

    /// Takes in the end of a swap or removal.
    pub(crate) fn end_swap(&mut self, result: Result<SwapOutcome, StoreError>) -> SnapshotProgress {
        self.call = None;
        let Ok(outcome) = result else {
            return SnapshotProgress::StoreFailed;
        };
        match &self.step {
            SnapshotStep::Part(part) => {
                if let Err(found) = written_at(outcome, &self.parts[*part]) {
                    return SnapshotProgress::GivenUp(found);
                }
                let next = part + 1;
                self.step = match next < self.parts.len() {
                    true => SnapshotStep::Part(next),
                    false => SnapshotStep::Head,
                };
                SnapshotProgress::Continue
            }
            SnapshotStep::Head => match written_at(outcome, &self.head_bytes) {
                Ok(revision) => {
                    self.step = SnapshotStep::Search { after: None };
                    SnapshotProgress::HeadWritten(revision)
                }
                Err(found) => SnapshotProgress::GivenUp(found),
            },
            SnapshotStep::Search { .. } => SnapshotProgress::GivenUp(None),
            SnapshotStep::Remove => {
                self.obsolete.pop();
                self.remove_next()
            }
        }
    }

    /// Takes in a page of the parts in the store.
    ///
    /// A part of another snapshot is of no use if that one covers no more than
    /// this one: the head that could name it would have to replace this one's.
    pub(crate) fn end_list(
        &mut self,
        result: Result<StoreListing, StoreError>,
    ) -> SnapshotProgress {
        self.call = None;
        let Ok(listing) = result else {
            return SnapshotProgress::StoreFailed;
        };
        let own = format!(
            "{}{}/",
            snapshot_part_prefix(self.shard),
            self.head.generation
        );
        for (key, stored) in listing.entries {
            let is_old = through_of_part(&key).is_some_and(|t| t <= self.head.through);
            if is_old && !key.starts_with(&own) {
                self.obsolete.insert(key, stored.revision);
            }
        }
        match listing.more_after {
            Some(after) => {
                self.step = SnapshotStep::Search { after: Some(after) };
                SnapshotProgress::Continue
            }
            None => {
                self.step = SnapshotStep::Remove;
                self.remove_next()
            }
        }
    }

    fn remove_next(&self) -> SnapshotProgress {
        match self.obsolete.is_empty() {
            true => SnapshotProgress::Done,
            false => SnapshotProgress::Continue,
        }
    }
}

/// Returns the revision at which `value` was written, now or by an attempt
/// whose reply was lost, or else what the key holds.
fn written_at(outcome: SwapOutcome, value: &[u8]) -> Result<StoreRevision, Option<StoredValue>> {
    match outcome {
        SwapOutcome::Swapped(revision) => Ok(revision),
        SwapOutcome::Conflict(Some(found)) if found.value == value => Ok(found.revision),
        SwapOutcome::Conflict(found) => Err(found),
    }
}
