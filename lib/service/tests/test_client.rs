//! A failed call reports whether it may have been sent.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use snipegate_service::CallError;
use snipegate_service::MessageClient;

const WAIT: Duration = Duration::from_secs(30);

#[ntex::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = MessageClient::new();
    let result: Result<u32, _> = client.call(address, "/x", &1u32, WAIT).await;
    assert_eq!(result, Err(CallError::NotSent));
}

#[ntex::test]
async fn connection_closed_after_sending_is_reported_as_reply_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        connection.read(&mut request).unwrap()
    });
    let client = MessageClient::new();
    let result: Result<u32, _> = client.call(address, "/x", &1u32, WAIT).await;
    assert!(server.join().unwrap() > 0);
    assert_eq!(result, Err(CallError::ReplyLost));
}
