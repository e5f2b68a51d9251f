//! Caller client that sends requests to routers and records each outcome.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::time::timeout;
use serde_json::Value;
use serde_json::json;
use snipegate_history::AnswerUsage;
use snipegate_history::AttemptId;
use snipegate_history::EventKind;
use snipegate_history::RequestNature;
use snipegate_platform::was_never_sent;
use snipegate_service::MAX_CONNECTIONS;
use snipegate_standin_engine::PromptPlan;
use snipegate_types::RequestId;
use snipegate_types::RunState;
use snipegate_types::WorkspaceId;

use crate::recorder::HistoryRecorder;

/// Time limit for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Name and address of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterTarget {
    /// Process name used in the history.
    pub name: String,
    /// Address on which it accepts requests from callers.
    pub address: SocketAddr,
}

/// A caller's request; retries and duplicates reuse the same value.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The workspace that sends the request.
    pub workspace: WorkspaceId,
    /// The workspace's API key.
    pub key: String,
    /// The idempotency key chosen by the caller.
    pub idempotency_key: String,
    /// The kind of request.
    pub kind: RequestKind,
}

/// Kind of request, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// The model.
        model: String,
        /// Number of tokens in the correct answer.
        answer_tokens: u64,
        /// Whether the answer is streamed as server-sent events.
        stream: bool,
    },
    /// A booking, which must not run more than once.
    Booking {
        /// The plain service to call.
        service: String,
    },
}

/// Outcome of an attempt, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer was received.
    Answered {
        /// The usage reported in the answer; plain services report none.
        usage: Option<AnswerUsage>,
        /// The answer's text.
        text: String,
    },
    /// A refusal or failure with a result code was received.
    Refused {
        /// The result code.
        code: u16,
        /// The reported state of the work.
        run: RunState,
    },
    /// The connection failed after the request was sent, or the response was
    /// incomplete or invalid.
    ConnectionLost,
    /// No complete answer arrived within the time limit, so the caller closed the
    /// connection.
    TimedOut,
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
}

impl RequestOutcome {
    /// Returns whether a retry of the request can succeed.
    pub fn is_retryable(&self) -> bool {
        match self {
            RequestOutcome::Answered { .. } => false,
            RequestOutcome::Refused { code, .. } => snipegate_types::ResultCode::from_repr(*code)
                .is_some_and(|code| code.is_retryable()),
            RequestOutcome::ConnectionLost
            | RequestOutcome::TimedOut
            | RequestOutcome::ConnectFailed => true,
        }
    }
}

impl CallerRequest {
    /// Returns the request ID that routers derive from the idempotency key.
    pub fn id(&self) -> RequestId {
        RequestId::from_idempotency_key(&self.workspace, &self.idempotency_key)
    }

    fn prompt(&self, answer_tokens: u64) -> String {
        let marker = &self.idempotency_key;
        format!("how many cabins does the north gate need marker:{marker} answer:{answer_tokens}")
    }

    fn nature(&self) -> RequestNature {
        match &self.kind {
            RequestKind::Chat {
                model,
                answer_tokens,
                ..
            } => {
                let prompt = format!("user\n{}\n", self.prompt(*answer_tokens));
                let plan = PromptPlan::new(model, &prompt);
                RequestNature::Chat {
                    digest: plan.digest_text(),
                    marker: plan.marker,
                    tokens: *answer_tokens,
                }
            }
            RequestKind::Booking { .. } => RequestNature::Service { repeatable: false },
        }
    }

    fn path(&self) -> String {
        match &self.kind {
            RequestKind::Chat { .. } => "/v1/chat/completions".to_owned(),
            RequestKind::Booking { service } => format!("/v1/services/{service}"),
        }
    }

    fn body(&self) -> Value {
        match &self.kind {
            RequestKind::Chat {
                model,
                answer_tokens,
                stream,
            } => {
                let content = self.prompt(*answer_tokens);
                let mut body = json!({
                    "model": model,
                    "messages": [{"role": "user", "content": content}],
                    "max_tokens": answer_tokens,
                    "stream": stream,
                });
                if *stream {
                    body["stream_options"] = json!({"include_usage": true});
                }
                body
            }
            RequestKind::Booking { .. } => json!({"units": 3}),
        }
    }
}

/// Sends requests and records each attempt and its outcome.
#[derive(Clone)]
pub struct FleetCaller {
    client: Client,
    recorder: HistoryRecorder,
}

impl FleetCaller {
    /// Creates a caller with no open connections.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be created.
    pub async fn new(recorder: HistoryRecorder) -> Self {
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::new("caller"))
            .await
            .expect("HTTP client can be created");
        Self { client, recorder }
    }

    /// Sends a request to a router and returns the outcome.
    pub async fn attempt(&self, request: &CallerRequest, router: &RouterTarget) -> RequestOutcome {
        let attempt = self.recorder.next_attempt_id();
        self.recorder.record(EventKind::Sent {
            attempt,
            request: request.id(),
            router: router.name.clone(),
            nature: request.nature(),
        });
        let outcome = timeout(ANSWER_TIMEOUT, self.exchange(request, router))
            .await
            .unwrap_or(RequestOutcome::TimedOut);
        self.recorder.record(outcome_event(attempt, &outcome));
        outcome
    }

    async fn exchange(&self, request: &CallerRequest, router: &RouterTarget) -> RequestOutcome {
        let sent = self
            .client
            .post(format!("http://{}{}", router.address, request.path()))
            .bearer_auth(&request.key)
            .header("idempotency-key", &*request.idempotency_key)
            .send_json(&request.body())
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => return send_error_outcome(&error),
        };
        let Some(body) = read_body(&response).await else {
            return RequestOutcome::ConnectionLost;
        };
        if !response.status().is_success() {
            return parse_refusal(&body).unwrap_or(RequestOutcome::ConnectionLost);
        }
        match &request.kind {
            RequestKind::Chat { stream: true, .. } => parse_event_stream(&body),
            RequestKind::Chat { stream: false, .. } => parse_completion(&body),
            RequestKind::Booking { .. } => RequestOutcome::Answered {
                usage: None,
                text: body,
            },
        }
    }
}

fn send_error_outcome(error: &ClientError) -> RequestOutcome {
    if was_never_sent(error) {
        RequestOutcome::ConnectFailed
    } else {
        RequestOutcome::ConnectionLost
    }
}

async fn read_body(response: &ClientResponse) -> Option<String> {
    let mut payload = response.take_payload();
    let mut bytes = Vec::new();
    while let Some(part) = payload.next().await {
        bytes.extend_from_slice(&part.ok()?);
    }
    String::from_utf8(bytes).ok()
}

fn parse_refusal(body: &str) -> Option<RequestOutcome> {
    let body: Value = serde_json::from_str(body).ok()?;
    let error = body.get("error")?;
    Some(RequestOutcome::Refused {
        code: u16::try_from(error["code"].as_u64()?).ok()?,
        run: error["run"].as_str()?.parse().ok()?,
    })
}

fn parse_usage(value: &Value) -> Option<AnswerUsage> {
    Some(AnswerUsage {
        completion: value["completion_tokens"].as_u64()?,
        total: value["total_tokens"].as_u64()?,
    })
}

fn parse_event_stream(body: &str) -> RequestOutcome {
    let mut text = String::new();
    let mut usage = None;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return RequestOutcome::Answered { usage, text };
        }
        if let Some(refused) = parse_refusal(data) {
            return refused;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        usage = parse_usage(&chunk["usage"]).or(usage);
    }
    RequestOutcome::ConnectionLost
}

fn parse_completion(body: &str) -> RequestOutcome {
    let Ok(body) = serde_json::from_str::<Value>(body) else {
        return RequestOutcome::ConnectionLost;
    };
    let text = body["choices"][0]["message"]["content"].as_str();
    RequestOutcome::Answered {
        usage: parse_usage(&body["usage"]),
        text: text.unwrap_or_default().to_owned(),
    }
}

fn outcome_event(attempt: AttemptId, outcome: &RequestOutcome) -> EventKind {
    match outcome {
        RequestOutcome::Answered { usage, text } => EventKind::Answered {
            attempt,
            usage: *usage,
            text: text.clone(),
        },
        RequestOutcome::Refused { code, run } => EventKind::Refused {
            attempt,
            code: *code,
            run: *run,
        },
        RequestOutcome::ConnectionLost => EventKind::Broken { attempt },
        RequestOutcome::TimedOut => EventKind::GaveUp { attempt },
        RequestOutcome::ConnectFailed => EventKind::NotConnected { attempt },
    }
}
