//! Listens on loopback, reads requests and writes responses.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use snipegate_http1::BodyDecoder;
use snipegate_http1::DecodeStep;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_http1::parse_request_head;
use snipegate_http1::read_available;
use snipegate_http1::request_framing;
use snipegate_http1::write_all;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Listens on loopback and serves each connection on the current local task set.
///
/// Returns the address of the listener.
///
/// # Errors
///
/// Fails if the listener can't be bound.
pub async fn listen<S: Clone + 'static, F: Future<Output = ()> + 'static>(
    state: S,
    serve: impl Fn(S, TcpStream) -> F + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(state.clone(), stream));
        }
    });
    Ok(address)
}

/// Reads one request. Returns `None` if the connection ends or the request is invalid.
pub async fn read_request(
    stream: &TcpStream,
    buffer: &mut BytesMut,
) -> Option<(RequestHead, Vec<u8>)> {
    let head = read_head(stream, buffer).await?;
    let body = read_body(stream, buffer, &head).await?;
    Some((head, body))
}

/// Reads the head of a request. Returns `None` if the connection ends or the head is
/// invalid.
pub async fn read_head(stream: &TcpStream, buffer: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Some((head, length)) = parse_request_head(buffer).ok()? {
            let _ = buffer.split_to(length);
            return Some(head);
        }
        if read_available(stream, buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads the body of a request. Returns `None` if the connection ends first or the body
/// is invalid.
pub async fn read_body(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    head: &RequestHead,
) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(request_framing(head).ok()?);
    let mut body = Vec::new();
    loop {
        match decoder.decode(buffer).ok()? {
            DecodeStep::Data(data) => body.extend_from_slice(&data),
            DecodeStep::End => return Some(body),
            DecodeStep::NeedMore => {
                if read_available(stream, buffer).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

/// Writes a response with a `Content-Length`. Returns whether the write succeeded.
pub async fn write_response(stream: &TcpStream, mut head: ResponseHead, body: &[u8]) -> bool {
    head.headers.push("Content-Length", body.len().to_string());
    let mut out = BytesMut::new();
    head.write(&mut out);
    out.extend_from_slice(body);
    write_all(stream, &out).await.is_ok()
}
