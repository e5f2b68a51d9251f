//! Target addresses, fixed or from directories.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ntex::SharedCfg;
use ntex::client::ClientBuilder;
use serde::Deserialize;

/// How long to keep the old addresses after no directory responded.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct DirectoryResponse {
    addresses: Vec<DirectoryEntry>,
    keep_for_ms: u64,
}

#[derive(Debug, Deserialize)]
struct DirectoryEntry {
    address: SocketAddr,
}

/// Addresses over which requests are distributed.
pub struct AddressPool {
    directories: Vec<SocketAddr>,
    state: RefCell<PoolState>,
}

struct PoolState {
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
    next: usize,
}

impl AddressPool {
    /// Creates a pool of fixed addresses.
    pub fn fixed(addresses: Vec<SocketAddr>) -> Self {
        Self::new(addresses, Vec::new())
    }

    /// Creates a pool that gets its addresses from directories.
    pub fn from_directories(directories: Vec<SocketAddr>) -> Self {
        Self::new(Vec::new(), directories)
    }

    fn new(addresses: Vec<SocketAddr>, directories: Vec<SocketAddr>) -> Self {
        Self {
            directories,
            state: RefCell::new(PoolState {
                addresses,
                valid_until: None,
                next: 0,
            }),
        }
    }

    /// Refreshes expired addresses. Queries the directories in order until one responds.
    pub async fn refresh(&self, now: Instant) {
        let fresh = |until: Instant| until > now;
        if self.directories.is_empty() || self.state.borrow().valid_until.is_some_and(fresh) {
            return;
        }
        // Keeps concurrent requests from querying the directories too.
        self.state.borrow_mut().valid_until = Some(now + RETRY_INTERVAL);
        for directory in &self.directories {
            if let Some(response) = Self::query(*directory).await {
                let addresses = response.addresses.into_iter().map(|entry| entry.address);
                let mut state = self.state.borrow_mut();
                state.addresses = addresses.collect();
                state.valid_until = Some(now + Duration::from_millis(response.keep_for_ms));
                return;
            }
        }
    }

    async fn query(directory: SocketAddr) -> Option<DirectoryResponse> {
        let url = format!("http://{directory}/v1/addresses");
        // Queries are rare, so each one uses a new client and connection.
        let client = ClientBuilder::new().build(SharedCfg::new("directory"));
        let response = client.await.ok()?.get(url).send().await.ok()?;
        response.json().await.ok()
    }

    /// Returns the next address in round-robin order.
    pub fn next(&self) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        if state.addresses.is_empty() {
            return None;
        }
        state.next = (state.next + 1) % state.addresses.len();
        Some(state.addresses[state.next])
    }
}
