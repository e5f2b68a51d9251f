//! Grant requests of a process.

use snipegate_types::TokenCount;

use super::BudgetHolding;
use super::HoldingRole;
use super::PendingGrantRequest;
use super::PlanTime;
use super::allowance::Allowance;
use crate::budget_record::GrantRequest;
use crate::spending_pace::DatedPace;
use crate::spending_pace::SpendingPace;

impl BudgetHolding {
    /// Returns a grant request if the grant or its pace should change.
    pub fn plan_request(
        &mut self,
        role: HoldingRole,
        queued: TokenCount,
        scarce: bool,
        time: PlanTime,
    ) -> Option<GrantRequest> {
        let need = self.need(role, queued, scarce, time.now)?;
        let pace = self.pace(queued, time.now);
        Some(self.new_request(need.granted, pace, time))
    }

    /// Returns a grant request that renews the pace and keeps the size of the grant.
    pub fn plan_pace(&mut self, time: PlanTime) -> Option<GrantRequest> {
        if self.granted().is_zero() {
            return None;
        }
        let pace = self.pace(TokenCount::ZERO, time.now);
        Some(self.new_request(self.granted(), pace, time))
    }

    /// Returns a grant request that returns all tokens not in use.
    pub fn plan_return(&mut self, time: PlanTime) -> GrantRequest {
        let pace = self.pace(TokenCount::ZERO, time.now);
        self.new_request(self.min_grant(), pace, time)
    }

    /// Returns a grant request that claims the grant of an earlier era, if this process holds
    /// one that the record does not show yet.
    pub fn plan_claim(&mut self, time: PlanTime) -> Option<GrantRequest> {
        if !self.has_claim() {
            return None;
        }
        let pace = self.pace(TokenCount::ZERO, time.now);
        Some(self.new_request(self.granted(), pace, time))
    }

    /// Creates a grant request. From now on this process spends no more than the
    /// request allows, whether or not it is applied.
    fn new_request(
        &mut self,
        granted: TokenCount,
        pace: SpendingPace,
        time: PlanTime,
    ) -> GrantRequest {
        self.sequence += 1;
        self.last_reported_use = self.accounted_use();
        self.largest_waiting = TokenCount::ZERO;
        let pace = time.boot.map(|set_at| DatedPace {
            pace,
            set_at,
            witness: self.witness,
        });
        let allowance = Allowance {
            granted,
            pace: pace.map(|dated| dated.pace),
            since: time.now,
        };
        let is_other = |known: &PendingGrantRequest| known.has_other_witness;
        let view = self.view.unwrap_or_default();
        self.pending = Some(PendingGrantRequest {
            sequence: self.sequence,
            has_other_witness: self.pending.as_ref().is_some_and(is_other)
                || self.witness != view.own_witness,
            allowance: match self.pending {
                Some(pending) => pending.allowance.intersect(allowance),
                None => allowance,
            },
        });
        GrantRequest {
            workspace: self.workspace,
            vm: self.vm,
            incarnation: self.incarnation,
            era: self.era,
            sequence: self.sequence,
            claimed: self.claim.unwrap_or_default(),
            granted,
            used: self.last_reported_use,
            pace,
            began: self.started_at,
        }
    }
}
