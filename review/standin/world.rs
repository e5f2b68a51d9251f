//! A small deployment: the store, runners, the project's edge processes, and clients.

use std::collections::HashMap;
use std::fs;
use std::hash::Hasher;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::exchange;
use crate::http::find;
use crate::http::read_request;
use crate::http::write_response;
use crate::store::Store;

/// Input tokens of a request.
pub const INPUT_TOKENS: u64 = 1000;
/// Tokens of one event of a stream.
pub const EVENT_TOKENS: u64 = 3;

/// Lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: String) {
        let ms = self.began.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{ms:>6} {line}"));
    }

    pub fn say(&self, line: String) {
        println!("{line}");
        self.add(line);
    }

    pub fn save(&self, path: &str) {
        let lines = self.lines.lock().unwrap().join("\n");
        fs::write(path, lines + "\n").expect("record");
    }
}

/// What the runners have run, by tenant.
#[derive(Clone, Default)]
pub struct Used(Arc<Mutex<HashMap<String, (u64, u64)>>>);

impl Used {
    /// Requests that ran for a tenant.
    pub fn runs(&self, tenant: &str) -> u64 {
        self.0.lock().unwrap().get(tenant).map_or(0, |used| used.0)
    }

    /// Tokens that a tenant got: input once per request, and output that was handed on.
    pub fn tokens(&self, tenant: &str) -> u64 {
        self.0.lock().unwrap().get(tenant).map_or(0, |used| used.1)
    }

    fn add(&self, tenant: &str, runs: u64, tokens: u64) {
        let mut used = self.0.lock().unwrap();
        let used = used.entry(tenant.to_owned()).or_default();
        used.0 += runs;
        used.1 += tokens;
    }
}

pub struct Tenant {
    pub name: String,
    pub prepaid: u64,
}

impl Tenant {
    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }
}

/// The project's hash for duties and shards: SipHash-1-3 of the text, with zero keys.
pub fn hash(text: &str) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub used: Used,
    folder: PathBuf,
    ports: Vec<u16>,
    next_id: Arc<Mutex<u64>>,
    edges: HashMap<usize, Child>,
    subnet: u8,
}

impl World {
    pub fn start(subnet: u8) -> World {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
        // The same ports on all machines, as on the users' platform.
        let ports = (0..6)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("free port"))
            .collect::<Vec<_>>()
            .iter()
            .map(|listener| listener.local_addr().expect("free port").port())
            .collect();
        World {
            record: Record::new(),
            store: Store::start(),
            used: Used::default(),
            folder,
            ports,
            next_id: Arc::default(),
            edges: HashMap::new(),
            subnet,
        }
    }

    fn ip(&self, number: usize) -> String {
        format!("127.0.{}.{number}", self.subnet)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        format!("{}:{}", self.ip(number), self.ports[0]).parse().expect("address")
    }

    pub fn put_config(&self, version: u64, tenants: &[&Tenant]) {
        let tenants: Vec<String> = tenants
            .iter()
            .map(|t| {
                let (name, key, prepaid) = (&t.name, t.key(), t.prepaid);
                format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"prepaid":{prepaid}}}"#)
            })
            .collect();
        let tenants = tenants.join(",");
        let text = format!(
            r#"{{"version":{version},"routes":[{{"name":"s","host":"h.example","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":15000,"goalMs":300,"gapTargetMs":200,"priority":1,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false}}],"services":[{{"name":"llm","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":288611,"kvTokenBytes":1,"linkMbps":1.0,"stride":3}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
        );
        self.store.put("op/config", &text);
        self.record.add(format!("operator wrote configuration {version}: {tenants}"));
    }

    /// Starts a runner of the service and registers it.
    pub fn start_runner(&self, number: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("runner address");
        let address = listener.local_addr().expect("runner address");
        let id = format!("i-{number}");
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"z-{number}","version":"1","slots":64,"state":"ready","coldLeftMs":0,"seq":1,"born":1790000000000}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
        let (used, record) = (self.used.clone(), self.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (used, record, id) = (used.clone(), record.clone(), id.clone());
                thread::spawn(move || serve_runner(stream, &id, &used, &record));
            }
        });
    }

    /// Starts an edge process with the command of the deploy file.
    pub fn start_edge(&mut self, number: usize, name: &str) {
        let ip = self.ip(number);
        let p = &self.ports;
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"edge\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"registry\"]\nip = \"{ip}\"\nzone = \"z-{number}\"\nregion = \"r\"\ninternalPorts = [{},{}]\nseeds = []\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"registry\"\nheartbeatMs = 1200\n[listen]\nfront = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = 8\nconfigMs = 2000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nsettle_ms = 1500\nttl_max_s = 5\n[platform]\naddress = \"{}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            p[3], p[3] + 1, p[0], p[1], p[2], self.store.address
        );
        let path = self.folder.join(format!("edge-{number}.toml"));
        fs::write(&path, settings).expect("settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("edge-{number}.log")))
            .expect("log");
        let child = Command::new("target/release/snipegate-edge")
            .args(["--metrics", &format!("{ip}:{}", p[4])])
            .env_clear()
            .env("SNIPEGATE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("target/release/snipegate-edge: run the build of the deploy file first");
        self.record.add(format!("edge {number} ({name}) started"));
        self.edges.insert(number, child);
    }

    /// Waits until an edge says that it is ready.
    pub fn wait_ready(&self, number: usize) -> bool {
        let address: SocketAddr =
            format!("{}:{}", self.ip(number), self.ports[1]).parse().expect("address");
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let answer = exchange(address, request, b"", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&mut self, number: usize, signal: &str) {
        let Some(child) = self.edges.get(&number) else { return };
        let pid = child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        self.record.say(format!("edge {number}: SIG{signal}"));
    }

    /// Waits for the end of an edge; kills it after `grace`.
    pub fn wait_end(&mut self, number: usize, grace: Duration) {
        let Some(mut child) = self.edges.remove(&number) else { return };
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record.say(format!("edge {number} has ended"));
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.say(format!("edge {number} was killed after its grace"));
    }

    /// One attempt of a client: a stream of `events` events. Returns the status, 0 if there was
    /// no answer, and whether the stream was whole.
    pub fn ask(&self, edge: usize, tenant: &Tenant, events: u64, gap_ms: u64) -> (u16, bool) {
        ask(self.front(edge), &self.record, &self.next_id, edge, tenant, events, gap_ms)
    }

    /// The same in the background.
    pub fn ask_beside(&self, edge: usize, tenant: &Tenant, events: u64, gap_ms: u64) -> thread::JoinHandle<(u16, bool)> {
        let (front, record, ids) = (self.front(edge), self.record.clone(), self.next_id.clone());
        let tenant = Tenant { name: tenant.name.clone(), prepaid: tenant.prepaid };
        thread::spawn(move || ask(front, &record, &ids, edge, &tenant, events, gap_ms))
    }

    /// Sends requests of a tenant to the edges in turn for `span`, one each `pause`. Returns how
    /// many came to each status.
    pub fn press(&self, edges: &[usize], tenant: &Tenant, span: Duration, pause: Duration) -> HashMap<u16, u32> {
        let until = Instant::now() + span;
        let mut statuses = HashMap::new();
        for edge in edges.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let (status, _) = self.ask(*edge, tenant, 1, 0);
            *statuses.entry(status).or_default() += 1;
            thread::sleep(pause);
        }
        self.record.say(format!("{}: answers by status {statuses:?}; {} requests have run, {} tokens of {}",
            tenant.name, self.used.runs(&tenant.name), self.used.tokens(&tenant.name), tenant.prepaid));
        statuses
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.edges.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn ask(front: SocketAddr, record: &Record, ids: &Mutex<u64>, edge: usize, tenant: &Tenant, events: u64, gap_ms: u64) -> (u16, bool) {
    let id = {
        let mut ids = ids.lock().unwrap();
        *ids += 1;
        format!("{:016x}", *ids)
    };
    let (name, key) = (&tenant.name, tenant.key());
    let max_output = events * EVENT_TOKENS;
    let request = format!(
        "POST /stream/{events}/{gap_ms} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: {INPUT_TOKENS},{max_output}\r\nX-Prefix-Hash: 5c1e07a2:600,{id}:400\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n"
    );
    let answer = exchange(front, &request, b"{}", Duration::from_secs(16));
    let (status, whole, after) = match &answer {
        Some(answer) => {
            let after = find(&answer.headers, "retry-after").unwrap_or("-").to_owned();
            (answer.status, answer.complete, after)
        }
        None => (0, false, "-".to_owned()),
    };
    record.add(format!("client: {id} of {name} at edge {edge}: {status} whole={whole} retry-after={after}"));
    (status, whole)
}

/// A sound runner: it runs what is sent to it, and streams its events.
fn serve_runner(mut stream: TcpStream, id: &str, used: &Used, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let attempt = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
        if request.target == "/healthz" {
            write_response(&mut stream, 200, &[("X-Instance-Id", id.to_owned())], b"");
            continue;
        }
        if request.target == "/-/report" {
            let body = br#"{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":288611,"handles":0,"born":1790000000000}"#;
            write_response(&mut stream, 200, &[("Content-Type", "application/json".to_owned())], body);
            continue;
        }
        if request.header("X-Expect-Instance").is_some_and(|expected| expected != id) {
            write_response(&mut stream, 421, &[("X-Instance-Id", id.to_owned())], b"");
            continue;
        }
        let tenant = request.header("X-Tenant").unwrap_or_default().to_owned();
        let mut words = request.target.split('/').skip(2);
        let mut next = || words.next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
        let (events, gap) = (next(), next());
        used.add(&tenant, 1, INPUT_TOKENS);
        record.add(format!("runner {id}: runs {attempt} of {tenant}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut open = stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=events {
            thread::sleep(Duration::from_millis(gap));
            let event = format!("id: {number}\ndata: {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            open = open && stream.write_all(chunk.as_bytes()).is_ok();
            if !open {
                return;
            }
            used.add(&tenant, 0, EVENT_TOKENS);
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
