//! The state of one shard, a function of its log alone.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

use crate::operation::CallOutcome;
use crate::record::BudgetNumber;
use crate::record::HolderNumber;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentRecord;
use crate::record::SegmentSequence;

/// The balances of one budget.
///
/// INVARIANT: `purchased == billed + unassigned + sum of holdings`, and
/// `billed <= purchased`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetBalance {
    /// Tokens bought so far.
    pub purchased: u64,
    /// Tokens billed so far.
    pub billed: u64,
    /// Tokens that nobody holds.
    pub unassigned: u64,
    /// What each holder holds, without those that hold nothing.
    ///
    /// An amount is negative while the holder has given away tokens whose
    /// transfer to it is not noted yet.
    pub holdings: Vec<(HolderNumber, i64)>,
}

impl BudgetBalance {
    /// Returns what `holder` holds.
    pub fn holding(&self, holder: HolderNumber) -> i64 {
        self.holdings
            .iter()
            .find(|(number, _)| *number == holder)
            .map_or(0, |(_, amount)| *amount)
    }

    fn change_holding(&mut self, holder: HolderNumber, change: i64) -> Result<(), SegmentError> {
        let position = self.holdings.iter().position(|(h, _)| *h == holder);
        let before = position.map_or(0, |p| self.holdings[p].1);
        let after = before
            .checked_add(change)
            .ok_or(SegmentError::BalanceBroken)?;
        match position {
            Some(position) if after == 0 => drop(self.holdings.swap_remove(position)),
            Some(position) => self.holdings[position].1 = after,
            None if after == 0 => {}
            None => self.holdings.push((holder, after)),
        }
        Ok(())
    }

    /// Tells whether the invariant holds.
    pub fn is_conserved(&self) -> bool {
        let held: i128 = self.holdings.iter().map(|(_, a)| i128::from(*a)).sum();
        let total = i128::from(self.billed) + i128::from(self.unassigned) + held;
        total == i128::from(self.purchased) && self.billed <= self.purchased
    }
}

/// How far an incarnation's use of the ledger has come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HolderState {
    /// Takes part.
    Open,
    /// Declared dead or released; others still post what they have from it.
    Closing,
    /// Reclaimed; nothing that names it is accepted.
    Closed,
}

/// A call that may not be repeated, as claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallIntent {
    /// Who claimed it.
    pub claimant: HolderNumber,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// Digest of the call.
    pub digest: [u8; 16],
    /// How it ended, and the segment that says so.
    pub outcome: Option<(CallOutcome, SegmentSequence)>,
}

/// A bill within the retry window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecentBill {
    pub(crate) budget: BudgetNumber,
    pub(crate) holder: HolderNumber,
    pub(crate) amount: u64,
}

/// The kind of operation that an operation id was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationKind {
    Grant,
    Return,
    Transfer,
    TopUp,
}

/// An operation within the retry window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecentOperation {
    pub(crate) kind: OperationKind,
    pub(crate) budget: BudgetNumber,
    pub(crate) amount: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecentId {
    Bill(RequestId),
    Operation(OperationId),
    Outcome(RequestId),
}

/// The ledger of one shard.
///
/// It changes by records only, so that replaying a log gives an equal ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardLedger {
    pub(crate) sequence: SegmentSequence,
    pub(crate) forget_before: SegmentSequence,
    /// The position of an entry is its number, so none is ever removed.
    pub(crate) budgets: IndexMap<BudgetId, BudgetBalance>,
    /// The position of an entry is its number, so none is ever removed.
    pub(crate) holders: IndexMap<IncarnationId, HolderState>,
    pub(crate) intents: IndexMap<RequestId, CallIntent>,
    pub(crate) bills: IndexMap<RequestId, RecentBill>,
    pub(crate) operations: IndexMap<OperationId, RecentOperation>,
    recent: VecDeque<(SegmentSequence, RecentId)>,
}

impl ShardLedger {
    /// Makes the ledger of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position of the last segment taken in, or zero.
    pub fn sequence(&self) -> SegmentSequence {
        self.sequence
    }

    /// Returns the first segment whose ids are remembered.
    pub fn forget_before(&self) -> SegmentSequence {
        self.forget_before
    }

    /// Returns a budget's balances.
    pub fn balance(&self, budget: &BudgetId) -> Option<&BudgetBalance> {
        self.budgets.get(budget)
    }

    /// Returns every budget with its balances.
    pub fn balances(&self) -> impl Iterator<Item = (&BudgetId, &BudgetBalance)> {
        self.budgets.iter()
    }

    /// Returns the state of an incarnation that the ledger knows.
    pub fn holder_state(&self, incarnation: &IncarnationId) -> Option<HolderState> {
        self.holders.get(incarnation).copied()
    }

    /// Returns the holders that wait for their reclaim.
    pub fn closing_holders(&self) -> impl Iterator<Item = &IncarnationId> {
        self.holders
            .iter()
            .filter(|(_, state)| **state == HolderState::Closing)
            .map(|(incarnation, _)| incarnation)
    }

    /// Returns the holders that take part.
    pub fn open_holders(&self) -> impl Iterator<Item = &IncarnationId> {
        self.holders
            .iter()
            .filter(|(_, state)| **state == HolderState::Open)
            .map(|(incarnation, _)| incarnation)
    }

    /// Returns the intent of a request.
    pub fn intent(&self, request: &RequestId) -> Option<&CallIntent> {
        self.intents.get(request)
    }

    /// Returns what an incarnation holds of a budget.
    pub fn holding(&self, budget: &BudgetId, incarnation: &IncarnationId) -> i64 {
        let Some(holder) = self.number_of(incarnation) else {
            return 0;
        };
        self.balance(budget).map_or(0, |b| b.holding(holder))
    }

    /// Returns the open holders of a budget but `except`, largest holding first.
    pub fn largest_holders(
        &self,
        budget: &BudgetId,
        except: &IncarnationId,
    ) -> Vec<(IncarnationId, TokenCount)> {
        let Some(balance) = self.balance(budget) else {
            return Vec::new();
        };
        let mut holders: Vec<_> = balance
            .holdings
            .iter()
            .filter_map(|(number, amount)| {
                let (incarnation, state) = self.holders.get_index(number.0 as usize)?;
                let amount = u64::try_from(*amount).ok()?;
                (*state == HolderState::Open && incarnation != except)
                    .then(|| (incarnation.clone(), TokenCount(amount)))
            })
            .collect();
        holders.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        holders
    }

    /// Tells whether every budget's balances add up.
    pub fn is_conserved(&self) -> bool {
        self.budgets.values().all(BudgetBalance::is_conserved)
    }

    /// Returns the number of budgets.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the number of request and operation ids remembered.
    pub fn recent_count(&self) -> usize {
        self.recent.len()
    }

    pub(crate) fn number_of(&self, incarnation: &IncarnationId) -> Option<HolderNumber> {
        let index = self.holders.get_index_of(incarnation)?;
        Some(HolderNumber(index as u32))
    }

    pub(crate) fn budget_number(&self, budget: &BudgetId) -> Option<BudgetNumber> {
        let index = self.budgets.get_index_of(budget)?;
        Some(BudgetNumber(index as u32))
    }

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
                if outcome.is_some_and(|(_, concluded)| *concluded == written) {
                    self.intents.swap_remove(&request);
                }
            }
        }
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
        segment
            .records
            .iter()
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
                upstream,
                digest,
            } => {
                let intent = CallIntent {
                    claimant: *claimant,
                    upstream: upstream.clone(),
                    digest: *digest,
                    outcome: None,
                };
                self.intents.insert(*request, intent);
            }
            Conclude { request, outcome } => {
                let intent = self.intents.get_mut(request);
                let intent = intent.ok_or(SegmentError::UnknownReference)?;
                intent.outcome = Some((outcome.clone(), self.sequence));
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
            OpenHolder { .. } | OpenBudget { .. } | Intend { .. } | CloseHolder { .. } => {
                return Ok(());
            }
        };
        let operation = RecentOperation {
            kind,
            budget: *budget,
            amount: *amount,
        };
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
