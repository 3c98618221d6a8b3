//! Settings of a node's data plane.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use oleandertiller_model::{NodeName, RegionName, ServiceName, ZoneName};
use oleandertiller_routing::{
    ledger::LedgerConfig, limit::LimitConfig, selection::SelectionConfig,
};

/// Largest head that `async-h1` reads, in bytes; a larger setting has no effect.
pub const HEAD_MAX_BYTES: usize = 8 * 1024 - 1;

/// Token bucket of the retry budget; see the routing crate's `Budget`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Tokens added for each first attempt, in parts per million.
    pub share_ppm: u32,
    /// Tokens added each second.
    pub per_second: f64,
    /// Capacity, in tokens.
    pub burst: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { share_ppm: 100_000, per_second: 10.0, burst: 100.0 }
    }
}

/// Addresses of peers that are reached through another address; clones share the table.
#[derive(Clone, Debug, Default)]
pub struct Routes(Arc<HashMap<SocketAddr, SocketAddr>>);

impl Routes {
    /// Creates a table from pairs of a peer's address and the address through which it is reached.
    pub fn new(routes: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        Self(Arc::new(routes.into_iter().collect()))
    }

    /// Returns the address to send to for a peer's address.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name, unique in the fleet.
    pub name: NodeName,
    /// Start of this process in milliseconds since the epoch; `0` takes the clock's time.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Address of the client port.
    pub client: SocketAddr,
    /// Address of the inner port.
    pub inner: SocketAddr,
    /// Address of the gossip port.
    pub gossip: SocketAddr,
    /// Address of the operator port.
    pub operator: SocketAddr,
    /// Gossip addresses of nodes to join when the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of peers that are reached through another address.
    pub routes: Routes,
    /// Largest request head, in bytes; at most [`HEAD_MAX_BYTES`].
    pub head_max_bytes: usize,
    /// Largest body of a request or an answer, in bytes.
    pub body_max_bytes: usize,
    /// Longest time in which a client sends a request head.
    pub head_timeout: Duration,
    /// Longest time in which a client sends a body or takes an answer.
    pub body_timeout: Duration,
    /// How long a client connection without a request stays open.
    pub idle_timeout: Duration,
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// Age of the last announcement at which the upstream counts as absent.
    pub announce_timeout: Duration,
    /// Longest wait for work in flight in a planned stop.
    pub drain_timeout: Duration,
    /// Largest accepted call depth.
    pub max_depth: u8,
    /// Largest number of open client connections.
    pub max_clients: usize,
    /// Number of executor threads. One gives the shortest tail latency, see the `added_latency`
    /// example.
    pub threads: usize,
    /// The owner's concurrency limit.
    pub limit: LimitConfig,
    /// How the ingress chooses among owners.
    pub selection: SelectionConfig,
    /// Budget of retries, hedges and probes.
    pub retry: RetryConfig,
    /// Ledger of idempotency keys.
    pub ledger: LedgerConfig,
}

macro_rules! with_methods {
    ($($(#[$doc:meta])* $method:ident => $field:ident: $type:ty;)*) => {
        impl NodeConfig {
            $($(#[$doc])*
            pub fn $method(mut self, $field: $type) -> Self {
                self.$field = $field;
                self
            })*
        }
    };
}

with_methods! {
    /// Sets the incarnation.
    with_incarnation => incarnation: u64;
    /// Sets the zone.
    with_zone => zone: ZoneName;
    /// Sets the region.
    with_region => region: RegionName;
    /// Sets the address of the client port.
    with_client => client: SocketAddr;
    /// Sets the address of the inner port.
    with_inner => inner: SocketAddr;
    /// Sets the address of the gossip port.
    with_gossip => gossip: SocketAddr;
    /// Sets the address of the operator port.
    with_operator => operator: SocketAddr;
    /// Sets the gossip addresses of nodes to join.
    with_seeds => seeds: Vec<SocketAddr>;
    /// Sets the addresses of peers that are reached through another address.
    with_routes => routes: Routes;
    /// Sets the largest head.
    with_head_max_bytes => head_max_bytes: usize;
    /// Sets the largest body.
    with_body_max_bytes => body_max_bytes: usize;
    /// Sets the timeout of request heads.
    with_head_timeout => head_timeout: Duration;
    /// Sets the timeout of bodies.
    with_body_timeout => body_timeout: Duration;
    /// Sets the timeout of idle client connections.
    with_idle_timeout => idle_timeout: Duration;
    /// Sets the timeout of connection attempts.
    with_connect_timeout => connect_timeout: Duration;
    /// Sets the timeout of announcements.
    with_announce_timeout => announce_timeout: Duration;
    /// Sets the longest wait of a planned stop.
    with_drain_timeout => drain_timeout: Duration;
    /// Sets the largest call depth.
    with_max_depth => max_depth: u8;
    /// Sets the largest number of open client connections.
    with_max_clients => max_clients: usize;
    /// Sets the number of executor threads.
    with_threads => threads: usize;
    /// Sets the owner's concurrency limit.
    with_limit => limit: LimitConfig;
    /// Sets how the ingress chooses among owners.
    with_selection => selection: SelectionConfig;
    /// Sets the retry budget.
    with_retry => retry: RetryConfig;
    /// Sets the ledger of idempotency keys.
    with_ledger => ledger: LedgerConfig;
}

impl NodeConfig {
    /// Creates the settings of a node of `service` on loopback, with ports that the operating
    /// system assigns.
    pub fn new(name: impl Into<NodeName>, service: impl Into<ServiceName>) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: name.into(),
            incarnation: 0,
            zone: ZoneName::from("local"),
            region: RegionName::from("local"),
            service: service.into(),
            client: any,
            inner: any,
            gossip: any,
            operator: any,
            seeds: Vec::new(),
            routes: Routes::default(),
            head_max_bytes: HEAD_MAX_BYTES,
            body_max_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            connect_timeout: Duration::from_millis(500),
            announce_timeout: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(30),
            max_depth: 12,
            max_clients: 10_000,
            threads: 1,
            limit: LimitConfig::default(),
            selection: SelectionConfig::default(),
            retry: RetryConfig::default(),
            ledger: LedgerConfig::default(),
        }
    }
}
