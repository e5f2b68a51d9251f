//! Snapshots and the removal of segments, beside the commits.

use std::time::Instant;

use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::event::KeeperNotice;
use crate::keeper::KeeperStage;
use crate::keeper::ShardKeeper;
use crate::record::SegmentError;
use crate::snapshot::SnapshotHead;
use crate::snapshot::encode_snapshot;
use crate::snapshot::generation_name;
use crate::snapshot_write::SnapshotProgress;
use crate::snapshot_write::SnapshotWrite;

impl ShardKeeper {
    /// Takes the next step of a snapshot or a removal, one call at a time.
    pub(crate) fn keep_up(&mut self, now: Instant) {
        if !self.is_serving() || self.upkeep_from > now {
            return;
        }
        if self.snapshot.is_none() && self.is_snapshot_due() {
            // A snapshot that can't be encoded is tried again after as many
            // segments; the log stays whole meanwhile.
            self.snapshot = self.begin_snapshot().ok();
        }
        let call = self.new_call();
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call.is_none()
        {
            self.effects.extend(snapshot.effect(call));
        }
        if self.removal.is_none() {
            self.remove_segment();
        }
    }

    /// A snapshot is taken between two segments, when the ledger is that of
    /// the log.
    fn is_snapshot_due(&self) -> bool {
        let covered = self.head.as_ref().map_or(0, |(head, _)| head.through.0);
        matches!(self.stage, KeeperStage::Serving(None))
            && self.committed.0 >= covered + self.settings.snapshot_every
    }

    fn begin_snapshot(&mut self) -> Result<SnapshotWrite, SegmentError> {
        let parts = encode_snapshot(&self.ledger, self.settings.snapshot_part_bytes)?;
        self.next_nonce += 1;
        let head = SnapshotHead {
            through: self.committed,
            forget_before: self.ledger.forget_before(),
            generation: generation_name(self.committed, self.next_nonce, &self.own),
            parts: parts.len() as u32,
        };
        let head_bytes = head.encode()?;
        let expected = match &self.head {
            Some((_, revision)) => ExpectedVersion::At(*revision),
            None => ExpectedVersion::Absent,
        };
        let shard = self.shard;
        Ok(SnapshotWrite::new(shard, head, head_bytes, parts, expected))
    }

    /// Removes the oldest segment that neither the snapshot nor the retry
    /// window needs.
    fn remove_segment(&mut self) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let needed_from = head.forget_before.min(head.through.next());
        let Some(trace) = self.trail.removable(needed_from) else {
            return;
        };
        let call = self.new_call();
        self.removal = Some((call, trace.sequence));
        self.effects.push(KeeperEffect::Remove {
            call,
            key: trace.sequence.key(self.shard),
            expected: ExpectedVersion::At(trace.revision),
        });
    }

    pub(crate) fn end_upkeep_swap(
        &mut self,
        call: CallId,
        result: Result<SwapOutcome, StoreError>,
        now: Instant,
    ) {
        if let Some((waiting, sequence)) = self.removal
            && waiting == call
        {
            self.removal = None;
            match result {
                // On a conflict it is gone already.
                Ok(_) => self.trail.drop_removed(sequence),
                Err(_) => self.rest_upkeep(now),
            }
            return;
        }
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call == Some(call)
        {
            let progress = snapshot.end_swap(result);
            self.progress_snapshot(progress, now);
        }
    }

    pub(crate) fn end_upkeep_list(
        &mut self,
        call: CallId,
        result: Result<StoreListing, StoreError>,
        now: Instant,
    ) {
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call == Some(call)
        {
            let progress = snapshot.end_list(result);
            self.progress_snapshot(progress, now);
        }
    }

    fn progress_snapshot(&mut self, progress: SnapshotProgress, now: Instant) {
        match progress {
            SnapshotProgress::Continue => {}
            SnapshotProgress::HeadWritten(revision) => {
                if let Some(snapshot) = &self.snapshot {
                    let notice = KeeperNotice::Snapshotted {
                        through: snapshot.head.through,
                        bytes: snapshot.size(),
                    };
                    self.head = Some((snapshot.head.clone(), revision));
                    self.notice(notice);
                }
            }
            SnapshotProgress::StoreFailed => self.rest_upkeep(now),
            SnapshotProgress::Done => self.snapshot = None,
            SnapshotProgress::GivenUp(found) => {
                self.snapshot = None;
                self.rest_upkeep(now);
                if let Some(found) = found {
                    self.adopt_head(&found);
                }
            }
        }
    }

    /// Takes over a head that an earlier keeper wrote late. Its snapshot is as
    /// good as any, since it covers durable segments only.
    fn adopt_head(&mut self, found: &StoredValue) {
        if let Ok(head) = SnapshotHead::decode(&found.value)
            && head.through <= self.committed
        {
            self.head = Some((head, found.revision));
        }
    }

    fn rest_upkeep(&mut self, now: Instant) {
        self.upkeep_from = now + self.settings.store_retry;
    }
}
