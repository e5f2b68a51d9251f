//! What callers get that stick to a VM in a data centre of uneven VMs, and that enough VMs stay
//! ready.

mod room_samples;
mod room_simulation;

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::CallerDemand;
use snipegate_gateway::PeerContact;
use snipegate_gateway::ReadinessEvent;
use snipegate_gateway::ReadinessState;
use snipegate_gateway::RoomNotice;
use snipegate_gateway::VmLoad;

use crate::room_samples::owner;
use crate::room_samples::sample;
use crate::room_simulation::GroupTraffic;
use crate::room_simulation::RoomSimulation;

const UNEVEN_LINKS: [f64; 18] = [
    10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 25.0, 25.0, 25.0, 25.0,
    200.0, 200.0,
];
const SMALL_VM: usize = 3;
const BURST_AT: f64 = 40.0;
const TRAFFIC: GroupTraffic = GroupTraffic {
    mean: 1.3e6,
    burst: (BURST_AT, 5.0, 3.0),
};

/// Longest time from an overload until its callers use another VM: 0.8 s until three samples
/// show it, two readiness checks, and a check of a VM that they try on the way.
const LEAVE_TIME: Duration = Duration::from_millis(3800);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Most times that callers are led away until they are at a VM that carries them: seven of the
/// twelve that they would overload can be not ready for other VMs.
const MAX_MOVES: u32 = 5;

/// Callers that overload one VM after the other fail for some seconds at each. If all that they
/// would overload were not ready, so few would remain that the checks were taken for wrong, and
/// the callers would stay.
#[test]
fn callers_find_a_vm_that_carries_them_in_a_few_moves() {
    for seed in 0..12 {
        let mut world = RoomSimulation::new(&UNEVEN_LINKS, seed);
        world.add_group(SMALL_VM, TRAFFIC);
        world.run(Duration::from_secs_f64(BURST_AT));
        assert!(world.groups[0].vm >= 12, "at a small VM");
        assert!(world.groups[0].failing <= LEAVE_TIME * MAX_MOVES);
        // The burst overloads VMs of 25 Mbit/s as well.
        world.run(seconds(30));
        assert!(world.groups[0].failing <= LEAVE_TIME * (MAX_MOVES + 2));
        assert!(world.ready_count() * 2 >= world.vms.len());
    }
}

/// Callers return to a VM as soon as it is ready. When the hold of an overload ends while they
/// are at another VM, they overload the first one again.
#[test]
fn callers_do_not_come_back_while_they_would_overload_the_vm_again() {
    let mut world = RoomSimulation::new(&UNEVEN_LINKS, 1);
    world.run(seconds(30));
    world.add_group(SMALL_VM, TRAFFIC);
    world.run(seconds(300));
    assert!(world.groups[0].failing <= LEAVE_TIME * MAX_MOVES);
    world.groups.clear();
    world.run(seconds(600));
    assert_eq!(world.ready_count(), world.vms.len());
}

/// After a loss of power no VM knows of holds, capacities or past overloads.
#[test]
fn loss_of_power_of_all_costs_a_few_more_moves() {
    let mut world = RoomSimulation::new(&UNEVEN_LINKS, 2);
    world.add_group(SMALL_VM, TRAFFIC);
    world.run(seconds(20));
    for is_on in [false, true] {
        for vm in 0..world.vms.len() {
            world.set_power(vm, is_on);
        }
        world.run(seconds(1));
    }
    let failed = world.groups[0].failing;
    world.run(seconds(20));
    assert!(world.groups[0].vm >= 12, "at a small VM");
    assert!(world.groups[0].failing - failed <= LEAVE_TIME * MAX_MOVES);
}

/// A restarted VM is ready and does not know that it was overloaded: its callers come back. The
/// others tell each other of the hold too, and must not prolong it by that.
#[test]
fn restarted_vm_learns_of_the_hold_from_others() {
    let mut world = RoomSimulation::new(&UNEVEN_LINKS, 3);
    world.loss = 0.0;
    let restarted = world.first_in_order();
    world.add_group(restarted, TRAFFIC);
    world.run(seconds(10));
    world.groups.clear();
    world.set_power(restarted, false);
    world.run(seconds(1));
    world.set_power(restarted, true);
    world.run(Duration::from_millis(1100));
    let state = world.vms[restarted]
        .state
        .as_ref()
        .expect("a VM that is on");
    assert!(!state.is_ready());
    world.run(seconds(100));
    assert_eq!(world.ready_count(), world.vms.len());
}

/// VMs that rely on others have to be ready again when these have gone.
#[test]
fn small_vms_are_ready_when_the_large_ones_are_off() {
    let mut world = RoomSimulation::new(&UNEVEN_LINKS, 4);
    world.add_group(SMALL_VM, TRAFFIC);
    world.run(seconds(10));
    assert!(world.ready_count() <= 12);
    for vm in 12..18 {
        world.set_power(vm, false);
    }
    world.run(seconds(5));
    assert_eq!(world.ready_count(), 12);
}

/// Where all VMs are alike, callers gain nothing from another VM and would lose some seconds.
#[test]
fn equal_vms_stay_ready() {
    let mut world = RoomSimulation::new(&[10.0; 6], 5);
    world.add_group(0, TRAFFIC);
    world.add_group(1, TRAFFIC);
    world.run(seconds(60));
    assert!(!world.decisions.is_empty());
    for (_, _, decision) in &world.decisions {
        assert!(matches!(decision.event, ReadinessEvent::KeptReady(_)));
    }
}

fn play_random_data_centre(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let count = u.int_in_range(1..=14)?;
    let links: Result<Vec<f64>, _> = (0..count)
        .map(|_| u.choose(&[10.0, 10.0, 25.0, 50.0, 200.0]).copied())
        .collect();
    let mut world = RoomSimulation::new(&links?, u.arbitrary()?);
    world.loss = f64::from(u.int_in_range(0..=40)?) / 100.0;
    for _ in 0..u.int_in_range(1..=4)? {
        let traffic = GroupTraffic {
            mean: f64::from(u.int_in_range(200_000..=4_000_000)?),
            burst: (f64::from(u.int_in_range(0..=30)?), 4.0, 3.0),
        };
        world.add_group(u.choose_index(count)?, traffic);
    }
    for _ in 0..u.int_in_range(1..=4)? {
        let vm = u.choose_index(count)?;
        world.run(seconds(u.int_in_range(2..=9)?));
        world.set_power(vm, false);
        world.run(seconds(u.int_in_range(1..=3)?));
        world.set_power(vm, true);
    }
    world.run(seconds(10));
    Ok(())
}

/// If all VMs of a data centre report that they are not ready, its callers find none. The
/// simulation checks this at each step, beside lost notices and VMs that are switched off.
#[test]
fn some_vm_is_ready_at_any_time() {
    for number in 0..40 {
        arbtest(play_random_data_centre).seed(512 | number << 32);
    }
}

/// Lets each of the VMs hear the present notices of all others at once.
fn exchange(states: &mut [ReadinessState], now: Instant) {
    let notices: Vec<RoomNotice> = states.iter_mut().map(|s| s.next_notice(now)).collect();
    for (number, state) in states.iter_mut().enumerate() {
        for (from, notice) in notices.iter().enumerate() {
            if from != number {
                state.record_notice(notice.clone(), |_| PeerContact::Heard, now);
            }
        }
    }
}

fn decide_at_the_same_moment(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let start = Instant::now();
    let mut states = Vec::new();
    for number in 0..u.int_in_range(2..=10)? {
        let megabits = *u.choose(&[10.0, 20.0, 25.0, 30.0, 100.0])?;
        let mut state = ReadinessState::new(owner(number, megabits), start);
        let load = f64::from(u.int_in_range(0..=110)?) / 100.0 * megabits * 1e6 / 8.0;
        for step in 0..4 {
            let at = start + Duration::from_millis(200 * step);
            state.record_sample(&sample(load), |_| PeerContact::Heard, at);
        }
        states.push(state);
    }
    let now = start + seconds(1);
    exchange(&mut states, now);
    let is_changed = u.arbitrary()?;
    if is_changed {
        // What the VMs heard of each other is no longer so.
        for state in &mut states[1..] {
            let load = f64::from(u.int_in_range(0..=30)?) * 1e5;
            for _ in 0..20 {
                state.record_sample(&sample(load), |_| PeerContact::Heard, now);
            }
        }
    }
    // One of the VMs is found to be overloaded, and all hear of it at the same moment.
    let load = f64::from(u.int_in_range(1..=40)?) * 1e5;
    for step in 1..=3 {
        let at = now + Duration::from_millis(200 * step);
        states[0].record_sample(&sample(load), |_| PeerContact::Heard, at);
    }
    let now = now + Duration::from_millis(600);
    let overloaded = states[0].next_notice(now);
    for state in &mut states[1..] {
        state.record_notice(overloaded.clone(), |_| PeerContact::Heard, now);
    }
    let rooms: Vec<RoomNotice> = states.iter().map(|state| state.notice(now)).collect();
    assert!(rooms.iter().any(|room| room.is_ready), "no VM is ready");
    if is_changed {
        return Ok(());
    }
    let is_withheld = |room: &&RoomNotice| room.hold.is_some() && !room.is_ready;
    if let Some(hold) = rooms[1..]
        .iter()
        .find(is_withheld)
        .and_then(|room| room.hold)
    {
        let takers = rooms.iter().filter(|room| room.is_ready);
        let takers = takers.filter(|room| room.room.can_take(&hold.demand) == Some(true));
        let free: f64 = takers.map(|room| room.room.free_link().0).sum();
        assert!(
            free >= hold.demand.traffic.0 * 2.0,
            "too little room is left"
        );
    }
    Ok(())
}

/// VMs that hear of an overload at the same moment each count on the others: if two that
/// count on each other are not ready, nobody takes the callers.
#[test]
fn vms_that_decide_at_the_same_moment_leave_enough_room() {
    for number in 0..400 {
        arbtest(decide_at_the_same_moment).seed(256 | number << 32);
    }
}

/// A VM that has taken over the callers has little room left. If it took their old demand for
/// one that is still to come, it would send them on.
#[test]
fn vm_that_took_over_the_callers_stays_ready_when_it_hears_of_them_again() {
    let now = Instant::now();
    let mut states: Vec<ReadinessState> = [10.0, 25.0, 200.0]
        .into_iter()
        .enumerate()
        .map(|(number, megabits)| ReadinessState::new(owner(number, megabits), now))
        .collect();
    exchange(&mut states, now);
    let mut at = now;
    for _ in 0..3 {
        at += Duration::from_millis(200);
        states[0].record_sample(&sample(1.25e6), |_| PeerContact::Heard, at);
    }
    assert!(!states[0].is_ready());
    exchange(&mut states, at);
    for _ in 0..150 {
        at += Duration::from_millis(200);
        states[0].record_sample(&sample(0.0), |_| PeerContact::Heard, at);
        states[1].record_sample(&sample(1.3e6), |_| PeerContact::Heard, at);
        exchange(&mut states, at);
    }
    let hold = states[0].notice(at).hold.expect("a hold that goes on");
    assert_eq!(hold.renewals, 1);
    let load: VmLoad = states[1].notice(at).room.load;
    assert!(load.traffic().0 > 1.2e6);
    let demand = CallerDemand {
        traffic: load.traffic(),
        cores: 0.0,
    };
    assert_eq!(states[1].notice(at).room.can_take(&demand), Some(false));
    assert!(states[1].is_ready());
}

/// The callers of a VM whose processor is saturated would saturate that of the next small one,
/// although the links of both are free.
#[test]
fn saturated_processor_leads_callers_to_a_vm_with_more_of_it() {
    let now = Instant::now();
    let links = [10.0, 10.0, 25.0, 25.0, 25.0, 25.0, 25.0, 200.0];
    let links = links.into_iter().enumerate();
    let mut states: Vec<ReadinessState> = links
        .map(|(number, megabits)| ReadinessState::new(owner(number, megabits), now))
        .collect();
    exchange(&mut states, now);
    let mut late = sample(1e5);
    late.lateness = Duration::from_millis(150);
    for _ in 0..3 {
        states[0].record_sample(&late, |_| PeerContact::Heard, now);
    }
    exchange(&mut states, now);
    let ready: Vec<bool> = states.iter().map(ReadinessState::is_ready).collect();
    let expected = [false, false, true, true, true, true, true, true];
    assert_eq!(ready, expected);
}
