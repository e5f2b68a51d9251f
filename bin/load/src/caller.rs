//! Sends one request and watches its answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientBuilder;
use ntex::client::Connector;
use ntex::http::Payload;
use ntex::time::Millis;
use ntex::time::timeout;
use ntex::util::stream_recv;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipegate_platform::was_never_sent;
use snipegate_service::MAX_CONNECTIONS;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;

use crate::event_parser::ErrorBody;
use crate::event_parser::EventParser;
use crate::event_parser::StreamEvent;
use crate::event_parser::UsageBody;
use crate::outcome::RequestEnd;
use crate::outcome::RequestOutcome;
use crate::trace::TraceRecord;
use crate::trace::TraceWork;

/// How long a caller without a deadline waits.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// Most bytes of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Word of a prompt that every word of its answer begins with.
const MARKER_PREFIX: &str = "marker:";

/// What the requests are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Routers.
    Router,
    /// A model engine or plain service itself, for comparison.
    Direct,
}

/// One request that is ready to be sent.
#[derive(Clone, Debug)]
pub struct PreparedRequest {
    /// Position in the trace.
    pub record: usize,
    /// When the caller means to send it.
    pub intended: Instant,
    /// The workspace's key; a direct target needs none.
    pub key: Option<String>,
    /// What is asked.
    pub trace: TraceRecord,
}

/// Sends requests over kept connections.
#[derive(Clone)]
pub struct RequestCaller {
    client: Client,
    kind: TargetKind,
}

/// What is gathered while an answer comes.
struct AnswerWatch {
    intended: Instant,
    deadline: Instant,
    marker: Option<String>,
    last: Option<Instant>,
    outcome: RequestOutcome,
}

impl RequestCaller {
    /// Makes a caller.
    ///
    /// # Panics
    ///
    /// Panics where the client library cannot start.
    pub async fn new(kind: TargetKind) -> Self {
        let connector = Connector::new().limit(MAX_CONNECTIONS);
        let client = ClientBuilder::new()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("load"))
            .await
            .expect("a client without certificates can be built");
        Self { client, kind }
    }

    /// Sends a request and waits for its end.
    pub async fn call(&self, address: SocketAddr, request: PreparedRequest) -> RequestOutcome {
        let mut watch = AnswerWatch::new(&request);
        let left = watch.deadline.saturating_duration_since(SystemClock.now());
        let limit = Millis(left.as_millis().clamp(1, u128::from(u32::MAX)) as u32);
        let exchange = self.exchange(address, &request, &mut watch);
        let end = timeout(limit, exchange)
            .await
            .unwrap_or(RequestEnd::GivenUp);
        watch.finish(end)
    }

    fn path(&self, work: &TraceWork) -> String {
        match (work, self.kind) {
            (TraceWork::Model(_), _) => "/v1/chat/completions".to_owned(),
            (TraceWork::Service(name), TargetKind::Router) => format!("/v1/services/{name}"),
            (TraceWork::Service(name), TargetKind::Direct) => format!("/services/{name}"),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &PreparedRequest,
        watch: &mut AnswerWatch,
    ) -> RequestEnd {
        let trace = &request.trace;
        let url = format!("http://{address}{}", self.path(&trace.work));
        let mut call = self
            .client
            .post(url)
            .header("x-snipegate-profile", trace.profile.as_str())
            .header("x-snipegate-priority", trace.priority.to_string())
            .header("x-snipegate-repeatable", trace.repeatable.to_string());
        if let Some(key) = &request.key {
            call = call.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = &trace.idempotency_key {
            call = call.header("idempotency-key", key.as_str());
        }
        if let Some(deadline) = trace.deadline_ms {
            call = call.header("x-snipegate-deadline-ms", deadline.to_string());
        }
        let body = body_of(trace, request.record);
        let response = match call.send_json(&body).await {
            Ok(response) => response,
            Err(error) if was_never_sent(&error) => return RequestEnd::NotConnected,
            Err(_) => return RequestEnd::Broken,
        };
        let status = response.status().as_u16();
        let streamed = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        if status == 200 && streamed {
            return read_stream(response.take_payload(), watch).await;
        }
        let Ok(bytes) = response.body().await else {
            return RequestEnd::Broken;
        };
        watch.part("");
        read_body(status, &bytes, watch)
    }
}

fn body_of(trace: &TraceRecord, number: usize) -> Value {
    let text = trace.prompt_text(number);
    match &trace.work {
        TraceWork::Model(model) => json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": trace.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
        }),
        TraceWork::Service(_) => json!({ "text": text }),
    }
}

async fn read_stream(mut payload: Payload, watch: &mut AnswerWatch) -> RequestEnd {
    let mut parser = EventParser::default();
    let mut end = RequestEnd::Broken;
    // Read to the end also after the last event: a connection that is left
    // before its end can't be used again.
    loop {
        let bytes = match stream_recv(&mut payload).await {
            Some(Ok(bytes)) => bytes,
            Some(Err(_)) | None => return end,
        };
        for event in parser.push(&bytes) {
            match event {
                StreamEvent::Text(text) => watch.part(&text),
                StreamEvent::Usage { .. } => watch.usage(&event),
                StreamEvent::Failed(detail) => return RequestEnd::Refused(detail),
                StreamEvent::Done => end = RequestEnd::Answered,
            }
        }
    }
}

fn read_body(status: u16, bytes: &[u8], watch: &mut AnswerWatch) -> RequestEnd {
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(bytes)
        && body.error.code != 0
    {
        return RequestEnd::Refused(body.error);
    }
    if !(200..300).contains(&status) {
        return RequestEnd::NotUnderstood { status };
    }
    let body: Value = serde_json::from_slice(bytes).unwrap_or_default();
    if let Ok(usage) = UsageBody::deserialize(&body["usage"]) {
        watch.usage(&usage.event());
    }
    RequestEnd::Answered
}

impl AnswerWatch {
    fn new(request: &PreparedRequest) -> Self {
        let now = SystemClock.now();
        let patience = request
            .trace
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let prompt = request.trace.prompt_text(request.record);
        let marker = prompt
            .split_whitespace()
            .rev()
            .find_map(|word| word.strip_prefix(MARKER_PREFIX));
        Self {
            intended: request.intended,
            deadline: request.intended + patience,
            marker: marker.map(str::to_owned),
            last: None,
            outcome: RequestOutcome {
                record: request.record,
                end: RequestEnd::Broken,
                first_token: None,
                between_tokens: Vec::new(),
                total: Duration::ZERO,
                send_delay: now.saturating_duration_since(request.intended),
                billed_tokens: 0,
                prompt_tokens: 0,
                cached_tokens: 0,
                foreign_text: false,
            },
        }
    }

    fn part(&mut self, text: &str) {
        let now = SystemClock.now();
        match self.last {
            None => self.outcome.first_token = Some(now - self.intended),
            Some(last) => self.outcome.between_tokens.push(now - last),
        }
        self.last = Some(now);
        if let Some(marker) = &self.marker {
            let mut words = text.split_whitespace();
            let foreign = words.any(|word| !word.starts_with(marker.as_str()));
            self.outcome.foreign_text |= foreign;
        }
    }

    fn usage(&mut self, event: &StreamEvent) {
        if let StreamEvent::Usage {
            prompt,
            cached,
            completion,
        } = *event
        {
            self.outcome.prompt_tokens = prompt;
            self.outcome.cached_tokens = cached;
            self.outcome.billed_tokens = prompt + completion;
        }
    }

    fn finish(mut self, end: RequestEnd) -> RequestOutcome {
        let answered = end == RequestEnd::Answered;
        if !answered {
            self.outcome.first_token = None;
        }
        self.outcome.total = SystemClock.now().saturating_duration_since(self.intended);
        self.outcome.end = end;
        self.outcome
    }
}
