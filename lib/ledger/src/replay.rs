//! How records change a shard's ledger.

use snipegate_types::RequestId;

use crate::balance::BudgetBalance;
use crate::ledger::CALL_STEP;
use crate::ledger::CallIntent;
use crate::ledger::HolderState;
use crate::ledger::MAX_CALLS;
use crate::ledger::MAX_PURCHASES;
use crate::ledger::OperationKind;
use crate::ledger::PURCHASE_STEP;
use crate::ledger::RecentBill;
use crate::ledger::RecentId;
use crate::ledger::RecentOperation;
use crate::ledger::ShardLedger;
use crate::operation::CallOutcome;
use crate::record::BudgetNumber;
use crate::record::HolderNumber;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentRecord;
use crate::record::SegmentSequence;

impl ShardLedger {
    /// Starts the segment at `sequence`: the changes that follow belong to it.
    pub fn begin_segment(&mut self, sequence: SegmentSequence) {
        self.sequence = sequence;
    }

    /// Forgets the ids in segments before `forget_before`.
    pub fn forget_ids(&mut self, forget_before: SegmentSequence) {
        self.forget_before = self.forget_before.max(forget_before);
        while let Some((written, id)) = self.recent.front().copied() {
            if written >= self.forget_before {
                break;
            }
            self.recent.pop_front();
            self.forget(written, id);
        }
    }

    fn forget(&mut self, written: SegmentSequence, id: RecentId) {
        match id {
            RecentId::Bill(request) => drop(self.bills.swap_remove(&request)),
            RecentId::Operation(operation) => drop(self.operations.swap_remove(&operation)),
            RecentId::Outcome(request) => {
                let intent = self.intents.get(&request);
                let outcome = intent.and_then(|intent| intent.outcome.as_ref());
                // An outcome that tells whether the call ran outlasts the window.
                if outcome == Some(&(CallOutcome::NotRun, written)) {
                    self.intents.swap_remove(&request);
                }
            }
        }
    }

    /// Forgets the oldest ended calls where there are too many.
    fn limit_calls(&mut self) {
        if self.intents.len() < MAX_CALLS + CALL_STEP {
            return;
        }
        let mut excess = CALL_STEP;
        self.intents.retain(|_, intent| {
            let goes = excess > 0 && intent.outcome.is_some();
            excess -= usize::from(goes);
            !goes
        });
    }

    /// Takes in the segment at `sequence`.
    ///
    /// # Errors
    ///
    /// Fails if a record does not fit the ledger; the ledger is then of no use.
    pub fn replay(
        &mut self,
        sequence: SegmentSequence,
        segment: &Segment,
    ) -> Result<(), SegmentError> {
        self.begin_segment(sequence);
        segment.records.iter().try_for_each(|r| self.absorb(r))?;
        self.forget_ids(segment.forget_before);
        Ok(())
    }

    /// Takes in only the ids of a segment that a snapshot already covers.
    ///
    /// # Errors
    ///
    /// Fails if a record names a holder or budget that the snapshot lacks.
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
            .try_for_each(|record| self.remember(sequence, record))
    }

    /// Makes one change, as part of the segment begun last.
    pub(crate) fn absorb(&mut self, record: &SegmentRecord) -> Result<(), SegmentError> {
        self.change(record)?;
        self.remember(self.sequence, record)
    }

    fn change(&mut self, record: &SegmentRecord) -> Result<(), SegmentError> {
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
                balance.unassigned = less(balance.unassigned, *amount)?;
                balance.change_holding(*holder, signed(*amount)?)?;
            }
            Return {
                budget,
                holder,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.unassigned = more(balance.unassigned, *amount)?;
                balance.change_holding(*holder, -signed(*amount)?)?;
            }
            Transfer {
                budget,
                giver,
                receiver,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.change_holding(*giver, -signed(*amount)?)?;
                balance.change_holding(*receiver, signed(*amount)?)?;
            }
            Bill {
                budget,
                holder,
                amount,
                ..
            } => {
                let balance = self.balance_mut(*budget)?;
                balance.billed = more(balance.billed, *amount)?;
                balance.change_holding(*holder, -signed(*amount)?)?;
            }
            TopUp { budget, amount, .. } => {
                let balance = self.balance_mut(*budget)?;
                balance.purchased = more(balance.purchased, *amount)?;
                balance.unassigned = more(balance.unassigned, *amount)?;
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
                self.limit_calls();
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

    /// Moves what `holder` holds to unassigned and ends its open intents.
    ///
    /// A negative holding takes from unassigned as far as there is any; the
    /// rest stays as it is, matched by what its givers hold too much.
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

    /// Remembers the intents that ended with the reclaim of `holder` in the
    /// segment at `sequence`.
    fn remember_reclaimed(&mut self, sequence: SegmentSequence, holder: HolderNumber) {
        let ended = (CallOutcome::Unknown, sequence);
        let mut requests: Vec<RequestId> = self
            .intents
            .iter()
            .filter(|(_, intent)| intent.claimant == holder)
            .filter(|(_, intent)| intent.outcome.as_ref() == Some(&ended))
            .map(|(request, _)| *request)
            .collect();
        requests.sort_unstable();
        let ids = requests.into_iter().map(RecentId::Outcome);
        self.recent.extend(ids.map(|id| (sequence, id)));
    }

    fn remember(
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
                let bill = RecentBill {
                    budget: *budget,
                    holder: *holder,
                    amount: *amount,
                };
                self.bills.insert(*request, bill);
                self.recent.push_back((sequence, RecentId::Bill(*request)));
                return Ok(());
            }
            Conclude { request, .. } => {
                let id = RecentId::Outcome(*request);
                self.recent.push_back((sequence, id));
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
                self.remember_reclaimed(sequence, *holder);
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
        let operation = RecentOperation {
            kind,
            budget: *budget,
            amount: *amount,
        };
        if kind == OperationKind::TopUp {
            self.purchases.insert(*id, operation);
            if self.purchases.len() >= MAX_PURCHASES + PURCHASE_STEP {
                self.purchases.drain(..PURCHASE_STEP);
            }
            return Ok(());
        }
        self.operations.insert(*id, operation);
        self.recent.push_back((sequence, RecentId::Operation(*id)));
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

fn more(count: u64, amount: u64) -> Result<u64, SegmentError> {
    count.checked_add(amount).ok_or(SegmentError::BalanceBroken)
}

fn less(count: u64, amount: u64) -> Result<u64, SegmentError> {
    count.checked_sub(amount).ok_or(SegmentError::BalanceBroken)
}

fn signed(amount: u64) -> Result<i64, SegmentError> {
    i64::try_from(amount).map_err(|_| SegmentError::BalanceBroken)
}
