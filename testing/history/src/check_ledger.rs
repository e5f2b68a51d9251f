//! Checks spend, top-ups and bills in the ledger log.

use indexmap::IndexMap;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;

use crate::attempts::AttemptEnd;
use crate::attempts::CallAttempt;
use crate::event::AttemptId;
use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::LedgerEntry;
use crate::violation::Violation;

/// Returns the log entries, sorted by shard and by position in its log.
fn ordered_entries(events: &[HistoryEvent]) -> Vec<&LedgerEntry> {
    let mut entries: Vec<_> = events
        .iter()
        .filter_map(|event| match &event.what {
            EventKind::Ledger {
                shard,
                sequence,
                entry,
            } => Some(((shard.0, *sequence), entry)),
            _ => None,
        })
        .collect();
    // The sort is stable, so entries within a segment keep their order.
    entries.sort_by_key(|(position, _)| *position);
    entries.into_iter().map(|(_, entry)| entry).collect()
}

/// Checks that a budget's bills never exceed its purchases at any point of the log.
pub(crate) fn check_spend(events: &[HistoryEvent], violations: &mut Vec<Violation>) {
    let mut totals: IndexMap<&BudgetId, (u64, u64)> = IndexMap::new();
    for entry in ordered_entries(events) {
        match entry {
            LedgerEntry::TopUp { budget, amount, .. } => {
                let (_, purchased) = totals.entry(budget).or_default();
                *purchased = purchased.saturating_add(*amount);
            }
            LedgerEntry::Bill { budget, amount, .. } => {
                let (billed, purchased) = totals.entry(budget).or_default();
                *billed = billed.saturating_add(*amount);
                if *billed > *purchased {
                    violations.push(Violation::Overspent {
                        budget: budget.clone(),
                        billed: *billed,
                        purchased: *purchased,
                    });
                }
            }
            LedgerEntry::Intend { .. } => {}
        }
    }
}

/// Checks that each purchase is applied once and as requested.
pub(crate) fn check_top_ups(events: &[HistoryEvent], violations: &mut Vec<Violation>) {
    let mut requested: IndexMap<OperationId, (&BudgetId, u64)> = IndexMap::new();
    for event in events {
        if let EventKind::TopUpAsked {
            operation,
            budget,
            amount,
        } = &event.what
        {
            requested.insert(*operation, (budget, *amount));
        }
    }
    let mut applied = IndexMap::new();
    for entry in ordered_entries(events) {
        let LedgerEntry::TopUp {
            operation,
            budget,
            amount,
        } = entry
        else {
            continue;
        };
        let operation = *operation;
        if applied.insert(operation, ()).is_some() {
            violations.push(Violation::TopUpRepeated { operation });
        }
        if requested.get(&operation) != Some(&(budget, *amount)) {
            violations.push(Violation::TopUpNotRequested { operation });
        }
    }
}

/// Checks that each answer with usage is billed exactly once and for that usage,
/// and that each billed request was sent and not refused as not run.
pub(crate) fn check_bills(
    events: &[HistoryEvent],
    attempts: &IndexMap<AttemptId, CallAttempt>,
    violations: &mut Vec<Violation>,
) {
    let mut bills: IndexMap<RequestId, u64> = IndexMap::new();
    for entry in ordered_entries(events) {
        let LedgerEntry::Bill {
            request, amount, ..
        } = entry
        else {
            continue;
        };
        let request = *request;
        if bills.insert(request, *amount).is_some() {
            violations.push(Violation::BilledTwice { request });
        }
    }
    for &request in bills.keys() {
        let mut attempts_of_request = attempts.values().filter(|call| call.request == request);
        if !attempts_of_request.clone().any(|_| true) {
            violations.push(Violation::BilledUnsent { request });
        } else if attempts_of_request.all(CallAttempt::is_not_run) {
            violations.push(Violation::BilledNotRun { request });
        }
    }
    for (&attempt, call) in attempts {
        let Some((_, AttemptEnd::Answered { usage, .. })) = &call.end else {
            continue;
        };
        match (bills.get(&call.request), usage) {
            (None, Some(_)) => violations.push(Violation::AnswerUnbilled { attempt }),
            (Some(&billed), Some(usage)) if usage.total != billed => {
                violations.push(Violation::UsageDiffers {
                    attempt,
                    reported: usage.total,
                    billed,
                });
            }
            _ => {}
        }
    }
}
