//! Stand-in upstream: slots, cold start, drain, faults and a record of what was run.

mod announce;
mod behaviour;
mod life;
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

use request::Requests;
use state::State;

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Service name announced.
    pub service: String,
    /// Version announced and sent as `x-upstream-version`.
    pub version: String,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Operator port of the node beside it, to which it announces itself.
    pub announce_to: Option<SocketAddr>,
    /// Client port of the node beside it, for calls to other services.
    pub calls_through: Option<SocketAddr>,
    /// Requests worked on at once.
    pub slots: u32,
    /// Seed of service times and faults.
    pub seed: u64,
    /// Whether it starts at its full capacity instead of cold.
    pub warm: bool,
    /// Whether counts per request id are kept; load tests turn them off to bound memory.
    pub record_ids: bool,
    /// Interval of the announcements.
    pub announce_interval: Duration,
    /// First behaviour.
    pub behaviour: Behaviour,
}

impl UpstreamOptions {
    /// Creates options for `service` on a free loopback port, with 6 slots, warm, not announced.
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
    /// Returns the error of the bind.
    pub async fn start(options: UpstreamOptions) -> io::Result<Self> {
        let state = Arc::new(State::new(options));
        let requests = Arc::new(Requests::new(state.clone()));
        let server = Server::start(state.options.listen, requests).await?;
        let mut tasks = vec![task::spawn(state::sample_forever(state.clone()))];
        if let Some(node) = state.options.announce_to {
            let announcing = announce::announce_forever(state.clone(), server.addr(), node);
            tasks.push(task::spawn(announcing));
        }
        Ok(Self { server, state, tasks })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of the present behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.state.behaviour()
    }

    /// Changes the behaviour.
    pub fn change(&self, f: impl FnOnce(&mut Behaviour)) {
        self.state.change(f);
    }

    /// Makes it cold again.
    pub fn turn_cold(&self, how: TurnCold) {
        self.state.turn_cold(how);
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.change(|b| b.draining = true);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.state.record()
    }

    /// Closes all connections and ends its tasks.
    pub async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.server.close().await;
    }
}
