//! Stand-in for the platform's store: keys with revisions, leases, watches and transactions.

use std::{
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use base64::{Engine, prelude::BASE64_STANDARD};
use event_listener::Event;
use serde_json::{Value, json};
use tide::http::{Request, Response, StatusCode};

use crate::http::{Call, Handler, RawAnswer, RawRest, Server, json as json_response, text};

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It works normally.
    #[default]
    None,
    /// Accepts calls and never answers them.
    Silent,
    /// Answers every call with status 503.
    Busy,
    /// Closes the connection of each call without an answer.
    Reset,
    /// Answers every call with a body without end.
    Endless,
}

/// What becomes of a transaction whose answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostWrite {
    /// It takes effect at once.
    Done,
    /// It takes effect after this time, if its conditions hold then.
    Late(Duration),
    /// It has no effect.
    NotDone,
}

#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    revision: u64,
    created_revision: u64,
    /// Lease with which the key expires; 0 for none.
    lease: u64,
}

/// A copy of a store's keys and leases.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct State {
    /// Rises with each restore from a copy.
    era: u64,
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    /// Time to live and last renewal, by id.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Changes by ascending revision: key, revision, and the value unless the key was removed.
    history: Vec<(String, u64, Option<StoredValue>)>,
    /// Revision up to which the history has been compacted away.
    compacted_revision: u64,
    outage: Outage,
    /// The next transaction that writes or removes a key with this prefix gets no answer.
    lost_write: Option<(String, LostWrite)>,
    /// Transactions that took effect late.
    late_writes: u64,
    calls: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            era: 1,
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            outage: Outage::None,
            lost_write: None,
            late_writes: 0,
            calls: 0,
        }
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notifies waiting watches of changes.
    changed: Event,
}

/// A running stand-in store.
pub struct KvStore {
    shared: Arc<Shared>,
    server: Server,
}

impl KvStore {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(addr, Arc::new(RequestHandler(shared.clone()))).await?;
        Ok(Self { shared, server })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes a key directly, as an operator would; returns its new revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().as_bytes())
    }

    /// Writes any bytes directly, as another writer may; returns the revision.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.shared.lock();
        state.write(key, value.to_vec(), 0);
        let revision = state.revision;
        drop(state);
        self.shared.changed.notify(usize::MAX);
        revision
    }

    /// Removes a key directly, as an operator would.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns the value of a key; `None` if the key does not exist or its value is not JSON.
    pub fn get(&self, key: &str) -> Option<Value> {
        let mut state = self.shared.lock();
        state.expire_leases(Instant::now());
        serde_json::from_slice(&state.keys.get(key)?.value).ok()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.shared.lock();
        state.expire_leases(Instant::now());
        state.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Starts an outage, or ends it with [`Outage::None`].
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
    }

    /// Loses the answer to the next transaction that writes or removes a key with a prefix.
    pub fn lose_answer(&self, prefix: &str, lost: LostWrite) {
        self.shared.lock().lost_write = Some((prefix.to_owned(), lost));
    }

    /// Returns whether the answer that [`Self::lose_answer`] announced has been lost.
    pub fn has_lost_answer(&self) -> bool {
        self.shared.lock().lost_write.is_none()
    }

    /// Returns the number of transactions that took effect late.
    pub fn late_writes(&self) -> u64 {
        self.shared.lock().late_writes
    }

    /// Drops the history of changes, so that clients must list the keys again before they watch.
    pub fn compact_history(&self) {
        let mut state = self.shared.lock();
        state.history.clear();
        state.compacted_revision = state.revision;
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns a copy of the present state, for [`Self::restore`].
    pub fn copy(&self) -> Copy {
        let mut state = self.shared.lock();
        state.expire_leases(Instant::now());
        let State { revision, keys, leases, .. } = &*state;
        Copy { revision: *revision, keys: keys.clone(), leases: leases.clone() }
    }

    /// Loses all changes since a copy was made. What the operators wrote since then is written
    /// again; revisions and ids of leases are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.lock();
        let is_operators = |(key, _): &(&String, &StoredValue)| key.starts_with("op/");
        let operators: Vec<(String, StoredValue)> = state
            .keys
            .iter()
            .filter(is_operators)
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect();
        let Copy { revision, keys, leases } = copy;
        let removed: Vec<String> =
            keys.keys().filter(|key| key.starts_with("op/")).cloned().collect();
        let now = Instant::now();
        *state = State {
            era: state.era + 1,
            revision,
            keys,
            leases: leases.into_iter().map(|(id, (ttl, _))| (id, (ttl, now))).collect(),
            compacted_revision: revision,
            outage: state.outage,
            lost_write: state.lost_write.take(),
            late_writes: state.late_writes,
            calls: state.calls,
            history: Vec::new(),
        };
        for key in removed {
            if !operators.iter().any(|(known, _)| *known == key) {
                state.remove(&key);
            }
        }
        for (key, stored) in operators {
            if state.keys.get(&key).is_none_or(|known| known.value != stored.value) {
                state.write(&key, stored.value, 0);
            }
        }
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns the number of received calls.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Closes the listener and all connections immediately.
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
        let created_revision =
            self.keys.get(key).map_or(self.revision, |known| known.created_revision);
        let stored = StoredValue { value, revision: self.revision, created_revision, lease };
        self.history.push((key.to_owned(), self.revision, Some(stored.clone())));
        self.keys.insert(key.to_owned(), stored);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    /// Ends the leases that have expired; returns whether there were any.
    fn expire_leases(&mut self, now: Instant) -> bool {
        let is_expired = |(ttl, renewed): &(Duration, Instant)| now.duration_since(*renewed) > *ttl;
        let leases: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        leases.iter().for_each(|id| self.end_lease(*id));
        !leases.is_empty()
    }

    /// Ends a lease and removes its keys.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Returns what becomes of a transaction if its answer is to be lost.
    fn take_lost_write(&mut self, body: &Value) -> Option<LostWrite> {
        let (prefix, _) = self.lost_write.as_ref()?;
        let rows = |name: &str| body[name].as_array().into_iter().flatten();
        let mut keys = rows("writes").map(|row| &row["key"]).chain(rows("remove"));
        let matches = keys.any(|key| key.as_str().is_some_and(|key| key.starts_with(prefix)));
        matches.then(|| self.lost_write.take())?.map(|(_, lost)| lost)
    }

    /// Returns the revision of a key; 0 if it does not exist.
    fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.revision)
    }

    /// Applies a transaction if all its conditions hold.
    fn transact(&mut self, body: &Value) -> Response {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("expectedRevision");
        let is_met = |row: &Value| {
            self.revision_of(row["key"].as_str().unwrap_or(""))
                == row["revision"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(is_met) {
            let keys = conditions.iter().filter_map(|row| row["key"].as_str());
            let items: Vec<Value> =
                keys.filter_map(|key| Some(item_json(key, self.keys.get(key)?))).collect();
            let mut res = json_response(&json!({ "items": items }));
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
                return text(StatusCode::BadRequest, "missing key, or value is not base64");
            };
            self.write(key, value, lease(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or(""));
        }
        json_response(&json!({ "revision": self.revision }))
    }
}

fn item_json(key: &str, stored: &StoredValue) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&stored.value),
        "revision": stored.revision,
        "createdRevision": stored.created_revision,
        "lease": stored.lease,
    })
}

struct RequestHandler(Arc<Shared>);

impl Handler for RequestHandler {
    fn raw_answer(&self, _head: &Request) -> Option<RawAnswer> {
        let endless = self.0.lock().outage == Outage::Endless;
        endless.then(|| RawAnswer {
            head: b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
            rest: RawRest::Repeat(vec![b'x'; 16 << 10]),
        })
    }

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
            // The latter has been answered before its body was read.
            Outage::Reset | Outage::Endless => return None,
        }
        if call.path() == "api/kv-txn" {
            self.lose_answer(&call).await;
        }
        let mut res = self.respond(&call).await;
        res.insert_header("Store-Era", self.0.lock().era.to_string());
        Some(res)
    }
}

impl RequestHandler {
    /// Never returns if the answer to a transaction is to be lost.
    async fn lose_answer(&self, call: &Call) {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let Some(lost) = self.0.lock().take_lost_write(&body) else { return };
        match lost {
            LostWrite::Done => drop(self.respond(call).await),
            LostWrite::Late(time) => {
                let shared = self.0.clone();
                // The caller may close the connection, which ends this handler.
                task::spawn(async move {
                    task::sleep(time).await;
                    let mut state = shared.lock();
                    let written = state.transact(&body).status().is_success();
                    state.late_writes += u64::from(written);
                    drop(state);
                    shared.changed.notify(usize::MAX);
                });
            }
            LostWrite::NotDone => {}
        }
        pending().await
    }

    async fn respond(&self, call: &Call) -> Response {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let path = call.path().to_owned();
        if path == "api/kv-watch" {
            return self.watch(call).await;
        }
        let mut state = self.0.lock();
        let has_expired = state.expire_leases(Instant::now());
        let res = match path.strip_prefix("api/").unwrap_or("").split_once('/') {
            None if path == "api/kv-range" => {
                let prefix = call.query("pathPrefix").unwrap_or_default();
                let keys = state.keys.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<Value> = keys.map(|(key, stored)| item_json(key, stored)).collect();
                let revision = state.revision;
                json_response(&json!({ "items": items, "hasMore": false, "atRevision": revision }))
            }
            None if path == "api/kv-txn" => state.transact(&body),
            None if path == "api/kv-lease" => {
                let ttl = body["ttlMs"].as_u64().unwrap_or(0);
                let id = 1_000 + state.leases.keys().next_back().copied().unwrap_or(0);
                state.leases.insert(id, (Duration::from_millis(ttl), Instant::now()));
                json_response(&json!({ "lease": id, "ttlMs": ttl }))
            }
            Some(("kv-keep", id)) => match state.leases.get_mut(&id.parse().unwrap_or(0)) {
                Some((ttl, renewed)) => {
                    *renewed = Instant::now();
                    json_response(&json!({ "ttlMs": ttl.as_millis() as u64 }))
                }
                None => text(StatusCode::NotFound, "no such lease"),
            },
            Some(("kv-lease-end", id)) => {
                state.end_lease(id.parse().unwrap_or(0));
                json_response(&json!({}))
            }
            _ => text(StatusCode::NotFound, "no such endpoint"),
        };
        drop(state);
        if has_expired || path == "api/kv-txn" || path.starts_with("api/kv-lease-end") {
            self.0.changed.notify(usize::MAX);
        }
        res
    }

    async fn watch(&self, call: &Call) -> Response {
        let query_number = |name| call.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (query_number("after"), query_number("waitMs"));
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.0.changed.listen();
            {
                let mut state = self.0.lock();
                state.expire_leases(Instant::now());
                if after < state.compacted_revision || after > state.revision {
                    return text(StatusCode::Gone, "history compacted");
                }
                let changes = state
                    .history
                    .iter()
                    .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<Value> = changes
                    .map(|(key, revision, stored)| match stored {
                        Some(stored) => item_json(key, stored),
                        None => json!({ "key": key, "revision": revision, "removed": true }),
                    })
                    .collect();
                let remaining = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || remaining.is_zero() {
                    return json_response(
                        &json!({ "events": events, "atRevision": state.revision }),
                    );
                }
            }
            // Leases expire without a call, so a watch has to check for expired ones itself.
            let time_to_check =
                end.saturating_duration_since(Instant::now()).min(LEASE_CHECK_INTERVAL);
            let _ = timeout(time_to_check, changed).await;
        }
    }
}

/// Interval at which a waiting watch checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
