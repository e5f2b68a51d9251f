//! Calls to upstreams over connections that open at the same time.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use ntex::time::Millis;
use ntex::time::sleep;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use ntex::web::test;
use snipegate_router::upstream_client::UpstreamClient;

/// Longest wait for an answer; generous, since nothing is timed.
const WAIT: Duration = Duration::from_secs(10);

/// Requests sent together.
const CALLS: usize = 50;

/// Requests that have reached the upstream.
static ARRIVED: AtomicUsize = AtomicUsize::new(0);

/// Answers the first request at once, and the others when all have arrived.
async fn slow() -> HttpResponse {
    let arrived = ARRIVED.fetch_add(1, Ordering::SeqCst);
    while arrived > 0 && ARRIVED.load(Ordering::SeqCst) <= CALLS {
        sleep(Millis(10)).await;
    }
    HttpResponse::Ok().body(Bytes::from_static(b"done"))
}

async fn call(client: &UpstreamClient, address: SocketAddr) -> Option<Vec<u8>> {
    let mut answer = client.fetch(address, "/slow", WAIT).await.ok()?;
    answer.read_all(WAIT, 1_024).await.ok()
}

#[ntex::test]
async fn requests_that_open_connections_together_are_all_answered() {
    let server = test::server(async || App::new().route("/slow", web::get().to(slow))).await;
    let client = UpstreamClient::new();
    // The first call makes the pool that the others share.
    assert!(call(&client, server.addr()).await.is_some());
    let calls = (0..CALLS).map(|_| call(&client, server.addr()));
    let answers = join_all(calls).await;
    let answered = answers.iter().flatten().filter(|body| *body == b"done");
    assert_eq!(answered.count(), CALLS);
}
