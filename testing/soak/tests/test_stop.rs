//! A graceful stop of a process: idle connections close, open requests get an answer, and none is
//! taken that can't end in time.

use std::future::Future;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use snipegate_http1::HttpConnection;
use snipegate_http1::RequestHead;
use snipegate_soak::API_KEY;
use snipegate_soak::EdgeVm;
use snipegate_standin_site::RunnerScript;
use snipegate_standin_site::StandinRunner;
use snipegate_standin_site::StandinStore;
use snipegate_standin_site::runner_entry;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// A stream that lasts 6 s, longer than a stopping process accepts requests.
const LONG_STREAM: RunnerScript = RunnerScript::Stream(40, Duration::from_millis(150));

/// Time limit of the test, which only a hanging test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const CONFIG: &str = r#"{"version":2,"routes":[
    {"name":"s","host":"h.example","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":9000,"goalMs":300,"priority":1,"service":"svc","maxAttempts":1,"public":false,"sticky":false},
    {"name":"b","host":"h.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":9000,"goalMs":100,"priority":1,"service":"svc","maxAttempts":1,"public":false,"sticky":false}],
    "services":[{"name":"svc","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":9000,"idleTimeoutMs":15000},
    "tenants":[{"name":"acme","apiKeys":["KEY"],"priority":1}]}"#;

async fn connect(edge: &EdgeVm) -> HttpConnection {
    loop {
        if let Ok(stream) = TcpStream::connect(edge.caller_address()).await {
            return HttpConnection::new(stream, edge.caller_address(), Instant::now());
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A stand-in runner, and a process that serves its callers.
struct StopWorld {
    runner: StandinRunner,
    edge: EdgeVm,
    _store: StandinStore,
}

impl StopWorld {
    /// Starts the process of VM `vm`, and waits until it has served a request of `path`.
    async fn start(vm: usize, script: RunnerScript) -> Self {
        let store = StandinStore::start().await.expect("store should start");
        let runner = StandinRunner::start(RunnerScript::Complete)
            .await
            .expect("runner should start");
        let entry = runner_entry(runner.address(), "ready");
        store.put("servers/i-0", entry.as_bytes());
        store.put("op/config", CONFIG.replace("KEY", API_KEY).as_bytes());
        let name = format!("snipegate-stop-{}-{vm}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        let run = u64::from(std::process::id() % 40_000);
        let mut edge =
            EdgeVm::new(run, vm, store.address(), directory).expect("settings should be written");
        edge.start().expect("process should start");
        let mut number = 0;
        // The VM responds with 503 until it has received its configuration and upstreams.
        while runner.requests().is_empty() {
            number += 1;
            let client = connect(&edge).await;
            send(&client, "/book/", &format!("start-{number}"), 0).await;
            sleep(Duration::from_millis(100)).await;
        }
        runner.set_script(script);
        Self {
            runner,
            edge,
            _store: store,
        }
    }

    async fn wait_for_end(&mut self) {
        while !self.edge.has_stopped() {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends the head of a request that announces a body of this length.
async fn send(client: &HttpConnection, path: &str, id: &str, body_length: usize) {
    let mut head = RequestHead::new("POST", path);
    head.headers.push("Host", "h.example");
    head.headers.push("X-Attempt-Id", id);
    head.headers.push("X-Deadline-Ms", "9000");
    head.headers
        .push("Authorization", format!("Bearer {API_KEY}"));
    if body_length > 0 {
        head.headers.push("Content-Length", body_length.to_string());
    }
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    client
        .send_unchecked(&bytes)
        .await
        .expect("request should be sent");
}

async fn stop_during_stream() {
    let mut world = StopWorld::start(9, LONG_STREAM).await;
    let mut busy = connect(&world.edge).await;
    let mut idle = connect(&world.edge).await;
    send(&busy, "/stream/", "id-1", 0).await;
    while world.runner.requests().len() < 2 {
        sleep(Duration::from_millis(2)).await;
    }
    assert!(world.edge.stop());
    let response = busy.read_response("POST", 1 << 20);
    tokio::pin!(response);
    tokio::select! {
        _ = &mut response => panic!("the stream ended before the idle connection was closed"),
        _ = idle.read_head() => {}
    }
    assert!(response.await.is_ok(), "the stream was cut off");
    world.wait_for_end().await;
}

/// Sends requests late in a stop, which can't end within its grace period.
async fn stop_with_late_requests() {
    let mut world = StopWorld::start(8, RunnerScript::Echo(Duration::from_millis(5500))).await;
    let known = world.runner.requests().len();
    let mut booking = connect(&world.edge).await;
    let mut stream = connect(&world.edge).await;
    let mut slow_sender = connect(&world.edge).await;
    assert!(world.edge.stop());
    let stopped = Instant::now();
    sleep(Duration::from_millis(2000)).await;
    send(&slow_sender, "/book/", "id-slow", 1).await;
    sleep(Duration::from_millis(300)).await;
    send(&booking, "/book/", "id-late", 0).await;
    send(&stream, "/stream/", "id-stream", 0).await;
    let mut responses = Vec::new();
    for client in [&mut booking, &mut stream] {
        responses.push(client.read_response("POST", 1 << 20).await);
    }
    sleep(Duration::from_millis(6600).saturating_sub(stopped.elapsed())).await;
    let _ = slow_sender.send_unchecked(b"x").await;
    responses.push(slow_sender.read_response("POST", 1 << 20).await);
    for response in responses {
        let response = response.expect("request should have an answer");
        assert_eq!(response.head.status, 503);
        assert!(response.head.headers.contains("Retry-After"));
    }
    assert_eq!(world.runner.requests().len(), known, "they should not run");
    world.wait_for_end().await;
}

/// Stops the process while a booking runs that takes longer than the grace period.
async fn stop_during_long_booking() {
    let mut world = StopWorld::start(7, RunnerScript::Silent).await;
    let known = world.runner.requests().len();
    let mut booking = connect(&world.edge).await;
    send(&booking, "/book/", "id-1", 0).await;
    while world.runner.requests().len() == known {
        sleep(Duration::from_millis(2)).await;
    }
    assert!(world.edge.stop());
    let response = booking.read_response("POST", 1 << 20).await;
    let response = response.expect("request should have an answer");
    assert_eq!(response.head.status, 504);
    world.wait_for_end().await;
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime should build");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test)
            .await
            .expect("test should finish within the time limit");
    });
}

#[test]
fn idle_connections_close_while_a_stream_goes_on() {
    run_local(stop_during_stream());
}

#[test]
fn requests_that_cannot_end_within_the_grace_period_are_refused_and_not_cut() {
    run_local(stop_with_late_requests());
}

#[test]
fn booking_that_outlasts_the_grace_period_is_answered_and_not_cut() {
    run_local(stop_during_long_booking());
}
