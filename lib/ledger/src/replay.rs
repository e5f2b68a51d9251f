//! Applies records to a shard's ledger.

use snipegate_types::RequestId;

use crate::balance::BudgetBalance;
use crate::ledger::CALL_EVICTION_BATCH;
use crate::ledger::CallIntent;
use crate::ledger::ExpiringId;
use crate::ledger::HolderState;
use crate::ledger::MAX_REMEMBERED_CALLS;
use crate::ledger::MAX_REMEMBERED_PURCHASES;
use crate::ledger::OperationKind;
use crate::ledger::PURCHASE_EVICTION_BATCH;
use crate::ledger::RememberedBill;
use crate::ledger::RememberedOperation;
use crate::ledger::ShardLedger;
use crate::operation::CallOutcome;
use crate::record::BudgetNumber;
use crate::record::HolderNumber;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentRecord;
use crate::record::SegmentSequence;

impl ShardLedger {
    /// Starts the segment at `sequence`, to which all following changes belong.
    pub fn begin_segment(&mut self, sequence: SegmentSequence) {
        self.sequence = sequence;
    }

    /// Forgets the IDs in segments before `forget_before`.
    pub fn forget_ids(&mut self, forget_before: SegmentSequence) {
        self.forget_before = self.forget_before.max(forget_before);
        while let Some((written, id)) = self.expiring_ids.front().copied() {
            if written >= self.forget_before {
                break;
            }
            self.expiring_ids.pop_front();
            self.forget_id(written, id);
        }
    }

    fn forget_id(&mut self, written: SegmentSequence, id: ExpiringId) {
        match id {
            ExpiringId::Bill(request) => drop(self.bills.swap_remove(&request)),
            ExpiringId::Operation(operation) => drop(self.operations.swap_remove(&operation)),
            ExpiringId::Outcome(request) => {
                let intent = self.intents.get(&request);
                let outcome = intent.and_then(|intent| intent.outcome.as_ref());
                // Calls that ran or may have run are remembered beyond the
                // retry window; only void intents are forgotten here.
                if outcome == Some(&(CallOutcome::NotRun, written)) {
                    self.intents.swap_remove(&request);
                }
            }
        }
    }

    /// Evicts the oldest concluded calls if there are too many calls.
    fn evict_concluded_calls(&mut self) {
        if self.intents.len() < MAX_REMEMBERED_CALLS + CALL_EVICTION_BATCH {
            return;
        }
        let mut excess = CALL_EVICTION_BATCH;
        self.intents.retain(|_, intent| {
            let is_evicted = excess > 0 && intent.outcome.is_some();
            excess -= usize::from(is_evicted);
            !is_evicted
        });
    }

    /// Applies the segment at `sequence`.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is inconsistent with the ledger, which must
    /// then be discarded.
    pub fn replay(
        &mut self,
        sequence: SegmentSequence,
        segment: &Segment,
    ) -> Result<(), SegmentError> {
        self.begin_segment(sequence);
        segment
            .records
            .iter()
            .try_for_each(|r| self.apply_record(r))?;
        self.forget_ids(segment.forget_before);
        Ok(())
    }

    /// Remembers the IDs of a segment whose other changes are covered by a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if a record refers to a holder or budget that is missing in
    /// the snapshot.
    pub fn replay_ids(
        &mut self,
        sequence: SegmentSequence,
        segment: &Segment,
    ) -> Result<(), SegmentError> {
        let is_covered = |record: &&SegmentRecord| matches!(record, SegmentRecord::TopUp { .. });
        segment
            .records
            .iter()
            .filter(|record| !is_covered(record))
            .try_for_each(|record| self.remember_record(sequence, record))
    }

    /// Applies one record as part of the current segment.
    pub(crate) fn apply_record(&mut self, record: &SegmentRecord) -> Result<(), SegmentError> {
        self.apply_change(record)?;
        self.remember_record(self.sequence, record)
    }

    fn apply_change(&mut self, record: &SegmentRecord) -> Result<(), SegmentError> {
        use SegmentRecord::*;
        match record {
            OpenHolder { incarnation } => {
                self.holders.insert(incarnation.clone(), HolderState::Open);
            }
            OpenBudget { id } => {
                self.budgets.insert(id.clone(), BudgetBalance::default());
            }
            Grant {
                budget,
                holder,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.unassigned = checked_sub_amount(balance.unassigned, *amount)?;
                balance.change_holding(*holder, to_signed(*amount)?)?;
            }
            Return {
                budget,
                holder,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.unassigned = checked_add_amount(balance.unassigned, *amount)?;
                balance.change_holding(*holder, -to_signed(*amount)?)?;
            }
            Transfer {
                budget,
                giver,
                receiver,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.change_holding(*giver, -to_signed(*amount)?)?;
                balance.change_holding(*receiver, to_signed(*amount)?)?;
            }
            Bill {
                budget,
                holder,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.billed = checked_add_amount(balance.billed, *amount)?;
                balance.change_holding(*holder, -to_signed(*amount)?)?;
            }
            TopUp { budget, amount, .. } => {
                let balance = self.balance_mut(*budget)?;
                balance.purchased = checked_add_amount(balance.purchased, *amount)?;
                balance.unassigned = checked_add_amount(balance.unassigned, *amount)?;
            }
            Intend {
                request,
                claimant,
                attempt,
                upstream,
                digest,
            } => {
                let intent = CallIntent {
                    claimant: *claimant,
                    attempt: *attempt,
                    upstream: upstream.clone(),
                    digest: *digest,
                    outcome: None,
                };
                self.intents.insert(*request, intent);
                self.evict_concluded_calls();
            }
            Conclude { request, outcome } => {
                let intent = self.intents.get_mut(request);
                let intent = intent.ok_or(SegmentError::UnknownReference)?;
                intent.outcome = Some((outcome.clone(), self.sequence));
            }
            Take { holder, position } => {
                let progress = self.progress.entry(*holder).or_default();
                progress.taken = progress.taken.max(*position);
                progress.contact = self.sequence;
                progress.ahead = progress.ahead.split_off(position);
            }
            Ahead {
                holder,
                position,
                amount,
            } => {
                let progress = self.progress.entry(*holder).or_default();
                progress.ahead.insert(*position, *amount);
            }
            CloseHolder { holder } => *self.holder_mut(*holder)? = HolderState::Closing,
            Reclaim { holder } => self.reclaim(*holder)?,
        }
        Ok(())
    }

    /// Moves the holdings of `holder` to unassigned and ends its open intents with
    /// an unknown outcome.
    ///
    /// A negative holding is covered from unassigned as far as possible. The rest
    /// stays negative; it is balanced by the surplus of the holders whose transfers
    /// to this one were not recorded.
    fn reclaim(&mut self, holder: HolderNumber) -> Result<(), SegmentError> {
        *self.holder_mut(holder)? = HolderState::Closed;
        self.progress.remove(&holder);
        for balance in self.budgets.values_mut() {
            let held = balance.holding(holder);
            let moved = held.max(-i64::try_from(balance.unassigned).unwrap_or(i64::MAX));
            balance.unassigned = balance
                .unassigned
                .checked_add_signed(moved)
                .ok_or(SegmentError::BalanceBroken)?;
            balance.change_holding(holder, -moved)?;
        }
        let open = |intent: &CallIntent| intent.claimant == holder && intent.outcome.is_none();
        for intent in self.intents.values_mut().filter(|intent| open(intent)) {
            intent.outcome = Some((CallOutcome::Unknown, self.sequence));
        }
        Ok(())
    }

    /// Remembers the IDs of the calls that ended when `holder` was reclaimed in
    /// the segment at `sequence`.
    fn remember_reclaimed_calls(&mut self, sequence: SegmentSequence, holder: HolderNumber) {
        let ended = (CallOutcome::Unknown, sequence);
        let mut requests: Vec<RequestId> = self
            .intents
            .iter()
            .filter(|(_, intent)| intent.claimant == holder)
            .filter(|(_, intent)| intent.outcome.as_ref() == Some(&ended))
            .map(|(request, _)| *request)
            .collect();
        requests.sort_unstable();
        let ids = requests.into_iter().map(ExpiringId::Outcome);
        self.expiring_ids.extend(ids.map(|id| (sequence, id)));
    }

    fn remember_record(
        &mut self,
        sequence: SegmentSequence,
        record: &SegmentRecord,
    ) -> Result<(), SegmentError> {
        use SegmentRecord::*;
        let (id, kind, budget, amount) = match record {
            Bill {
                request,
                budget,
                holder,
                amount,
            } => {
                let bill = RememberedBill {
                    budget: *budget,
                    holder: *holder,
                    amount: *amount,
                };
                self.bills.insert(*request, bill);
                self.expiring_ids
                    .push_back((sequence, ExpiringId::Bill(*request)));
                return Ok(());
            }
            Conclude { request, .. } => {
                let id = ExpiringId::Outcome(*request);
                self.expiring_ids.push_back((sequence, id));
                return Ok(());
            }
            Grant {
                operation,
                budget,
                amount,
                ..
            } => (operation, OperationKind::Grant, budget, amount),
            Return {
                operation,
                budget,
                amount,
                ..
            } => (operation, OperationKind::Return, budget, amount),
            Transfer {
                transfer,
                budget,
                amount,
                ..
            } => (transfer, OperationKind::Transfer, budget, amount),
            TopUp {
                operation,
                budget,
                amount,
            } => (operation, OperationKind::TopUp, budget, amount),
            Reclaim { holder } => {
                self.remember_reclaimed_calls(sequence, *holder);
                return Ok(());
            }
            OpenHolder { .. }
            | OpenBudget { .. }
            | Intend { .. }
            | Take { .. }
            | Ahead { .. }
            | CloseHolder { .. } => {
                return Ok(());
            }
        };
        let operation = RememberedOperation {
            kind,
            budget: *budget,
            amount: *amount,
        };
        if kind == OperationKind::TopUp {
            self.purchases.insert(*id, operation);
            if self.purchases.len() >= MAX_REMEMBERED_PURCHASES + PURCHASE_EVICTION_BATCH {
                self.purchases.drain(..PURCHASE_EVICTION_BATCH);
            }
            return Ok(());
        }
        self.operations.insert(*id, operation);
        self.expiring_ids
            .push_back((sequence, ExpiringId::Operation(*id)));
        Ok(())
    }

    fn balance_mut(&mut self, budget: BudgetNumber) -> Result<&mut BudgetBalance, SegmentError> {
        self.budgets
            .get_index_mut(budget.0 as usize)
            .map(|(_, balance)| balance)
            .ok_or(SegmentError::UnknownReference)
    }

    fn holder_mut(&mut self, holder: HolderNumber) -> Result<&mut HolderState, SegmentError> {
        self.holders
            .get_index_mut(holder.0 as usize)
            .map(|(_, state)| state)
            .ok_or(SegmentError::UnknownReference)
    }
}

fn checked_add_amount(count: u64, amount: u64) -> Result<u64, SegmentError> {
    count.checked_add(amount).ok_or(SegmentError::BalanceBroken)
}

fn checked_sub_amount(count: u64, amount: u64) -> Result<u64, SegmentError> {
    count.checked_sub(amount).ok_or(SegmentError::BalanceBroken)
}

fn to_signed(amount: u64) -> Result<i64, SegmentError> {
    i64::try_from(amount).map_err(|_| SegmentError::BalanceBroken)
}
