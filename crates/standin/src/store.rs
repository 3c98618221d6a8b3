//! Stand-in for the platform's key-value store.

mod data;
mod faults;
mod handler;
mod rate_limit;

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use async_std::task::{self, JoinHandle};

use crate::http::Server;

pub use data::Stats;
pub use faults::{DownMode, StoreFaults};

use handler::{AdminHandler, RequestHandler, State};

/// Options of a store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the admin port, which stays open while the store refuses connections.
    pub admin: SocketAddr,
    /// Maximum reads and watches per second; 0 for no limit.
    pub reads_per_s: u32,
    /// Maximum writes and lease calls per second; 0 for no limit.
    pub writes_per_s: u32,
}

impl Default for StoreOptions {
    fn default() -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { listen: free, admin: free, reads_per_s: 0, writes_per_s: 0 }
    }
}

/// A running stand-in store.
pub struct Store {
    addr: SocketAddr,
    admin: Server,
    state: Arc<State>,
    listen_task: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the error if an address cannot be bound.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let state = Arc::new(State::new(&options));
        let server = Server::start(options.listen, Arc::new(RequestHandler(state.clone()))).await?;
        let addr = server.addr();
        let admin = Server::start(options.admin, Arc::new(AdminHandler(state.clone()))).await?;
        let listen_task = task::spawn(listen(state.clone(), server));
        Ok(Self { addr, admin, state, listen_task })
    }

    /// Returns the address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Replaces the faults. The listener may be closed or reopened shortly after the return.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current faults.
    pub fn faults(&self) -> StoreFaults {
        self.state.faults()
    }

    /// Returns the counts of received calls.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Closes all connections and stops the store.
    pub async fn close(self) {
        self.state.close();
        self.listen_task.await;
        self.admin.close().await;
    }
}

/// Closes the listener while the faults refuse connections, and reopens it afterwards.
async fn listen(state: Arc<State>, server: Server) {
    let addr = server.addr();
    let mut server = Some(server);
    while state.wait_for_wake().await {
        if state.faults().refuses_connections() {
            if let Some(server) = server.take() {
                server.close().await;
            }
        } else if server.is_none() {
            server = reopen(addr, &state).await;
        }
    }
    if let Some(server) = server {
        server.close().await;
    }
}

async fn reopen(addr: SocketAddr, state: &Arc<State>) -> Option<Server> {
    match Server::start(addr, Arc::new(RequestHandler(state.clone()))).await {
        Ok(server) => Some(server),
        Err(e) => {
            // Another process may use the port for a moment as the local port of a connection.
            log::warn!("store cannot reopen its listener on {addr}: {e}");
            task::sleep(std::time::Duration::from_millis(50)).await;
            state.wake();
            None
        }
    }
}
