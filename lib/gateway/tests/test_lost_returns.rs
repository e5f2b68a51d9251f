//! Grant requests that return part of a grant and are lost before they reach the
//! record. The record would keep the unreturned tokens assigned to the VM unless it
//! requests the return again.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::BudgetPurse;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::GrantAsk;
use snipegate_gateway::PlanTime;
use snipegate_gateway::PurseRole;
use snipegate_types::TokenCount;

const PREPAID: TokenCount = TokenCount(10_000_000);
const COST: TokenCount = TokenCount(10_000);

/// A VM's share of one budget and its record in the store.
struct TestBudget {
    record: BudgetRecord,
    revision: u64,
    purse: BudgetPurse,
    now: Instant,
    used: u64,
}

impl TestBudget {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            record: BudgetRecord::default(),
            revision: 0,
            purse: BudgetPurse::new(1, 1, 1, PREPAID, now),
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
    fn plan(&mut self, role: PurseRole) -> Option<GrantAsk> {
        let time = self.time();
        self.purse.plan_ask(role, TokenCount::ZERO, false, time)
    }

    /// Applies the grant request that is due for the role; returns whether there was
    /// one.
    fn ask(&mut self, role: PurseRole) -> bool {
        let Some(ask) = self.plan(role) else {
            return false;
        };
        self.record.apply(&ask, PREPAID);
        self.revision += 1;
        let view = self.record.view(1, self.revision, 1, 1);
        self.purse.set_view(view, self.now);
        true
    }

    /// Serves ten requests per second.
    fn serve(&mut self, role: PurseRole, seconds: u64) {
        for _ in 0..10 * seconds {
            self.now += Duration::from_millis(100);
            self.purse.record_request(COST, self.now);
            let mut served = self.purse.reserve(COST, self.now).is_ok();
            if self.ask(role) && !served {
                served = self.purse.reserve(COST, self.now).is_ok();
            }
            if served {
                self.purse.settle(COST, COST);
                self.used += COST.0;
            }
        }
    }
}

#[test]
fn unwritten_return_is_requested_again() {
    for role in [PurseRole::Keeper, PurseRole::Member] {
        let mut budget = TestBudget::new();
        budget.serve(PurseRole::Keeper, 8);
        let held = budget.record.taken().0 - budget.used;
        assert!(
            held > 10 * COST.0,
            "the keeper holds only {held} for other VMs"
        );
        // The request that returns the whole unused grant is lost.
        let _ = budget.purse.plan_return(budget.time());
        budget.now += Duration::from_secs(1);
        assert!(budget.ask(role), "{role:?}");
        let held = budget.record.taken().0 - budget.used;
        assert_eq!(held, budget.purse.held().0, "{role:?}");
    }
}

#[test]
fn stopping_vm_returns_grant_after_a_lost_return() {
    let mut budget = TestBudget::new();
    budget.serve(PurseRole::Keeper, 8);
    let _ = budget.purse.plan_return(budget.time());
    assert!(budget.purse.has_spare_grant());
    let ask = budget.purse.plan_return(budget.time());
    assert!(budget.record.apply(&ask, PREPAID));
    assert_eq!(budget.record.taken().0, budget.used);
}
