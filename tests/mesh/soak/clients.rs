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

/// A finished request as its client saw it.
#[derive(Debug)]
pub struct FinishedRequest {
    pub id: String,
    pub repeatable: bool,
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
    let mut finished = Vec::new();
    let mut conn = None;
    while !stop.load(Ordering::Relaxed) {
        let (id, repeatable) = (format!("{name}-{}", finished.len()), finished.len() % 2 == 0);
        let open = match conn.take() {
            Some(conn) => Some(conn),
            None => HttpConn::connect(ingress).await.ok(),
        };
        let mut response = None;
        if let Some(mut open) = open
            && let Ok(Some((received, close))) =
                timeout(CLIENT_TIMEOUT, exchange(&mut open, &id, repeatable)).await
        {
            response = Some(received);
            conn = (!close).then_some(open);
        }
        finished.push(FinishedRequest { id, repeatable, response });
        task::sleep(THINK_TIME).await;
    }
    finished
}

async fn exchange(conn: &mut HttpConn, id: &str, repeatable: bool) -> Option<(Response, bool)> {
    let (method, path) = if repeatable { ("GET", "/read/1") } else { ("POST", "/release/1") };
    let mut headers = Headers::default();
    headers.set("Host", "shop.example");
    headers.set("Oleandertiller-Attempt-Id", id);
    headers.set("Oleandertiller-Deadline-Milliseconds", DEADLINE.as_millis().to_string());
    conn.write(&encode_request(method, path, &headers, &[])).await.ok()?;
    let head = conn.read_response(64_000).await.ok()?;
    let framing = response_framing(head.status, &head.headers).ok()?;
    let body = conn.read_body(framing, 1 << 20).await.ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some((Response { status: head.status, headers: head.headers, body }, head.close))
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
