//! Reads the entries that matter to the checks out of a shard's segments.

use snipegate_ledger::Segment;
use snipegate_ledger::SegmentRecord;
use snipegate_types::BudgetId;
use snipegate_types::ShardId;

use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::LedgerEntry;

/// Follows one shard's log from its first segment.
///
/// It keeps its own account of what budget numbers stand for and shares no
/// balance code with the ledger that it helps to check.
#[derive(Debug)]
pub struct LedgerLog {
    shard: ShardId,
    budgets: Vec<BudgetId>,
}

/// A record names a budget that was never opened: segments are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownBudget;

impl LedgerLog {
    /// Begins at the shard's first segment.
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            budgets: Vec::new(),
        }
    }

    /// Takes in the next segment and returns its entries.
    ///
    /// # Errors
    ///
    /// Fails if the segment names a budget that no earlier one opened.
    pub fn read(
        &mut self,
        sequence: u64,
        segment: &Segment,
        at_us: u64,
    ) -> Result<Vec<HistoryEvent>, UnknownBudget> {
        let mut events = Vec::new();
        for record in &segment.records {
            if let Some(entry) = self.entry(record)? {
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

    fn entry(&mut self, record: &SegmentRecord) -> Result<Option<LedgerEntry>, UnknownBudget> {
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
                budget: self.budget(budget.0)?,
                amount: *amount,
            },
            SegmentRecord::Bill {
                request,
                budget,
                amount,
                ..
            } => LedgerEntry::Bill {
                request: *request,
                budget: self.budget(budget.0)?,
                amount: *amount,
            },
            SegmentRecord::Intend { request, .. } => LedgerEntry::Intend { request: *request },
            _ => return Ok(None),
        };
        Ok(Some(entry))
    }

    fn budget(&self, number: u32) -> Result<BudgetId, UnknownBudget> {
        self.budgets
            .get(number as usize)
            .cloned()
            .ok_or(UnknownBudget)
    }
}
