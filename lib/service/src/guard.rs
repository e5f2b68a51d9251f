//! The guard port, which ensures that at most one process of a role runs on a VM.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

/// A listening port held for the lifetime of the process, on which no connection is
/// accepted.
///
/// The operating system releases the port only when the process exits, and not
/// while the process is paused. A process that holds the port can therefore be sure
/// that its predecessor has exited.
#[derive(Debug)]
pub struct GuardPort {
    listener: TcpListener,
}

impl GuardPort {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound, for instance because another
    /// process holds it.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}
