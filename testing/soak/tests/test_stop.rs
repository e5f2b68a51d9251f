//! A planned stop while a long stream is open.

use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use snipegate_http1::HttpConnection;
use snipegate_http1::RequestHead;
use snipegate_soak::EdgeVm;
use snipegate_soak::KEY;
use snipegate_standin_site::RunnerScript;
use snipegate_standin_site::StandinRunner;
use snipegate_standin_site::StandinStore;
use snipegate_standin_site::runner_entry;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// A stream that lasts 6 s, longer than a stopping front takes requests.
const LONG_STREAM: RunnerScript = RunnerScript::Stream(40, Duration::from_millis(150));

/// Longest wait for anything; only a hang takes it.
const PATIENCE: Duration = Duration::from_secs(30);

const CONFIG: &str = r#"{"version":2,"routes":[
    {"name":"s","host":"h.example","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":9000,"goalMs":300,"priority":1,"service":"svc","maxAttempts":1,"public":false,"sticky":false}],
    "services":[{"name":"svc","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"acme","apiKeys":["KEY"],"priority":1}]}"#;

async fn connect(edge: &EdgeVm) -> HttpConnection {
    loop {
        if let Ok(stream) = TcpStream::connect(edge.front()).await {
            return HttpConnection::new(stream, edge.front(), Instant::now());
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn play() {
    let store = StandinStore::start().await.expect("a store");
    let runner = StandinRunner::start(LONG_STREAM).await.expect("a runner");
    let entry = runner_entry(runner.address(), "ready");
    store.put("servers/i-0", entry.as_bytes());
    store.put("op/config", CONFIG.replace("KEY", KEY).as_bytes());
    let directory = std::env::temp_dir().join(format!("snipegate-stop-{}", std::process::id()));
    let run = u64::from(std::process::id() % 40_000);
    let mut edge = EdgeVm::new(run, 9, store.address(), directory).expect("settings");
    edge.start().expect("a process");
    let mut busy = connect(&edge).await;
    let mut idle = connect(&edge).await;
    let mut head = RequestHead::new("POST", "/stream/");
    head.headers.push("Host", "h.example");
    head.headers.push("X-Attempt-Id", "id-1");
    head.headers.push("X-Deadline-Ms", "9000");
    head.headers.push("Authorization", format!("Bearer {KEY}"));
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    while runner.seen().is_empty() {
        // It answers 503 until it knows its configuration and upstreams.
        busy = connect(&edge).await;
        busy.send_unchecked(&bytes).await.expect("sent");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(edge.stop());
    let answer = busy.read_response("POST", 1 << 20);
    tokio::pin!(answer);
    tokio::select! {
        _ = &mut answer => panic!("the stream ended first"),
        _ = idle.read_head() => {}
    }
    assert!(answer.await.is_ok(), "the stream was cut off");
    while !edge.has_stopped() {
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn idle_connections_close_while_a_stream_goes_on() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(PATIENCE, play()).await.expect("no hang");
    });
}
