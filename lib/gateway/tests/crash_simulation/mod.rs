//! Simulated fleet before upstreams that a prompt part or a request crashes. Messages are delayed
//! and get lost, VMs are cut off from each other or restarted, upstreams also crash for other
//! reasons.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use snipegate_gateway::EvidenceView;
use snipegate_gateway::FeatureNews;
use snipegate_gateway::FeatureTable;
use snipegate_gateway::QuarantineRecord;
use snipegate_gateway::RequestFeature;
use snipegate_gateway::UpstreamRun;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;
use snipegate_types::VmId;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time from the choice of an upstream until it begins to answer.
const BEGIN_MS: std::ops::Range<u64> = 30..250;

/// Time between the first two events of an answer.
const SECOND_EVENT_DELAY: Duration = Duration::from_millis(20);

/// Time from the first event of an answer to its end.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// How long an upstream is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);

/// Part that crashes every upstream that begins to answer a prompt with it.
pub const CRASHING_PART: PartId = PartId(0xdead);

/// Request that crashes every upstream that begins to answer it.
pub const CRASHING_REQUEST: RequestFeature = RequestFeature::Whole(RequestDigest(0xdead));

/// What crashes the upstreams of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulatedCause {
    /// Requests with [`CRASHING_PART`], no two of which are alike.
    Part,
    /// [`CRASHING_REQUEST`], which comes again and again.
    Request,
}

impl SimulatedCause {
    /// Returns the feature that crashes upstreams.
    pub fn feature(self) -> RequestFeature {
        match self {
            SimulatedCause::Part => part(CRASHING_PART.0),
            SimulatedCause::Request => CRASHING_REQUEST,
        }
    }

    /// Returns the number of crashes after which the fleet has to know the cause.
    fn tolerated_crashes(self) -> usize {
        match self {
            SimulatedCause::Part => 5,
            SimulatedCause::Request => 3,
        }
    }
}

/// Sound part that every crashing prompt has too.
pub const COMPANION_PART: PartId = PartId(0xc0);

/// Number of parts that begin the sound prompts.
const FIRST_PARTS: u64 = 8;

/// Parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of VMs.
    pub vms: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Sound requests per second of all VMs.
    pub sound_rate: f64,
    /// What crashes upstreams.
    pub cause: SimulatedCause,
    /// Requests per second that crash upstreams.
    pub crashing_rate: f64,
    /// Sound requests per second with the companion part.
    pub companion_rate: f64,
    /// Share of the sound requests that a crash broke off that are sent again.
    pub resend_share: f64,
    /// Times per second that a share of the upstreams crashes for another reason.
    pub other_crash_rate: f64,
    /// Times per second that a VM is restarted or cut off from the other VMs.
    pub disturbance_rate: f64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Time after the last tolerated crash from which VMs in contact are to know.
    pub contact_time: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A crashing request that a VM sent.
#[derive(Clone, Copy, Debug)]
pub struct CrashingSend {
    /// When it was sent.
    pub at: Instant,
    /// Whether the VM ran without restart for the contact time before.
    pub in_contact: bool,
}

struct SimulatedVm {
    name: VmId,
    table: FeatureTable,
    next_gossip: Instant,
    started: Instant,
    cut_until: Instant,
}

struct SimulatedUpstream {
    run: UpstreamRun,
    down_until: Instant,
}

struct RunningRequest {
    vm: usize,
    upstream: usize,
    features: Vec<RequestFeature>,
    begins: Instant,
    has_begun: bool,
    is_resent: bool,
    is_recorded: bool,
}

/// Simulated fleet.
pub struct CrashSimulation {
    config: SimulationConfig,
    rng: Rng,
    /// For requests that are sent again.
    resend_rng: Rng,
    start: Instant,
    /// Simulated time.
    pub now: Instant,
    vms: Vec<SimulatedVm>,
    upstreams: Vec<SimulatedUpstream>,
    requests: Vec<RunningRequest>,
    messages: Vec<(Instant, usize, FeatureNews)>,
    stored: Vec<QuarantineRecord>,
    /// Crashes that the simulated cause made.
    pub crashes: Vec<Instant>,
    /// Crashing requests that were sent.
    pub crashing_sends: Vec<CrashingSend>,
    /// Sound requests that were refused.
    pub refused_sound: usize,
    /// Sound requests with the companion part that were sent.
    pub companion_sends: usize,
    /// Number of requests, each of which has a digest of its own.
    request_count: u64,
}

impl CrashSimulation {
    /// Creates a fleet that knows nothing.
    pub fn new(config: SimulationConfig) -> Self {
        let now = Instant::now();
        let mut rng = Rng::with_seed(config.seed);
        let vms = (0..config.vms)
            .map(|vm| SimulatedVm {
                name: format!("vm-{vm}").parse().expect("name should be valid"),
                table: FeatureTable::default(),
                next_gossip: now + STEP.mul_f64(rng.f64() * 20.0),
                started: now,
                cut_until: now,
            })
            .collect();
        let upstreams = (0..config.upstreams as u32)
            .map(|upstream| SimulatedUpstream {
                run: UpstreamRun {
                    service: 1,
                    upstream,
                    started_ms: Some(0),
                },
                down_until: now,
            })
            .collect();
        Self {
            config,
            rng,
            resend_rng: Rng::with_seed(config.seed),
            start: now,
            now,
            vms,
            upstreams,
            requests: Vec::new(),
            messages: Vec::new(),
            stored: Vec::new(),
            crashes: Vec::new(),
            crashing_sends: Vec::new(),
            refused_sound: 0,
            companion_sends: 0,
            request_count: 0,
        }
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            self.disturb();
            self.send_requests();
            self.progress_requests();
            for vm in 0..self.vms.len() {
                let objection_time = self.objection_time();
                let view = match self.vms[vm].cut_until > self.now {
                    true => EvidenceView::Minority,
                    false => EvidenceView::Fleet,
                };
                let table = &mut self.vms[vm].table;
                table.review(objection_time, view, self.now);
                self.exchange_with_store(vm);
                self.gossip(vm);
            }
        }
    }

    /// Restarts all VMs at the same moment.
    pub fn restart_all(&mut self) {
        for vm in 0..self.vms.len() {
            self.restart(vm);
        }
    }

    /// Returns the records of all VMs and of the store.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        let known = self.vms.iter().flat_map(|vm| vm.table.records());
        known.chain(self.stored.clone()).collect()
    }

    /// Returns the number of requests that VMs in contact sent after the fleet should have
    /// known the cause.
    pub fn late_sends(&self) -> usize {
        let tolerated = self.config.cause.tolerated_crashes();
        let Some(last_tolerated) = self.crashes.get(tolerated - 1) else {
            return 0;
        };
        let from = *last_tolerated + self.config.contact_time;
        let late = |send: &&CrashingSend| send.at > from && send.in_contact;
        self.crashing_sends.iter().filter(late).count()
    }

    fn gossip_interval(&self) -> Duration {
        let spacing = Duration::from_secs_f64((self.vms.len() - 1) as f64 / 300.0);
        spacing.max(Duration::from_millis(40))
    }

    fn objection_time(&self) -> Duration {
        2 * self.gossip_interval() + Duration::from_millis(150)
    }

    fn happens(&mut self, rate: f64) -> bool {
        self.rng.f64() < rate * STEP.as_secs_f64()
    }

    fn times(&mut self, rate: f64) -> usize {
        let expected = rate * STEP.as_secs_f64();
        let whole = expected.floor();
        whole as usize + usize::from(self.rng.f64() < expected - whole)
    }

    fn restart(&mut self, vm: usize) {
        let mut table = FeatureTable::default();
        table.merge(self.stored.clone(), self.now);
        self.vms[vm].table = table;
        self.vms[vm].started = self.now;
        self.requests.retain(|request| request.vm != vm);
        for other in &mut self.vms {
            other.table.announce_all(self.now);
        }
    }

    fn disturb(&mut self) {
        if self.happens(self.config.disturbance_rate) {
            let vm = self.rng.usize(0..self.vms.len());
            match self.rng.bool() {
                true => self.restart(vm),
                false => self.vms[vm].cut_until = self.now + Duration::from_secs(3),
            }
        }
        if self.happens(self.config.other_crash_rate) {
            let share = 0.1 + 0.3 * self.rng.f64();
            for upstream in 0..self.upstreams.len() {
                if self.rng.f64() < share {
                    self.crash(upstream);
                }
            }
        }
    }

    fn send_requests(&mut self) {
        for _ in 0..self.times(self.config.sound_rate) {
            let first = self.rng.u64(0..FIRST_PARTS);
            let subject = 1000 + self.rng.u64(0..400).min(self.rng.u64(0..400));
            let parts = vec![self.unique_request(), part(first), part(subject)];
            if !self.send(parts) {
                self.refused_sound += 1;
            }
        }
        for _ in 0..self.times(self.config.companion_rate) {
            let parts = vec![self.unique_request(), part(0), part(COMPANION_PART.0)];
            match self.send(parts) {
                true => self.companion_sends += 1,
                false => self.refused_sound += 1,
            }
        }
        for _ in 0..self.times(self.config.crashing_rate) {
            let mut parts = vec![part(0), part(COMPANION_PART.0)];
            match self.config.cause {
                SimulatedCause::Part => {
                    parts.push(part(CRASHING_PART.0));
                    parts.push(self.unique_request());
                }
                SimulatedCause::Request => parts.push(CRASHING_REQUEST),
            }
            self.send(parts);
        }
    }

    /// Returns the whole of a request that is not like any other.
    fn unique_request(&mut self) -> RequestFeature {
        self.request_count += 1;
        RequestFeature::Whole(RequestDigest(self.request_count))
    }

    /// Sends a request at some VM to some upstream. Returns whether it was not refused.
    fn send(&mut self, features: Vec<RequestFeature>) -> bool {
        let vm = self.rng.usize(0..self.vms.len());
        if self.vms[vm].table.refused(&features).is_some() {
            return false;
        }
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|upstream| self.upstreams[*upstream].down_until <= self.now)
            .collect();
        if up.is_empty() {
            return true;
        }
        if features.contains(&self.config.cause.feature()) {
            let running = self.now.duration_since(self.vms[vm].started);
            self.crashing_sends.push(CrashingSend {
                at: self.now,
                in_contact: running > self.config.contact_time
                    || self.vms[vm].started == self.start,
            });
        }
        let begin = Duration::from_millis(self.rng.u64(BEGIN_MS));
        self.requests.push(RunningRequest {
            vm,
            upstream: up[self.rng.usize(0..up.len())],
            features,
            begins: self.now + begin,
            has_begun: false,
            is_resent: false,
            is_recorded: false,
        });
        true
    }

    fn progress_requests(&mut self) {
        let cause = self.config.cause.feature();
        let mut crashed = Vec::new();
        for request in &mut self.requests {
            let is_due = request.begins <= self.now && !request.has_begun;
            if is_due && request.features.contains(&cause) {
                crashed.push(request.upstream);
            } else if is_due {
                request.has_begun = true;
            }
        }
        crashed.sort();
        crashed.dedup();
        for upstream in crashed {
            self.crashes.push(self.now);
            self.crash(upstream);
        }
        for request in &mut self.requests {
            let is_answered = request.begins + SECOND_EVENT_DELAY <= self.now;
            if request.has_begun && is_answered && !request.is_recorded {
                request.is_recorded = true;
                let table = &mut self.vms[request.vm].table;
                table.record_answer(&request.features, request.begins, self.now);
            }
        }
        self.requests
            .retain(|request| !request.is_recorded || request.begins + ANSWER_TIME > self.now);
    }

    fn crash(&mut self, upstream: usize) {
        let ended = self.upstreams[upstream].run;
        for (vm, simulated) in self.vms.iter_mut().enumerate() {
            let at_upstream: Vec<&RunningRequest> = self
                .requests
                .iter()
                .filter(|request| request.vm == vm && request.upstream == upstream)
                .collect();
            if at_upstream.is_empty() {
                continue;
            }
            let features = at_upstream
                .iter()
                .filter(|request| !request.is_recorded)
                .flat_map(|request| request.features.iter().copied())
                .collect();
            simulated
                .table
                .record_crash(ended, self.now, features, self.now);
        }
        let broken = self
            .requests
            .extract_if(.., |request| request.upstream == upstream);
        let broken: Vec<_> = broken.filter(|request| !request.is_recorded).collect();
        let state = &mut self.upstreams[upstream];
        state.down_until = self.now + DOWNTIME;
        state.run.started_ms = state.run.started_ms.map(|started| started + 1);
        std::mem::swap(&mut self.rng, &mut self.resend_rng);
        for request in broken {
            if request.is_resent || request.features.contains(&CRASHING_REQUEST) {
                continue;
            }
            if self.rng.f64() < self.config.resend_share {
                let is_sound = !request.features.contains(&self.config.cause.feature());
                let is_sent = self.send(request.features);
                match self.requests.last_mut() {
                    Some(resent) if is_sent => resent.is_resent = true,
                    _ => self.refused_sound += usize::from(is_sound && !is_sent),
                }
            }
        }
        std::mem::swap(&mut self.rng, &mut self.resend_rng);
    }

    fn exchange_with_store(&mut self, vm: usize) {
        let table = &mut self.vms[vm].table;
        if table.is_ahead_of(&self.stored) && self.rng.f64() < 0.2 {
            table.merge(self.stored.clone(), self.now);
            self.stored = table.records();
        }
        // A watch delivers a change within some 50 ms.
        if self.rng.f64() < 0.2 {
            table.merge(self.stored.clone(), self.now);
        }
    }

    fn gossip(&mut self, vm: usize) {
        if self.now < self.vms[vm].next_gossip {
            return;
        }
        self.vms[vm].next_gossip = self.now + self.gossip_interval();
        let sender = &mut self.vms[vm];
        let name = sender.name.clone();
        let is_cut = sender.cut_until > self.now;
        let Some(news) = sender.table.news(&name, self.now) else {
            return;
        };
        for target in 0..self.vms.len() {
            let lost = self.rng.f64() < self.config.loss;
            if target != vm && !is_cut && self.vms[target].cut_until <= self.now && !lost {
                let delay = Duration::from_millis(self.rng.u64(1..30));
                self.messages.push((self.now + delay, target, news.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _, _)| *at <= now);
        let due: Vec<_> = due.collect();
        for (_, target, news) in due {
            self.vms[target].table.apply_news(news, now);
        }
    }
}

fn part(id: u64) -> RequestFeature {
    RequestFeature::Part(PartId(id))
}
