//! Promises of a process about its spending of one budget, see
//! [`spending_witness`](crate::spending_witness).

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;

use super::BudgetHolding;
use super::PlanTime;
use super::allowance::Allowance;
use crate::spending_pace::SpendingPace;
use crate::spending_witness::WitnessRef;

/// Demand, as a duration, that may be spent before the witness has taken a new promise.
const PROMISE_WINDOW: Duration = Duration::from_millis(200);

/// Limits of that window, as fractions of the budget. A kill costs up to a window.
const MIN_WINDOW_FRACTION: f64 = 0.001;
const MAX_WINDOW_FRACTION: f64 = 0.0075;

/// Number of recent requests that the window has room for, whatever its limits.
const MIN_WINDOW_REQUESTS: f64 = 2.0;

/// A new promise is made when less than this fraction of the window is left.
const RENEW_FRACTION: f64 = 0.5;

/// A new promise is made when more than this many times the window is left.
const EXCESS_FACTOR: f64 = 3.0;

/// How long the bound stays where it is if the witness is gone and the store cannot be told:
/// a killed process may take that long to restart.
const PROMISE_HOLD: Duration = Duration::from_secs(4);

/// A promise that the witness may or may not have taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenPromise {
    number: u64,
    newest: Allowance,
    /// Strictest of all promises that may be the witness's last.
    strictest: Allowance,
}

/// Promises to one witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WitnessedSpending {
    /// Incarnation of the witness.
    witness: u64,
    taken: Option<Allowance>,
    open: Option<OpenPromise>,
}

impl WitnessedSpending {
    /// Returns the total that may be spent by `now` by each promise that the witness may know
    /// as the last one; `None` if it knows none.
    fn spendable_at(&self, now: Instant) -> Option<TokenCount> {
        let open = self.open.map(|open| open.strictest);
        let promises = self.taken.into_iter().chain(open);
        promises.map(|promise| promise.spendable_at(now)).min()
    }
}

impl BudgetHolding {
    /// Sets the witness that later grant requests name.
    pub fn set_witness(&mut self, witness: Option<WitnessRef>) {
        self.witness = witness;
    }

    /// Returns the witness that the record names, if it can name no other one.
    pub fn named_witness(&self) -> Option<WitnessRef> {
        let may_be_other = self
            .pending
            .is_some_and(|pending| pending.has_other_witness);
        let view = self.view.filter(|_| !may_be_other)?;
        view.own_witness
    }

    /// Returns whether the record should name another witness.
    pub(super) fn needs_new_witness(&self) -> bool {
        let Some(view) = self.view else {
            return false;
        };
        let incarnation = |witness: WitnessRef| witness.incarnation;
        let is_other = self.witness.map(incarnation) != view.own_witness.map(incarnation);
        is_other && view.own_pace.is_some() && !view.own_granted.is_zero()
    }

    /// Returns whether promises limit spending more than the record does, so that less than
    /// `wanted` tokens are free.
    pub fn is_held_up_by_promise(&self, wanted: TokenCount, now: Instant) -> bool {
        self.free(now) < wanted && self.free_by_record(now) >= wanted
    }

    /// Returns the total that this process may spend by `now` by its promises.
    pub(super) fn promised_spending(&self, now: Instant) -> Option<TokenCount> {
        self.promise.and_then(|promise| promise.spendable_at(now))
    }

    /// Drops promises to a witness that the record can no longer name.
    pub(super) fn release_promise(&mut self) {
        let named = self.named_witness().map(|witness| witness.incarnation);
        let may_be_other = self
            .pending
            .is_some_and(|pending| pending.has_other_witness);
        let is_released = |promise: &WitnessedSpending| Some(promise.witness) != named;
        if !may_be_other && self.promise.as_ref().is_some_and(is_released) {
            self.promise = None;
        }
    }

    /// Returns whether a new promise is due, where other VMs wait for `queued` tokens.
    pub fn needs_promise(&self, queued: TokenCount, now: Instant) -> bool {
        let allowance = self.record_allowance();
        if self.named_witness().is_none() || allowance.pace.is_none() {
            return false;
        }
        let Some(allowed) = self.promised_spending(now) else {
            return !allowance.granted.is_zero();
        };
        let wanted = self.largest_waiting.saturating_add(queued);
        if self.is_held_up_by_promise(wanted, now) {
            return true;
        }
        let ahead = allowed.saturating_sub(self.min_grant()).0 as f64;
        let window = self.promise_window(now);
        let is_low = ahead < window * RENEW_FRACTION && allowed < allowance.spendable_at(now);
        is_low || ahead > window * EXCESS_FACTOR
    }

    /// Makes a promise, which binds this process from now on. During an outage of the store it
    /// leaves the room that the recorded pace leaves, since a lost witness could not be replaced.
    pub fn plan_promise(
        &mut self,
        number: u64,
        queued: TokenCount,
        is_outage: bool,
        time: PlanTime,
    ) -> Option<SpendingPace> {
        let witness = self.named_witness()?;
        let recorded = self.pace(queued, time.now);
        let wanted = self.largest_waiting.saturating_add(queued);
        let window = TokenCount(self.promise_window(time.now) as u64);
        let pace = match is_outage {
            true => recorded,
            false => SpendingPace {
                ceiling: self
                    .min_grant()
                    .saturating_add(wanted)
                    .saturating_add(window),
                hold_ms: PROMISE_HOLD.as_millis() as u64,
                rate: recorded.rate,
            },
        };
        self.largest_waiting = TokenCount::ZERO;
        let newest = Allowance {
            granted: TokenCount(u64::MAX),
            pace: Some(pace),
            since: time.now,
        };
        let known = self.promise;
        let known = known.filter(|promise| promise.witness == witness.incarnation);
        let open = known.and_then(|promise| promise.open);
        self.promise = Some(WitnessedSpending {
            witness: witness.incarnation,
            taken: known.and_then(|promise| promise.taken),
            open: Some(OpenPromise {
                number,
                newest,
                strictest: open.map_or(newest, |open| open.strictest.intersect(newest)),
            }),
        });
        Some(pace)
    }

    /// Records that the witness has taken the promise `number`.
    pub fn confirm_promise(&mut self, witness: u64, number: u64) {
        let Some(promise) = self.promise.as_mut() else {
            return;
        };
        if let Some(open) = promise.open
            && promise.witness == witness
            && open.number == number
        {
            promise.taken = Some(open.newest);
            promise.open = None;
        }
    }

    /// Returns the tokens that may be spent before the witness has taken a new promise.
    fn promise_window(&self, now: Instant) -> f64 {
        let prepaid = self.prepaid.0 as f64;
        let demand = self.demand.rate(now) * PROMISE_WINDOW.as_secs_f64();
        let window = demand.clamp(prepaid * MIN_WINDOW_FRACTION, prepaid * MAX_WINDOW_FRACTION);
        window.max(self.recent_cost * MIN_WINDOW_REQUESTS)
    }
}
