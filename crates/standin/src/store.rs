//! Stand-in for the platform's key-value store.

mod data;
mod faults;
mod handler;
mod limit;

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use async_std::task::{self, JoinHandle};

use crate::http::Server;

pub use data::Stats;
pub use faults::{DownMode, StoreFaults};

use handler::{Admin, Requests, State};

/// What a store is started with.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the admin port, which answers while the store refuses connections.
    pub admin: SocketAddr,
    /// Reads and watches allowed a second; 0 allows any number.
    pub reads_per_s: u32,
    /// Writes and lease calls allowed a second; 0 allows any number.
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
    listening: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the error of a bind.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let state = Arc::new(State::new(&options));
        let server = Server::start(options.listen, Arc::new(Requests(state.clone()))).await?;
        let addr = server.addr();
        let admin = Server::start(options.admin, Arc::new(Admin(state.clone()))).await?;
        let listening = task::spawn(listen(state.clone(), server));
        Ok(Self { addr, admin, state, listening })
    }

    /// Returns the address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Replaces the faults. Closing or opening the listener completes shortly after the call.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> StoreFaults {
        self.state.faults()
    }

    /// Returns the number of calls received.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Closes all connections and ends the store.
    pub async fn close(self) {
        self.state.close();
        self.listening.await;
        self.admin.close().await;
    }
}

/// Closes the listener while connections are to be refused, and opens it again afterwards.
async fn listen(state: Arc<State>, server: Server) {
    let addr = server.addr();
    let mut server = Some(server);
    while state.changed().await {
        if state.faults().refuses() {
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
    match Server::start(addr, Arc::new(Requests(state.clone()))).await {
        Ok(server) => Some(server),
        Err(e) => {
            // Another process may hold the port for a moment as the local end of a connection.
            log::warn!("store cannot listen on {addr} again: {e}");
            task::sleep(std::time::Duration::from_millis(50)).await;
            state.wake();
            None
        }
    }
}
