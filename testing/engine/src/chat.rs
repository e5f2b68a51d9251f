//! Chat completion endpoint, with streamed and JSON responses.

use std::io;

use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Json;
use ntex::web::types::State;
use serde_json::Value;
use serde_json::json;

use crate::generation::Generation;
use crate::generation::GenerationRequest;
use crate::generation::GenerationStep;
use crate::prompt::ChatBody;
use crate::prompt::PromptPlan;
use crate::state::EngineState;

/// Header with the request ID.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the number of output tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header with the priority, an integer; higher values are served first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Maximum output tokens if the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 4_096;

/// Returns the value of a header, or an empty string if it is absent or invalid.
pub(crate) fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Serves `POST /v1/chat/completions`.
pub async fn complete_chat(
    request: HttpRequest,
    body: Json<ChatBody>,
    state: State<EngineState>,
) -> HttpResponse {
    let state = state.get_ref().clone();
    if let Some(refusal) = find_refusal(&state, &body.model).await {
        return refusal;
    }
    let generation = GenerationRequest {
        request_id: header(&request, REQUEST_ID_HEADER).to_owned(),
        plan: PromptPlan::new(&body.model, &body.prompt()),
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        resume_from: header(&request, RESUME_HEADER).parse().unwrap_or(0),
        priority: header(&request, PRIORITY_HEADER).parse().unwrap_or(0),
    };
    let body = body.into_inner();
    if body.stream {
        stream_response(state, generation, body.model)
    } else {
        json_response(state, generation, body.model).await
    }
}

/// Returns the error response if the request must be refused.
///
/// Never returns while the stand-in is set to leave requests unanswered.
async fn find_refusal(state: &EngineState, model: &str) -> Option<HttpResponse> {
    let (silent, refused, known) = {
        let inner = state.lock();
        let models = &inner.settings.models;
        let known = models.is_empty() || models.iter().any(|served| served == model);
        (inner.faults.silent, inner.faults.refuse, known)
    };
    if silent {
        std::future::pending::<()>().await;
    }
    if refused {
        Some(HttpResponse::ServiceUnavailable().json(&json!({"error": "refused"})))
    } else if !known {
        Some(HttpResponse::NotFound().json(&json!({"error": "unknown model"})))
    } else {
        None
    }
}

/// Progress of a streamed response.
enum StreamState {
    Waiting(EngineState, GenerationRequest),
    Running(Box<Generation>),
    Ended,
}

fn stream_response(state: EngineState, request: GenerationRequest, model: String) -> HttpResponse {
    let id = request.request_id.clone();
    let first = StreamState::Waiting(state, request);
    let events = stream::unfold(first, move |stream_state| {
        next_events(stream_state, id.clone(), model.clone())
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

/// Returns the next bytes of a stream and its state after them.
async fn next_events(
    stream_state: StreamState,
    id: String,
    model: String,
) -> Option<(Result<Bytes, io::Error>, StreamState)> {
    let mut generation = match stream_state {
        StreamState::Waiting(state, request) => Box::new(Generation::start(state, request).await),
        StreamState::Running(generation) => generation,
        StreamState::Ended => return None,
    };
    let chunk = |delta: Value, finish: Value, usage: Value| {
        let chunk = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
            "usage": usage,
        });
        format!("data: {chunk}\n\n")
    };
    match generation.next().await {
        GenerationStep::Token(text) => {
            let event = chunk(json!({"content": text}), Value::Null, Value::Null);
            Some((Ok(event.into()), StreamState::Running(generation)))
        }
        GenerationStep::End => {
            let event = chunk(
                json!({}),
                finish_reason(&generation).into(),
                usage(&generation),
            );
            let end = format!("{event}data: [DONE]\n\n");
            Some((Ok(end.into()), StreamState::Ended))
        }
        GenerationStep::Close => Some((
            Err(io::ErrorKind::ConnectionAborted.into()),
            StreamState::Ended,
        )),
    }
}

async fn json_response(
    state: EngineState,
    request: GenerationRequest,
    model: String,
) -> HttpResponse {
    let id = request.request_id.clone();
    let mut generation = Generation::start(state, request).await;
    let mut text = String::new();
    loop {
        match generation.next().await {
            GenerationStep::Token(token) => text.push_str(&token),
            GenerationStep::End => break,
            // A handler cannot close its connection, so the request is left unanswered.
            GenerationStep::Close => std::future::pending().await,
        }
    }
    let message = json!({"role": "assistant", "content": text});
    HttpResponse::Ok().json(&json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": message,
            "finish_reason": finish_reason(&generation),
        }],
        "usage": usage(&generation),
    }))
}

fn finish_reason(generation: &Generation) -> &'static str {
    if generation.answer_tokens() < generation.plan().answer_tokens {
        "length"
    } else {
        "stop"
    }
}

fn usage(generation: &Generation) -> Value {
    let prompt = generation.plan().prompt_tokens;
    let completion = generation.answer_tokens();
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens()},
    })
}
