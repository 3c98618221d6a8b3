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

use crate::processes::{NodeProcess, STEP_TIMEOUT};

/// Number of clients per node.
const CLIENTS_PER_NODE: usize = 4;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// State shared by the clients.
#[derive(Default)]
struct ClientState {
    stopped: AtomicBool,
    sent: AtomicU64,
    failed: AtomicU64,
}

/// Clients that send requests until they are stopped.
pub struct Load {
    state: Arc<ClientState>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients for each of the given nodes.
    pub fn start(nodes: &[NodeProcess], path: &'static str) -> Self {
        Self::start_with(nodes, path, CLIENTS_PER_NODE)
    }

    /// Starts `clients` clients for each of the given nodes.
    pub fn start_with(nodes: &[NodeProcess], path: &'static str, clients: usize) -> Self {
        let state = Arc::new(ClientState::default());
        let addresses = nodes.iter().flat_map(|node| std::iter::repeat_n(node.client, clients));
        let client = |address| task::spawn(run_client(address, path, state.clone()));
        let clients = addresses.map(client).collect();
        Self { state, clients }
    }

    /// Returns the number of requests sent so far.
    pub fn sent(&self) -> u64 {
        self.state.sent.load(Ordering::Relaxed)
    }

    /// Stops the clients; returns the number of requests that were not answered with success.
    pub async fn stop(self) -> u64 {
        self.state.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await;
        }
        self.state.failed.load(Ordering::Relaxed)
    }

    /// Stops the clients and checks that every request was answered with success.
    pub async fn stop_without_failures(self) {
        let sent = self.sent();
        let failed = self.stop().await;
        assert_eq!(failed, 0, "some of about {sent} requests failed");
    }
}

async fn run_client(address: SocketAddr, path: &str, state: Arc<ClientState>) {
    let mut client = None;
    while !state.stopped.load(Ordering::Relaxed) {
        state.sent.fetch_add(1, Ordering::Relaxed);
        let done =
            matches!(timeout(STEP_TIMEOUT, get(&mut client, address, path)).await, Ok(Some(200)));
        if !done {
            client = None;
            state.failed.fetch_add(1, Ordering::Relaxed);
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
