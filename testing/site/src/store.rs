//! An in-memory stand-in for the platform's key-value store.

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
use crate::server::write_response;

/// Header field of all responses; its number rises when the store comes back from an older
/// copy.
const ERA_FIELD: &str = "Store-Era";

/// Prefixes of the keys that the operator and the runners write.
const OUTSIDE_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Path of a call that waits for changes of keys under a prefix.
const WATCH_PATH: &str = "/-/kv-watch";

/// Path of a listing of the keys under a prefix.
const RANGE_PATH: &str = "/-/kv-range";

/// Path of a renewal of a lease, which the lease follows.
const RENEWAL_PATH: &str = "/-/kv-keep/";

/// Option of a listing that may be stale.
const STALE_OPTION: &str = "allowStale";

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works.
    None,
    /// It responds with 503.
    Busy,
    /// It responds with 429.
    RateLimited,
    /// It neither executes the call nor responds.
    Silent,
    /// It executes the call and closes the connection without a response.
    ResponseLost,
    /// It closes the connection without a response and executes the call after this delay.
    ExecuteLater(Duration),
    /// Watches get 410, as if their revision had been compacted.
    Compacted,
    /// Watches never get a response; other calls work.
    WatchSilent,
    /// It responds with a body that never ends.
    Endless,
}

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A kind of calls that are counted, by prefix or lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedCall {
    /// Current listings.
    List,
    /// Listings that may be stale.
    StaleList,
    /// Watches.
    Watch,
    /// Renewals of leases, by lease.
    Renewal,
}

/// A copy of the store's content, from which it may come back.
#[derive(Clone)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

struct State {
    /// How often the store has come back from an older copy, counted from 1.
    era: Cell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    revision: Cell<u64>,
    leases: Cell<u64>,
    fault: Cell<StoreFault>,
    changed: Notify,
    /// Prefixes of the watches that are waiting for a change.
    open_watches: RefCell<Vec<Box<str>>>,
    /// Prefixes of the watches that will never get a response.
    lost_watches: RefCell<Vec<Box<str>>>,
    /// Number of times that all open connections were silenced.
    silence_count: Cell<u64>,
    /// Number of endless responses that the client aborted.
    aborted_endless: Cell<u64>,
    /// Number of calls received, by path and prefix or key.
    calls: RefCell<BTreeMap<String, usize>>,
    /// What listings that may be stale show, if it is not the present content.
    stale_copy: RefCell<Option<StoreCopy>>,
}

/// A stand-in for the platform's store. Clones share one state.
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
    /// Fails if the listener can't be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Rc::new(State {
            era: Cell::new(1),
            items: RefCell::default(),
            revision: Cell::new(100),
            leases: Cell::new(0),
            fault: Cell::new(StoreFault::None),
            changed: Notify::new(),
            open_watches: RefCell::default(),
            lost_watches: RefCell::default(),
            silence_count: Cell::new(0),
            aborted_endless: Cell::new(0),
            calls: RefCell::default(),
            stale_copy: RefCell::default(),
        });
        let address = listen(Rc::clone(&state), serve).await?;
        Ok(Self { state, address })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for all later calls. `Compacted` also ends the open watches.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Returns a copy of the present content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            items: self.state.items.borrow().clone(),
            revision: self.state.revision.get(),
        }
    }

    /// Comes back from an older copy. What the system wrote since is gone, and the revisions
    /// are given out again; the operator and the runners write again what they had written.
    pub fn rewind(&self, copy: &StoreCopy) {
        let state = &self.state;
        let is_outside = |key: &str| OUTSIDE_PREFIXES.iter().any(|p| key.starts_with(p));
        let newer: Vec<(String, Option<Vec<u8>>)> = state
            .items
            .borrow()
            .iter()
            .filter(|(key, item)| is_outside(key) && item.revision > copy.revision)
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect();
        self.rewind_to(copy);
        for (key, value) in newer {
            state.put(&key, value, 0);
        }
        state.changed.notify_waiters();
    }

    /// Comes back from an older copy, and the operator and the runners have not yet written again
    /// what it lacks.
    pub fn rewind_to(&self, copy: &StoreCopy) {
        let state = &self.state;
        state.era.set(state.era.get() + 1);
        *state.items.borrow_mut() = copy.items.clone();
        state.revision.set(copy.revision);
        state.changed.notify_waiters();
    }

    /// Stops all responses on the connections that are open. New connections work.
    pub fn silence_connections(&self) {
        self.state
            .silence_count
            .set(self.state.silence_count.get() + 1);
    }

    /// Writes a key without a lease, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state.put(key, Some(value.to_vec()), 0);
    }

    /// Removes a key, as the operator or a runner does.
    pub fn delete(&self, key: &str) {
        self.state.put(key, None, 0);
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let items = self.state.items.borrow();
        items.get(key).and_then(|item| item.value.clone())
    }

    /// Returns how many endless responses were aborted by their client.
    pub fn aborted_endless(&self) -> u64 {
        self.state.aborted_endless.get()
    }

    /// Sets what listings that may be stale show; `None` stands for the present content.
    pub fn set_stale_copy(&self, copy: Option<StoreCopy>) {
        *self.state.stale_copy.borrow_mut() = copy;
    }

    /// Returns how many calls of a kind for a prefix or lease were received, answered or not.
    pub fn calls(&self, kind: CountedCall, prefix: &str) -> usize {
        let calls = self.state.calls.borrow();
        let count = calls.get(&format!("{kind:?} {prefix}"));
        count.copied().unwrap_or_default()
    }

    /// Returns how many watches of a prefix are waiting for a change.
    pub fn open_watches(&self, prefix: &str) -> usize {
        count_prefix(&self.state.open_watches, prefix)
    }

    /// Returns how many watches of a prefix will never get a response.
    pub fn lost_watches(&self, prefix: &str) -> usize {
        count_prefix(&self.state.lost_watches, prefix)
    }
}

/// Counts the watches of a prefix.
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

    fn count_call(&self, head: &RequestHead) {
        let kind = match head.path() {
            RANGE_PATH if head.query(STALE_OPTION).is_some() => CountedCall::StaleList,
            RANGE_PATH => CountedCall::List,
            WATCH_PATH => CountedCall::Watch,
            path if path.starts_with(RENEWAL_PATH) => CountedCall::Renewal,
            _ => return,
        };
        let lease = head.path().strip_prefix(RENEWAL_PATH);
        let prefix = head.query("pathPrefix").or(lease).unwrap_or_default();
        let mut calls = self.calls.borrow_mut();
        *calls.entry(format!("{kind:?} {prefix}")).or_default() += 1;
    }

    fn stale_range(&self, prefix: &str) -> (u16, Value) {
        match &*self.stale_copy.borrow() {
            Some(copy) => Self::render_range(&copy.items, copy.revision, prefix),
            None => self.range(prefix),
        }
    }

    fn range(&self, prefix: &str) -> (u16, Value) {
        Self::render_range(&self.items.borrow(), self.revision.get(), prefix)
    }

    fn render_range(items: &BTreeMap<String, Item>, as_of: u64, prefix: &str) -> (u16, Value) {
        let entries: Vec<Value> = items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.value.is_some())
            .map(|(key, item)| Self::render(key, item))
            .collect();
        (
            200,
            json!({"entries": entries, "truncated": false, "asOf": as_of}),
        )
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let next_events = async {
            loop {
                let changed = self.changed.notified();
                if self.fault.get() == StoreFault::Compacted || after > self.revision.get() {
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
        let events = match timeout(wait, next_events).await {
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
        let index = watches.iter().position(|watched| &**watched == prefix);
        watches.swap_remove(index.expect("watch should be open"));
    }

    /// Records a watch that will never get a response. Ignores other calls.
    fn record_lost_watch(&self, head: &RequestHead) {
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
            RANGE_PATH if head.query(STALE_OPTION).is_some() => {
                self.stale_range(query("pathPrefix"))
            }
            RANGE_PATH => self.range(query("pathPrefix")),
            WATCH_PATH => {
                let wait = Duration::from_millis(number("waitMs"));
                let prefix = query("pathPrefix");
                self.open_watches.borrow_mut().push(prefix.into());
                let response = self.watch(prefix, number("after"), wait).await;
                self.close_watch(prefix);
                response
            }
            "/-/kv-txn" => self.transact(&call),
            "/-/kv-lease" => {
                self.leases.set(self.leases.get() + 1);
                (
                    200,
                    json!({"lease": self.leases.get(), "ttlMs": call["ttlMs"]}),
                )
            }
            path if path.starts_with(RENEWAL_PATH) => (200, json!({"ttlMs": 1000})),
            _ => (400, Value::Null),
        }
    }
}

/// Writes a response body until the client closes the connection.
async fn write_endless(state: &State, stream: &TcpStream) {
    let mut open = write_all(stream, b"HTTP/1.1 200 OK\r\n\r\n").await.is_ok();
    while open {
        open = write_all(stream, &[b' '; 16 * 1024]).await.is_ok();
        tokio::task::yield_now().await;
    }
    state.aborted_endless.set(state.aborted_endless.get() + 1);
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let mut buffer = BytesMut::new();
    let silence_count = state.silence_count.get();
    while let Some((head, body)) = read_request(&stream, &mut buffer).await {
        state.count_call(&head);
        let fault = state.fault.get();
        if fault == StoreFault::WatchSilent && head.path() == WATCH_PATH {
            state.record_lost_watch(&head);
            std::future::pending::<()>().await;
        }
        let (status, body) = match fault {
            StoreFault::None | StoreFault::Compacted | StoreFault::WatchSilent => {
                state.handle(&head, &body).await
            }
            StoreFault::Busy => (503, Value::Null),
            StoreFault::RateLimited => (429, Value::Null),
            StoreFault::Silent => {
                state.record_lost_watch(&head);
                std::future::pending::<()>().await;
                return;
            }
            StoreFault::Endless => {
                write_endless(&state, &stream).await;
                return;
            }
            StoreFault::ResponseLost => {
                state.handle(&head, &body).await;
                return;
            }
            StoreFault::ExecuteLater(delay) => {
                let state = Rc::clone(&state);
                spawn_local(async move {
                    sleep(delay).await;
                    state.handle(&head, &body).await;
                });
                return;
            }
        };
        if state.silence_count.get() != silence_count {
            std::future::pending::<()>().await;
        }
        let mut head = ResponseHead::new(status, "Answer");
        head.headers.push("Content-Type", "application/json");
        head.headers.push(ERA_FIELD, state.era.get().to_string());
        if !write_response(&stream, head, body.to_string().as_bytes()).await {
            return;
        }
    }
}
