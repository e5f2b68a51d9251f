//! HTTP endpoints for callers and operators.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::channel::mpsc;
use ntex::channel::oneshot;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::http::error::PayloadError;
use ntex::rt::spawn;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Path;
use ntex::web::types::State;
use serde_json::json;
use snipegate_fleet::FleetView;
use snipegate_routing::PromptPrefix;
use snipegate_routing::RequestPhase;
use snipegate_routing::RouteRequest;
use snipegate_routing::UpstreamKind;
use snipegate_service::DaemonContext;
use snipegate_service::ProcessState;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::TimeSource;
use snipegate_types::TokenCount;
use tokio::sync::watch;

use crate::answer::AnswerBuilder;
use crate::body::read_body;
use crate::caller::CallerIdentity;
use crate::caller::find_workspace;
use crate::chat::ChatRequest;
use crate::command::AdmitRequest;
use crate::command::ControlCommand;
use crate::command::ControlHandle;
use crate::event_stream::DONE_EVENT;
use crate::event_stream::write_event;
use crate::refusal::RequestRefusal;
use crate::relay::AnswerPart;
use crate::relay::ChatRelay;
use crate::relay::RelayRequest;
use crate::request_ids::RequestIdGenerator;
use crate::service_call::CallRunner;
use crate::service_call::ServiceAnswer;
use crate::service_call::ServiceCall;
use crate::upstream_client::UpstreamClient;

/// State shared by all HTTP worker threads.
#[derive(Clone)]
pub struct RouterShared {
    /// Logger, metrics and state of the process.
    pub context: DaemonContext,
    /// Sends commands to the control thread.
    pub control: ControlHandle,
    /// The latest fleet view.
    pub views: watch::Receiver<Arc<FleetView>>,
    /// Generates ids for requests without an idempotency key.
    pub request_ids: Arc<RequestIdGenerator>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
    /// Maximum size of a request body.
    pub max_body: ByteCount,
    /// Maximum time for a request body to arrive.
    pub body_wait: Duration,
}

/// State of one HTTP worker thread.
#[derive(Clone)]
struct WorkerState {
    shared: RouterShared,
    client: Rc<UpstreamClient>,
}

/// Registers the endpoints for callers and operators.
pub fn caller_routes(config: &mut ServiceConfig, shared: &RouterShared) {
    config
        .state(WorkerState {
            shared: shared.clone(),
            client: Rc::default(),
        })
        .route("/v1/chat/completions", web::post().to(complete_chat))
        .route("/v1/models", web::get().to(list_models))
        .route("/v1/services/{name}", web::post().to(invoke_service))
        .route("/explain/{request}", web::get().to(explain_request))
        .service(web::resource("/{path}*").to(unknown_path));
}

async fn unknown_path() -> HttpResponse {
    RequestRefusal::not_run(ResultCode::UnknownPath, "path or method does not exist").response()
}

impl WorkerState {
    fn view(&self) -> Arc<FleetView> {
        self.shared.views.borrow().clone()
    }

    fn identify_caller(&self, request: &HttpRequest) -> Result<CallerIdentity, RequestRefusal> {
        if self.shared.context.state() == ProcessState::Stopping {
            return Err(RequestRefusal::not_run(
                ResultCode::Stopping,
                "router is stopping",
            ));
        }
        let now = self.shared.clock.now();
        CallerIdentity::read(&self.view(), request.headers(), now)
    }

    async fn read_body(&self, payload: Payload) -> Result<Vec<u8>, RequestRefusal> {
        read_body(payload, self.shared.max_body, self.shared.body_wait).await
    }

    fn respond(&self, result: Result<HttpResponse, RequestRefusal>) -> HttpResponse {
        let metrics = &self.shared.context.metrics;
        match result {
            Ok(response) => response,
            Err(refusal) => {
                metrics.count_tagged("requests.refused", refusal.code.into());
                refusal.response()
            }
        }
    }
}

async fn list_models(request: HttpRequest, state: State<WorkerState>) -> HttpResponse {
    let view = state.view();
    let now = state.shared.clock.now();
    let response = find_workspace(&view, request.headers(), now).map(|_| {
        let data: Vec<_> = view
            .models()
            .map(|model| json!({"id": model.as_str(), "object": "model", "owned_by": "snipegate"}))
            .collect();
        HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
    });
    state.respond(response)
}

async fn explain_request(
    request: HttpRequest,
    id: Path<String>,
    state: State<WorkerState>,
) -> HttpResponse {
    let view = state.view();
    let now = state.shared.clock.now();
    // Decisions name upstreams and budgets, so an API key is required.
    let authorized = find_workspace(&view, request.headers(), now).map(drop);
    let Ok(id) = id.parse::<RequestId>() else {
        return unknown_path().await;
    };
    if let Err(refusal) = authorized {
        return refusal.response();
    }
    let decisions = state
        .shared
        .control
        .request(|reply| ControlCommand::Explain { request: id, reply })
        .await;
    HttpResponse::Ok().json(&decisions.unwrap_or_default())
}

async fn complete_chat(
    request: HttpRequest,
    payload: web::types::Payload,
    state: State<WorkerState>,
) -> HttpResponse {
    state.shared.context.metrics.count("requests.chat");
    let result = start_chat(&request, payload.into_inner(), &state).await;
    state.respond(result)
}

async fn start_chat(
    request: &HttpRequest,
    payload: Payload,
    state: &WorkerState,
) -> Result<HttpResponse, RequestRefusal> {
    let caller = state.identify_caller(request)?;
    let body = state.read_body(payload).await?;
    let chat = ChatRequest::parse(&body)?;
    let stream = chat.stream;
    let include_usage = chat.include_usage;
    let (admit, relay) = plan_chat(&state.view(), &caller, chat, &state.shared.request_ids)?;
    let control = &state.shared.control;
    let admission = control
        .request(|reply| ControlCommand::Admit {
            request: Box::new(admit),
            reply,
        })
        .await
        .unwrap_or_else(|| {
            Err(RequestRefusal::not_run(
                ResultCode::Stopping,
                "router has stopped",
            ))
        })?;
    let id = relay.request;
    let relay = ChatRelay::new(
        relay,
        control.clone(),
        Rc::clone(&state.client),
        Arc::clone(&state.shared.clock),
        admission.handle,
        admission.target,
    );
    match stream {
        true => respond_streaming(relay, id, include_usage).await,
        false => respond_whole(relay, id).await,
    }
}

fn plan_chat(
    view: &FleetView,
    caller: &CallerIdentity,
    chat: ChatRequest,
    request_ids: &RequestIdGenerator,
) -> Result<(AdmitRequest, RelayRequest), RequestRefusal> {
    let profile = &caller.profile.record;
    let model = chat.model.clone().unwrap_or_else(|| profile.model.clone());
    if model != profile.model || view.upstreams_of_model(&model).is_empty() {
        return Err(RequestRefusal::not_run(
            ResultCode::UnknownModel,
            format!("profile {} does not serve model {model}", caller.profile.id),
        ));
    }
    let limit = profile
        .max_output_tokens
        .min(caller.workspace.record.max_output_tokens);
    let max_output = match chat.max_output {
        Some(asked) if asked > limit => {
            return Err(RequestRefusal::not_run(
                ResultCode::TokenCountInvalid,
                format!("at most {limit} output tokens are allowed here"),
            ));
        }
        Some(asked) => asked,
        None => profile.default_output_tokens.min(limit),
    };
    let prompt_bound = chat.prompt_bound(profile.prompt_bytes_per_token);
    let scope = format!(
        "{model}/{}/{}",
        profile.version.as_deref().unwrap_or_default(),
        profile.adapter.as_ref().map_or("", |name| name.as_str()),
    );
    let request = caller.request_id(request_ids);
    let route = RouteRequest {
        workspace: caller.workspace_id().clone(),
        profile: caller.profile.id.clone(),
        kind: UpstreamKind::ModelRunner,
        model: model.clone(),
        version: profile.version.clone(),
        adapter: profile.adapter.clone(),
        phase: RequestPhase::Start,
        priority: caller.priority,
        deadline: Some(caller.deadline),
        idempotent: true,
        prompt_tokens: prompt_bound,
        max_tokens: max_output,
        prefix: PromptPrefix::of_prompt(&scope, chat.prompt.as_bytes()),
        failed_upstreams: Vec::new(),
    };
    let admit = AdmitRequest {
        request,
        budget: caller.budget.clone(),
        shard: caller.shard,
        worst_case: prompt_bound.saturating_add(max_output),
        route,
    };
    let relay = RelayRequest {
        request,
        chat,
        model,
        max_output,
        prompt_bound,
        priority: profile.priority.0,
        deadline: caller.deadline,
    };
    Ok((admit, relay))
}

async fn respond_whole(
    mut relay: ChatRelay,
    id: RequestId,
) -> Result<HttpResponse, RequestRefusal> {
    let mut answer = AnswerBuilder::default();
    loop {
        match relay.next().await? {
            AnswerPart::Chunk(chunk) => answer.push(&chunk),
            AnswerPart::Restart => answer = AnswerBuilder::default(),
            AnswerPart::Last { chunks, usage } => {
                chunks.iter().for_each(|chunk| answer.push(chunk));
                return Ok(HttpResponse::Ok()
                    .header("X-Request-Id", id.to_string())
                    .json(&answer.build(usage)));
            }
        }
    }
}

type StreamSender = mpsc::Sender<Result<Bytes, PayloadError>>;

/// Starts a streamed response once the first part is available.
///
/// Until then a refusal can still be returned with its own HTTP status.
async fn respond_streaming(
    mut relay: ChatRelay,
    id: RequestId,
    include_usage: bool,
) -> Result<HttpResponse, RequestRefusal> {
    let first = loop {
        match relay.next().await? {
            AnswerPart::Restart => {}
            part => break part,
        }
    };
    let (sender, receiver) = mpsc::channel();
    spawn(stream_parts(relay, first, sender, include_usage));
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("Cache-Control", "no-cache")
        .header("X-Request-Id", id.to_string())
        .streaming(receiver))
}

/// Streams the parts to the caller until the answer ends or the caller disconnects.
async fn stream_parts(
    mut relay: ChatRelay,
    first: AnswerPart,
    sender: StreamSender,
    include_usage: bool,
) {
    let mut part: Result<AnswerPart, RequestRefusal> = Ok(first);
    loop {
        let (text, last) = match part {
            Ok(AnswerPart::Chunk(chunk)) => (write_event(&chunk), false),
            Ok(AnswerPart::Restart) => (String::new(), false),
            Ok(AnswerPart::Last { chunks, .. }) => (final_events(chunks, include_usage), true),
            Err(refusal) => (format!("data: {}\n\n", refusal.body()), true),
        };
        relay.sent_to_caller(text.len());
        if sender.send(Ok(Bytes::from(text))).is_err() || last {
            return;
        }
        part = relay.next().await;
    }
}

fn final_events(mut chunks: Vec<serde_json::Value>, include_usage: bool) -> String {
    if !include_usage {
        chunks.retain(|chunk| {
            let choices = chunk.get("choices").and_then(|list| list.as_array());
            choices.is_none_or(|list| !list.is_empty())
        });
    }
    let events: String = chunks.iter().map(write_event).collect();
    events + DONE_EVENT
}

async fn invoke_service(
    request: HttpRequest,
    name: Path<String>,
    payload: web::types::Payload,
    state: State<WorkerState>,
) -> HttpResponse {
    state.shared.context.metrics.count("requests.service");
    let result = call_service(&request, &name, payload.into_inner(), &state).await;
    state.respond(result)
}

async fn call_service(
    request: &HttpRequest,
    name: &str,
    payload: Payload,
    state: &WorkerState,
) -> Result<HttpResponse, RequestRefusal> {
    let caller = state.identify_caller(request)?;
    let body = state.read_body(payload).await?;
    let (admit, call) = plan_service(state, &caller, request, name, body)?;
    let id = call.request;
    // A pooled connection can be closed while a call is being written to it, and then
    // it is unknown whether the call ran. A call that must not be repeated therefore
    // uses a new connection.
    let client = match call.repeatable {
        true => Rc::clone(&state.client),
        false => Rc::default(),
    };
    let runner = CallRunner {
        call,
        control: state.shared.control.clone(),
        client,
        views: state.shared.views.clone(),
        clock: Arc::clone(&state.shared.clock),
    };
    // A separate task, so that the call completes even if the caller disconnects.
    let (sender, receiver) = oneshot::channel();
    spawn(async move {
        let _ = sender.send(runner.run(admit).await);
    });
    let answer = receiver.await.unwrap_or_else(|_| {
        Err(RequestRefusal::failed(
            ResultCode::InternalFault,
            snipegate_types::RunState::Unknown,
            "call ended without an answer",
        ))
    })?;
    Ok(service_response(&answer, id))
}

fn plan_service(
    state: &WorkerState,
    caller: &CallerIdentity,
    request: &HttpRequest,
    name: &str,
    body: Vec<u8>,
) -> Result<(AdmitRequest, ServiceCall), RequestRefusal> {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let unknown_service = || {
        RequestRefusal::not_run(
            ResultCode::UnknownService,
            format!("service {name:?} does not exist"),
        )
    };
    let view = state.view();
    let request_ids = &state.shared.request_ids;
    let service: ModelName = name.parse().map_err(|_| unknown_service())?;
    let offer = view
        .upstreams_of_service(&service)
        .iter()
        .flat_map(|entry| &entry.record.services)
        .find(|offer| offer.name == service)
        .ok_or_else(unknown_service)?;
    let requested = header("x-snipegate-repeatable");
    let repeatable = offer.repeatable && requested.as_deref() != Some("false");
    if !repeatable && caller.idempotency_key.is_none() {
        return Err(RequestRefusal::not_run(
            ResultCode::IdempotencyKeyMissing,
            "a call that may not be repeated needs an Idempotency-Key",
        ));
    }
    let id = caller.request_id(request_ids);
    let route = RouteRequest {
        workspace: caller.workspace_id().clone(),
        profile: caller.profile.id.clone(),
        kind: UpstreamKind::ServiceRunner,
        model: service.clone(),
        version: None,
        adapter: None,
        phase: RequestPhase::Start,
        priority: caller.priority,
        deadline: Some(caller.deadline),
        idempotent: repeatable,
        prompt_tokens: TokenCount::ZERO,
        max_tokens: TokenCount::ZERO,
        prefix: PromptPrefix::default(),
        failed_upstreams: Vec::new(),
    };
    let admit = AdmitRequest {
        request: id,
        budget: caller.budget.clone(),
        shard: caller.shard,
        worst_case: offer.tokens_per_call,
        route,
    };
    let call = ServiceCall {
        request: id,
        service,
        body: body.into(),
        content_type: header("content-type").unwrap_or_else(|| "application/json".into()),
        idempotency_key: caller.idempotency_key.clone(),
        repeatable,
        tokens: offer.tokens_per_call,
        shard: caller.shard,
        deadline: caller.deadline,
    };
    Ok((admit, call))
}

fn service_response(answer: &ServiceAnswer, id: RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .content_type("application/json")
        .header("X-Request-Id", id.to_string())
        .header("X-Snipegate-Recorded", answer.recorded.to_string())
        .body(answer.body.clone())
}
