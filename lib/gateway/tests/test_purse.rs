//! Budgets by grants, against a store that loses replies, does writes late and
//! restarts VMs: the sum of what is spent never exceeds what was bought.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::BudgetHolder;
use snipegate_gateway::BudgetPurse;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::GrantAsk;
use snipegate_gateway::PlanTime;
use snipegate_gateway::PurseRefusal;
use snipegate_gateway::PurseRole;
use snipegate_gateway::SeenNumbers;
use snipegate_gateway::TokenTransfer;
use snipegate_types::BootId;
use snipegate_types::BootMoment;
use snipegate_types::TokenCount;

const VMS: usize = 3;

/// The sizes of a play.
#[derive(Clone, Copy)]
struct PlayScale {
    /// Tokens that were bought.
    prepaid: u64,
    /// Tokens of the largest request.
    largest: u64,
    /// Steps.
    turns: u32,
}

/// Few large requests use a budget up: grants are short.
const SHORT_BUDGET: PlayScale = PlayScale {
    prepaid: 12_000,
    largest: 6_000,
    turns: 300,
};

/// Many small requests come out of one grant: the pace bounds what is spent.
const LONG_BUDGET: PlayScale = PlayScale {
    prepaid: 3_000,
    largest: 120,
    turns: 900,
};

/// A write that may still take effect.
struct LateWrite {
    expected: u64,
    record: BudgetRecord,
}

/// The record in the store, with what lost its way to it.
struct TestStore {
    scale: PlayScale,
    record: BudgetRecord,
    revision: u64,
    late_writes: Vec<LateWrite>,
    /// Asks on their way to the VM that writes, some of them twice.
    late_asks: Vec<GrantAsk>,
    /// Transfers that may still arrive, again and again.
    late_transfers: Vec<TokenTransfer>,
    /// Whether a VM was killed.
    had_kill: bool,
}

impl TestStore {
    fn new(scale: PlayScale) -> Self {
        Self {
            scale,
            record: BudgetRecord::default(),
            revision: 0,
            late_writes: Vec::new(),
            late_asks: Vec::new(),
            late_transfers: Vec::new(),
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

    /// Closes the earlier runs of a VM that has begun again.
    fn close_earlier_runs(&mut self, vm: &TestVm, fate: u8) {
        let mut record = self.record.clone();
        if record.close_earlier_runs(vm.vm, vm.incarnation, vm.began) {
            self.write_record(record, fate);
        }
    }

    /// Applies an ask as the VM that writes does.
    fn write(&mut self, ask: &GrantAsk, fate: u8) {
        let mut record = self.record.clone();
        if !record.apply(ask, TokenCount(self.scale.prepaid)) {
            return;
        }
        self.write_record(record, fate);
    }

    fn write_record(&mut self, record: BudgetRecord, fate: u8) {
        let expected = self.revision;
        match fate {
            0 => self.late_writes.push(LateWrite { expected, record }),
            _ => assert!(self.swap(expected, record)),
        }
    }
}

/// How long the play has lasted.
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

    /// Returns the moment on the clock of a machine's boot.
    fn moment(self, boot: BootId) -> Option<BootMoment> {
        Some(BootMoment::new(boot, self.elapsed))
    }

    fn plan(self, boot: BootId) -> PlanTime {
        PlanTime {
            now: self.now(),
            boot: self.moment(boot),
        }
    }
}

/// Returns the time to plan by of a machine whose boot's clock is not known.
fn plan_at(now: Instant) -> PlanTime {
    PlanTime { now, boot: None }
}

struct TestVm {
    purse: BudgetPurse,
    /// The boot of its machine, and when the run began.
    boot: BootId,
    began: Option<BootMoment>,
    vm: u64,
    incarnation: u64,
    running: Vec<u64>,
    transfers_sent: u64,
    transfers_seen: SeenNumbers,
    had_grant: bool,
    /// Whether its grant counted as used while it ran.
    was_closed: bool,
}

impl TestVm {
    fn new(vm: u64, incarnation: u64, boot: BootId, time: TestTime) -> Self {
        Self::of_budget(SHORT_BUDGET.prepaid, vm, incarnation, boot, time)
    }

    fn of_budget(prepaid: u64, vm: u64, incarnation: u64, boot: BootId, time: TestTime) -> Self {
        let began = time.moment(boot);
        let prepaid = TokenCount(prepaid);
        let purse = BudgetPurse::new(1, vm, incarnation, prepaid, time.now());
        Self {
            purse: purse.with_beginning(began),
            boot,
            began,
            vm,
            incarnation,
            running: Vec::new(),
            transfers_sent: 0,
            transfers_seen: SeenNumbers::default(),
            had_grant: false,
            was_closed: false,
        }
    }

    /// Takes tokens once, if they are meant for this run.
    fn take(&mut self, transfer: &TokenTransfer) {
        let is_own = transfer.receiver == self.incarnation;
        if is_own
            && self
                .transfers_seen
                .is_first(transfer.giver, transfer.number)
        {
            self.purse.receive(transfer.tokens);
        }
    }

    fn see(&mut self, store: &TestStore, now: Instant) {
        let view = store
            .record
            .view(1, store.revision, self.vm, self.incarnation);
        self.purse.set_view(view, now);
    }
}

/// Sends an ask to the store: at once, late, twice, or never.
fn send(store: &mut TestStore, ask: GrantAsk, fate: u8) {
    match fate {
        0 | 1 => store.write(&ask, fate),
        2 => store.late_asks.push(ask),
        3 => {
            store.late_asks.push(ask);
            store.write(&ask, 1);
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
    let PlayScale {
        prepaid, largest, ..
    } = store.scale;
    let at = u.int_in_range(0..=vms.len() - 1)?;
    let other = u.int_in_range(0..=VMS - 1)?;
    let vm = &mut vms[at];
    match u.int_in_range(0..=16)? {
        0 | 1 => {
            let cost = u.int_in_range(1..=largest)?;
            vm.purse.note_demand(TokenCount(cost), now);
            if vm.purse.reserve(TokenCount(cost), now).is_ok() {
                vm.running.push(cost);
            }
        }
        2 => {
            if let Some(cost) = vm.running.pop() {
                let actual = u.int_in_range(0..=cost)?;
                *spent += actual;
                vm.purse.settle(TokenCount(cost), TokenCount(actual));
            }
        }
        3 | 4 => {
            let role = *u.choose(&[PurseRole::Keeper, PurseRole::NewKeeper, PurseRole::Member])?;
            let queued = TokenCount(u.int_in_range(0..=largest / 2)?);
            let scarce = u.arbitrary()?;
            if let Some(ask) = vm.purse.plan_ask(role, queued, scarce, time.plan(vm.boot)) {
                send(store, ask, u.int_in_range(0..=4)?);
            }
        }
        5 => {
            let time = time.plan(vm.boot);
            let ask = match u.arbitrary()? {
                true => Some(vm.purse.plan_return(time)),
                false => vm.purse.plan_pace(time),
            };
            if let Some(ask) = ask {
                send(store, ask, u.int_in_range(0..=4)?);
            }
        }
        6 => {
            if !store.late_writes.is_empty() {
                let late = store.late_writes.swap_remove(0);
                store.swap(late.expected, late.record);
            }
        }
        7 => {
            if let Some(ask) = store.late_asks.pop() {
                store.write(&ask, u.int_in_range(0..=1)?);
            }
        }
        8 | 9 => vm.see(store, now),
        10 | 11 => {
            let need = TokenCount(u.int_in_range(1..=largest)?);
            let wish = TokenCount(u.int_in_range(0..=largest)?);
            let tokens = vm.purse.give(need, wish, now);
            vm.transfers_sent += 1;
            let (giver, number) = (vm.incarnation, vm.transfers_sent);
            if other != at {
                store.late_transfers.push(TokenTransfer {
                    giver,
                    number,
                    receiver: vms[other].incarnation,
                    workspace: 1,
                    tokens,
                });
            }
        }
        12 | 13 => {
            // A transfer arrives, and perhaps once more later.
            if !store.late_transfers.is_empty() {
                let last = store.late_transfers.len() - 1;
                let transfer = store.late_transfers[u.int_in_range(0..=last)?];
                vms.iter_mut().for_each(|vm| vm.take(&transfer));
            }
        }
        14 => {
            let report = vm.purse.report();
            if other != at && u.arbitrary()? {
                vms[other].purse.note_report(report);
            }
        }
        15 => store.close_earlier_runs(vm, u.int_in_range(0..=1)?),
        _ => {
            // A kill: what ran may have run to its end.
            *spent += vm.running.iter().sum::<u64>();
            store.had_kill = true;
            let boot = match u.ratio(1, 4)? {
                true => BootId::of(&[
                    "after a loss of power",
                    &time.elapsed.as_nanos().to_string(),
                ]),
                false => vm.boot,
            };
            *vm = TestVm::of_budget(prepaid, at as u64, u.arbitrary()?, boot, time);
        }
    }
    Ok(())
}

/// Bytes of randomness of one run.
const RUN_BYTES: u64 = 8192;

/// The same of a run of a long budget.
const LONG_RUN_BYTES: u64 = 24_576;

/// Runs that are tried.
const RUNS: u64 = 1500;

/// Checks that a run has spent no more of its grant than would count if it ended now.
///
/// An ask of an earlier run that comes late counts the whole grant as used; what the run
/// holds after that begins anew.
fn check_bound(store: &TestStore, vm: &mut TestVm, time: TestTime) {
    let is_own =
        |holder: &&BudgetHolder| (holder.vm, holder.incarnation) == (vm.vm, vm.incarnation);
    let Some(holder) = store.record.holders.iter().find(is_own) else {
        vm.was_closed |= vm.had_grant;
        return;
    };
    vm.had_grant = true;
    if !vm.was_closed {
        let most = holder.most_spent(time.moment(vm.boot));
        let spent = vm.purse.least_grant();
        assert!(spent <= most, "{spent} of {most}");
    }
}

fn play(scale: PlayScale, u: &mut Unstructured<'_>) -> Result<()> {
    let mut time = TestTime::begin();
    let mut store = TestStore::new(scale);
    let mut vms: Vec<TestVm> = (0..VMS as u64)
        .map(|vm| {
            let boot = BootId::of(&[&vm.to_string()]);
            TestVm::of_budget(scale.prepaid, vm, vm, boot, time)
        })
        .collect();
    let mut spent = 0;
    for turn in 0..scale.turns {
        time.elapsed = Duration::from_millis(40) * turn;
        step(u, &mut store, &mut vms, &mut spent, time)?;
        let running: u64 = vms.iter().flat_map(|vm| &vm.running).sum();
        assert!(
            spent + running <= scale.prepaid,
            "spent {spent} + {running}"
        );
        assert!(store.record.taken().0 <= scale.prepaid);
        for vm in &mut vms {
            check_bound(&store, vm, time);
        }
        for vm in vms.iter().filter(|_| !store.had_kill) {
            // "Used up" is final, so it has to be true.
            let fits = scale.prepaid.saturating_sub(spent).saturating_sub(running);
            let refusal = vm.purse.why_refused(TokenCount(fits), time.now());
            assert!(
                refusal != PurseRefusal::Exhausted,
                "{fits} of {}",
                scale.prepaid
            );
        }
    }
    Ok(())
}

#[test]
fn spending_never_exceeds_what_was_bought() {
    for number in 0..RUNS {
        arbtest(|u| play(SHORT_BUDGET, u)).seed(RUN_BYTES | number << 32);
    }
}

#[test]
fn spending_by_pace_never_exceeds_what_was_bought() {
    for number in 0..RUNS {
        arbtest(|u| play(LONG_BUDGET, u)).seed(LONG_RUN_BYTES | number << 32);
    }
}

#[test]
fn returned_grant_is_not_used_while_its_ask_is_open() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::of(&["1"]), time);
    vm.see(&store, now);
    vm.purse.note_demand(TokenCount(4000), now);
    assert_eq!(
        vm.purse.reserve(TokenCount(4000), now),
        Err(PurseRefusal::NeedsGrant)
    );
    let ask = vm
        .purse
        .plan_ask(
            PurseRole::Keeper,
            TokenCount::ZERO,
            false,
            time.plan(vm.boot),
        )
        .expect("an ask");
    store.write(&ask, 1);
    assert_eq!(vm.purse.free(now), TokenCount::ZERO);
    vm.see(&store, now);
    assert!(vm.purse.free(now) >= TokenCount(4000));
    let _lost = vm.purse.plan_return(time.plan(vm.boot));
    assert_eq!(vm.purse.free(now), TokenCount::ZERO);
    vm.see(&store, now);
    assert_eq!(vm.purse.free(now), TokenCount::ZERO);
}

#[test]
fn ask_that_comes_late_or_twice_changes_nothing() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::of(&["1"]), time);
    vm.see(&store, now);
    vm.purse.note_demand(TokenCount(4000), now);
    let first = vm
        .purse
        .plan_ask(
            PurseRole::Keeper,
            TokenCount::ZERO,
            false,
            time.plan(vm.boot),
        )
        .expect("an ask");
    let last = vm.purse.plan_return(time.plan(vm.boot));
    store.write(&last, 1);
    store.write(&first, 1);
    store.write(&last, 1);
    assert_eq!(store.record.taken(), TokenCount::ZERO);
    assert_eq!(store.revision, 1);
}

#[test]
fn exhaustion_is_told_from_tokens_that_others_hold() {
    let time = TestTime::begin();
    let now = time.now();
    let mut store = TestStore::new(SHORT_BUDGET);
    let mut vm = TestVm::new(1, 1, BootId::of(&["1"]), time);
    store.record.holders.push(BudgetHolder {
        vm: 2,
        incarnation: 9,
        sequence: 1,
        granted: TokenCount(11_500),
        used: TokenCount(2_000),
        pace: None,
    });
    vm.see(&store, now);
    let refusal = vm.purse.why_refused(TokenCount(1000), now);
    assert_eq!(refusal, PurseRefusal::HeldElsewhere);
    store.record.holders[0].used = TokenCount(11_400);
    store.revision += 1;
    vm.see(&store, now);
    let refusal = vm.purse.why_refused(TokenCount(1000), now);
    assert_eq!(refusal, PurseRefusal::Exhausted);
}

/// Parts of a budget that are left when all VMs are killed.
const LEFT_PARTS: [f64; 4] = [0.6, 0.5, 0.3, 0.1];

#[test]
fn kill_of_all_vms_takes_at_most_a_third_of_what_is_left() {
    const BOUGHT: u64 = 44_000_000;
    const SECOND: Duration = Duration::from_secs(1);
    // VMs that do not hear each other all take themselves for the keeper.
    for (part, keepers) in LEFT_PARTS.iter().flat_map(|part| [(part, 1), (part, 2)]) {
        let left = (BOUGHT as f64 * part) as u64;
        let mut record = BudgetRecord {
            closed: TokenCount(BOUGHT - left),
            ..BudgetRecord::default()
        };
        let mut now = Instant::now();
        let mut purses: Vec<BudgetPurse> = (0..keepers)
            .map(|vm| BudgetPurse::new(1, vm, vm, TokenCount(BOUGHT), now))
            .collect();
        // Each second a 44th of the budget is asked for.
        for revision in 0..20 {
            now += SECOND;
            for (vm, purse) in purses.iter_mut().enumerate() {
                purse.note_demand(TokenCount(BOUGHT / 44 / keepers), now);
                let vm = vm as u64;
                purse.set_view(record.view(1, revision, vm, vm), now);
                let role = PurseRole::Keeper;
                if let Some(ask) = purse.plan_ask(role, TokenCount::ZERO, false, plan_at(now)) {
                    record.apply(&ask, TokenCount(BOUGHT));
                }
            }
        }
        let held: u64 = record.holders.iter().map(|holder| holder.granted.0).sum();
        assert!(held * 3 <= left, "{held} of {left} at {part}, {keepers}");
    }
}

/// VMs that all see requests of many workspaces, each few of each.
const GROWN_VMS: usize = 87;

#[test]
fn few_requests_of_many_vms_are_served_from_one_grant() {
    let (asks, _) = serve_from_one_grant(|_| None);
    assert_few_writes(asks);
}

#[test]
fn pace_of_a_grant_costs_few_writes() {
    let boot = BootId::of(&["keeper"]);
    let (_, writes) = serve_from_one_grant(|elapsed| Some(BootMoment::new(boot, elapsed)));
    assert_few_writes(writes);
}

/// Requests of one workspace, 67 ms apart.
const GROWN_REQUESTS: usize = 1200;

/// Checks a number of writes against the 2.5 a second of a shard that the design page
/// allows.
fn assert_few_writes(writes: u64) {
    let seconds = GROWN_REQUESTS as u64 * 67 / 1000;
    assert!(writes * 2 <= seconds * 5, "{writes} writes");
}

/// Serves requests of many VMs, where the keeper's boot has this clock; returns how many
/// asks the keeper made and how many of them changed the record.
fn serve_from_one_grant(moment: impl Fn(Duration) -> Option<BootMoment>) -> (u64, u64) {
    const BOUGHT: u64 = 10_000_000;
    const COST: TokenCount = TokenCount(9_000);
    let start = Instant::now();
    let mut now = start;
    let mut record = BudgetRecord::default();
    let mut revision = 0;
    let mut writes = 0;
    let mut purses: Vec<BudgetPurse> = (0..GROWN_VMS as u64)
        .map(|vm| BudgetPurse::new(1, vm, vm, TokenCount(BOUGHT), now))
        .collect();
    let mut served = 0;
    // 15 requests a second of one workspace, each at another VM.
    for number in 0..GROWN_REQUESTS {
        now += Duration::from_millis(67);
        let at = 1 + number % (GROWN_VMS - 1);
        purses[at].note_request(COST, now);
        if purses[at].reserve(COST, now).is_err() {
            let missing = purses[at].missing(COST, now);
            let wish = purses[at].wish(now);
            let keeper = &mut purses[0];
            keeper.note_demand(missing, now);
            keeper.set_view(record.view(1, revision, 0, 0), now);
            let boot = moment(now - start);
            let time = PlanTime { now, boot };
            if let Some(ask) = keeper.plan_ask(PurseRole::Keeper, missing, false, time) {
                writes += u64::from(record.apply(&ask, TokenCount(BOUGHT)));
                revision += 1;
                keeper.set_view(record.view(1, revision, 0, 0), now);
            }
            let given = keeper.give(missing, wish, now);
            purses[at].receive(given);
            if purses[at].reserve(COST, now).is_err() {
                continue;
            }
        }
        served += 1;
        purses[at].settle(COST, COST);
        let surplus = purses[at].surplus(false, now);
        let back = purses[at].give(surplus, TokenCount::ZERO, now);
        purses[0].receive(back);
    }
    // All but 3 in 100 of the budget reaches requests, with few writes.
    assert!(served * COST.0 * 100 >= BOUGHT * 97, "{served} served");
    (revision, writes)
}

/// What a kill of a keeper takes: no more than two seconds of demand at once and, for
/// the time that it is down, what the pace allows beyond.
#[test]
fn kill_of_a_keeper_takes_few_seconds_of_demand() {
    const BOUGHT: u64 = 44_000_000;
    const A_SECOND: u64 = BOUGHT / 44;
    const DOWN: Duration = Duration::from_millis(1500);
    let mut time = TestTime::begin();
    let mut store = TestStore::new(SHORT_BUDGET);
    let boot = BootId::of(&["keeper"]);
    let new = |run: u64, time: TestTime| {
        BudgetPurse::new(1, 1, run, TokenCount(BOUGHT), time.now())
            .with_beginning(time.moment(boot))
    };
    let mut purse = new(1, time);
    let mut spent = 0;
    // Ten requests a second for a quarter of the budget.
    for step in 1..=110 {
        time.elapsed = Duration::from_millis(100 * step);
        let now = time.now();
        let cost = TokenCount(A_SECOND / 10);
        purse.note_request(cost, now);
        let served = purse.reserve(cost, now).is_ok();
        if let Some(ask) =
            purse.plan_ask(PurseRole::Keeper, TokenCount::ZERO, false, time.plan(boot))
        {
            assert!(store.record.apply(&ask, TokenCount(BOUGHT)));
            store.revision += 1;
            purse.set_view(store.record.view(1, store.revision, 1, 1), now);
        }
        if served || purse.reserve(cost, now).is_ok() {
            purse.settle(cost, cost);
            spent += cost.0;
        }
    }
    let held = store.record.taken().0 - spent;
    assert!(
        held >= 5 * A_SECOND,
        "an outage would be served from {held}"
    );
    time.elapsed += DOWN;
    let mut record = store.record.clone();
    record.close_earlier_runs(1, 2, time.moment(boot));
    let lost = record.taken().0 - spent;
    assert!(lost <= 3 * A_SECOND, "{lost}");
    // Nothing is known of a run before the machine lost power.
    let other_boot = BootId::of(&["keeper", "again"]);
    let mut record = store.record.clone();
    record.close_earlier_runs(1, 2, time.moment(other_boot));
    assert_eq!(record.taken(), store.record.taken());
}

#[test]
fn transfer_that_comes_twice_or_far_too_late_is_not_taken() {
    let mut seen = SeenNumbers::default();
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
    const BOUGHT: u64 = 44_000_000;
    const OWN: TokenCount = TokenCount(100_000);
    let mut now = Instant::now();
    let mut purse = BudgetPurse::new(1, 1, 1, TokenCount(BOUGHT), now);
    purse.set_view(BudgetRecord::default().view(1, 1, 1, 1), now);
    // Of a million tokens that are asked for in a second, a tenth comes to this VM.
    for _ in 0..5 {
        now += Duration::from_secs(1);
        purse.note_request(OWN, now);
        purse.note_demand(TokenCount(9 * OWN.0), now);
    }
    let role = PurseRole::NewKeeper;
    let ask = purse
        .plan_ask(role, TokenCount::ZERO, false, plan_at(now))
        .expect("an ask");
    assert!(ask.granted.0 <= 2 * OWN.0, "{}", ask.granted);
}
