//! Fault injection for the network and the configuration store.

use std::time::Duration;

use fastrand::Rng;

/// The faults that are currently injected.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Maximum message delay; each delay is drawn uniformly from zero up to it.
    pub delay: Duration,
    /// Maximum commit time of the ledger.
    pub commit: Duration,
    /// Percentage of messages that are lost.
    pub lost_percent: u8,
    /// Percentage of messages between routers that are duplicated.
    pub duplicated_percent: u8,
    /// Percentage of ledger answers that are lost after the batch took effect.
    pub lost_reply_percent: u8,
    /// Whether the configuration store is unavailable, so that the ledger cannot commit.
    pub store_out: bool,
    /// Groups of data centres that reach each other. Empty without a partition.
    pub partition: Vec<Vec<usize>>,
}

impl NetworkFaults {
    /// Returns whether two data centres can communicate.
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

    pub(crate) fn draw_commit_delay(&self, rng: &mut Rng) -> Duration {
        Duration::from_micros(rng.u64(0..=self.commit.as_micros() as u64))
    }

    pub(crate) fn is_lost(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.lost_percent
    }

    pub(crate) fn is_duplicated(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.duplicated_percent
    }

    pub(crate) fn is_reply_lost(&self, rng: &mut Rng) -> bool {
        rng.u8(0..100) < self.lost_reply_percent
    }
}
