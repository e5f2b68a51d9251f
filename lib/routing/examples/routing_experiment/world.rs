//! Discrete-event simulation of routers, engines and the network between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use indexmap::IndexMap;
use snipegate_routing::AttemptId;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::BlockHash;
use snipegate_routing::CacheChange;
use snipegate_routing::CacheEvent;
use snipegate_routing::LoadReport;
use snipegate_routing::RoutePolicy;
use snipegate_types::TokenCount;

use crate::chooser::Chooser;
use crate::chooser::PolicyName;
use crate::engine::CacheDelta;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Token;
use crate::load::LoadRequest;
use crate::report::RunReport;

/// One-way network delay between a router and an engine.
const NETWORK_DELAY: Duration = Duration::from_micros(1_000);

/// Interval of an engine's load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The engine that is faulty in the conditions that affect one engine.
const FAULTY_ENGINE: usize = 3;

/// Start and end of faults that do not last for the whole run.
const FAULT_BEGINS: Duration = Duration::from_secs(20);
const FAULT_ENDS: Duration = Duration::from_secs(40);

/// The fault injected during a run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    Normal,
    /// All steps of one engine take four times as long.
    SlowEngine,
    /// Load reports are sent every 5 s and arrive 5 s late.
    StaleReports,
    /// Half of the cache events are lost.
    LostEvents,
    /// One engine refuses connections for 20 s, and its streams break when this starts.
    DeadUpstream,
    /// All open streams of one engine stop making progress at one point in time. New
    /// streams work.
    SilentConnection,
}

/// Sizes of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSize {
    pub routers: usize,
    pub engines: usize,
    pub slots: usize,
    pub cache_blocks: usize,
}

enum Event {
    RequestArrives(usize),
    ArriveAtEngine { attempt: u64 },
    StepEnds { engine: usize },
    FirstToken { attempt: u64 },
    Completed { attempt: u64, token: Token },
    LoadReportDue { engine: usize },
    LoadReportArrives { engine: usize, report: LoadReport },
    CacheEventArrives { engine: usize, event: CacheEvent },
    Deadline(usize),
    CheckProgress { attempt: u64 },
    NotConnected { attempt: u64 },
    FaultBegins,
    FaultEnds,
}

struct ActiveAttempt {
    request: usize,
    router: usize,
    engine: usize,
    id: Option<AttemptId>,
    last_progress: Duration,
    has_first_token: bool,
    silent: bool,
    first_byte_timeout: Duration,
    progress_timeout: Duration,
}

struct RequestState {
    attempts: u32,
    failed_upstreams: Vec<usize>,
    attempt: Option<u64>,
    ended: bool,
    has_first_token: bool,
}

/// A simulation run of one policy.
pub struct Simulation {
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: IndexMap<u64, Event>,
    sequence: u64,
    engines: Vec<Engine>,
    cache_sequences: Vec<u64>,
    choosers: Vec<Chooser>,
    requests: Vec<LoadRequest>,
    request_states: Vec<RequestState>,
    active_attempts: IndexMap<u64, ActiveAttempt>,
    next_attempt: u64,
    condition: Condition,
    rng: Rng,
    report: RunReport,
}

impl Simulation {
    pub fn new(
        name: PolicyName,
        policy: &RoutePolicy,
        size: SimulationSize,
        requests: Vec<LoadRequest>,
        condition: Condition,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let choosers = (0..size.routers).map(|i| {
            let seed = seed * 1_000 + i as u64;
            Chooser::new(name, policy.clone(), size.engines, size.slots, seed, start)
        });
        let states = requests.iter().map(|_| RequestState {
            attempts: 0,
            failed_upstreams: Vec::new(),
            attempt: None,
            ended: false,
            has_first_token: false,
        });
        let mut simulation = Self {
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pending: IndexMap::new(),
            sequence: 0,
            engines: (0..size.engines)
                .map(|_| Engine::new(size.slots, size.cache_blocks))
                .collect(),
            cache_sequences: vec![0; size.engines],
            choosers: choosers.collect(),
            request_states: states.collect(),
            requests,
            active_attempts: IndexMap::new(),
            next_attempt: 0,
            condition,
            rng: Rng::with_seed(seed),
            report: RunReport::new(size.engines),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule_at(self.requests[index].arrival, Event::RequestArrives(index));
        }
        for engine in 0..self.engines.len() {
            let offset = Duration::from_millis(37 * engine as u64);
            self.schedule_at(offset, Event::LoadReportDue { engine });
        }
        match self.condition {
            Condition::SlowEngine => self.engines[FAULTY_ENGINE].slowness = 4.0,
            Condition::DeadUpstream => {
                self.schedule_at(FAULT_BEGINS, Event::FaultBegins);
                self.schedule_at(FAULT_ENDS, Event::FaultEnds);
            }
            Condition::SilentConnection => self.schedule_at(FAULT_BEGINS, Event::FaultBegins),
            Condition::Normal | Condition::StaleReports | Condition::LostEvents => {}
        }
    }

    fn schedule_at(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn schedule_after(&mut self, span: Duration, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn now_instant(&self) -> Instant {
        self.start + self.now
    }

    /// Runs until all requests have ended.
    pub fn run(mut self, span: Duration) -> RunReport {
        while let Some(Reverse((time, sequence))) = self.events.pop() {
            self.now = time;
            let event = self.pending.swap_remove(&sequence);
            self.handle(event.expect("every queued event is pending"));
            if self.now > span && self.request_states.iter().all(|request| request.ended) {
                break;
            }
        }
        self.report.span = span;
        self.report.offered = self.requests.len();
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives(request) => {
                let deadline = self.requests[request].deadline;
                self.schedule_after(deadline, Event::Deadline(request));
                self.send(request);
            }
            Event::ArriveAtEngine { attempt } => self.arrive_at_engine(attempt),
            Event::StepEnds { engine } => self.end_step(engine),
            Event::FirstToken { attempt } => self.record_first_token(attempt),
            Event::Completed { attempt, token } => self.complete_attempt(attempt, token),
            Event::LoadReportDue { engine } => self.send_load_report(engine),
            Event::LoadReportArrives { engine, report } => {
                let now = self.now_instant();
                for chooser in &mut self.choosers {
                    chooser.record_load_report(engine, &report, now);
                }
            }
            Event::CacheEventArrives { engine, event } => {
                for chooser in &mut self.choosers {
                    chooser.apply_cache_event(engine, &event);
                }
            }
            Event::Deadline(request) => self.expire_request(request),
            Event::CheckProgress { attempt } => self.check_progress(attempt),
            Event::NotConnected { attempt } => self.fail(attempt, AttemptOutcome::NotConnected),
            Event::FaultBegins => self.begin_fault(),
            Event::FaultEnds => self.engines[FAULTY_ENGINE].dead = false,
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now_instant();
        let request = &self.requests[index];
        let deadline = self.start + request.arrival + request.deadline;
        let chooser = &mut self.choosers[request.router];
        let pick = match chooser.pick(
            request,
            &self.request_states[index].failed_upstreams,
            deadline,
            now,
        ) {
            Ok(pick) => pick,
            Err(reason) => {
                self.request_states[index].ended = true;
                let arrived = self.requests[index].priority;
                self.report.refused(reason, arrived);
                return;
            }
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.request_states[index].attempt = Some(attempt);
        self.request_states[index].attempts += 1;
        self.report.sent_by_engine[pick.engine] += 1;
        let active = ActiveAttempt {
            request: index,
            router: self.requests[index].router,
            engine: pick.engine,
            id: pick.attempt,
            last_progress: self.now,
            has_first_token: false,
            silent: false,
            first_byte_timeout: pick.first_byte_timeout,
            progress_timeout: pick.progress_timeout,
        };
        self.schedule_after(active.first_byte_timeout, Event::CheckProgress { attempt });
        self.active_attempts.insert(attempt, active);
        self.schedule_after(NETWORK_DELAY, Event::ArriveAtEngine { attempt });
    }

    fn arrive_at_engine(&mut self, attempt: u64) {
        let Some(active) = self.active_attempts.get(&attempt) else {
            return;
        };
        let engine = active.engine;
        if self.engines[engine].dead {
            self.schedule_after(NETWORK_DELAY, Event::NotConnected { attempt });
            return;
        }
        let request = &self.requests[active.request];
        self.engines[engine].push(Job::new(
            attempt,
            request.blocks.clone(),
            request.prompt_tokens,
            request.answer_tokens,
        ));
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some(span) = self.engines[engine].start_step() {
            self.engines[engine].is_stepping = true;
            self.schedule_after(span, Event::StepEnds { engine });
        }
    }

    fn end_step(&mut self, engine: usize) {
        self.engines[engine].is_stepping = false;
        let (tokens, delta) = self.engines[engine].end_step();
        self.publish_cache_events(engine, delta);
        for token in tokens {
            self.deliver_token(token);
        }
        self.start_step(engine);
    }

    fn deliver_token(&mut self, token: Token) {
        let arrival = self.now + NETWORK_DELAY;
        let Some(active) = self.active_attempts.get_mut(&token.attempt) else {
            return;
        };
        if active.silent {
            return;
        }
        if !token.first {
            let between = arrival.saturating_sub(active.last_progress);
            self.report.inter_token_secs.push(between.as_secs_f64());
        }
        active.last_progress = arrival;
        let attempt = token.attempt;
        if token.first {
            self.report.cached_tokens += token.cached;
            self.report.prompt_tokens += self.requests[active.request].prompt_tokens;
            self.schedule_at(arrival, Event::FirstToken { attempt });
        }
        if token.last {
            self.schedule_at(arrival, Event::Completed { attempt, token });
        }
    }

    fn record_first_token(&mut self, attempt: u64) {
        let now = self.now_instant();
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        active.has_first_token = true;
        let progress_timeout = active.progress_timeout;
        self.choosers[active.router].record_first_byte(active.id, now);
        let request = active.request;
        self.request_states[request].has_first_token = true;
        let waited = self.now - self.requests[request].arrival;
        self.report.first_token_secs.push(waited.as_secs_f64());
        self.schedule_after(progress_timeout, Event::CheckProgress { attempt });
    }

    fn complete_attempt(&mut self, attempt: u64, token: Token) {
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(token.generated),
            cached: Some(TokenCount(token.cached)),
        };
        let Some(active) = self.end_attempt(attempt, outcome) else {
            return;
        };
        self.request_states[active.request].ended = true;
        let request = &self.requests[active.request];
        self.report.completed(request.priority);
    }

    fn end_attempt(&mut self, attempt: u64, outcome: AttemptOutcome) -> Option<ActiveAttempt> {
        let now = self.now_instant();
        let active = self.active_attempts.swap_remove(&attempt)?;
        self.choosers[active.router].finish_attempt(active.engine, active.id, outcome, now);
        self.request_states[active.request].attempt = None;
        Some(active)
    }

    fn fail(&mut self, attempt: u64, outcome: AttemptOutcome) {
        let Some(active) = self.end_attempt(attempt, outcome) else {
            return;
        };
        self.engines[active.engine].cancel(attempt);
        let now = self.now_instant();
        let index = active.request;
        let request = &self.requests[index];
        let deadline = self.start + request.arrival + request.deadline;
        let state = &mut self.request_states[index];
        let chooser = &mut self.choosers[active.router];
        let (sent, attempts) = (state.has_first_token, state.attempts);
        match chooser.decide_retry(request, outcome, sent, attempts, deadline, now) {
            Ok(()) => {
                state.failed_upstreams.push(active.engine);
                self.report.retries += 1;
                self.send(index);
            }
            Err(reason) => {
                state.ended = true;
                self.report.refused(reason, request.priority);
            }
        }
    }

    fn expire_request(&mut self, request: usize) {
        if self.request_states[request].ended {
            return;
        }
        self.request_states[request].ended = true;
        self.report.past_deadline += 1;
        if let Some(attempt) = self.request_states[request].attempt
            && let Some(active) = self.end_attempt(attempt, AttemptOutcome::Cancelled)
        {
            self.engines[active.engine].cancel(attempt);
        }
    }

    /// Fails an attempt that made no progress within its timeout, or schedules the next
    /// check.
    fn check_progress(&mut self, attempt: u64) {
        let Some(active) = self.active_attempts.get(&attempt) else {
            return;
        };
        let timeout = match active.has_first_token {
            true => active.progress_timeout,
            false => active.first_byte_timeout,
        };
        let expires = active.last_progress + timeout;
        if expires <= self.now {
            self.fail(attempt, AttemptOutcome::Silent);
        } else {
            self.schedule_at(expires, Event::CheckProgress { attempt });
        }
    }

    fn send_load_report(&mut self, engine: usize) {
        let (interval, lag) = match self.condition {
            Condition::StaleReports => (Duration::from_secs(5), Duration::from_secs(5)),
            _ => (REPORT_INTERVAL, Duration::from_millis(200)),
        };
        let source = &self.engines[engine];
        let report = LoadReport {
            running: source.running(),
            queued: source.queued(),
            prefill_backlog: TokenCount(source.backlog()),
            age: lag,
        };
        if !source.dead {
            self.schedule_after(lag, Event::LoadReportArrives { engine, report });
        }
        self.schedule_after(interval, Event::LoadReportDue { engine });
    }

    fn publish_cache_events(&mut self, engine: usize, delta: CacheDelta) {
        let hashes = |blocks: Vec<u64>| blocks.into_iter().map(BlockHash).collect::<Vec<_>>();
        let changes = [
            CacheChange::Stored(hashes(delta.stored)),
            CacheChange::Removed(hashes(delta.removed)),
        ];
        for change in changes {
            if change == CacheChange::Stored(Vec::new())
                || change == CacheChange::Removed(Vec::new())
            {
                continue;
            }
            self.cache_sequences[engine] += 1;
            let sequence = self.cache_sequences[engine];
            if self.condition == Condition::LostEvents && self.rng.bool() {
                continue;
            }
            let event = CacheEvent { sequence, change };
            let lag = Duration::from_millis(300);
            self.schedule_after(lag, Event::CacheEventArrives { engine, event });
        }
    }

    fn begin_fault(&mut self) {
        match self.condition {
            Condition::DeadUpstream => {
                for attempt in self.engines[FAULTY_ENGINE].crash() {
                    self.fail(attempt, AttemptOutcome::ConnectionLost);
                }
            }
            _ => {
                for attempt in self.engines[FAULTY_ENGINE].attempts() {
                    if let Some(active) = self.active_attempts.get_mut(&attempt) {
                        active.silent = true;
                    }
                }
            }
        }
    }
}
