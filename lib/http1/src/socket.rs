//! TCP sockets: connecting, options, and reads and writes through a shared
//! reference, so that one task can watch for the peer's close while another
//! writes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Free space that each read has at least, in bytes.
const READ_SPACE: usize = 4096;

/// Pause between keep-alive probes on a quiet connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was not made. Nothing was sent on it.
#[derive(Debug)]
pub enum ConnectError {
    /// The peer did not answer in time.
    TimedOut,
    /// The peer or the network refused.
    Refused(io::Error),
}

/// Connects with `wait` as the limit, and prepares the socket.
///
/// # Errors
///
/// Fails if no connection is made in time.
pub async fn connect(
    address: SocketAddr,
    wait: Duration,
    silence: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = timeout(wait, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(ConnectError::Refused)?;
    prepare_socket(&stream, silence).map_err(ConnectError::Refused)?;
    Ok(stream)
}

/// Turns off write delays and bounds how long a peer may leave data
/// unacknowledged or keep-alive probes unanswered.
///
/// # Errors
///
/// Fails if the socket is already closed.
pub fn prepare_socket(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(silence)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}

/// Reads what is there into `buffer`; 0 at the end of the stream.
///
/// # Errors
///
/// Fails if the connection was reset.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_SPACE);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes all of `bytes`.
///
/// # Errors
///
/// Fails with the number of bytes that had been taken before the error.
pub async fn write_all(stream: &TcpStream, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.try_write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                stream.writable().await.map_err(|error| (written, error))?;
            }
            Err(error) => return Err((written, error)),
        }
    }
    Ok(())
}
