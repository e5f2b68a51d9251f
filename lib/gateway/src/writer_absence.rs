//! Tracks how long registered VMs have been gone.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::shard_writer::ShardWriter;
use crate::shard_writer::WriterLevel;
use crate::shard_writer::WriterState;

/// How long a VM has to be gone before its registration is withdrawn. A planned restart takes
/// less.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// First sight of a registered VM that is gone.
#[derive(Clone, Copy, Debug)]
struct AbsenceStart {
    /// Changes of the registration at that time.
    changes: u64,
    since: Instant,
}

/// When registered VMs were first seen to be gone.
#[derive(Clone, Debug, Default)]
pub struct WriterAbsences {
    /// Keyed by the hash of the VM's id.
    by_vm: IndexMap<u64, AbsenceStart>,
}

impl WriterAbsences {
    /// Records which VMs are gone: those whose processes have ended, and those that `is_listed`
    /// does not know.
    pub fn record(
        &mut self,
        writers: &[ShardWriter],
        is_listed: impl Fn(u64) -> bool,
        now: Instant,
    ) {
        let is_gone = |writer: &ShardWriter| {
            let has_ended = writer.state == WriterState::Ended;
            writer.mature > WriterLevel::None && (has_ended || !is_listed(writer.vm))
        };
        let gone = writers.iter().filter(|writer| is_gone(writer));
        let starts = gone.map(|writer| {
            let known = self.by_vm.get(&writer.vm);
            let known = known.filter(|start| start.changes == writer.changes);
            let new = AbsenceStart {
                changes: writer.changes,
                since: now,
            };
            (writer.vm, known.copied().unwrap_or(new))
        });
        self.by_vm = starts.collect();
    }

    /// Returns the VMs whose registrations should be withdrawn.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = u64> {
        let is_due = move |start: &AbsenceStart| {
            now.saturating_duration_since(start.since) >= ABSENCE_TIMEOUT
        };
        let due = self.by_vm.iter().filter(move |(_, start)| is_due(start));
        due.map(|(vm, _)| *vm)
    }
}
