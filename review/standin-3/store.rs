//! Stand-in for the platform's store: keys, leases, watches, transactions, and outages.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Message},
    json::{Json, base64, quote, unbase64},
};

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Key, revision, and the item unless it was removed.
    history: Vec<(String, u64, Option<Item>)>,
    /// Since when calls get no answer; leases pause meanwhile.
    silent_since: Option<Instant>,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.keys.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((key.to_owned(), self.revision, Some(item.clone())));
        self.keys.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) -> bool {
        if self.silent_since.is_some() {
            return false;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { shared: Arc::default(), address };
        let (served, expired) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                if expired.shared.0.lock().unwrap().expire() {
                    expired.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().write(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let item = state.keys.get(key)?;
        Some(String::from_utf8_lossy(&unbase64(&item.value)).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Begins or ends an outage in which calls get no answer and have no effect.
    pub fn set_silent(&self, silent: bool) {
        let mut state = self.shared.0.lock().unwrap();
        match (silent, state.silent_since) {
            (true, None) => state.silent_since = Some(Instant::now()),
            (false, Some(since)) => {
                let paused = since.elapsed();
                state.leases.values_mut().for_each(|(_, until)| *until += paused);
                state.silent_since = None;
            }
            _ => {}
        }
        self.shared.1.notify_all();
    }

    fn is_silent(&self) -> bool {
        self.shared.0.lock().unwrap().silent_since.is_some()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(call)) = conn.read() {
            if self.is_silent() {
                // The answer never comes; the caller closes the connection.
                let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(60)));
                while let Ok(Some(_)) = conn.read() {}
                return;
            }
            let Some((status, body)) = self.answer(&call) else { return };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let line = format!("HTTP/1.1 {status} -");
            if conn.write(&line, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body; `None` if the answer is lost in an outage.
    fn answer(&self, call: &Message) -> Option<(u16, String)> {
        thread::sleep(Duration::from_millis(2));
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k, unescape(v)))
            .collect();
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        state.expire();
        let id = |path: &str| path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let answer = match (call.method(), path) {
            ("GET", "/api/kv-range") => {
                let after = query.get("after").cloned().unwrap_or_default();
                let found =
                    state.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(k, i)| item_json(k, i)).collect();
                let items = items.join(",");
                let at = state.revision;
                (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"atRevision\":{at}}}"))
            }
            ("GET", "/api/kv-watch") => {
                let (after, until) =
                    (number("after"), Instant::now() + Duration::from_millis(number("waitMs")));
                loop {
                    if state.silent_since.is_some() {
                        return None;
                    }
                    let found = state.history.iter();
                    let found = found.filter(|(k, at, _)| *at > after && k.starts_with(&prefix));
                    let events: Vec<String> = found
                        .map(|(key, at, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"key\":{},\"revision\":{at},\"removed\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        break (200, format!("{{\"events\":[{events}],\"atRevision\":{at}}}"));
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let rows = body.get("expectedRevision").list();
                let holds = rows.iter().all(|row| {
                    let at = state.keys.get(row.get("key").text()).map_or(0, |i| i.revision);
                    at == row.get("revision").number()
                });
                let writes = body.get("writes").list();
                let no_lease = writes.iter().any(|row| {
                    let lease = row.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                });
                if !holds {
                    let keys = rows.iter().map(|row| row.get("key").text());
                    let items: Vec<String> =
                        keys.filter_map(|key| Some(item_json(key, state.keys.get(key)?))).collect();
                    (412, format!("{{\"items\":[{}]}}", items.join(",")))
                } else if no_lease {
                    (404, "{}".to_owned())
                } else {
                    for row in writes {
                        let value = row.get("value").text().to_owned();
                        state.write(row.get("key").text(), value, row.get("lease").number());
                    }
                    for key in body.get("remove").list() {
                        state.remove(key.text());
                    }
                    self.shared.1.notify_all();
                    (200, format!("{{\"revision\":{}}}", state.revision))
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttlMs").number().clamp(1_000, 600_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                match state.leases.get_mut(&id(path)) {
                    Some((time, until)) => {
                        *until = Instant::now() + *time;
                        (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                state.end_lease(id(path));
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        Some(answer)
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\
         \"createdRevision\":{created},\"lease\":{lease}}}",
        quote(key)
    )
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
