//! What this VM may spend of one workspace's budget.
//!
//! A grant counts only once the store has it. A request reserves its greatest
//! cost and settles at its true cost, so what is spent never exceeds what was
//! granted. Every write names the revision that it replaces: after a lost reply
//! the lower of the two possible grants counts until the record has moved on.

use std::time::Duration;
use std::time::Instant;

use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;

use crate::budget_record::BudgetHolder;
use crate::budget_record::BudgetRecord;

/// How long a grant should last at the present demand: an outage of the store.
const GRANT_SPAN: Duration = Duration::from_secs(10);

/// Shortest time that a grant should last, when little is left of the budget.
const MIN_GRANT_SPAN: Duration = Duration::from_millis(500);

/// The span shrinks once less than this part of the budget is unassigned.
const AMPLE_PART: f64 = 0.35;

/// Part of what is unassigned that all VMs together may take at once.
const SHARED_PART: f64 = 0.7;

/// Time in which the weight of past demand falls to 1/e.
const DEMAND_LIFE: Duration = Duration::from_secs(8);

/// Shortest time over which demand is averaged.
const MIN_DEMAND_SPAN: Duration = Duration::from_millis(1500);

/// A grant is renewed when less than this part of its target is free.
const RENEW_PART: f64 = 0.7;

/// A grant is given back when more than this many times its target is free.
const RETURN_FACTOR: f64 = 2.5;

/// Smallest grant that is worth a write to give back.
const MIN_RETURN: TokenCount = TokenCount(2000);

/// Writes whose replies were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    replaces: StoreRevision,
    granted: TokenCount,
}

/// Why a request has no reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurseRefusal {
    /// The grant does not cover it; a larger one has to be asked for.
    NeedsGrant,
    /// The budget is used up for a request of this size.
    Exhausted,
    /// Other VMs hold what is left; some of it may come back.
    HeldElsewhere,
}

/// What this VM may spend of one budget.
#[derive(Clone, Debug)]
pub struct BudgetPurse {
    vm: u64,
    incarnation: u64,
    prepaid: TokenCount,
    record: BudgetRecord,
    revision: StoreRevision,
    known: bool,
    /// Writes whose effect is open; the least that they grant.
    pending: Option<PendingWrite>,
    /// What the write that is on its way grants.
    in_flight: Option<TokenCount>,
    /// Tokens of requests that ended.
    used: TokenCount,
    /// Tokens of requests that run, at their greatest.
    reserved: TokenCount,
    /// The largest request that waits for a grant.
    wanted: TokenCount,
    demand: f64,
    demand_at: Instant,
    demand_began: Option<Instant>,
    /// When the record was last read or written.
    checked_at: Option<Instant>,
    /// Whether a request waits for the record to be read anew.
    check_due: bool,
}

impl BudgetPurse {
    /// Makes a purse for one run of one VM.
    pub fn new(vm: u64, incarnation: u64, prepaid: TokenCount, now: Instant) -> Self {
        Self {
            vm,
            incarnation,
            prepaid,
            record: BudgetRecord::default(),
            revision: StoreRevision(0),
            known: false,
            pending: None,
            in_flight: None,
            used: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            wanted: TokenCount::ZERO,
            demand: 0.0,
            demand_at: now,
            demand_began: None,
            checked_at: None,
            check_due: false,
        }
    }

    /// Sets what the workspace has bought.
    pub fn set_prepaid(&mut self, prepaid: TokenCount) {
        self.prepaid = prepaid;
    }

    /// Takes the record as it was read or written at `revision`.
    pub fn set_record(&mut self, record: BudgetRecord, revision: StoreRevision) {
        if self.known && revision < self.revision {
            return;
        }
        self.known = true;
        self.record = record;
        self.revision = revision;
        let settled = |pending: &PendingWrite| pending.replaces != revision;
        if self.pending.as_ref().is_some_and(settled) {
            self.pending = None;
        }
    }

    /// Tells whether the record has been read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Asks for the record to be read anew.
    pub fn ask_check(&mut self) {
        self.check_due = true;
    }

    /// Tells whether the record should be read anew.
    pub fn is_check_due(&self) -> bool {
        self.check_due
    }

    /// Notes that the record was read at `now`.
    pub fn note_checked(&mut self, now: Instant) {
        self.checked_at = Some(now);
        self.check_due = false;
    }

    /// Tells whether the record was read at or after `time`.
    pub fn is_checked_since(&self, time: Instant) -> bool {
        self.checked_at.is_some_and(|at| at >= time)
    }

    /// Returns the revision of the record that is known.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns what is granted for certain.
    pub fn granted(&self) -> TokenCount {
        let recorded = self.record.granted_to(self.vm, self.incarnation);
        let pending = self.pending.map_or(recorded, |pending| pending.granted);
        let in_flight = self.in_flight.unwrap_or(recorded);
        recorded.min(pending).min(in_flight)
    }

    /// Returns what can be reserved now.
    pub fn free(&self) -> TokenCount {
        self.granted()
            .saturating_sub(self.used)
            .saturating_sub(self.reserved)
    }

    /// Returns what no VM holds, as far as known.
    pub fn unassigned(&self) -> TokenCount {
        self.prepaid.saturating_sub(self.record.taken())
    }

    /// Notes that a request of this size came.
    pub fn note_demand(&mut self, cost: TokenCount, now: Instant) {
        self.demand = self.demand_now(now) + cost.0 as f64;
        self.demand_began.get_or_insert(now);
        self.demand_at = now;
    }

    /// Reserves the greatest cost of a request.
    ///
    /// # Errors
    ///
    /// Says what is missing.
    pub fn reserve(&mut self, cost: TokenCount) -> Result<(), PurseRefusal> {
        if cost <= self.free() {
            self.reserved = self.reserved.saturating_add(cost);
            return Ok(());
        }
        self.wanted = self.wanted.max(cost);
        Err(PurseRefusal::NeedsGrant)
    }

    /// Says why a request can't be granted, going by the record as it is known.
    pub fn why_refused(&self, cost: TokenCount) -> PurseRefusal {
        let missing = cost.saturating_sub(self.free());
        if !self.known || missing <= self.unassigned() {
            return PurseRefusal::NeedsGrant;
        }
        let own = self.used.max(self.own_recorded_use());
        let used = self.record.used().saturating_sub(self.own_recorded_use());
        let certain = used.saturating_add(own);
        match certain.saturating_add(cost) > self.prepaid {
            true => PurseRefusal::Exhausted,
            false => PurseRefusal::HeldElsewhere,
        }
    }

    /// Ends a reservation at its true cost.
    pub fn settle(&mut self, reserved: TokenCount, cost: TokenCount) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.used = self.used.saturating_add(cost);
    }

    /// Returns the record to write, if the grant should grow or shrink.
    pub fn plan_write(&mut self, vms: usize, scarce: bool, now: Instant) -> Option<BudgetRecord> {
        if !self.known {
            return None;
        }
        let target = self.target(vms, now);
        let free = self.free().0 as f64;
        let lacking = !self.wanted.is_zero() && self.free() < self.wanted;
        let low = free < target * RENEW_PART && !self.unassigned().is_zero();
        if lacking || low {
            return self.plan_growth(target);
        }
        let factor = if scarce { 1.0 } else { RETURN_FACTOR };
        let idle = free > target * factor && free - target >= MIN_RETURN.0 as f64;
        if idle && free > self.wanted.0 as f64 {
            let keep = TokenCount(target as u64);
            return Some(self.with_granted(self.used_and_reserved().saturating_add(keep)));
        }
        None
    }

    /// Returns the record that gives back all that is not in use.
    pub fn plan_return(&self) -> BudgetRecord {
        self.with_granted(self.used_and_reserved())
    }

    /// Returns the record without this run, once no request runs any more.
    pub fn plan_close(&self) -> BudgetRecord {
        let mut record = self.record.clone();
        let spent = self.used_and_reserved();
        record.close_holder(self.vm, self.incarnation, spent);
        record
    }

    /// Notes that a write is on its way.
    pub fn write_sent(&mut self, record: &BudgetRecord) {
        self.wanted = TokenCount::ZERO;
        self.in_flight = Some(record.granted_to(self.vm, self.incarnation));
    }

    /// Notes that the write was answered: it took effect, or it never will.
    pub fn write_answered(&mut self) {
        self.in_flight = None;
    }

    /// Notes that the reply of the write was lost: it may take effect later.
    pub fn write_unknown(&mut self) {
        let Some(granted) = self.in_flight.take() else {
            return;
        };
        let least = self
            .pending
            .map_or(granted, |pending| pending.granted.min(granted));
        self.pending = Some(PendingWrite {
            replaces: self.revision,
            granted: least,
        });
    }

    fn plan_growth(&self, target: f64) -> Option<BudgetRecord> {
        let aim = self.wanted.0.saturating_add(target as u64);
        let missing = aim.saturating_sub(self.free().0);
        let growth = missing.min(self.unassigned().0);
        if growth == 0 {
            return None;
        }
        let granted = self.granted().saturating_add(TokenCount(growth));
        Some(self.with_granted(granted))
    }

    fn with_granted(&self, granted: TokenCount) -> BudgetRecord {
        let mut record = self.record.clone();
        record.set_holder(BudgetHolder {
            vm: self.vm,
            incarnation: self.incarnation,
            granted,
            used: self.used,
        });
        record
    }

    /// Returns how many tokens should be free at the present demand.
    fn target(&self, vms: usize, now: Instant) -> f64 {
        let left = self.unassigned().0 as f64;
        let part = left / (self.prepaid.0 as f64).max(1.0);
        let span = GRANT_SPAN.as_secs_f64() * (part / AMPLE_PART).min(1.0);
        let span = span.max(MIN_GRANT_SPAN.as_secs_f64());
        let own = self.free().0 as f64;
        let share = own + SHARED_PART * left / vms.max(1) as f64;
        (self.demand_rate(now) * span).min(share)
    }

    /// Returns the tokens a second that requests asked for lately.
    fn demand_rate(&self, now: Instant) -> f64 {
        let Some(first) = self.demand_began else {
            return 0.0;
        };
        let life = DEMAND_LIFE.as_secs_f64();
        let watched = now.saturating_duration_since(first).max(MIN_DEMAND_SPAN);
        let seen = 1.0 - (-watched.as_secs_f64() / life).exp();
        self.demand_now(now) / (life * seen)
    }

    /// Returns the tokens asked for, the older ones with less weight.
    fn demand_now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * (-age.as_secs_f64() / DEMAND_LIFE.as_secs_f64()).exp()
    }

    fn used_and_reserved(&self) -> TokenCount {
        self.used.saturating_add(self.reserved)
    }

    fn own_recorded_use(&self) -> TokenCount {
        self.record
            .holders
            .iter()
            .find(|holder| holder.vm == self.vm && holder.incarnation == self.incarnation)
            .map_or(TokenCount::ZERO, |holder| holder.used)
    }
}
