//! A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
//!
//! It keeps copies of itself, and can come back from one that is some seconds old, as in the
//! drill of the news page: what the system wrote since is gone, leases too; what the operator
//! and the runners wrote is written again; `Store-Era` rises by one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::query;
use crate::http::read_request;
use crate::http::write_response;
use crate::json::escape;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    left_until: Instant,
}

#[derive(Clone)]
struct Content {
    taken_at: Instant,
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    history: Vec<(u64, String, Option<Item>)>,
}

struct State {
    era: u64,
    next_lease: u64,
    /// While set, calls get 503 and waiting watches are cut.
    away: bool,
    content: Content,
    copies: Vec<Content>,
}

/// The store. Clones share one state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn is_outside(key: &str) -> bool {
    key.starts_with("op/") || key.starts_with("servers/")
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store address");
        let address = listener.local_addr().expect("store address");
        let content = Content {
            taken_at: Instant::now(),
            revision: 100,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            history: Vec::new(),
        };
        let state = State { era: 1, next_lease: 0, away: false, content, copies: Vec::new() };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let keeper = store.clone();
        thread::spawn(move || keeper.keep_time());
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Ends leases that have run out, and makes a copy every 100 ms.
    fn keep_time(&self) {
        loop {
            thread::sleep(Duration::from_millis(100));
            let mut state = self.shared.0.lock().unwrap();
            let now = Instant::now();
            if state.away {
                // Leases pause while the store is away.
                for lease in state.content.leases.values_mut() {
                    lease.left_until += Duration::from_millis(100);
                }
                continue;
            }
            let leases = &state.content.leases;
            let ended: Vec<u64> =
                leases.iter().filter(|(_, l)| l.left_until < now).map(|(id, _)| *id).collect();
            for id in ended {
                state.content.end_lease(id);
                self.shared.1.notify_all();
            }
            state.content.taken_at = now;
            let copy = state.content.clone();
            state.copies.push(copy);
            state.copies.retain(|copy| now - copy.taken_at < Duration::from_secs(12));
        }
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.content.put(key, base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// The store is away for `away`, and comes back from a copy that is `age` old by then.
    pub fn drill(&self, away: Duration, age: Duration) {
        self.shared.0.lock().unwrap().away = true;
        self.shared.1.notify_all();
        thread::sleep(away);
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let chosen = state.copies.iter().filter(|copy| now - copy.taken_at >= age).last();
        let mut copy = chosen.expect("a copy of that age").clone();
        for lease in copy.leases.values_mut() {
            lease.left_until += now - copy.taken_at;
        }
        let newer: Vec<(String, String)> = state
            .content
            .items
            .iter()
            .filter(|(key, item)| is_outside(key) && item.revision > copy.revision)
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect();
        let gone: Vec<String> = copy
            .items
            .keys()
            .filter(|key| is_outside(key) && !state.content.items.contains_key(*key))
            .cloned()
            .collect();
        state.content = copy;
        for (key, value) in newer {
            state.content.put(&key, value, 0);
        }
        for key in gone {
            state.content.remove(&key);
        }
        state.copies.clear();
        state.era += 1;
        state.away = false;
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: std::net::TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let Some((status, body, era)) = self.handle(&request.method, &request.target, &request.body)
            else {
                return;
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era.to_string()),
            ];
            if !write_response(&mut stream, status, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    /// Returns status, body and era; nothing if the connection is to be cut.
    fn handle(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, String, u64)> {
        let path = target.split('?').next().unwrap_or_default();
        let get = |name: &str| query(target, name).unwrap_or_default().replace("%2F", "/");
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era;
        if state.away {
            return Some((503, "{}".to_owned(), era));
        }
        let (status, body) = match (method, path) {
            ("GET", "/-/kv-key") => match state.content.items.get(&get("key")) {
                Some(item) => (200, render(&get("key"), Some(item), 0, state.content.revision)),
                None => (404, "{}".to_owned()),
            },
            ("GET", "/-/kv-range") => {
                let prefix = get("pathPrefix");
                let after = get("after");
                let entries: Vec<String> = state
                    .content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| render(key, Some(item), 0, 0))
                    .collect();
                let as_of = state.content.revision;
                let entries = entries.join(",");
                (200, format!("{{\"entries\":[{entries}],\"truncated\":false,\"asOf\":{as_of}}}"))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = get("pathPrefix");
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait: u64 = get("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    if state.away || state.era != era {
                        return None;
                    }
                    if after > state.content.revision {
                        break (410, "{}".to_owned());
                    }
                    let history = state.content.history.iter();
                    let events: Vec<String> = history
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| render(key, item.as_ref(), *revision, 0))
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let as_of = state.content.revision;
                        let events = events.join(",");
                        break (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
                    }
                    state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let answer = state.content.transact(&Json::parse(body)?);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(body)?.get("ttlMs").number().clamp(1000, 600_000);
                state.next_lease += 1;
                let id = state.next_lease;
                let ttl_span = Duration::from_millis(ttl);
                let lease = Lease { ttl: ttl_span, left_until: Instant::now() + ttl_span };
                state.content.leases.insert(id, lease);
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.content.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.left_until = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.content.end_lease(id);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        };
        Some((status, body, era))
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.remove(&key);
        }
    }

    fn transact(&mut self, call: &Json) -> (u16, String) {
        let expect = call.get("expect").rows();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds =
            expect.iter().all(|row| revision_of(&row.get("key").text()) == row.get("revision").number());
        if !holds {
            let entries: Vec<String> = expect
                .iter()
                .map(|row| {
                    let key = row.get("key").text();
                    match self.items.get(&key) {
                        Some(item) => render(&key, Some(item), 0, 0),
                        None => format!("{{\"key\":\"{}\",\"revision\":0}}", escape(&key)),
                    }
                })
                .collect();
            return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
        }
        let writes = call.get("writes").rows();
        let outside = |key: &str| is_outside(key);
        if writes.iter().any(|row| outside(&row.get("key").text())) {
            return (403, "{}".to_owned());
        }
        let lease_is_gone = |id: u64| id != 0 && !self.leases.contains_key(&id);
        if writes.iter().any(|row| lease_is_gone(row.get("lease").number())) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            self.put(&row.get("key").text(), row.get("value").text(), row.get("lease").number());
        }
        for key in call.get("remove").rows() {
            self.remove(&key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn render(key: &str, item: Option<&Item>, revision: u64, as_of: u64) -> String {
    let key = escape(key);
    match item {
        Some(item) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{},\"asOf\":{as_of}}}",
            item.value, item.revision, item.created, item.lease
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
