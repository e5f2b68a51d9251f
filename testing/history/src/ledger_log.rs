//! Extracts the entries of the history from a shard's log segments.

use snipegate_ledger::Segment;
use snipegate_ledger::SegmentRecord;
use snipegate_types::BudgetId;
use snipegate_types::ShardId;

use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::LedgerEntry;

/// Reads a shard's log from its first segment.
///
/// It resolves budget numbers itself and shares no balance code with the
/// ledger, so that the ledger is not used to check itself.
#[derive(Debug)]
pub struct LedgerLog {
    shard: ShardId,
    budgets: Vec<BudgetId>,
}

/// A record refers to a budget that was never opened, so segments are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownBudget;

impl LedgerLog {
    /// Creates a reader positioned at the shard's first segment.
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            budgets: Vec::new(),
        }
    }

    /// Reads the next segment and returns its entries as events.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownBudget`] if the segment refers to a budget that has not
    /// been opened.
    pub fn read(
        &mut self,
        sequence: u64,
        segment: &Segment,
        at_us: u64,
    ) -> Result<Vec<HistoryEvent>, UnknownBudget> {
        let mut events = Vec::new();
        for record in &segment.records {
            if let Some(entry) = self.convert_record(record)? {
                let shard = self.shard;
                let what = EventKind::Ledger {
                    shard,
                    sequence,
                    entry,
                };
                events.push(HistoryEvent { at_us, what });
            }
        }
        Ok(events)
    }

    /// Converts a record to an entry, or to `None` if the history omits it.
    fn convert_record(
        &mut self,
        record: &SegmentRecord,
    ) -> Result<Option<LedgerEntry>, UnknownBudget> {
        let entry = match record {
            SegmentRecord::OpenBudget { id } => {
                self.budgets.push(id.clone());
                return Ok(None);
            }
            SegmentRecord::TopUp {
                operation,
                budget,
                amount,
            } => LedgerEntry::TopUp {
                operation: *operation,
                budget: self.resolve_budget(budget.0)?,
                amount: *amount,
            },
            SegmentRecord::Bill {
                request,
                budget,
                amount,
                ..
            } => LedgerEntry::Bill {
                request: *request,
                budget: self.resolve_budget(budget.0)?,
                amount: *amount,
            },
            SegmentRecord::Intend { request, .. } => LedgerEntry::Intend { request: *request },
            _ => return Ok(None),
        };
        Ok(Some(entry))
    }

    fn resolve_budget(&self, number: u32) -> Result<BudgetId, UnknownBudget> {
        self.budgets
            .get(number as usize)
            .cloned()
            .ok_or(UnknownBudget)
    }
}
