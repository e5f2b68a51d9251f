//! Simulations of a store that comes back from an older copy, with processes that are killed,
//! stopped and started, writes that are lost or late, and transfers. The total spent must never
//! exceed a budget.

mod shard_simulation;

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use indexmap::IndexMap;
use snipegate_gateway::BudgetShard;
use snipegate_gateway::WriterLevel;
use snipegate_platform::StoreEra;
use snipegate_types::TokenCount;

use crate::shard_simulation::BUDGETS;
use crate::shard_simulation::MAX_COPY_AGE;
use crate::shard_simulation::PREPAID;
use crate::shard_simulation::PlantedFault;
use crate::shard_simulation::TestStore;
use crate::shard_simulation::TestVm;

const WORKSPACE: u64 = 1;
const VMS: usize = 2;
const STEPS: u32 = 200;

/// Worlds simulated for the code as it is.
const SOUND_WORLDS: u64 = 3_000;

/// Worlds in which a planted fault has to be found.
const FAULTY_WORLDS: u64 = 20_000;

/// Budgets that are drawn on, most often the first.
const BUSY_BUDGETS: [usize; 6] = [0, 0, 0, 0, 1, 2];

/// Random bytes that a world may use up.
const WORLD_BYTES: usize = 4096;

/// Simulates one world; returns the tokens spent of each budget.
fn simulate(u: &mut Unstructured<'_>, fault: PlantedFault) -> Result<[u64; BUDGETS]> {
    let mut now = Instant::now();
    let mut store = TestStore::new(fault);
    let mut runs = 0;
    let mut next_run = || {
        runs += 1;
        runs
    };
    let mut vms: Vec<TestVm> = (0..VMS as u64)
        .map(|vm| TestVm::new(vm, next_run(), store.era, now, fault))
        .collect();
    let mut spent = [0; BUDGETS];
    for _ in 0..STEPS {
        let at = u.choose_index(VMS)?;
        match u.int_in_range(0..=46)? {
            0..=9 => vms[at].write(&mut store, WriterLevel::Full, now),
            10..=12 => vms[at].write_with_fault(&mut store, now, u)?,
            13..=24 => {
                let budget = *u.choose(&BUSY_BUDGETS)?;
                let cost = u.int_in_range(1..=120)?;
                spent[budget] += vms[at].serve(budget, cost, now);
            }
            25..=26 => {
                let budget = *u.choose(&BUSY_BUDGETS)?;
                let cost = TokenCount(u.int_in_range(1..=120)?);
                let moved = vms[at].holdings[budget].withdraw(cost, TokenCount::ZERO, now);
                vms[(at + 1) % VMS].holdings[budget].receive(moved);
            }
            27 => store.come_back(u, now)?,
            28 => {
                let vm = at as u64;
                vms[at] = TestVm::new(vm, next_run(), store.era, now, fault);
            }
            29..=30 if !store.late.is_empty() => {
                let chosen = u.choose_index(store.late.len())?;
                let late = store.late.swap_remove(chosen);
                store.swap(&late);
            }
            31..=33 => {
                vms[at].stop(&mut store, now);
                let vm = at as u64;
                vms[at] = TestVm::new(vm, next_run(), store.era, now, fault);
            }
            34 => {
                // The stopping process's last write is lost, or late.
                let write = vms[at].plan_return(&mut store, now);
                store.late.push(write);
                let vm = at as u64;
                vms[at] = TestVm::new(vm, next_run(), store.era, now, fault);
            }
            35..=36 => {
                let other = (at + 1) % VMS;
                vms[at].withdraw(&mut store, other as u64, now);
            }
            _ => now += Duration::from_millis(u.int_in_range(0..=5_000)?),
        }
        store.keep_copy(now);
    }
    Ok(spent)
}

/// Simulates worlds until one spends more than a budget; returns its number.
fn find_overspend(worlds: u64, fault: PlantedFault) -> Option<u64> {
    (0..worlds).find(|&seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut bytes = vec![0; WORLD_BYTES];
        random.fill(&mut bytes);
        let spent = simulate(&mut Unstructured::new(&bytes), fault);
        let spent = spent.expect("bytes should suffice");
        spent.iter().any(|&tokens| tokens > PREPAID.0)
    })
}

#[test]
fn no_return_of_the_store_overspends_a_budget() {
    let worlds = std::env::var("SNIPEGATE_WORLDS").ok();
    let worlds = worlds.and_then(|text| text.parse().ok());
    let found = find_overspend(worlds.unwrap_or(SOUND_WORLDS), PlantedFault::None);
    assert_eq!(found, None);
}

/// Returns the tokens spent if a write from before the return of the store is executed once
/// its revision has been given out again.
fn spend_with_late_write(fault: PlantedFault) -> u64 {
    let start = Instant::now();
    let mut store = TestStore::new(fault);
    let mut vms = [0, 1].map(|vm| TestVm::new(vm, vm + 1, store.era, start, fault));
    for vm in &mut vms {
        vm.write(&mut store, WriterLevel::Full, start);
    }
    let copy = store.state.clone();
    let now = start + 2 * MAX_COPY_AGE;
    vms[0].write(&mut store, WriterLevel::Full, now);
    store.copies = vec![(now, copy)];
    let late = vms[1].plan(&mut store, WriterLevel::Full, now);
    store.era.0 += 1;
    store.state = store.copies[0].1.clone();
    let mut spent = 0;
    let mut executed = false;
    for second in 0..60 {
        let now = now + Duration::from_secs(second);
        // The second VM serves only after the late write, and the first one no longer then.
        let at = usize::from(executed);
        if at == 0 || store.state.shard.awaits_report(0).is_some() {
            vms[0].write(&mut store, WriterLevel::Full, now);
        }
        vms[1].write(&mut store, WriterLevel::Full, now);
        spent += vms[at].serve(0, 100, now);
        if spent >= 500 && !executed {
            executed = true;
            store.state.shard_revision = late.expected;
            store.swap(&late);
        }
    }
    spent
}

#[test]
fn late_write_of_an_earlier_era_does_not_undo_grants() {
    let spent = spend_with_late_write(PlantedFault::None);
    assert!((500..=PREPAID.0).contains(&spent), "{spent} tokens spent");
    let spent = spend_with_late_write(PlantedFault::NoMarker);
    assert!(spent > PREPAID.0, "{spent} tokens spent");
}

/// Starts two VMs that may be granted whole budgets.
fn start_two_writers(fault: PlantedFault) -> (TestStore, [TestVm; 2], Instant) {
    let start = Instant::now();
    let mut store = TestStore::new(fault);
    let mut vms = [0, 1].map(|vm| TestVm::new(vm, vm + 1, store.era, start, fault));
    let mature = start + 2 * MAX_COPY_AGE;
    for now in [start, mature] {
        for vm in &mut vms {
            vm.write(&mut store, WriterLevel::Full, now);
        }
    }
    (store, vms, mature)
}

/// Returns the tokens spent if the withdrawal of a VM is executed in a copy from before the VM
/// was granted tokens.
fn spend_with_late_withdrawal(fault: PlantedFault) -> u64 {
    let (mut store, mut vms, now) = start_two_writers(fault);
    store.keep_copy(now);
    let late = vms[0].plan_withdrawal(&mut store, 1, now);
    let mut spent = 0;
    for _ in 0..6 {
        vms[1].write(&mut store, WriterLevel::Full, now);
        spent += vms[1].serve(0, 100, now);
    }
    store.come_back_from(0);
    assert!(store.swap(&late).is_some());
    for second in 0..60 {
        let now = now + Duration::from_secs(second);
        vms[0].write(&mut store, WriterLevel::Full, now);
        spent += vms[0].serve(0, 100, now);
    }
    spent
}

#[test]
fn late_withdrawal_of_a_vm_does_not_undo_its_grants() {
    let spent = spend_with_late_withdrawal(PlantedFault::None);
    assert!((500..=PREPAID.0).contains(&spent), "{spent} tokens spent");
    let spent = spend_with_late_withdrawal(PlantedFault::EarlyLowering);
    assert!(spent > PREPAID.0, "{spent} tokens spent");
}

/// Returns the tokens spent if a process stops in a new era after it has spent all of a budget
/// and another VM goes on.
fn spend_beside_stop(fault: PlantedFault) -> u64 {
    let (mut store, mut vms, now) = start_two_writers(fault);
    let mut spent = 0;
    for _ in 0..60 {
        spent += vms[0].serve(0, 50, now);
        vms[0].write(&mut store, WriterLevel::Full, now);
    }
    // It has nothing left to return.
    for _ in 0..50 {
        spent += vms[0].serve(0, 1, now);
    }
    store.keep_copy(now);
    store.come_back_from(0);
    vms[0].stop(&mut store, now);
    for second in 0..60 {
        let now = now + Duration::from_secs(second);
        vms[1].write(&mut store, WriterLevel::Full, now);
        spent += vms[1].serve(0, 50, now);
    }
    spent
}

#[test]
fn stopping_process_does_not_report_without_its_claims() {
    let spent = spend_beside_stop(PlantedFault::None);
    assert!((900..=PREPAID.0).contains(&spent), "{spent} tokens spent");
    let spent = spend_beside_stop(PlantedFault::ReportWithoutClaims);
    assert!(spent > PREPAID.0, "{spent} tokens spent");
}

#[test]
fn planted_faults_in_the_return_of_the_store_are_found() {
    for fault in [
        PlantedFault::NoRegistrationAge,
        PlantedFault::FalseReport,
        PlantedFault::FreeSettlement,
        PlantedFault::NoEraEntry,
    ] {
        let found = find_overspend(FAULTY_WORLDS, fault);
        assert!(found.is_some(), "{fault:?} was not found");
    }
}

#[test]
fn records_of_a_build_without_eras_keep_their_grants() {
    // The records by workspace, each as closed tokens and holders.
    type OldHolder = (u64, u64, u64, u64, u64, Option<()>);
    type OldShard = (IndexMap<u64, (u64, Vec<OldHolder>)>,);
    let holder: OldHolder = (7, 8, 3, 400, 100, None);
    let old: OldShard = (IndexMap::from([(WORKSPACE, (50, vec![holder]))]),);
    let bytes = rmp_serde::to_vec(&old).expect("records should encode");
    let mut shard = BudgetShard::decode(&bytes).expect("records should decode");
    assert!(shard.enter_era(StoreEra(1)));
    assert!(!shard.is_unsettled());
    let taken = shard.records[&WORKSPACE].taken();
    assert_eq!(taken, TokenCount(450));
}
