//! Computes how many tokens a VM should hold of a budget.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;

use super::BudgetHolding;
use super::HoldingRole;
use super::MIN_RETURN;
use crate::spending_pace::SpendingPace;

/// How long a grant should last at current demand. It has to cover an outage of the
/// store.
const GRANT_DURATION: Duration = Duration::from_secs(12);

/// Minimum time that a grant should last, when little of the budget is left.
const MIN_GRANT_DURATION: Duration = Duration::from_millis(500);

/// Grants last the full duration while at least this fraction of the budget is
/// unassigned; below that the duration shrinks proportionally.
const FULL_DURATION_FRACTION: f64 = 0.857;

/// Demand, as a duration, that may be spent immediately before the pace is renewed. A
/// kill costs this much.
const CEILING_DURATION: Duration = Duration::from_secs(2);

/// The pace is renewed when less than this fraction of the immediate allowance is left.
const CEILING_RENEW_FRACTION: f64 = 0.5;

/// The pace is renewed when the allowed spending exceeds this many times the near-term
/// spending, because a kill would cost that much.
const MAX_CEILING_RATIO: f64 = 3.0;

/// Excess over [`MAX_CEILING_RATIO`] that is too small to justify a write.
const MIN_EXCESS_TOKENS: f64 = 20_000.0;

/// How long the pace stays at its ceiling: the time that a killed process takes to
/// restart.
const PACE_HOLD: Duration = Duration::from_millis(1500);

/// Factor on the measured demand for the rate that the pace allows after the hold.
const PACE_RATE_FACTOR: f64 = 1.5;

/// Fraction of the held tokens that may always be spent immediately, and again each
/// second, because demand may rise at any time.
const HELD_FRACTION: f64 = 0.125;

/// Maximum fraction of the unassigned tokens that the keeper takes in one grant.
const KEEPER_MAX_FRACTION: f64 = 0.7;

/// Fraction of the unassigned tokens that the keeper holds without any demand; shrinks
/// with the unassigned part of the budget.
const KEEPER_MIN_FRACTION: f64 = 0.15;

/// How long the tokens of a member, a VM that is not the keeper, should last.
const MEMBER_DURATION: Duration = Duration::from_secs(1);

/// A member returns tokens once it holds more than this many times its target.
const SURPLUS_FACTOR: f64 = 2.0;

/// A grant is enlarged when less than this fraction of its target is held.
const RENEW_FRACTION: f64 = 0.6;

/// A grant is reduced when more than this many times its target is held.
const RETURN_FACTOR: f64 = 1.4;

/// Size of the grant that a process should hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantNeed {
    /// Total tokens to request.
    pub granted: TokenCount,
    /// Whether a request is waiting for the tokens.
    pub urgent: bool,
}

impl BudgetHolding {
    /// Returns the grant that this process should hold, if a grant request is due.
    ///
    /// `queued` is the number of tokens that other VMs are waiting for.
    pub fn need(
        &self,
        role: HoldingRole,
        queued: TokenCount,
        scarce: bool,
        now: Instant,
    ) -> Option<GrantNeed> {
        let held = self.held();
        let wanted = match role {
            HoldingRole::Member => queued,
            _ => self.largest_waiting.saturating_add(queued),
        };
        let target = TokenCount(self.target(role, now) as u64);
        let urgent = !wanted.is_zero() && self.free_by_record(now) < wanted;
        let low =
            (held.0 as f64) < target.0 as f64 * RENEW_FRACTION && !self.unassigned().is_zero();
        if urgent || low {
            let missing = wanted.saturating_add(target).saturating_sub(held);
            let granted = self.granted().saturating_add(missing);
            return Some(GrantNeed { granted, urgent });
        }
        if self.needs_new_witness() {
            let granted = self.granted();
            let urgent = self.is_held_up_by_promise(wanted, now);
            return Some(GrantNeed { granted, urgent });
        }
        if self.has_pending_return() || self.has_claim() {
            let granted = self.granted();
            let urgent = false;
            return Some(GrantNeed { granted, urgent });
        }
        if role == HoldingRole::Member {
            return None;
        }
        let factor = if scarce { 1.0 } else { RETURN_FACTOR };
        let keep = TokenCount((target.0 as f64 * factor) as u64).max(wanted);
        if held > keep && held.saturating_sub(target) >= MIN_RETURN {
            let granted = self.min_grant().saturating_add(target);
            let urgent = false;
            return Some(GrantNeed { granted, urgent });
        }
        let has_unreported_use = scarce && self.unreported_use() >= MIN_RETURN;
        (has_unreported_use || self.needs_new_pace(now)).then(|| GrantNeed {
            granted: self.granted(),
            urgent: false,
        })
    }

    /// Returns the pace for the next grant request, where other VMs are waiting for
    /// `queued` tokens.
    pub(super) fn pace(&self, queued: TokenCount, now: Instant) -> SpendingPace {
        let waiting = self.largest_waiting.saturating_add(queued);
        let near_term = TokenCount(self.near_term_spending(now) as u64);
        let rate = self.demand.rate(now) * PACE_RATE_FACTOR;
        SpendingPace {
            ceiling: self
                .min_grant()
                .saturating_add(waiting)
                .saturating_add(near_term),
            hold_ms: PACE_HOLD.as_millis() as u64,
            rate: TokenCount(rate.max(self.held().0 as f64 * HELD_FRACTION) as u64),
        }
    }

    /// Returns the tokens that should be spendable before the pace is renewed.
    fn near_term_spending(&self, now: Instant) -> f64 {
        let demand = self.demand.rate(now) * CEILING_DURATION.as_secs_f64();
        demand.max(self.held().0 as f64 * HELD_FRACTION)
    }

    /// Returns whether the pace should be renewed: it leaves too little for current
    /// demand, or so much that a kill would cost too much.
    fn needs_new_pace(&self, now: Instant) -> bool {
        let allowance = self.record_allowance();
        if allowance.pace.is_none() {
            return false;
        }
        let allowed = allowance.spendable_at(now);
        let ahead = allowed.saturating_sub(self.min_grant()).0 as f64;
        let near_term = self.near_term_spending(now);
        let is_low = allowed < self.granted() && ahead < near_term * CEILING_RENEW_FRACTION;
        is_low || ahead > near_term * MAX_CEILING_RATIO + MIN_EXCESS_TOKENS
    }

    /// Returns the tokens that a member should receive beyond those its requests are
    /// waiting for.
    pub fn prefetch_tokens(&self, now: Instant) -> TokenCount {
        let target = TokenCount(self.member_target(now) as u64);
        target.saturating_sub(self.free(now))
    }

    /// Returns the tokens that a member should return to the keeper.
    pub fn surplus(&self, scarce: bool, now: Instant) -> TokenCount {
        let factor = if scarce { 1.0 } else { SURPLUS_FACTOR };
        let keep = TokenCount((self.member_target(now) * factor) as u64).max(self.largest_waiting);
        let surplus = self.free(now).saturating_sub(keep);
        match surplus >= MIN_RETURN {
            true => surplus,
            false => TokenCount::ZERO,
        }
    }

    /// Returns the tokens to hold at current demand.
    fn target(&self, role: HoldingRole, now: Instant) -> f64 {
        let left = self.unassigned().0 as f64;
        let own = self.held().0 as f64;
        let share = own + KEEPER_MAX_FRACTION * left;
        match role {
            HoldingRole::Member => 0.0,
            HoldingRole::NewKeeper => self.member_target(now).min(share),
            HoldingRole::Keeper => {
                let demand = self.demand.rate(now) * self.duration_secs(GRANT_DURATION);
                demand
                    .min(share)
                    .max(KEEPER_MIN_FRACTION * self.unassigned_fraction() * left)
            }
        }
    }

    /// Returns the tokens that a member should hold at current demand.
    fn member_target(&self, now: Instant) -> f64 {
        self.own_demand.rate(now) * self.duration_secs(MEMBER_DURATION)
    }

    /// Returns how long a grant should last, in seconds. The duration shrinks as the
    /// budget runs out.
    fn duration_secs(&self, longest: Duration) -> f64 {
        let span =
            longest.as_secs_f64() * (self.unassigned_fraction() / FULL_DURATION_FRACTION).min(1.0);
        span.max(MIN_GRANT_DURATION.as_secs_f64())
    }

    /// Returns the unassigned fraction of the budget.
    fn unassigned_fraction(&self) -> f64 {
        self.unassigned().0 as f64 / (self.prepaid.0 as f64).max(1.0)
    }
}
