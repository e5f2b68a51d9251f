//! The records of budgets in the configuration store: who holds how much.

use indexmap::IndexMap;
use rmp_serde::decode;
use rmp_serde::encode;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::TokenCount;

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
}

/// All that was ever taken from a budget.
///
/// Grants of runs that ended without giving back count as used, so no clock and
/// no lease decides how much is left.
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
            spare.is_zero() && ask.granted >= own.granted && told < MIN_TOLD
        };
        if own.is_some_and(is_vain) {
            return false;
        }
        self.close_earlier_runs(ask);
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
        });
        true
    }

    /// Counts the grants of earlier runs of the asker's VM as used.
    fn close_earlier_runs(&mut self, ask: &GrantAsk) {
        let is_earlier =
            |other: &BudgetHolder| other.vm == ask.vm && other.incarnation != ask.incarnation;
        let earlier: TokenCount = self
            .holders
            .iter()
            .filter(|other| is_earlier(other))
            .map(|other| other.granted)
            .sum();
        self.closed = self.closed.saturating_add(earlier);
        self.holders.retain(|other| !is_earlier(other));
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
