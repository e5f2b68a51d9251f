//! Tests the engine stand-in over HTTP.

use std::time::Duration;

use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::time::sleep;
use ntex::web::App;
use ntex::web::test;
use ntex::web::test::TestServer;
use serde_json::Value;
use serde_json::json;
use snipegate_standin_engine::EngineSettings;
use snipegate_standin_engine::EngineState;
use snipegate_standin_engine::FaultChange;
use snipegate_standin_engine::IDEMPOTENCY_KEY_HEADER;
use snipegate_standin_engine::PromptPlan;
use snipegate_standin_engine::REQUEST_ID_HEADER;
use snipegate_standin_engine::RESUME_HEADER;
use snipegate_standin_engine::StreamFault;
use snipegate_standin_engine::WorkState;
use snipegate_standin_engine::configure;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of checks before a wait fails, which amounts to 30 s.
const MAX_POLLS: usize = 3_000;

fn engine() -> EngineState {
    EngineState::new(EngineSettings {
        name: "e1".to_owned(),
        models: vec!["m".to_owned()],
        version: "1".to_owned(),
        slots: 2,
        prefill: Duration::ZERO,
        decode: Duration::from_millis(1),
        decode_per_request: Duration::ZERO,
        cache_blocks: 4,
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_gap: 0.0,
        honours_fencing: true,
        service_time: Duration::ZERO,
        seed: 1,
    })
}

async fn serve(state: &EngineState) -> TestServer {
    let state = state.clone();
    test::server(async move || App::new().state(state.clone()).configure(configure)).await
}

async fn wait_until(state: &EngineState, condition: impl Fn(&EngineState) -> bool) {
    for _ in 0..MAX_POLLS {
        if condition(state) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met in time: {:?}", state.lock().records());
}

async fn chat(server: &TestServer, text: &str, resume: u64, stream: bool) -> ClientResponse {
    let body = json!({
        "model": "m",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    });
    server
        .post("/v1/chat/completions")
        .header(REQUEST_ID_HEADER, "r1")
        .header(RESUME_HEADER, resume.to_string())
        .timeout(Duration::from_secs(30))
        .send_json(&body)
        .await
        .unwrap()
}

/// Reads a stream to its end and returns its text, its usage and whether it is
/// complete.
async fn read_stream(response: ClientResponse) -> (String, Value, bool) {
    let mut payload = response.take_payload();
    let mut bytes = Vec::new();
    while let Some(Ok(part)) = payload.next().await {
        bytes.extend_from_slice(&part);
    }
    let text = String::from_utf8(bytes).unwrap();
    let mut answer = String::new();
    let mut usage = Value::Null;
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let Ok(chunk) = serde_json::from_str::<Value>(line) else {
            continue;
        };
        answer.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
        usage = chunk["usage"].clone();
    }
    (answer, usage, text.ends_with("data: [DONE]\n\n"))
}

#[ntex::test]
async fn test_stream_and_json_return_the_expected_answer() {
    let state = engine();
    let server = serve(&state).await;
    let plan = PromptPlan::new("m", "user\nhello marker:a answer:5\n");
    let (answer, usage, complete) =
        read_stream(chat(&server, "hello marker:a answer:5", 0, true).await).await;
    assert!(complete);
    assert_eq!(answer, plan.answer(5));
    assert_eq!(usage["prompt_tokens"], plan.prompt_tokens);
    assert_eq!(usage["completion_tokens"], 5);

    let response = chat(&server, "hello marker:a answer:5", 0, false).await;
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], answer);
    assert_eq!(body["usage"]["total_tokens"], plan.prompt_tokens + 5);
}

#[ntex::test]
async fn test_resume_returns_remaining_tokens() {
    let state = engine();
    let server = serve(&state).await;
    let plan = PromptPlan::new("m", "user\nx answer:5\n");
    let (answer, usage, _) = read_stream(chat(&server, "x answer:5", 3, true).await).await;
    assert_eq!(answer, plan.token(3) + &plan.token(4));
    assert_eq!(usage["completion_tokens"], 5);
}

#[ntex::test]
async fn test_dropped_stream_is_cancelled_and_releases_slot() {
    let state = engine();
    let server = serve(&state).await;
    for _ in 0..5 {
        let response = chat(&server, "x answer:1000000", 0, true).await;
        let mut payload = response.take_payload();
        payload.next().await.unwrap().unwrap();
    }
    wait_until(&state, |state| {
        let inner = state.lock();
        let cancelled =
            |record: &snipegate_standin_engine::WorkRecord| record.state == WorkState::Cancelled;
        inner.records().iter().all(cancelled) && inner.slots.running() == 0
    })
    .await;
}

#[ntex::test]
async fn test_closed_stream_is_incomplete() {
    let state = engine();
    let server = serve(&state).await;
    let close = StreamFault {
        after_tokens: 2,
        times: 1,
    };
    state.change_faults(&FaultChange {
        close: Some(close),
        ..FaultChange::default()
    });
    let (_, _, complete) = read_stream(chat(&server, "x answer:5", 0, true).await).await;
    assert!(!complete);
    let (_, _, complete) = read_stream(chat(&server, "x answer:5", 0, true).await).await;
    assert!(complete);
}

#[ntex::test]
async fn test_cache_is_bounded_and_publishes_events() {
    let state = engine();
    let server = serve(&state).await;
    let long_prompt = "word ".repeat(256);
    for _ in 0..2 {
        read_stream(chat(&server, &long_prompt, 0, true).await).await;
    }
    let response = server.get("/cache-events?after=0").send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    let events = body["events"].as_array().unwrap();
    assert!(events[0]["change"]["stored"].is_array());
    assert!(events[1]["change"]["removed"].is_array());
    assert_eq!(state.lock().cache.len(), 4);
}

#[ntex::test]
async fn test_outdated_fence_is_rejected() {
    let state = engine();
    let server = serve(&state).await;
    for (fence, status) in [(7, 200), (6, 409)] {
        let action = json!({"change_role": {"role": "decode"}});
        let response = server
            .post("/orders")
            .send_json(&json!({"fence": fence, "action": action}))
            .await
            .unwrap();
        assert_eq!(response.status().as_u16(), status);
    }
    assert_eq!(state.lock().orders.executed().len(), 1);
}

#[ntex::test]
async fn test_service_records_each_call_with_the_same_key() {
    let state = engine();
    let server = serve(&state).await;
    for _ in 0..2 {
        let response = server
            .post("/services/booking")
            .header(IDEMPOTENCY_KEY_HEADER, "k1")
            .send_json(&json!({"units": 3}))
            .await
            .unwrap();
        assert_eq!(response.status().as_u16(), 200);
    }
    let inner = state.lock();
    let keys: Vec<&str> = inner.records().iter().map(|record| &*record.key).collect();
    assert_eq!(keys, ["k1", "k1"]);
}
