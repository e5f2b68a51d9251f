//! Plays one run.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use serde_json::Value;
use snipegate_http1::HttpConnection;
use snipegate_http1::RequestHead;
use snipegate_standin_site::RatePeriod;
use snipegate_standin_site::RunnerScript;
use snipegate_standin_site::StandinRunner;
use snipegate_standin_site::StandinStore;
use snipegate_standin_site::StoreFault;
use snipegate_standin_site::runner_entry;
use snipegate_types::RequestRate;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::callers::CallEnd;
use crate::callers::CallKind;
use crate::callers::CallTarget;
use crate::callers::CallerPool;
use crate::callers::KEY;
use crate::callers::run_caller;
use crate::check::ArrivalRecord;
use crate::check::ConfigRecord;
use crate::check::Disturbance;
use crate::check::DrainRecord;
use crate::check::RateRecord;
use crate::check::RunRecord;
use crate::check::SoakRecord;
use crate::check::StopRecord;
use crate::edges::EdgeVm;
use crate::link::LinkFault;
use crate::link::TestLink;
use crate::plan::DRAIN_BOUND;
use crate::plan::FaultPlan;
use crate::plan::SoakFault;

/// Upstreams of a run.
const UPSTREAMS: usize = 3;

/// Callers of a run.
const CALLERS: usize = 10;

/// Tokens that the workspace has bought; they run out in some runs.
const PREPAID: u64 = 700_000;

/// What upstreams do when nothing is wrong.
const GOOD: RunnerScript = RunnerScript::Echo(Duration::from_millis(4));

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);

/// Pause between two questions for addresses, and between two probes of a VM.
const ASK_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for an address answer.
const ASK_WAIT: Duration = Duration::from_millis(400);

/// Calm time after the faults, in which all has to recover.
const CALM: Duration = Duration::from_secs(6);

/// How long an upstream is watched after the time in which it may get requests.
const CALM_DRAIN: Duration = Duration::from_millis(1500);

/// What an upstream names while nothing is wrong, and for how long after another one
/// drained.
const CALM_RATE: RequestRate = RequestRate(1.5);
const CALM_RATE_SPAN: Duration = Duration::from_secs(4);

/// Longest wait for processes to begin to serve.
const START_WAIT: Duration = Duration::from_secs(20);

/// First version of the configuration.
const FIRST_VERSION: u64 = 2;

struct SoakRun {
    store: StandinStore,
    store_links: Vec<TestLink>,
    runners: Vec<StandinRunner>,
    runner_links: Vec<TestLink>,
    caller_links: Vec<TestLink>,
    edges: RefCell<Vec<EdgeVm>>,
    version: Cell<u64>,
    open_stops: RefCell<Vec<(usize, Instant)>>,
    /// Upstreams that leave, once for each drain that has not ended.
    open_drains: RefCell<Vec<usize>>,
    record: RefCell<SoakRecord>,
}

/// Plays the run of a seed and returns what happened; logs go to `directory`.
///
/// # Errors
///
/// Fails if the stand-ins or processes can't be started.
pub async fn run_soak(
    seed: u64,
    vms: usize,
    span: Duration,
    directory: PathBuf,
) -> io::Result<SoakRecord> {
    fastrand::seed(seed);
    let run = Rc::new(SoakRun::start(seed, vms, &directory).await?);
    let pool = Rc::new(CallerPool {
        fronts: run.caller_links.iter().map(TestLink::address).collect(),
        named: RefCell::default(),
        records: RefCell::default(),
        is_over: Cell::new(false),
    });
    let mut tasks = vec![spawn_local(follow_addresses(
        Rc::clone(&run),
        Rc::clone(&pool),
    ))];
    wait_for_all(&pool, vms).await?;
    tasks.extend((0..vms).map(|vm| spawn_local(probe(Rc::clone(&run), Rc::clone(&pool), vm))));
    tasks.extend((0..CALLERS).map(|n| spawn_local(run_caller(Rc::clone(&pool), n))));
    let plan = FaultPlan::new(seed, vms, UPSTREAMS, span);
    run.play(&plan).await?;
    run.recover().await?;
    run.check_recovery(&pool).await;
    run.play_planned_work().await?;
    pool.is_over.set(true);
    for task in tasks {
        task.await.map_err(io::Error::other)?;
    }
    Ok(run.finish(&pool))
}

async fn wait_for_all(pool: &CallerPool, vms: usize) -> io::Result<()> {
    let all_named = async {
        while pool.named.borrow().len() < vms {
            sleep(TICK).await;
        }
    };
    timeout(START_WAIT, all_named)
        .await
        .map_err(|_| io::Error::other("fronts do not serve"))
}

impl SoakRun {
    async fn start(seed: u64, vms: usize, directory: &std::path::Path) -> io::Result<Self> {
        let store = StandinStore::start().await?;
        let mut runners = Vec::new();
        let mut runner_links = Vec::new();
        for _ in 0..UPSTREAMS {
            let runner = StandinRunner::start(GOOD).await?;
            runner_links.push(TestLink::open(runner.address()).await?);
            runners.push(runner);
        }
        let mut store_links = Vec::new();
        let mut caller_links = Vec::new();
        let mut edges = Vec::new();
        for vm in 0..vms {
            let link = TestLink::open(store.address()).await?;
            let own = directory.join(format!("vm-{vm}"));
            let edge = EdgeVm::new(seed, vm, link.address(), own)?;
            caller_links.push(TestLink::open(edge.front()).await?);
            store_links.push(link);
            edges.push(edge);
        }
        let run = Self {
            store,
            store_links,
            runners,
            runner_links,
            caller_links,
            edges: RefCell::new(edges),
            version: Cell::new(FIRST_VERSION - 1),
            open_stops: RefCell::default(),
            open_drains: RefCell::default(),
            record: RefCell::new(SoakRecord {
                prepaid: PREPAID,
                ..SoakRecord::default()
            }),
        };
        for upstream in 0..UPSTREAMS {
            run.put_entry(upstream, "ready");
        }
        run.next_config();
        for edge in run.edges.borrow_mut().iter_mut() {
            edge.start()?;
        }
        Ok(run)
    }

    async fn play(&self, plan: &FaultPlan) -> io::Result<()> {
        let start = Instant::now();
        let mut begun = 0;
        let mut open: Vec<usize> = Vec::new();
        while begun < plan.faults.len() || !open.is_empty() {
            let passed = start.elapsed();
            while let Some(fault) = plan.faults.get(begun).filter(|f| f.at <= passed) {
                self.begin(fault.fault);
                open.push(begun);
                begun += 1;
            }
            let (ended, left): (Vec<usize>, Vec<usize>) = open
                .into_iter()
                .partition(|&number| plan.faults[number].until <= passed);
            open = left;
            for number in ended {
                let fault = plan.faults[number];
                self.end(fault.fault, start + fault.at)?;
            }
            self.note_stops()?;
            sleep(TICK).await;
        }
        Ok(())
    }

    fn begin(&self, fault: SoakFault) {
        let mut edges = self.edges.borrow_mut();
        match fault {
            SoakFault::Kill(vm) => edges[vm].kill(),
            SoakFault::KillAll => edges.iter_mut().for_each(EdgeVm::kill),
            SoakFault::Pause(vm) => edges[vm].set_paused(true),
            SoakFault::Stop(vm) => {
                if edges[vm].stop() {
                    self.open_stops.borrow_mut().push((vm, Instant::now()));
                }
            }
            SoakFault::StoreLink(vm, fault) => self.store_links[vm].set_fault(fault),
            SoakFault::StoreReset(vm) => self.store_links[vm].reset(),
            SoakFault::Store(fault) => {
                if matches!(fault, StoreFault::Silent | StoreFault::WatchSilent) {
                    // With a change as the last answer, the next watches are lost.
                    self.next_config();
                }
                self.store.set_fault(fault);
            }
            SoakFault::CallerReset(vm) => self.caller_links[vm].reset(),
            SoakFault::CallerLink(vm, fault) => self.caller_links[vm].set_fault(fault),
            SoakFault::UpstreamLink(upstream, fault) => {
                self.runner_links[upstream].set_fault(fault);
            }
            SoakFault::Upstream(upstream, script) => self.runners[upstream].set_script(script),
            SoakFault::Drain(upstream) => {
                self.open_drains.borrow_mut().push(upstream);
                self.put_entry(upstream, "draining");
            }
            SoakFault::Rate(upstream, rate) => self.runners[upstream].set_rate(Some(rate)),
            SoakFault::Config => self.next_config(),
        }
    }

    fn end(&self, fault: SoakFault, from: Instant) -> io::Result<()> {
        let until = Instant::now();
        if !fault.is_planned() {
            let vm = fault.vm();
            let mut record = self.record.borrow_mut();
            record.disturbances.push(Disturbance {
                vm,
                takes_vms_away: fault.takes_vms_away(),
                from,
                until,
            });
        }
        let mut edges = self.edges.borrow_mut();
        match fault {
            SoakFault::Kill(vm) => edges[vm].start()?,
            SoakFault::KillAll => {
                for edge in edges.iter_mut() {
                    edge.start()?;
                }
            }
            SoakFault::Pause(vm) => edges[vm].set_paused(false),
            SoakFault::StoreLink(vm, _) => self.store_links[vm].set_fault(LinkFault::None),
            SoakFault::Store(_) => self.store.set_fault(StoreFault::None),
            SoakFault::CallerLink(vm, _) => self.caller_links[vm].set_fault(LinkFault::None),
            SoakFault::UpstreamLink(upstream, _) => {
                self.runner_links[upstream].set_fault(LinkFault::None);
            }
            SoakFault::Upstream(upstream, _) => self.runners[upstream].set_script(GOOD),
            SoakFault::Drain(upstream) => {
                self.end_drain(upstream);
                let mut record = self.record.borrow_mut();
                record.drains.push(DrainRecord {
                    upstream,
                    from,
                    until,
                });
            }
            SoakFault::Rate(upstream, rate) => {
                self.runners[upstream].set_rate(None);
                let period = RatePeriod { rate, from, until };
                let mut record = self.record.borrow_mut();
                record.rates.push(RateRecord { upstream, period });
            }
            SoakFault::Stop(_)
            | SoakFault::StoreReset(_)
            | SoakFault::CallerReset(_)
            | SoakFault::Config => {}
        }
        Ok(())
    }

    /// Ends one drain of an upstream, which is back once none is left.
    fn end_drain(&self, upstream: usize) {
        let mut open = self.open_drains.borrow_mut();
        let place = open.iter().position(|drained| *drained == upstream);
        open.swap_remove(place.expect("an open drain"));
        if !open.contains(&upstream) {
            self.put_entry(upstream, "ready");
        }
    }

    /// Notes processes that have stopped, and starts them again.
    fn note_stops(&self) -> io::Result<()> {
        let mut edges = self.edges.borrow_mut();
        let stops = std::mem::take(&mut *self.open_stops.borrow_mut());
        for (vm, from) in stops {
            if edges[vm].has_stopped() {
                let until = Instant::now();
                let mut record = self.record.borrow_mut();
                record.stops.push(StopRecord { vm, from, until });
                edges[vm].start()?;
            } else {
                self.open_stops.borrow_mut().push((vm, from));
            }
        }
        Ok(())
    }

    /// Ends what is left of all faults and waits until all has settled.
    async fn recover(&self) -> io::Result<()> {
        self.next_config();
        let calm_from = Instant::now();
        while calm_from.elapsed() < CALM || !self.open_stops.borrow().is_empty() {
            self.note_stops()?;
            sleep(TICK).await;
        }
        Ok(())
    }

    /// Plays planned work while nothing is wrong, so that nothing excuses a fault.
    async fn play_planned_work(&self) -> io::Result<()> {
        let began = Instant::now();
        let rate = SoakFault::Rate(1, CALM_RATE);
        self.begin(rate);
        self.begin(SoakFault::Drain(0));
        sleep(DRAIN_BOUND + CALM_DRAIN).await;
        self.end(SoakFault::Drain(0), began)?;
        sleep(CALM_RATE_SPAN).await;
        self.end(rate, began)?;
        self.begin(SoakFault::Stop(0));
        while !self.open_stops.borrow().is_empty() {
            sleep(TICK).await;
            self.note_stops()?;
        }
        Ok(())
    }

    /// Notes VMs that do not serve the newest configuration.
    async fn check_recovery(&self, pool: &CallerPool) {
        let fronts: Vec<SocketAddr> = self.edges.borrow().iter().map(EdgeVm::front).collect();
        for (vm, front) in fronts.into_iter().enumerate() {
            let id = format!("last-{vm}");
            let kind = CallKind::Probe(self.version.get());
            let process = self.edges.borrow()[vm].started();
            let target = CallTarget { vm, process, front };
            let (end, _) = pool.call(target, None, kind, id).await;
            if !matches!(end, CallEnd::Answer { status: 200, .. }) {
                self.record.borrow_mut().not_recovered.push(vm);
            }
        }
    }

    fn finish(&self, pool: &CallerPool) -> SoakRecord {
        let mut record = self.record.take();
        record.calls = pool.records.take();
        for (upstream, runner) in self.runners.iter().enumerate() {
            for seen in runner.seen() {
                let id = seen.head.headers.get("X-Attempt-Id").unwrap_or_default();
                record.arrivals.push(ArrivalRecord {
                    id: id.to_owned(),
                    upstream,
                    at: seen.at,
                    advertises_rate: seen.advertised_rate.is_some(),
                });
                if seen.ran {
                    record.runs.push(RunRecord {
                        id: id.to_owned(),
                        path: seen.head.path().to_owned(),
                        upstream,
                        at: seen.at,
                    });
                }
            }
        }
        record
    }

    fn put_entry(&self, upstream: usize, state: &str) {
        let text = runner_entry(self.runner_links[upstream].address(), state);
        let key = format!("servers/i-{upstream}");
        self.store.put(&key, text.as_bytes());
    }

    /// Writes the next version of the configuration, with a route of its own.
    fn next_config(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let route = |name: &str, path: &str, kind: &str, attempts: u32| {
            format!(
                r#"{{"name":"{name}","host":"h.example","pathPrefix":"{path}","routeKind":"{kind}","timeoutMs":3000,"goalMs":300,"priority":1,"service":"svc","maxAttempts":{attempts},"public":false,"sticky":false}}"#
            )
        };
        let mut routes = vec![
            route("b", &CallKind::Booking.path(), "non_idempotent", 1),
            route("r", &CallKind::Read.path(), "idempotent", 2),
            route("s", &CallKind::Stream.path(), "streaming", 1),
        ];
        routes.extend((FIRST_VERSION..=version).map(|n| {
            let path = CallKind::Probe(n).path();
            route(&format!("v{n}"), &path, "idempotent", 2)
        }));
        let routes = routes.join(",");
        let text = format!(
            r#"{{"version":{version},"routes":[{routes}],
            "services":[{{"name":"svc","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":100000,"kvTokenBytes":1,"linkMbps":1.0,"stride":3}}}}],
            "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
            "tenants":[{{"name":"acme","apiKeys":["{KEY}"],"priority":1,"prepaid":{PREPAID}}}]}}"#
        );
        self.store.put("op/config", text.as_bytes());
        let written = Instant::now();
        let mut record = self.record.borrow_mut();
        record.configs.push(ConfigRecord { version, written });
    }
}

/// Asks VMs in turn which addresses to use, until the run is over.
async fn follow_addresses(run: Rc<SoakRun>, pool: Rc<CallerPool>) {
    let directories: Vec<SocketAddr> = run.edges.borrow().iter().map(EdgeVm::directory).collect();
    let fronts: Vec<SocketAddr> = run.edges.borrow().iter().map(EdgeVm::front).collect();
    for directory in directories.iter().cycle() {
        if pool.is_over.get() {
            return;
        }
        let answer = timeout(ASK_WAIT, ask_addresses(*directory)).await;
        if let Ok(Some(named)) = answer {
            let indices = fronts.iter().enumerate();
            let known = indices.filter(|(_, front)| named.contains(front));
            *pool.named.borrow_mut() = known.map(|(vm, _)| vm).collect();
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn ask_addresses(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let stream = TcpStream::connect(directory).await.ok()?;
    let mut connection = HttpConnection::new(stream, directory, Instant::now());
    let mut head = RequestHead::new("GET", "/-/resolve?name=h.example&region=r&zone=z1");
    head.headers.push("Host", "h.example");
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    connection.send_unchecked(&bytes).await.ok()?;
    let answer = connection.read_response("GET", 64 * 1024).await.ok()?;
    let answer: Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = answer["addresses"].as_array()?;
    let parsed = addresses
        .iter()
        .filter_map(|address| address.as_str()?.parse().ok());
    Some(parsed.collect())
}

/// Asks a VM for routes that versions of the configuration brought.
async fn probe(run: Rc<SoakRun>, pool: Rc<CallerPool>, vm: usize) {
    let front = run.edges.borrow()[vm].front();
    let mut number = 0;
    while !pool.is_over.get() {
        sleep(ASK_PAUSE).await;
        number += 1;
        let process = run.edges.borrow()[vm].started();
        let kind = CallKind::Probe(run.version.get());
        let id = format!("p{vm}-{number}");
        let target = CallTarget { vm, process, front };
        pool.call(target, None, kind, id).await;
    }
}
