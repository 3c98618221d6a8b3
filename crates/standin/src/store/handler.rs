//! HTTP interface of the store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use serde_json::{Value, json};

use super::StoreOptions;
use super::data::{Data, PutResult, Stats};
use super::faults::StoreFaults;
use super::rate_limit::RateLimit;
use crate::http::{self, Call, Handler, Method, Response, StatusCode, text};

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum time that a watch waits.
const MAX_WATCH_MS: u64 = 60_000;

/// State shared by the handlers and the listener task.
pub struct State {
    inner: Mutex<Inner>,
    /// Wakes the listener task after a change of the faults.
    wake: (Sender<()>, Receiver<()>),
}

struct Inner {
    data: Data,
    faults: StoreFaults,
    stats: Stats,
    reads: RateLimit,
    writes: RateLimit,
}

/// Handles requests on the store's port.
pub struct RequestHandler(pub Arc<State>);

/// Handles requests on the admin port.
pub struct AdminHandler(pub Arc<State>);

/// Type of a call, as counted in [`Stats`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallType {
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

    /// Wakes the listener task.
    pub fn wake(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.0.try_send(());
    }

    /// Waits for [`State::wake`]; returns `false` if the store is closing.
    pub async fn wait_for_wake(&self) -> bool {
        self.wake.1.recv().await.is_ok()
    }

    pub fn close(&self) {
        self.wake.0.close();
    }

    /// Counts a call and returns whether the rate limit allows it.
    fn admit(&self, call_type: CallType) -> bool {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        let stats = &mut inner.stats;
        match call_type {
            CallType::Read => stats.reads += 1,
            CallType::Write => stats.writes += 1,
            CallType::Watch => stats.watches += 1,
            CallType::Lease => stats.lease_calls += 1,
        }
        match call_type {
            CallType::Read | CallType::Watch => inner.reads.try_acquire(now),
            CallType::Write | CallType::Lease => inner.writes.try_acquire(now),
        }
    }

    /// Returns whether the answer to a call is lost, and decrements the number of answers to lose.
    fn consume_lost_answer(&self, call_type: CallType) -> bool {
        let faults = &mut self.inner.lock().unwrap().faults;
        let remaining = match call_type {
            CallType::Write => &mut faults.lose_answers,
            CallType::Watch => &mut faults.lose_watch_answers,
            CallType::Read | CallType::Lease => return false,
        };
        let lost = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        lost
    }

    fn with_data<T>(&self, f: impl FnOnce(&mut Data, Instant) -> T) -> T {
        f(&mut self.inner.lock().unwrap().data, Instant::now())
    }

    fn read(&self, key: &str) -> Response {
        self.with_data(|data, now| match data.get(key, now) {
            Some((version, value)) => with_version(http::json(value), version),
            None => text(StatusCode::NotFound, "no such key"),
        })
    }

    fn list(&self, prefix: &str) -> Response {
        http::json(&self.with_data(|data, now| data.list(prefix, now)))
    }

    fn put(&self, key: &str, call: &Call) -> Response {
        let Some(if_version) = query_number(call, "if-version") else {
            return bad_request("if-version");
        };
        let lease = match call.query("lease") {
            Some(_) => match query_number(call, "lease") {
                Some(id) => Some(id),
                None => return bad_request("lease"),
            },
            None => None,
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return text(StatusCode::PayloadTooLarge, "value exceeds 1 MiB");
        }
        let Ok(value) = serde_json::from_slice::<Value>(&call.body) else {
            return bad_request("value");
        };
        match self.with_data(|data, now| data.put(key, value, if_version, lease, now)) {
            PutResult::Written(version) => with_version(Response::new(StatusCode::Ok), version),
            PutResult::Conflict(version) => {
                with_version(Response::new(StatusCode::Conflict), version)
            }
            PutResult::NoLease => text(StatusCode::NotFound, "no such lease"),
        }
    }

    async fn watch(&self, key: &str, call: &Call) -> Response {
        let Some(after) = query_number(call, "after") else { return bad_request("after") };
        let Some(wait) = query_number(call, "timeout-ms") else { return bad_request("timeout-ms") };
        let deadline = Instant::now() + Duration::from_millis(wait.min(MAX_WATCH_MS));
        loop {
            let written = match self.with_data(|data, now| check_watch(data, key, after, now)) {
                WatchState::Changed(res) => return *res,
                WatchState::Waiting(written) => written,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if timeout(remaining, written.recv()).await.is_err() {
                return Response::new(StatusCode::NoContent);
            }
        }
    }

    fn lease(&self, call: &Call, path: &[&str]) -> Response {
        match (call.head.method(), path) {
            (Method::Post, []) => self.grant_lease(call),
            (Method::Post, [id, "renew"]) => self.change_lease(id, Data::renew_lease),
            (Method::Delete, [id]) => self.change_lease(id, Data::revoke_lease),
            _ => text(StatusCode::NotFound, "no such endpoint"),
        }
    }

    fn grant_lease(&self, call: &Call) -> Response {
        let Some(ttl) = query_number(call, "ttl-ms") else { return bad_request("ttl-ms") };
        let id = self.with_data(|data, now| data.grant_lease(Duration::from_millis(ttl), now));
        http::json(&json!({ "id": id }))
    }

    fn change_lease(&self, id: &str, f: impl FnOnce(&mut Data, u64, Instant) -> bool) -> Response {
        let Ok(id) = id.parse() else { return bad_request("lease id") };
        match self.with_data(|data, now| f(data, id, now)) {
            true => Response::new(StatusCode::Ok),
            false => text(StatusCode::NotFound, "no such lease"),
        }
    }

    fn change_faults(&self, call: &Call) -> Response {
        let Ok(Value::Object(fields)) = serde_json::from_slice(&call.body) else {
            return bad_request("faults");
        };
        let mut merged = json!(self.faults());
        if let Value::Object(current) = &mut merged {
            current.extend(fields);
        }
        match serde_json::from_value(merged) {
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
        let Some(call_type) = call_type(call.head.method(), &path) else {
            return Some(text(StatusCode::NotFound, "no such endpoint"));
        };
        if !self.admit(call_type) {
            return Some(text(StatusCode::TooManyRequests, "rate limit"));
        }
        let key = path[2..].join("/");
        let res = match call_type {
            CallType::Read if path.len() == 2 => {
                self.list(&call.query("prefix").unwrap_or_default())
            }
            CallType::Read => self.read(&key),
            CallType::Write => self.put(&key, call),
            CallType::Watch => self.watch(&key, call).await,
            CallType::Lease => self.lease(call, &path[2..]),
        };
        (!self.consume_lost_answer(call_type)).then_some(res)
    }
}

impl Handler for RequestHandler {
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
        // A watch gets no answer if the store went down while it waited.
        if self.0.faults().hangs() {
            std::future::pending::<()>().await;
        }
        res
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, call: Call) -> Option<Response> {
        let res = self.0.admin(&call);
        Some(res.unwrap_or_else(|| text(StatusCode::NotFound, "no such endpoint")))
    }
}

/// The answer to a watch, or a channel that the next write of the key closes.
enum WatchState {
    Changed(Box<Response>),
    Waiting(Receiver<()>),
}

fn check_watch(data: &mut Data, key: &str, after: u64, now: Instant) -> WatchState {
    match data.get(key, now) {
        Some((version, value)) if version > after => {
            WatchState::Changed(Box::new(with_version(http::json(value), version)))
        }
        _ => WatchState::Waiting(data.watch(key)),
    }
}

fn call_type(method: Method, path: &[&str]) -> Option<CallType> {
    match (method, path) {
        (Method::Get, ["v1", "kv", ..]) => Some(CallType::Read),
        (Method::Put, ["v1", "kv", _, ..]) => Some(CallType::Write),
        (Method::Get, ["v1", "watch", _, ..]) => Some(CallType::Watch),
        (Method::Post | Method::Delete, ["v1", "lease", ..]) => Some(CallType::Lease),
        _ => None,
    }
}

fn query_number(call: &Call, name: &str) -> Option<u64> {
    call.query(name)?.parse().ok()
}

fn bad_request(what: &str) -> Response {
    text(StatusCode::BadRequest, format!("missing or invalid {what}"))
}

fn with_version(mut res: Response, version: u64) -> Response {
    res.insert_header("x-version", version.to_string());
    res
}
