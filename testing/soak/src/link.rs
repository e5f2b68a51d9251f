//! A loopback proxy for a TCP link that can inject faults.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// The link works.
    None,
    /// Each chunk of bytes is delayed by this much.
    Delay(Duration),
    /// Bytes from the client to the target are dropped.
    DropToTarget,
    /// Bytes from the target to the client are dropped.
    DropToClient,
    /// Bytes are dropped in both directions.
    DropAll,
}

struct State {
    fault: Cell<LinkFault>,
    reset: Notify,
    /// Until when the link refuses connections, as its target does after a crash.
    down_until: Cell<Option<Instant>>,
}

/// A proxy in front of one target. Clones share one state.
#[derive(Clone)]
pub struct LinkProxy {
    state: Rc<State>,
    address: SocketAddr,
}

impl LinkProxy {
    /// Starts a proxy for `target`, on the current local task set.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            fault: Cell::new(LinkFault::None),
            reset: Notify::new(),
            down_until: Cell::new(None),
        });
        spawn_local(accept_connections(
            Rc::clone(&state),
            listener,
            address,
            target,
        ));
        Ok(Self { state, address })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for all connections, including open ones.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.fault.set(fault);
    }

    /// Resets all open connections and refuses new ones for `downtime`.
    pub fn take_down(&self, downtime: Duration) {
        self.state.down_until.set(Some(Instant::now() + downtime));
        self.reset();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

/// Accepts connections, except while the link is down.
async fn accept_connections(
    state: Rc<State>,
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    return;
                };
                spawn_local(forward_connection(Rc::clone(&state), stream, target));
            }
            () = state.reset.notified() => {}
        }
        if let Some(until) = state.down_until.take() {
            drop(listener);
            sleep(until.saturating_duration_since(Instant::now())).await;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }
}

/// Forwards one connection until both directions have ended or the link is reset.
async fn forward_connection(state: Rc<State>, client: TcpStream, target: SocketAddr) {
    let Ok(target) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    // With zero linger, dropping the client side resets the connection, as on a link that
    // breaks, instead of closing it.
    let _ = client.set_zero_linger();
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = forward_bytes(&state, client_read, target_write, LinkFault::DropToTarget);
    let to_client = forward_bytes(&state, target_read, client_write, LinkFault::DropToClient);
    tokio::select! {
        () = async { tokio::join!(to_target, to_client); } => {}
        () = state.reset.notified() => {}
    }
}

/// Forwards one direction of a connection. Drops its bytes under the faults `drop_fault`
/// and `DropAll`.
async fn forward_bytes(
    state: &State,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    drop_fault: LinkFault,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        match state.fault.get() {
            fault if fault == drop_fault || fault == LinkFault::DropAll => continue,
            LinkFault::Delay(delay) => sleep(delay).await,
            _ => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
