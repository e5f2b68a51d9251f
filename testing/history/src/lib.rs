//! History checker: decides from the records of a run whether the system kept
//! what it promises.
//!
//! The records are those of callers, operators, upstreams and processes, and
//! the ledger's log. Nothing is asked of the routers about what they did.

use std::time::Duration;

mod attempts;
mod check_answers;
mod check_config;
mod check_ledger;
mod check_runs;
mod event;
mod ledger_log;
mod summary;
mod violation;

pub use event::AnswerUsage;
pub use event::AttemptId;
pub use event::EventKind;
pub use event::HistoryEvent;
pub use event::LedgerEntry;
pub use event::RequestNature;
pub use ledger_log::LedgerLog;
pub use ledger_log::UnknownBudget;
pub use summary::HistorySummary;
pub use violation::Violation;

/// The bounds that the requirements state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckLimits {
    /// Time after which a leaving upstream gets no new work.
    pub leaving: Duration,
    /// Time after which a change of configuration is in force everywhere.
    pub config: Duration,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self {
            leaving: Duration::from_secs(8),
            config: Duration::from_secs(8),
        }
    }
}

/// Returns everything that a history breaks, of events in order of time.
pub fn check_history(events: &[HistoryEvent], limits: &CheckLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let attempts = attempts::collect_attempts(events, &mut violations);
    check_ledger::check_spend(events, &mut violations);
    check_ledger::check_top_ups(events, &mut violations);
    check_ledger::check_bills(events, &attempts, &mut violations);
    check_answers::check_answers(&attempts, &mut violations);
    check_runs::check_not_run(events, &attempts, &mut violations);
    check_runs::check_single_runs(events, &attempts, &mut violations);
    check_runs::check_leaving(events, limits.leaving, &mut violations);
    check_runs::check_stops(events, &attempts, &mut violations);
    check_config::check_config(events, limits.config, &mut violations);
    violations
}
