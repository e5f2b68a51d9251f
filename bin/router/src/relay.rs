//! Relays a chat completion from upstreams to the caller.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use snipegate_routing::AttemptOutcome;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::RunState;
use snipegate_types::TimeSource;
use snipegate_types::TokenCount;

use crate::chat::ChatRequest;
use crate::command::BillVerdict;
use crate::command::ControlCommand;
use crate::command::ControlHandle;
use crate::command::FailureReport;
use crate::command::RequestHandle;
use crate::command::UpstreamTarget;
use crate::event_stream::EngineEvent;
use crate::event_stream::EventReader;
use crate::refusal::RequestRefusal;
use crate::upstream_client::UpstreamCall;
use crate::upstream_client::UpstreamClient;
use crate::upstream_client::UpstreamResponse;

/// HTTP path for chat requests on a model engine.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Maximum wait for each remaining part of a response, after `[DONE]` or an error status.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Parameters of a request that [`ChatRelay`] needs.
pub struct RelayRequest {
    /// Id of the request.
    pub request: RequestId,
    /// The validated request body.
    pub chat: ChatRequest,
    /// The resolved model.
    pub model: ModelName,
    /// Maximum number of output tokens.
    pub max_output: TokenCount,
    /// Upper bound on the number of prompt tokens, used if the engine reports no usage.
    pub prompt_bound: TokenCount,
    /// Priority sent to the engine; higher values go first.
    pub priority: u8,
    /// Time by which the whole answer must have been received.
    pub deadline: Instant,
}

/// A part of an answer.
#[derive(Debug, PartialEq)]
pub enum AnswerPart {
    /// A chunk to forward.
    Chunk(Value),
    /// The answer starts over; sent only before the caller has received any byte.
    Restart,
    /// The last part, sent once the bill is durable.
    Last {
        /// The chunks held back until the bill was durable, with the billed usage.
        chunks: Vec<Value>,
        /// The billed usage.
        usage: TokenUsage,
    },
}

/// Token usage of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of output tokens.
    pub output: u64,
}

impl TokenUsage {
    fn from_value(value: &Value) -> Option<Self> {
        Some(Self {
            prompt: value.get("prompt_tokens")?.as_u64()?,
            output: value.get("completion_tokens")?.as_u64()?,
        })
    }

    /// Returns the sum of prompt and output tokens.
    pub fn total(self) -> TokenCount {
        TokenCount(self.prompt.saturating_add(self.output))
    }

    /// Adjusts the usage so that its total is the billed `amount`.
    fn adjusted_to(self, amount: TokenCount) -> Self {
        let prompt = self.prompt.min(amount.0);
        Self {
            prompt,
            output: amount.0 - prompt,
        }
    }

    /// Returns the usage as the JSON object sent to callers.
    pub fn to_value(self) -> Value {
        serde_json::json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.total().0,
        })
    }
}

/// Relays one admitted chat request, retrying on other upstreams after failures.
///
/// If it is dropped before the answer is complete, it reports the request as abandoned to
/// the control thread and closes the upstream connection, which cancels the work there.
pub struct ChatRelay {
    request: RelayRequest,
    control: ControlHandle,
    client: Rc<UpstreamClient>,
    clock: Arc<dyn TimeSource>,
    handle: RequestHandle,
    target: UpstreamTarget,
    response: Option<UpstreamResponse>,
    reader: EventReader,
    events: VecDeque<EngineEvent>,
    /// Number of output chunks received, including those of attempts that were resumed.
    received_chunks: u64,
    /// Number of bytes of the answer sent to the caller.
    sent_bytes: ByteCount,
    /// The last chunks of the answer, held back until the bill is durable.
    held_chunks: Vec<Value>,
    usage: Option<TokenUsage>,
    /// Whether the current attempt has produced a chunk.
    started: bool,
    /// Whether the request is finished for the control thread: completed or refused.
    closed: bool,
}

impl ChatRelay {
    /// Creates the relay of an admitted request.
    pub fn new(
        request: RelayRequest,
        control: ControlHandle,
        client: Rc<UpstreamClient>,
        clock: Arc<dyn TimeSource>,
        handle: RequestHandle,
        target: UpstreamTarget,
    ) -> Self {
        Self {
            request,
            control,
            client,
            clock,
            handle,
            target,
            response: None,
            reader: EventReader::default(),
            events: VecDeque::new(),
            received_chunks: 0,
            sent_bytes: ByteCount::ZERO,
            held_chunks: Vec::new(),
            usage: None,
            started: false,
            closed: false,
        }
    }

    /// Records that `bytes` more bytes were sent to the caller.
    pub fn sent_to_caller(&mut self, bytes: usize) {
        self.sent_bytes = self.sent_bytes.saturating_add(ByteCount(bytes as u64));
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the error response if the request fails. Unless the code is
    /// `BillUnconfirmed`, nothing is billed.
    pub async fn next(&mut self) -> Result<AnswerPart, RequestRefusal> {
        loop {
            match self.advance().await {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(outcome) => {
                    if self.handle_failure(outcome).await? {
                        return Ok(AnswerPart::Restart);
                    }
                }
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<AnswerPart>, AttemptOutcome> {
        if let Some(event) = self.events.pop_front() {
            return self.handle_event(event).await;
        }
        if self.response.is_none() {
            self.response = Some(self.send_request().await?);
        }
        let wait = self.read_timeout();
        let Some(response) = &mut self.response else {
            return Ok(None);
        };
        let read = response.next_bytes(wait).await;
        let bytes = self.check_deadline(read)?;
        // A stream that ends without `[DONE]` is incomplete.
        let bytes = bytes.ok_or(AttemptOutcome::ConnectionLost)?;
        let events = self
            .reader
            .push(&bytes)
            .map_err(|_| AttemptOutcome::UpstreamFault)?;
        self.events.extend(events);
        Ok(None)
    }

    /// Returns the current timeout for the upstream, limited by the deadline.
    fn read_timeout(&self) -> Duration {
        let limit = match self.started {
            true => self.target.progress_timeout,
            false => self.target.first_byte_timeout,
        };
        let left = self
            .request
            .deadline
            .saturating_duration_since(self.clock.now());
        limit.min(left)
    }

    /// Maps a timeout to `Cancelled` if the request's deadline has passed. Otherwise the
    /// upstream is silent, and the pooled connections are dropped.
    fn check_deadline<T>(&self, read: Result<T, AttemptOutcome>) -> Result<T, AttemptOutcome> {
        match read {
            Err(AttemptOutcome::Silent) if self.clock.now() >= self.request.deadline => {
                Err(AttemptOutcome::Cancelled)
            }
            Err(AttemptOutcome::Silent) => {
                self.client.forget_connections();
                Err(AttemptOutcome::Silent)
            }
            other => other,
        }
    }

    async fn send_request(&self) -> Result<UpstreamResponse, AttemptOutcome> {
        let request = &self.request;
        let id = request.request.to_string();
        let mut headers = vec![
            ("content-type", "application/json".to_owned()),
            ("x-request-id", id.clone()),
            ("x-priority", request.priority.to_string()),
        ];
        if self.target.resume {
            headers.push(("x-resume-from", self.received_chunks.to_string()));
        }
        let call = UpstreamCall {
            address: self.target.address,
            path: CHAT_PATH,
            headers,
            body: request
                .chat
                .engine_body(&request.model, request.max_output)
                .into(),
        };
        let sent = self.client.post(call, self.read_timeout()).await;
        let mut response = self.check_deadline(sent)?;
        if let Some(outcome) = response.failure() {
            response.read_to_end(DRAIN_TIMEOUT).await;
            return Err(outcome);
        }
        let echoed = response.header("x-request-id").unwrap_or(&id);
        match echoed == id {
            true => Ok(response),
            // The response belongs to another request and must not reach this caller.
            false => Err(AttemptOutcome::UpstreamFault),
        }
    }

    async fn handle_event(
        &mut self,
        event: EngineEvent,
    ) -> Result<Option<AnswerPart>, AttemptOutcome> {
        match event {
            EngineEvent::Chunk(chunk) => self.handle_chunk(chunk),
            EngineEvent::Done => self.finish().await.map(Some),
        }
    }

    fn handle_chunk(&mut self, chunk: Value) -> Result<Option<AnswerPart>, AttemptOutcome> {
        if chunk.get("error").is_some() {
            return Err(AttemptOutcome::UpstreamFault);
        }
        if !self.started {
            self.started = true;
            self.control.send(ControlCommand::FirstByte(self.handle));
        }
        if let Some(usage) = chunk.get("usage").and_then(TokenUsage::from_value) {
            self.usage = Some(usage);
        }
        let choice = chunk.get("choices").and_then(|choices| choices.get(0));
        let is_final = choice.is_none_or(|choice| {
            choice
                .get("finish_reason")
                .is_some_and(|reason| !reason.is_null())
        });
        if is_final || !self.held_chunks.is_empty() {
            self.held_chunks.push(chunk);
            return Ok(None);
        }
        self.received_chunks += 1;
        Ok(Some(AnswerPart::Chunk(chunk)))
    }

    fn current_usage(&self) -> TokenUsage {
        self.usage.unwrap_or(TokenUsage {
            prompt: self.request.prompt_bound.0,
            output: self.received_chunks,
        })
    }

    async fn finish(&mut self) -> Result<AnswerPart, AttemptOutcome> {
        if self.held_chunks.is_empty() {
            return Err(AttemptOutcome::UpstreamFault);
        }
        self.closed = true;
        let usage = self.current_usage();
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(usage.output),
            cached: self.held_chunks.iter().find_map(cached_tokens),
        };
        let handle = self.handle;
        let verdict = self
            .control
            .request(|reply| ControlCommand::Complete {
                handle,
                used: usage.total(),
                outcome,
                reply,
            })
            .await;
        self.drain_response().await;
        let usage = match verdict {
            Some(BillVerdict::Durable(amount)) => usage.adjusted_to(amount),
            Some(BillVerdict::NotDurable) | None => return Err(AttemptOutcome::Withdrawn),
        };
        let mut chunks = std::mem::take(&mut self.held_chunks);
        for chunk in &mut chunks {
            if chunk.get("usage").is_some_and(|old| !old.is_null()) {
                chunk["usage"] = usage.to_value();
            }
        }
        Ok(AnswerPart::Last { chunks, usage })
    }

    /// Closes the connection of an incomplete answer, which cancels the work on the
    /// upstream.
    ///
    /// The client library keeps such a connection in its pool for a moment and can reuse
    /// it for another request, which then gets no response. All pooled connections are
    /// therefore dropped.
    fn close_response(&mut self) {
        if self.response.take().is_some() {
            self.client.forget_connections();
        }
    }

    /// Reads the rest of the response after `[DONE]`, so that the connection can be reused.
    async fn drain_response(&mut self) {
        if let Some(mut response) = self.response.take() {
            response.read_to_end(DRAIN_TIMEOUT).await;
        }
    }

    /// Reports a failed attempt and prepares the next one. Returns whether the answer
    /// starts over.
    async fn handle_failure(&mut self, outcome: AttemptOutcome) -> Result<bool, RequestRefusal> {
        if self.closed {
            return Err(RequestRefusal::failed(
                ResultCode::BillUnconfirmed,
                RunState::Ran,
                "the answer is complete but its bill could not be made safe",
            ));
        }
        self.close_response();
        let handle = self.handle;
        let report = FailureReport {
            outcome,
            sent_to_caller: self.sent_bytes,
            resumable: self.received_chunks > 0 && outcome != AttemptOutcome::UpstreamFault,
        };
        let next = self
            .control
            .request(|reply| ControlCommand::Failed {
                handle,
                report,
                reply,
            })
            .await;
        let target = match next {
            Some(Ok(target)) => target,
            Some(Err(refusal)) => {
                self.closed = true;
                return Err(refusal);
            }
            None => {
                self.closed = true;
                return Err(RequestRefusal::failed(
                    ResultCode::Stopping,
                    RunState::Unknown,
                    "router has stopped",
                ));
            }
        };
        let restarts = !target.resume && self.received_chunks > 0;
        self.reset(target);
        Ok(restarts)
    }

    fn reset(&mut self, target: UpstreamTarget) {
        if !target.resume {
            self.received_chunks = 0;
        }
        self.target = target;
        self.reader = EventReader::default();
        self.events.clear();
        self.held_chunks.clear();
        self.usage = None;
        self.started = false;
    }
}

impl Drop for ChatRelay {
    fn drop(&mut self) {
        self.close_response();
        if self.closed {
            return;
        }
        let used = (!self.sent_bytes.is_zero()).then(|| self.current_usage().total());
        self.control.send(ControlCommand::Abandon {
            handle: self.handle,
            used,
        });
    }
}

fn cached_tokens(chunk: &Value) -> Option<TokenCount> {
    let details = chunk.get("usage")?.get("prompt_tokens_details")?;
    details.get("cached_tokens")?.as_u64().map(TokenCount)
}
