//! A stand-in for the platform's key-value store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    /// In base64; `None` for a removed key.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    era: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Whether calls stay unanswered.
    silent: bool,
}

/// A copy of the store's content, from which it may come back.
pub struct Copy {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: Vec<u64>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) as usize & 63;
            text.push(if place <= chunk.len() {
                SET[index] as char
            } else {
                '='
            });
        }
    }
    text
}

impl State {
    fn put(&mut self, key: &str, value: Option<String>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self
            .items
            .get(key)
            .filter(|item| item.value.is_some())
            .map_or(revision, |item| item.created);
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                revision,
                created,
                lease,
            },
        );
        revision
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ttl, since))| now.duration_since(*since) > *ttl)
            .map(|(id, _)| *id)
            .collect();
        for lease in &ended {
            self.leases.remove(lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == *lease && item.value.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.put(&key, None, 0);
            }
        }
        !ended.is_empty()
    }

    fn render(key: &str, item: &Item) -> String {
        match &item.value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{value}","revision":{},"created":{},"lease":{}}}"#,
                item.revision, item.created, item.lease
            ),
            None => format!(
                r#"{{"key":"{key}","revision":{},"tombstone":true}}"#,
                item.revision
            ),
        }
    }

    fn range(&self, prefix: &str) -> String {
        let entries: Vec<String> = self
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.value.is_some())
            .map(|(key, item)| Self::render(key, item))
            .collect();
        format!(
            r#"{{"entries":[{}],"truncated":false,"asOf":{}}}"#,
            entries.join(","),
            self.revision
        )
    }

    fn transact(&mut self, call: &Json) -> (u16, String) {
        let live = |state: &Self, key: &str| {
            let item = state.items.get(key).filter(|item| item.value.is_some());
            item.map_or(0, |item| item.revision)
        };
        let expect = call.get("expect").rows();
        let holds = expect
            .iter()
            .all(|row| live(self, row.get("key").text()) == row.get("revision").number());
        if !holds {
            let rows: Vec<String> = expect
                .iter()
                .map(|row| {
                    let key = row.get("key").text();
                    match self.items.get(key).filter(|item| item.value.is_some()) {
                        Some(item) => Self::render(key, item),
                        None => format!(r#"{{"key":"{key}","revision":0}}"#),
                    }
                })
                .collect();
            return (412, format!(r#"{{"entries":[{}]}}"#, rows.join(",")));
        }
        let writes = call.get("writes").rows();
        let lost = writes
            .iter()
            .map(|row| row.get("lease").number())
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease));
        if lost {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let value = row.get("value").text().to_owned();
            self.put(
                row.get("key").text(),
                Some(value),
                row.get("lease").number(),
            );
        }
        for key in call.get("remove").rows() {
            self.put(key.text(), None, 0);
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store address should be free");
        let address = listener
            .local_addr()
            .expect("listener should have an address");
        let state = State {
            items: BTreeMap::new(),
            revision: 100,
            era: 1,
            leases: BTreeMap::new(),
            last_lease: 0,
            silent: false,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                let (state, changed) = &*expiring.state;
                if state.lock().unwrap().expire(Instant::now()) {
                    changed.notify_all();
                }
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        state
            .lock()
            .unwrap()
            .put(key, Some(base64(value.as_bytes())), 0);
        changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy {
            items: state.items.clone(),
            revision: state.revision,
            leases: state.leases.keys().copied().collect(),
        }
    }

    /// Comes back from an older copy. What the system wrote since is gone, leases too; what the
    /// operator and the runners wrote is written again.
    pub fn come_back(&self, copy: &Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let newer: Vec<(String, Option<String>)> = state
            .items
            .iter()
            .filter(|(key, item)| {
                (key.starts_with("op/") || key.starts_with("servers/"))
                    && item.revision > copy.revision
            })
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect();
        state.era += 1;
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.leases.retain(|lease, _| copy.leases.contains(lease));
        for (key, value) in newer {
            state.put(&key, value, 0);
        }
        state.silent = false;
        drop(state);
        changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(call) = connection.read() {
            if self.state.0.lock().unwrap().silent {
                loop {
                    // The caller closes it.
                    if connection.fill().is_err() {
                        return;
                    }
                }
            }
            let (status, body) = self.answer(&call);
            let era = self.state.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (state, changed) = &*self.state;
        let body = Json::parse(&call.body);
        match call.path() {
            "/-/kv-key" => {
                let state = state.lock().unwrap();
                let key = call.query("key");
                match state.items.get(key).filter(|item| item.value.is_some()) {
                    Some(item) => (200, State::render(key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/-/kv-range" => (200, state.lock().unwrap().range(call.query("pathPrefix"))),
            "/-/kv-watch" => self.watch(call),
            "/-/kv-txn" => {
                let answer = state.lock().unwrap().transact(&body);
                changed.notify_all();
                answer
            }
            "/-/kv-lease" => {
                let ttl = body.get("ttlMs").number().max(1000);
                let mut state = state.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                state
                    .leases
                    .insert(lease, (Duration::from_millis(ttl), Instant::now()));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            path => {
                let id = path
                    .strip_prefix("/-/kv-keep/")
                    .and_then(|id| id.parse().ok());
                let mut state = state.lock().unwrap();
                match id.and_then(|id: u64| state.leases.get_mut(&id)) {
                    Some((ttl, since)) => {
                        *since = Instant::now();
                        (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
        }
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let (state, changed) = &*self.state;
        let prefix = call.query("pathPrefix");
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(call.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                .map(|(key, item)| State::render(key, item))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        r#"{{"events":[{}],"asOf":{}}}"#,
                        events.join(","),
                        state.revision
                    ),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
