//! Simulations of budget grants with a store that loses replies and applies writes
//! late, and with VMs that are killed and restart. The total spent must never exceed
//! the budget.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::BudgetHolder;
use snipegate_gateway::BudgetHolding;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::DuplicateFilter;
use snipegate_gateway::GrantLimit;
use snipegate_gateway::GrantRequest;
use snipegate_gateway::HoldingRefusal;
use snipegate_gateway::HoldingRole;
use snipegate_gateway::PlanTime;
use snipegate_gateway::TokenTransfer;
use snipegate_platform::StoreRevision;
use snipegate_types::BootId;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

const VMS: usize = 3;

/// Size of a simulated scenario.
#[derive(Clone, Copy)]
struct ScenarioSize {
    /// Size of the budget in tokens.
    prepaid: u64,
    /// Cost of the largest request.
    largest: u64,
    /// Number of steps.
    steps: u32,
}

/// Few large requests exhaust the budget, so grants are limited by what is left.
const SHORT_BUDGET: ScenarioSize = ScenarioSize {
    prepaid: 12_000,
    largest: 6_000,
    steps: 300,
};

/// Many small requests share one grant, so the pace limits spending.
const LONG_BUDGET: ScenarioSize = ScenarioSize {
    prepaid: 3_000,
    largest: 120,
    steps: 900,
};

/// A write that may still be applied.
struct DelayedWrite {
    expected: u64,
    record: BudgetRecord,
}

/// The record in the store, with the writes and messages that are delayed on their way.
struct TestStore {
    size: ScenarioSize,
    record: BudgetRecord,
    revision: u64,
    delayed_writes: Vec<DelayedWrite>,
    /// Grant requests in transit to the store; some are also applied immediately.
    delayed_requests: Vec<GrantRequest>,
    /// Transfers that may still arrive, any number of times.
    delayed_transfers: Vec<TokenTransfer>,
    /// Whether any VM was killed.
    had_kill: bool,
}

impl TestStore {
    fn new(size: ScenarioSize) -> Self {
        Self {
            size,
            record: BudgetRecord::default(),
            revision: 0,
            delayed_writes: Vec::new(),
            delayed_requests: Vec::new(),
            delayed_transfers: Vec::new(),
            had_kill: false,
        }
    }

    fn swap(&mut self, expected: u64, record: BudgetRecord) -> bool {
        if expected != self.revision {
            return false;
        }
        self.record = record;
        self.revision += 1;
        true
    }

    /// Closes the grants of earlier processes of a restarted VM.
    fn close_earlier_runs(&mut self, vm: &TestVm, delivery: u8) {
        let mut record = self.record.clone();
        if record.close_earlier_runs(vm.vm, vm.incarnation, vm.began) {
            self.write_record(record, delivery);
        }
    }

    /// Applies a grant request and writes the record.
    fn write(&mut self, request: &GrantRequest, delivery: u8) {
        let mut record = self.record.clone();
        if !record.apply(request, GrantLimit::whole(TokenCount(self.size.prepaid))) {
            return;
        }
        self.write_record(record, delivery);
    }

    fn write_record(&mut self, record: BudgetRecord, delivery: u8) {
        let expected = self.revision;
        match delivery {
            0 => self.delayed_writes.push(DelayedWrite { expected, record }),
            _ => assert!(self.swap(expected, record)),
        }
    }
}

/// Simulated time.
#[derive(Clone, Copy)]
struct TestTime {
    start: Instant,
    elapsed: Duration,
}

impl TestTime {
    fn begin() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
        }
    }

    fn now(self) -> Instant {
        self.start + self.elapsed
    }

    /// Returns the current time on the clock of a machine's boot.
    fn timestamp(self, boot: BootId) -> Option<BootTimestamp> {
        Some(BootTimestamp::new(boot, self.elapsed))
    }

    fn plan(self, boot: BootId) -> PlanTime {
        PlanTime {
            now: self.now(),
            boot: self.timestamp(boot),
        }
    }
}

/// Returns the planning time of a machine whose boot clock is unknown.
fn plan_at(now: Instant) -> PlanTime {
    PlanTime { now, boot: None }
}

struct TestVm {
    holding: BudgetHolding,
    /// Boot of its machine.
    boot: BootId,
    began: Option<BootTimestamp>,
    vm: u64,
    incarnation: u64,
    running: Vec<u64>,
    transfers_sent: u64,
    transfers_seen: DuplicateFilter,
    had_grant: bool,
    /// Whether its grant was counted as used while the process was running.
    was_closed: bool,
}

impl TestVm {
    fn new(vm: u64, incarnation: u64, boot: BootId, time: TestTime) -> Self {
        Self::with_prepaid(SHORT_BUDGET.prepaid, vm, incarnation, boot, time)
    }

    fn with_prepaid(prepaid: u64, vm: u64, incarnation: u64, boot: BootId, time: TestTime) -> Self {
        let began = time.timestamp(boot);
        let prepaid = TokenCount(prepaid);
        let holding = BudgetHolding::new(1, vm, incarnation, prepaid, time.now());
        Self {
            holding: holding.with_start_time(began),
            boot,
            began,
            vm,
            incarnation,
            running: Vec::new(),
            transfers_sent: 0,
            transfers_seen: DuplicateFilter::default(),
            had_grant: false,
            was_closed: false,
        }
    }

    /// Accepts a transfer once, if it is addressed to this process.
    fn take(&mut self, transfer: &TokenTransfer) {
        let is_own = transfer.receiver == self.incarnation;
        if is_own
            && self
                .transfers_seen
                .is_first(transfer.giver, transfer.number)
        {
            self.holding.receive(transfer.tokens);
        }
    }

    fn load_view(&mut self, store: &TestStore, now: Instant) {
        let view = store.record.view(
            1,
            StoreRevision::new(store.revision),
            self.vm,
            self.incarnation,
        );
        self.holding.set_view(view, now);
    }
}

/// Submits a grant request to the store: immediately, with a delayed write, delayed,
/// both immediately and delayed, or never.
fn submit_request(store: &mut TestStore, request: GrantRequest, delivery: u8) {
    match delivery {
        0 | 1 => store.write(&request, delivery),
        2 => store.delayed_requests.push(request),
        3 => {
            store.delayed_requests.push(request);
            store.write(&request, 1);
        }
        _ => {}
    }
}

fn step(
    u: &mut Unstructured<'_>,
    store: &mut TestStore,
    vms: &mut [TestVm],
    spent: &mut u64,
    time: TestTime,
) -> Result<()> {
    let now = time.now();
    let ScenarioSize {
        prepaid, largest, ..
    } = store.size;
    let at = u.int_in_range(0..=vms.len() - 1)?;
    let other = u.int_in_range(0..=VMS - 1)?;
    let vm = &mut vms[at];
    match u.int_in_range(0..=16)? {
        0 | 1 => {
            let cost = u.int_in_range(1..=largest)?;
            vm.holding.record_demand(TokenCount(cost), now);
            if vm.holding.reserve(TokenCount(cost), now).is_ok() {
                vm.running.push(cost);
            }
        }
        2 => {
            if let Some(cost) = vm.running.pop() {
                let actual = u.int_in_range(0..=cost)?;
                *spent += actual;
                vm.holding.settle(TokenCount(cost), TokenCount(actual));
            }
        }
        3 | 4 => {
            let role = *u.choose(&[
                HoldingRole::Keeper,
                HoldingRole::NewKeeper,
                HoldingRole::Member,
            ])?;
            let queued = TokenCount(u.int_in_range(0..=largest / 2)?);
            let scarce = u.arbitrary()?;
            if let Some(request) = vm
                .holding
                .plan_request(role, queued, scarce, time.plan(vm.boot))
            {
                submit_request(store, request, u.int_in_range(0..=4)?);
            }
        }
        5 => {
            let time = time.plan(vm.boot);
            let request = match u.arbitrary()? {
                true => Some(vm.holding.plan_return(time)),
                false => vm.holding.plan_pace(time),
            };
            if let Some(request) = request {
                submit_request(store, request, u.int_in_range(0..=4)?);
            }
        }
        6 => {
            if !store.delayed_writes.is_empty() {
                let write = store.delayed_writes.swap_remove(0);
                store.swap(write.expected, write.record);
            }
        }
        7 => {
            if let Some(request) = store.delayed_requests.pop() {
                store.write(&request, u.int_in_range(0..=1)?);
            }
        }
        8 | 9 => vm.load_view(store, now),
        10 | 11 => {
            let need = TokenCount(u.int_in_range(1..=largest)?);
            let wish = TokenCount(u.int_in_range(0..=largest)?);
            let tokens = vm.holding.withdraw(need, wish, now);
            vm.transfers_sent += 1;
            let (giver, number) = (vm.incarnation, vm.transfers_sent);
            if other != at {
                store.delayed_transfers.push(TokenTransfer {
                    giver,
                    number,
                    receiver: vms[other].incarnation,
                    workspace: 1,
                    tokens,
                });
            }
        }
        12 | 13 => {
            // The transfer stays in the list, so that it may arrive again.
            if !store.delayed_transfers.is_empty() {
                let last = store.delayed_transfers.len() - 1;
                let transfer = store.delayed_transfers[u.int_in_range(0..=last)?];
                vms.iter_mut().for_each(|vm| vm.take(&transfer));
            }
        }
        14 => {
            let report = vm.holding.take_unreported_use();
            if other != at && u.arbitrary()? {
                vms[other].holding.record_reported_use(report);
            }
        }
        15 => store.close_earlier_runs(vm, u.int_in_range(0..=1)?),
        _ => {
            // Kills the VM. Its running requests may have spent their maximum cost.
            *spent += vm.running.iter().sum::<u64>();
            store.had_kill = true;
            let boot = match u.ratio(1, 4)? {
                true => BootId::from_texts(&[
                    "after a loss of power",
                    &time.elapsed.as_nanos().to_string(),
                ]),
                false => vm.boot,
            };
            *vm = TestVm::with_prepaid(prepaid, at as u64, u.arbitrary()?, boot, time);
        }
    }
    Ok(())
}

/// Random bytes per simulation of a short budget.
const SHORT_RUN_BYTES: u64 = 8192;

/// Random bytes per simulation of a long budget.
const LONG_RUN_BYTES: u64 = 24_576;

/// Number of simulations per scenario.
const RUNS: u64 = 1500;

/// Checks that a process has spent no more of its grant than would count as used if it
/// ended now.
///
/// A delayed grant request of an earlier process of the VM can close the current one,
/// which counts its whole grant as used. The check is skipped from then on, because a
/// grant that the process obtains later starts from zero.
fn assert_within_spending_bound(store: &TestStore, vm: &mut TestVm, time: TestTime) {
    let is_own =
        |holder: &&BudgetHolder| (holder.vm, holder.incarnation) == (vm.vm, vm.incarnation);
    let Some(holder) = store.record.holders.iter().find(is_own) else {
        vm.was_closed |= vm.had_grant;
        return;
    };
    vm.had_grant = true;
    if !vm.was_closed {
        let bound = holder.max_spent(time.timestamp(vm.boot));
        let spent = vm.holding.min_grant();
        assert!(spent <= bound, "spent {spent}, bound {bound}");
    }
}

fn simulate(size: ScenarioSize, u: &mut Unstructured<'_>) -> Result<()> {
    let mut time = TestTime::begin();
    let mut store = TestStore::new(size);
    let mut vms: Vec<TestVm> = (0..VMS as u64)
        .map(|vm| {
            let boot = BootId::from_texts(&[&vm.to_string()]);
            TestVm::with_prepaid(size.prepaid, vm, vm, boot, time)
        })
        .collect();
    let mut spent = 0;
    for step_number in 0..size.steps {
        time.elapsed = Duration::from_millis(40) * step_number;
        step(u, &mut store, &mut vms, &mut spent, time)?;
        let running: u64 = vms.iter().flat_map(|vm| &vm.running).sum();
        assert!(
            spent + running <= size.prepaid,
            "spent {spent}, running {running}"
        );
        assert!(store.record.taken().0 <= size.prepaid);
        for vm in &mut vms {
            assert_within_spending_bound(&store, vm, time);
        }
        for vm in vms.iter().filter(|_| !store.had_kill) {
            // Callers do not retry after `Exhausted`, so it must not be reported while
            // the request would still fit.
            let unspent = size.prepaid.saturating_sub(spent).saturating_sub(running);
            let refusal = vm.holding.refusal_reason(TokenCount(unspent), time.now());
            assert!(
                refusal != HoldingRefusal::Exhausted,
                "request of {unspent} tokens refused as exhausted, budget {}",
                size.prepaid
            );
        }
    }
    Ok(())
}

#[test]
fn spending_never_exceeds_budget() {
    for number in 0..RUNS {
        arbtest(|u| simulate(SHORT_BUDGET, u)).seed(SHORT_RUN_BYTES | number << 32);
    }
}

#[test]
fn paced_spending_never_exceeds_budget() {
    for number in 0..RUNS {
        arbtest(|u| simulate(LONG_BUDGET, u)).seed(LONG_RUN_BYTES | number << 32);
    }
}

#[test]
fn returned_grant_is_not_used_while_its_request_is_pending() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::from_texts(&["1"]), time);
    vm.load_view(&store, now);
    vm.holding.record_demand(TokenCount(4000), now);
    assert_eq!(
        vm.holding.reserve(TokenCount(4000), now),
        Err(HoldingRefusal::NeedsGrant)
    );
    let request = vm
        .holding
        .plan_request(
            HoldingRole::Keeper,
            TokenCount::ZERO,
            false,
            time.plan(vm.boot),
        )
        .expect("a grant request is due");
    store.write(&request, 1);
    assert_eq!(vm.holding.free(now), TokenCount::ZERO);
    vm.load_view(&store, now);
    assert!(vm.holding.free(now) >= TokenCount(4000));
    let _lost = vm.holding.plan_return(time.plan(vm.boot));
    assert_eq!(vm.holding.free(now), TokenCount::ZERO);
    vm.load_view(&store, now);
    assert_eq!(vm.holding.free(now), TokenCount::ZERO);
}

#[test]
fn late_or_duplicate_request_changes_nothing() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::from_texts(&["1"]), time);
    vm.load_view(&store, now);
    vm.holding.record_demand(TokenCount(4000), now);
    let first = vm
        .holding
        .plan_request(
            HoldingRole::Keeper,
            TokenCount::ZERO,
            false,
            time.plan(vm.boot),
        )
        .expect("a grant request is due");
    let last = vm.holding.plan_return(time.plan(vm.boot));
    store.write(&last, 1);
    store.write(&first, 1);
    store.write(&last, 1);
    assert_eq!(store.record.taken(), TokenCount::ZERO);
    assert_eq!(store.revision, 1);
}

#[test]
fn exhaustion_is_distinguished_from_tokens_held_elsewhere() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::from_texts(&["1"]), time);
    store.record.holders.push(BudgetHolder {
        vm: 2,
        incarnation: 9,
        sequence: 1,
        granted: TokenCount(11_500),
        used: TokenCount(2_000),
        pace: None,
    });
    vm.load_view(&store, now);
    let refusal = vm.holding.refusal_reason(TokenCount(1000), now);
    assert_eq!(refusal, HoldingRefusal::HeldElsewhere);
    store.record.holders[0].used = TokenCount(11_400);
    store.revision += 1;
    vm.load_view(&store, now);
    let refusal = vm.holding.refusal_reason(TokenCount(1000), now);
    assert_eq!(refusal, HoldingRefusal::Exhausted);
}

/// Fractions of the budget that are left when all VMs are killed.
const REMAINING_FRACTIONS: [f64; 4] = [0.6, 0.5, 0.3, 0.1];

#[test]
fn kill_of_all_vms_takes_at_most_a_third_of_what_is_left() {
    const PREPAID: u64 = 44_000_000;
    const SECOND: Duration = Duration::from_secs(1);
    // VMs that cannot reach each other all act as the keeper.
    for (fraction, keepers) in REMAINING_FRACTIONS
        .iter()
        .flat_map(|fraction| [(fraction, 1), (fraction, 2)])
    {
        let left = (PREPAID as f64 * fraction) as u64;
        let mut record = BudgetRecord {
            closed: TokenCount(PREPAID - left),
            ..BudgetRecord::default()
        };
        let mut now = Instant::now();
        let mut holdings: Vec<BudgetHolding> = (0..keepers)
            .map(|vm| BudgetHolding::new(1, vm, vm, TokenCount(PREPAID), now))
            .collect();
        // The demand is a 44th of the budget per second.
        for revision in 0..20 {
            now += SECOND;
            for (vm, holding) in holdings.iter_mut().enumerate() {
                holding.record_demand(TokenCount(PREPAID / 44 / keepers), now);
                let vm = vm as u64;
                holding.set_view(record.view(1, StoreRevision::new(revision), vm, vm), now);
                let role = HoldingRole::Keeper;
                if let Some(request) =
                    holding.plan_request(role, TokenCount::ZERO, false, plan_at(now))
                {
                    record.apply(&request, GrantLimit::whole(TokenCount(PREPAID)));
                }
            }
        }
        let held: u64 = record.holders.iter().map(|holder| holder.granted.0).sum();
        assert!(
            held * 3 <= left,
            "{held} of {left} tokens lost: fraction {fraction}, keepers {keepers}"
        );
    }
}

/// Number of VMs that each see a few requests of every workspace.
const FLEET_SIZE: usize = 87;

#[test]
fn sparse_requests_of_many_vms_are_served_from_one_grant() {
    let (requests, _) = serve_from_one_grant(|_| None);
    assert_few_writes(requests);
}

#[test]
fn pacing_a_grant_needs_few_writes() {
    let boot = BootId::from_texts(&["keeper"]);
    let (_, writes) = serve_from_one_grant(|elapsed| Some(BootTimestamp::new(boot, elapsed)));
    assert_few_writes(writes);
}

/// Number of requests of one workspace, sent 67 ms apart.
const FLEET_REQUESTS: usize = 1200;

/// Checks that the number of writes stays within the 2.5 per second and shard that the
/// design page allows.
fn assert_few_writes(writes: u64) {
    let seconds = FLEET_REQUESTS as u64 * 67 / 1000;
    assert!(writes * 2 <= seconds * 5, "{writes} writes");
}

/// Serves requests of many VMs from one keeper whose boot clock is `timestamp`. Returns
/// the number of grant requests that the keeper made and how many of them changed the
/// record.
fn serve_from_one_grant(timestamp: impl Fn(Duration) -> Option<BootTimestamp>) -> (u64, u64) {
    const PREPAID: u64 = 10_000_000;
    const COST: TokenCount = TokenCount(9_000);
    let start = Instant::now();
    let mut now = start;
    let mut record = BudgetRecord::default();
    let mut revision = 0;
    let mut writes = 0;
    let mut holdings: Vec<BudgetHolding> = (0..FLEET_SIZE as u64)
        .map(|vm| BudgetHolding::new(1, vm, vm, TokenCount(PREPAID), now))
        .collect();
    let mut served = 0;
    // 15 requests per second of one workspace, each at a different VM.
    for number in 0..FLEET_REQUESTS {
        now += Duration::from_millis(67);
        let at = 1 + number % (FLEET_SIZE - 1);
        holdings[at].record_request(COST, now);
        if holdings[at].reserve(COST, now).is_err() {
            let missing = holdings[at].shortfall(COST, now);
            let wish = holdings[at].prefetch_tokens(now);
            let keeper = &mut holdings[0];
            keeper.record_demand(missing, now);
            keeper.set_view(record.view(1, StoreRevision::new(revision), 0, 0), now);
            let boot = timestamp(now - start);
            let time = PlanTime { now, boot };
            if let Some(request) = keeper.plan_request(HoldingRole::Keeper, missing, false, time) {
                writes += u64::from(record.apply(&request, GrantLimit::whole(TokenCount(PREPAID))));
                revision += 1;
                keeper.set_view(record.view(1, StoreRevision::new(revision), 0, 0), now);
            }
            let given = keeper.withdraw(missing, wish, now);
            holdings[at].receive(given);
            if holdings[at].reserve(COST, now).is_err() {
                continue;
            }
        }
        served += 1;
        holdings[at].settle(COST, COST);
        let surplus = holdings[at].surplus(false, now);
        let back = holdings[at].withdraw(surplus, TokenCount::ZERO, now);
        holdings[0].receive(back);
    }
    // At least 97% of the budget must reach requests.
    assert!(
        served * COST.0 * 100 >= PREPAID * 97,
        "{served} requests served"
    );
    (revision, writes)
}

/// Killing a keeper may cost at most two seconds of demand for what it could spend
/// immediately, plus what the pace allows while it is down. The test allows three
/// seconds in all.
#[test]
fn killing_keeper_loses_few_seconds_of_demand() {
    const PREPAID: u64 = 44_000_000;
    const DEMAND_PER_SECOND: u64 = PREPAID / 44;
    const RESTART_TIME: Duration = Duration::from_millis(1500);
    let mut time = TestTime::begin();
    let mut store = TestStore::new(SHORT_BUDGET);
    let boot = BootId::from_texts(&["keeper"]);
    let new = |run: u64, time: TestTime| {
        BudgetHolding::new(1, 1, run, TokenCount(PREPAID), time.now())
            .with_start_time(time.timestamp(boot))
    };
    let mut holding = new(1, time);
    let mut spent = 0;
    // Ten requests per second, for a quarter of the budget.
    for step in 1..=110 {
        time.elapsed = Duration::from_millis(100 * step);
        let now = time.now();
        let cost = TokenCount(DEMAND_PER_SECOND / 10);
        holding.record_request(cost, now);
        let served = holding.reserve(cost, now).is_ok();
        if let Some(request) = holding.plan_request(
            HoldingRole::Keeper,
            TokenCount::ZERO,
            false,
            time.plan(boot),
        ) {
            assert!(
                store
                    .record
                    .apply(&request, GrantLimit::whole(TokenCount(PREPAID)))
            );
            store.revision += 1;
            holding.set_view(
                store
                    .record
                    .view(1, StoreRevision::new(store.revision), 1, 1),
                now,
            );
        }
        if served || holding.reserve(cost, now).is_ok() {
            holding.settle(cost, cost);
            spent += cost.0;
        }
    }
    let held = store.record.taken().0 - spent;
    assert!(
        held >= 5 * DEMAND_PER_SECOND,
        "the keeper holds only {held} for an outage of the store"
    );
    time.elapsed += RESTART_TIME;
    let mut record = store.record.clone();
    record.close_earlier_runs(1, 2, time.timestamp(boot));
    let lost = record.taken().0 - spent;
    assert!(lost <= 3 * DEMAND_PER_SECOND, "{lost} tokens lost");
    // After a power loss the spending of the earlier process is unknown, so its whole
    // grant counts as used.
    let other_boot = BootId::from_texts(&["keeper", "again"]);
    let mut record = store.record.clone();
    record.close_earlier_runs(1, 2, time.timestamp(other_boot));
    assert_eq!(record.taken(), store.record.taken());
}

#[test]
fn duplicate_or_long_delayed_transfer_is_rejected() {
    let mut seen = DuplicateFilter::default();
    assert!(seen.is_first(1, 1));
    assert!(!seen.is_first(1, 1));
    assert!(seen.is_first(2, 1));
    assert!(seen.is_first(1, 3));
    assert!(seen.is_first(1, 2));
    assert!(seen.is_first(1, 2000));
    assert!(!seen.is_first(1, 2));
    assert!(!seen.is_first(1, 4));
}

#[test]
fn new_keeper_holds_no_more_than_its_own_requests_need() {
    const PREPAID: u64 = 44_000_000;
    const OWN_DEMAND: TokenCount = TokenCount(100_000);
    let mut now = Instant::now();
    let mut holding = BudgetHolding::new(1, 1, 1, TokenCount(PREPAID), now);
    holding.set_view(
        BudgetRecord::default().view(1, StoreRevision::new(1), 1, 1),
        now,
    );
    // A tenth of the total demand of a million tokens per second is this VM's own.
    for _ in 0..5 {
        now += Duration::from_secs(1);
        holding.record_request(OWN_DEMAND, now);
        holding.record_demand(TokenCount(9 * OWN_DEMAND.0), now);
    }
    let role = HoldingRole::NewKeeper;
    let request = holding
        .plan_request(role, TokenCount::ZERO, false, plan_at(now))
        .expect("a grant request is due");
    assert!(
        request.granted.0 <= 2 * OWN_DEMAND.0,
        "{} granted",
        request.granted
    );
}
