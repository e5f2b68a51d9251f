//! Budget records in the configuration store: how many tokens of each budget are
//! granted to which VM.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use crate::spending_pace::DatedPace;
use crate::spending_pace::SpendingPace;
use crate::spending_witness::SpendingTestimony;
use crate::spending_witness::WitnessRef;

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

    /// Returns the witness of the process's spending.
    pub fn witness(&self) -> Option<WitnessRef> {
        self.pace.and_then(|dated| dated.witness)
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
    /// Tokens counted as used for processes that have ended, of VMs that are not recorded.
    pub closed: TokenCount,
    /// Processes that may still spend their grant.
    pub holders: Vec<BudgetHolder>,
    /// Processes of earlier eras of the store, with grants that may be outdated, as long as no
    /// process of their VM has written in this era.
    #[serde(default)]
    pub former: Vec<BudgetHolder>,
    /// Tokens that VMs may hold by grants that the store lost in this era. A process of the VM
    /// that holds some claims them.
    #[serde(default)]
    pub unclaimed: Vec<UnclaimedTokens>,
    /// Tokens counted as used for processes that have ended, by VM.
    #[serde(default)]
    pub ended: Vec<EndedTokens>,
}

/// Tokens counted as used for the ended processes of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTokens {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// Tokens that a VM may hold by grants that the store lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnclaimedTokens {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Number of tokens.
    pub tokens: TokenCount,
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
    /// Era of the store that the request is for; it is ignored in any other.
    pub era: StoreEra,
    /// Sequence number; a request with a higher number replaces earlier ones.
    pub sequence: u64,
    /// Tokens granted to the process in an earlier era, if the record of this era does not
    /// show the process yet.
    pub claimed: TokenCount,
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

/// Limits on a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantLimit {
    /// Most tokens that may be taken in all.
    pub total: TokenCount,
    /// Most tokens that the process may be granted.
    pub own: TokenCount,
}

impl GrantLimit {
    /// Creates the limits of a VM that may be granted all of a budget.
    pub fn whole(prepaid: TokenCount) -> Self {
        Self {
            total: prepaid,
            own: prepaid,
        }
    }

    /// Returns the tokens that can be granted where `taken` are taken, of them `own` by the
    /// process itself.
    pub fn grantable(self, taken: TokenCount, own: TokenCount) -> TokenCount {
        let total = self.total.saturating_sub(taken);
        total.min(self.own.saturating_sub(own))
    }
}

/// Totals of a budget record over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTotals {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Store revision of the record.
    pub revision: StoreRevision,
    /// Tokens taken by all VMs.
    pub taken: TokenCount,
    /// Tokens known to be used.
    pub used: TokenCount,
    /// Most tokens that may be taken now, where it is less than the size of the budget.
    pub limit: TokenCount,
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
    /// Witness of this process's spending.
    pub own_witness: Option<WitnessRef>,
}

impl BudgetRecord {
    /// Returns the tokens of all current grants, of all ended processes, and of grants that
    /// the store may have lost.
    pub fn taken(&self) -> TokenCount {
        let holders = self.holders.iter().chain(&self.former);
        let held: TokenCount = holders.map(|holder| holder.granted).sum();
        let unclaimed: TokenCount = self.unclaimed.iter().map(|lost| lost.tokens).sum();
        self.closed_total()
            .saturating_add(unclaimed)
            .saturating_add(held)
    }

    /// Returns the tokens counted as used for processes that have ended, of all VMs.
    pub fn closed_total(&self) -> TokenCount {
        let ended: TokenCount = self.ended.iter().map(|ended| ended.tokens).sum();
        self.closed.saturating_add(ended)
    }

    /// Returns the tokens counted as used for the ended processes of a VM.
    pub fn ended_of(&self, vm: u64) -> TokenCount {
        let ended = self.ended.iter().find(|ended| ended.vm == vm);
        ended.map_or(TokenCount::ZERO, |ended| ended.tokens)
    }

    /// Sets the tokens counted as used for the ended processes of a VM.
    pub fn set_ended(&mut self, vm: u64, tokens: TokenCount) {
        self.ended.retain(|ended| ended.vm != vm);
        if !tokens.is_zero() {
            self.ended.push(EndedTokens { vm, tokens });
        }
    }

    /// Counts more tokens as used for the ended processes of a VM.
    pub fn add_ended(&mut self, vm: u64, tokens: TokenCount) {
        self.set_ended(vm, self.ended_of(vm).saturating_add(tokens));
    }

    /// Drops which VMs' ended processes used tokens; the tokens still count as used.
    pub fn merge_ended(&mut self) {
        self.closed = self.closed_total();
        self.ended.clear();
    }

    /// Returns the tokens that are known to be used.
    ///
    /// A killed process's whole grant can count as used while the VMs that received
    /// tokens from it also report their use, so the sum may be too high. It is capped
    /// at the tokens taken.
    pub fn used(&self) -> TokenCount {
        let holders = self.holders.iter().chain(&self.former);
        let used: TokenCount = holders.map(|holder| holder.used).sum();
        self.closed_total().saturating_add(used).min(self.taken())
    }

    /// Returns the view of the record for one process.
    pub fn view(
        &self,
        workspace: u64,
        revision: StoreRevision,
        vm: u64,
        incarnation: u64,
    ) -> BudgetView {
        let own = self.holder(vm, incarnation);
        BudgetView {
            totals: BudgetTotals {
                workspace,
                revision,
                taken: self.taken(),
                used: self.used(),
                limit: TokenCount(u64::MAX),
            },
            own_granted: own.map_or(TokenCount::ZERO, |own| own.granted),
            own_used: own.map_or(TokenCount::ZERO, |own| own.used),
            own_sequence: own.map_or(0, |own| own.sequence),
            own_pace: own.and_then(|own| own.pace).map(|dated| dated.pace),
            own_witness: own.and_then(BudgetHolder::witness),
        }
    }

    /// Applies a grant request; returns whether the record changed. The process is granted at
    /// most `limit.own`, and all together at most `limit.total`, except for what it claims.
    ///
    /// A request that is not newer than the last applied one is ignored. So is a request
    /// that neither changes the grant nor allows faster spending while the budget has
    /// nothing left to grant, unless it reports enough new use to justify a write.
    pub fn apply(&mut self, request: &GrantRequest, limit: GrantLimit) -> bool {
        let own = self.holder(request.vm, request.incarnation).copied();
        if own.is_some_and(|own| own.sequence >= request.sequence) {
            return false;
        }
        let is_redundant = |own: BudgetHolder| {
            let spare = limit.grantable(self.taken(), own.granted);
            let newly_used = request.used.saturating_sub(own.used);
            let ceiling = request.pace.map_or(own.granted, |dated| dated.pace.ceiling);
            let is_faster = ceiling.min(own.granted) > own.ceiling();
            spare.is_zero()
                && request.granted >= own.granted
                && newly_used < MIN_REPORTED_USE
                && !is_faster
                && request.pace.and_then(|dated| dated.witness) == own.witness()
        };
        if own.is_some_and(is_redundant) {
            return false;
        }
        self.close_earlier_runs(request.vm, request.incarnation, request.began);
        let taken = self.taken();
        let before = match own {
            Some(own) => own.granted,
            None => self.take_claim(request),
        };
        let spare = limit.grantable(taken, before);
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
        let all = self.holders.iter().chain(&self.former);
        let earlier = all.filter(|other| is_earlier(other));
        let spent: TokenCount = earlier.map(|other| other.max_spent(began)).sum();
        self.add_ended(vm, spent);
        let before = self.holders.len() + self.former.len();
        self.holders.retain(|other| !is_earlier(other));
        self.former.retain(|other| !is_earlier(other));
        self.holders.len() + self.former.len() < before
    }

    /// Removes what the record shows of the process in earlier eras, and returns the grant that
    /// it claims from them.
    fn take_claim(&mut self, request: &GrantRequest) -> TokenCount {
        let is_own = |holder: &BudgetHolder| {
            holder.vm == request.vm && holder.incarnation == request.incarnation
        };
        let shown = self.former.iter().find(|holder| is_own(holder));
        let shown = shown.map_or(TokenCount::ZERO, |holder| holder.granted);
        self.former.retain(|holder| !is_own(holder));
        let lost = request.claimed.saturating_sub(shown);
        let unclaimed = self.unclaimed.iter_mut();
        for own in unclaimed.filter(|unclaimed| unclaimed.vm == request.vm) {
            own.tokens = own.tokens.saturating_sub(lost);
        }
        request.claimed
    }

    /// Lowers the grant of an ended process to what it can have spent by its promises, where the
    /// record names the witness that tells them. `end` is a time at which the process had ended.
    pub fn apply_testimony(
        &mut self,
        vm: u64,
        testimony: &SpendingTestimony,
        promised: &DatedPace,
        end: Option<BootTimestamp>,
    ) {
        let Some(spent) = end.and_then(|end| promised.max_spent(end)) else {
            return;
        };
        let is_witnessed = |holder: &&mut BudgetHolder| {
            let witness = holder.witness();
            holder.vm == vm
                && holder.incarnation == testimony.incarnation
                && witness.is_some_and(|witness| {
                    witness.incarnation == testimony.witness && witness.since == testimony.since
                })
        };
        // What the copy shows of a process of an earlier era may be outdated.
        for holder in self.holders.iter_mut().filter(is_witnessed) {
            holder.granted = holder.granted.min(spent);
        }
    }

    /// Counts what a process was granted and has not returned as used, since it has ended;
    /// returns whether it had a grant.
    pub fn end_process(&mut self, vm: u64, incarnation: u64) -> bool {
        let is_own = |holder: &BudgetHolder| holder.vm == vm && holder.incarnation == incarnation;
        let Some(own) = self.holders.iter().position(is_own) else {
            return false;
        };
        let own = self.holders.swap_remove(own);
        self.add_ended(vm, own.granted);
        true
    }

    /// Replaces what the record shows of a VM by what another record shows, and counts up to
    /// `most` tokens as unclaimed where some did before. `has_other_run` tells that a later
    /// process of the VM runs, so that what the other record shows as granted counts as used.
    pub fn adopt(&mut self, vm: u64, shown: &BudgetRecord, most: TokenCount, has_other_run: bool) {
        let is_own = |holder: &&BudgetHolder| holder.vm == vm;
        let shown_holders = shown.holders.iter().chain(&shown.former).filter(is_own);
        let mut ended = shown.ended_of(vm);
        match has_other_run {
            true => {
                let held: TokenCount = shown_holders.map(|holder| holder.granted).sum();
                ended = ended.saturating_add(held);
                self.former.retain(|holder| holder.vm != vm);
            }
            false => {
                self.former.retain(|holder| holder.vm != vm);
                self.former.extend(shown_holders);
            }
        }
        self.set_ended(vm, ended);
        for lost in self.unclaimed.iter_mut().filter(|lost| lost.vm == vm) {
            lost.tokens = lost.tokens.min(most);
        }
    }

    /// Removes the grants of all processes of a VM but `incarnation`, and sets what they may have
    /// used.
    pub fn replace_earlier_runs(&mut self, vm: u64, incarnation: u64, ended: TokenCount) {
        let is_earlier = |other: &BudgetHolder| other.vm == vm && other.incarnation != incarnation;
        self.holders.retain(|other| !is_earlier(other));
        self.former.retain(|other| !is_earlier(other));
        self.set_ended(vm, ended);
    }

    /// Counts what a VM may hold by grants that the store lost as used.
    pub fn end_unclaimed(&mut self, vm: u64) {
        let lost = self.unclaimed.extract_if(.., |lost| lost.vm == vm);
        let tokens = lost.map(|lost| lost.tokens).sum();
        self.add_ended(vm, tokens);
    }

    /// Removes what the record shows of a VM in earlier eras, and what it may hold by grants that
    /// the store lost, after it has claimed all that it holds. Returns the tokens removed.
    pub fn forget_former(&mut self, vm: u64) -> TokenCount {
        self.unclaimed.retain(|lost| lost.vm != vm);
        let removed = self.former.extract_if(.., |holder| holder.vm == vm);
        removed.map(|holder| holder.granted).sum()
    }

    /// Turns the holders into former ones, whose grants may be outdated. What was not claimed
    /// in earlier eras counts as used.
    pub fn enter_era(&mut self) {
        for lost in std::mem::take(&mut self.unclaimed) {
            self.add_ended(lost.vm, lost.tokens);
        }
        for holder in std::mem::take(&mut self.holders) {
            self.former
                .retain(|other| other.vm != holder.vm || other.incarnation != holder.incarnation);
            self.former.push(holder);
        }
    }

    fn holder(&self, vm: u64, incarnation: u64) -> Option<&BudgetHolder> {
        self.holders
            .iter()
            .find(|holder| holder.vm == vm && holder.incarnation == incarnation)
    }
}
