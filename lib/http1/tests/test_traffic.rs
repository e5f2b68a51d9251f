//! Guards against sockets whose bytes are not counted: a VM would take its link to be free
//! while it is full. Each function that reads or writes a socket counts by itself.

use std::time::Instant;

use bytes::BytesMut;
use snipegate_http1::HttpConnection;
use snipegate_http1::SocketTraffic;
use snipegate_http1::read_available;
use snipegate_http1::write_all;
use snipegate_types::ByteCount;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

async fn serve_one(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = BytesMut::new();
    while buffer.len() < REQUEST.len() {
        let count = read_available(&stream, &mut buffer).await;
        assert!(count.is_ok_and(|count| count > 0));
    }
    write_all(&stream, RESPONSE).await.expect("a response");
}

#[test]
fn exchange_is_counted_at_both_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let before = SocketTraffic::of_streams();
        let exchange = async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let mut connection = HttpConnection::new(stream, address, Instant::now());
            connection.send(REQUEST).await.expect("a sent request");
            let response = connection.read_response("GET", 100).await;
            assert_eq!(&response.expect("a response").body[..], b"ok");
        };
        tokio::join!(exchange, serve_one(listener));
        let traffic = SocketTraffic::of_streams().since(before);
        let expected = ByteCount((REQUEST.len() + RESPONSE.len()) as u64);
        assert_eq!((traffic.received, traffic.sent), (expected, expected));
    });
}
