//! A stand-in for a runner, which responds as a script says.

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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::runner_script::CrashTrigger;
use crate::runner_script::CutHead;
use crate::runner_script::EndlessPart;
use crate::runner_script::HeadFraming;
use crate::runner_script::RunnerScript;
use crate::server::read_body;
use crate::server::read_head;
use crate::server::write_response;

/// Header field of a runner that is leaving.
const LEAVING_FIELD: &str = "Server-Leaving";

/// Header field in which a runner advertises its rate limit, in requests per second.
const RATE_LIMIT_FIELD: &str = "Server-Limit";

/// Pause between two chunks of [`EndlessPart::Refusal`].
const REFUSAL_CHUNK_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two bytes of [`EndlessPart::HalfEvent`].
const HALF_EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of [`EndlessPart::HalfEvent`] that come at once.
const HALF_EVENT_BYTES: usize = 960 * 1024;

/// Pause between two packets of [`RunnerScript::CutHead`].
const PACKET_PAUSE: Duration = Duration::from_millis(2);

/// Number of events in a stream of [`RunnerScript::Echo`].
const ECHO_EVENT_COUNT: u64 = 3;

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The head of the request.
    pub head: RequestHead,
    /// The body; empty if the runner responded before reading it.
    pub body: Vec<u8>,
    /// When the request was recorded.
    pub at: Instant,
    /// Whether the runner executed the request.
    pub executed: bool,
    /// The rate limit that the runner advertised when the request arrived.
    pub advertised_rate: Option<RequestRate>,
}

struct State {
    script: Cell<RunnerScript>,
    advertised_rate: Cell<Option<RequestRate>>,
    requests: RefCell<Vec<RecordedRequest>>,
    aborted_count: Cell<u64>,
    crash_trigger: RefCell<Option<CrashTrigger>>,
    crashes: RefCell<Vec<Instant>>,
    /// How long the runner is down after its last crash.
    downtime: Cell<Duration>,
    /// Notified when the runner crashes.
    crashed: Notify,
}

/// A stand-in for a runner. Clones share one state.
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
    /// Fails if the listener can't be bound.
    pub async fn start(script: RunnerScript) -> io::Result<Self> {
        let state = Rc::new(State {
            script: Cell::new(script),
            advertised_rate: Cell::new(None),
            requests: RefCell::default(),
            aborted_count: Cell::new(0),
            crash_trigger: RefCell::default(),
            crashes: RefCell::default(),
            downtime: Cell::default(),
            crashed: Notify::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        spawn_local(run_and_restart(Rc::clone(&state), listener, address));
        Ok(Self { state, address })
    }

    /// Returns the address that the runner listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the script for all later requests.
    pub fn set_script(&self, script: RunnerScript) {
        self.state.script.set(script);
    }

    /// Sets the rate limit that the runner advertises in its signed responses and its
    /// refusals marked as not run.
    pub fn set_rate(&self, rate: Option<RequestRate>) {
        self.state.advertised_rate.set(rate);
    }

    /// Sets what crashes the runner, if anything: all its connections close, and it accepts
    /// none while it is down.
    pub fn set_crash_trigger(&self, trigger: Option<CrashTrigger>) {
        *self.state.crash_trigger.borrow_mut() = trigger;
    }

    /// Crashes the runner for `downtime`.
    pub fn crash(&self, downtime: Duration) {
        self.state.crash(downtime);
    }

    /// Waits until the runner crashes. Returns how long it is down.
    pub async fn wait_for_crash(&self) -> Duration {
        self.state.crashed.notified().await;
        self.state.downtime.get()
    }

    /// Returns when the runner crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.crashes.borrow().clone()
    }

    /// Returns the requests that reached the runner.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.state.requests.borrow().clone()
    }

    /// Returns how many streams and endless responses the client aborted.
    pub fn aborted_count(&self) -> u64 {
        self.state.aborted_count.get()
    }
}

impl State {
    fn crash(&self, downtime: Duration) {
        self.crashes.borrow_mut().push(Instant::now());
        self.downtime.set(downtime);
        self.crashed.notify_waiters();
    }

    fn record_request(&self, head: &RequestHead, body: Vec<u8>) {
        let head = head.clone();
        let script = self.script.get();
        self.requests.borrow_mut().push(RecordedRequest {
            head,
            body,
            at: Instant::now(),
            advertised_rate: self.advertised_rate.get(),
            executed: !matches!(
                script,
                RunnerScript::Refuse
                    | RunnerScript::RefuseWithRetryAfter(_)
                    | RunnerScript::LeavingRefusal
                    | RunnerScript::InvalidHints
                    | RunnerScript::Misdirected
                    | RunnerScript::LeavingMisdirected
                    | RunnerScript::Endless(EndlessPart::Refusal)
            ),
        });
    }
}

/// Returns a runner's entry in the store.
pub fn runner_entry(address: SocketAddr, state: &str) -> String {
    entry_text(address, state, "")
}

/// Returns the entry of a ready runner in a data centre.
pub fn placed_runner_entry(address: SocketAddr, data_centre: &str) -> String {
    let zone = format!(r#""zone":"{data_centre}""#);
    runner_entry(address, "ready").replace(r#""zone":"z1""#, &zone)
}

/// Returns a runner's entry in the store with its start time, in milliseconds since the
/// Unix epoch.
pub fn started_runner_entry(address: SocketAddr, state: &str, started_ms: u64) -> String {
    entry_text(address, state, &format!(r#","born":{started_ms}"#))
}

/// Returns the entry of a ready runner that is cold for `cold_left_ms` more.
pub fn cold_runner_entry(address: SocketAddr, started_ms: u64, cold_left_ms: u64) -> String {
    started_runner_entry(address, "ready", started_ms).replace(
        r#""coldLeftMs":0"#,
        &format!(r#""coldLeftMs":{cold_left_ms}"#),
    )
}

fn entry_text(address: SocketAddr, state: &str, extra_fields: &str) -> String {
    format!(
        r#"{{"service":"svc","address":"{address}","zone":"z1","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"seq":4{extra_fields}}}"#
    )
}

/// Serves on an address, and again after each crash.
async fn run_and_restart(state: Rc<State>, listener: TcpListener, address: SocketAddr) {
    let mut listener = listener;
    loop {
        accept_until_crash(&state, listener).await;
        sleep(state.downtime.get()).await;
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

async fn accept_until_crash(state: &Rc<State>, listener: TcpListener) {
    let crashed = state.crashed.notified();
    tokio::pin!(crashed);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut crashed => return,
        };
        if let Ok((stream, _)) = accepted {
            spawn_local(serve_until_crash(Rc::clone(state), stream));
        }
    }
}

async fn serve_until_crash(state: Rc<State>, stream: TcpStream) {
    tokio::select! {
        () = state.crashed.notified() => {}
        () = serve(Rc::clone(&state), stream) => {}
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while let Some(head) = read_head(&stream, &mut buffer).await {
        let responds_early = matches!(
            state.script.get(),
            RunnerScript::EarlyResponse | RunnerScript::EarlyReset(_)
        );
        if responds_early {
            state.record_request(&head, Vec::new());
            if !respond(&state, &stream, &head, b"").await {
                return;
            }
        }
        let Some(body) = read_body(&stream, &mut buffer, &head).await else {
            return;
        };
        if !responds_early {
            state.record_request(&head, body.clone());
            if !respond(&state, &stream, &head, &body).await {
                return;
            }
        }
    }
}

/// Responds as scripted. Returns whether the connection stays open.
async fn respond(
    state: &State,
    stream: &TcpStream,
    request: &RequestHead,
    request_body: &[u8],
) -> bool {
    let trigger = state.crash_trigger.borrow().clone();
    if let Some(trigger) = trigger.filter(|trigger| trigger.cause.is_in(request, request_body)) {
        sleep(trigger.delay).await;
        state.crash(trigger.downtime);
        return false;
    }
    let body = b"the answer";
    let head = signed_head(state, request, 200);
    match state.script.get() {
        RunnerScript::Complete | RunnerScript::EarlyResponse => {
            write_response(stream, head, body).await
        }
        RunnerScript::NoLength => {
            let _ = write_raw(stream, &head, body).await;
            false
        }
        RunnerScript::ExtraBytes => {
            let _ = write_response(stream, head, body).await;
            write_all(stream, b"HTTP/1.1 200 OK\r\n").await.is_ok()
        }
        RunnerScript::StrayResponseFirst => {
            let mut stray = ResponseHead::new(200, "OK");
            stray.headers.push("X-Attempt-Id", "another");
            stray.headers.push("X-Server-Seal", "s");
            let _ = write_response(stream, stray, b"not yours").await;
            write_response(stream, head, body).await
        }
        RunnerScript::Truncate => {
            let mut head = head;
            head.headers.push("Content-Length", "100");
            let _ = write_raw(stream, &head, body).await;
            false
        }
        RunnerScript::Fail => {
            write_response(stream, signed_head(state, request, 500), b"failed").await
        }
        RunnerScript::Status(status) => {
            let body: &[u8] = match status {
                204 => b"",
                _ => b"an error",
            };
            write_response(stream, signed_head(state, request, status), body).await
        }
        RunnerScript::StatusText(status) => {
            let head = match is_stream_path(request) {
                true => with_field(head, "Content-Type", "text/event-stream"),
                false => head,
            };
            write_status_text(stream, head, status).await
        }
        RunnerScript::EarlyReset(delay) => {
            let (head, part) = match is_stream_path(request) {
                true => (
                    with_field(head, "Content-Type", "text/event-stream"),
                    encode_event(1),
                ),
                false => (head, "part of the answer".to_owned()),
            };
            let _ = write_raw(stream, &head, part.as_bytes()).await;
            sleep(delay).await;
            let _ = stream.set_zero_linger();
            false
        }
        RunnerScript::EarlierRefusalFirst => {
            let _ = write_response(stream, unnamed_refusal_head(state), b"").await;
            write_response(stream, head, body).await
        }
        RunnerScript::Refuse => write_response(stream, refusal_head(state, request), b"").await,
        RunnerScript::RefuseWithRetryAfter(pause) => {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            let head = with_field(refusal_head(state, request), "Retry-After", &seconds);
            write_response(stream, head, b"").await
        }
        RunnerScript::Leaving => {
            write_response(stream, with_field(head, LEAVING_FIELD, "1"), body).await
        }
        RunnerScript::LeavingRefusal => {
            write_response(
                stream,
                with_field(refusal_head(state, request), LEAVING_FIELD, "1"),
                b"",
            )
            .await
        }
        RunnerScript::LeavingMisdirected => {
            let head = with_field(misdirected_head(request), LEAVING_FIELD, "1");
            write_response(stream, head, b"").await
        }
        RunnerScript::InvalidHints => {
            let head = with_field(
                with_field(refusal_head(state, request), LEAVING_FIELD, "0"),
                "Retry-After",
                "soon",
            );
            write_response(stream, head, b"").await
        }
        RunnerScript::Misdirected => write_response(stream, misdirected_head(request), b"").await,
        RunnerScript::CutHead(cut) => {
            write_cut_head(state, stream, request, cut).await;
            false
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
        RunnerScript::NoLengthStream(events) => {
            let mut head = head;
            head.headers.push("Content-Type", "text/event-stream");
            let body: String = (1..=events).map(encode_event).collect();
            let _ = write_raw(stream, &head, body.as_bytes()).await;
            false
        }
        RunnerScript::Drip(pause) => {
            drip(state, stream, request, pause).await;
            false
        }
        RunnerScript::TruncateStream(events) => {
            stream_events(state, stream, request, events, Duration::ZERO, true).await
        }
        RunnerScript::LargeBody(size) => {
            let head = signed_head(state, request, 200);
            write_response(stream, head, "x".repeat(size).as_bytes()).await
        }
        RunnerScript::Endless(part) => {
            write_endless(state, stream, request, part).await;
            false
        }
    }
}

async fn write_cut_head(state: &State, stream: &TcpStream, request: &RequestHead, cut: CutHead) {
    let head = match request.target.starts_with("/stream/") {
        true => with_field(
            signed_head(state, request, 200),
            "Content-Type",
            "text/event-stream",
        ),
        false => signed_head(state, request, 200),
    };
    let head = match cut.framing {
        HeadFraming::Length => with_field(head, "Content-Length", "10"),
        HeadFraming::Chunks => with_field(head, "Transfer-Encoding", "chunked"),
        HeadFraming::Connection => head,
    };
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    bytes.truncate(cut.length.min(bytes.len() - 1));
    if cut.is_split {
        let first = bytes.split_to(bytes.len() / 2);
        let _ = write_all(stream, &first).await;
        sleep(PACKET_PAUSE).await;
    }
    let _ = write_all(stream, &bytes).await;
    if cut.is_reset {
        let _ = stream.set_zero_linger();
    }
}

fn is_stream_path(request: &RequestHead) -> bool {
    request.target.starts_with("/stream/") || request.target.starts_with("/resume/")
}

/// Writes a complete response with a text in place of the status.
async fn write_status_text(stream: &TcpStream, head: ResponseHead, status: &str) -> bool {
    let body = encode_event(1);
    let head = with_field(head, "Content-Length", &body.len().to_string());
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).replacen(" 200 ", &format!(" {status} "), 1);
    write_all(stream, format!("{text}{body}").as_bytes())
        .await
        .is_ok()
}

async fn echo(state: &State, stream: &TcpStream, request: &RequestHead, pause: Duration) -> bool {
    if is_stream_path(request) {
        return stream_events(state, stream, request, ECHO_EVENT_COUNT, pause, false).await;
    }
    sleep(pause).await;
    let id = request.headers.get("X-Attempt-Id").unwrap_or_default();
    write_response(stream, signed_head(state, request, 200), id.as_bytes()).await
}

/// Sends single bytes of an event until the client closes the connection.
async fn drip(state: &State, stream: &TcpStream, request: &RequestHead, pause: Duration) {
    let mut open = write_raw(stream, &stream_head(state, request), b"").await;
    while open {
        sleep(pause).await;
        open = write_chunk(stream, "x").await;
    }
    state.aborted_count.set(state.aborted_count.get() + 1);
}

/// Sends one part of a response until the client closes the connection.
async fn write_endless(
    state: &State,
    stream: &TcpStream,
    request: &RequestHead,
    part: EndlessPart,
) {
    let chunked = |head| with_field(head, "Transfer-Encoding", "chunked");
    let pause = match part {
        EndlessPart::Refusal => REFUSAL_CHUNK_PAUSE,
        EndlessPart::HalfEvent => HALF_EVENT_PAUSE,
        _ => Duration::ZERO,
    };
    let stray = with_field(ResponseHead::new(200, "OK"), "X-Attempt-Id", "another");
    let (head, repeated) = match part {
        EndlessPart::Head => (None, "X-More: and more\r\n".to_owned()),
        EndlessPart::Interim => (None, "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        EndlessPart::Body => (
            Some(chunked(signed_head(state, request, 200))),
            filler_chunk(),
        ),
        EndlessPart::Refusal => (Some(chunked(unnamed_refusal_head(state))), filler_chunk()),
        EndlessPart::Stray => (Some(chunked(stray)), filler_chunk()),
        EndlessPart::Events => (
            Some(stream_head(state, request)),
            encode_chunk("id: 1\ndata: one more event\n\n"),
        ),
        EndlessPart::Trailer => (
            Some(chunked(signed_head(state, request, 200))),
            "X-More: and more\r\n".to_owned(),
        ),
        EndlessPart::HalfEvent => (Some(stream_head(state, request)), encode_chunk("x")),
    };
    let mut open = match (head, part) {
        (Some(head), EndlessPart::Trailer) => write_raw(stream, &head, b"0\r\n").await,
        (Some(head), EndlessPart::HalfEvent) => {
            let begin = encode_chunk(&format!("data: {}", "x".repeat(HALF_EVENT_BYTES)));
            write_raw(stream, &head, begin.as_bytes()).await
        }
        (Some(head), _) => write_raw(stream, &head, b"").await,
        (None, EndlessPart::Head) => write_all(stream, b"HTTP/1.1 200 OK\r\n").await.is_ok(),
        (None, _) => true,
    };
    while open {
        open = write_all(stream, repeated.as_bytes()).await.is_ok();
        sleep(pause).await;
    }
    state.aborted_count.set(state.aborted_count.get() + 1);
}

/// Returns a chunk of 16 KiB of filler.
fn filler_chunk() -> String {
    encode_chunk(&"x".repeat(16 * 1024))
}

fn encode_event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

fn encode_chunk(text: &str) -> String {
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
    truncates: bool,
) -> bool {
    let head = stream_head(state, request);
    let first_id = request
        .headers
        .get("Last-Event-Id")
        .and_then(|id| id.parse::<u64>().ok())
        .map_or(1, |id| id + 1);
    let mut written = write_raw(stream, &head, b"").await;
    for id in first_id..=events {
        written = written && write_chunk(stream, &encode_event(id)).await;
        sleep(pause).await;
    }
    if truncates {
        let _ = write_chunk(stream, &format!("id: {}\ndata: ha", events + 1)).await;
        return false;
    }
    let is_complete = written && write_all(stream, b"0\r\n\r\n").await.is_ok();
    if !is_complete {
        state.aborted_count.set(state.aborted_count.get() + 1);
    }
    is_complete
}

async fn write_chunk(stream: &TcpStream, text: &str) -> bool {
    write_all(stream, encode_chunk(text).as_bytes())
        .await
        .is_ok()
}

async fn write_raw(stream: &TcpStream, head: &ResponseHead, body: &[u8]) -> bool {
    let mut out = BytesMut::new();
    head.write(&mut out);
    out.extend_from_slice(body);
    write_all(stream, &out).await.is_ok()
}

fn refusal_head(state: &State, request: &RequestHead) -> ResponseHead {
    with_id(unnamed_refusal_head(state), request)
}

/// Returns a refusal that does not tell which request it is for.
fn unnamed_refusal_head(state: &State) -> ResponseHead {
    let head = ResponseHead::new(503, "Service Unavailable");
    with_rate(state, with_field(head, "X-Not-Executed", "1"))
}

fn misdirected_head(request: &RequestHead) -> ResponseHead {
    with_id(ResponseHead::new(421, "Misdirected"), request)
}

fn with_id(head: ResponseHead, request: &RequestHead) -> ResponseHead {
    let id = request.headers.get("X-Attempt-Id").unwrap_or_default();
    with_field(head, "X-Attempt-Id", id)
}

/// Adds the rate limit that the runner advertises, if it has one.
fn with_rate(state: &State, head: ResponseHead) -> ResponseHead {
    match state.advertised_rate.get() {
        Some(rate) => with_field(head, RATE_LIMIT_FIELD, &rate.0.to_string()),
        None => head,
    }
}

fn with_field(mut head: ResponseHead, name: &str, value: &str) -> ResponseHead {
    head.headers.push(name, value);
    head
}

fn signed_head(state: &State, request: &RequestHead, status: u16) -> ResponseHead {
    let mut head = with_id(ResponseHead::new(status, "Answer"), request);
    head.headers.push("X-Server-Seal", "seal");
    with_rate(state, head)
}
