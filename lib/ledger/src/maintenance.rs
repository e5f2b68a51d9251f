//! Writes snapshots and removes old segments, concurrently with commits.

use std::time::Instant;

use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;

use crate::event::KeeperEffect;
use crate::event::KeeperNotice;
use crate::event::StoreCallId;
use crate::keeper::KeeperStage;
use crate::keeper::ShardKeeper;
use crate::record::SegmentError;
use crate::snapshot::SnapshotHead;
use crate::snapshot::encode_snapshot;
use crate::snapshot::generation_name;
use crate::snapshot_write::SnapshotProgress;
use crate::snapshot_write::SnapshotWrite;

impl ShardKeeper {
    /// Starts the next step of a snapshot write and of a segment removal, each with at
    /// most one call in flight.
    pub(crate) fn run_maintenance(&mut self, now: Instant) {
        if !self.is_serving() || self.maintenance_resumes_at > now {
            return;
        }
        if self.snapshot.is_none() && self.is_snapshot_due() {
            // Encoding is retried on a later event if it fails; until then no
            // segment that is not covered by a snapshot is removed.
            self.snapshot = self.begin_snapshot().ok();
        }
        let call = self.new_call_id();
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call.is_none()
        {
            self.effects.extend(snapshot.effect(call));
        }
        if self.removal.is_none() {
            self.remove_segment();
        }
    }

    /// Returns whether to take a snapshot. It is taken only while no segment is in
    /// flight, when the ledger equals the state of the durable log.
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
            generation: generation_name(self.committed, self.next_nonce, &self.own_id),
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

    /// Removes the oldest segment that is needed neither for the snapshot nor for
    /// the retry window.
    fn remove_segment(&mut self) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let needed_from = head.forget_before.min(head.through.next());
        let Some(segment) = self.segments.removable(needed_from) else {
            return;
        };
        let call = self.new_call_id();
        self.removal = Some((call, segment.sequence));
        self.effects.push(KeeperEffect::Remove {
            call,
            key: segment.sequence.key(self.shard),
            expected: ExpectedVersion::At(segment.revision),
        });
    }

    pub(crate) fn handle_maintenance_swap(
        &mut self,
        call: StoreCallId,
        result: Result<SwapOutcome, StoreError>,
        now: Instant,
    ) {
        if let Some((waiting, sequence)) = self.removal
            && waiting == call
        {
            self.removal = None;
            match result {
                // A conflict means that the segment is already removed.
                Ok(_) => self.segments.drop_removed(sequence),
                Err(_) => self.pause_maintenance(now),
            }
            return;
        }
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call == Some(call)
        {
            let progress = snapshot.handle_swap(result);
            self.handle_snapshot_progress(progress, now);
        }
    }

    pub(crate) fn handle_maintenance_list(
        &mut self,
        call: StoreCallId,
        result: Result<StoreListing, StoreError>,
        now: Instant,
    ) {
        if let Some(snapshot) = &mut self.snapshot
            && snapshot.call == Some(call)
        {
            let progress = snapshot.handle_list(result);
            self.handle_snapshot_progress(progress, now);
        }
    }

    fn handle_snapshot_progress(&mut self, progress: SnapshotProgress, now: Instant) {
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
            SnapshotProgress::StoreFailed => self.pause_maintenance(now),
            SnapshotProgress::Done => self.snapshot = None,
            SnapshotProgress::GivenUp(found) => {
                self.snapshot = None;
                self.pause_maintenance(now);
                if let Some(found) = found {
                    self.adopt_head(&found);
                }
            }
        }
    }

    /// Adopts a head that an earlier keeper wrote late. Its snapshot is valid, since
    /// it covers only durable segments.
    fn adopt_head(&mut self, found: &StoredValue) {
        if let Ok(head) = SnapshotHead::decode(&found.value)
            && head.through <= self.committed
        {
            self.head = Some((head, found.revision));
        }
    }

    fn pause_maintenance(&mut self, now: Instant) {
        self.maintenance_resumes_at = now + self.settings.store_retry;
    }
}
