//! What is known of one cold upstream.

use std::time::Duration;
use std::time::Instant;

use snipegate_platform::StoreRevision;
use strum::Display;
use strum::IntoStaticStr;

use super::cold_limit::ColdLimit;
use crate::upstream::UpstreamEntry;

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdReason {
    /// Its entry in the store says so.
    Entry,
    /// It started while this VM followed the store.
    Started,
    /// The evacuation of its data centre has ended.
    EvacuationEnded,
    /// A connection to it was refused or broke while the store did not answer.
    ConnectionBroken,
    /// One of its responses says so.
    Answer,
    /// Another VM says so.
    Vm,
}

/// How long an upstream is cold according to its entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStatement {
    /// Revision of the entry.
    pub revision: StoreRevision,
    /// Latest time at which it may still be cold.
    pub until: Instant,
}

/// An upstream that may be cold.
#[derive(Clone, Debug)]
pub struct ColdState {
    /// Entry by which its limit is kept. The limit holds for all runs of the upstream.
    pub key: UpstreamEntry,
    /// By its entry, which this VM or another one read.
    pub stated: Option<ColdStatement>,
    /// By what this VM saw itself.
    pub assumed_until: Option<Instant>,
    /// By what other VMs saw.
    pub heard_until: Option<Instant>,
    /// The reason of the latest information.
    pub reason: ColdReason,
    /// When this VM had the latest information.
    pub learned_at: Instant,
    /// Until when every message to the other VMs includes it.
    pub announce_until: Instant,
    /// The limit in force.
    pub limit: Option<ColdLimit>,
}

impl ColdState {
    /// Returns when the upstream counts as warm.
    pub fn until(&self) -> Option<Instant> {
        let stated = self.stated.map(|stated| stated.until);
        stated.max(self.assumed_until).max(self.heard_until)
    }

    /// Returns whether the upstream may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until().is_some_and(|until| now < until)
    }

    /// Applies the statement of an entry. All statements of one revision are upper bounds, so
    /// the earliest holds. A copy of the store may be older than what is known, so nothing ends
    /// earlier by a statement of another era.
    pub fn apply_statement(&mut self, statement: ColdStatement) {
        let until = match self.stated {
            Some(known) if statement.revision < known.revision => return,
            Some(known) if statement.revision == known.revision => known.until.min(statement.until),
            Some(known) if statement.revision.era != known.revision.era => {
                known.until.max(statement.until)
            }
            _ => statement.until,
        };
        self.stated = Some(ColdStatement { until, ..statement });
    }
}

/// Returns the time left until `until`.
pub fn time_left(until: Option<Instant>, now: Instant) -> Duration {
    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
}
