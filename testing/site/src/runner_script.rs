//! How a stand-in runner handles requests.

use std::time::Duration;

use snipegate_http1::RequestHead;

/// Header field with the parts of a request's prompt, as `ID:TOKENS` entries.
const PROMPT_PARTS_FIELD: &str = "X-Prefix-Hash";

/// The part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The head of the response.
    Head,
    /// Interim responses, which are never followed by a final one.
    Interim,
    /// The chunked body of a successful response.
    Body,
    /// The body of a refusal marked as not run, which is sent slowly.
    Refusal,
    /// The body of a response to another request.
    Stray,
    /// The events of a stream.
    Events,
    /// The trailer fields after the last chunk.
    Trailer,
    /// An event of which a large part comes at once and the rest slowly.
    HalfEvent,
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFraming {
    /// With a `Content-Length`.
    Length,
    /// In chunks.
    Chunks,
    /// By the end of the connection.
    Connection,
}

/// A response of which only the begin of the head is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutHead {
    /// How its body would be framed.
    pub framing: HeadFraming,
    /// Number of bytes that are sent; all but the last one of the head at most.
    pub length: usize,
    /// Whether the connection is reset and not closed.
    pub is_reset: bool,
    /// Whether the bytes are sent in two packets.
    pub is_split: bool,
}

/// How a runner handles each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerScript {
    /// It sends a complete response with a `Content-Length`.
    Complete,
    /// It sends a complete response that ends when the connection closes.
    NoLength,
    /// It sends a complete response followed by the start of another one.
    ExtraBytes,
    /// It sends a response to another request before its own.
    StrayResponseFirst,
    /// It closes the connection in the middle of the response.
    Truncate,
    /// It responds with 500.
    Fail,
    /// It sends a signed response with this status.
    Status(u16),
    /// It sends a complete, signed response with this text in place of a status.
    StatusText(&'static str),
    /// It responds with 200 and no length before it has read the body, sends part of the
    /// response, and resets the connection after this time.
    EarlyReset(Duration),
    /// It sends a refusal without an id, as it did for an earlier request, and then runs the
    /// request and responds.
    EarlierRefusalFirst,
    /// It responds with 503 and marks the request as not run.
    Refuse,
    /// Like `Refuse`, with this duration in `Retry-After`.
    RefuseWithRetryAfter(Duration),
    /// It sends a complete response that says that it is leaving.
    Leaving,
    /// Like `Refuse`, and says that it is leaving.
    LeavingRefusal,
    /// Like `Misdirected`, and says that it is leaving.
    LeavingMisdirected,
    /// Like `Refuse`, with invalid values in `Retry-After` and `Server-Leaving`.
    InvalidHints,
    /// It responds with 421, since the request was meant for another runner.
    Misdirected,
    /// It sends the begin of a response's head, and ends the connection.
    CutHead(CutHead),
    /// It reads the request and closes the connection.
    Close,
    /// It reads the request and resets the connection.
    Reset,
    /// It sends a complete response before it reads the request body, then reads the body.
    EarlyResponse,
    /// It responds with the attempt's id after this pause. On the paths of streams it
    /// sends three events instead, with this pause after each.
    Echo(Duration),
    /// It reads the request and never responds.
    Silent,
    /// It streams this many events, with this pause after each.
    Stream(u64, Duration),
    /// It streams this many events in a response that ends when the connection closes.
    NoLengthStream(u64),
    /// It starts a stream and sends single bytes with this pause before each, which never
    /// complete an event.
    Drip(Duration),
    /// It streams this many events and closes the connection in the middle of the next.
    TruncateStream(u64),
    /// It sends this part of a response until the client closes the connection.
    Endless(EndlessPart),
    /// Respond with a sound body of this many bytes.
    LargeBody(usize),
}

/// What in a request crashes a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashCause {
    /// A prompt part with this id, as it is sent. It has no effect as the last part of a prompt.
    Part(String),
    /// A prompt with this id as its last part, as it is sent.
    LastPart(String),
    /// A request with this target and body.
    Request(String, Vec<u8>),
}

impl CrashCause {
    /// Returns whether a request with this head and body crashes a runner.
    pub fn is_in(&self, head: &RequestHead, body: &[u8]) -> bool {
        match self {
            CrashCause::Part(id) => shared_parts(head).any(|part| part == id),
            CrashCause::LastPart(id) => prompt_parts(head).last() == Some(id),
            CrashCause::Request(target, crashing) => *head.target == **target && body == crashing,
        }
    }
}

/// Returns the ids of all parts of a prompt but the last.
fn shared_parts(head: &RequestHead) -> impl Iterator<Item = &str> {
    let count = prompt_parts(head).count();
    prompt_parts(head).take(count.saturating_sub(1))
}

fn prompt_parts(head: &RequestHead) -> impl Iterator<Item = &str> {
    let parts = head.headers.get(PROMPT_PARTS_FIELD).unwrap_or_default();
    parts.split(',').filter_map(|part| part.split(':').next())
}

/// How a runner crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashTrigger {
    /// What makes it crash.
    pub cause: CrashCause,
    /// Time until a runner begins to answer such a request, and crashes.
    pub delay: Duration,
    /// How long a runner is down after a crash.
    pub downtime: Duration,
}
