//! The addresses that callers are given where VMs are of uneven size.

mod room_samples;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use indexmap::IndexMap;
use snipegate_gateway::AddressCandidate;
use snipegate_gateway::AddressChoice;
use snipegate_gateway::ChoiceBasis;
use snipegate_gateway::DatedNotice;
use snipegate_gateway::PeerContact;
use snipegate_gateway::ReadinessState;
use snipegate_gateway::RoomNotice;
use snipegate_gateway::RoomOwner;
use snipegate_gateway::VmRecord;
use snipegate_gateway::VmStage;

use crate::room_samples::owner;
use crate::room_samples::sample;

const CALLERS: usize = 4000;

/// A VM, and the notice that others have of it.
struct NamedVm {
    record: VmRecord,
    state: ReadinessState,
    notice: DatedNotice,
}

impl NamedVm {
    fn new(number: usize, megabits: f64, data_centre: &str, now: Instant) -> Self {
        let owner = RoomOwner {
            data_centre: data_centre.parse().expect("a name"),
            ..owner(number, megabits)
        };
        let record = VmRecord {
            vm: owner.vm.clone(),
            incarnation: owner.incarnation,
            front: ([10, 0, 0, number as u8], 80).into(),
            gossip: ([10, 0, 0, number as u8], 81).into(),
            data_centre: owner.data_centre.clone(),
            stage: VmStage::Serving,
        };
        let state = ReadinessState::new(owner, now);
        let notice = DatedNotice {
            notice: state.notice(now),
            at: now,
        };
        Self {
            record,
            state,
            notice,
        }
    }

    /// Returns the free requests per second that others are told of.
    fn free(&self) -> f64 {
        self.notice.notice.offer.free.0
    }
}

/// Creates VMs in data centre `z1` with links of these rates, in megabits per second.
fn vms(links: &[f64], now: Instant) -> Vec<NamedVm> {
    let vms = links.iter().enumerate();
    vms.map(|(number, megabits)| NamedVm::new(number, *megabits, "z1", now))
        .collect()
}

fn choose(
    vms: &[NamedVm],
    data_centre: &str,
    caller: usize,
    now: Instant,
) -> Option<AddressChoice> {
    let candidates: Vec<AddressCandidate<'_>> = vms
        .iter()
        .map(|vm| AddressCandidate::new(&vm.record, Some(&vm.notice), now))
        .collect();
    let caller = format!("10.1.{}.{}", caller / 256, caller % 256);
    AddressChoice::choose(&candidates, Some(data_centre), &caller)
}

fn named(vms: &[NamedVm], caller: usize, now: Instant) -> Vec<SocketAddr> {
    choose(vms, "z1", caller, now).expect("a choice").addresses
}

/// Returns the share of all connections that each VM gets, if each caller picks one of its
/// addresses at random.
fn shares(vms: &[NamedVm], now: Instant) -> Vec<f64> {
    let mut shares: IndexMap<SocketAddr, f64> = IndexMap::new();
    for caller in 0..CALLERS {
        let addresses = named(vms, caller, now);
        assert!((2..=4).contains(&addresses.len()));
        for address in &addresses {
            *shares.entry(*address).or_default() += 1.0 / (addresses.len() * CALLERS) as f64;
        }
    }
    let share = |vm: &NamedVm| shares.get(&vm.record.front).copied().unwrap_or_default();
    vms.iter().map(share).collect()
}

/// Small VMs that get as many callers as large ones are overloaded while these are idle.
#[test]
fn callers_are_spread_in_proportion_to_what_is_free() {
    let now = Instant::now();
    let vms = vms(
        &[
            10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 25.0, 25.0, 25.0, 50.0, 50.0,
        ],
        now,
    );
    let free: f64 = vms.iter().map(NamedVm::free).sum();
    for (vm, share) in vms.iter().zip(shares(&vms, now)) {
        let fair = vm.free() / free;
        assert!(
            share > fair * 0.6 && share < fair * 1.4,
            "{share} for {fair}"
        );
    }
    let has_four = |caller: &usize| named(&vms, *caller, now).len() == 4;
    assert!((0..CALLERS).filter(has_four).count() > CALLERS / 3);
}

/// In a small data centre four addresses are nearly all VMs, so that each gets the same share.
#[test]
fn large_vm_among_few_gets_the_larger_share() {
    let now = Instant::now();
    let vms = vms(&[25.0, 25.0, 25.0, 25.0, 200.0], now);
    let shares = shares(&vms, now);
    assert!(shares[4] > 0.35, "{shares:?}");
}

/// A caller drops its connections to addresses that a newer answer does not name.
#[test]
fn small_changes_of_the_load_leave_answers_as_they_are() {
    let now = Instant::now();
    let mut vms = vms(&[10.0, 10.0, 25.0, 25.0, 25.0, 50.0, 50.0, 200.0], now);
    let before: Vec<Vec<SocketAddr>> = (0..CALLERS).map(|c| named(&vms, c, now)).collect();
    let is_changed = |vms: &[NamedVm], caller: &usize| named(vms, *caller, now) != before[*caller];
    for vm in &mut vms {
        vm.state
            .record_sample(&sample(1e5), |_| PeerContact::Heard, now);
        vm.notice.notice = vm.state.notice(now);
    }
    assert_eq!((0..CALLERS).filter(|c| is_changed(&vms, c)).count(), 0);
    // A VM that fills up loses callers, and those of the others stay where they are.
    vms[5].notice.notice.offer.free.0 *= 0.7;
    let changed = (0..CALLERS).filter(|c| is_changed(&vms, c)).count();
    assert!(changed > 0 && changed < CALLERS / 5, "{changed}");
    for (caller, before) in before.iter().enumerate() {
        if !before.contains(&vms[5].record.front) {
            assert_eq!(named(&vms, caller, now), *before);
        }
    }
}

/// Callers that follow the free capacity all at once overload one VM after the other.
#[test]
fn load_that_follows_the_answers_does_not_oscillate() {
    const REQUEST_BYTES: f64 = 20e3;
    const MEAN_TRAFFIC: f64 = 14e6;
    const CALLERS: usize = 500;
    let start = Instant::now();
    let links = [
        10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 25.0, 25.0, 25.0, 25.0, 200.0, 200.0,
    ];
    let mut vms = vms(&links, start);
    let mut answers: Vec<Vec<SocketAddr>> = (0..CALLERS).map(|c| named(&vms, c, start)).collect();
    let mut highest = 0.0_f64;
    let mut changes = 0;
    for step in 1..=400 {
        let now = start + Duration::from_millis(200) * step;
        let wave = 1.0 + 0.5 * (f64::from(step) / 75.0 * std::f64::consts::TAU).sin();
        let caller_bytes = MEAN_TRAFFIC * wave / CALLERS as f64;
        for (caller, known) in answers.iter_mut().enumerate() {
            // Each caller asks every 2 s.
            if (caller + step as usize).is_multiple_of(10) {
                let newer = named(&vms, caller, now);
                changes += usize::from(step > 100 && newer != *known);
                *known = newer;
            }
        }
        for vm in &mut vms {
            let used = |answer: &Vec<SocketAddr>| match answer.contains(&vm.record.front) {
                true => caller_bytes / answer.len() as f64,
                false => 0.0,
            };
            let traffic: f64 = answers.iter().map(used).sum();
            let mut sample = sample(traffic);
            sample.requests.0 = traffic / REQUEST_BYTES;
            sample.streams.0 = traffic;
            vm.state.record_sample(&sample, |_| PeerContact::Heard, now);
            if step % 5 == 0 {
                vm.notice.notice = vm.state.notice(now);
                vm.notice.at = now;
            }
            if step > 100 {
                let link = vm.notice.notice.room.link.expect("a link").0;
                highest = highest.max(traffic / link);
            }
        }
    }
    assert!(highest < 0.72, "a link is saturated: {highest}");
    // Of 30 queries of each caller.
    assert!(changes < CALLERS * 30 / 10, "{changes} answers changed");
}

/// A caller that is sent to a VM that is not ready or overloaded makes it worse; but a VM
/// that may answer is better than none.
#[test]
fn vm_that_cannot_take_more_is_named_only_if_there_is_no_other() {
    let now = Instant::now();
    let mut vms = vms(&[10.0, 25.0, 25.0, 200.0], now);
    vms[3].notice.notice.is_ready = false;
    vms[2].notice.notice.is_overloaded = true;
    vms[1].notice.notice.offer.free.0 = 0.0;
    for caller in 0..100 {
        assert_eq!(named(&vms, caller, now), [vms[0].record.front]);
    }
    for vm in &mut vms {
        vm.notice.notice.is_ready = false;
        vm.notice.notice.offer.free.0 = 0.0;
    }
    let choice = choose(&vms, "z1", 1, now).expect("a choice");
    assert_eq!(choice.basis, ChoiceBasis::NoneOpen);
    let shares = shares(&vms, now);
    assert!(shares[3] > shares[0] * 1.5, "{shares:?}");
}

/// Connections to other data centres are slow and cost more; but where the own one is
/// short of room its callers are served late.
#[test]
fn other_data_centres_are_named_as_the_own_one_fills_up() {
    let now = Instant::now();
    let mut vms = vms(&[10.0, 25.0, 50.0], now);
    vms.extend((3..6).map(|number| NamedVm::new(number, 50.0, "z2", now)));
    let remote_share = |vms: &[NamedVm]| shares(vms, now)[3..].iter().sum::<f64>();
    assert_eq!(remote_share(&vms), 0.0);
    let mut last = 0.0;
    for free in [0.3, 0.25, 0.2, 0.15] {
        for vm in &mut vms[..3] {
            let offer = &mut vm.notice.notice.offer;
            offer.free.0 = offer.capacity.0 * free;
        }
        let share = remote_share(&vms);
        assert!(share >= last && share - last < 0.5, "{last}, then {share}");
        last = share;
    }
    assert!(last > 0.3, "{last}");
}

/// A VM whose link is saturated loses its notices. Taken for an average one, a small VM
/// would then get more callers than before.
#[test]
fn silent_small_vm_gets_no_more_than_it_could_take() {
    let now = Instant::now();
    let mut vms = vms(&[10.0, 25.0, 200.0, 200.0], now);
    let before = shares(&vms, now)[0];
    let later = now + Duration::from_secs(4);
    for vm in &mut vms[1..] {
        vm.notice.at = later;
    }
    assert!(shares(&vms, later)[0] <= before * 1.1);
    // It was not ready when it was last heard, for 30 s.
    for step in 1..=3 {
        let at = now + Duration::from_millis(200) * step;
        let others: Vec<RoomNotice> = vms[1..].iter().map(|vm| vm.notice.notice.clone()).collect();
        let small = &mut vms[0].state;
        for notice in others {
            small.record_notice(notice, |_| PeerContact::Heard, at);
        }
        small.record_sample(&sample(1.25e6), |_| PeerContact::Heard, at);
    }
    let at = now + Duration::from_millis(600);
    vms[0].notice = DatedNotice {
        notice: vms[0].state.notice(at),
        at,
    };
    assert!(!vms[0].notice.notice.is_ready);
    assert_eq!(shares(&vms, later)[0], 0.0);
}

/// Where all VMs are alike, the load spreads by itself and answers remain as they were.
#[test]
fn equal_vms_are_not_weighed() {
    let now = Instant::now();
    let mut vms = vms(&[25.0; 6], now);
    vms[0].notice.notice.offer.free.0 = 0.0;
    assert_eq!(choose(&vms, "z1", 1, now), None);
}

fn check_any_answer(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let now = Instant::now();
    let mut vms = Vec::new();
    for number in 0..u.int_in_range(2..=8)? {
        let data_centre = *u.choose(&["z1", "z2"])?;
        let megabits = *u.choose(&[10.0, 25.0, 200.0])?;
        let mut vm = NamedVm::new(number, megabits, data_centre, now);
        let notice = &mut vm.notice.notice;
        notice.offer.free.0 *= f64::from(u.int_in_range(0..=2)?) / 2.0;
        notice.is_ready = u.arbitrary()?;
        notice.is_overloaded = u.ratio(1, 4)?;
        vms.push((vm, u.int_in_range(0..=5)?));
    }
    // Notices of several ages, and VMs without one.
    let candidates: Vec<AddressCandidate<'_>> = vms
        .iter()
        .map(|(vm, age)| {
            let notice = Some(&vm.notice).filter(|_| *age < 5);
            AddressCandidate::new(&vm.record, notice, now + Duration::from_secs(*age))
        })
        .collect();
    if let Some(choice) = AddressChoice::choose(&candidates, Some("z1"), "10.0.0.1") {
        assert!(!choice.addresses.is_empty(), "no VM is named");
    }
    Ok(())
}

/// A caller that is given no address is served by nobody, though any VM might answer.
#[test]
fn some_vm_is_named_whatever_is_known() {
    for number in 0..2000 {
        arbtest(check_any_answer).seed(256 | number << 32);
    }
}
