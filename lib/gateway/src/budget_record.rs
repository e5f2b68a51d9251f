//! Budget records in the configuration store: how many tokens of each budget are
//! granted to which VM.

use indexmap::IndexMap;
use rmp_serde::decode;
use rmp_serde::encode;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use crate::spending_pace::DatedPace;
use crate::spending_pace::SpendingPace;

/// Use below this amount is not written to the record on its own.
const MIN_REPORTED_USE: TokenCount = TokenCount(2000);

/// The grant of one process (incarnation) of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHolder {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// Sequence number of the last applied grant request of this process.
    pub sequence: u64,
    /// Tokens granted and not returned.
    pub granted: TokenCount,
    /// Tokens reported as used in the last applied grant request.
    pub used: TokenCount,
    /// Limit on how fast the grant may be spent; `None` if all of it may be spent at
    /// once.
    #[serde(default)]
    pub pace: Option<DatedPace>,
}

impl BudgetHolder {
    /// Returns an upper bound on the tokens that the process can have spent of its
    /// grant, where a later process of the same machine started at `end`.
    pub fn max_spent(&self, end: Option<BootTimestamp>) -> TokenCount {
        let by_pace = self
            .pace
            .zip(end)
            .and_then(|(pace, end)| pace.max_spent(end));
        by_pace.map_or(self.granted, |spent| spent.min(self.granted))
    }

    /// Returns the part of the grant that may be spent immediately.
    fn ceiling(&self) -> TokenCount {
        match self.pace {
            Some(dated) => dated.pace.ceiling.min(self.granted),
            None => self.granted,
        }
    }
}

/// All tokens that were ever taken from a budget.
///
/// Tokens that processes may have spent before they ended without returning their grant
/// count as used. Where a later process on the same machine gives an upper bound for
/// the end time, the pace bounds this amount; otherwise the whole grant counts. The
/// remaining amount depends neither on leases nor on a clock that can be adjusted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// Tokens counted as used for processes that have ended.
    pub closed: TokenCount,
    /// Processes that may still spend their grant.
    pub holders: Vec<BudgetHolder>,
}

/// A process's request to set the size of its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// Sequence number; a request with a higher number replaces earlier ones.
    pub sequence: u64,
    /// Total number of tokens that the process requests to hold.
    pub granted: TokenCount,
    /// Used tokens that the process accounts for.
    pub used: TokenCount,
    /// Limit on how fast the process will spend the grant; `None` if it may spend all
    /// of it at once.
    pub pace: Option<DatedPace>,
    /// Start time of the process; all earlier processes of its machine had ended by
    /// then.
    pub began: Option<BootTimestamp>,
}

/// Totals of a budget record over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTotals {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Store revision of the record.
    pub revision: u64,
    /// Tokens taken by all VMs.
    pub taken: TokenCount,
    /// Tokens known to be used.
    pub used: TokenCount,
}

/// The parts of a budget record that one process needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// Totals over all VMs.
    pub totals: BudgetTotals,
    /// Tokens granted to this process.
    pub own_granted: TokenCount,
    /// Use by this process according to the record.
    pub own_used: TokenCount,
    /// Sequence number of the last applied grant request of this process.
    pub own_sequence: u64,
    /// Limit on how fast this process may spend its grant.
    pub own_pace: Option<SpendingPace>,
}

impl BudgetRecord {
    /// Returns the tokens of all current grants and of all ended processes.
    pub fn taken(&self) -> TokenCount {
        let held: TokenCount = self.holders.iter().map(|holder| holder.granted).sum();
        self.closed.saturating_add(held)
    }

    /// Returns the tokens that are known to be used.
    ///
    /// A killed process's whole grant can count as used while the VMs that received
    /// tokens from it also report their use, so the sum may be too high. It is capped
    /// at the tokens taken.
    pub fn used(&self) -> TokenCount {
        let used: TokenCount = self.holders.iter().map(|holder| holder.used).sum();
        self.closed.saturating_add(used).min(self.taken())
    }

    /// Returns the view of the record for one process.
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

    /// Applies a grant request, limited by `prepaid`; returns whether the record
    /// changed.
    ///
    /// A request that is not newer than the last applied one is ignored. So is a request
    /// that neither changes the grant nor allows faster spending while the budget has
    /// nothing left to grant, unless it reports enough new use to justify a write.
    pub fn apply(&mut self, request: &GrantRequest, prepaid: TokenCount) -> bool {
        let own = self.holder(request.vm, request.incarnation).copied();
        if own.is_some_and(|own| own.sequence >= request.sequence) {
            return false;
        }
        let is_redundant = |own: BudgetHolder| {
            let spare = prepaid.saturating_sub(self.taken());
            let newly_used = request.used.saturating_sub(own.used);
            let ceiling = request.pace.map_or(own.granted, |dated| dated.pace.ceiling);
            let is_faster = ceiling.min(own.granted) > own.ceiling();
            spare.is_zero()
                && request.granted >= own.granted
                && newly_used < MIN_REPORTED_USE
                && !is_faster
        };
        if own.is_some_and(is_redundant) {
            return false;
        }
        self.close_earlier_runs(request.vm, request.incarnation, request.began);
        let before = own.map_or(TokenCount::ZERO, |own| own.granted);
        let spare = prepaid.saturating_sub(self.taken());
        let granted = request.granted.min(before.saturating_add(spare));
        self.holders.retain(|holder| holder.vm != request.vm);
        self.holders.push(BudgetHolder {
            vm: request.vm,
            incarnation: request.incarnation,
            sequence: request.sequence,
            granted,
            used: request.used,
            pace: request.pace,
        });
        true
    }

    /// Counts tokens that earlier processes of a VM may have spent as used and removes
    /// their grants; returns whether there were any. `began` is the start time of the
    /// process `incarnation`.
    pub fn close_earlier_runs(
        &mut self,
        vm: u64,
        incarnation: u64,
        began: Option<BootTimestamp>,
    ) -> bool {
        let is_earlier = |other: &BudgetHolder| other.vm == vm && other.incarnation != incarnation;
        let earlier = self.holders.iter().filter(|other| is_earlier(other));
        let spent: TokenCount = earlier.map(|other| other.max_spent(began)).sum();
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

/// The records of several budgets, stored under one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShard {
    /// Budget records, keyed by the hash of the workspace id.
    pub records: IndexMap<u64, BudgetRecord>,
}

impl BudgetShard {
    /// Decodes the records from MessagePack.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid budget records.
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the records as MessagePack.
    ///
    /// # Errors
    ///
    /// Fails only if memory cannot be allocated.
    pub fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Returns the view of a workspace's budget for one process.
    pub fn view(&self, workspace: u64, revision: u64, vm: u64, incarnation: u64) -> BudgetView {
        match self.records.get(&workspace) {
            Some(record) => record.view(workspace, revision, vm, incarnation),
            None => BudgetRecord::default().view(workspace, revision, vm, incarnation),
        }
    }
}
