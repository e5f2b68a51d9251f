//! Starts the project's edge processes, as the deploy file says, on loopback addresses.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::store::Store;

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("record should be writable");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn say(&self, text: &str) {
        self.say_at(Instant::now(), text);
    }

    pub fn say_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.began).as_millis();
        let line = format!("{:>7}.{:03} s  {text}\n", ms / 1000, ms % 1000);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A temporary folder for settings and logs, removed at the end unless `KEEP_LOGS` is set.
pub struct WorkFolder {
    pub path: PathBuf,
}

impl WorkFolder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder should be writable");
        Self { path }
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns the loopback address of a machine, on which no other program takes ports.
pub fn machine_ip(number: usize) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 1 + id % 250, 1 + id / 250 % 250)
}

/// One edge machine.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub front: u16,
    pub readiness: u16,
    settings: PathBuf,
    folder: PathBuf,
    pub child: Option<Child>,
    starts: u32,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Machine {
    /// Chooses free ports and writes the settings file. The bounds are those of the site
    /// tallas-bog.
    pub fn prepare(
        folder: &std::path::Path,
        name: &str,
        zone: &str,
        ip: &str,
        memory_mb: u64,
        store: &Store,
    ) -> Self {
        let (front, readiness, directory) = (free_port(ip), free_port(ip), free_port(ip));
        let gossip = UdpSocket::bind((ip, 0))
            .and_then(|socket| socket.local_addr())
            .expect("a port should be free")
            .port();
        let text = format!(
            r#"nodeName = "{name}"
role = "edge"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "{zone}"
region = "co-centro"
internalPorts = [{gossip},{gossip}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
bog-a = "co-centro"
bog-b = "co-centro"
bog-c = "co-centro"
bog-d = "co-centro"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
passMs = 120
reuseWindowS = 6.6
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            store.address
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings should be writable");
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            front,
            readiness,
            settings,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        self.starts += 1;
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("log should be writable");
        let child = Command::new("target/release/snipegate-edge")
            .args(["--metrics", &format!("{}:{}", self.ip, free_port(&self.ip))])
            .env_clear()
            .env("SNIPEGATE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log should be usable twice"))
            .stderr(log)
            .spawn()
            .expect("the program should be built");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the readiness check answers with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect((self.ip.as_str(), self.readiness)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = Connection::new(stream);
        let call = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        connection.write(call).is_ok()
            && connection.read().is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        memory_of(self.pid())
    }
}

/// Returns the resident memory of a process in bytes; 0 if it has ended.
pub fn memory_of(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok())
        .map_or(0, |kib: u64| kib * 1024)
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a port should be free")
        .port()
}

/// The result of a request, as its client sees it.
#[derive(Debug)]
pub enum Outcome {
    Answer(Message),
    /// The connection ended, or no answer came in time.
    Ended(String),
}

/// A client's connection.
pub struct Client {
    pub connection: Connection,
}

impl Client {
    pub fn connect(ip: &str, port: u16, timeout: Duration) -> std::io::Result<Self> {
        let address = format!("{ip}:{port}")
            .parse()
            .expect("address should be valid");
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            connection: Connection::new(stream),
        })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, head: &str, body: &[u8]) -> Outcome {
        let sent = self
            .connection
            .write(head.as_bytes())
            .and_then(|()| self.connection.write(body));
        if let Err(error) = sent {
            return Outcome::Ended(format!("while sending: {error}"));
        }
        match self.connection.read() {
            Ok(answer) => Outcome::Answer(answer),
            Err(error) => Outcome::Ended(format!("without a complete answer: {error}")),
        }
    }
}

/// Returns the head of a request.
pub fn request_head(
    method: &str,
    target: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    extra: &str,
    length: usize,
) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra}{length}\r\n"
    )
}
