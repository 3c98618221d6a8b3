//! The platform's store: keys with revisions, leases, watches and conditional changes.

use std::{
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::future::timeout;
use base64::{Engine, prelude::BASE64_STANDARD};
use event_listener::Event;
use serde_json::{Value, json};
use tide::http::{Response, StatusCode};

use crate::http::{Call, Handler, Server, json as answer, text};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Answers.
    #[default]
    None,
    /// Takes calls and never answers.
    Silent,
    /// Answers 503.
    Busy,
    /// Closes the connection of each call.
    Reset,
}

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Key, revision, and the value unless the key was removed.
    history: Vec<(String, u64, Option<Stored>)>,
    /// Revision up to which the history has been dropped.
    dropped: u64,
    outage: Outage,
    calls: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Event,
}

/// A running store.
pub struct KvStore {
    shared: Arc<Shared>,
    server: Server,
}

impl KvStore {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(addr, Arc::new(Answers(shared.clone()))).await?;
        Ok(Self { shared, server })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes a key as an operator does; returns the revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let mut state = self.shared.lock();
        state.write(key, value.to_string().into_bytes(), 0);
        let revision = state.revision;
        drop(state);
        self.shared.changed.notify(usize::MAX);
        revision
    }

    /// Removes a key as an operator does.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        let mut state = self.shared.lock();
        state.expire(Instant::now());
        serde_json::from_slice(&state.keys.get(key)?.value).ok()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.shared.lock();
        state.expire(Instant::now());
        state.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
    }

    /// Drops the history, so that watches must begin anew.
    pub fn compact_history(&self) {
        let mut state = self.shared.lock();
        state.history.clear();
        state.dropped = state.revision;
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Closes the listener and all connections at once.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.keys.get(key).map_or(self.revision, |known| known.created);
        let stored = Stored { value, revision: self.revision, created, lease };
        self.history.push((key.to_owned(), self.revision, Some(stored.clone())));
        self.keys.insert(key.to_owned(), stored);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended = |(ttl, renewed): &(Duration, Instant)| now.duration_since(*renewed) > *ttl;
        let leases: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| ended(lease)).map(|(id, _)| *id).collect();
        leases.iter().for_each(|id| self.end_lease(*id));
        !leases.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.revision)
    }

    fn transact(&mut self, body: &Value) -> Response {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("expectedRevision");
        let holds = |row: &Value| {
            self.revision_of(row["key"].as_str().unwrap_or(""))
                == row["revision"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().filter_map(|row| row["key"].as_str());
            let items: Vec<Value> =
                keys.filter_map(|key| Some(item(key, self.keys.get(key)?))).collect();
            let mut res = answer(&json!({ "items": items }));
            res.set_status(StatusCode::PreconditionFailed);
            return res;
        }
        let writes = rows("writes");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return text(StatusCode::NotFound, "no such lease");
        }
        for row in &writes {
            let value = BASE64_STANDARD.decode(row["value"].as_str().unwrap_or(""));
            let (Some(key), Ok(value)) = (row["key"].as_str(), value) else {
                return text(StatusCode::BadRequest, "no key, or value that is not base64");
            };
            self.write(key, value, lease(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or(""));
        }
        answer(&json!({ "revision": self.revision }))
    }
}

fn item(key: &str, stored: &Stored) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&stored.value),
        "revision": stored.revision,
        "createdRevision": stored.created,
        "lease": stored.lease,
    })
}

struct Answers(Arc<Shared>);

impl Handler for Answers {
    async fn handle(&self, call: Call) -> Option<Response> {
        let outage = {
            let mut state = self.0.lock();
            state.calls += 1;
            state.outage
        };
        match outage {
            Outage::None => {}
            Outage::Silent => pending().await,
            Outage::Busy => return Some(text(StatusCode::ServiceUnavailable, "busy")),
            Outage::Reset => return None,
        }
        Some(self.answer(&call).await)
    }
}

impl Answers {
    async fn answer(&self, call: &Call) -> Response {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let path = call.path().to_owned();
        if path == "api/kv-watch" {
            return self.watch(call).await;
        }
        let mut state = self.0.lock();
        let lapsed = state.expire(Instant::now());
        let res = match path.strip_prefix("api/").unwrap_or("").split_once('/') {
            None if path == "api/kv-range" => {
                let prefix = call.query("pathPrefix").unwrap_or_default();
                let keys = state.keys.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<Value> = keys.map(|(key, stored)| item(key, stored)).collect();
                let revision = state.revision;
                answer(&json!({ "items": items, "hasMore": false, "atRevision": revision }))
            }
            None if path == "api/kv-txn" => state.transact(&body),
            None if path == "api/kv-lease" => {
                let ttl = body["ttlMs"].as_u64().unwrap_or(0);
                let id = 1_000 + state.leases.keys().next_back().copied().unwrap_or(0);
                state.leases.insert(id, (Duration::from_millis(ttl), Instant::now()));
                answer(&json!({ "lease": id, "ttlMs": ttl }))
            }
            Some(("kv-keep", id)) => match state.leases.get_mut(&id.parse().unwrap_or(0)) {
                Some((ttl, renewed)) => {
                    *renewed = Instant::now();
                    answer(&json!({ "ttlMs": ttl.as_millis() as u64 }))
                }
                None => text(StatusCode::NotFound, "no such lease"),
            },
            Some(("kv-lease-end", id)) => {
                state.end_lease(id.parse().unwrap_or(0));
                answer(&json!({}))
            }
            _ => text(StatusCode::NotFound, "no such call"),
        };
        drop(state);
        if lapsed || path == "api/kv-txn" || path.starts_with("api/kv-lease-end") {
            self.0.changed.notify(usize::MAX);
        }
        res
    }

    async fn watch(&self, call: &Call) -> Response {
        let number = |name| call.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after"), number("waitMs"));
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.0.changed.listen();
            {
                let mut state = self.0.lock();
                state.expire(Instant::now());
                if after < state.dropped {
                    return text(StatusCode::Gone, "history dropped");
                }
                let new = state
                    .history
                    .iter()
                    .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<Value> = new
                    .map(|(key, revision, stored)| match stored {
                        Some(stored) => item(key, stored),
                        None => json!({ "key": key, "revision": revision, "removed": true }),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return answer(&json!({ "events": events, "atRevision": state.revision }));
                }
            }
            // Leases end without a call, so a watch looks again after a while.
            let look = end.saturating_duration_since(Instant::now()).min(LEASE_LOOK);
            let _ = timeout(look, changed).await;
        }
    }
}

/// Time between two looks of a waiting watch at whether leases have ended.
const LEASE_LOOK: Duration = Duration::from_millis(100);
