//! A runner that answers as scripted.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_http1::write_all;
use snipegate_types::RequestRate;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::server::listen;
use crate::server::read_body;
use crate::server::read_head;
use crate::server::write_answer;

/// Field of a runner that leaves.
const LEAVING: &str = "Server-Leaving";

/// Field in which a runner names the requests a second that it takes.
const REQUEST_RATE: &str = "Server-Limit";

/// Pause between two parts that come slowly.
const DRIP_PAUSE: Duration = Duration::from_millis(20);

/// Events of a stream of [`RunnerScript::Echo`].
const ECHO_EVENTS: u64 = 3;

/// Where a runner's bytes have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The head of the answer.
    Head,
    /// Interim answers before it.
    Interim,
    /// The body of a success, in chunks.
    Body,
    /// The body of a refusal that says that the request has not run; it comes slowly.
    Refusal,
    /// The body of an answer to another request.
    Stray,
    /// The events of a stream.
    Events,
    /// The fields after the last chunk.
    Trailer,
}

/// What a runner does with each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerScript {
    /// It answers in full, with a length.
    Whole,
    /// It answers in full and the connection ends the answer.
    NoLength,
    /// It answers in full and sends bytes after it.
    ExtraBytes,
    /// It answers another request first.
    StrayAnswerFirst,
    /// It sends half of an answer and closes.
    BreakOff,
    /// It fails with 500.
    Fail,
    /// It refuses and says that the request has not run.
    Refuse,
    /// It refuses, says that the request has not run, and wants no more for this long.
    Shed(Duration),
    /// It answers in full and says that it leaves.
    Leaving,
    /// It refuses and says that it leaves.
    LeavingRefusal,
    /// It is not the runner that was meant, and leaves itself.
    LeavingMisdirected,
    /// It refuses with a pause and a mark of leaving that can't be read.
    UnreadableWishes,
    /// It is not the runner that was meant, and says so with 421.
    Misdirected,
    /// It reads the request and closes.
    Close,
    /// It reads the request and resets the connection.
    Reset,
    /// It answers in full before it reads the body, and reads on later.
    EarlyAnswer,
    /// It answers with the attempt's id after this pause; streams three such events
    /// where the path says so.
    Echo(Duration),
    /// It reads the request and says nothing.
    Silent,
    /// It streams this many events with a pause between them.
    Stream(u64, Duration),
    /// It begins a stream and sends single bytes with this pause, which never make an
    /// event.
    Drip(Duration),
    /// It streams events and breaks off within the one after this many.
    StreamBreak(u64),
    /// It writes until the reader leaves.
    Endless(EndlessPart),
}

/// A request as a runner saw it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The head.
    pub head: RequestHead,
    /// The body; empty where it was not read before the answer.
    pub body: Vec<u8>,
    /// When it came.
    pub at: Instant,
    /// Whether the runner began to work on it.
    pub ran: bool,
    /// The rate limit that its answer advertises.
    pub advertised_rate: Option<RequestRate>,
}

struct State {
    script: Cell<RunnerScript>,
    rate: Cell<Option<RequestRate>>,
    seen: RefCell<Vec<SeenRequest>>,
    left: Cell<u64>,
}

/// A runner; clones share one state.
#[derive(Clone)]
pub struct StandinRunner {
    state: Rc<State>,
    address: SocketAddr,
}

impl StandinRunner {
    /// Starts a runner on loopback, on the current local task set.
    ///
    /// # Errors
    ///
    /// Fails if no port is to be had.
    pub async fn start(script: RunnerScript) -> io::Result<Self> {
        let state = Rc::new(State {
            script: Cell::new(script),
            rate: Cell::new(None),
            seen: RefCell::default(),
            left: Cell::new(0),
        });
        let address = listen(Rc::clone(&state), serve).await?;
        Ok(Self { state, address })
    }

    /// Returns the runner's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the runner does from now on.
    pub fn set_script(&self, script: RunnerScript) {
        self.state.script.set(script);
    }

    /// Sets the rate limit that the runner advertises in its signed answers and refusals.
    pub fn set_rate(&self, rate: Option<RequestRate>) {
        self.state.rate.set(rate);
    }

    /// Returns the requests that reached the runner.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state.seen.borrow().clone()
    }

    /// Returns how many streams broke because their reader left.
    pub fn left(&self) -> u64 {
        self.state.left.get()
    }
}

impl State {
    fn note(&self, head: &RequestHead, body: Vec<u8>) {
        let head = head.clone();
        let script = self.script.get();
        self.seen.borrow_mut().push(SeenRequest {
            head,
            body,
            at: Instant::now(),
            advertised_rate: self.rate.get(),
            ran: !matches!(
                script,
                RunnerScript::Refuse
                    | RunnerScript::Shed(_)
                    | RunnerScript::LeavingRefusal
                    | RunnerScript::UnreadableWishes
                    | RunnerScript::Misdirected
                    | RunnerScript::LeavingMisdirected
                    | RunnerScript::Endless(EndlessPart::Refusal)
            ),
        });
    }
}

/// Returns the text of a runner's entry in the store.
pub fn runner_entry(address: SocketAddr, state: &str) -> String {
    entry_text(address, state, "")
}

/// Returns the text of the entry of a runner that tells when it started, in
/// milliseconds since the Unix epoch.
pub fn started_runner_entry(address: SocketAddr, state: &str, started_ms: u64) -> String {
    entry_text(address, state, &format!(r#","born":{started_ms}"#))
}

fn entry_text(address: SocketAddr, state: &str, more: &str) -> String {
    format!(
        r#"{{"service":"svc","address":"{address}","zone":"z1","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"seq":4{more}}}"#
    )
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while let Some(head) = read_head(&stream, &mut buffer).await {
        let early = state.script.get() == RunnerScript::EarlyAnswer;
        if early {
            state.note(&head, Vec::new());
            if !answer(&state, &stream, &head).await {
                return;
            }
        }
        let Some(body) = read_body(&stream, &mut buffer, &head).await else {
            return;
        };
        if !early {
            state.note(&head, body);
            if !answer(&state, &stream, &head).await {
                return;
            }
        }
    }
}

/// Answers as scripted; tells whether the connection stays open.
async fn answer(state: &State, stream: &TcpStream, request: &RequestHead) -> bool {
    let body = b"the answer";
    let head = signed_head(state, request, 200);
    match state.script.get() {
        RunnerScript::Whole | RunnerScript::EarlyAnswer => write_answer(stream, head, body).await,
        RunnerScript::NoLength => {
            let _ = write_raw(stream, &head, body).await;
            false
        }
        RunnerScript::ExtraBytes => {
            let _ = write_answer(stream, head, body).await;
            write_all(stream, b"HTTP/1.1 200 OK\r\n").await.is_ok()
        }
        RunnerScript::StrayAnswerFirst => {
            let mut stray = ResponseHead::new(200, "OK");
            stray.headers.push("X-Attempt-Id", "another");
            stray.headers.push("X-Server-Seal", "s");
            let _ = write_answer(stream, stray, b"not yours").await;
            write_answer(stream, head, body).await
        }
        RunnerScript::BreakOff => {
            let mut head = head;
            head.headers.push("Content-Length", "100");
            let _ = write_raw(stream, &head, body).await;
            false
        }
        RunnerScript::Fail => {
            write_answer(stream, signed_head(state, request, 500), b"failed").await
        }
        RunnerScript::Refuse => write_answer(stream, refusal_head(state), b"").await,
        RunnerScript::Shed(pause) => {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            let head = with_field(refusal_head(state), "Retry-After", &seconds);
            write_answer(stream, head, b"").await
        }
        RunnerScript::Leaving => write_answer(stream, with_field(head, LEAVING, "1"), body).await,
        RunnerScript::LeavingRefusal => {
            write_answer(stream, with_field(refusal_head(state), LEAVING, "1"), b"").await
        }
        RunnerScript::LeavingMisdirected => {
            let head = with_field(ResponseHead::new(421, "Misdirected"), LEAVING, "1");
            write_answer(stream, head, b"").await
        }
        RunnerScript::UnreadableWishes => {
            let head = with_field(
                with_field(refusal_head(state), LEAVING, "0"),
                "Retry-After",
                "soon",
            );
            write_answer(stream, head, b"").await
        }
        RunnerScript::Misdirected => {
            write_answer(stream, ResponseHead::new(421, "Misdirected"), b"").await
        }
        RunnerScript::Close => false,
        RunnerScript::Reset => {
            let _ = stream.set_zero_linger();
            false
        }
        RunnerScript::Echo(pause) => echo(state, stream, request, pause).await,
        RunnerScript::Silent => {
            std::future::pending::<()>().await;
            false
        }
        RunnerScript::Stream(events, pause) => {
            stream_events(state, stream, request, events, pause, false).await
        }
        RunnerScript::Drip(pause) => {
            drip(state, stream, request, pause).await;
            false
        }
        RunnerScript::StreamBreak(events) => {
            stream_events(state, stream, request, events, Duration::ZERO, true).await
        }
        RunnerScript::Endless(part) => {
            write_endless(state, stream, request, part).await;
            false
        }
    }
}

async fn echo(state: &State, stream: &TcpStream, request: &RequestHead, pause: Duration) -> bool {
    if request.target.starts_with("/stream/") || request.target.starts_with("/resume/") {
        return stream_events(state, stream, request, ECHO_EVENTS, pause, false).await;
    }
    sleep(pause).await;
    let id = request.headers.get("X-Attempt-Id").unwrap_or_default();
    write_answer(stream, signed_head(state, request, 200), id.as_bytes()).await
}

/// Sends single bytes of an event until the reader leaves.
async fn drip(state: &State, stream: &TcpStream, request: &RequestHead, pause: Duration) {
    let mut open = write_raw(stream, &stream_head(state, request), b"").await;
    while open {
        sleep(pause).await;
        open = write_chunk(stream, "x").await;
    }
    state.left.set(state.left.get() + 1);
}

/// Writes one part of an answer until the reader leaves.
async fn write_endless(
    state: &State,
    stream: &TcpStream,
    request: &RequestHead,
    part: EndlessPart,
) {
    let chunked = |head| with_field(head, "Transfer-Encoding", "chunked");
    let pause = match part {
        EndlessPart::Refusal => DRIP_PAUSE,
        _ => Duration::ZERO,
    };
    let stray = with_field(ResponseHead::new(200, "OK"), "X-Attempt-Id", "another");
    let (head, repeated) = match part {
        EndlessPart::Head => (None, "X-More: and more\r\n".to_owned()),
        EndlessPart::Interim => (None, "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        EndlessPart::Body => (
            Some(chunked(signed_head(state, request, 200))),
            endless_chunk(),
        ),
        EndlessPart::Refusal => (Some(chunked(refusal_head(state))), endless_chunk()),
        EndlessPart::Stray => (Some(chunked(stray)), endless_chunk()),
        EndlessPart::Events => (
            Some(stream_head(state, request)),
            chunk("id: 1\ndata: one more event\n\n"),
        ),
        EndlessPart::Trailer => (
            Some(chunked(signed_head(state, request, 200))),
            "X-More: and more\r\n".to_owned(),
        ),
    };
    let begun = match (head, part) {
        (Some(head), EndlessPart::Trailer) => write_raw(stream, &head, b"0\r\n").await,
        (Some(head), _) => write_raw(stream, &head, b"").await,
        (None, EndlessPart::Head) => write_all(stream, b"HTTP/1.1 200 OK\r\n").await.is_ok(),
        (None, _) => true,
    };
    let mut open = begun;
    while open {
        open = write_all(stream, repeated.as_bytes()).await.is_ok();
        sleep(pause).await;
    }
    state.left.set(state.left.get() + 1);
}

/// A chunk of a body that says nothing.
fn endless_chunk() -> String {
    chunk(&"x".repeat(16 * 1024))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn stream_head(state: &State, request: &RequestHead) -> ResponseHead {
    let mut head = signed_head(state, request, 200);
    head.headers.push("Content-Type", "text/event-stream");
    head.headers.push("Transfer-Encoding", "chunked");
    head
}

async fn stream_events(
    state: &State,
    stream: &TcpStream,
    request: &RequestHead,
    events: u64,
    pause: Duration,
    breaks: bool,
) -> bool {
    let head = stream_head(state, request);
    let first = request
        .headers
        .get("Last-Event-Id")
        .and_then(|id| id.parse::<u64>().ok())
        .map_or(1, |id| id + 1);
    let mut written = write_raw(stream, &head, b"").await;
    for id in first..=events {
        written = written && write_chunk(stream, &format!("id: {id}\ndata: event {id}\n\n")).await;
        sleep(pause).await;
    }
    if breaks {
        let _ = write_chunk(stream, &format!("id: {}\ndata: ha", events + 1)).await;
        return false;
    }
    let whole = written && write_all(stream, b"0\r\n\r\n").await.is_ok();
    if !whole {
        state.left.set(state.left.get() + 1);
    }
    whole
}

async fn write_chunk(stream: &TcpStream, text: &str) -> bool {
    write_all(stream, chunk(text).as_bytes()).await.is_ok()
}

async fn write_raw(stream: &TcpStream, head: &ResponseHead, body: &[u8]) -> bool {
    let mut out = BytesMut::new();
    head.write(&mut out);
    out.extend_from_slice(body);
    write_all(stream, &out).await.is_ok()
}

fn refusal_head(state: &State) -> ResponseHead {
    let head = ResponseHead::new(503, "Service Unavailable");
    with_rate(state, with_field(head, "X-Not-Executed", "1"))
}

/// Adds the rate limit that the runner advertises, if it has one.
fn with_rate(state: &State, head: ResponseHead) -> ResponseHead {
    match state.rate.get() {
        Some(rate) => with_field(head, REQUEST_RATE, &rate.0.to_string()),
        None => head,
    }
}

fn with_field(mut head: ResponseHead, name: &str, value: &str) -> ResponseHead {
    head.headers.push(name, value);
    head
}

fn signed_head(state: &State, request: &RequestHead, status: u16) -> ResponseHead {
    let mut head = ResponseHead::new(status, "Answer");
    let id = request.headers.get("X-Attempt-Id").unwrap_or_default();
    head.headers.push("X-Attempt-Id", id);
    head.headers.push("X-Server-Seal", "seal");
    with_rate(state, head)
}
