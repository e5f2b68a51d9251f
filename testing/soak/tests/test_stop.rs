//! A graceful stop while a long stream is open: idle connections close, the stream does
//! not.

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
    {"name":"s","host":"h.example","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":9000,"goalMs":300,"priority":1,"service":"svc","maxAttempts":1,"public":false,"sticky":false}],
    "services":[{"name":"svc","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"acme","apiKeys":["KEY"],"priority":1}]}"#;

async fn connect(edge: &EdgeVm) -> HttpConnection {
    loop {
        if let Ok(stream) = TcpStream::connect(edge.caller_address()).await {
            return HttpConnection::new(stream, edge.caller_address(), Instant::now());
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn stop_during_stream() {
    let store = StandinStore::start().await.expect("store should start");
    let runner = StandinRunner::start(LONG_STREAM)
        .await
        .expect("runner should start");
    let entry = runner_entry(runner.address(), "ready");
    store.put("servers/i-0", entry.as_bytes());
    store.put("op/config", CONFIG.replace("KEY", API_KEY).as_bytes());
    let directory = std::env::temp_dir().join(format!("snipegate-stop-{}", std::process::id()));
    let run = u64::from(std::process::id() % 40_000);
    let mut edge =
        EdgeVm::new(run, 9, store.address(), directory).expect("settings should be written");
    edge.start().expect("process should start");
    let mut busy = connect(&edge).await;
    let mut idle = connect(&edge).await;
    let mut head = RequestHead::new("POST", "/stream/");
    head.headers.push("Host", "h.example");
    head.headers.push("X-Attempt-Id", "id-1");
    head.headers.push("X-Deadline-Ms", "9000");
    head.headers
        .push("Authorization", format!("Bearer {API_KEY}"));
    let mut bytes = BytesMut::new();
    head.write(&mut bytes);
    while runner.requests().is_empty() {
        // The VM responds with 503 until it has received its configuration and upstreams.
        busy = connect(&edge).await;
        busy.send_unchecked(&bytes)
            .await
            .expect("request should be sent");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(edge.stop());
    let response = busy.read_response("POST", 1 << 20);
    tokio::pin!(response);
    tokio::select! {
        _ = &mut response => panic!("the stream ended before the idle connection was closed"),
        _ = idle.read_head() => {}
    }
    assert!(response.await.is_ok(), "the stream was cut off");
    while !edge.has_stopped() {
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn idle_connections_close_while_a_stream_goes_on() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime should build");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, stop_during_stream())
            .await
            .expect("test should finish within the time limit");
    });
}
