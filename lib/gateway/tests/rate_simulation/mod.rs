//! Simulated fleet in front of one upstream that advertises a rate limit. Requests,
//! responses and messages are delayed, messages get lost, and VMs are partitioned or
//! restarted.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use snipegate_gateway::RateAnnouncement;
use snipegate_gateway::RateAnswer;
use snipegate_gateway::RateLimitNotice;
use snipegate_gateway::RateTable;
use snipegate_gateway::ShareView;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::UpstreamPhase;
use snipegate_gateway::own_share;
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

/// Parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of VMs.
    pub vms: usize,
    /// Requests per second that each VM would send to the upstream.
    pub demand: f64,
    /// Interval between two messages of a VM.
    pub gossip: Duration,
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
}

struct SimulatedVm {
    table: RateTable,
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
    entry: UpstreamEntry,
    vms: Vec<SimulatedVm>,
    events: Vec<(Instant, Event)>,
}

impl RateSimulation {
    /// Creates a fleet that knows no rate limit.
    pub fn new(config: SimulationConfig) -> Self {
        let now = Instant::now();
        let vms = (0..config.vms)
            .map(|vm| SimulatedVm::new(vm, config.vms, now))
            .collect();
        Self {
            config,
            rng: Rng::with_seed(config.seed),
            now,
            limit: None,
            arrivals: Vec::new(),
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
            for vm in 0..self.config.vms {
                self.step_vm(vm);
            }
        }
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
        } else {
            self.vms[vm] = SimulatedVm::new(vm, self.config.vms, self.now);
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
                let at = self.random_later(20);
                self.events
                    .push((at, Event::Announcements(vm, peer, announcements.clone())));
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
        if !vm.table.may_send(&self.entry, 0, now) {
            return;
        }
        vm.table.record_send(&self.entry, now);
        let arrives = now + Duration::from_millis(2);
        let forwarded = vm
            .forwarded_at
            .is_some_and(|at| at + FORWARDED_BEFORE <= arrives);
        self.arrivals.push(Arrival {
            at: arrives,
            counts: forwarded && vm.excused_until <= now,
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
