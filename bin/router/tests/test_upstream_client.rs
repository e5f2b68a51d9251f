//! Tests of concurrent calls to an upstream over newly opened connections.

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

/// Maximum wait for a response. Generous, since response time is not under test.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Number of concurrent requests.
const CALLS: usize = 50;

/// Number of requests that have reached the upstream.
static ARRIVED: AtomicUsize = AtomicUsize::new(0);

/// Answers the first request immediately, and the others once all of them have arrived.
async fn respond_after_all_arrived() -> HttpResponse {
    let arrived = ARRIVED.fetch_add(1, Ordering::SeqCst);
    while arrived > 0 && ARRIVED.load(Ordering::SeqCst) <= CALLS {
        sleep(Millis(10)).await;
    }
    HttpResponse::Ok().body(Bytes::from_static(b"done"))
}

async fn call(client: &UpstreamClient, address: SocketAddr) -> Option<Vec<u8>> {
    let mut response = client.fetch(address, "/slow", TIMEOUT).await.ok()?;
    response.read_all(TIMEOUT, 1_024).await.ok()
}

#[ntex::test]
async fn concurrent_requests_on_new_connections_all_get_responses() {
    let server =
        test::server(async || App::new().route("/slow", web::get().to(respond_after_all_arrived)))
            .await;
    let client = UpstreamClient::new();
    // The first call creates the connection pool that the others share.
    assert!(call(&client, server.addr()).await.is_some());
    let calls = (0..CALLS).map(|_| call(&client, server.addr()));
    let answers = join_all(calls).await;
    let answered = answers.iter().flatten().filter(|body| *body == b"done");
    assert_eq!(answered.count(), CALLS);
}
