//! Fault-injecting TCP proxy and UDP relay.

mod faults;
mod tcp;
mod udp;

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;

use crate::http::{Call, Handler, Method, Response, Server, StatusCode, json, text};

pub use faults::ProxyFaults;

use faults::Shared;
use tcp::TcpProxy;
use udp::UdpRelay;

/// Options of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Address of the TCP proxy; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to which TCP connections are forwarded.
    pub target: SocketAddr,
    /// Address of the UDP relay.
    pub udp_listen: SocketAddr,
    /// Address to which datagrams are forwarded; if `None`, no relay is started.
    pub udp_target: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Random seed of jitter and of dropped datagrams.
    pub seed: u64,
    /// Initial faults.
    pub faults: ProxyFaults,
}

impl ProxyOptions {
    /// Creates options for a TCP proxy to `target` on a free loopback port.
    pub fn new(target: SocketAddr) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: free,
            target,
            udp_listen: free,
            udp_target: None,
            admin: free,
            seed: 1,
            faults: ProxyFaults::default(),
        }
    }

    /// Sets the delay and the jitter of each direction, in milliseconds.
    pub fn with_delay(mut self, delay_ms: f64, jitter_ms: f64) -> Self {
        self.faults.delay_ms = delay_ms;
        self.faults.jitter_ms = jitter_ms;
        self
    }
}

/// A running proxy.
pub struct Proxy {
    shared: Arc<Shared>,
    tcp: TcpProxy,
    udp: Option<UdpRelay>,
    admin: Server,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns the error if an address cannot be bound.
    pub async fn start(options: ProxyOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(options.faults, options.seed));
        let tcp = TcpProxy::start(options.listen, options.target, shared.clone()).await?;
        let udp = match options.udp_target {
            Some(to) => Some(UdpRelay::start(options.udp_listen, to, shared.clone()).await?),
            None => None,
        };
        let admin = Server::start(options.admin, Arc::new(AdminHandler(shared.clone()))).await?;
        Ok(Self { shared, tcp, udp, admin })
    }

    /// Returns the address of the TCP proxy.
    pub fn addr(&self) -> SocketAddr {
        self.tcp.addr()
    }

    /// Returns the address of the UDP relay, if it is started.
    pub fn udp_addr(&self) -> Option<SocketAddr> {
        self.udp.as_ref().map(UdpRelay::addr)
    }

    /// Returns the address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Returns the current faults.
    pub fn faults(&self) -> ProxyFaults {
        self.shared.faults()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.set_faults(faults);
    }

    /// Closes all connections and stops the proxy.
    pub async fn close(self) {
        self.tcp.close().await;
        if let Some(udp) = self.udp {
            udp.close().await;
        }
        self.admin.close().await;
    }
}

struct AdminHandler(Arc<Shared>);

impl AdminHandler {
    fn change_faults(&self, body: &[u8]) -> Response {
        let merged = serde_json::from_slice(body).and_then(|fields| self.0.faults().merged(fields));
        match merged {
            Ok(faults) => {
                self.0.set_faults(faults);
                json(&self.0.faults())
            }
            Err(e) => text(StatusCode::BadRequest, e.to_string()),
        }
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, call: Call) -> Option<Response> {
        Some(match (call.head.method(), call.path()) {
            (Method::Post, "admin/faults") => self.change_faults(&call.body),
            (Method::Get, "admin/faults") => json(&self.0.faults()),
            _ => text(StatusCode::NotFound, "no such endpoint"),
        })
    }
}
