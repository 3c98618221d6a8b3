//! Stand-in for the upstream beside a mesh node; it records the requests that it runs.

use std::{
    collections::HashMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use tide::http::{Request, Response, StatusCode};

use crate::http::{Call, Handler, RawAnswer, Server, StatusLine, StopHandle, text};

/// Ratio of the service time of a slow run to the usual one.
const SLOW_FACTOR: u32 = 6;

/// How the upstream handles requests.
#[derive(Clone, Debug)]
pub struct MeshUpstreamBehaviour {
    /// Time for which it works on a request.
    pub service_time: Duration,
    /// Status code of its responses.
    pub status: u16,
    /// Status line of its responses, if it is not the one of `status`.
    pub status_line: Option<String>,
    /// Share of the requests that it answers with status 500.
    pub failure_share: f64,
    /// Share of the requests on which it works several times as long.
    pub slow_share: f64,
    /// Until when it says that it is cold, in the responses to health checks.
    pub cold_until: Option<Instant>,
    /// Whether it closes the connection after the work instead of responding.
    pub loses_responses: bool,
    /// Whether it never responds after the work.
    pub hangs: bool,
    /// Whether its health check fails.
    pub unhealthy: bool,
    /// Service time in percent of the usual one, as reported with each response.
    pub slowness: u32,
    /// Requests per second that it says it accepts, in all responses.
    pub request_limit: Option<f64>,
    /// Whether it says in all responses that it is leaving.
    pub leaving: bool,
    /// Path and query of the requests on which it ends.
    pub ends_on: Option<String>,
    /// What it sends in place of responses; `{id}` in the first bytes stands for the request's id.
    pub raw_answer: Option<RawAnswer>,
    /// What it sends in place of responses to health checks.
    pub raw_health: Option<RawAnswer>,
}

impl Default for MeshUpstreamBehaviour {
    fn default() -> Self {
        let service_time = Duration::from_millis(20);
        Self {
            service_time,
            status: 200,
            status_line: None,
            failure_share: 0.0,
            slow_share: 0.0,
            cold_until: None,
            loses_responses: false,
            hangs: false,
            unhealthy: false,
            slowness: 100,
            request_limit: None,
            leaving: false,
            ends_on: None,
            raw_answer: None,
            raw_health: None,
        }
    }
}

/// A request that the upstream has started to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt id set by the client.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Service of the caller, if given.
    pub caller: Option<String>,
    /// Time until the caller stops waiting, if given.
    pub deadline_ms: Option<u64>,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Value of the `Authorization` header.
    pub authorization: Option<String>,
    /// When the run started.
    pub started: Instant,
    /// Whether the work was completed.
    pub finished: bool,
    /// When it ended with a failure, or after several times the usual service time.
    pub bad_at: Option<Instant>,
    /// Whether the upstream has ended on it.
    pub ended: bool,
}

struct Shared {
    /// Set once the server has started.
    stop: OnceLock<StopHandle>,
    id: String,
    slots: usize,
    behaviour: Mutex<MeshUpstreamBehaviour>,
    runs: Mutex<Vec<Run>>,
    running: AtomicUsize,
}

/// A running stand-in upstream.
pub struct MeshUpstream {
    shared: Arc<Shared>,
    server: Server,
}

impl MeshUpstream {
    /// Starts an upstream with the given id, which reports `slots` slots.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(addr: SocketAddr, id: &str, slots: usize) -> io::Result<Self> {
        Self::start_with(addr, id, slots, MeshUpstreamBehaviour::default(), Vec::new()).await
    }

    async fn start_with(
        addr: SocketAddr,
        id: &str,
        slots: usize,
        behaviour: MeshUpstreamBehaviour,
        runs: Vec<Run>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            stop: OnceLock::new(),
            id: id.to_owned(),
            slots,
            behaviour: Mutex::new(behaviour),
            runs: Mutex::new(runs),
            running: AtomicUsize::new(0),
        });
        let server = Server::start(addr, Arc::new(RequestHandler(shared.clone()))).await?;
        // It is empty before.
        let _ = shared.stop.set(server.stop_handle());
        Ok(Self { shared, server })
    }

    /// Returns whether it has ended on a request.
    pub fn has_ended(&self) -> bool {
        lock(&self.shared.runs).last().is_some_and(|run| run.ended)
    }

    /// Starts it again under another id, with the same address and behaviour.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn restart(&mut self, id: &str) -> io::Result<()> {
        let mut runs = self.runs();
        runs.iter_mut().for_each(|run| run.ended = false);
        let behaviour = lock(&self.shared.behaviour).clone();
        let slots = self.shared.slots;
        *self = Self::start_with(self.addr(), id, slots, behaviour, runs).await?;
        Ok(())
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Changes its behaviour.
    pub fn change(&self, f: impl FnOnce(&mut MeshUpstreamBehaviour)) {
        f(&mut lock(&self.shared.behaviour));
    }

    /// Returns the requests that it has started to run, in this order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the number of runs by attempt id.
    pub fn runs_by_id(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for run in self.runs() {
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections immediately.
    pub async fn close(self) {
        self.server.close().await;
    }
}

struct RequestHandler(Arc<Shared>);

/// Decrements the number of running requests when dropped.
struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for RequestHandler {
    fn raw_answer(&self, head: &Request) -> Option<RawAnswer> {
        let behaviour = lock(&self.0.behaviour);
        if head.url().path() == "/health" {
            return behaviour.raw_health.clone();
        }
        let RawAnswer { head: bytes, rest } = behaviour.raw_answer.clone()?;
        let id = head.header("Oleandertiller-Attempt-Id").map_or("", |values| values.as_str());
        let head = String::from_utf8_lossy(&bytes).replace("{id}", id).into_bytes();
        Some(RawAnswer { head, rest })
    }

    async fn handle(&self, call: Call) -> Option<Response> {
        let behaviour = lock(&self.0.behaviour).clone();
        if call.path() == "health" {
            let status =
                if behaviour.unhealthy { StatusCode::ServiceUnavailable } else { StatusCode::Ok };
            let mut res = self.with_load(text(status, ""), &behaviour);
            let cold_for =
                behaviour.cold_until.map(|at| at.saturating_duration_since(Instant::now()));
            if let Some(cold_for) = cold_for.filter(|time| !time.is_zero()) {
                let millis = cold_for.as_millis().to_string();
                res.insert_header("Oleandertiller-Cold-Milliseconds", millis);
            }
            return Some(res);
        }
        let expected = call.header("Oleandertiller-Expected-Instance");
        if expected.is_some_and(|id| id != self.0.id) {
            return Some(self.with_load(text(StatusCode::MisdirectedRequest, ""), &behaviour));
        }
        let id = call.header("Oleandertiller-Attempt-Id")?.to_owned();
        let index = self.record_start(&call, &id);
        self.0.running.fetch_add(1, Ordering::Relaxed);
        let _running = RunningGuard(&self.0.running);
        let is_slow = rand::random_bool(behaviour.slow_share);
        let fails = rand::random_bool(behaviour.failure_share);
        task::sleep(behaviour.service_time * if is_slow { SLOW_FACTOR } else { 1 }).await;
        let ends = behaviour.ends_on.as_ref() == Some(&lock(&self.0.runs)[index].target);
        if ends && let Some(stop) = self.0.stop.get() {
            lock(&self.0.runs)[index].ended = true;
            stop.clone().close();
            return None;
        }
        if behaviour.hangs {
            pending::<()>().await;
        }
        {
            let run = &mut lock(&self.0.runs)[index];
            run.finished = true;
            run.bad_at = (is_slow || fails).then(Instant::now);
        }
        if behaviour.loses_responses {
            return None;
        }
        let status = if fails { 500 } else { behaviour.status };
        let status = StatusCode::try_from(status).unwrap_or(StatusCode::Ok);
        let mut res = text(status, format!("{} by {}", id, self.0.id));
        res.insert_header("Oleandertiller-Attempt-Id", id);
        res.insert_header("Oleandertiller-Response-Signature", format!("signed-{}", self.0.id));
        if let Some(line) = &behaviour.status_line {
            res.ext_mut().insert(StatusLine(line.clone()));
        }
        Some(self.with_load(res, &behaviour))
    }
}

impl RequestHandler {
    /// Records the start of a run; returns its index.
    fn record_start(&self, call: &Call, id: &str) -> usize {
        let url = call.head.url();
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        let deadline = call.header("Oleandertiller-Deadline-Milliseconds");
        let run = Run {
            id: id.to_owned(),
            target: format!("{}{query}", url.path()),
            body: call.body.clone(),
            caller: call.header("Oleandertiller-Caller-Service").map(str::to_owned),
            deadline_ms: deadline.and_then(|text| text.parse().ok()),
            tenant: call.header("Oleandertiller-Tenant").map(str::to_owned),
            authorization: call.header("Authorization").map(str::to_owned),
            started: Instant::now(),
            finished: false,
            bad_at: None,
            ended: false,
        };
        let mut runs = lock(&self.0.runs);
        runs.push(run);
        runs.len() - 1
    }

    /// Adds the headers with which the upstream reports its load and its id.
    fn with_load(&self, mut res: Response, behaviour: &MeshUpstreamBehaviour) -> Response {
        let running = self.0.running.load(Ordering::Relaxed);
        let load = format!("{running},0,{},{}", self.0.slots, behaviour.slowness);
        res.insert_header("Oleandertiller-Server-Load", load);
        res.insert_header("Oleandertiller-Instance-Identifier", self.0.id.clone());
        if let Some(per_second) = behaviour.request_limit {
            res.insert_header("Server-Limit", per_second.to_string());
        }
        if behaviour.leaving {
            res.insert_header("Server-Leaving", "1");
        }
        res
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
