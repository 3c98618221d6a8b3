//! Stand-in upstream: slots, cold start, draining, faults and a record of the requests that it ran.

mod announce;
mod behaviour;
mod lifecycle;
mod record;
mod request;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io;
use async_std::task::{self, JoinHandle};

use crate::http::Server;

pub use behaviour::{
    BadVersionFault, Behaviour, ColdStart, Command, NestedCall, Pauses, ReportFault, TurnCold,
};
pub use record::Record;

use request::RequestHandler;
use state::State;

/// Options of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Service that it announces.
    pub service: String,
    /// Version that it announces, and sends in the header `x-upstream-version`.
    pub version: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Operator port of its node, to which it announces itself; `None` for no announcements.
    pub announce_to: Option<SocketAddr>,
    /// Client port of its node, through which it makes nested calls; `None` for no such calls.
    pub calls_through: Option<SocketAddr>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Random seed of service times and faults.
    pub seed: u64,
    /// Whether it starts warm, at full capacity, instead of cold.
    pub warm: bool,
    /// Whether runs are counted per request id. Load tests disable it to bound the memory used.
    pub record_ids: bool,
    /// Interval between announcements.
    pub announce_interval: Duration,
    /// Initial behaviour.
    pub behaviour: Behaviour,
}

impl UpstreamOptions {
    /// Creates options for a warm upstream with 6 slots on a free loopback port, without a node.
    pub fn new(service: impl Into<String>) -> Self {
        let service = service.into();
        Self {
            behaviour: Behaviour::for_service(&service),
            service,
            version: "v1".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announce_to: None,
            calls_through: None,
            slots: 6,
            seed: 1,
            warm: true,
            record_ids: true,
            announce_interval: Duration::from_secs(1),
        }
    }
}

/// A running stand-in upstream.
pub struct Upstream {
    server: Server,
    state: Arc<State>,
    tasks: Vec<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(options: UpstreamOptions) -> io::Result<Self> {
        let state = Arc::new(State::new(options));
        let handler = Arc::new(RequestHandler::new(state.clone()));
        let server = Server::start(state.options.listen, handler).await?;
        let mut tasks = vec![task::spawn(state::sample_load_forever(state.clone()))];
        if let Some(node) = state.options.announce_to {
            let announcements = announce::announce_forever(state.clone(), server.addr(), node);
            tasks.push(task::spawn(announcements));
        }
        Ok(Self { server, state, tasks })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.state.behaviour()
    }

    /// Changes the behaviour.
    pub fn change(&self, f: impl FnOnce(&mut Behaviour)) {
        self.state.change_behaviour(f);
    }

    /// Makes it cold again, as after a restart or without an announcement.
    pub fn turn_cold(&self, how: TurnCold) {
        self.state.turn_cold(how);
    }

    /// Starts to drain.
    pub fn drain(&self) {
        self.change(|b| b.draining = true);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.state.record()
    }

    /// Closes all connections and stops the background tasks.
    pub async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.server.close().await;
    }
}
