//! The guard port: proof that an earlier process of this role has ended.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

/// A port held from start until the process ends, never accepted on.
///
/// The operating system frees it only when the process has ended, also when
/// the process is paused, so whoever holds it has no predecessor that runs.
#[derive(Debug)]
pub struct GuardPort {
    listener: TcpListener,
}

impl GuardPort {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Fails if another process holds it.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Ok(Self { listener })
    }

    /// Returns the address held.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}
