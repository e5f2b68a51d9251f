//! Executes one run of the soak test.

mod crash_phase;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
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
use snipegate_standin_site::StoreCopy;
use snipegate_standin_site::StoreFault;
use snipegate_standin_site::started_runner_entry;
use snipegate_types::RequestRate;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::callers::API_KEY;
use crate::callers::CallKind;
use crate::callers::CallOutcome;
use crate::callers::CallTarget;
use crate::callers::CallerState;
use crate::callers::run_caller;
use crate::check::ArrivalRecord;
use crate::check::ConfigRecord;
use crate::check::Disturbance;
use crate::check::DrainRecord;
use crate::check::RateLimitRecord;
use crate::check::RunRecord;
use crate::check::SoakRecord;
use crate::check::StopRecord;
use crate::edges::EdgeVm;
use crate::link::LinkFault;
use crate::link::LinkProxy;
use crate::plan::DRAIN_PROPAGATION_TIME;
use crate::plan::FaultPlan;
use crate::plan::SoakFault;
use crate::run::crash_phase::restart_after_crashes;

/// Number of upstreams in a run.
const UPSTREAMS: usize = 3;

/// Number of callers in a run.
const CALLERS: usize = 10;

/// Number of tokens that the workspace has bought. They run out in some runs.
const PREPAID_TOKENS: u64 = 1_000_000;

/// The script of an upstream without a fault.
const NORMAL_SCRIPT: RunnerScript = RunnerScript::Echo(Duration::from_millis(4));

/// Interval at which a run checks for due faults, ended processes and other progress.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Pause between two address queries, and between two probes of a VM.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);

/// Longest wait for the response to an address query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without faults after the plan, in which all VMs must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// How long a drain in the planned work lasts after [`DRAIN_PROPAGATION_TIME`] has passed.
const DRAIN_OBSERVATION_TIME: Duration = Duration::from_millis(1500);

/// Rate limit that an upstream advertises in the planned work.
const PLANNED_RATE_LIMIT: RequestRate = RequestRate(1.5);

/// How long that rate limit is advertised after the drain of another upstream has ended.
const RATE_LIMIT_TAIL: Duration = Duration::from_secs(4);

/// Longest wait for the processes to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Distance between the address ranges of two processes that play the same seed.
const SEEDS_PER_PROCESS: u64 = 1009;

/// Start time of an upstream's first run; each later one starts a millisecond later.
const FIRST_START_MS: u64 = 1000;

/// Version of the first configuration.
const FIRST_VERSION: u64 = 2;

struct SoakRun {
    store: StandinStore,
    store_links: Vec<LinkProxy>,
    runners: Vec<StandinRunner>,
    runner_links: Vec<LinkProxy>,
    caller_links: Vec<LinkProxy>,
    edges: RefCell<Vec<EdgeVm>>,
    version: Cell<u64>,
    /// VMs whose process is stopping, with the time of the request.
    pending_stops: RefCell<Vec<(usize, Instant)>>,
    /// Copies from which the store will come back, in that order.
    store_copies: RefCell<VecDeque<StoreCopy>>,
    /// Upstreams that are draining, once for each drain that has not ended.
    active_drains: RefCell<Vec<usize>>,
    /// Number of ended drains by upstream; another run of the upstream begins after each.
    ended_drains: [Cell<u64>; UPSTREAMS],
    record: RefCell<SoakRecord>,
}

/// Executes the run of a seed and returns its record. The settings and logs of the
/// processes go to `directory`.
///
/// # Errors
///
/// Fails if the stand-ins or processes can't be started, or if the processes don't start
/// serving in time.
pub async fn run_soak(
    seed: u64,
    vms: usize,
    duration: Duration,
    directory: PathBuf,
) -> io::Result<SoakRecord> {
    fastrand::seed(seed);
    let run = Rc::new(SoakRun::start(seed, vms, &directory).await?);
    let callers = Rc::new(CallerState {
        addresses: run.caller_links.iter().map(LinkProxy::address).collect(),
        listed_vms: RefCell::default(),
        records: RefCell::default(),
        is_stopped: Cell::new(false),
    });
    let mut tasks = vec![spawn_local(poll_addresses(
        Rc::clone(&run),
        Rc::clone(&callers),
    ))];
    wait_until_serving(&callers, vms).await?;
    tasks.extend(
        (0..vms).map(|vm| spawn_local(probe_config(Rc::clone(&run), Rc::clone(&callers), vm))),
    );
    tasks.extend((0..CALLERS).map(|n| spawn_local(run_caller(Rc::clone(&callers), n))));
    for upstream in 0..UPSTREAMS {
        spawn_local(restart_after_crashes(Rc::clone(&run), upstream));
    }
    run.execute_crash_phase(seed, vms, &callers).await?;
    let plan = FaultPlan::new(seed, vms, UPSTREAMS, duration);
    run.execute_plan(&plan).await?;
    run.wait_for_recovery().await?;
    run.check_recovery(&callers).await;
    run.execute_planned_work().await?;
    callers.is_stopped.set(true);
    for task in tasks {
        task.await.map_err(io::Error::other)?;
    }
    Ok(run.take_record(&callers))
}

/// Waits until all VMs are in the address directory.
async fn wait_until_serving(callers: &CallerState, vms: usize) -> io::Result<()> {
    let all_listed = async {
        while callers.listed_vms.borrow().len() < vms {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(START_TIMEOUT, all_listed)
        .await
        .map_err(|_| io::Error::other(format!("VMs are not serving after {START_TIMEOUT:?}")))
}

impl SoakRun {
    async fn start(seed: u64, vms: usize, directory: &std::path::Path) -> io::Result<Self> {
        let store = StandinStore::start().await?;
        let mut runners = Vec::new();
        let mut runner_links = Vec::new();
        for _ in 0..UPSTREAMS {
            let runner = StandinRunner::start(NORMAL_SCRIPT).await?;
            runner_links.push(LinkProxy::open(runner.address()).await?);
            runners.push(runner);
        }
        let mut store_links = Vec::new();
        let mut caller_links = Vec::new();
        let mut edges = Vec::new();
        // Another process may play the same seed at the same time.
        let address_range = u64::from(std::process::id()) * SEEDS_PER_PROCESS + seed;
        for vm in 0..vms {
            let link = LinkProxy::open(store.address()).await?;
            let vm_directory = directory.join(format!("vm-{vm}"));
            let edge = EdgeVm::new(address_range, vm, link.address(), vm_directory)?;
            caller_links.push(LinkProxy::open(edge.caller_address()).await?);
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
            pending_stops: RefCell::default(),
            store_copies: RefCell::default(),
            active_drains: RefCell::default(),
            ended_drains: Default::default(),
            record: RefCell::new(SoakRecord {
                prepaid: PREPAID_TOKENS,
                ..SoakRecord::default()
            }),
        };
        for upstream in 0..UPSTREAMS {
            run.write_upstream_entry(upstream, "ready");
        }
        run.write_next_config();
        for edge in run.edges.borrow_mut().iter_mut() {
            edge.start()?;
        }
        Ok(run)
    }

    /// Starts and ends the faults of a plan at their times.
    async fn execute_plan(&self, plan: &FaultPlan) -> io::Result<()> {
        let start = Instant::now();
        let mut begun_count = 0;
        let mut active: Vec<usize> = Vec::new();
        while begun_count < plan.faults.len() || !active.is_empty() {
            let elapsed = start.elapsed();
            while let Some(fault) = plan.faults.get(begun_count).filter(|f| f.at <= elapsed) {
                self.begin_fault(fault.fault);
                active.push(begun_count);
                begun_count += 1;
            }
            let (ended, remaining): (Vec<usize>, Vec<usize>) = active
                .into_iter()
                .partition(|&index| plan.faults[index].until <= elapsed);
            active = remaining;
            for index in ended {
                let fault = plan.faults[index];
                self.end_fault(fault.fault, start + fault.at)?;
            }
            self.restart_stopped()?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn begin_fault(&self, fault: SoakFault) {
        let mut edges = self.edges.borrow_mut();
        match fault {
            SoakFault::Kill(vm) => edges[vm].kill(),
            SoakFault::KillAll => edges.iter_mut().for_each(EdgeVm::kill),
            SoakFault::Pause(vm) => edges[vm].set_paused(true),
            SoakFault::Stop(vm) => {
                if edges[vm].stop() {
                    self.pending_stops.borrow_mut().push((vm, Instant::now()));
                }
            }
            SoakFault::StoreLink(vm, fault) => self.store_links[vm].set_fault(fault),
            SoakFault::StoreReset(vm) => self.store_links[vm].reset(),
            SoakFault::Store(fault) => {
                if matches!(fault, StoreFault::Silent | StoreFault::WatchSilent) {
                    // A configuration change completes the open watches, so that the watches
                    // that replace them get no response.
                    self.write_next_config();
                }
                self.store.set_fault(fault);
            }
            SoakFault::StoreReturn => {
                let mut copies = self.store_copies.borrow_mut();
                copies.push_back(self.store.copy());
            }
            SoakFault::CallerReset(vm) => self.caller_links[vm].reset(),
            SoakFault::CallerLink(vm, fault) => self.caller_links[vm].set_fault(fault),
            SoakFault::UpstreamLink(upstream, fault) => {
                self.runner_links[upstream].set_fault(fault);
            }
            SoakFault::UpstreamScript(upstream, script) => {
                self.runners[upstream].set_script(script);
            }
            SoakFault::Drain(upstream) => {
                self.active_drains.borrow_mut().push(upstream);
                self.write_upstream_entry(upstream, "draining");
            }
            SoakFault::RateLimit(upstream, rate) => self.runners[upstream].set_rate(Some(rate)),
            SoakFault::Config => self.write_next_config(),
        }
    }

    /// Ends a fault that began at `from`, and records it.
    fn end_fault(&self, fault: SoakFault, from: Instant) -> io::Result<()> {
        let until = Instant::now();
        if !fault.is_planned() {
            let vm = fault.vm();
            let mut record = self.record.borrow_mut();
            record.disturbances.push(Disturbance {
                vm,
                interrupts_vms: fault.interrupts_vms(),
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
            SoakFault::StoreReturn => {
                if let Some(copy) = self.store_copies.borrow_mut().pop_front() {
                    self.store.rewind(&copy);
                }
            }
            SoakFault::CallerLink(vm, _) => self.caller_links[vm].set_fault(LinkFault::None),
            SoakFault::UpstreamLink(upstream, _) => {
                self.runner_links[upstream].set_fault(LinkFault::None);
            }
            SoakFault::UpstreamScript(upstream, _) => {
                self.runners[upstream].set_script(NORMAL_SCRIPT);
            }
            SoakFault::Drain(upstream) => {
                self.end_drain(upstream);
                let mut record = self.record.borrow_mut();
                record.drains.push(DrainRecord {
                    upstream,
                    from,
                    until,
                });
            }
            SoakFault::RateLimit(upstream, rate) => {
                self.runners[upstream].set_rate(None);
                let period = RatePeriod { rate, from, until };
                let mut record = self.record.borrow_mut();
                record
                    .rate_limits
                    .push(RateLimitRecord { upstream, period });
            }
            SoakFault::Stop(_)
            | SoakFault::StoreReset(_)
            | SoakFault::CallerReset(_)
            | SoakFault::Config => {}
        }
        Ok(())
    }

    /// Ends one drain of an upstream, which is ready again once all its drains have ended.
    fn end_drain(&self, upstream: usize) {
        let mut drains = self.active_drains.borrow_mut();
        let index = drains.iter().position(|drained| *drained == upstream);
        drains.swap_remove(index.expect("upstream should be draining"));
        if !drains.contains(&upstream) {
            let ended = &self.ended_drains[upstream];
            ended.set(ended.get() + 1);
            self.write_upstream_entry(upstream, "ready");
        }
    }

    /// Records the processes that have stopped, and restarts them.
    fn restart_stopped(&self) -> io::Result<()> {
        let mut edges = self.edges.borrow_mut();
        let stops = std::mem::take(&mut *self.pending_stops.borrow_mut());
        for (vm, from) in stops {
            if edges[vm].has_stopped() {
                let until = Instant::now();
                let mut record = self.record.borrow_mut();
                record.stops.push(StopRecord { vm, from, until });
                edges[vm].start()?;
            } else {
                self.pending_stops.borrow_mut().push((vm, from));
            }
        }
        Ok(())
    }

    /// Writes a last configuration, then waits for [`RECOVERY_TIME`] and until all stops
    /// have ended.
    async fn wait_for_recovery(&self) -> io::Result<()> {
        self.write_next_config();
        let recovery_start = Instant::now();
        while recovery_start.elapsed() < RECOVERY_TIME || !self.pending_stops.borrow().is_empty() {
            self.restart_stopped()?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Executes planned work without faults, so that no disturbance excuses a violation.
    async fn execute_planned_work(&self) -> io::Result<()> {
        let from = Instant::now();
        let rate_limit = SoakFault::RateLimit(1, PLANNED_RATE_LIMIT);
        self.begin_fault(rate_limit);
        self.begin_fault(SoakFault::Drain(0));
        sleep(DRAIN_PROPAGATION_TIME + DRAIN_OBSERVATION_TIME).await;
        self.end_fault(SoakFault::Drain(0), from)?;
        sleep(RATE_LIMIT_TAIL).await;
        self.end_fault(rate_limit, from)?;
        self.begin_fault(SoakFault::Stop(0));
        while !self.pending_stops.borrow().is_empty() {
            sleep(POLL_INTERVAL).await;
            self.restart_stopped()?;
        }
        Ok(())
    }

    /// Records the VMs that do not serve the newest configuration.
    async fn check_recovery(&self, callers: &CallerState) {
        let addresses: Vec<SocketAddr> = self
            .edges
            .borrow()
            .iter()
            .map(EdgeVm::caller_address)
            .collect();
        for (vm, address) in addresses.into_iter().enumerate() {
            let id = format!("last-{vm}");
            let kind = CallKind::Probe(self.version.get());
            let process = self.edges.borrow()[vm].start_count();
            let target = CallTarget {
                vm,
                process,
                address,
            };
            let (outcome, _) = callers.call(target, None, kind, id).await;
            if !matches!(outcome, CallOutcome::Response { status: 200, .. }) {
                self.record.borrow_mut().not_recovered.push(vm);
            }
        }
    }

    fn take_record(&self, callers: &CallerState) -> SoakRecord {
        let mut record = self.record.take();
        record.calls = callers.records.take();
        record.crashes = self.runners.iter().flat_map(|r| r.crashes()).collect();
        record.crashes.sort();
        for (upstream, runner) in self.runners.iter().enumerate() {
            for request in runner.requests() {
                let id = request.head.headers.get("X-Attempt-Id").unwrap_or_default();
                record.arrivals.push(ArrivalRecord {
                    id: id.to_owned(),
                    upstream,
                    at: request.at,
                    advertises_rate: request.advertised_rate.is_some(),
                });
                if request.executed {
                    record.runs.push(RunRecord {
                        id: id.to_owned(),
                        path: request.head.path().to_owned(),
                        upstream,
                        at: request.at,
                    });
                }
            }
        }
        record
    }

    fn write_upstream_entry(&self, upstream: usize, state: &str) {
        let crashes = self.runners[upstream].crashes().len() as u64;
        let started_ms = FIRST_START_MS + crashes + self.ended_drains[upstream].get();
        let text = started_runner_entry(self.runner_links[upstream].address(), state, started_ms);
        let key = format!("servers/i-{upstream}");
        self.store.put(&key, text.as_bytes());
    }

    /// Writes the next version of the configuration, which adds a route with its number.
    fn write_next_config(&self) {
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
            "tenants":[{{"name":"acme","apiKeys":["{API_KEY}"],"priority":1,"prepaid":{PREPAID_TOKENS}}}]}}"#
        );
        self.store.put("op/config", text.as_bytes());
        let written = Instant::now();
        let mut record = self.record.borrow_mut();
        record.configs.push(ConfigRecord { version, written });
    }
}

/// Queries the VMs' address directories in turn until the run ends.
async fn poll_addresses(run: Rc<SoakRun>, callers: Rc<CallerState>) {
    let directories: Vec<SocketAddr> = run
        .edges
        .borrow()
        .iter()
        .map(EdgeVm::directory_address)
        .collect();
    let addresses: Vec<SocketAddr> = run
        .edges
        .borrow()
        .iter()
        .map(EdgeVm::caller_address)
        .collect();
    for directory in directories.iter().cycle() {
        if callers.is_stopped.get() {
            return;
        }
        let response = timeout(QUERY_TIMEOUT, query_addresses(*directory)).await;
        if let Ok(Some(listed)) = response {
            let indices = addresses.iter().enumerate();
            let listed_vms = indices.filter(|(_, address)| listed.contains(address));
            *callers.listed_vms.borrow_mut() = listed_vms.map(|(vm, _)| vm).collect();
        }
        sleep(QUERY_INTERVAL).await;
    }
}

/// Queries an address directory. Returns `None` if it can't be reached or its response is
/// invalid.
async fn query_addresses(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let stream = TcpStream::connect(directory).await.ok()?;
    let mut connection = HttpConnection::new(stream, directory, Instant::now());
    let mut head = RequestHead::new("GET", "/-/resolve?name=h.example&region=r&zone=z1");
    head.headers.push("Host", "h.example");
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    connection.send_unchecked(&bytes).await.ok()?;
    let response = connection.read_response("GET", 64 * 1024).await.ok()?;
    let content: Value = serde_json::from_slice(&response.body).ok()?;
    let addresses = content["addresses"].as_array()?;
    let parsed = addresses
        .iter()
        .filter_map(|address| address.as_str()?.parse().ok());
    Some(parsed.collect())
}

/// Calls the route of the newest configuration on a VM until the run ends.
async fn probe_config(run: Rc<SoakRun>, callers: Rc<CallerState>, vm: usize) {
    let address = run.edges.borrow()[vm].caller_address();
    let mut number = 0;
    while !callers.is_stopped.get() {
        sleep(QUERY_INTERVAL).await;
        number += 1;
        let process = run.edges.borrow()[vm].start_count();
        let kind = CallKind::Probe(run.version.get());
        let id = format!("p{vm}-{number}");
        let target = CallTarget {
            vm,
            process,
            address,
        };
        callers.call(target, None, kind, id).await;
    }
}
