//! Stand-in for the platform's store. Each machine has a listener of its own, so that the store can
//! turn away the calls of one machine and serve the others.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Listener, Message},
    json::Json,
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, as JSON, with their keys.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    refused: BTreeMap<usize, bool>,
    /// Prefix of the keys of which one write is carried out and not answered.
    lose_answer_of: Option<String>,
}

/// Status of an answer that is lost with its connection.
const LOST: u16 = 0;

impl State {
    /// Returns whether the answer to this transaction is lost; it is so once.
    fn loses_answer_to(&mut self, body: &Json) -> bool {
        let Some(prefix) = &self.lose_answer_of else { return false };
        let writes = body.get("writes").map_or(&[][..], Json::list);
        let mut keys = writes.iter().filter_map(|write| write.get("key").and_then(Json::text));
        let loses = keys.any(|key| key.starts_with(prefix.as_str()));
        if loses {
            self.lose_answer_of = None;
        }
        loses
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.events.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"removed\":true}}", self.revision);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let ended = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        ended
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRevision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = expiring.0.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, end))| *end <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                expiring.0.1.notify_all();
            }
        });
        store
    }

    /// Listens for the calls of a machine.
    pub fn listen(&self, address: SocketAddr, machine: usize) -> io::Result<()> {
        let store = self.clone();
        Listener::default()
            .open(address, move |message, stream| store.answer(machine, &message, stream))
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.0.0.lock().unwrap().put(key, &base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    /// Turns a machine's calls away, or serves them again.
    pub fn refuse(&self, machine: usize, refused: bool) {
        self.0.0.lock().unwrap().refused.insert(machine, refused);
        self.0.1.notify_all();
    }

    /// Carries out the next write of a key with this prefix and loses its answer.
    pub fn lose_answer_of(&self, prefix: &str) {
        self.0.0.lock().unwrap().lose_answer_of = Some(prefix.to_owned());
    }

    /// Returns whether an answer is still to be lost.
    pub fn has_answer_to_lose(&self) -> bool {
        self.0.0.lock().unwrap().lose_answer_of.is_some()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.0.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns a value as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap();
        Some(String::from_utf8_lossy(&unbase64(&state.items.get(key)?.value)).into_owned())
    }

    fn answer(&self, machine: usize, message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = self.respond(machine, message);
        if status == LOST {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let start = format!("HTTP/1.1 {status} -");
        http::write(stream, &start, &[("Content-Type", "application/json")], body.as_bytes())
    }

    /// Returns the status and the body of the answer.
    fn respond(&self, machine: usize, message: &Message) -> (u16, String) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        let is_refused = |state: &State| state.refused.get(&machine).copied().unwrap_or(false);
        if is_refused(&state) {
            return (503, "{}".to_owned());
        }
        let path = message.path().to_owned();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        if path == "/api/kv-key" {
            let key = message.query("key").unwrap_or_default();
            return match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".to_owned()),
            };
        }
        if path == "/api/kv-range" {
            let prefix = message.query("pathPrefix").unwrap_or_default();
            let after = message.query("after").unwrap_or_default();
            let found =
                state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
            let (items, revision) = (items.join(","), state.revision);
            let body =
                format!("{{\"items\":[{items}],\"hasMore\":false,\"atRevision\":{revision}}}");
            return (200, body);
        }
        if path == "/api/kv-watch" {
            let number =
                |name| message.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
            let (after, prefix) =
                (number("after"), message.query("pathPrefix").unwrap_or_default());
            let until = Instant::now() + Duration::from_millis(number("waitMs"));
            loop {
                if is_refused(&state) {
                    return (503, "{}".to_owned());
                }
                let new = state
                    .events
                    .iter()
                    .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, revision) = (events.join(","), state.revision);
                    return (200, format!("{{\"events\":[{events}],\"atRevision\":{revision}}}"));
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        if path == "/api/kv-lease" {
            let ttl =
                Duration::from_millis(body.get("ttlMs").and_then(Json::number).unwrap_or(1_000));
            let lease = state.leases.keys().last().copied().unwrap_or(100) + 1;
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            return (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()));
        }
        if let Some(lease) = id("/api/kv-keep/") {
            let Some((ttl, end)) = state.leases.get_mut(&lease) else {
                return (404, "{}".to_owned());
            };
            *end = Instant::now() + *ttl;
            return (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()));
        }
        if let Some(lease) = id("/api/kv-lease-end/") {
            let ended = state.end_lease(lease);
            changed.notify_all();
            return (if ended { 200 } else { 404 }, "{}".to_owned());
        }
        if path == "/api/kv-txn" {
            let answer = transact(&mut state, &body);
            changed.notify_all();
            if answer.0 == 200 && state.loses_answer_to(&body) {
                return (LOST, String::new());
            }
            return answer;
        }
        (404, "{}".to_owned())
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let list = |name| body.get(name).map_or(&[][..], Json::list);
    let key_of = |entry: &Json| entry.get("key").and_then(Json::text).unwrap_or("").to_owned();
    let number = |entry: &Json, name| entry.get(name).and_then(Json::number).unwrap_or(0);
    let conditions = list("expectedRevision");
    let holds = |entry: &&Json| {
        state.items.get(&key_of(entry)).map_or(0, |item| item.revision) == number(entry, "revision")
    };
    if conditions.iter().filter(holds).count() < conditions.len() {
        let items = conditions.iter().filter_map(|entry| {
            let key = key_of(entry);
            state.items.get(&key).map(|item| item_json(&key, item))
        });
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let writes = list("writes");
    if writes
        .iter()
        .any(|w| number(w, "lease") > 0 && !state.leases.contains_key(&number(w, "lease")))
    {
        return (404, "{}".to_owned());
    }
    for write in writes {
        let value = write.get("value").and_then(Json::text).unwrap_or("");
        state.put(&key_of(write), value, number(write, "lease"));
    }
    for key in list("remove") {
        state.remove(key.text().unwrap_or(""));
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at > chunk.len() { '=' } else { char::from(digit) });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = ALPHABET.iter().position(|known| *known == byte).unwrap_or(0);
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
