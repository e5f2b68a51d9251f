//! Writes a snapshot part by part, concurrently with commits.

use indexmap::IndexMap;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::ShardId;

use crate::event::KeeperEffect;
use crate::event::StoreCallId;
use crate::snapshot::SnapshotHead;
use crate::snapshot::snapshot_key;
use crate::snapshot::snapshot_part_prefix;
use crate::snapshot::through_of_part;

/// The next step of a snapshot write.
#[derive(Debug)]
enum SnapshotStep {
    /// Writes a part.
    Part(usize),
    /// Writes the head, which makes the snapshot the current one.
    Head,
    /// Lists the parts of earlier snapshots.
    Search { after: Option<StoreKey> },
    /// Removes parts of earlier snapshots.
    Remove,
}

/// The result of a step.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SnapshotProgress {
    /// The next step can be started.
    Continue,
    /// The head is durable at this revision; more steps follow.
    HeadWritten(StoreRevision),
    /// The store failed; the step must be retried later.
    StoreFailed,
    /// The snapshot is written and earlier ones are removed.
    Done,
    /// A key holds an unexpected value, so the write was abandoned.
    GivenUp(Option<StoredValue>),
}

/// A snapshot that is being written to the store.
#[derive(Debug)]
pub(crate) struct SnapshotWrite {
    shard: ShardId,
    pub(crate) head: SnapshotHead,
    head_bytes: Vec<u8>,
    expected_head: ExpectedVersion,
    parts: Vec<Vec<u8>>,
    step: SnapshotStep,
    obsolete: IndexMap<StoreKey, StoreRevision>,
    pub(crate) call: Option<StoreCallId>,
}

impl SnapshotWrite {
    /// Creates a write of `parts`, followed by a swap of the head at `expected_head`
    /// to `head`.
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

    /// Returns the total size of the parts in bytes.
    pub(crate) fn size(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }

    /// Returns the store call of the current step.
    pub(crate) fn effect(&mut self, call: StoreCallId) -> Option<KeeperEffect> {
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

    /// Handles the result of a swap or removal.
    pub(crate) fn handle_swap(
        &mut self,
        result: Result<SwapOutcome, StoreError>,
    ) -> SnapshotProgress {
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
                self.removal_progress()
            }
        }
    }

    /// Handles a page of the listing of snapshot parts.
    ///
    /// A part of another snapshot is obsolete if that snapshot covers no more
    /// segments than this one, since its head could only become current by
    /// replacing the head of this one.
    pub(crate) fn handle_list(
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
                self.removal_progress()
            }
        }
    }

    fn removal_progress(&self) -> SnapshotProgress {
        match self.obsolete.is_empty() {
            true => SnapshotProgress::Done,
            false => SnapshotProgress::Continue,
        }
    }
}

/// Returns the revision at which `value` was written, by this attempt or by one
/// whose reply was lost. Otherwise returns what the key holds as the error.
fn written_at(outcome: SwapOutcome, value: &[u8]) -> Result<StoreRevision, Option<StoredValue>> {
    match outcome {
        SwapOutcome::Swapped(revision) => Ok(revision),
        SwapOutcome::Conflict(Some(found)) if found.value == value => Ok(found.revision),
        SwapOutcome::Conflict(found) => Err(found),
    }
}
