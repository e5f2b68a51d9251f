//! The state of one shard, a function of its log alone.

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

/// How far an incarnation's use of the ledger has come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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
    /// Identifies the claim.
    pub attempt: OperationId,
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

/// Purchases whose ids a shard remembers; the oldest are forgotten first.
pub(crate) const MAX_PURCHASES: usize = 50_000;

/// Purchases that are forgotten together.
pub(crate) const PURCHASE_STEP: usize = 1_000;

/// Ended calls whose outcomes a shard remembers; the oldest go first.
///
/// By number and not by the retry window: a caller may ask for a booking again
/// hours later, and it must not run a second time then.
pub(crate) const MAX_CALLS: usize = 20_000;

/// Calls that are forgotten together.
pub(crate) const CALL_STEP: usize = 500;

/// The kind of operation that an operation id was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OperationKind {
    Grant,
    Return,
    Transfer,
    TopUp,
}

/// An operation whose id is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecentOperation {
    pub(crate) kind: OperationKind,
    pub(crate) budget: BudgetNumber,
    pub(crate) amount: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecentId {
    Bill(RequestId),
    Operation(OperationId),
    Outcome(RequestId),
}

/// How far the operations that a holder sends in order have been decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderProgress {
    /// The position after the last operation decided.
    pub taken: u64,
    /// The segment that last said so.
    pub contact: SegmentSequence,
    /// Amounts of bills that others posted, by the position at which the holder
    /// will post them.
    pub ahead: BTreeMap<u64, u64>,
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
    /// Without holders that are closed or keep no order.
    pub(crate) progress: BTreeMap<HolderNumber, HolderProgress>,
    pub(crate) intents: IndexMap<RequestId, CallIntent>,
    pub(crate) bills: IndexMap<RequestId, RecentBill>,
    pub(crate) operations: IndexMap<OperationId, RecentOperation>,
    /// Top-ups, oldest first. Operators keep no order and may repeat one after
    /// any time, so these ids outlast the retry window.
    pub(crate) purchases: IndexMap<OperationId, RecentOperation>,
    pub(crate) recent: VecDeque<(SegmentSequence, RecentId)>,
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

    /// Returns the position after the last of an incarnation's operations decided.
    pub fn taken(&self, incarnation: &IncarnationId) -> u64 {
        let progress = self.progress_of(incarnation);
        progress.map_or(0, |progress| progress.taken)
    }

    /// Returns the segment of the oldest last contact of a holder that keeps
    /// an order and is not closed.
    ///
    /// Such a holder may still bring bills that it made up to then, however
    /// late, so the ids of that time can't be forgotten yet.
    pub fn oldest_contact(&self) -> Option<SegmentSequence> {
        self.progress
            .values()
            .map(|progress| progress.contact)
            .min()
    }

    pub(crate) fn progress_of(&self, incarnation: &IncarnationId) -> Option<&HolderProgress> {
        self.progress.get(&self.number_of(incarnation)?)
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
}
