//! A link on loopback that can be disturbed.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// How a link is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Not at all.
    None,
    /// Bytes come late by this much.
    Slow(Duration),
    /// Bytes towards the listener's side are lost.
    NoWay,
    /// Bytes back to the caller's side are lost.
    NoWayBack,
    /// Bytes are lost both ways.
    Silent,
}

struct State {
    fault: Cell<LinkFault>,
    reset: Notify,
}

/// A link; clones share one state.
#[derive(Clone)]
pub struct TestLink {
    state: Rc<State>,
    address: SocketAddr,
}

impl TestLink {
    /// Opens a link to `target`, on the current local task set.
    ///
    /// # Errors
    ///
    /// Fails if no port is to be had.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            fault: Cell::new(LinkFault::None),
            reset: Notify::new(),
        });
        let shared = Rc::clone(&state);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(carry(Rc::clone(&shared), stream, target));
            }
        });
        Ok(Self { state, address })
    }

    /// Returns the address of the caller's side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Disturbs the link from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.fault.set(fault);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

/// Carries one connection until an end closes or it is reset.
async fn carry(state: Rc<State>, near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else {
        let _ = near.set_zero_linger();
        return;
    };
    // Both ends are reset, not closed, where the link is.
    let _ = near.set_zero_linger();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pass_on(&state, near_read, far_write, LinkFault::NoWay);
    let back = pass_on(&state, far_read, near_write, LinkFault::NoWayBack);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = state.reset.notified() => {}
    }
}

async fn pass_on(state: &State, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: LinkFault) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        match state.fault.get() {
            fault if fault == cut || fault == LinkFault::Silent => continue,
            LinkFault::Slow(pause) => sleep(pause).await,
            _ => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
