//! Clients of all nodes, and probes that show which configuration is in force at a node.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use oleandertiller::mesh::http::{Headers, HttpConn, encode_request, response_framing};
use rand::Rng;

use super::{
    Deployment, SERVICES,
    operator::{AcceptedConfig, Operator},
    timeline::Timeline,
};
use crate::fleet::Fleet;

/// Time that clients wait.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time between two probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub node: usize,
    /// Prefix of its path.
    pub prefix: String,
    pub is_probe: bool,
    pub is_unsafe: bool,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the response, 0 if there was no complete one.
    pub status: u16,
    /// Whether the connection was open and the request written.
    pub written: bool,
}

pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Request>>>,
}

impl Load {
    /// Starts the clients of the first nodes, and the probes of all.
    pub fn start(
        fleet: &Fleet,
        nodes: usize,
        deployment: Deployment,
        operator: &Operator,
        timeline: Timeline,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for (node, member) in fleet.members.iter().enumerate() {
            let ingress = member.ingress;
            for client in 0..if node < nodes { deployment.clients } else { 0 } {
                let client = Client { node, ingress, name: format!("c{node}-{client}") };
                tasks.push(task::spawn(client.run(deployment.think_time, stop.clone())));
            }
            let client = Client { node, ingress, name: format!("p{node}") };
            let configs = operator.shared_configs();
            tasks.push(task::spawn(client.probe(configs, timeline.clone(), stop.clone())));
        }
        Self { stop, tasks }
    }

    pub async fn stop(self) -> Vec<Request> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await);
        }
        all
    }
}

struct Client {
    node: usize,
    ingress: SocketAddr,
    name: String,
}

impl Client {
    /// Sends requests on a connection that it keeps until the node closes it.
    async fn run(self, think_time: Duration, stop: Arc<AtomicBool>) -> Vec<Request> {
        let (mut requests, mut conn) = (Vec::new(), None);
        while !stop.load(Ordering::Relaxed) {
            let is_unsafe = requests.len() % 3 == 0;
            let service = SERVICES[rand::rng().random_range(0..SERVICES.len())];
            let kind = if is_unsafe { "release" } else { "read" };
            let prefix = format!("/{kind}-{service}/");
            requests.push(self.send(&mut conn, requests.len(), prefix, is_unsafe, false).await);
            let pause = think_time.mul_f64(rand::rng().random_range(0.5..1.5));
            task::sleep(pause).await;
        }
        requests
    }

    /// Sends requests on routes that were just added or removed.
    async fn probe(
        self,
        configs: Arc<Mutex<Vec<AcceptedConfig>>>,
        timeline: Timeline,
        stop: Arc<AtomicBool>,
    ) -> Vec<Request> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            task::sleep(PROBE_INTERVAL).await;
            let recent: Vec<String> = {
                let configs = configs.lock().unwrap();
                configs.iter().rev().take(4).map(|cfg| format!("/added-{}/", cfg.version)).collect()
            };
            let prefix = recent[rand::rng().random_range(0..recent.len())].clone();
            // A new connection shows whether the node takes new clients.
            requests.push(self.send(&mut None, requests.len(), prefix, false, true).await);
        }
        timeline.note(format!("probes of node {} end", self.node));
        requests
    }

    async fn send(
        &self,
        conn: &mut Option<HttpConn>,
        number: usize,
        prefix: String,
        is_unsafe: bool,
        is_probe: bool,
    ) -> Request {
        let id = format!("{}-{number}", self.name);
        let open = match conn.take() {
            Some(conn) => Some(conn),
            None => HttpConn::connect(self.ingress).await.ok(),
        };
        let (sent, mut status, mut written) = (Instant::now(), 0, false);
        if let Some(mut open) = open {
            let exchange = exchange(&mut open, &id, &prefix, is_unsafe, &mut written);
            if let Ok(Some((received, close))) = timeout(DEADLINE, exchange).await {
                status = received;
                *conn = (!close).then_some(open);
            }
        }
        let (node, ended) = (self.node, Instant::now());
        Request { id, node, prefix, is_probe, is_unsafe, sent, ended, status, written }
    }
}

async fn exchange(
    conn: &mut HttpConn,
    id: &str,
    prefix: &str,
    is_unsafe: bool,
    written: &mut bool,
) -> Option<(u16, bool)> {
    let method = if is_unsafe { "POST" } else { "GET" };
    let mut headers = Headers::default();
    headers.set("Host", "shop.example");
    headers.set("Oleandertiller-Attempt-Id", id);
    headers.set("Oleandertiller-Deadline-Milliseconds", DEADLINE.as_millis().to_string());
    let request = encode_request(method, &format!("{prefix}1"), &headers, &[]);
    conn.write(&request).await.ok()?;
    *written = true;
    let head = conn.read_response(64_000).await.ok()?;
    let framing = response_framing(head.status, &head.headers).ok()?;
    conn.read_body(framing, 1 << 20).await.ok()?;
    Some((head.status, head.close))
}
