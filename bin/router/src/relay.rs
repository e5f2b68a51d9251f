//! Carries one chat answer from upstreams to the caller.

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
use crate::command::SendOrder;
use crate::event_stream::EngineEvent;
use crate::event_stream::EventReader;
use crate::refusal::RequestRefusal;
use crate::upstream_client::UpstreamAnswer;
use crate::upstream_client::UpstreamCall;
use crate::upstream_client::UpstreamClient;

/// Path of chat requests on a model engine.
const CHAT_PATH: &str = "/v1/chat/completions";

/// How long an engine may take to end its answer after the mark of the end.
const END_WAIT: Duration = Duration::from_millis(50);

/// What a relay needs to know of its request.
pub struct RelayRequest {
    /// The request.
    pub request: RequestId,
    /// The request's body.
    pub chat: ChatRequest,
    /// The model.
    pub model: ModelName,
    /// The most output tokens.
    pub max_output: TokenCount,
    /// Upper bound of the prompt's tokens, used where the engine tells no usage.
    pub prompt_bound: TokenCount,
    /// Priority for the engine, the highest first.
    pub priority: u8,
    /// When the whole answer has to be there.
    pub deadline: Instant,
}

/// A part of an answer.
#[derive(Debug, PartialEq)]
pub enum AnswerPart {
    /// A chunk to pass on.
    Chunk(Value),
    /// The answer begins again from nothing; only before the caller got a byte.
    Restart,
    /// The last part, with what the request costs.
    Last {
        /// The chunks held back, the usage corrected to the bill.
        chunks: Vec<Value>,
        /// Prompt tokens and output tokens as billed.
        usage: TokenUsage,
    },
}

/// Tokens of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the output.
    pub output: u64,
}

impl TokenUsage {
    fn read(value: &Value) -> Option<Self> {
        Some(Self {
            prompt: value.get("prompt_tokens")?.as_u64()?,
            output: value.get("completion_tokens")?.as_u64()?,
        })
    }

    /// Returns all tokens.
    pub fn total(self) -> TokenCount {
        TokenCount(self.prompt.saturating_add(self.output))
    }

    /// Returns the usage whose total is what was billed.
    fn billed(self, amount: TokenCount) -> Self {
        let prompt = self.prompt.min(amount.0);
        Self {
            prompt,
            output: amount.0 - prompt,
        }
    }

    /// Returns the usage as callers read it.
    pub fn to_value(self) -> Value {
        serde_json::json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.total().0,
        })
    }
}

/// One admitted chat request on its way through upstreams.
///
/// Dropped before its end, it tells the control thread that the caller has
/// gone; the upstream's connection closes with it, which cancels the work there.
pub struct ChatRelay {
    request: RelayRequest,
    control: ControlHandle,
    client: Rc<UpstreamClient>,
    clock: Arc<dyn TimeSource>,
    handle: RequestHandle,
    order: SendOrder,
    answer: Option<UpstreamAnswer>,
    reader: EventReader,
    events: VecDeque<EngineEvent>,
    /// Chunks of output received over all attempts that count.
    received: u64,
    /// Bytes of the answer that the caller has.
    sent: ByteCount,
    held: Vec<Value>,
    usage: Option<TokenUsage>,
    started: bool,
    ended: bool,
}

impl ChatRelay {
    /// Makes the relay of an admitted request.
    pub fn new(
        request: RelayRequest,
        control: ControlHandle,
        client: Rc<UpstreamClient>,
        clock: Arc<dyn TimeSource>,
        handle: RequestHandle,
        order: SendOrder,
    ) -> Self {
        Self {
            request,
            control,
            client,
            clock,
            handle,
            order,
            answer: None,
            reader: EventReader::default(),
            events: VecDeque::new(),
            received: 0,
            sent: ByteCount::ZERO,
            held: Vec::new(),
            usage: None,
            started: false,
            ended: false,
        }
    }

    /// Notes what the caller has been sent.
    pub fn sent_to_caller(&mut self, bytes: usize) {
        self.sent = self.sent.saturating_add(ByteCount(bytes as u64));
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Returns the final answer where the request fails; nothing is billed.
    pub async fn next(&mut self) -> Result<AnswerPart, RequestRefusal> {
        loop {
            match self.advance().await {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(outcome) => {
                    if self.fail(outcome).await? {
                        return Ok(AnswerPart::Restart);
                    }
                }
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<AnswerPart>, AttemptOutcome> {
        if let Some(event) = self.events.pop_front() {
            return self.take_event(event).await;
        }
        if self.answer.is_none() {
            self.answer = Some(self.open().await?);
        }
        let wait = self.wait();
        let Some(answer) = &mut self.answer else {
            return Ok(None);
        };
        let read = answer.next_bytes(wait).await;
        let bytes = self.check_deadline(read)?;
        // The stream has to end with its mark; without it the answer is not whole.
        let bytes = bytes.ok_or(AttemptOutcome::ConnectionLost)?;
        let events = self
            .reader
            .push(&bytes)
            .map_err(|_| AttemptOutcome::UpstreamFault)?;
        self.events.extend(events);
        Ok(None)
    }

    /// Returns how long to wait for the upstream, never past the deadline.
    fn wait(&self) -> Duration {
        let limit = match self.started {
            true => self.order.progress_timeout,
            false => self.order.first_byte_timeout,
        };
        let left = self
            .request
            .deadline
            .saturating_duration_since(self.clock.now());
        limit.min(left)
    }

    /// Tells an expired deadline from a silent upstream.
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

    async fn open(&self) -> Result<UpstreamAnswer, AttemptOutcome> {
        let request = &self.request;
        let id = request.request.to_string();
        let mut headers = vec![
            ("content-type", "application/json".to_owned()),
            ("x-request-id", id.clone()),
            ("x-priority", request.priority.to_string()),
        ];
        if self.order.resume {
            headers.push(("x-resume-from", self.received.to_string()));
        }
        let call = UpstreamCall {
            address: self.order.address,
            path: CHAT_PATH,
            headers,
            body: request
                .chat
                .engine_body(&request.model, request.max_output)
                .into(),
        };
        let sent = self.client.post(call, self.wait()).await;
        let mut answer = self.check_deadline(sent)?;
        if let Some(outcome) = answer.failure() {
            answer.read_to_end(END_WAIT).await;
            return Err(outcome);
        }
        let echoed = answer.header("x-request-id").unwrap_or(&id);
        match echoed == id {
            true => Ok(answer),
            // The answer belongs to another request and must not reach this caller.
            false => Err(AttemptOutcome::UpstreamFault),
        }
    }

    async fn take_event(
        &mut self,
        event: EngineEvent,
    ) -> Result<Option<AnswerPart>, AttemptOutcome> {
        match event {
            EngineEvent::Chunk(chunk) => self.take_chunk(chunk),
            EngineEvent::Done => self.finish().await.map(Some),
        }
    }

    fn take_chunk(&mut self, chunk: Value) -> Result<Option<AnswerPart>, AttemptOutcome> {
        if chunk.get("error").is_some() {
            return Err(AttemptOutcome::UpstreamFault);
        }
        if !self.started {
            self.started = true;
            self.control.send(ControlCommand::FirstByte(self.handle));
        }
        if let Some(usage) = chunk.get("usage").and_then(TokenUsage::read) {
            self.usage = Some(usage);
        }
        let choice = chunk.get("choices").and_then(|choices| choices.get(0));
        let finished = choice.is_none_or(|choice| {
            choice
                .get("finish_reason")
                .is_some_and(|reason| !reason.is_null())
        });
        if finished || !self.held.is_empty() {
            self.held.push(chunk);
            return Ok(None);
        }
        self.received += 1;
        Ok(Some(AnswerPart::Chunk(chunk)))
    }

    fn usage_so_far(&self) -> TokenUsage {
        self.usage.unwrap_or(TokenUsage {
            prompt: self.request.prompt_bound.0,
            output: self.received,
        })
    }

    async fn finish(&mut self) -> Result<AnswerPart, AttemptOutcome> {
        if self.held.is_empty() {
            return Err(AttemptOutcome::UpstreamFault);
        }
        self.ended = true;
        let usage = self.usage_so_far();
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(usage.output),
            cached: self.held.iter().find_map(cached_tokens),
        };
        let handle = self.handle;
        let verdict = self
            .control
            .ask(|reply| ControlCommand::Complete {
                handle,
                used: usage.total(),
                outcome,
                reply,
            })
            .await;
        self.read_to_end().await;
        let usage = match verdict {
            Some(BillVerdict::Safe(amount)) => usage.billed(amount),
            Some(BillVerdict::Unsafe) | None => return Err(AttemptOutcome::Withdrawn),
        };
        let mut chunks = std::mem::take(&mut self.held);
        for chunk in &mut chunks {
            if chunk.get("usage").is_some_and(|old| !old.is_null()) {
                chunk["usage"] = usage.to_value();
            }
        }
        Ok(AnswerPart::Last { chunks, usage })
    }

    /// Closes the connection of an answer that has not ended, which cancels
    /// what may still run there.
    ///
    /// The client library keeps such a connection for a moment and can give it
    /// to another request, which then hears nothing; so all kept ones go.
    fn leave_answer(&mut self) {
        if self.answer.take().is_some() {
            self.client.forget_connections();
        }
    }

    /// Reads what follows the stream's mark, so that the connection can be used
    /// for another request.
    async fn read_to_end(&mut self) {
        if let Some(mut answer) = self.answer.take() {
            answer.read_to_end(END_WAIT).await;
        }
    }

    /// Reports a failed attempt and prepares the next; tells whether the
    /// answer begins again.
    async fn fail(&mut self, outcome: AttemptOutcome) -> Result<bool, RequestRefusal> {
        if self.ended {
            return Err(RequestRefusal::failed(
                ResultCode::BillUnconfirmed,
                RunState::Ran,
                "the answer is complete but its bill could not be made safe",
            ));
        }
        self.leave_answer();
        let handle = self.handle;
        let report = FailureReport {
            outcome,
            sent_to_caller: self.sent,
            resumable: self.received > 0 && outcome != AttemptOutcome::UpstreamFault,
        };
        let next = self
            .control
            .ask(|reply| ControlCommand::Failed {
                handle,
                report,
                reply,
            })
            .await;
        let order = match next {
            Some(Ok(order)) => order,
            Some(Err(refusal)) => {
                self.ended = true;
                return Err(refusal);
            }
            None => {
                self.ended = true;
                return Err(RequestRefusal::failed(
                    ResultCode::Stopping,
                    RunState::Unknown,
                    "router has stopped",
                ));
            }
        };
        let restart = !order.resume && self.received > 0;
        self.reset(order);
        Ok(restart)
    }

    fn reset(&mut self, order: SendOrder) {
        if !order.resume {
            self.received = 0;
        }
        self.order = order;
        self.reader = EventReader::default();
        self.events.clear();
        self.held.clear();
        self.usage = None;
        self.started = false;
    }
}

impl Drop for ChatRelay {
    fn drop(&mut self) {
        self.leave_answer();
        if self.ended {
            return;
        }
        let used = (!self.sent.is_zero()).then(|| self.usage_so_far().total());
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
