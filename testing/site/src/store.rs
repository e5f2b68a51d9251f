//! The platform's key-value store in memory.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use serde_json::Value;
use serde_json::json;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_http1::write_all;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::server::listen;
use crate::server::read_request;
use crate::server::write_answer;

/// Path of a call that waits for changes.
const WATCH_PATH: &str = "/-/kv-watch";

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers.
    None,
    /// It refuses with 503.
    Busy,
    /// It refuses with 429.
    RateLimited,
    /// It does not answer and does nothing.
    Silent,
    /// It does what is asked and closes the connection without an answer.
    ReplyLost,
    /// It closes the connection without an answer and does what is asked later.
    DoneLater(Duration),
    /// Watches get 410.
    Compacted,
    /// Watches are never answered.
    WatchSilent,
    /// It answers with a body that has no end.
    Endless,
}

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: RefCell<BTreeMap<String, Item>>,
    revision: Cell<u64>,
    leases: Cell<u64>,
    fault: Cell<StoreFault>,
    changed: Notify,
    /// Prefixes of the watches that wait for a change.
    open_watches: RefCell<Vec<Box<str>>>,
    /// Prefixes of the watches that will never be answered.
    lost_watches: RefCell<Vec<Box<str>>>,
    /// Counts how often open connections were silenced.
    silenced: Cell<u64>,
    /// Counts answers without end whose reader left.
    endless_left: Cell<u64>,
}

/// The store; clones share one state.
#[derive(Clone)]
pub struct StandinStore {
    state: Rc<State>,
    address: SocketAddr,
}

impl StandinStore {
    /// Starts an empty store on loopback, on the current local task set.
    ///
    /// # Errors
    ///
    /// Fails if no port is to be had.
    pub async fn start() -> io::Result<Self> {
        let state = Rc::new(State {
            items: RefCell::default(),
            revision: Cell::new(100),
            leases: Cell::new(0),
            fault: Cell::new(StoreFault::None),
            changed: Notify::new(),
            open_watches: RefCell::default(),
            lost_watches: RefCell::default(),
            silenced: Cell::new(0),
            endless_left: Cell::new(0),
        });
        let address = listen(Rc::clone(&state), serve).await?;
        Ok(Self { state, address })
    }

    /// Returns the store's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the store fails from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_connections(&self) {
        self.state.silenced.set(self.state.silenced.get() + 1);
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state.put(key, Some(value.to_vec()), 0);
    }

    /// Removes a key as the operator or a runner does.
    pub fn delete(&self, key: &str) {
        self.state.put(key, None, 0);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let items = self.state.items.borrow();
        items.get(key).and_then(|item| item.value.clone())
    }

    /// Returns how many answers without end were given up by their readers.
    pub fn endless_left(&self) -> u64 {
        self.state.endless_left.get()
    }

    /// Returns how many watches of a prefix wait for a change.
    pub fn open_watches(&self, prefix: &str) -> usize {
        count_prefix(&self.state.open_watches, prefix)
    }

    /// Returns how many watches of a prefix came that are never answered.
    pub fn lost_watches(&self, prefix: &str) -> usize {
        count_prefix(&self.state.lost_watches, prefix)
    }
}

/// Counts the watches of one prefix in a list.
fn count_prefix(watches: &RefCell<Vec<Box<str>>>, prefix: &str) -> usize {
    let watches = watches.borrow();
    watches
        .iter()
        .filter(|watched| &***watched == prefix)
        .count()
}

impl State {
    fn put(&self, key: &str, value: Option<Vec<u8>>, lease: u64) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut items = self.items.borrow_mut();
        let created = items
            .get(key)
            .filter(|item| item.value.is_some())
            .map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        items.insert(key.to_owned(), item);
        drop(items);
        self.changed.notify_waiters();
        revision
    }

    fn render(key: &str, item: &Item) -> Value {
        match &item.value {
            Some(value) => json!({"key": key, "value": STANDARD.encode(value),
                "revision": item.revision, "created": item.created, "lease": item.lease}),
            None => json!({"key": key, "revision": item.revision, "tombstone": true}),
        }
    }

    fn live_revision(&self, key: &str) -> u64 {
        let items = self.items.borrow();
        items
            .get(key)
            .filter(|item| item.value.is_some())
            .map_or(0, |item| item.revision)
    }

    fn read(&self, key: &str) -> (u16, Value) {
        let items = self.items.borrow();
        match items.get(key).filter(|item| item.value.is_some()) {
            Some(item) => (200, Self::render(key, item)),
            None => (404, Value::Null),
        }
    }

    fn range(&self, prefix: &str) -> (u16, Value) {
        let items = self.items.borrow();
        let entries: Vec<Value> = items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.value.is_some())
            .map(|(key, item)| Self::render(key, item))
            .collect();
        let as_of = self.revision.get();
        (
            200,
            json!({"entries": entries, "truncated": false, "asOf": as_of}),
        )
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let wait_for_events = async {
            loop {
                let changed = self.changed.notified();
                if self.fault.get() == StoreFault::Compacted {
                    return None;
                }
                let events: Vec<Value> = self
                    .items
                    .borrow()
                    .iter()
                    .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                    .map(|(key, item)| Self::render(key, item))
                    .collect();
                if !events.is_empty() {
                    return Some(events);
                }
                changed.await;
            }
        };
        let events = match timeout(wait, wait_for_events).await {
            Ok(Some(events)) => events,
            Ok(None) => return (410, Value::Null),
            Err(_) => Vec::new(),
        };
        (200, json!({"events": events, "asOf": self.revision.get()}))
    }

    fn transact(&self, call: &Value) -> (u16, Value) {
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let expect = rows("expect");
        let holds = |row: &Value| {
            self.live_revision(&text(&row["key"])) == row["revision"].as_u64().unwrap_or_default()
        };
        if !expect.iter().all(holds) {
            let entries: Vec<Value> = expect
                .iter()
                .map(|row| {
                    let key = text(&row["key"]);
                    match self.read(&key) {
                        (200, item) => item,
                        _ => json!({"key": key, "revision": 0}),
                    }
                })
                .collect();
            return (412, json!({ "entries": entries }));
        }
        for row in rows("writes") {
            let value = STANDARD.decode(text(&row["value"])).unwrap_or_default();
            let lease = row["lease"].as_u64().unwrap_or_default();
            self.put(&text(&row["key"]), Some(value), lease);
        }
        for key in rows("remove") {
            self.put(&text(&key), None, 0);
        }
        (200, json!({"revision": self.revision.get()}))
    }

    fn close_watch(&self, prefix: &str) {
        let mut watches = self.open_watches.borrow_mut();
        let place = watches.iter().position(|watched| &**watched == prefix);
        watches.swap_remove(place.expect("an open watch"));
    }

    fn lose_watch(&self, head: &RequestHead) {
        if head.path() == WATCH_PATH {
            let prefix = head.query("pathPrefix").unwrap_or_default();
            self.lost_watches.borrow_mut().push(prefix.into());
        }
    }

    async fn handle(&self, head: &RequestHead, body: &[u8]) -> (u16, Value) {
        let query = |name: &str| head.query(name).unwrap_or_default();
        let number = |name: &str| query(name).parse().unwrap_or_default();
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        match head.path() {
            "/-/kv-key" => self.read(query("key")),
            "/-/kv-range" => self.range(query("pathPrefix")),
            WATCH_PATH => {
                let wait = Duration::from_millis(number("waitMs"));
                let prefix = query("pathPrefix");
                self.open_watches.borrow_mut().push(prefix.into());
                let answer = self.watch(prefix, number("after"), wait).await;
                self.close_watch(prefix);
                answer
            }
            "/-/kv-txn" => self.transact(&call),
            "/-/kv-lease" => {
                self.leases.set(self.leases.get() + 1);
                (
                    200,
                    json!({"lease": self.leases.get(), "ttlMs": call["ttlMs"]}),
                )
            }
            path if path.starts_with("/-/kv-keep/") => (200, json!({"ttlMs": 1000})),
            _ => (400, Value::Null),
        }
    }
}

/// Writes a body until the reader leaves.
async fn write_endless(state: &State, stream: &TcpStream) {
    let mut open = write_all(stream, b"HTTP/1.1 200 OK\r\n\r\n").await.is_ok();
    while open {
        open = write_all(stream, &[b' '; 16 * 1024]).await.is_ok();
        tokio::task::yield_now().await;
    }
    state.endless_left.set(state.endless_left.get() + 1);
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let mut buffer = BytesMut::new();
    let silenced = state.silenced.get();
    while let Some((head, body)) = read_request(&stream, &mut buffer).await {
        let fault = state.fault.get();
        if fault == StoreFault::WatchSilent && head.path() == WATCH_PATH {
            state.lose_watch(&head);
            std::future::pending::<()>().await;
        }
        let (status, answer) = match fault {
            StoreFault::None | StoreFault::Compacted | StoreFault::WatchSilent => {
                state.handle(&head, &body).await
            }
            StoreFault::Busy => (503, Value::Null),
            StoreFault::RateLimited => (429, Value::Null),
            StoreFault::Silent => {
                state.lose_watch(&head);
                std::future::pending::<()>().await;
                return;
            }
            StoreFault::Endless => {
                write_endless(&state, &stream).await;
                return;
            }
            StoreFault::ReplyLost => {
                state.handle(&head, &body).await;
                return;
            }
            StoreFault::DoneLater(pause) => {
                let later = Rc::clone(&state);
                spawn_local(async move {
                    sleep(pause).await;
                    later.handle(&head, &body).await;
                });
                return;
            }
        };
        if state.silenced.get() != silenced {
            std::future::pending::<()>().await;
        }
        let mut head = ResponseHead::new(status, "Answer");
        head.headers.push("Content-Type", "application/json");
        if !write_answer(&stream, head, answer.to_string().as_bytes()).await {
            return;
        }
    }
}
