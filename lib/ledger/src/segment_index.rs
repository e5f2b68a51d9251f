//! Index of the segments in the store, with the time at which each was written.

use std::collections::VecDeque;
use std::time::Duration;

use snipegate_platform::StoreRevision;

use crate::record::SegmentSequence;

/// A segment in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredSegment {
    pub(crate) sequence: SegmentSequence,
    pub(crate) revision: StoreRevision,
    pub(crate) is_fence: bool,
    /// The keeper's running time when it wrote the segment or loaded it.
    ///
    /// A new keeper restarts the retry window at takeover, so IDs are remembered
    /// longer, never shorter.
    pub(crate) added_at: Duration,
}

/// The segments in the store, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SegmentIndex {
    remembered: VecDeque<StoredSegment>,
    /// Segments whose IDs are forgotten, except fences, which are never removed.
    forgotten: VecDeque<StoredSegment>,
}

impl SegmentIndex {
    /// Adds the newest segment.
    pub(crate) fn push(&mut self, segment: StoredSegment) {
        self.remembered.push_back(segment);
    }

    /// Adds a segment whose IDs are forgotten, unless it is a fence.
    pub(crate) fn push_forgotten(&mut self, segment: StoredSegment) {
        if !segment.is_fence {
            self.forgotten.push_back(segment);
        }
    }

    /// Marks the segments older than `window` as forgotten.
    ///
    /// The age is measured from `now` or from the segment at `contact`, whichever
    /// is earlier. Returns the first segment whose IDs must still be remembered,
    /// or `None` if that has not changed.
    pub(crate) fn expire(
        &mut self,
        now: Duration,
        window: Duration,
        contact: Option<SegmentSequence>,
    ) -> Option<SegmentSequence> {
        let now = contact.map_or(now, |contact| now.min(self.time_of(contact)));
        let mut first = None;
        while let Some(segment) = self.remembered.front().copied()
            && now.saturating_sub(segment.added_at) > window
        {
            self.remembered.pop_front();
            self.push_forgotten(segment);
            first = Some(segment.sequence.next());
        }
        first
    }

    /// Returns when a segment was written or loaded, or zero if that is unknown.
    fn time_of(&self, sequence: SegmentSequence) -> Duration {
        let index = self
            .remembered
            .partition_point(|segment| segment.sequence < sequence);
        match self.remembered.get(index) {
            Some(segment) if index > 0 || segment.sequence == sequence => segment.added_at,
            // The segment at `sequence` has not been written yet.
            None if index > 0 => Duration::MAX,
            // It is older than all remembered segments.
            _ => Duration::ZERO,
        }
    }

    /// Returns the oldest segment that may be removed, if it precedes
    /// `needed_from`, the first segment that a load of the durable snapshot needs.
    pub(crate) fn removable(&self, needed_from: SegmentSequence) -> Option<StoredSegment> {
        let oldest = self.forgotten.front().copied();
        oldest.filter(|segment| segment.sequence < needed_from)
    }

    /// Drops the segment returned by [`SegmentIndex::removable`] after its removal.
    pub(crate) fn drop_removed(&mut self, sequence: SegmentSequence) {
        if self.forgotten.front().map(|segment| segment.sequence) == Some(sequence) {
            self.forgotten.pop_front();
        }
    }
}
