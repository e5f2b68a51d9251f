//! The segments that lie in the store, and when each was written.

use std::collections::VecDeque;
use std::time::Duration;

use snipegate_platform::StoreRevision;

use crate::record::SegmentSequence;

/// One segment in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentTrace {
    pub(crate) sequence: SegmentSequence,
    pub(crate) revision: StoreRevision,
    pub(crate) is_fence: bool,
    /// The keeper's running time when it was written here, or read at takeover:
    /// a new keeper counts the retry window anew, which only keeps ids longer.
    pub(crate) seen: Duration,
}

/// The segments that lie in the store, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SegmentTrail {
    remembered: VecDeque<SegmentTrace>,
    /// Segments whose ids are forgotten, without those that are kept for good.
    forgotten: VecDeque<SegmentTrace>,
}

impl SegmentTrail {
    /// Adds the newest segment.
    pub(crate) fn push(&mut self, trace: SegmentTrace) {
        self.remembered.push_back(trace);
    }

    /// Adds a segment whose ids were forgotten before, found at takeover.
    pub(crate) fn push_forgotten(&mut self, trace: SegmentTrace) {
        if !trace.is_fence {
            self.forgotten.push_back(trace);
        }
    }

    /// Forgets what is older than `window`, counted back from now or, where it
    /// is earlier, from the segment `contact`; returns the first segment whose
    /// ids are still to be remembered, if that has moved.
    pub(crate) fn forget(
        &mut self,
        now: Duration,
        window: Duration,
        contact: Option<SegmentSequence>,
    ) -> Option<SegmentSequence> {
        let now = contact.map_or(now, |contact| now.min(self.seen_at(contact)));
        let mut first = None;
        while let Some(trace) = self.remembered.front().copied()
            && now.saturating_sub(trace.seen) > window
        {
            self.remembered.pop_front();
            self.push_forgotten(trace);
            first = Some(trace.sequence.next());
        }
        first
    }

    /// Returns when a segment was seen; zero if that is no longer known.
    fn seen_at(&self, sequence: SegmentSequence) -> Duration {
        let index = self
            .remembered
            .partition_point(|trace| trace.sequence < sequence);
        match self.remembered.get(index) {
            Some(trace) if index > 0 || trace.sequence == sequence => trace.seen,
            // It is the segment being made now, or older than all.
            None if index > 0 => Duration::MAX,
            _ => Duration::ZERO,
        }
    }

    /// Returns the oldest segment that may be removed, given the first segment
    /// that the durable snapshot still needs.
    pub(crate) fn removable(&self, needed_from: SegmentSequence) -> Option<SegmentTrace> {
        let oldest = self.forgotten.front().copied();
        oldest.filter(|trace| trace.sequence < needed_from)
    }

    /// Drops the segment that [`SegmentTrail::removable`] returned.
    pub(crate) fn drop_removed(&mut self, sequence: SegmentSequence) {
        if self.forgotten.front().map(|trace| trace.sequence) == Some(sequence) {
            self.forgotten.pop_front();
        }
    }
}
