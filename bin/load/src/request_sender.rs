//! Sends one request and measures its response.

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
use crate::outcome::RequestOutcome;
use crate::outcome::RequestResult;
use crate::trace::TraceRecord;
use crate::trace::TraceWork;

/// Deadline of records that do not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// Size limit of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Prefix of the prompt word that sets a marker. Every word of the response text has to
/// begin with the marker.
const MARKER_PREFIX: &str = "marker:";

/// Kind of server that receives the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Routers.
    Router,
    /// Model engines or plain services without a router, as a baseline.
    Direct,
}

/// A request with its scheduled time and key.
#[derive(Clone, Debug)]
pub struct PreparedRequest {
    /// Index of the record in the trace.
    pub record_index: usize,
    /// Scheduled send time. Latencies are measured from it.
    pub scheduled_at: Instant,
    /// API key of the workspace. Direct targets need none.
    pub api_key: Option<String>,
    /// Trace record to send.
    pub record: TraceRecord,
}

/// Sends requests over pooled connections.
#[derive(Clone)]
pub struct RequestSender {
    client: Client,
    kind: TargetKind,
}

/// Records timing and usage while a response arrives.
struct ResponseRecorder {
    scheduled_at: Instant,
    deadline: Instant,
    marker: Option<String>,
    last_part_at: Option<Instant>,
    outcome: RequestOutcome,
}

impl RequestSender {
    /// Creates a sender.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be built.
    pub async fn new(kind: TargetKind) -> Self {
        let connector = Connector::new().limit(MAX_CONNECTIONS);
        let client = ClientBuilder::new()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::new("load"))
            .await
            .expect("an HTTP client without certificates can be built");
        Self { client, kind }
    }

    /// Sends a request and waits for the end of its response or its deadline.
    pub async fn send(&self, address: SocketAddr, request: PreparedRequest) -> RequestOutcome {
        let mut recorder = ResponseRecorder::new(&request);
        let time_left = recorder
            .deadline
            .saturating_duration_since(SystemClock.now());
        let limit = Millis(time_left.as_millis().clamp(1, u128::from(u32::MAX)) as u32);
        let exchange = self.exchange(address, &request, &mut recorder);
        let result = timeout(limit, exchange)
            .await
            .unwrap_or(RequestResult::TimedOut);
        recorder.finish(result)
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
        recorder: &mut ResponseRecorder,
    ) -> RequestResult {
        let record = &request.record;
        let url = format!("http://{address}{}", self.path(&record.work));
        let mut http_request = self
            .client
            .post(url)
            .header("x-snipegate-profile", record.profile.as_str())
            .header("x-snipegate-priority", record.priority.to_string())
            .header("x-snipegate-repeatable", record.repeatable.to_string());
        if let Some(key) = &request.api_key {
            http_request = http_request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = &record.idempotency_key {
            http_request = http_request.header("idempotency-key", key.as_str());
        }
        if let Some(deadline) = record.deadline_ms {
            http_request = http_request.header("x-snipegate-deadline-ms", deadline.to_string());
        }
        let body = request_body(record, request.record_index);
        let response = match http_request.send_json(&body).await {
            Ok(response) => response,
            Err(error) if was_never_sent(&error) => return RequestResult::NotSent,
            Err(_) => return RequestResult::Interrupted,
        };
        let status = response.status().as_u16();
        let is_streamed = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        if status == 200 && is_streamed {
            return read_stream(response.take_payload(), recorder).await;
        }
        let Ok(bytes) = response.body().await else {
            return RequestResult::Interrupted;
        };
        recorder.add_part("");
        read_body(status, &bytes, recorder)
    }
}

fn request_body(record: &TraceRecord, record_index: usize) -> Value {
    let text = record.prompt_text(record_index);
    match &record.work {
        TraceWork::Model(model) => json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": record.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
        }),
        TraceWork::Service(_) => json!({ "text": text }),
    }
}

async fn read_stream(mut payload: Payload, recorder: &mut ResponseRecorder) -> RequestResult {
    let mut parser = EventParser::default();
    let mut result = RequestResult::Interrupted;
    // Reads to the end of the body even after the last event. The connection cannot be
    // reused otherwise.
    loop {
        let bytes = match stream_recv(&mut payload).await {
            Some(Ok(bytes)) => bytes,
            Some(Err(_)) | None => return result,
        };
        for event in parser.push(&bytes) {
            match event {
                StreamEvent::Text(text) => recorder.add_part(&text),
                StreamEvent::Usage { .. } => recorder.set_usage(&event),
                StreamEvent::Failed(detail) => return RequestResult::ErrorResponse(detail),
                StreamEvent::Done => result = RequestResult::Completed,
            }
        }
    }
}

fn read_body(status: u16, bytes: &[u8], recorder: &mut ResponseRecorder) -> RequestResult {
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(bytes)
        && body.error.code != 0
    {
        return RequestResult::ErrorResponse(body.error);
    }
    if !(200..300).contains(&status) {
        return RequestResult::UnexpectedResponse { status };
    }
    let body: Value = serde_json::from_slice(bytes).unwrap_or_default();
    if let Ok(usage) = UsageBody::deserialize(&body["usage"]) {
        recorder.set_usage(&usage.to_event());
    }
    RequestResult::Completed
}

impl ResponseRecorder {
    fn new(request: &PreparedRequest) -> Self {
        let now = SystemClock.now();
        let time_limit = request
            .record
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let prompt = request.record.prompt_text(request.record_index);
        let marker = prompt
            .split_whitespace()
            .rev()
            .find_map(|word| word.strip_prefix(MARKER_PREFIX));
        Self {
            scheduled_at: request.scheduled_at,
            deadline: request.scheduled_at + time_limit,
            marker: marker.map(str::to_owned),
            last_part_at: None,
            outcome: RequestOutcome {
                record_index: request.record_index,
                result: RequestResult::Interrupted,
                first_token: None,
                between_tokens: Vec::new(),
                total: Duration::ZERO,
                send_delay: now.saturating_duration_since(request.scheduled_at),
                billed_tokens: 0,
                prompt_tokens: 0,
                cached_tokens: 0,
                has_foreign_text: false,
            },
        }
    }

    fn add_part(&mut self, text: &str) {
        let now = SystemClock.now();
        match self.last_part_at {
            None => self.outcome.first_token = Some(now - self.scheduled_at),
            Some(last) => self.outcome.between_tokens.push(now - last),
        }
        self.last_part_at = Some(now);
        if let Some(marker) = &self.marker {
            let mut words = text.split_whitespace();
            let is_foreign = words.any(|word| !word.starts_with(marker.as_str()));
            self.outcome.has_foreign_text |= is_foreign;
        }
    }

    fn set_usage(&mut self, event: &StreamEvent) {
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

    fn finish(mut self, result: RequestResult) -> RequestOutcome {
        if result != RequestResult::Completed {
            self.outcome.first_token = None;
        }
        self.outcome.total = SystemClock
            .now()
            .saturating_duration_since(self.scheduled_at);
        self.outcome.result = result;
        self.outcome
    }
}
