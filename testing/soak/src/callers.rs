//! Callers that reuse their connections and record the outcome of each call.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use snipegate_http1::FullResponse;
use snipegate_http1::HttpConnection;
use snipegate_http1::RequestHead;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

/// The API key of the workspace that all callers belong to.
pub const API_KEY: &str = "key-of-acme";

/// Id of the part that crashes upstreams.
pub const CRASHING_PART: &str = "dead";

/// Path of the booking that crashes upstreams.
pub const CRASHING_PATH: &str = "/book/crash";

/// Pause between two calls that crash upstreams.
const CRASHING_INTERVAL: Duration = Duration::from_millis(300);

/// Longest pause between two calls of a caller.
const MAX_PAUSE: Duration = Duration::from_millis(60);

/// The deadline that a caller sends with each call, also its connect timeout.
const CALL_DEADLINE: Duration = Duration::from_millis(2500);

/// How long a caller waits past the deadline for the VM to report the outcome itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1500);

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The kind of a call, which selects its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A booking, which may run at most once.
    Booking,
    /// A read, which may be repeated.
    Read,
    /// A streamed generation, paid from the budget, which may run at most once.
    Stream,
    /// A generation whose prompt has a part that crashes upstreams; no two are alike.
    CrashingPrompt,
    /// A booking that crashes upstreams, the same each time.
    CrashingBooking,
    /// A read on the route that this version of the configuration added.
    Probe(u64),
}

impl CallKind {
    /// Returns the path of the route.
    pub fn path(self) -> String {
        match self {
            Self::Booking => "/book/".to_owned(),
            Self::Read => "/read/".to_owned(),
            Self::Stream | Self::CrashingPrompt => "/stream/".to_owned(),
            Self::CrashingBooking => CRASHING_PATH.to_owned(),
            Self::Probe(version) => format!("/v{version}/"),
        }
    }

    /// Returns whether the call may run at most once.
    pub fn runs_once(self) -> bool {
        !matches!(self, Self::Read | Self::Probe(_))
    }

    /// Returns whether the call crashes the upstream that runs it.
    pub fn is_crashing(self) -> bool {
        matches!(self, Self::CrashingPrompt | Self::CrashingBooking)
    }
}

/// The outcome of a call for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received a complete response.
    Response {
        /// The status.
        status: u16,
        /// The attempt id in the response; empty if there is none.
        attempt_id: String,
        /// The body.
        body: Vec<u8>,
    },
    /// The exchange failed before a complete response was received.
    ConnectionLost,
    /// There was no complete response in time.
    TimedOut,
    /// The caller could not connect.
    ConnectFailed,
}

/// One call and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The attempt's id.
    pub id: String,
    /// The kind of the call.
    pub kind: CallKind,
    /// Index of the VM that received it.
    pub vm: usize,
    /// Number of the process on the VM, counted from 1; 0 if it was not recorded.
    pub process: usize,
    /// When the call began.
    pub sent: Instant,
    /// When the outcome was known.
    pub ended: Instant,
    /// The outcome.
    pub outcome: CallOutcome,
}

/// State shared by all callers.
pub struct CallerState {
    /// The address of each VM's caller link.
    pub addresses: Vec<SocketAddr>,
    /// Indices of the VMs in the last response of an address directory.
    pub listed_vms: RefCell<Vec<usize>>,
    /// All calls that have ended.
    pub records: RefCell<Vec<CallRecord>>,
    /// Whether callers and probes should stop.
    pub is_stopped: Cell<bool>,
}

/// The destination of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget {
    /// Index of the VM.
    pub vm: usize,
    /// Number of the process on the VM; 0 if it does not matter.
    pub process: usize,
    /// The address to connect to.
    pub address: SocketAddr,
}

impl CallerState {
    /// Makes a call and records it. Returns the outcome, and the connection if it can be
    /// reused.
    pub async fn call(
        &self,
        target: CallTarget,
        idle: Option<HttpConnection>,
        kind: CallKind,
        id: String,
    ) -> (CallOutcome, Option<HttpConnection>) {
        let sent = Instant::now();
        let (outcome, reusable) = call(target.address, idle, kind, &id).await;
        self.records.borrow_mut().push(CallRecord {
            id,
            kind,
            vm: target.vm,
            process: target.process,
            sent,
            ended: Instant::now(),
            outcome: outcome.clone(),
        });
        (outcome, reusable)
    }
}

/// Makes calls until the run ends, and reuses a connection while it stays open.
pub async fn run_caller(callers: Rc<CallerState>, caller: usize) {
    let mut connection: Option<(usize, HttpConnection)> = None;
    let mut number = 0;
    while !callers.is_stopped.get() {
        sleep(MAX_PAUSE.mul_f64(fastrand::f64())).await;
        number += 1;
        let kind = match fastrand::u32(..4) {
            0 => CallKind::Booking,
            1 => CallKind::Read,
            _ => CallKind::Stream,
        };
        let id = format!("c{caller}-{number}");
        let (vm, idle) = match connection.take() {
            Some((vm, idle)) => (vm, Some(idle)),
            None => match fastrand::choice(callers.listed_vms.borrow().iter()) {
                Some(vm) => (*vm, None),
                None => continue,
            },
        };
        let target = CallTarget {
            vm,
            process: 0,
            address: callers.addresses[vm],
        };
        let (_, reusable) = callers.call(target, idle, kind, id).await;
        connection = reusable.map(|reusable| (vm, reusable));
    }
}

/// Makes calls that crash upstreams, each at another VM, until `until`.
pub async fn send_crashing_calls(callers: Rc<CallerState>, kind: CallKind, until: Instant) {
    let mut calls = Vec::new();
    while Instant::now() < until {
        let vm = fastrand::usize(..callers.addresses.len());
        let target = CallTarget {
            vm,
            process: 0,
            address: callers.addresses[vm],
        };
        let id = format!("x-{}", calls.len());
        let callers = Rc::clone(&callers);
        calls.push(spawn_local(async move {
            callers.call(target, None, kind, id).await;
        }));
        sleep(CRASHING_INTERVAL).await;
    }
    for call in calls {
        call.await.expect("call should not panic");
    }
}

/// Makes one call. Returns the outcome, and the connection if it can be reused.
async fn call(
    address: SocketAddr,
    idle: Option<HttpConnection>,
    kind: CallKind,
    id: &str,
) -> (CallOutcome, Option<HttpConnection>) {
    let idle = idle.and_then(|mut idle| idle.is_reusable().then_some(idle));
    let connection = match idle {
        Some(idle) => Some(idle),
        None => connect(address).await,
    };
    let Some(mut connection) = connection else {
        return (CallOutcome::ConnectFailed, None);
    };
    let exchange = async {
        connection.send_unchecked(&encode_request(kind, id)).await?;
        connection.read_response("POST", MAX_RESPONSE_BYTES).await
    };
    match timeout(CALL_DEADLINE + DEADLINE_MARGIN, exchange).await {
        Ok(Ok(response)) => {
            let closes = response.head.will_close();
            (to_outcome(response), (!closes).then_some(connection))
        }
        Ok(Err(_)) => (CallOutcome::ConnectionLost, None),
        Err(_) => (CallOutcome::TimedOut, None),
    }
}

async fn connect(address: SocketAddr) -> Option<HttpConnection> {
    let stream = timeout(CALL_DEADLINE, TcpStream::connect(address))
        .await
        .ok()?;
    Some(HttpConnection::new(stream.ok()?, address, Instant::now()))
}

fn encode_request(kind: CallKind, id: &str) -> BytesMut {
    let mut head = RequestHead::new("POST", &kind.path());
    head.headers.push("Host", "h.example");
    head.headers.push("X-Attempt-Id", id);
    let deadline_ms = CALL_DEADLINE.as_millis().to_string();
    head.headers.push("X-Deadline-Ms", deadline_ms);
    head.headers
        .push("Authorization", format!("Bearer {API_KEY}"));
    if let Some(parts) = prompt_parts(kind, id) {
        head.headers.push("X-Token-Usage", "1000,9");
        head.headers.push("X-Prefix-Hash", parts);
    }
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    bytes
}

/// Returns the parts of a generation's prompt. The sound ones share all parts of the crashing
/// ones but one.
fn prompt_parts(kind: CallKind, id: &str) -> Option<String> {
    let hash = id.bytes().fold(0_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    match kind {
        CallKind::Stream => Some(format!("f1:600,a{}:300,{hash:x}:100", hash % 12)),
        CallKind::CrashingPrompt => Some(format!("f1:600,a1:290,{CRASHING_PART}:10,{hash:x}:100")),
        CallKind::Booking | CallKind::Read | CallKind::CrashingBooking | CallKind::Probe(_) => None,
    }
}

fn to_outcome(response: FullResponse) -> CallOutcome {
    let attempt_id = response
        .head
        .headers
        .get("X-Attempt-Id")
        .unwrap_or_default();
    CallOutcome::Response {
        status: response.head.status,
        attempt_id: attempt_id.to_owned(),
        body: response.body.to_vec(),
    }
}
