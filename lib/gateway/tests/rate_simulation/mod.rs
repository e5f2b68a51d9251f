//! Simulated fleet in front of one upstream that advertises a rate limit. Requests,
//! responses and messages are delayed, messages get lost, and VMs are partitioned or
//! restarted. The upstream may also be cold, and VMs may be cut off from the store that says so.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use snipegate_gateway::ColdNotice;
use snipegate_gateway::ColdRule;
use snipegate_gateway::ColdTable;
use snipegate_gateway::ColdTolerance;
use snipegate_gateway::RateAnnouncement;
use snipegate_gateway::RateAnswer;
use snipegate_gateway::RateLimitNotice;
use snipegate_gateway::RateTable;
use snipegate_gateway::ShareView;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::UpstreamPhase;
use snipegate_gateway::own_share;
use snipegate_platform::StoreRevision;
use snipegate_types::RequestRate;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Every n-th message includes all rate limits.
const ALL_RATES_EVERY: u64 = 8;

/// A VM counts as silent after this time without a message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// A request counts only if its VM forwarded a response with a rate limit at least this
/// long before.
const FORWARDED_BEFORE: Duration = Duration::from_millis(500);

/// How long the requests of a VM do not count after a disturbance has ended.
const EXCUSE_PERIOD: Duration = Duration::from_secs(3);

/// Time from its start in which a VM does not know the fleet.
const FLEET_LEARNING_TIME: Duration = Duration::from_millis(1500);

/// Interval at which the upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(900);

/// Number of VMs that tell the others what they read in the store.
const READERS: usize = 2;

/// What a cold upstream takes.
#[derive(Clone, Copy, Debug)]
pub struct ColdSetup {
    /// Rule of the service.
    pub rule: ColdRule,
    /// Tolerance of the deployment.
    pub tolerance: ColdTolerance,
    /// Longest time until a VM sees a change in the store, in ms.
    pub store_delay_ms: u64,
}

/// Parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of VMs.
    pub vms: usize,
    /// Requests per second that each VM would send to the upstream.
    pub demand: f64,
    /// Interval between two messages of a VM.
    pub gossip: Duration,
    /// Longest delay of a message, in ms.
    pub delay_ms: u64,
    /// What the upstream takes while it is cold; `None` if it never is.
    pub cold: Option<ColdSetup>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Disturbances of VMs per second.
    pub disturbances: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A request that reached the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Instant,
    /// Whether its VM had forwarded a response with a rate limit at least `FORWARDED_BEFORE`
    /// earlier and was not excused because of a disturbance.
    pub counts: bool,
    /// Whether its VM took the upstream for cold.
    pub is_known_cold: bool,
    /// Whether the upstream was cold.
    pub is_cold: bool,
}

struct SimulatedVm {
    table: RateTable,
    cold: ColdTable,
    /// The upstream's entry as this VM read it.
    entry: Option<UpstreamEntry>,
    /// When it started, unless that was before the simulation.
    started_at: Option<Instant>,
    /// Cut off from the store until then.
    store_cut_until: Instant,
    heard: Vec<Option<Instant>>,
    messages: u64,
    next_gossip: Instant,
    next_request: Instant,
    /// Partitioned from the other VMs until then.
    partitioned_until: Instant,
    excused_until: Instant,
    forwarded_at: Option<Instant>,
}

enum Event {
    Answer(usize, Instant, RateLimitNotice),
    Announcements(usize, usize, Vec<RateAnnouncement>),
    ColdNotices(usize, usize, Vec<ColdNotice>),
    Entry(usize, UpstreamEntry, u64),
}

/// Simulated fleet.
pub struct RateSimulation {
    config: SimulationConfig,
    rng: Rng,
    /// Simulated time.
    pub now: Instant,
    /// Rate limit that the upstream advertises.
    pub limit: Option<RequestRate>,
    /// Requests that reached the upstream.
    pub arrivals: Vec<Arrival>,
    /// Until when the upstream is cold.
    pub cold_until: Option<Instant>,
    next_heartbeat: Option<Instant>,
    revision: u64,
    entry: UpstreamEntry,
    vms: Vec<SimulatedVm>,
    events: Vec<(Instant, Event)>,
}

impl RateSimulation {
    /// Creates a fleet that knows no rate limit.
    pub fn new(config: SimulationConfig) -> Self {
        let now = Instant::now();
        let mut vms: Vec<SimulatedVm> = (0..config.vms)
            .map(|vm| SimulatedVm::new(vm, config.vms, now))
            .collect();
        for vm in &mut vms {
            vm.cold
                .record_entry(&test_entry(), store_revision(1), false, None, now);
        }
        Self {
            config,
            rng: Rng::with_seed(config.seed),
            now,
            limit: None,
            arrivals: Vec::new(),
            cold_until: None,
            next_heartbeat: None,
            revision: 1,
            entry: test_entry(),
            vms,
            events: Vec::new(),
        }
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            self.disturb();
            self.write_heartbeat();
            for vm in 0..self.config.vms {
                self.step_vm(vm);
            }
        }
    }

    /// Hides the upstream from all VMs, as if it were not running yet.
    pub fn remove_upstream(&mut self) {
        for (number, vm) in self.vms.iter_mut().enumerate() {
            vm.entry = None;
            vm.cold = ColdTable::new(number as u64);
        }
    }

    /// Makes the upstream cold, as a new run or in the same one.
    pub fn turn_cold(&mut self, is_new_run: bool) {
        let setup = self.config.cold.expect("a cold rule");
        self.cold_until = Some(self.now + setup.rule.duration);
        if is_new_run {
            self.entry.started_ms = self.entry.started_ms.map(|at| at + 1);
        }
        self.next_heartbeat = Some(self.now);
        self.write_heartbeat();
    }

    /// Writes the upstream's entry if it is due.
    fn write_heartbeat(&mut self) {
        let (Some(next), Some(until)) = (self.next_heartbeat, self.cold_until) else {
            return;
        };
        if next > self.now {
            return;
        }
        self.next_heartbeat = Some(self.now + HEARTBEAT);
        self.entry.cold_left = until.saturating_duration_since(self.now);
        self.revision += 1;
        let delay = self.config.cold.expect("a cold rule").store_delay_ms;
        for vm in 0..self.config.vms {
            let seen_at = self.random_later(delay);
            let event = Event::Entry(vm, self.entry.clone(), self.revision);
            self.events.push((seen_at, event));
        }
    }

    /// Cuts all VMs off from each other, and those from `first_cut` on from the store.
    pub fn cut_off(&mut self, first_cut: usize, span: Duration) {
        for (number, vm) in self.vms.iter_mut().enumerate() {
            vm.partitioned_until = self.now + span;
            if number >= first_cut {
                vm.store_cut_until = self.now + span;
            }
        }
    }

    /// Cuts a VM off from the store.
    pub fn cut_off_store(&mut self, vm: usize, span: Duration) {
        self.vms[vm].store_cut_until = self.now + span;
    }

    /// Restarts all VMs at once.
    pub fn restart_all(&mut self) {
        for vm in 0..self.config.vms {
            self.restart(vm);
        }
    }

    fn restart(&mut self, number: usize) {
        let mut vm = SimulatedVm::new(number, self.config.vms, self.now);
        vm.started_at = Some(self.now);
        if self.config.cold.is_some() {
            let revision = store_revision(self.revision);
            vm.cold
                .record_entry(&self.entry, revision, false, None, self.now);
            vm.entry = Some(self.entry.clone());
        }
        self.vms[number] = vm;
    }

    /// Returns the maximum number of requests in any one second that reached the upstream while
    /// it was cold, of those that are counted.
    pub fn max_while_cold(&self, counts: impl Fn(&Arrival) -> bool) -> usize {
        let counted: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.is_cold && counts(arrival))
            .map(|arrival| arrival.at)
            .collect();
        let first =
            |end: &Instant| counted.partition_point(|at| *at + Duration::from_secs(1) <= *end);
        let within = |(index, end): (usize, &Instant)| index + 1 - first(end);
        counted.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// Stops disturbing VMs.
    pub fn stop_disturbances(&mut self) {
        self.config.disturbances = 0.0;
    }

    /// Returns how many VMs know a rate limit.
    pub fn limited_count(&self) -> usize {
        let knows = |vm: &&SimulatedVm| vm.table.limit_of(&self.entry).is_some();
        self.vms.iter().filter(knows).count()
    }

    /// Returns the maximum number of counted requests in any window of 4 s, from `from` on.
    pub fn max_in_window(&self, from: Instant) -> usize {
        let counted: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.counts && arrival.at >= from)
            .map(|arrival| arrival.at)
            .collect();
        let within = |end: &Instant| {
            let is_in = |at: &&Instant| **at <= *end && **at + Duration::from_secs(4) >= *end;
            counted.iter().filter(is_in).count()
        };
        counted.iter().map(within).max().unwrap_or_default()
    }

    fn random_later(&mut self, max_ms: u64) -> Instant {
        self.now + Duration::from_millis(1 + self.rng.u64(..max_ms))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = left;
        let due: Vec<(Instant, Event)> = due;
        for (_, event) in due {
            match event {
                Event::Answer(vm, sent_at, notice) => {
                    let vm = &mut self.vms[vm];
                    let answer = RateAnswer {
                        entry: &self.entry,
                        notice,
                        sent_at,
                    };
                    vm.table.apply_answer(&answer, now);
                    if matches!(notice, RateLimitNotice::Limited(_)) {
                        vm.forwarded_at.get_or_insert(now);
                    }
                }
                Event::ColdNotices(from, to, notices) => {
                    if self.vms[from].partitioned_until > now
                        || self.vms[to].partitioned_until > now
                    {
                        continue;
                    }
                    let vm = &mut self.vms[to];
                    vm.heard[from] = Some(now);
                    let reaches_store = vm.store_cut_until <= now;
                    let Some(entry) = vm.entry.clone() else {
                        continue;
                    };
                    for notice in &notices {
                        vm.cold.apply_notice(&entry, notice, reaches_store, now);
                    }
                }
                Event::Entry(number, entry, revision) => {
                    let vm = &mut self.vms[number];
                    if vm.store_cut_until > now {
                        let later = vm.store_cut_until;
                        let event = Event::Entry(number, entry, revision);
                        self.events.push((later, event));
                        continue;
                    }
                    let rule = self.config.cold.map(|setup| setup.rule);
                    let revision = store_revision(revision);
                    vm.cold
                        .record_entry(&entry, revision, true, rule.as_ref(), now);
                    vm.entry = Some(entry);
                }
                Event::Announcements(from, to, announcements) => {
                    if self.vms[from].partitioned_until > now
                        || self.vms[to].partitioned_until > now
                    {
                        continue;
                    }
                    let vm = &mut self.vms[to];
                    vm.heard[from] = Some(now);
                    for announcement in &announcements {
                        vm.table.apply_announcement(&self.entry, announcement, now);
                    }
                }
            }
        }
    }

    /// Partitions or restarts a random VM at the configured rate.
    fn disturb(&mut self) {
        if self.rng.f64() >= self.config.disturbances * STEP.as_secs_f64() {
            return;
        }
        let vm = self.rng.usize(..self.config.vms);
        let until = self.random_later(4000);
        if self.rng.bool() {
            self.vms[vm].partitioned_until = until;
            if self.config.cold.is_some() && self.rng.bool() {
                self.vms[vm].store_cut_until = until;
            }
        } else {
            self.restart(vm);
        }
        self.vms[vm].excused_until = until + EXCUSE_PERIOD;
        self.vms[vm].forwarded_at = None;
    }

    fn step_vm(&mut self, vm: usize) {
        if self.vms[vm].next_gossip <= self.now {
            self.vms[vm].next_gossip = self.now + self.config.gossip;
            self.send_gossip(vm);
        }
        if self.vms[vm].next_request <= self.now {
            let pause = -self.rng.f64().max(1e-9).ln() / self.config.demand;
            self.vms[vm].next_request = self.now + Duration::from_secs_f64(pause);
            self.request(vm);
        }
    }

    fn send_gossip(&mut self, vm: usize) {
        self.vms[vm].messages += 1;
        let include_all = self.vms[vm].messages.is_multiple_of(ALL_RATES_EVERY);
        let announcements = self.vms[vm].table.announcements(include_all, self.now);
        for peer in (0..self.config.vms).filter(|peer| *peer != vm) {
            if self.rng.f64() >= self.config.loss {
                let at = self.random_later(self.config.delay_ms);
                self.events
                    .push((at, Event::Announcements(vm, peer, announcements.clone())));
            }
        }
        if self.config.cold.is_some() {
            self.send_cold_notices(vm, include_all);
        }
    }

    fn send_cold_notices(&mut self, number: usize, include_all: bool) {
        let now = self.now;
        let reaches_store = |vm: &SimulatedVm| vm.store_cut_until <= now;
        let before = self.vms[..number].iter().filter(|vm| reaches_store(vm));
        let is_reader = reaches_store(&self.vms[number]) && before.count() < READERS;
        let notices = self.vms[number].cold.notices(is_reader, include_all, now);
        if notices.is_empty() {
            return;
        }
        for peer in (0..self.config.vms).filter(|peer| *peer != number) {
            if self.rng.f64() >= self.config.loss {
                let at = self.random_later(self.config.delay_ms);
                self.events
                    .push((at, Event::ColdNotices(number, peer, notices.clone())));
            }
        }
    }

    fn request(&mut self, number: usize) {
        let now = self.now;
        let view = self.view(number);
        let vm = &mut self.vms[number];
        if vm.table.is_refresh_due(now) {
            vm.table.refresh(now, |_, rate| own_share(rate, view));
        }
        if let Some(setup) = self.config.cold {
            vm.cold.update(&setup.tolerance, |_| Some(setup.rule), now);
            let knows_fleet = vm
                .started_at
                .is_none_or(|at| at + FLEET_LEARNING_TIME <= now);
            if vm.cold.is_refresh_due(now) {
                vm.cold.refresh(now, |_| knows_fleet.then_some(view));
            }
        }
        let Some(entry) = vm.entry.clone() else {
            return;
        };
        if !vm.table.may_send(&entry, 0, now) || !vm.cold.may_send(&entry, 0, now) {
            return;
        }
        let is_known_cold = vm.cold.is_cold(&entry, now);
        vm.table.record_send(&entry, now);
        vm.cold.record_send(&entry, now);
        let arrives = now + Duration::from_millis(2);
        let forwarded = vm
            .forwarded_at
            .is_some_and(|at| at + FORWARDED_BEFORE <= arrives);
        self.arrivals.push(Arrival {
            at: arrives,
            counts: forwarded && vm.excused_until <= now,
            is_known_cold,
            is_cold: self.cold_until.is_some_and(|until| arrives < until),
        });
        let notice = self
            .limit
            .map_or(RateLimitNotice::Unlimited, RateLimitNotice::Limited);
        let answered = self.random_later(400);
        self.events
            .push((answered, Event::Answer(number, now, notice)));
    }

    fn view(&self, number: usize) -> ShareView {
        let vm = &self.vms[number];
        let is_live =
            |peer: &usize| vm.heard[*peer].is_some_and(|at| at + SILENCE_TIMEOUT > self.now);
        let live: Vec<usize> = (0..self.config.vms).filter(is_live).collect();
        ShareView {
            live: live.len() + 1,
            known: self.config.vms,
            rank: live.iter().filter(|peer| **peer < number).count(),
        }
    }
}

impl SimulatedVm {
    fn new(vm: usize, vms: usize, now: Instant) -> Self {
        Self {
            table: RateTable::new(vm as u64),
            cold: ColdTable::new(vm as u64),
            entry: Some(test_entry()),
            started_at: None,
            store_cut_until: now,
            heard: vec![None; vms],
            messages: 0,
            next_gossip: now,
            next_request: now,
            partitioned_until: now,
            excused_until: now,
            forwarded_at: None,
        }
    }
}

/// Returns a revision of the store.
pub fn store_revision(number: u64) -> StoreRevision {
    StoreRevision::new(number)
}

/// Entry of the upstream.
pub fn test_entry() -> UpstreamEntry {
    UpstreamEntry {
        id: "u-1".parse().expect("a name"),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "z1".parse().expect("a name"),
        phase: UpstreamPhase::Ready,
        started_ms: Some(7),
        slots: 8,
        cold_left: Duration::ZERO,
    }
}
