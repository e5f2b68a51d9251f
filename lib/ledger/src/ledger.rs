//! The state of one shard, which is determined by its log alone.

use std::collections::BTreeMap;
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

use crate::balance::BudgetBalance;
use crate::operation::CallOutcome;
use crate::record::BudgetNumber;
use crate::record::HolderNumber;
use crate::record::SegmentSequence;

/// Lifecycle state of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderState {
    /// The holder participates in the ledger.
    Open,
    /// The holder was declared dead or released its holdings; other routers may
    /// still post transfers and bills that they received from it.
    Closing,
    /// The holdings were reclaimed; no operation on the holder is accepted.
    Closed,
}

/// The claim on a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallIntent {
    /// The holder that claimed the call.
    pub claimant: HolderNumber,
    /// Identifies the claim.
    pub attempt: OperationId,
    /// The upstream that executes the call.
    pub upstream: UpstreamId,
    /// Digest of the call.
    pub digest: [u8; 16],
    /// The outcome and the segment that recorded it, once known.
    pub outcome: Option<(CallOutcome, SegmentSequence)>,
}

/// A bill whose request ID is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RememberedBill {
    pub(crate) budget: BudgetNumber,
    pub(crate) holder: HolderNumber,
    pub(crate) amount: u64,
}

/// Number of purchases whose IDs a shard remembers; the oldest are evicted first.
pub(crate) const MAX_REMEMBERED_PURCHASES: usize = 50_000;

/// Number of purchases evicted at once.
pub(crate) const PURCHASE_EVICTION_BATCH: usize = 1_000;

/// Number of calls that a shard remembers; the oldest concluded calls are evicted first.
///
/// The limit is a count rather than the retry window because a caller may retry
/// a booking hours later, and it must not be executed a second time.
pub(crate) const MAX_REMEMBERED_CALLS: usize = 20_000;

/// Number of concluded calls evicted at once.
pub(crate) const CALL_EVICTION_BATCH: usize = 500;

/// The kind of operation that an operation ID was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OperationKind {
    Grant,
    Return,
    Transfer,
    TopUp,
}

/// An operation whose ID is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RememberedOperation {
    pub(crate) kind: OperationKind,
    pub(crate) budget: BudgetNumber,
    pub(crate) amount: u64,
}

/// An ID that is forgotten after the retry window, by the kind of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpiringId {
    Bill(RequestId),
    Operation(OperationId),
    Outcome(RequestId),
}

/// How far the operations of an ordered sender have been decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderProgress {
    /// The position after the last decided operation.
    pub taken: u64,
    /// The segment with the latest [`SegmentRecord::Take`] record of the holder.
    ///
    /// [`SegmentRecord::Take`]: crate::SegmentRecord::Take
    pub contact: SegmentSequence,
    /// Amounts of bills that others posted for the holder, by the position at
    /// which the holder will post them itself.
    pub ahead: BTreeMap<u64, u64>,
}

/// The ledger of one shard.
///
/// It is changed only by applying records, so replaying a log gives an equal ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardLedger {
    pub(crate) sequence: SegmentSequence,
    pub(crate) forget_before: SegmentSequence,
    /// The index of an entry is its number, so entries are never removed.
    pub(crate) budgets: IndexMap<BudgetId, BudgetBalance>,
    /// The index of an entry is its number, so entries are never removed.
    pub(crate) holders: IndexMap<IncarnationId, HolderState>,
    /// Progress of the ordered senders that are not closed.
    pub(crate) progress: BTreeMap<HolderNumber, HolderProgress>,
    pub(crate) intents: IndexMap<RequestId, CallIntent>,
    pub(crate) bills: IndexMap<RequestId, RememberedBill>,
    pub(crate) operations: IndexMap<OperationId, RememberedOperation>,
    /// Top-ups, oldest first.
    ///
    /// Operators are unordered senders and may retry a top-up at any later time,
    /// so these IDs are remembered beyond the retry window.
    pub(crate) purchases: IndexMap<OperationId, RememberedOperation>,
    /// IDs to forget after the retry window, with the segment that recorded each.
    pub(crate) expiring_ids: VecDeque<(SegmentSequence, ExpiringId)>,
}

impl ShardLedger {
    /// Creates the ledger of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position of the last applied segment, or zero.
    pub fn sequence(&self) -> SegmentSequence {
        self.sequence
    }

    /// Returns the first segment whose IDs are remembered.
    pub fn forget_before(&self) -> SegmentSequence {
        self.forget_before
    }

    /// Returns the balances of a budget, or `None` if the budget does not exist.
    pub fn balance(&self, budget: &BudgetId) -> Option<&BudgetBalance> {
        self.budgets.get(budget)
    }

    /// Returns all budgets with their balances.
    pub fn balances(&self) -> impl Iterator<Item = (&BudgetId, &BudgetBalance)> {
        self.budgets.iter()
    }

    /// Returns the state of an incarnation, or `None` if it is not a holder.
    pub fn holder_state(&self, incarnation: &IncarnationId) -> Option<HolderState> {
        self.holders.get(incarnation).copied()
    }

    /// Returns the holders whose holdings are yet to be reclaimed.
    pub fn closing_holders(&self) -> impl Iterator<Item = &IncarnationId> {
        self.holders
            .iter()
            .filter(|(_, state)| **state == HolderState::Closing)
            .map(|(incarnation, _)| incarnation)
    }

    /// Returns the open holders.
    pub fn open_holders(&self) -> impl Iterator<Item = &IncarnationId> {
        self.holders
            .iter()
            .filter(|(_, state)| **state == HolderState::Open)
            .map(|(incarnation, _)| incarnation)
    }

    /// Returns the position after the last decided operation of an incarnation.
    pub fn taken(&self, incarnation: &IncarnationId) -> u64 {
        let progress = self.holder_progress(incarnation);
        progress.map_or(0, |progress| progress.taken)
    }

    /// Returns the earliest `contact` segment of all ordered senders that are not
    /// closed.
    ///
    /// Such a sender may still post bills that it created up to then, however
    /// late, so the IDs of the retry window before that segment can't be forgotten
    /// yet.
    pub fn oldest_contact(&self) -> Option<SegmentSequence> {
        self.progress
            .values()
            .map(|progress| progress.contact)
            .min()
    }

    pub(crate) fn holder_progress(&self, incarnation: &IncarnationId) -> Option<&HolderProgress> {
        self.progress.get(&self.holder_number(incarnation)?)
    }

    /// Returns the intent of a request, or `None` if it was not claimed.
    pub fn intent(&self, request: &RequestId) -> Option<&CallIntent> {
        self.intents.get(request)
    }

    /// Returns the number of tokens of a budget that an incarnation holds.
    pub fn holding(&self, budget: &BudgetId, incarnation: &IncarnationId) -> i64 {
        let Some(holder) = self.holder_number(incarnation) else {
            return 0;
        };
        self.balance(budget).map_or(0, |b| b.holding(holder))
    }

    /// Returns the open holders of a budget other than `except`, largest holding first.
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

    /// Returns whether the balances of every budget are consistent.
    pub fn is_conserved(&self) -> bool {
        self.budgets.values().all(BudgetBalance::is_conserved)
    }

    /// Returns the number of budgets.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the number of IDs remembered for the retry window.
    pub fn remembered_id_count(&self) -> usize {
        self.expiring_ids.len()
    }

    pub(crate) fn holder_number(&self, incarnation: &IncarnationId) -> Option<HolderNumber> {
        let index = self.holders.get_index_of(incarnation)?;
        Some(HolderNumber(index as u32))
    }

    pub(crate) fn budget_number(&self, budget: &BudgetId) -> Option<BudgetNumber> {
        let index = self.budgets.get_index_of(budget)?;
        Some(BudgetNumber(index as u32))
    }
}
