//! HTTP interface of the store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use serde_json::{Value, json};

use super::StoreOptions;
use super::data::{Data, Put, Stats};
use super::faults::StoreFaults;
use super::limit::RateLimit;
use crate::http::{self, Call, Handler, Method, Response, StatusCode, text};

/// Longest value accepted.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Longest wait of a watch.
const WATCH_MAX_MS: u64 = 60_000;

pub struct State {
    inner: Mutex<Inner>,
    wake: (Sender<()>, Receiver<()>),
}

struct Inner {
    data: Data,
    faults: StoreFaults,
    stats: Stats,
    reads: RateLimit,
    writes: RateLimit,
}

/// Requests of the store's own port.
pub struct Requests(pub Arc<State>);

/// Requests of the admin port.
pub struct Admin(pub Arc<State>);

/// Group of calls with a common count.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Group {
    Read,
    Write,
    Watch,
    Lease,
}

impl State {
    pub fn new(options: &StoreOptions) -> Self {
        let now = Instant::now();
        let inner = Inner {
            data: Data::default(),
            faults: StoreFaults::default(),
            stats: Stats::default(),
            reads: RateLimit::new(options.reads_per_s, now),
            writes: RateLimit::new(options.writes_per_s, now),
        };
        Self { inner: Mutex::new(inner), wake: async_channel::bounded(1) }
    }

    pub fn faults(&self) -> StoreFaults {
        self.inner.lock().unwrap().faults.clone()
    }

    pub fn set_faults(&self, faults: StoreFaults) {
        self.inner.lock().unwrap().faults = faults;
        self.wake();
    }

    pub fn stats(&self) -> Stats {
        self.inner.lock().unwrap().stats
    }

    pub fn wake(&self) {
        // A full channel holds a wake-up already.
        let _ = self.wake.0.try_send(());
    }

    /// Waits for a change of the faults; `false` when the store is closing.
    pub async fn changed(&self) -> bool {
        self.wake.1.recv().await.is_ok()
    }

    pub fn close(&self) {
        self.wake.0.close();
    }

    /// Counts a call and returns whether the rate limit allows it.
    fn admit(&self, group: Group) -> bool {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        let stats = &mut inner.stats;
        match group {
            Group::Read => stats.reads += 1,
            Group::Write => stats.writes += 1,
            Group::Watch => stats.watches += 1,
            Group::Lease => stats.lease_calls += 1,
        }
        match group {
            Group::Read | Group::Watch => inner.reads.allows(now),
            Group::Write | Group::Lease => inner.writes.allows(now),
        }
    }

    /// Takes one of the answers to be lost.
    fn loses(&self, group: Group) -> bool {
        let faults = &mut self.inner.lock().unwrap().faults;
        let left = match group {
            Group::Write => &mut faults.lose_answers,
            Group::Watch => &mut faults.lose_watch_answers,
            Group::Read | Group::Lease => return false,
        };
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        lost
    }

    fn with_data<T>(&self, f: impl FnOnce(&mut Data, Instant) -> T) -> T {
        f(&mut self.inner.lock().unwrap().data, Instant::now())
    }

    fn read(&self, key: &str) -> Response {
        self.with_data(|data, now| match data.get(key, now) {
            Some((version, value)) => versioned(http::json(value), version),
            None => text(StatusCode::NotFound, "no such key"),
        })
    }

    fn list(&self, prefix: &str) -> Response {
        http::json(&self.with_data(|data, now| data.list(prefix, now)))
    }

    fn put(&self, key: &str, call: &Call) -> Response {
        let Some(if_version) = number(call, "if-version") else { return bad("if-version") };
        let lease = match call.query("lease") {
            Some(_) => match number(call, "lease") {
                Some(id) => Some(id),
                None => return bad("lease"),
            },
            None => None,
        };
        if call.body.len() > VALUE_MAX_BYTES {
            return text(StatusCode::PayloadTooLarge, "value above 1 MiB");
        }
        let Ok(value) = serde_json::from_slice::<Value>(&call.body) else { return bad("value") };
        match self.with_data(|data, now| data.put(key, value, if_version, lease, now)) {
            Put::Written(version) => versioned(Response::new(StatusCode::Ok), version),
            Put::Conflict(version) => versioned(Response::new(StatusCode::Conflict), version),
            Put::NoLease => text(StatusCode::NotFound, "no such lease"),
        }
    }

    async fn watch(&self, key: &str, call: &Call) -> Response {
        let Some(after) = number(call, "after") else { return bad("after") };
        let Some(wait) = number(call, "timeout-ms") else { return bad("timeout-ms") };
        let until = Instant::now() + Duration::from_millis(wait.min(WATCH_MAX_MS));
        loop {
            let written = match self.with_data(|data, now| newer(data, key, after, now)) {
                Newer::Found(res) => return *res,
                Newer::Awaited(written) => written,
            };
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, written.recv()).await.is_err() {
                return Response::new(StatusCode::NoContent);
            }
        }
    }

    fn lease(&self, call: &Call, path: &[&str]) -> Response {
        match (call.head.method(), path) {
            (Method::Post, []) => self.grant(call),
            (Method::Post, [id, "renew"]) => self.on_lease(id, Data::renew),
            (Method::Delete, [id]) => self.on_lease(id, Data::revoke),
            _ => text(StatusCode::NotFound, "no such call"),
        }
    }

    fn grant(&self, call: &Call) -> Response {
        let Some(ttl) = number(call, "ttl-ms") else { return bad("ttl-ms") };
        let id = self.with_data(|data, now| data.grant(Duration::from_millis(ttl), now));
        http::json(&json!({ "id": id }))
    }

    fn on_lease(&self, id: &str, f: impl FnOnce(&mut Data, u64, Instant) -> bool) -> Response {
        let Ok(id) = id.parse() else { return bad("lease id") };
        match self.with_data(|data, now| f(data, id, now)) {
            true => Response::new(StatusCode::Ok),
            false => text(StatusCode::NotFound, "no such lease"),
        }
    }

    fn change_faults(&self, call: &Call) -> Response {
        let Ok(Value::Object(fields)) = serde_json::from_slice(&call.body) else {
            return bad("faults");
        };
        let mut all = json!(self.faults());
        if let Value::Object(present) = &mut all {
            present.extend(fields);
        }
        match serde_json::from_value(all) {
            Ok(faults) => {
                self.set_faults(faults);
                http::json(&self.faults())
            }
            Err(e) => text(StatusCode::BadRequest, e.to_string()),
        }
    }

    fn admin(&self, call: &Call) -> Option<Response> {
        match (call.head.method(), call.path()) {
            (Method::Post, "admin/faults") => Some(self.change_faults(call)),
            (Method::Get, "admin/faults") => Some(http::json(&self.faults())),
            (Method::Get, "v1/stats") => Some(http::json(&self.stats())),
            _ => None,
        }
    }

    async fn call(&self, call: &Call) -> Option<Response> {
        let path: Vec<&str> = call.path().split('/').collect();
        let Some(group) = group(call.head.method(), &path) else {
            return Some(text(StatusCode::NotFound, "no such call"));
        };
        if !self.admit(group) {
            return Some(text(StatusCode::TooManyRequests, "rate limit"));
        }
        let key = path[2..].join("/");
        let res = match group {
            Group::Read if path.len() == 2 => self.list(&call.query("prefix").unwrap_or_default()),
            Group::Read => self.read(&key),
            Group::Write => self.put(&key, call),
            Group::Watch => self.watch(&key, call).await,
            Group::Lease => self.lease(call, &path[2..]),
        };
        (!self.loses(group)).then_some(res)
    }
}

impl Handler for Requests {
    async fn handle(&self, call: Call) -> Option<Response> {
        if let Some(res) = self.0.admin(&call) {
            return Some(res);
        }
        let faults = self.0.faults();
        if faults.hangs() {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            task::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let res = self.0.call(&call).await;
        // A watch that waited when the store went down gets no answer.
        if self.0.faults().hangs() {
            std::future::pending::<()>().await;
        }
        res
    }
}

impl Handler for Admin {
    async fn handle(&self, call: Call) -> Option<Response> {
        let res = self.0.admin(&call);
        Some(res.unwrap_or_else(|| text(StatusCode::NotFound, "no such call")))
    }
}

/// A value newer than a watched version, or the wait for one.
enum Newer {
    Found(Box<Response>),
    Awaited(Receiver<()>),
}

fn newer(data: &mut Data, key: &str, after: u64, now: Instant) -> Newer {
    match data.get(key, now) {
        Some((version, value)) if version > after => {
            Newer::Found(Box::new(versioned(http::json(value), version)))
        }
        _ => Newer::Awaited(data.watch(key)),
    }
}

fn group(method: Method, path: &[&str]) -> Option<Group> {
    match (method, path) {
        (Method::Get, ["v1", "kv", ..]) => Some(Group::Read),
        (Method::Put, ["v1", "kv", _, ..]) => Some(Group::Write),
        (Method::Get, ["v1", "watch", _, ..]) => Some(Group::Watch),
        (Method::Post | Method::Delete, ["v1", "lease", ..]) => Some(Group::Lease),
        _ => None,
    }
}

fn number(call: &Call, name: &str) -> Option<u64> {
    call.query(name)?.parse().ok()
}

fn bad(what: &str) -> Response {
    text(StatusCode::BadRequest, format!("missing or invalid {what}"))
}

fn versioned(mut res: Response, version: u64) -> Response {
    res.insert_header("x-version", version.to_string());
    res
}
