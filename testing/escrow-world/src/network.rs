//! What the network and the store do to messages.

use std::time::Duration;

use fastrand::Rng;

/// Faults in force now.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Longest delay of a message; each takes between nothing and this.
    pub delay: Duration,
    /// Longest time that the ledger takes to commit.
    pub commit: Duration,
    /// Messages of a hundred that are lost.
    pub lost_percent: u8,
    /// Messages between routers of a hundred that arrive twice.
    pub doubled_percent: u8,
    /// Answers of the ledger of a hundred that are lost after taking effect.
    pub lost_reply_percent: u8,
    /// Whether the configuration store is out, so that the ledger decides nothing.
    pub store_out: bool,
    /// Groups of data centres that reach each other; empty if all do.
    pub partition: Vec<Vec<usize>>,
}

impl NetworkFaults {
    /// Returns whether two data centres reach each other.
    pub fn connects(&self, from: usize, to: usize) -> bool {
        from == to
            || self.partition.is_empty()
            || self
                .partition
                .iter()
                .any(|group| group.contains(&from) && group.contains(&to))
    }

    pub(crate) fn draw_delay(&self, rng: &mut Rng) -> Duration {
        Duration::from_micros(rng.u64(0..=self.delay.as_micros() as u64))
    }

    pub(crate) fn draw_commit(&self, rng: &mut Rng) -> Duration {
        Duration::from_micros(rng.u64(0..=self.commit.as_micros() as u64))
    }

    pub(crate) fn is_lost(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.lost_percent
    }

    pub(crate) fn is_doubled(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.doubled_percent
    }

    pub(crate) fn is_reply_lost(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.lost_reply_percent
    }
}
