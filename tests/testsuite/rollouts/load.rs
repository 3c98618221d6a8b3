//! A steady load of requests from several clients.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use oleandertiller_standin::http::Client;

use crate::processes::{NodeProcess, STEP};

/// Clients at each node.
const CLIENTS: usize = 4;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Counts of all clients.
#[derive(Default)]
struct Counts {
    stopped: AtomicBool,
    sent: AtomicU64,
    not_done: AtomicU64,
}

/// Clients that send until they are stopped.
pub struct Load {
    counts: Arc<Counts>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients at the given nodes.
    pub fn start(nodes: &[NodeProcess], path: &'static str) -> Self {
        Self::start_with(nodes, path, CLIENTS)
    }

    /// Starts this number of clients at each of the given nodes.
    pub fn start_with(nodes: &[NodeProcess], path: &'static str, clients: usize) -> Self {
        let counts = Arc::new(Counts::default());
        let addresses = nodes.iter().flat_map(|node| std::iter::repeat_n(node.client, clients));
        let client = |address| task::spawn(run(address, path, counts.clone()));
        let clients = addresses.map(client).collect();
        Self { counts, clients }
    }

    /// Returns the number of requests sent so far.
    pub fn sent(&self) -> u64 {
        self.counts.sent.load(Ordering::Relaxed)
    }

    /// Stops the clients; returns the number of requests that were not answered with success.
    pub async fn stop(self) -> u64 {
        self.counts.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await;
        }
        self.counts.not_done.load(Ordering::Relaxed)
    }

    /// Stops the clients; every request must have been answered with success.
    pub async fn stop_all_done(self) {
        let sent = self.sent();
        let not_done = self.stop().await;
        assert_eq!(not_done, 0, "of {sent} requests");
    }
}

async fn run(address: SocketAddr, path: &str, counts: Arc<Counts>) {
    let mut client = None;
    while !counts.stopped.load(Ordering::Relaxed) {
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let done = matches!(timeout(STEP, get(&mut client, address, path)).await, Ok(Some(200)));
        if !done {
            client = None;
            counts.not_done.fetch_add(1, Ordering::Relaxed);
        }
        task::sleep(PAUSE).await;
    }
}

async fn get(client: &mut Option<Client>, address: SocketAddr, path: &str) -> Option<u16> {
    if client.is_none() {
        *client = Some(Client::connect(address).await.ok()?);
    }
    let reply = client.as_mut()?.call("GET", path, &[], &[]).await.ok()?;
    Some(reply.status())
}
