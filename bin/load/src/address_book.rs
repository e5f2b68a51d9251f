//! Which routers requests are sent to.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ntex::SharedCfg;
use ntex::client::ClientBuilder;
use serde::Deserialize;

/// How long to go on with old addresses after the directory gave none.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct DirectoryAnswer {
    addresses: Vec<DirectoryAddress>,
    keep_for_ms: u64,
}

#[derive(Debug, Deserialize)]
struct DirectoryAddress {
    address: SocketAddr,
}

/// The addresses that requests are spread over.
pub struct AddressBook {
    directories: Vec<SocketAddr>,
    state: RefCell<BookState>,
}

struct BookState {
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
    next: usize,
}

impl AddressBook {
    /// Makes a book of fixed addresses.
    pub fn fixed(addresses: Vec<SocketAddr>) -> Self {
        Self::new(addresses, Vec::new())
    }

    /// Makes a book that asks directories.
    pub fn from_directories(directories: Vec<SocketAddr>) -> Self {
        Self::new(Vec::new(), directories)
    }

    fn new(addresses: Vec<SocketAddr>, directories: Vec<SocketAddr>) -> Self {
        Self {
            directories,
            state: RefCell::new(BookState {
                addresses,
                valid_until: None,
                next: 0,
            }),
        }
    }

    /// Asks the directories if the addresses are too old, one after the other
    /// until one answers.
    pub async fn refresh(&self, now: Instant) {
        let fresh = |until: Instant| until > now;
        if self.directories.is_empty() || self.state.borrow().valid_until.is_some_and(fresh) {
            return;
        }
        // One request at a time asks.
        self.state.borrow_mut().valid_until = Some(now + RETRY_INTERVAL);
        for directory in &self.directories {
            if let Some(answer) = Self::ask(*directory).await {
                let addresses = answer.addresses.into_iter().map(|named| named.address);
                let mut state = self.state.borrow_mut();
                state.addresses = addresses.collect();
                state.valid_until = Some(now + Duration::from_millis(answer.keep_for_ms));
                return;
            }
        }
    }

    async fn ask(directory: SocketAddr) -> Option<DirectoryAnswer> {
        let url = format!("http://{directory}/v1/addresses");
        // A fresh connection each time: asking is rare.
        let client = ClientBuilder::new().build(SharedCfg::new("directory"));
        let response = client.await.ok()?.get(url).send().await.ok()?;
        response.json().await.ok()
    }

    /// Returns the next address in turn.
    pub fn next(&self) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        if state.addresses.is_empty() {
            return None;
        }
        state.next = (state.next + 1) % state.addresses.len();
        Some(state.addresses[state.next])
    }
}
