//! Callers: one request, sent again on other routers until it is settled.

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

/// Longest wait of a caller for a whole answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(10);

/// Largest accepted answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A router as callers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterTarget {
    /// The process's name in the history.
    pub name: String,
    /// Where it serves callers.
    pub address: SocketAddr,
}

/// One request of a caller, however often it is sent.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The workspace's key.
    pub key: String,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// What is asked for.
    pub call: CallerCall,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerCall {
    /// A chat completion.
    Chat {
        /// The model.
        model: String,
        /// Tokens of the right answer.
        answer_tokens: u64,
        /// Whether the answer comes as events.
        stream: bool,
    },
    /// A booking, which may not be repeated.
    Booking {
        /// The service.
        service: String,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Answered {
        /// The usage that it tells.
        usage: Option<AnswerUsage>,
        /// Its text.
        text: String,
    },
    /// A refusal or failure came.
    Refused {
        /// The result code.
        code: u16,
        /// What it says of the work.
        run: RunState,
    },
    /// The connection ended after sending.
    Broken,
    /// The caller waited long enough and closed the connection.
    GaveUp,
    /// Nothing was sent.
    NotConnected,
}

impl CallEnd {
    /// Tells whether sending the request again can help.
    pub fn is_retryable(&self) -> bool {
        match self {
            CallEnd::Answered { .. } => false,
            CallEnd::Refused { code, .. } => snipegate_types::ResultCode::from_repr(*code)
                .is_some_and(|code| code.is_retryable()),
            CallEnd::Broken | CallEnd::GaveUp | CallEnd::NotConnected => true,
        }
    }
}

impl CallerRequest {
    /// Returns the id that the routers give it.
    pub fn id(&self) -> RequestId {
        RequestId::from_idempotency_key(&self.workspace, &self.idempotency_key)
    }

    fn prompt(&self, answer_tokens: u64) -> String {
        let marker = &self.idempotency_key;
        format!("how many cabins does the north gate need marker:{marker} answer:{answer_tokens}")
    }

    fn nature(&self) -> RequestNature {
        match &self.call {
            CallerCall::Chat {
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
            CallerCall::Booking { .. } => RequestNature::Service { repeatable: false },
        }
    }

    fn path(&self) -> String {
        match &self.call {
            CallerCall::Chat { .. } => "/v1/chat/completions".to_owned(),
            CallerCall::Booking { service } => format!("/v1/services/{service}"),
        }
    }

    fn body(&self) -> Value {
        match &self.call {
            CallerCall::Chat {
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
            CallerCall::Booking { .. } => json!({"units": 3}),
        }
    }
}

/// Sends requests and records what comes of them.
#[derive(Clone)]
pub struct FleetCaller {
    client: Client,
    recorder: HistoryRecorder,
}

impl FleetCaller {
    /// Makes a caller without connections.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be set up.
    pub async fn new(recorder: HistoryRecorder) -> Self {
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("caller"))
            .await
            .expect("HTTP client is set up");
        Self { client, recorder }
    }

    /// Sends a request to one router and waits for the end.
    pub async fn attempt(&self, request: &CallerRequest, router: &RouterTarget) -> CallEnd {
        let attempt = self.recorder.next_attempt();
        self.recorder.record(EventKind::Sent {
            attempt,
            request: request.id(),
            router: router.name.clone(),
            nature: request.nature(),
        });
        let end = timeout(CALLER_PATIENCE, self.exchange(request, router))
            .await
            .unwrap_or(CallEnd::GaveUp);
        self.recorder.record(end_event(attempt, &end));
        end
    }

    async fn exchange(&self, request: &CallerRequest, router: &RouterTarget) -> CallEnd {
        let sent = self
            .client
            .post(format!("http://{}{}", router.address, request.path()))
            .bearer_auth(&request.key)
            .header("idempotency-key", &*request.idempotency_key)
            .send_json(&request.body())
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => return failed_end(&error),
        };
        let Some(body) = read_body(&response).await else {
            return CallEnd::Broken;
        };
        if !response.status().is_success() {
            return refusal(&body).unwrap_or(CallEnd::Broken);
        }
        match &request.call {
            CallerCall::Chat { stream: true, .. } => streamed_end(&body),
            CallerCall::Chat { stream: false, .. } => json_end(&body),
            CallerCall::Booking { .. } => CallEnd::Answered {
                usage: None,
                text: body,
            },
        }
    }
}

fn failed_end(error: &ClientError) -> CallEnd {
    if was_never_sent(error) {
        CallEnd::NotConnected
    } else {
        CallEnd::Broken
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

fn refusal(body: &str) -> Option<CallEnd> {
    let body: Value = serde_json::from_str(body).ok()?;
    let error = body.get("error")?;
    Some(CallEnd::Refused {
        code: u16::try_from(error["code"].as_u64()?).ok()?,
        run: error["run"].as_str()?.parse().ok()?,
    })
}

fn read_usage(value: &Value) -> Option<AnswerUsage> {
    Some(AnswerUsage {
        completion: value["completion_tokens"].as_u64()?,
        total: value["total_tokens"].as_u64()?,
    })
}

fn streamed_end(body: &str) -> CallEnd {
    let mut text = String::new();
    let mut usage = None;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return CallEnd::Answered { usage, text };
        }
        if let Some(refused) = refusal(data) {
            return refused;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        usage = read_usage(&chunk["usage"]).or(usage);
    }
    CallEnd::Broken
}

fn json_end(body: &str) -> CallEnd {
    let Ok(body) = serde_json::from_str::<Value>(body) else {
        return CallEnd::Broken;
    };
    let text = body["choices"][0]["message"]["content"].as_str();
    CallEnd::Answered {
        usage: read_usage(&body["usage"]),
        text: text.unwrap_or_default().to_owned(),
    }
}

fn end_event(attempt: AttemptId, end: &CallEnd) -> EventKind {
    match end {
        CallEnd::Answered { usage, text } => EventKind::Answered {
            attempt,
            usage: *usage,
            text: text.clone(),
        },
        CallEnd::Refused { code, run } => EventKind::Refused {
            attempt,
            code: *code,
            run: *run,
        },
        CallEnd::Broken => EventKind::Broken { attempt },
        CallEnd::GaveUp => EventKind::GaveUp { attempt },
        CallEnd::NotConnected => EventKind::NotConnected { attempt },
    }
}
