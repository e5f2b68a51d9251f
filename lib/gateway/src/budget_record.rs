//! The records of budgets in the configuration store: who holds how much.

use indexmap::IndexMap;
use rmp_serde::decode;
use rmp_serde::encode;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BootMoment;
use snipegate_types::TokenCount;

use crate::spending_pace::DatedPace;
use crate::spending_pace::SpendingPace;

/// Least use that is worth a write by itself.
const MIN_TOLD: TokenCount = TokenCount(2000);

/// What one run of one VM took from a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHolder {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// The run of its process.
    pub incarnation: u64,
    /// Number of the last ask of this run that was applied.
    pub sequence: u64,
    /// Tokens that it was granted and did not give back.
    pub granted: TokenCount,
    /// Tokens that it accounted for as used when it last asked.
    pub used: TokenCount,
    /// How fast it may spend the grant; `None` if it may spend all at once.
    #[serde(default)]
    pub pace: Option<DatedPace>,
}

impl BudgetHolder {
    /// Returns the most of the grant that the run can have spent, where a later run of
    /// its machine began at `end`.
    pub fn most_spent(&self, end: Option<BootMoment>) -> TokenCount {
        let by_pace = self
            .pace
            .zip(end)
            .and_then(|(pace, end)| pace.most_spent(end));
        by_pace.map_or(self.granted, |spent| spent.min(self.granted))
    }

    /// Returns what of the grant may be spent at once.
    fn ceiling(&self) -> TokenCount {
        match self.pace {
            Some(dated) => dated.pace.ceiling.min(self.granted),
            None => self.granted,
        }
    }
}

/// All that was ever taken from a budget.
///
/// What runs that ended without giving back may have spent of their grants counts as
/// used: by their pace, where a later run of their machine knows when they had ended,
/// and else all. No lease, and no clock that can be set, decides how much is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// Tokens of runs that ended.
    pub closed: TokenCount,
    /// Runs that may still use what they hold.
    pub holders: Vec<BudgetHolder>,
}

/// What a run wants to hold of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// The run of its process.
    pub incarnation: u64,
    /// Number of the ask; a later one replaces it.
    pub sequence: u64,
    /// Tokens that the run wants to hold in all.
    pub granted: TokenCount,
    /// Tokens that are used and that it accounts for.
    pub used: TokenCount,
    /// How fast it will spend the grant; `None` if it may spend all at once.
    pub pace: Option<DatedPace>,
    /// When the run began, after all earlier ones of its machine had ended.
    pub began: Option<BootMoment>,
}

/// What a record says of all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTotals {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// The revision of the record.
    pub revision: u64,
    /// Tokens that were taken by all.
    pub taken: TokenCount,
    /// Tokens that are used for good, as far as known.
    pub used: TokenCount,
}

/// What a run has to know of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// What it says of all VMs.
    pub totals: BudgetTotals,
    /// What the run holds.
    pub own_granted: TokenCount,
    /// What the record says that the run had used.
    pub own_used: TokenCount,
    /// Number of the run's last ask that was applied.
    pub own_sequence: u64,
    /// How fast the run may spend what it holds.
    pub own_pace: Option<SpendingPace>,
}

impl BudgetRecord {
    /// Returns all tokens that were taken.
    pub fn taken(&self) -> TokenCount {
        let held: TokenCount = self.holders.iter().map(|holder| holder.granted).sum();
        self.closed.saturating_add(held)
    }

    /// Returns the tokens that are known to be used for good.
    ///
    /// Use of tokens that a killed run had handed on is told besides its grant, so
    /// that the sum may be too high; it can't be more than was taken.
    pub fn used(&self) -> TokenCount {
        let used: TokenCount = self.holders.iter().map(|holder| holder.used).sum();
        self.closed.saturating_add(used).min(self.taken())
    }

    /// Returns what a run has to know.
    pub fn view(&self, workspace: u64, revision: u64, vm: u64, incarnation: u64) -> BudgetView {
        let own = self.holder(vm, incarnation);
        BudgetView {
            totals: BudgetTotals {
                workspace,
                revision,
                taken: self.taken(),
                used: self.used(),
            },
            own_granted: own.map_or(TokenCount::ZERO, |own| own.granted),
            own_used: own.map_or(TokenCount::ZERO, |own| own.used),
            own_sequence: own.map_or(0, |own| own.sequence),
            own_pace: own.and_then(|own| own.pace).map(|dated| dated.pace),
        }
    }

    /// Applies an ask as far as `prepaid` allows; tells whether anything changed.
    ///
    /// An ask that is older than the last one applied changes nothing, and neither
    /// does one that can't be granted and tells little that is new.
    pub fn apply(&mut self, ask: &GrantAsk, prepaid: TokenCount) -> bool {
        let own = self.holder(ask.vm, ask.incarnation).copied();
        if own.is_some_and(|own| own.sequence >= ask.sequence) {
            return false;
        }
        let is_vain = |own: BudgetHolder| {
            let spare = prepaid.saturating_sub(self.taken());
            let told = ask.used.saturating_sub(own.used);
            let ceiling = ask.pace.map_or(own.granted, |dated| dated.pace.ceiling);
            let is_faster = ceiling.min(own.granted) > own.ceiling();
            spare.is_zero() && ask.granted >= own.granted && told < MIN_TOLD && !is_faster
        };
        if own.is_some_and(is_vain) {
            return false;
        }
        self.close_earlier_runs(ask.vm, ask.incarnation, ask.began);
        let before = own.map_or(TokenCount::ZERO, |own| own.granted);
        let spare = prepaid.saturating_sub(self.taken());
        let granted = ask.granted.min(before.saturating_add(spare));
        self.holders.retain(|holder| holder.vm != ask.vm);
        self.holders.push(BudgetHolder {
            vm: ask.vm,
            incarnation: ask.incarnation,
            sequence: ask.sequence,
            granted,
            used: ask.used,
            pace: ask.pace,
        });
        true
    }

    /// Counts what earlier runs of a VM may have spent as used; tells whether there were
    /// any. `began` is when the run `incarnation` began.
    pub fn close_earlier_runs(
        &mut self,
        vm: u64,
        incarnation: u64,
        began: Option<BootMoment>,
    ) -> bool {
        let is_earlier = |other: &BudgetHolder| other.vm == vm && other.incarnation != incarnation;
        let earlier = self.holders.iter().filter(|other| is_earlier(other));
        let spent: TokenCount = earlier.map(|other| other.most_spent(began)).sum();
        self.closed = self.closed.saturating_add(spent);
        let before = self.holders.len();
        self.holders.retain(|other| !is_earlier(other));
        self.holders.len() < before
    }

    fn holder(&self, vm: u64, incarnation: u64) -> Option<&BudgetHolder> {
        self.holders
            .iter()
            .find(|holder| holder.vm == vm && holder.incarnation == incarnation)
    }
}

/// The records of several budgets, written together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShard {
    /// The records by the hash of the workspace's id.
    pub records: IndexMap<u64, BudgetRecord>,
}

impl BudgetShard {
    /// Decodes the records.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not records.
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the records.
    ///
    /// # Errors
    ///
    /// Fails only if memory does.
    pub fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Returns what a run has to know of a budget.
    pub fn view(&self, workspace: u64, revision: u64, vm: u64, incarnation: u64) -> BudgetView {
        match self.records.get(&workspace) {
            Some(record) => record.view(workspace, revision, vm, incarnation),
            None => BudgetRecord::default().view(workspace, revision, vm, incarnation),
        }
    }
}
