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

/// When registered VMs were first seen to be gone.
#[derive(Clone, Debug, Default)]
pub struct WriterAbsences {
    /// Keyed by the hash of the VM's id, with the changes of its registration at that time.
    gone_since: IndexMap<u64, (u64, Instant)>,
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
        let since = gone.map(|writer| {
            let known = self.gone_since.get(&writer.vm);
            let known = known.filter(|(changes, _)| *changes == writer.changes);
            let since = known.map_or(now, |(_, since)| *since);
            (writer.vm, (writer.changes, since))
        });
        self.gone_since = since.collect();
    }

    /// Returns the VMs whose registrations should be withdrawn.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = u64> {
        let is_due = move |since: Instant| now.saturating_duration_since(since) >= ABSENCE_TIMEOUT;
        let gone = self.gone_since.iter();
        gone.filter(move |(_, (_, since))| is_due(*since))
            .map(|(vm, _)| *vm)
    }
}
