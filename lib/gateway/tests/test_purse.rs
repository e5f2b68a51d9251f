//! Budgets by grants, against a store that loses replies, does writes late and
//! restarts VMs: the sum of what is spent never exceeds what was bought.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::BudgetPurse;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::PurseRefusal;
use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;

const PREPAID: u64 = 12_000;
const VMS: usize = 3;

/// A write that may still take effect.
struct LateWrite {
    expected: StoreRevision,
    record: BudgetRecord,
}

/// The record in the store, and writes whose replies were lost.
#[derive(Default)]
struct TestStore {
    record: BudgetRecord,
    revision: u64,
    late: Vec<LateWrite>,
}

impl TestStore {
    fn swap(&mut self, expected: StoreRevision, record: BudgetRecord) -> bool {
        if expected.0 != self.revision {
            return false;
        }
        self.record = record;
        self.revision += 1;
        true
    }
}

struct TestVm {
    purse: BudgetPurse,
    running: Vec<u64>,
}

fn new_vm(vm: u64, incarnation: u64, now: Instant) -> TestVm {
    TestVm {
        purse: BudgetPurse::new(vm, incarnation, TokenCount(PREPAID), now),
        running: Vec::new(),
    }
}

fn write(store: &mut TestStore, purse: &mut BudgetPurse, record: BudgetRecord, fate: u8) {
    let expected = purse.revision();
    purse.write_sent(&record);
    match fate {
        0 => {
            store.late.push(LateWrite { expected, record });
            purse.write_unknown();
        }
        1 => {
            store.swap(expected, record);
            purse.write_unknown();
        }
        _ => {
            store.swap(expected, record);
            purse.write_answered();
            purse.set_record(store.record.clone(), StoreRevision(store.revision));
        }
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
    let vm = &mut vms[at];
    match u.int_in_range(0..=9)? {
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
            let scarce = u.arbitrary()?;
            if let Some(record) = vm.purse.plan_write(VMS, scarce, now) {
                write(store, &mut vm.purse, record, u.int_in_range(0..=3)?);
            }
        }
        5 => {
            let record = vm.purse.plan_return();
            if vm.purse.is_known() {
                write(store, &mut vm.purse, record, u.int_in_range(0..=3)?);
            }
        }
        6 => {
            if !store.late.is_empty() {
                let late = store.late.swap_remove(0);
                store.swap(late.expected, late.record);
            }
        }
        7 | 8 => {
            let revision = StoreRevision(store.revision);
            vm.purse.set_record(store.record.clone(), revision);
        }
        _ => {
            // A kill: what ran may have run to its end.
            *spent += vm.running.iter().sum::<u64>();
            *vm = new_vm(at as u64, u.arbitrary()?, now);
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
    let mut vms: Vec<TestVm> = (0..VMS as u64).map(|vm| new_vm(vm, vm, start)).collect();
    let mut spent = 0;
    for turn in 0..300 {
        let now = start + Duration::from_millis(40 * turn);
        step(u, &mut store, &mut vms, &mut spent, now)?;
        let running: u64 = vms.iter().flat_map(|vm| &vm.running).sum();
        assert!(spent + running <= PREPAID, "spent {spent} + {running}");
        assert!(store.record.taken().0 <= PREPAID);
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
fn returned_grant_is_not_used_while_its_write_is_open() {
    let now = Instant::now();
    let mut purse = BudgetPurse::new(1, 1, TokenCount(10_000), now);
    purse.set_record(BudgetRecord::default(), StoreRevision(0));
    purse.note_demand(TokenCount(4000), now);
    assert_eq!(
        purse.reserve(TokenCount(4000)),
        Err(PurseRefusal::NeedsGrant)
    );
    let grant = purse.plan_write(1, false, now).expect("a grant");
    purse.write_sent(&grant);
    purse.write_answered();
    purse.set_record(grant, StoreRevision(1));
    assert!(purse.free() >= TokenCount(4000));
    let given_back = purse.plan_return();
    purse.write_sent(&given_back);
    purse.write_unknown();
    assert_eq!(purse.free(), TokenCount::ZERO);
}

#[test]
fn exhaustion_is_told_from_tokens_that_others_hold() {
    let now = Instant::now();
    let mut purse = BudgetPurse::new(1, 1, TokenCount(10_000), now);
    let mut record = BudgetRecord::default();
    record.set_holder(snipegate_gateway::BudgetHolder {
        vm: 2,
        incarnation: 9,
        granted: TokenCount(9_500),
        used: TokenCount(2_000),
    });
    purse.set_record(record.clone(), StoreRevision(1));
    let refusal = purse.why_refused(TokenCount(1000));
    assert_eq!(refusal, PurseRefusal::HeldElsewhere);
    record.holders[0].used = TokenCount(9_400);
    purse.set_record(record, StoreRevision(2));
    assert_eq!(purse.why_refused(TokenCount(1000)), PurseRefusal::Exhausted);
}
