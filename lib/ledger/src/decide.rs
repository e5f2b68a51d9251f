//! Decides the effect of operations on a shard's ledger.

use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

use crate::ledger::HolderState;
use crate::ledger::OperationKind;
use crate::ledger::RememberedOperation;
use crate::ledger::ShardLedger;
use crate::operation::LedgerBatch;
use crate::operation::LedgerOperation;
use crate::operation::OperationRefusal;
use crate::operation::OperationResult;
use crate::record::BudgetNumber;
use crate::record::HolderNumber;
use crate::record::SegmentRecord;

/// Maximum number of tokens purchased for a budget and maximum magnitude of a holding, so
/// that holdings fit an `i64`.
const MAX_AMOUNT: u64 = i64::MAX as u64;

/// The result of an operation, or the reason for its refusal.
pub(crate) type Decision = Result<OperationResult, OperationRefusal>;

impl ShardLedger {
    /// Applies an operation of `sender` and appends the changes to `records`.
    ///
    /// The result is valid only once the segment with the records is durable.
    pub fn apply(
        &mut self,
        sender: &IncarnationId,
        operation: &LedgerOperation,
        records: &mut Vec<SegmentRecord>,
    ) -> OperationResult {
        let mut recording = RecordingLedger {
            ledger: self,
            records,
        };
        recording
            .decide(sender, operation)
            .unwrap_or_else(OperationResult::Refused)
    }

    /// Applies the operations of a batch, in order.
    ///
    /// The results are valid only once the segment with the records is durable.
    pub fn apply_batch(
        &mut self,
        batch: &LedgerBatch,
        records: &mut Vec<SegmentRecord>,
    ) -> Vec<OperationResult> {
        let taken = match batch.first {
            Some(first) => self.taken(&batch.sender).saturating_sub(first),
            None => 0,
        };
        let records_before = records.len();
        let results = batch
            .operations
            .iter()
            .zip(0..)
            .map(
                |(operation, index)| match index < taken && !self.remembers_result(operation) {
                    true => OperationResult::Refused(OperationRefusal::ResultForgotten),
                    false => self.apply(&batch.sender, operation, records),
                },
            )
            .collect();
        let count = batch.operations.len() as u64;
        let is_new = self.holder_progress(&batch.sender).is_none();
        let is_contact_due = is_new || batch.operations.is_empty();
        let records_contact = is_contact_due && self.is_open(&batch.sender);
        if let Some(first) = batch.first
            && (records_contact || (records.len() > records_before && taken < count))
        {
            self.record_taken(&batch.sender, first + count, records);
        }
        results
    }

    fn is_open(&self, incarnation: &IncarnationId) -> bool {
        self.holder_state(incarnation).is_none_or(is_open)
    }

    /// Returns whether the result of a repeated operation is still known. Operations on
    /// calls and holders derive it from the current state.
    fn remembers_result(&self, operation: &LedgerOperation) -> bool {
        match operation {
            LedgerOperation::Grant { operation, .. }
            | LedgerOperation::Return { operation, .. } => self.operations.contains_key(operation),
            LedgerOperation::TopUp { operation, .. } => self.purchases.contains_key(operation),
            LedgerOperation::NoteTransfer { transfer, .. } => {
                self.operations.contains_key(transfer)
            }
            LedgerOperation::Bill { request, .. } => self.bills.contains_key(request),
            LedgerOperation::Intend { .. }
            | LedgerOperation::Conclude { .. }
            | LedgerOperation::Release
            | LedgerOperation::DeclareDead { .. } => true,
        }
    }

    fn record_taken(
        &mut self,
        sender: &IncarnationId,
        position: u64,
        records: &mut Vec<SegmentRecord>,
    ) {
        let mut recording = RecordingLedger {
            ledger: self,
            records,
        };
        let holder = recording.open_holder(sender);
        recording.record(SegmentRecord::Take { holder, position });
    }

    /// Reclaims the holdings of `holder` and marks it as closed.
    ///
    /// Does nothing unless the holder is closing.
    pub fn reclaim_holder(&mut self, holder: &IncarnationId, records: &mut Vec<SegmentRecord>) {
        if self.holder_state(holder) != Some(HolderState::Closing) {
            return;
        }
        let Some(holder) = self.holder_number(holder) else {
            return;
        };
        let mut recording = RecordingLedger {
            ledger: self,
            records,
        };
        recording.record(SegmentRecord::Reclaim { holder });
    }
}

/// A ledger together with the records of the changes made to it.
pub(crate) struct RecordingLedger<'a> {
    pub(crate) ledger: &'a mut ShardLedger,
    records: &'a mut Vec<SegmentRecord>,
}

impl RecordingLedger<'_> {
    fn decide(&mut self, sender: &IncarnationId, operation: &LedgerOperation) -> Decision {
        match operation {
            LedgerOperation::Grant {
                operation,
                budget,
                wanted,
                least,
            } => self.grant(sender, *operation, budget, *wanted, *least),
            LedgerOperation::Return {
                operation,
                budget,
                amount,
            } => self.return_tokens(sender, *operation, budget, *amount),
            LedgerOperation::NoteTransfer {
                transfer,
                budget,
                giver,
                receiver,
                amount,
            } => self.note_transfer(sender, *transfer, budget, giver, receiver, *amount),
            LedgerOperation::Bill {
                request,
                budget,
                amount,
                holder,
                position,
            } => self.bill(sender, *request, budget, *amount, holder, *position),
            LedgerOperation::TopUp {
                operation,
                budget,
                amount,
            } => self.top_up(*operation, budget, *amount),
            LedgerOperation::Intend {
                request,
                attempt,
                upstream,
                digest,
            } => self.intend(sender, *request, *attempt, upstream, *digest),
            LedgerOperation::Conclude {
                request,
                attempt,
                outcome,
            } => self.conclude(sender, *request, *attempt, outcome),
            LedgerOperation::Release => {
                self.close_holder(sender);
                Ok(OperationResult::Released)
            }
            LedgerOperation::DeclareDead { holder } => {
                self.close_holder(holder);
                Ok(OperationResult::Declared)
            }
        }
    }

    fn grant(
        &mut self,
        sender: &IncarnationId,
        operation: OperationId,
        budget: &BudgetId,
        wanted: TokenCount,
        least: TokenCount,
    ) -> Decision {
        let number = self.budget(budget)?;
        let unassigned = self.ledger.budgets[number.0 as usize].unassigned;
        if let Some(earlier) = self.find_earlier(operation, OperationKind::Grant, number)? {
            return Ok(OperationResult::Granted {
                amount: TokenCount(earlier.amount),
                unassigned: TokenCount(unassigned),
            });
        }
        self.check_sender(sender)?;
        let amount = wanted.max(least).0.min(unassigned);
        if amount < least.0 || amount == 0 {
            let held_elsewhere = self.held_elsewhere(number, sender);
            return Err(OperationRefusal::BudgetShort { held_elsewhere });
        }
        let holder = self.open_holder(sender);
        self.record(SegmentRecord::Grant {
            operation,
            budget: number,
            holder,
            amount,
        });
        Ok(OperationResult::Granted {
            amount: TokenCount(amount),
            unassigned: TokenCount(unassigned - amount),
        })
    }

    fn held_elsewhere(&self, budget: BudgetNumber, sender: &IncarnationId) -> TokenCount {
        let own = self.ledger.holder_number(sender);
        self.ledger.budgets[budget.0 as usize]
            .holdings
            .iter()
            .filter(|(holder, _)| Some(*holder) != own)
            .filter_map(|(_, amount)| u64::try_from(*amount).ok())
            .map(TokenCount)
            .sum()
    }

    fn return_tokens(
        &mut self,
        sender: &IncarnationId,
        operation: OperationId,
        budget: &BudgetId,
        amount: TokenCount,
    ) -> Decision {
        let number = self.budget(budget)?;
        if let Some(earlier) = self.find_earlier(operation, OperationKind::Return, number)? {
            return same_amount(earlier, amount, OperationResult::Returned);
        }
        self.check_sender(sender)?;
        let holder = self.check_holding(sender, number, amount)?;
        self.record(SegmentRecord::Return {
            operation,
            budget: number,
            holder,
            amount: amount.0,
        });
        Ok(OperationResult::Returned)
    }

    fn note_transfer(
        &mut self,
        sender: &IncarnationId,
        transfer: OperationId,
        budget: &BudgetId,
        giver: &IncarnationId,
        receiver: &IncarnationId,
        amount: TokenCount,
    ) -> Decision {
        let number = self.budget(budget)?;
        if let Some(earlier) = self.find_earlier(transfer, OperationKind::Transfer, number)? {
            return same_amount(earlier, amount, OperationResult::Noted);
        }
        self.check_sender(sender)?;
        self.check_not_closed(giver)?;
        self.check_not_closed(receiver)?;
        // No holder can have more tokens than were purchased, so no transfer can
        // be larger.
        if amount.0 > self.ledger.budgets[number.0 as usize].purchased {
            return Err(OperationRefusal::HoldingShort);
        }
        let giver = self.open_holder(giver);
        let receiver = self.open_holder(receiver);
        let balance = &self.ledger.budgets[number.0 as usize];
        let is_large = |holding: i64| holding.unsigned_abs() > MAX_AMOUNT - amount.0;
        if is_large(balance.holding(giver)) || is_large(balance.holding(receiver)) {
            return Err(OperationRefusal::AmountTooLarge);
        }
        self.record(SegmentRecord::Transfer {
            transfer,
            budget: number,
            giver,
            receiver,
            amount: amount.0,
        });
        Ok(OperationResult::Noted)
    }

    fn bill(
        &mut self,
        sender: &IncarnationId,
        request: RequestId,
        budget: &BudgetId,
        amount: TokenCount,
        holder: &IncarnationId,
        position: Option<u64>,
    ) -> Decision {
        let number = self.budget(budget)?;
        if let Some(earlier) = self.ledger.bills.get(&request) {
            if earlier.budget != number {
                return Err(OperationRefusal::IdReused);
            }
            return Ok(OperationResult::Billed {
                amount: TokenCount(earlier.amount),
                first: self.ledger.holder_number(holder) == Some(earlier.holder),
            });
        }
        if let Some(decided) = self.bill_decided_at(sender, holder, position) {
            return decided;
        }
        let is_ahead = sender != holder;
        self.check_sender(sender)?;
        self.check_not_closed(holder)?;
        let holder = self.check_holding(holder, number, amount)?;
        let balance = &self.ledger.budgets[number.0 as usize];
        let billed = balance.billed.checked_add(amount.0);
        if billed.is_none_or(|billed| billed > balance.purchased) {
            return Err(OperationRefusal::HoldingShort);
        }
        self.record(SegmentRecord::Bill {
            request,
            budget: number,
            holder,
            amount: amount.0,
        });
        if let (true, Some(position)) = (is_ahead, position) {
            self.record(SegmentRecord::Ahead {
                holder,
                position,
                amount: amount.0,
            });
        }
        Ok(OperationResult::Billed {
            amount,
            first: true,
        })
    }

    /// Looks up by its position a bill whose request ID is already forgotten, and
    /// returns its result if it was decided before.
    fn bill_decided_at(
        &self,
        sender: &IncarnationId,
        holder: &IncarnationId,
        position: Option<u64>,
    ) -> Option<Decision> {
        let position = position?;
        let progress = self.ledger.holder_progress(holder)?;
        if let Some(amount) = progress.ahead.get(&position) {
            return Some(Ok(OperationResult::Billed {
                amount: TokenCount(*amount),
                first: true,
            }));
        }
        let is_late = sender != holder && position < progress.taken;
        is_late.then_some(Err(OperationRefusal::ResultForgotten))
    }

    fn top_up(
        &mut self,
        operation: OperationId,
        budget: &BudgetId,
        amount: TokenCount,
    ) -> Decision {
        let known = self.ledger.budget_number(budget);
        if let Some(earlier) = self.ledger.purchases.get(&operation) {
            if known != Some(earlier.budget) {
                return Err(OperationRefusal::IdReused);
            }
            return same_amount(*earlier, amount, OperationResult::ToppedUp);
        }
        if self.ledger.operations.contains_key(&operation) {
            return Err(OperationRefusal::IdReused);
        }
        let purchased = self.ledger.balance(budget).map_or(0, |b| b.purchased);
        let purchased = purchased.checked_add(amount.0);
        if purchased.is_none_or(|purchased| purchased > MAX_AMOUNT) {
            return Err(OperationRefusal::AmountTooLarge);
        }
        let number = known.unwrap_or_else(|| {
            let number = BudgetNumber(self.ledger.budgets.len() as u32);
            self.record(SegmentRecord::OpenBudget { id: budget.clone() });
            number
        });
        self.record(SegmentRecord::TopUp {
            operation,
            budget: number,
            amount: amount.0,
        });
        Ok(OperationResult::ToppedUp)
    }

    /// Marks a holder as closing.
    ///
    /// This also applies to an incarnation that is not a holder yet, since a
    /// message still in flight may refer to it later.
    fn close_holder(&mut self, holder: &IncarnationId) {
        if self.ledger.holder_state(holder).is_none_or(is_open) {
            let holder = self.open_holder(holder);
            self.record(SegmentRecord::CloseHolder { holder });
        }
    }

    fn budget(&self, budget: &BudgetId) -> Result<BudgetNumber, OperationRefusal> {
        let number = self.ledger.budget_number(budget);
        number.ok_or(OperationRefusal::BudgetUnknown)
    }

    /// Returns the earlier decision on `operation`, if its ID is remembered.
    fn find_earlier(
        &self,
        operation: OperationId,
        kind: OperationKind,
        budget: BudgetNumber,
    ) -> Result<Option<RememberedOperation>, OperationRefusal> {
        if self.ledger.purchases.contains_key(&operation) {
            return Err(OperationRefusal::IdReused);
        }
        match self.ledger.operations.get(&operation) {
            None => Ok(None),
            Some(earlier) if earlier.kind == kind && earlier.budget == budget => Ok(Some(*earlier)),
            Some(_) => Err(OperationRefusal::IdReused),
        }
    }

    pub(crate) fn check_sender(&self, sender: &IncarnationId) -> Result<(), OperationRefusal> {
        match self.ledger.holder_state(sender) {
            None | Some(HolderState::Open) => Ok(()),
            Some(HolderState::Closing | HolderState::Closed) => Err(OperationRefusal::HolderClosed),
        }
    }

    fn check_not_closed(&self, holder: &IncarnationId) -> Result<(), OperationRefusal> {
        match self.ledger.holder_state(holder) {
            Some(HolderState::Closed) => Err(OperationRefusal::HolderClosed),
            None | Some(HolderState::Open | HolderState::Closing) => Ok(()),
        }
    }

    /// Returns the holder number of `incarnation` if it holds at least `amount`.
    fn check_holding(
        &self,
        incarnation: &IncarnationId,
        budget: BudgetNumber,
        amount: TokenCount,
    ) -> Result<HolderNumber, OperationRefusal> {
        let number = self.ledger.holder_number(incarnation);
        let number = number.ok_or(OperationRefusal::HoldingShort)?;
        let held = self.ledger.budgets[budget.0 as usize].holding(number);
        let is_enough = u64::try_from(held).is_ok_and(|held| held >= amount.0);
        is_enough
            .then_some(number)
            .ok_or(OperationRefusal::HoldingShort)
    }

    pub(crate) fn open_holder(&mut self, incarnation: &IncarnationId) -> HolderNumber {
        self.ledger.holder_number(incarnation).unwrap_or_else(|| {
            let number = HolderNumber(self.ledger.holders.len() as u32);
            self.record(SegmentRecord::OpenHolder {
                incarnation: incarnation.clone(),
            });
            number
        })
    }

    pub(crate) fn incarnation(&self, holder: HolderNumber) -> IncarnationId {
        self.ledger.holders.keys()[holder.0 as usize].clone()
    }

    /// Applies a record whose validity the caller has checked.
    pub(crate) fn record(&mut self, record: SegmentRecord) {
        let result = self.ledger.apply_record(&record);
        debug_assert!(result.is_ok(), "invalid record {record:?}");
        self.records.push(record);
    }
}

fn is_open(state: HolderState) -> bool {
    state == HolderState::Open
}

fn same_amount(
    earlier: RememberedOperation,
    amount: TokenCount,
    result: OperationResult,
) -> Decision {
    if earlier.amount == amount.0 {
        Ok(result)
    } else {
        Err(OperationRefusal::IdReused)
    }
}
