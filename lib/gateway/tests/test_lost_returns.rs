//! Grant requests that return part of a grant and are lost before they reach the
//! record. The record would keep the unreturned tokens assigned to the VM unless it
//! requests the return again.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::BudgetHolding;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::GrantLimit;
use snipegate_gateway::GrantRequest;
use snipegate_gateway::HoldingRole;
use snipegate_gateway::PlanTime;
use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;

const PREPAID: TokenCount = TokenCount(10_000_000);
const COST: TokenCount = TokenCount(10_000);

/// A VM's share of one budget and its record in the store.
struct TestBudget {
    record: BudgetRecord,
    revision: u64,
    holding: BudgetHolding,
    now: Instant,
    used: u64,
}

impl TestBudget {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            record: BudgetRecord::default(),
            revision: 0,
            holding: BudgetHolding::new(1, 1, 1, PREPAID, now),
            now,
            used: 0,
        }
    }

    fn time(&self) -> PlanTime {
        PlanTime {
            now: self.now,
            boot: None,
        }
    }

    /// Plans a grant request for the role.
    fn plan(&mut self, role: HoldingRole) -> Option<GrantRequest> {
        let time = self.time();
        self.holding
            .plan_request(role, TokenCount::ZERO, false, time)
    }

    /// Applies the grant request that is due for the role; returns whether there was
    /// one.
    fn request_grant(&mut self, role: HoldingRole) -> bool {
        let Some(request) = self.plan(role) else {
            return false;
        };
        self.record.apply(&request, GrantLimit::whole(PREPAID));
        self.revision += 1;
        let view = self.record.view(1, StoreRevision::new(self.revision), 1, 1);
        self.holding.set_view(view, self.now);
        true
    }

    /// Serves ten requests per second.
    fn serve(&mut self, role: HoldingRole, seconds: u64) {
        for _ in 0..10 * seconds {
            self.now += Duration::from_millis(100);
            self.holding.record_request(COST, self.now);
            let mut served = self.holding.reserve(COST, self.now).is_ok();
            if self.request_grant(role) && !served {
                served = self.holding.reserve(COST, self.now).is_ok();
            }
            if served {
                self.holding.settle(COST, COST);
                self.used += COST.0;
            }
        }
    }
}

#[test]
fn unwritten_return_is_requested_again() {
    for role in [HoldingRole::Keeper, HoldingRole::Member] {
        let mut budget = TestBudget::new();
        budget.serve(HoldingRole::Keeper, 8);
        let held = budget.record.taken().0 - budget.used;
        assert!(
            held > 10 * COST.0,
            "the keeper holds only {held} for other VMs"
        );
        // The request that returns the whole unused grant is lost.
        let _ = budget.holding.plan_return(budget.time());
        budget.now += Duration::from_secs(1);
        assert!(budget.request_grant(role), "{role:?}");
        let held = budget.record.taken().0 - budget.used;
        assert_eq!(held, budget.holding.held().0, "{role:?}");
    }
}

#[test]
fn stopping_vm_returns_grant_after_a_lost_return() {
    let mut budget = TestBudget::new();
    budget.serve(HoldingRole::Keeper, 8);
    let _ = budget.holding.plan_return(budget.time());
    assert!(budget.holding.has_spare_grant());
    let request = budget.holding.plan_return(budget.time());
    assert!(budget.record.apply(&request, GrantLimit::whole(PREPAID)));
    assert_eq!(budget.record.taken().0, budget.used);
}
