//! Counts the events of a history, so that an empty one is not mistaken for a
//! successful check.

use std::fmt;

use indexmap::IndexMap;

use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::LedgerEntry;

/// Number of events of each kind in a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistorySummary {
    /// Attempts sent.
    pub sent: usize,
    /// Complete answers.
    pub answered: usize,
    /// Refusals and failures, by result code.
    pub refused: IndexMap<u16, usize>,
    /// Connections that failed or ended early.
    pub broken: usize,
    /// Connections that callers closed while waiting.
    pub given_up: usize,
    /// Pieces of work on upstreams.
    pub work: usize,
    /// Bills in the ledger log.
    pub bills: usize,
    /// Tokens billed.
    pub billed: u64,
}

impl HistorySummary {
    /// Counts the events of a history.
    pub fn new(events: &[HistoryEvent]) -> Self {
        let mut summary = Self::default();
        for event in events {
            summary.count(&event.what);
        }
        summary
    }

    fn count(&mut self, kind: &EventKind) {
        match kind {
            EventKind::Sent { .. } => self.sent += 1,
            EventKind::Answered { .. } => self.answered += 1,
            EventKind::Refused { code, .. } => *self.refused.entry(*code).or_default() += 1,
            EventKind::Broken { .. } | EventKind::NotConnected { .. } => self.broken += 1,
            EventKind::GaveUp { .. } => self.given_up += 1,
            EventKind::Work { .. } => self.work += 1,
            EventKind::Ledger {
                entry: LedgerEntry::Bill { amount, .. },
                ..
            } => {
                self.bills += 1;
                self.billed += amount;
            }
            _ => {}
        }
    }
}

impl fmt::Display for HistorySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} answered, {} broken, {} given up, {} runs, {} bills over {} tokens, refused {:?}",
            self.sent,
            self.answered,
            self.broken,
            self.given_up,
            self.work,
            self.bills,
            self.billed,
            self.refused
        )
    }
}
