//! Callers that keep their connections and note what they get.

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
use tokio::time::sleep;
use tokio::time::timeout;

/// The key of the workspace that all callers belong to.
pub const KEY: &str = "key-of-acme";

/// Longest pause between two requests of a caller.
const MAX_PAUSE: Duration = Duration::from_millis(60);

/// How long a caller waits, and what it tells the front.
const CALL_WAIT: Duration = Duration::from_millis(2500);

/// How long it waits beyond that for the front's own verdict.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A booking, which may run once.
    Booking,
    /// A read, which may be repeated.
    Read,
    /// A generation, paid from the budget; it may run once.
    Stream,
    /// A read on the route that this version of the configuration brought.
    Probe(u64),
}

impl CallKind {
    /// Returns the path of its requests.
    pub fn path(self) -> String {
        match self {
            Self::Booking => "/book/".to_owned(),
            Self::Read => "/read/".to_owned(),
            Self::Stream => "/stream/".to_owned(),
            Self::Probe(version) => format!("/v{version}/"),
        }
    }

    /// Tells whether it may run once at most.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Booking | Self::Stream)
    }
}

/// How a call ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// Whose attempt it says to answer.
        attempt: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// Nothing came in time.
    Silence,
    /// There was no connection.
    NotSent,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The attempt's id.
    pub id: String,
    /// What was asked for.
    pub kind: CallKind,
    /// The VM that was asked.
    pub vm: usize,
    /// Number of the process there, counted from the first; 0 where it was not noted.
    pub process: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: CallEnd,
}

/// What all callers share.
pub struct CallerPool {
    /// Where each VM takes callers.
    pub fronts: Vec<SocketAddr>,
    /// VMs that the last address answer named.
    pub named: RefCell<Vec<usize>>,
    /// What came of all calls.
    pub records: RefCell<Vec<CallRecord>>,
    /// Whether callers should stop.
    pub is_over: Cell<bool>,
}

/// Whom a call goes to.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget {
    /// The VM.
    pub vm: usize,
    /// Number of the process there; 0 where it does not matter.
    pub process: usize,
    /// Where it takes the call.
    pub front: SocketAddr,
}

impl CallerPool {
    /// Makes a call and notes what came of it; returns how it ended, and the
    /// connection if it can be used again.
    pub async fn call(
        &self,
        target: CallTarget,
        kept: Option<HttpConnection>,
        kind: CallKind,
        id: String,
    ) -> (CallEnd, Option<HttpConnection>) {
        let sent = Instant::now();
        let (end, left) = call(target.front, kept, kind, &id).await;
        self.records.borrow_mut().push(CallRecord {
            id,
            kind,
            vm: target.vm,
            process: target.process,
            sent,
            ended: Instant::now(),
            end: end.clone(),
        });
        (end, left)
    }
}

/// Makes requests until the run is over; keeps a connection while it lasts.
pub async fn run_caller(pool: Rc<CallerPool>, caller: usize) {
    let mut connection: Option<(usize, HttpConnection)> = None;
    let mut number = 0;
    while !pool.is_over.get() {
        sleep(MAX_PAUSE.mul_f64(fastrand::f64())).await;
        number += 1;
        let kind = match fastrand::u32(..4) {
            0 => CallKind::Booking,
            1 => CallKind::Read,
            _ => CallKind::Stream,
        };
        let id = format!("c{caller}-{number}");
        let (vm, kept) = match connection.take() {
            Some((vm, kept)) => (vm, Some(kept)),
            None => match fastrand::choice(pool.named.borrow().iter()) {
                Some(vm) => (*vm, None),
                None => continue,
            },
        };
        let target = CallTarget {
            vm,
            process: 0,
            front: pool.fronts[vm],
        };
        let (_, left) = pool.call(target, kept, kind, id).await;
        connection = left.map(|left| (vm, left));
    }
}

/// Makes one request; returns the connection if it can be used again.
async fn call(
    front: SocketAddr,
    kept: Option<HttpConnection>,
    kind: CallKind,
    id: &str,
) -> (CallEnd, Option<HttpConnection>) {
    let kept = kept.and_then(|mut kept| kept.is_reusable().then_some(kept));
    let connection = match kept {
        Some(kept) => Some(kept),
        None => connect(front).await,
    };
    let Some(mut connection) = connection else {
        return (CallEnd::NotSent, None);
    };
    let exchange = async {
        connection.send_unchecked(&encode(kind, id)).await?;
        connection.read_response("POST", MAX_ANSWER).await
    };
    match timeout(CALL_WAIT + EXTRA_WAIT, exchange).await {
        Ok(Ok(answer)) => {
            let closes = answer.head.will_close();
            (describe(answer), (!closes).then_some(connection))
        }
        Ok(Err(_)) => (CallEnd::Broken, None),
        Err(_) => (CallEnd::Silence, None),
    }
}

async fn connect(front: SocketAddr) -> Option<HttpConnection> {
    let stream = timeout(CALL_WAIT, TcpStream::connect(front)).await.ok()?;
    Some(HttpConnection::new(stream.ok()?, front, Instant::now()))
}

fn encode(kind: CallKind, id: &str) -> BytesMut {
    let mut head = RequestHead::new("POST", &kind.path());
    head.headers.push("Host", "h.example");
    head.headers.push("X-Attempt-Id", id);
    let wait = CALL_WAIT.as_millis().to_string();
    head.headers.push("X-Deadline-Ms", wait);
    head.headers.push("Authorization", format!("Bearer {KEY}"));
    if kind == CallKind::Stream {
        head.headers.push("X-Token-Usage", "1000,9");
    }
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    bytes
}

fn describe(answer: FullResponse) -> CallEnd {
    let attempt = answer.head.headers.get("X-Attempt-Id").unwrap_or_default();
    CallEnd::Answer {
        status: answer.head.status,
        attempt: attempt.to_owned(),
        body: answer.body.to_vec(),
    }
}
