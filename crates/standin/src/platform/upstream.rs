//! An upstream beside a mesh node, which records what it runs.

use std::{
    collections::HashMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use tide::http::{Response, StatusCode};

use crate::http::{Call, Handler, Server, text};

/// What the upstream does with requests.
#[derive(Clone, Debug)]
pub struct MeshUpstreamBehaviour {
    /// Time that a request takes.
    pub service_time: Duration,
    /// Status of its answers.
    pub status: u16,
    /// Whether it closes the connection after the work, without a response.
    pub loses_responses: bool,
    /// Whether it never answers.
    pub hangs: bool,
    /// Whether its health check fails.
    pub unhealthy: bool,
    /// How long work takes, in percent of the usual time, as told with each answer.
    pub slowness: u32,
}

impl Default for MeshUpstreamBehaviour {
    fn default() -> Self {
        let service_time = Duration::from_millis(20);
        Self {
            service_time,
            status: 200,
            loses_responses: false,
            hangs: false,
            unhealthy: false,
            slowness: 100,
        }
    }
}

/// One request that the upstream has begun.
#[derive(Clone, Debug)]
pub struct Run {
    /// The client's id.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Service named as the caller.
    pub caller: Option<String>,
    /// Milliseconds that the caller waits.
    pub deadline_ms: Option<u64>,
    /// When it began.
    pub started: Instant,
    /// Whether it was worked on to its end.
    pub finished: bool,
}

struct Shared {
    id: String,
    slots: usize,
    behaviour: Mutex<MeshUpstreamBehaviour>,
    runs: Mutex<Vec<Run>>,
    running: AtomicUsize,
}

/// A running upstream.
pub struct MeshUpstream {
    shared: Arc<Shared>,
    server: Server,
}

impl MeshUpstream {
    /// Starts an upstream that names itself `id` and runs `slots` requests at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start(addr: SocketAddr, id: &str, slots: usize) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            slots,
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let server = Server::start(addr, Arc::new(Answers(shared.clone()))).await?;
        Ok(Self { shared, server })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Changes what it does.
    pub fn change(&self, f: impl FnOnce(&mut MeshUpstreamBehaviour)) {
        f(&mut lock(&self.shared.behaviour));
    }

    /// Returns what it has run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns how often each request has run.
    pub fn runs_by_id(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for run in self.runs() {
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }

    /// Returns the number of requests in work.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections at once.
    pub async fn close(self) {
        self.server.close().await;
    }
}

struct Answers(Arc<Shared>);

struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for Answers {
    async fn handle(&self, call: Call) -> Option<Response> {
        let behaviour = lock(&self.0.behaviour).clone();
        if call.path() == "health" {
            let status =
                if behaviour.unhealthy { StatusCode::ServiceUnavailable } else { StatusCode::Ok };
            return Some(self.told(text(status, ""), &behaviour));
        }
        let expected = call.header("Oleandertiller-Expected-Instance");
        if expected.is_some_and(|id| id != self.0.id) {
            return Some(self.told(text(StatusCode::MisdirectedRequest, ""), &behaviour));
        }
        let id = call.header("Oleandertiller-Attempt-Id")?.to_owned();
        let index = self.begin(&call, &id);
        self.0.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.0.running);
        task::sleep(behaviour.service_time).await;
        if behaviour.hangs {
            pending::<()>().await;
        }
        lock(&self.0.runs)[index].finished = true;
        if behaviour.loses_responses {
            return None;
        }
        let status = StatusCode::try_from(behaviour.status).unwrap_or(StatusCode::Ok);
        let mut res = text(status, format!("{} by {}", id, self.0.id));
        res.insert_header("Oleandertiller-Attempt-Id", id);
        res.insert_header("Oleandertiller-Response-Signature", format!("signed-{}", self.0.id));
        Some(self.told(res, &behaviour))
    }
}

impl Answers {
    fn begin(&self, call: &Call, id: &str) -> usize {
        let url = call.head.url();
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        let deadline = call.header("Oleandertiller-Deadline-Milliseconds");
        let run = Run {
            id: id.to_owned(),
            target: format!("{}{query}", url.path()),
            body: call.body.clone(),
            caller: call.header("Oleandertiller-Caller-Service").map(str::to_owned),
            deadline_ms: deadline.and_then(|text| text.parse().ok()),
            started: Instant::now(),
            finished: false,
        };
        let mut runs = lock(&self.0.runs);
        runs.push(run);
        runs.len() - 1
    }

    fn told(&self, mut res: Response, behaviour: &MeshUpstreamBehaviour) -> Response {
        let running = self.0.running.load(Ordering::Relaxed);
        let load = format!("{running},0,{},{}", self.0.slots, behaviour.slowness);
        res.insert_header("Oleandertiller-Server-Load", load);
        res.insert_header("Oleandertiller-Instance-Identifier", self.0.id.clone());
        res
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
