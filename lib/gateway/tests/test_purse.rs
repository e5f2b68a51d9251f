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
use snipegate_gateway::PurseRefusal;
use snipegate_gateway::PurseRole;
use snipegate_gateway::SeenNumbers;
use snipegate_gateway::TokenTransfer;
use snipegate_types::TokenCount;

const PREPAID: u64 = 12_000;
const VMS: usize = 3;

/// A write that may still take effect.
struct LateWrite {
    expected: u64,
    record: BudgetRecord,
}

/// The record in the store, with what lost its way to it.
#[derive(Default)]
struct TestStore {
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
    fn swap(&mut self, expected: u64, record: BudgetRecord) -> bool {
        if expected != self.revision {
            return false;
        }
        self.record = record;
        self.revision += 1;
        true
    }

    /// Applies an ask as the VM that writes does.
    fn write(&mut self, ask: &GrantAsk, fate: u8) {
        let mut record = self.record.clone();
        if !record.apply(ask, TokenCount(PREPAID)) {
            return;
        }
        let expected = self.revision;
        match fate {
            0 => self.late_writes.push(LateWrite { expected, record }),
            _ => assert!(self.swap(expected, record)),
        }
    }
}

struct TestVm {
    purse: BudgetPurse,
    vm: u64,
    incarnation: u64,
    running: Vec<u64>,
    transfers_sent: u64,
    transfers_seen: SeenNumbers,
}

impl TestVm {
    fn new(vm: u64, incarnation: u64, now: Instant) -> Self {
        Self {
            purse: BudgetPurse::new(1, vm, incarnation, TokenCount(PREPAID), now),
            vm,
            incarnation,
            running: Vec::new(),
            transfers_sent: 0,
            transfers_seen: SeenNumbers::default(),
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

    fn see(&mut self, store: &TestStore) {
        let view = store
            .record
            .view(1, store.revision, self.vm, self.incarnation);
        self.purse.set_view(view);
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
    now: Instant,
) -> Result<()> {
    let at = u.int_in_range(0..=vms.len() - 1)?;
    let other = u.int_in_range(0..=VMS - 1)?;
    let vm = &mut vms[at];
    match u.int_in_range(0..=15)? {
        0 | 1 => {
            let cost = u.int_in_range(1..=6_000)?;
            vm.purse.note_demand(TokenCount(cost), now);
            if vm.purse.reserve(TokenCount(cost)).is_ok() {
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
            let queued = TokenCount(u.int_in_range(0..=3_000)?);
            let scarce = u.arbitrary()?;
            if let Some(ask) = vm.purse.plan_ask(role, queued, scarce, now) {
                send(store, ask, u.int_in_range(0..=4)?);
            }
        }
        5 => {
            let ask = vm.purse.plan_return();
            send(store, ask, u.int_in_range(0..=4)?);
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
        8 | 9 => vm.see(store),
        10 | 11 => {
            let need = TokenCount(u.int_in_range(1..=4_000)?);
            let wish = TokenCount(u.int_in_range(0..=4_000)?);
            let tokens = vm.purse.give(need, wish);
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
        _ => {
            // A kill: what ran may have run to its end.
            *spent += vm.running.iter().sum::<u64>();
            store.had_kill = true;
            *vm = TestVm::new(at as u64, u.arbitrary()?, now);
        }
    }
    Ok(())
}

/// Bytes of randomness of one run.
const RUN_BYTES: u64 = 8192;

/// Runs that are tried.
const RUNS: u64 = 1500;

fn play(u: &mut Unstructured<'_>) -> Result<()> {
    let start = Instant::now();
    let mut store = TestStore::default();
    let mut vms: Vec<TestVm> = (0..VMS as u64)
        .map(|vm| TestVm::new(vm, vm, start))
        .collect();
    let mut spent = 0;
    for turn in 0..300 {
        let now = start + Duration::from_millis(40 * turn);
        step(u, &mut store, &mut vms, &mut spent, now)?;
        let running: u64 = vms.iter().flat_map(|vm| &vm.running).sum();
        assert!(spent + running <= PREPAID, "spent {spent} + {running}");
        assert!(store.record.taken().0 <= PREPAID);
        for vm in vms.iter().filter(|_| !store.had_kill) {
            // "Used up" is final, so it has to be true.
            let fits = PREPAID.saturating_sub(spent).saturating_sub(running);
            let refusal = vm.purse.why_refused(TokenCount(fits));
            assert!(refusal != PurseRefusal::Exhausted, "{fits} of {PREPAID}");
        }
    }
    Ok(())
}

#[test]
fn spending_never_exceeds_what_was_bought() {
    for number in 0..RUNS {
        arbtest(play).seed(RUN_BYTES | number << 32);
    }
}

#[test]
fn returned_grant_is_not_used_while_its_ask_is_open() {
    let now = Instant::now();
    let mut store = TestStore::default();
    let mut vm = TestVm::new(1, 1, now);
    vm.see(&store);
    vm.purse.note_demand(TokenCount(4000), now);
    assert_eq!(
        vm.purse.reserve(TokenCount(4000)),
        Err(PurseRefusal::NeedsGrant)
    );
    let ask = vm
        .purse
        .plan_ask(PurseRole::Keeper, TokenCount::ZERO, false, now)
        .expect("an ask");
    store.write(&ask, 1);
    assert_eq!(vm.purse.free(), TokenCount::ZERO);
    vm.see(&store);
    assert!(vm.purse.free() >= TokenCount(4000));
    let _lost = vm.purse.plan_return();
    assert_eq!(vm.purse.free(), TokenCount::ZERO);
    vm.see(&store);
    assert_eq!(vm.purse.free(), TokenCount::ZERO);
}

#[test]
fn ask_that_comes_late_or_twice_changes_nothing() {
    let now = Instant::now();
    let mut store = TestStore::default();
    let mut vm = TestVm::new(1, 1, now);
    vm.see(&store);
    vm.purse.note_demand(TokenCount(4000), now);
    let first = vm
        .purse
        .plan_ask(PurseRole::Keeper, TokenCount::ZERO, false, now)
        .expect("an ask");
    let last = vm.purse.plan_return();
    store.write(&last, 1);
    store.write(&first, 1);
    store.write(&last, 1);
    assert_eq!(store.record.taken(), TokenCount::ZERO);
    assert_eq!(store.revision, 1);
}

#[test]
fn exhaustion_is_told_from_tokens_that_others_hold() {
    let now = Instant::now();
    let mut store = TestStore::default();
    let mut vm = TestVm::new(1, 1, now);
    store.record.holders.push(BudgetHolder {
        vm: 2,
        incarnation: 9,
        sequence: 1,
        granted: TokenCount(11_500),
        used: TokenCount(2_000),
    });
    vm.see(&store);
    let refusal = vm.purse.why_refused(TokenCount(1000));
    assert_eq!(refusal, PurseRefusal::HeldElsewhere);
    store.record.holders[0].used = TokenCount(11_400);
    store.revision += 1;
    vm.see(&store);
    let refusal = vm.purse.why_refused(TokenCount(1000));
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
                purse.set_view(record.view(1, revision, vm, vm));
                let role = PurseRole::Keeper;
                if let Some(ask) = purse.plan_ask(role, TokenCount::ZERO, false, now) {
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
    const BOUGHT: u64 = 10_000_000;
    const COST: TokenCount = TokenCount(9_000);
    const REQUESTS: usize = 1200;
    let mut now = Instant::now();
    let mut record = BudgetRecord::default();
    let mut revision = 0;
    let mut purses: Vec<BudgetPurse> = (0..GROWN_VMS as u64)
        .map(|vm| BudgetPurse::new(1, vm, vm, TokenCount(BOUGHT), now))
        .collect();
    let mut served = 0;
    // 15 requests a second of one workspace, each at another VM.
    for number in 0..REQUESTS {
        now += Duration::from_millis(67);
        let at = 1 + number % (GROWN_VMS - 1);
        purses[at].note_request(COST, now);
        if purses[at].reserve(COST).is_err() {
            let missing = purses[at].missing(COST);
            let wish = purses[at].wish(now);
            let keeper = &mut purses[0];
            keeper.note_demand(missing, now);
            keeper.set_view(record.view(1, revision, 0, 0));
            if let Some(ask) = keeper.plan_ask(PurseRole::Keeper, missing, false, now) {
                record.apply(&ask, TokenCount(BOUGHT));
                revision += 1;
                keeper.set_view(record.view(1, revision, 0, 0));
            }
            let given = keeper.give(missing, wish);
            purses[at].receive(given);
            if purses[at].reserve(COST).is_err() {
                continue;
            }
        }
        served += 1;
        purses[at].settle(COST, COST);
        let surplus = purses[at].surplus(false, now);
        let back = purses[at].give(surplus, TokenCount::ZERO);
        purses[0].receive(back);
    }
    // All but 3 in 100 of the budget reaches requests, with few writes.
    assert!(served * COST.0 * 100 >= BOUGHT * 97, "{served} served");
    // The design page allows 2.5 writes a second of a shard.
    let seconds = REQUESTS as u64 * 67 / 1000;
    assert!(revision * 2 <= seconds * 5, "{revision} writes");
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
    purse.set_view(BudgetRecord::default().view(1, 1, 1, 1));
    // Of a million tokens that are asked for in a second, a tenth comes to this VM.
    for _ in 0..5 {
        now += Duration::from_secs(1);
        purse.note_request(OWN, now);
        purse.note_demand(TokenCount(9 * OWN.0), now);
    }
    let role = PurseRole::NewKeeper;
    let ask = purse
        .plan_ask(role, TokenCount::ZERO, false, now)
        .expect("an ask");
    assert!(ask.granted.0 <= 2 * OWN.0, "{}", ask.granted);
}
