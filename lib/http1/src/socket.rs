//! TCP connect, socket options, reads and writes.
//!
//! Reads and writes take a shared reference, so that one task can detect that the peer
//! closed the connection while another writes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::traffic::count_received;
use crate::traffic::count_sent;

/// Minimum free buffer capacity for each read, in bytes.
const MIN_READ_CAPACITY: usize = 4096;

/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Error of a connection attempt. No data was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// The connection was not established in time.
    TimedOut,
    /// The peer or the network refused the connection, or a socket option failed.
    Refused(io::Error),
}

/// Connects within `connect_timeout` and applies [`configure_socket`].
///
/// # Errors
///
/// Returns an error if the connection fails or is not established in time.
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    peer_timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(ConnectError::Refused)?;
    configure_socket(&stream, peer_timeout).map_err(ConnectError::Refused)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and enables detection of unresponsive peers.
///
/// `peer_timeout` is the TCP user timeout, which bounds how long sent data may stay
/// unacknowledged and keep-alive probes unanswered. It is also the idle time before the
/// first keep-alive probe.
///
/// # Errors
///
/// Returns an error if a socket option can't be set, such as on a closed socket.
pub fn configure_socket(stream: &TcpStream, peer_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(peer_timeout)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(peer_timeout))
}

/// Waits for input and reads the available bytes into `buffer`.
///
/// Returns the number of bytes read, which is 0 at the end of the stream.
///
/// # Errors
///
/// Returns an error if the connection fails, such as by a reset.
pub async fn read_available(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(MIN_READ_CAPACITY);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result.inspect(|&count| count_received(count)),
        }
    }
}

/// Writes all of `bytes`.
///
/// # Errors
///
/// Returns the I/O error and the number of bytes that the socket accepted before it.
pub async fn write_all(stream: &TcpStream, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.try_write(&bytes[written..]) {
            Ok(count) => {
                count_sent(count);
                written += count;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                stream.writable().await.map_err(|error| (written, error))?;
            }
            Err(error) => return Err((written, error)),
        }
    }
    Ok(())
}
