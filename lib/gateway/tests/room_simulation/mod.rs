//! Simulated data centre of VMs of uneven size, with callers that stick to a VM: each group
//! of them uses the first VM of its own order that is not out of choice. A VM is out of choice
//! after two readiness checks in a row that failed, until one succeeds. While more than half of
//! the VMs are out of choice, the checks are taken for wrong and count for none.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use snipegate_gateway::PeerContact;
use snipegate_gateway::ReadinessDecision;
use snipegate_gateway::ReadinessState;
use snipegate_gateway::RoomNotice;
use snipegate_gateway::RoomOwner;
use snipegate_types::ByteRate;
use snipegate_types::VmId;

use crate::room_samples::SAMPLE_INTERVAL;
use crate::room_samples::owner;
use crate::room_samples::sample;

const STEP: Duration = Duration::from_millis(20);
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which a VM finds out that another one is off.
const POWER_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Longest delay of a notice, in ms.
const MAX_NOTICE_DELAY_MS: u64 = 40;

/// Period of the waves in which the load comes, in seconds.
const WAVE_PERIOD: f64 = 15.0;

/// Lowest and highest load in a wave, in relation to the mean.
const WAVE_RANGE: (f64, f64) = (0.45, 1.55);

/// Traffic of one group of callers.
#[derive(Clone, Copy, Debug)]
pub struct GroupTraffic {
    /// Mean, in bytes per second.
    pub mean: f64,
    /// Begin, length in seconds and factor of a burst.
    pub burst: (f64, f64, f64),
}

impl GroupTraffic {
    fn at(&self, seconds: f64) -> f64 {
        let (low, high) = WAVE_RANGE;
        let wave = (1.0 + (std::f64::consts::TAU * seconds / WAVE_PERIOD).sin()) / 2.0;
        let (begin, length, factor) = self.burst;
        let is_burst = (begin..begin + length).contains(&seconds);
        self.mean * (low + (high - low) * wave) * if is_burst { factor } else { 1.0 }
    }
}

/// Callers that stick to a VM.
pub struct StickyGroup {
    traffic: GroupTraffic,
    order: Vec<usize>,
    /// The VM that they use.
    pub vm: usize,
    /// Number of times that they went to another VM.
    pub moves: usize,
    /// Time in which the link of their VM could not carry what it was sent.
    pub failing: Duration,
}

pub struct SimulatedVm {
    pub owner: RoomOwner,
    /// `None` while the VM is off.
    pub state: Option<ReadinessState>,
    /// Traffic of other callers, in bytes per second.
    base: f64,
    carried: f64,
    next_sample: Instant,
    next_notice: Instant,
    repeats: u32,
    next_check: Instant,
    failed_checks: u32,
}

impl SimulatedVm {
    fn is_ready(&self) -> bool {
        self.state.as_ref().is_some_and(ReadinessState::is_ready)
    }

    fn is_in_choice(&self) -> bool {
        self.failed_checks < 2
    }
}

/// Simulated data centre.
pub struct RoomSimulation {
    rng: Rng,
    start: Instant,
    /// Simulated time.
    pub now: Instant,
    pub vms: Vec<SimulatedVm>,
    pub groups: Vec<StickyGroup>,
    /// Probability that a notice is lost.
    pub loss: f64,
    /// Decisions with the time and the VM.
    pub decisions: Vec<(Instant, usize, ReadinessDecision)>,
    messages: Vec<(Instant, usize, RoomNotice)>,
    powered_off_at: Option<Instant>,
}

impl RoomSimulation {
    /// Creates VMs with links of these rates, in megabits per second. A twentieth of each link
    /// is used by callers that don't stick to it.
    pub fn new(links: &[f64], seed: u64) -> Self {
        let start = Instant::now();
        let mut rng = Rng::with_seed(seed);
        let vms = links.iter().enumerate().map(|(number, &megabits)| {
            let mut phase = |interval: Duration| start + interval.mul_f64(rng.f64());
            SimulatedVm {
                owner: owner(number, megabits),
                state: Some(ReadinessState::new(owner(number, megabits), start)),
                base: ByteRate::from_megabits(megabits).0 / 20.0,
                carried: 0.0,
                next_sample: phase(SAMPLE_INTERVAL),
                next_notice: phase(NOTICE_INTERVAL),
                repeats: 0,
                next_check: phase(CHECK_INTERVAL),
                failed_checks: 0,
            }
        });
        let vms = vms.collect();
        Self {
            rng,
            start,
            now: start,
            vms,
            groups: Vec::new(),
            loss: 0.05,
            decisions: Vec::new(),
            messages: Vec::new(),
            powered_off_at: None,
        }
    }

    /// Adds callers that go to `first`, and then to the other VMs in an order of chance.
    pub fn add_group(&mut self, first: usize, traffic: GroupTraffic) {
        let mut order: Vec<usize> = (0..self.vms.len()).filter(|vm| *vm != first).collect();
        self.rng.shuffle(&mut order);
        order.insert(0, first);
        self.groups.push(StickyGroup {
            traffic,
            order,
            vm: first,
            moves: 0,
            failing: Duration::ZERO,
        });
    }

    /// Returns the number of ready VMs.
    pub fn ready_count(&self) -> usize {
        self.vms.iter().filter(|vm| vm.is_ready()).count()
    }

    /// Switches a VM off, or on again without what it knew.
    pub fn set_power(&mut self, vm: usize, is_on: bool) {
        let (now, incarnation) = (self.now, self.rng.u64(1000..));
        if !is_on {
            self.powered_off_at = Some(now);
        }
        let vm = &mut self.vms[vm];
        vm.owner.incarnation = incarnation;
        vm.state = is_on.then(|| ReadinessState::new(vm.owner.clone(), now));
    }

    /// Returns the ready VM that comes before all others in the order in which VMs rely on each
    /// other, so that it is the first to be withheld.
    pub fn first_in_order(&self) -> usize {
        let notice = |vm: usize| {
            self.vms[vm]
                .state
                .as_ref()
                .map(|state| state.notice(self.now))
        };
        let is_first = |vm: &usize| {
            let own = notice(*vm);
            let others = (0..self.vms.len()).filter(|other| other != vm).map(notice);
            others
                .flatten()
                .all(|other| own.as_ref().is_some_and(|own| other.is_after(own)))
        };
        (0..self.vms.len()).find(is_first).expect("a VM that is on")
    }

    /// Runs the simulation for `span`, and checks that some VM is ready while any is on, except
    /// for a while after one was switched off.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.carry_traffic();
            self.deliver_notices();
            for vm in 0..self.vms.len() {
                self.step_vm(vm);
            }
            self.move_groups();
            let is_on = |vm: &SimulatedVm| vm.state.is_some();
            let is_settling = |at| self.now < at + POWER_SETTLE_TIME;
            let is_excused = self.powered_off_at.is_some_and(is_settling);
            assert!(is_excused || self.ready_count() > 0 || !self.vms.iter().any(is_on));
        }
    }

    fn carry_traffic(&mut self) {
        let seconds = (self.now - self.start).as_secs_f64();
        let mut offered: Vec<f64> = self.vms.iter().map(|vm| vm.base).collect();
        for group in &self.groups {
            offered[group.vm] += group.traffic.at(seconds);
        }
        let link = |vm: &SimulatedVm| vm.owner.capacity.link.expect("a link").0;
        for (vm, offered) in self.vms.iter_mut().zip(&offered) {
            vm.carried += offered.min(link(vm)) * STEP.as_secs_f64();
        }
        for group in &mut self.groups {
            let vm = &self.vms[group.vm];
            if vm.state.is_none() || offered[group.vm] > link(vm) {
                group.failing += STEP;
            }
        }
    }

    fn deliver_notices(&mut self) {
        let now = self.now;
        let is_due = |message: &mut (Instant, usize, RoomNotice)| message.0 <= now;
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, to, notice) in due {
            let contact = contacts(&self.vms);
            let Some(state) = &mut self.vms[to].state else {
                continue;
            };
            let (_, decision) = state.record_notice(notice, contact, now);
            self.announce(to, decision);
        }
    }

    fn step_vm(&mut self, vm: usize) {
        let now = self.now;
        if self.vms[vm].next_check <= now {
            self.vms[vm].next_check += CHECK_INTERVAL;
            let is_ready = self.vms[vm].is_ready();
            let failed = &mut self.vms[vm].failed_checks;
            *failed = if is_ready { 0 } else { *failed + 1 };
        }
        if self.vms[vm].next_sample <= now {
            let contact = contacts(&self.vms);
            let this = &mut self.vms[vm];
            this.next_sample += SAMPLE_INTERVAL;
            let traffic = std::mem::take(&mut this.carried) / SAMPLE_INTERVAL.as_secs_f64();
            let Some(state) = &mut this.state else {
                return;
            };
            let decision = state.record_sample(&sample(traffic), contact, now);
            self.announce(vm, decision);
        }
        if self.vms[vm].next_notice <= now {
            self.send_notice(vm);
        }
    }

    fn announce(&mut self, vm: usize, decision: Option<ReadinessDecision>) {
        if let Some(decision) = decision {
            self.decisions.push((self.now, vm, decision));
            self.vms[vm].repeats = 2;
            self.send_notice(vm);
        }
    }

    fn send_notice(&mut self, vm: usize) {
        let now = self.now;
        let this = &mut self.vms[vm];
        let is_repeated = this.repeats > 0;
        this.repeats = this.repeats.saturating_sub(1);
        this.next_notice = now
            + if is_repeated {
                SAMPLE_INTERVAL
            } else {
                NOTICE_INTERVAL
            };
        let Some(state) = &mut this.state else {
            return;
        };
        let notice = state.next_notice(now);
        for to in (0..self.vms.len()).filter(|to| *to != vm) {
            if self.rng.f64() >= self.loss {
                let delay = Duration::from_millis(self.rng.u64(1..=MAX_NOTICE_DELAY_MS));
                self.messages.push((now + delay, to, notice.clone()));
            }
        }
    }

    fn move_groups(&mut self) {
        let out_of_choice = self.vms.iter().filter(|vm| !vm.is_in_choice()).count();
        if out_of_choice * 2 > self.vms.len() {
            self.return_groups();
            return;
        }
        for group in &mut self.groups {
            let in_choice = |vm: &&usize| self.vms[**vm].is_in_choice();
            let vm = *group.order.iter().find(in_choice).unwrap_or(&group.vm);
            group.moves += usize::from(vm != group.vm);
            group.vm = vm;
        }
    }

    /// Sends all callers to the VMs that are the first in their orders.
    fn return_groups(&mut self) {
        for group in &mut self.groups {
            group.moves += usize::from(group.vm != group.order[0]);
            group.vm = group.order[0];
        }
    }
}

/// Returns a function that tells which VMs are heard: those that are on.
fn contacts(vms: &[SimulatedVm]) -> impl Fn(&VmId) -> PeerContact + use<> {
    let heard: Vec<VmId> = vms
        .iter()
        .filter(|vm| vm.state.is_some())
        .map(|vm| vm.owner.vm.clone())
        .collect();
    move |vm| match heard.contains(vm) {
        true => PeerContact::Heard,
        false => PeerContact::Silent,
    }
}
