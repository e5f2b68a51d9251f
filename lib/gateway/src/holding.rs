//! The part of one workspace's budget that this VM may spend.
//!
//! A grant counts only once it is written to the store. A request reserves its maximum
//! cost and settles at its actual cost, so spending never exceeds the grant. Grant
//! requests are numbered, and the record holds the number of the last applied one.
//! Until a request is known to be applied, the smaller of the possible grants counts. A
//! request that arrives late changes nothing once a newer one was applied.
//!
//! Each grant request also sets a pace, which bounds what a killed process can have
//! spent. The process observes the paces of all requests that may be in effect.
//!
//! One VM, the keeper of the budget, holds a grant on behalf of all. The others, its
//! members, obtain tokens from it as their requests arrive and return what they do not
//! need. The sender deducts tokens before it transfers them.

mod allowance;
mod balance;
mod era_claim;
mod grant_size;
mod promise;
mod request_plan;

use std::time::Instant;

use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use self::allowance::Allowance;
use self::promise::WitnessedSpending;
use crate::budget_record::BudgetTotals;
use crate::budget_record::BudgetView;
use crate::demand::DemandMeter;
use crate::spending_witness::WitnessRef;

/// Fraction of the free tokens that may be transferred beyond the receiver's immediate
/// need.
const PREFETCH_FRACTION: f64 = 0.05;

/// Minimum number of tokens that are worth returning or reporting.
const MIN_RETURN: TokenCount = TokenCount(2000);

/// Factor by which the recent cost of requests falls with each one.
const COST_DECAY: f64 = 0.9;

/// Safety factor on the unused fraction of completed reservations, when estimating what
/// running requests will leave unused.
const UNUSED_MARGIN: f64 = 2.0;

/// Grant requests that are not yet known to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingGrantRequest {
    /// Sequence number of the newest.
    sequence: u64,
    /// Strictest allowance of all of them.
    allowance: Allowance,
    /// Whether one of them names another witness than the record.
    has_other_witness: bool,
}

/// The time at which a grant request is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanTime {
    /// Current time of the process.
    pub now: Instant,
    /// The same time or an earlier one, on the clock of the machine's boot.
    pub boot: Option<BootTimestamp>,
}

/// Role of a VM for a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingRole {
    /// Holds a grant on behalf of all VMs.
    Keeper,
    /// May be the keeper, but has not been in contact with other VMs for long enough to
    /// know. It holds no more than its own requests need.
    NewKeeper,
    /// Obtains tokens from the keeper. It requests grants only for other VMs.
    Member,
}

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingRefusal {
    /// The grant is too small and has to be enlarged.
    NeedsGrant,
    /// The unused part of the budget is smaller than the request.
    Exhausted,
    /// Other VMs hold the remaining tokens; some may be returned.
    HeldElsewhere,
}

/// The part of one budget that this VM may spend.
#[derive(Clone, Debug)]
pub struct BudgetHolding {
    workspace: u64,
    vm: u64,
    incarnation: u64,
    prepaid: TokenCount,
    /// Start time of this process.
    started_at: Option<BootTimestamp>,
    /// Era of the store that grant requests are for.
    era: StoreEra,
    /// Grant from an earlier era that the record of this era does not show yet.
    claim: Option<TokenCount>,
    view: Option<BudgetView>,
    /// When the newest applied grant request of this process was seen in the record.
    applied_at: Instant,
    /// Newest known totals over all VMs.
    totals: Option<BudgetTotals>,
    pending: Option<PendingGrantRequest>,
    /// Witness to name in grant requests.
    witness: Option<WitnessRef>,
    promise: Option<WitnessedSpending>,
    sequence: u64,
    /// Tokens used by completed requests.
    used: TokenCount,
    /// Tokens that completed requests had reserved.
    settled_reserved: TokenCount,
    /// Part of this VM's use that other VMs account for.
    accounted_by_peers: TokenCount,
    /// Use by other VMs that this one accounts for.
    used_by_peers: TokenCount,
    /// Use that the last grant request reported.
    last_reported_use: TokenCount,
    /// Tokens reserved for running requests, at their maximum cost.
    reserved: TokenCount,
    /// Tokens transferred to other VMs; they count as spent here.
    given: TokenCount,
    /// Tokens received from other VMs; they count as spent there.
    received: TokenCount,
    /// Cost of the largest request that is waiting for a grant.
    largest_waiting: TokenCount,
    /// Demand that has not been reported to the keeper.
    unreported_demand: TokenCount,
    /// Demand of this VM and of those that sent it token requests as the keeper.
    demand: DemandMeter,
    /// Demand of this VM alone.
    own_demand: DemandMeter,
    /// Cost of recent requests, in tokens: rises with a larger one at once, and falls slowly.
    recent_cost: f64,
}

impl BudgetHolding {
    /// Creates the state for one process of a VM.
    pub fn new(
        workspace: u64,
        vm: u64,
        incarnation: u64,
        prepaid: TokenCount,
        now: Instant,
    ) -> Self {
        Self {
            workspace,
            vm,
            incarnation,
            prepaid,
            started_at: None,
            era: StoreEra::default(),
            claim: None,
            view: None,
            applied_at: now,
            totals: None,
            pending: None,
            witness: None,
            promise: None,
            sequence: 0,
            used: TokenCount::ZERO,
            settled_reserved: TokenCount::ZERO,
            accounted_by_peers: TokenCount::ZERO,
            used_by_peers: TokenCount::ZERO,
            last_reported_use: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            given: TokenCount::ZERO,
            received: TokenCount::ZERO,
            largest_waiting: TokenCount::ZERO,
            unreported_demand: TokenCount::ZERO,
            demand: DemandMeter::new(now),
            own_demand: DemandMeter::new(now),
            recent_cost: 0.0,
        }
    }

    /// Sets the start time of this process; all earlier processes of its machine had
    /// ended by then.
    pub fn with_start_time(mut self, started_at: Option<BootTimestamp>) -> Self {
        self.started_at = started_at;
        self
    }

    /// Returns the hash of the workspace's id.
    pub fn workspace(&self) -> u64 {
        self.workspace
    }

    /// Sets the size of the budget.
    pub fn set_prepaid(&mut self, prepaid: TokenCount) {
        self.prepaid = prepaid;
    }

    /// Applies a view of the record, unless a newer one is known.
    pub fn set_view(&mut self, view: BudgetView, now: Instant) {
        self.enter_era(view.totals.revision.era);
        self.set_totals(view.totals);
        let known = self.view.unwrap_or_default();
        let is_older = known.totals.revision > view.totals.revision;
        let is_unclaimed = self.claim.is_some() && view.own_sequence == 0;
        if is_older || is_unclaimed || view.totals.revision.era != self.era {
            return;
        }
        self.claim = None;
        if known.own_sequence != view.own_sequence {
            self.applied_at = now;
        }
        let settled = |pending: &PendingGrantRequest| view.own_sequence >= pending.sequence;
        if self.pending.as_ref().is_some_and(settled) {
            self.pending = None;
        }
        self.view = Some(view);
        self.release_promise();
    }

    /// Applies the record's totals as reported by another VM, unless newer ones are
    /// known.
    pub fn set_totals(&mut self, mut totals: BudgetTotals) {
        if totals.revision < self.revision() {
            return;
        }
        if let Some(known) = self.totals
            && known.revision == totals.revision
        {
            totals.limit = totals.limit.max(known.limit);
        }
        self.totals = Some(totals);
    }

    /// Returns whether this VM has read the record.
    pub fn is_loaded(&self) -> bool {
        self.view.is_some()
    }

    /// Returns the newest known totals over all VMs.
    pub fn totals(&self) -> Option<BudgetTotals> {
        self.totals
    }

    /// Returns the newest known revision of the record.
    pub fn revision(&self) -> StoreRevision {
        self.totals.unwrap_or_default().revision
    }

    /// Returns the size of the budget.
    pub fn prepaid(&self) -> TokenCount {
        self.prepaid
    }

    /// Returns the tokens that are certain to be granted.
    pub fn granted(&self) -> TokenCount {
        self.record_allowance().granted
    }

    /// Returns the grant of this process according to the record.
    pub fn recorded_grant(&self) -> TokenCount {
        self.view.unwrap_or_default().own_granted
    }

    /// Returns the strictest allowance of all grant requests that may be in effect.
    fn record_allowance(&self) -> Allowance {
        let view = self.view.unwrap_or_default();
        let recorded = Allowance {
            granted: view.own_granted,
            pace: view.own_pace,
            since: self.applied_at,
        };
        match self.pending {
            Some(pending) => recorded.intersect(pending.allowance),
            None => recorded,
        }
    }

    /// Returns the tokens that can be reserved now.
    pub fn free(&self, now: Instant) -> TokenCount {
        let recorded = self.record_allowance().spendable_at(now);
        let promised = self.promised_spending(now);
        self.unspent(promised.map_or(recorded, |promised| promised.min(recorded)))
    }

    /// Returns the tokens that could be reserved now if there were no promises.
    fn free_by_record(&self, now: Instant) -> TokenCount {
        self.unspent(self.record_allowance().spendable_at(now))
    }

    /// Returns the unspent tokens, including those that the pace does not allow yet.
    pub fn held(&self) -> TokenCount {
        self.unspent(self.granted())
    }

    fn unspent(&self, allowed: TokenCount) -> TokenCount {
        allowed
            .saturating_add(self.received)
            .saturating_sub(self.spent())
    }

    /// Returns an estimate of the tokens available to future requests: free tokens,
    /// grants that are possibly still being returned, and the tokens that running
    /// requests are likely to leave unused.
    pub fn estimated_remaining(&self) -> TokenCount {
        self.recorded_grant()
            .max(self.granted())
            .saturating_add(self.received)
            .saturating_sub(self.spent())
            .saturating_add(self.likely_unused())
    }

    /// Returns the tokens that running requests are likely to leave unused.
    fn likely_unused(&self) -> TokenCount {
        let ended = self.settled_reserved.0 as f64;
        let unused = self.settled_reserved.saturating_sub(self.used).0 as f64;
        let part = (UNUSED_MARGIN * unused / ended.max(1.0)).min(1.0);
        TokenCount((self.reserved.0 as f64 * part) as u64)
    }

    /// Returns the tokens that a request lacks.
    pub fn shortfall(&self, cost: TokenCount, now: Instant) -> TokenCount {
        cost.saturating_sub(self.free(now))
    }

    /// Deducts tokens for a transfer to another VM that needs `need` tokens, and adds
    /// up to `wish` tokens from a fraction of the rest.
    ///
    /// Deducting first means that a failed transfer loses tokens instead of duplicating
    /// them.
    pub fn withdraw(&mut self, need: TokenCount, wish: TokenCount, now: Instant) -> TokenCount {
        let free = self.free(now);
        let spare = self.free_by_record(now).saturating_sub(need);
        let spare = TokenCount((spare.0 as f64 * PREFETCH_FRACTION) as u64);
        let given = need.saturating_add(wish.min(spare)).min(free);
        self.given = self.given.saturating_add(given);
        given
    }

    /// Adds tokens that another VM deducted from its holding.
    pub fn receive(&mut self, tokens: TokenCount) {
        self.received = self.received.saturating_add(tokens);
    }

    /// Returns the use that has not been reported. From now on the VM that receives the
    /// report accounts for it.
    pub fn take_unreported_use(&mut self) -> TokenCount {
        let unreported_use = self.unreported_use();
        self.accounted_by_peers = self.accounted_by_peers.saturating_add(unreported_use);
        unreported_use
    }

    /// Adds use that another VM reports; this VM accounts for it from now on.
    pub fn record_reported_use(&mut self, tokens: TokenCount) {
        self.used_by_peers = self.used_by_peers.saturating_add(tokens);
    }

    /// Returns the tokens that no VM holds, according to the newest known totals.
    pub fn unassigned(&self) -> TokenCount {
        self.prepaid
            .saturating_sub(self.totals.unwrap_or_default().taken)
    }

    /// Returns the tokens that can be granted now, according to the newest known totals.
    fn grantable(&self) -> TokenCount {
        let totals = self.totals.unwrap_or_default();
        self.prepaid.min(totals.limit).saturating_sub(totals.taken)
    }

    /// Records the demand of a request that arrived at this VM.
    pub fn record_request(&mut self, cost: TokenCount, now: Instant) {
        self.unreported_demand = self.unreported_demand.saturating_add(cost);
        self.own_demand.record(cost, now);
        self.record_cost(cost);
        self.record_demand(cost, now);
    }

    /// Records what a request of this VM or of another one needs at once.
    pub fn record_cost(&mut self, cost: TokenCount) {
        self.recent_cost = (cost.0 as f64).max(self.recent_cost * COST_DECAY);
    }

    /// Returns the demand that has not been reported to the keeper, and marks it as
    /// reported.
    pub fn take_unreported_demand(&mut self) -> TokenCount {
        std::mem::take(&mut self.unreported_demand)
    }

    /// Records demand of this VM or of others.
    pub fn record_demand(&mut self, cost: TokenCount, now: Instant) {
        self.demand.record(cost, now);
    }

    /// Reserves the maximum cost of a request.
    ///
    /// # Errors
    ///
    /// Returns [`HoldingRefusal::NeedsGrant`] if too few tokens are free.
    pub fn reserve(&mut self, cost: TokenCount, now: Instant) -> Result<(), HoldingRefusal> {
        if cost <= self.free(now) {
            self.reserved = self.reserved.saturating_add(cost);
            return Ok(());
        }
        self.largest_waiting = self.largest_waiting.max(cost);
        Err(HoldingRefusal::NeedsGrant)
    }

    /// Returns why a request is refused, according to the last known record.
    ///
    /// Use never decreases, so an outdated record is sufficient to detect exhaustion.
    pub fn refusal_reason(&self, cost: TokenCount, now: Instant) -> HoldingRefusal {
        let Some(totals) = self.totals else {
            return HoldingRefusal::NeedsGrant;
        };
        let recorded_use = self.view.unwrap_or_default().own_used;
        let others = totals.used.saturating_sub(recorded_use);
        let used = others.saturating_add(self.accounted_use().max(recorded_use));
        if used.saturating_add(cost) > self.prepaid {
            return HoldingRefusal::Exhausted;
        }
        let missing = self.shortfall(cost, now);
        let held_back = self.held().saturating_sub(self.free(now));
        match missing <= self.grantable().saturating_add(held_back) {
            true => HoldingRefusal::NeedsGrant,
            false => HoldingRefusal::HeldElsewhere,
        }
    }

    /// Releases a reservation and records the actual cost.
    pub fn settle(&mut self, reserved: TokenCount, cost: TokenCount) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.used = self.used.saturating_add(cost);
        self.settled_reserved = self.settled_reserved.saturating_add(reserved);
    }

    /// Returns whether part of the grant can be returned, or is being returned without
    /// a confirmation yet.
    pub fn has_spare_grant(&self) -> bool {
        self.recorded_grant().max(self.granted()) > self.min_grant()
    }

    /// Returns whether the record still shows a larger grant than this process may use,
    /// because a request that reduced it was lost or is unconfirmed.
    fn has_pending_return(&self) -> bool {
        self.recorded_grant() > self.granted()
    }

    /// Returns whether enough use is unreported to justify a report.
    pub fn has_unreported_use(&self) -> bool {
        self.unreported_use() >= MIN_RETURN
    }

    /// Returns the use that this process accounts for in the record.
    fn accounted_use(&self) -> TokenCount {
        self.used
            .saturating_add(self.used_by_peers)
            .saturating_sub(self.accounted_by_peers)
    }

    /// Returns the use that was neither part of a grant request nor reported to another
    /// VM.
    fn unreported_use(&self) -> TokenCount {
        self.accounted_use().saturating_sub(self.last_reported_use)
    }

    /// Returns the tokens that are used, reserved or transferred to other VMs.
    fn spent(&self) -> TokenCount {
        self.used
            .saturating_add(self.reserved)
            .saturating_add(self.given)
    }

    /// Returns the minimum grant that covers the spent tokens.
    pub fn min_grant(&self) -> TokenCount {
        self.spent().saturating_sub(self.received)
    }
}
