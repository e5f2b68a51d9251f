//! The auxiliary HTTP servers: addresses, readiness and metrics.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use slog::info;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_http1::parse_request_head;
use snipegate_http1::read_available;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::CallerWriter;
use crate::directory::choose_addresses;
use crate::gateway::Gateway;
use crate::stage::VmStage;

/// How long a connection may be idle or a request head may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the status and the body of the response to a request of a client with this IP number.
type Handler = fn(&Gateway, &RequestHead, IpAddr) -> (u16, Bytes);

/// Serves callers' address queries.
pub async fn serve_addresses(gateway: Rc<Gateway>, listener: TcpListener) {
    serve(gateway, listener, "application/json", handle_addresses).await;
}

/// Serves readiness probes.
pub async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    serve(gateway, listener, "text/plain", handle_readiness).await;
}

/// Serves the metrics.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    serve(gateway, listener, "text/plain", handle_metrics).await;
}

fn handle_addresses(gateway: &Gateway, head: &RequestHead, client: IpAddr) -> (u16, Bytes) {
    let Some(query) = gateway.wire_format.decode_address_query(head) else {
        return (404, Bytes::new());
    };
    let addresses = choose_addresses(gateway, &query, client);
    gateway.metrics.count("addresses.answered");
    if addresses.is_empty() {
        return (503, Bytes::new());
    }
    let body = gateway
        .wire_format
        .encode_addresses(&addresses, gateway.settings.address_ttl);
    (200, body.into())
}

fn handle_readiness(gateway: &Gateway, head: &RequestHead, _client: IpAddr) -> (u16, Bytes) {
    if !gateway.wire_format.is_readiness_probe(head) {
        return (404, Bytes::new());
    }
    match gateway.stage.get() {
        VmStage::Serving if gateway.room.readiness.borrow().is_ready() => (200, Bytes::new()),
        VmStage::Starting | VmStage::Serving | VmStage::Leaving => (503, Bytes::new()),
    }
}

fn handle_metrics(gateway: &Gateway, _head: &RequestHead, _client: IpAddr) -> (u16, Bytes) {
    (200, gateway.metrics.render().into())
}

async fn serve(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    content_type: &'static str,
    handler: Handler,
) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(async move {
                    let client = client.ip();
                    serve_connection(&gateway, &stream, client, content_type, handler).await;
                });
            }
            Err(error) => {
                info!(gateway.log, "failed to accept connection"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: &Gateway,
    stream: &TcpStream,
    client: IpAddr,
    content_type: &str,
    handler: Handler,
) {
    let mut buffer = BytesMut::new();
    while let Ok(Some(request)) = timeout(REQUEST_TIMEOUT, read_head(stream, &mut buffer)).await {
        let (status, body) = handler(gateway, &request, client);
        let reason = if status == 200 { "OK" } else { "Unavailable" };
        let mut head = ResponseHead::new(status, reason);
        head.headers.push("Content-Type", content_type);
        let mut writer = CallerWriter::new(stream, request.wants_close(), false);
        if writer.write_response(head, &body).await.is_err() || writer.close {
            return;
        }
    }
}

/// Reads the head of a request; a body is not supported. Returns `None` if the connection
/// should close.
async fn read_head(stream: &TcpStream, buffer: &mut BytesMut) -> Option<RequestHead> {
    loop {
        let (head, length) = match parse_request_head(buffer).ok()? {
            Some(parsed) => parsed,
            None if buffer.len() > MAX_HEAD_BYTES => return None,
            None => {
                if !matches!(read_available(stream, buffer).await, Ok(1..)) {
                    return None;
                }
                continue;
            }
        };
        let _ = buffer.split_to(length);
        return Some(head);
    }
}
