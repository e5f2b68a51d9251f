//! How many tokens a VM should hold of a budget.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;

use super::BudgetPurse;
use super::MIN_RETURN;
use super::PurseRole;

/// How long a grant should last at the present demand: an outage of the store.
const GRANT_SPAN: Duration = Duration::from_secs(6);

/// Shortest time that a grant should last, when little is left of the budget.
const MIN_GRANT_SPAN: Duration = Duration::from_millis(500);

/// The span shrinks once less than this part of the budget is unassigned.
const AMPLE_PART: f64 = 0.5;

/// Part of what is unassigned that the keeper may take at once.
const SHARED_PART: f64 = 0.7;

/// Part of what is unassigned that the keeper holds without demand.
const STOCK_PART: f64 = 0.15;

/// How long the tokens of a VM that is not the keeper should last.
const MEMBER_SPAN: Duration = Duration::from_secs(1);

/// A member hands back what is more than this many times its target.
const SURPLUS_FACTOR: f64 = 2.0;

/// A grant is renewed when less than this part of its target is free.
const RENEW_PART: f64 = 0.6;

/// A grant is given back when more than this many times its target is free.
const RETURN_FACTOR: f64 = 1.4;

/// What a run should hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantNeed {
    /// Tokens in all.
    pub granted: TokenCount,
    /// Whether a request waits for them.
    pub urgent: bool,
}

impl BudgetPurse {
    /// Returns what this run should hold, if the grant should grow or shrink.
    ///
    /// `queued` tokens are waited for by other VMs.
    pub fn need(
        &self,
        role: PurseRole,
        queued: TokenCount,
        scarce: bool,
        now: Instant,
    ) -> Option<GrantNeed> {
        let free = self.free();
        let wanted = match role {
            PurseRole::Member => queued,
            _ => self.wanted.saturating_add(queued),
        };
        let target = TokenCount(self.target(role, now) as u64);
        let urgent = !wanted.is_zero() && free < wanted;
        let low = (free.0 as f64) < target.0 as f64 * RENEW_PART && !self.unassigned().is_zero();
        if urgent || low {
            let missing = wanted.saturating_add(target).saturating_sub(free);
            let granted = self.granted().saturating_add(missing);
            return Some(GrantNeed { granted, urgent });
        }
        if role == PurseRole::Member {
            return None;
        }
        let factor = if scarce { 1.0 } else { RETURN_FACTOR };
        let keep = TokenCount((target.0 as f64 * factor) as u64).max(wanted);
        if free > keep && free.saturating_sub(target) >= MIN_RETURN {
            let granted = self.least_grant().saturating_add(target);
            let urgent = false;
            return Some(GrantNeed { granted, urgent });
        }
        (scarce && self.untold() >= MIN_RETURN).then(|| GrantNeed {
            granted: self.granted(),
            urgent: false,
        })
    }

    /// Returns what a member should have beyond what its requests wait for.
    pub fn wish(&self, now: Instant) -> TokenCount {
        let target = TokenCount(self.member_target(now) as u64);
        target.saturating_sub(self.free())
    }

    /// Returns what a member should hand back.
    pub fn surplus(&self, scarce: bool, now: Instant) -> TokenCount {
        let factor = if scarce { 1.0 } else { SURPLUS_FACTOR };
        let keep = TokenCount((self.member_target(now) * factor) as u64).max(self.wanted);
        let surplus = self.free().saturating_sub(keep);
        match surplus >= MIN_RETURN {
            true => surplus,
            false => TokenCount::ZERO,
        }
    }

    /// Returns how many tokens should be free at the present demand.
    fn target(&self, role: PurseRole, now: Instant) -> f64 {
        let left = self.unassigned().0 as f64;
        let own = self.free().0 as f64;
        let share = own + SHARED_PART * left;
        match role {
            PurseRole::Member => 0.0,
            PurseRole::NewKeeper => self.member_target(now).min(share),
            PurseRole::Keeper => {
                let demand = self.demand.rate(now) * self.span(GRANT_SPAN);
                demand.min(share).max(STOCK_PART * self.left_part() * left)
            }
        }
    }

    /// Returns how many tokens a member should have at the present demand.
    fn member_target(&self, now: Instant) -> f64 {
        self.own_demand.rate(now) * self.span(MEMBER_SPAN)
    }

    /// Returns how long a grant should last, in seconds; less where little is left.
    fn span(&self, longest: Duration) -> f64 {
        let span = longest.as_secs_f64() * (self.left_part() / AMPLE_PART).min(1.0);
        span.max(MIN_GRANT_SPAN.as_secs_f64())
    }

    /// Returns the part of the budget that is unassigned.
    fn left_part(&self) -> f64 {
        self.unassigned().0 as f64 / (self.prepaid.0 as f64).max(1.0)
    }
}
