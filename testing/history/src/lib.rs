//! Checks the recorded history of a run against the system's requirements.
//!
//! The history consists of the records of callers, operators, upstreams and
//! processes, and of the ledger log. Routers are not asked what they did, since
//! they are part of the system under test.

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

/// Time limits stated by the requirements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckLimits {
    /// Time after which a leaving upstream must get no new work.
    pub leaving: Duration,
    /// Time after which every process must use a configuration change.
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

/// Returns all violations in a history whose events are in chronological order.
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
