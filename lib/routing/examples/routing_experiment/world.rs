//! Routers, engines and what lies between them, in virtual time.

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

/// Delay between a router and an engine, one way.
const TRAVEL: Duration = Duration::from_micros(1_000);

/// Time between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The engine that the conditions concern.
const FAULTY: usize = 3;

/// When conditions with a beginning and an end begin and end.
const FAULT_BEGINS: Duration = Duration::from_secs(20);
const FAULT_ENDS: Duration = Duration::from_secs(40);

/// What goes wrong during a run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    Normal,
    /// One engine takes four times as long for everything.
    SlowEngine,
    /// Load reports come every 5 s and 5 s late.
    StaleReports,
    /// Half of the cache events are lost.
    LostEvents,
    /// One engine refuses connections for 20 s, and its streams break.
    DeadUpstream,
    /// Every stream open to one engine goes silent once; new ones work.
    SilentConnection,
}

/// The sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    pub routers: usize,
    pub engines: usize,
    pub slots: usize,
    pub cache_blocks: usize,
}

enum Event {
    Arrive(usize),
    Reach { attempt: u64 },
    StepEnds { engine: usize },
    FirstToken { attempt: u64 },
    Done { attempt: u64, token: Token },
    Report { engine: usize },
    ReportArrives { engine: usize, report: LoadReport },
    CacheArrives { engine: usize, event: CacheEvent },
    Deadline(usize),
    Watch { attempt: u64 },
    NotConnected { attempt: u64 },
    FaultBegins,
    FaultEnds,
}

struct LiveAttempt {
    request: usize,
    router: usize,
    engine: usize,
    id: Option<AttemptId>,
    last_progress: Duration,
    has_first: bool,
    silent: bool,
    first_byte_timeout: Duration,
    progress_timeout: Duration,
}

struct LiveRequest {
    attempts: u32,
    avoid: Vec<usize>,
    attempt: Option<u64>,
    ended: bool,
    has_first: bool,
}

/// One run of one policy.
pub struct World {
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: IndexMap<u64, Event>,
    sequence: u64,
    engines: Vec<Engine>,
    cache_sequences: Vec<u64>,
    choosers: Vec<Chooser>,
    requests: Vec<LoadRequest>,
    live: Vec<LiveRequest>,
    attempts: IndexMap<u64, LiveAttempt>,
    next_attempt: u64,
    condition: Condition,
    rng: Rng,
    report: RunReport,
}

impl World {
    pub fn new(
        name: PolicyName,
        policy: &RoutePolicy,
        size: WorldSize,
        requests: Vec<LoadRequest>,
        condition: Condition,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let choosers = (0..size.routers).map(|i| {
            let seed = seed * 1_000 + i as u64;
            Chooser::new(name, policy.clone(), size.engines, size.slots, seed, start)
        });
        let live = requests.iter().map(|_| LiveRequest {
            attempts: 0,
            avoid: Vec::new(),
            attempt: None,
            ended: false,
            has_first: false,
        });
        let mut world = Self {
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
            live: live.collect(),
            requests,
            attempts: IndexMap::new(),
            next_attempt: 0,
            condition,
            rng: Rng::with_seed(seed),
            report: RunReport::new(size.engines),
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for index in 0..self.requests.len() {
            self.at(self.requests[index].at, Event::Arrive(index));
        }
        for engine in 0..self.engines.len() {
            let offset = Duration::from_millis(37 * engine as u64);
            self.at(offset, Event::Report { engine });
        }
        match self.condition {
            Condition::SlowEngine => self.engines[FAULTY].slowness = 4.0,
            Condition::DeadUpstream => {
                self.at(FAULT_BEGINS, Event::FaultBegins);
                self.at(FAULT_ENDS, Event::FaultEnds);
            }
            Condition::SilentConnection => self.at(FAULT_BEGINS, Event::FaultBegins),
            Condition::Normal | Condition::StaleReports | Condition::LostEvents => {}
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Runs until all requests have ended.
    pub fn run(mut self, span: Duration) -> RunReport {
        while let Some(Reverse((time, sequence))) = self.events.pop() {
            self.now = time;
            let event = self.pending.swap_remove(&sequence);
            self.handle(event.expect("every queued event is pending"));
            if self.now > span && self.live.iter().all(|request| request.ended) {
                break;
            }
        }
        self.report.span = span;
        self.report.offered = self.requests.len();
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let deadline = self.requests[request].deadline;
                self.after(deadline, Event::Deadline(request));
                self.send(request);
            }
            Event::Reach { attempt } => self.reach(attempt),
            Event::StepEnds { engine } => self.end_step(engine),
            Event::FirstToken { attempt } => self.first_token(attempt),
            Event::Done { attempt, token } => self.done(attempt, token),
            Event::Report { engine } => self.make_report(engine),
            Event::ReportArrives { engine, report } => {
                let now = self.instant();
                for chooser in &mut self.choosers {
                    chooser.load_reported(engine, &report, now);
                }
            }
            Event::CacheArrives { engine, event } => {
                for chooser in &mut self.choosers {
                    chooser.cache_event(engine, &event);
                }
            }
            Event::Deadline(request) => self.pass_deadline(request),
            Event::Watch { attempt } => self.watch(attempt),
            Event::NotConnected { attempt } => self.fail(attempt, AttemptOutcome::NotConnected),
            Event::FaultBegins => self.begin_fault(),
            Event::FaultEnds => self.engines[FAULTY].dead = false,
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.instant();
        let request = &self.requests[index];
        let deadline = self.start + request.at + request.deadline;
        let chooser = &mut self.choosers[request.router];
        let pick = match chooser.pick(request, &self.live[index].avoid, deadline, now) {
            Ok(pick) => pick,
            Err(reason) => {
                self.live[index].ended = true;
                let arrived = self.requests[index].priority;
                self.report.refused(reason, arrived);
                return;
            }
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.live[index].attempt = Some(attempt);
        self.live[index].attempts += 1;
        self.report.sent[pick.engine] += 1;
        let live = LiveAttempt {
            request: index,
            router: self.requests[index].router,
            engine: pick.engine,
            id: pick.attempt,
            last_progress: self.now,
            has_first: false,
            silent: false,
            first_byte_timeout: pick.first_byte_timeout,
            progress_timeout: pick.progress_timeout,
        };
        self.after(live.first_byte_timeout, Event::Watch { attempt });
        self.attempts.insert(attempt, live);
        self.after(TRAVEL, Event::Reach { attempt });
    }

    fn reach(&mut self, attempt: u64) {
        let Some(live) = self.attempts.get(&attempt) else {
            return;
        };
        let engine = live.engine;
        if self.engines[engine].dead {
            self.after(TRAVEL, Event::NotConnected { attempt });
            return;
        }
        let request = &self.requests[live.request];
        self.engines[engine].push(Job::new(
            attempt,
            request.blocks.clone(),
            request.prompt_tokens,
            request.answer_tokens,
        ));
        self.step(engine);
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some(span) = self.engines[engine].start_step() {
            self.engines[engine].is_stepping = true;
            self.after(span, Event::StepEnds { engine });
        }
    }

    fn end_step(&mut self, engine: usize) {
        self.engines[engine].is_stepping = false;
        let (tokens, delta) = self.engines[engine].end_step();
        self.publish(engine, delta);
        for token in tokens {
            self.carry(token);
        }
        self.step(engine);
    }

    fn carry(&mut self, token: Token) {
        let arrives = self.now + TRAVEL;
        let Some(live) = self.attempts.get_mut(&token.attempt) else {
            return;
        };
        if live.silent {
            return;
        }
        if !token.first {
            let between = arrives.saturating_sub(live.last_progress);
            self.report.between.push(between.as_secs_f64());
        }
        live.last_progress = arrives;
        let attempt = token.attempt;
        if token.first {
            self.report.cached += token.cached;
            self.report.prompt += self.requests[live.request].prompt_tokens;
            self.at(arrives, Event::FirstToken { attempt });
        }
        if token.last {
            self.at(arrives, Event::Done { attempt, token });
        }
    }

    fn first_token(&mut self, attempt: u64) {
        let now = self.instant();
        let Some(live) = self.attempts.get_mut(&attempt) else {
            return;
        };
        live.has_first = true;
        let progress_timeout = live.progress_timeout;
        self.choosers[live.router].first_byte(live.id, now);
        let request = live.request;
        self.live[request].has_first = true;
        let waited = self.now - self.requests[request].at;
        self.report.first.push(waited.as_secs_f64());
        self.after(progress_timeout, Event::Watch { attempt });
    }

    fn done(&mut self, attempt: u64, token: Token) {
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(token.generated),
            cached: Some(TokenCount(token.cached)),
        };
        let Some(live) = self.end_attempt(attempt, outcome) else {
            return;
        };
        self.live[live.request].ended = true;
        let request = &self.requests[live.request];
        self.report.completed(request.priority);
    }

    fn end_attempt(&mut self, attempt: u64, outcome: AttemptOutcome) -> Option<LiveAttempt> {
        let now = self.instant();
        let live = self.attempts.swap_remove(&attempt)?;
        self.choosers[live.router].finished(live.engine, live.id, outcome, now);
        self.live[live.request].attempt = None;
        Some(live)
    }

    fn fail(&mut self, attempt: u64, outcome: AttemptOutcome) {
        let Some(live) = self.end_attempt(attempt, outcome) else {
            return;
        };
        self.engines[live.engine].cancel(attempt);
        let now = self.instant();
        let index = live.request;
        let request = &self.requests[index];
        let deadline = self.start + request.at + request.deadline;
        let state = &mut self.live[index];
        let chooser = &mut self.choosers[live.router];
        let (sent, attempts) = (state.has_first, state.attempts);
        match chooser.retries(request, outcome, sent, attempts, deadline, now) {
            Ok(()) => {
                state.avoid.push(live.engine);
                self.report.retries += 1;
                self.send(index);
            }
            Err(reason) => {
                state.ended = true;
                self.report.refused(reason, request.priority);
            }
        }
    }

    fn pass_deadline(&mut self, request: usize) {
        if self.live[request].ended {
            return;
        }
        self.live[request].ended = true;
        self.report.late += 1;
        if let Some(attempt) = self.live[request].attempt
            && let Some(live) = self.end_attempt(attempt, AttemptOutcome::Cancelled)
        {
            self.engines[live.engine].cancel(attempt);
        }
    }

    /// Ends an attempt that has stood still for its timeout, or looks again later.
    fn watch(&mut self, attempt: u64) {
        let Some(live) = self.attempts.get(&attempt) else {
            return;
        };
        let timeout = match live.has_first {
            true => live.progress_timeout,
            false => live.first_byte_timeout,
        };
        let expires = live.last_progress + timeout;
        if expires <= self.now {
            self.fail(attempt, AttemptOutcome::Silent);
        } else {
            self.at(expires, Event::Watch { attempt });
        }
    }

    fn make_report(&mut self, engine: usize) {
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
            self.after(lag, Event::ReportArrives { engine, report });
        }
        self.after(interval, Event::Report { engine });
    }

    fn publish(&mut self, engine: usize, delta: CacheDelta) {
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
            self.after(lag, Event::CacheArrives { engine, event });
        }
    }

    fn begin_fault(&mut self) {
        match self.condition {
            Condition::DeadUpstream => {
                for attempt in self.engines[FAULTY].crash() {
                    self.fail(attempt, AttemptOutcome::ConnectionLost);
                }
            }
            _ => {
                for attempt in self.engines[FAULTY].attempts() {
                    if let Some(live) = self.attempts.get_mut(&attempt) {
                        live.silent = true;
                    }
                }
            }
        }
    }
}
