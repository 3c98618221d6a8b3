//! Clients with persistent connections, and the announcements of the upstreams.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use oleandertiller::mesh::http::{Headers, HttpConn, encode_request, response_framing};
use serde_json::json;

use crate::fleet::{Fleet, Response, call};

/// Number of clients of each node.
const CLIENTS_PER_NODE: usize = 3;

/// Deadline that clients send.
pub const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time after which a client stops waiting for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time between the end of a request and the next one of the same client.
const THINK_TIME: Duration = Duration::from_millis(25);

/// Time between two announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);

/// Of this many turns of a client, one sends several requests without waiting for the responses.
const PIPELINE_INTERVAL: usize = 4;

/// Requests that a client sends at once then.
const PIPELINED_REQUESTS: usize = 4;

/// A finished request as its client saw it.
#[derive(Debug)]
pub struct FinishedRequest {
    pub id: String,
    pub repeatable: bool,
    /// Whether it was sent behind a request whose response closed the connection.
    pub behind_close: bool,
    /// The response; `None` if the connection closed or the client timed out.
    pub response: Option<Response>,
}

/// Running clients.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<FinishedRequest>>>,
}

impl Clients {
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for (node, member) in fleet.members.iter().enumerate() {
            for client in 0..CLIENTS_PER_NODE {
                let name = format!("{seed}-{node}-{client}");
                tasks.push(task::spawn(run(member.ingress, name, stop.clone())));
            }
        }
        Self { stop, tasks }
    }

    pub async fn stop(self) -> Vec<FinishedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await);
        }
        all
    }
}

async fn run(ingress: SocketAddr, name: String, stop: Arc<AtomicBool>) -> Vec<FinishedRequest> {
    let mut finished: Vec<FinishedRequest> = Vec::new();
    let mut conn = None;
    for turn in 1.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let pipelines = turn % PIPELINE_INTERVAL == 0;
        let count = if pipelines { PIPELINED_REQUESTS } else { 1 };
        let ids: Vec<_> = (0..count).map(|n| format!("{name}-{}", finished.len() + n)).collect();
        let repeatable = pipelines || turn % 2 == 0;
        let open = match conn.take() {
            Some(conn) => Some(conn),
            None => HttpConn::connect(ingress).await.ok(),
        };
        let mut responses = Vec::new();
        let mut closed = false;
        if let Some(mut open) = open {
            let exchange = exchange(&mut open, &ids, repeatable, &mut responses);
            let end = timeout(CLIENT_TIMEOUT, exchange).await.ok().flatten();
            closed = end == Some(true);
            conn = (end == Some(false)).then_some(open);
        }
        let mut responses = responses.into_iter();
        for id in ids {
            let response = responses.next();
            let behind_close = closed && response.is_none();
            finished.push(FinishedRequest { id, repeatable, behind_close, response });
        }
        task::sleep(THINK_TIME).await;
    }
    finished
}

/// Sends requests at once and reads their responses; returns whether the last one read closes the
/// connection, or `None` if it broke.
async fn exchange(
    conn: &mut HttpConn,
    ids: &[String],
    repeatable: bool,
    responses: &mut Vec<Response>,
) -> Option<bool> {
    let (method, path) = if repeatable { ("GET", "/read/1") } else { ("POST", "/release/1") };
    let mut requests = Vec::new();
    for id in ids {
        let mut headers = Headers::default();
        headers.set("Host", "shop.example");
        headers.set("Oleandertiller-Attempt-Id", id.as_str());
        headers.set("Oleandertiller-Deadline-Milliseconds", DEADLINE.as_millis().to_string());
        requests.extend(encode_request(method, path, &headers, &[]));
    }
    conn.write(&requests).await.ok()?;
    for _ in ids {
        let head = conn.read_response(64_000).await.ok()?;
        let framing = response_framing(head.status, &head.headers).ok()?;
        let body = conn.read_body(framing, 1 << 20).await.ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        responses.push(Response { status: head.status, headers: head.headers, body });
        if head.close {
            return Some(true);
        }
    }
    Some(false)
}

/// The announcements of one upstream.
struct Announcer {
    control: SocketAddr,
    id: String,
    address: SocketAddr,
    sequence: AtomicU64,
    born: AtomicU64,
    draining: AtomicBool,
    /// When the node acknowledged the drain of the upstream.
    acknowledged: Mutex<Option<Instant>>,
}

impl Announcer {
    async fn send(&self) {
        let draining = self.draining.load(Ordering::Relaxed);
        let body = json!({
            "service": "kettle", "address": self.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 4, "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "sequence": self.sequence.fetch_add(1, Ordering::Relaxed),
            "born": self.born.load(Ordering::Relaxed),
        });
        let path = format!("/api/instances/{}", self.id);
        let body = body.to_string();
        let sent = call(self.control, "PUT", &path, "x", &[], body.as_bytes());
        let response = timeout(Duration::from_secs(1), sent).await.ok().flatten();
        if draining && response.is_some_and(|response| response.status == 200) {
            self.acknowledged.lock().unwrap().get_or_insert_with(Instant::now);
        }
    }
}

/// Periodic announcements of all upstreams.
pub struct Announcements(Vec<Arc<Announcer>>);

impl Announcements {
    pub fn start(fleet: &Fleet) -> Self {
        let announcements = fleet.members.iter().map(|member| {
            Arc::new(Announcer {
                control: member.control,
                id: member.upstream.id().to_owned(),
                address: member.upstream_addr(),
                sequence: AtomicU64::new(1_000_000),
                born: AtomicU64::new(2_000),
                draining: AtomicBool::new(false),
                acknowledged: Mutex::default(),
            })
        });
        let announcements: Vec<_> = announcements.collect();
        for announcer in &announcements {
            let announcer = Arc::downgrade(announcer);
            task::spawn(async move {
                while let Some(announcer) = announcer.upgrade() {
                    announcer.send().await;
                    task::sleep(ANNOUNCEMENT_INTERVAL).await;
                }
            });
        }
        Self(announcements)
    }

    /// Announces an upstream as draining from now on.
    pub fn drain(&self, node: usize) {
        self.0[node].draining.store(true, Ordering::Relaxed);
    }

    /// Announces a new incarnation of an upstream as ready; returns when the drain of the previous
    /// incarnation was acknowledged, if it was.
    pub fn start_incarnation(&self, node: usize) -> Option<Instant> {
        let announcer = &self.0[node];
        announcer.born.fetch_add(1, Ordering::Relaxed);
        announcer.draining.store(false, Ordering::Relaxed);
        announcer.acknowledged.lock().unwrap().take()
    }
}
