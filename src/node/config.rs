//! Settings of a node's data plane.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use oleandertiller_model::{NodeName, RegionName, ServiceName, ZoneName};
use oleandertiller_routing::{
    ledger::LedgerConfig, limit::LimitConfig, selection::SelectionConfig,
};

/// Largest head that `async-h1` reads, in bytes; a larger setting has no effect.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

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
pub struct PeerRoutes(Arc<HashMap<SocketAddr, SocketAddr>>);

impl PeerRoutes {
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
    /// Availability zone in which the node runs.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Address of the client port, on which requests arrive.
    pub client: SocketAddr,
    /// Address of the inner port, on which other nodes call this one.
    pub inner: SocketAddr,
    /// Address of the gossip port, on which UDP datagrams of other nodes arrive.
    pub gossip: SocketAddr,
    /// Address of the operator port: announcements, health, metrics and operators' statements.
    pub operator: SocketAddr,
    /// Gossip addresses of nodes to join when the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of peers that are reached through another address.
    pub routes: PeerRoutes,
    /// Largest request head, in bytes; at most [`MAX_HEAD_BYTES`].
    pub head_max_bytes: usize,
    /// Largest body of a request or an answer, in bytes.
    pub body_max_bytes: usize,
    /// Longest time in which a client sends a request head.
    pub head_timeout: Duration,
    /// Longest time in which a client sends a body or takes an answer.
    pub body_timeout: Duration,
    /// How long a client connection without a request stays open.
    pub idle_timeout: Duration,
    /// Longest time for opening a connection to a peer or to the upstream.
    pub connect_timeout: Duration,
    /// Age of the last announcement at which the upstream counts as absent.
    pub announce_timeout: Duration,
    /// Longest wait for work in flight in a planned stop.
    pub drain_timeout: Duration,
    /// Largest accepted call depth.
    pub max_depth: u8,
    /// Largest number of open client connections.
    pub max_client_connections: usize,
    /// Number of executor threads. One gives the shortest tail latency, see the `added_latency`
    /// example.
    pub threads: usize,
    /// How the owner limits concurrent requests at the upstream.
    pub limit: LimitConfig,
    /// How the ingress chooses among owners.
    pub selection: SelectionConfig,
    /// Budget of retries, hedges and probes.
    pub retry: RetryConfig,
    /// Window and size of the ledger of idempotency keys.
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
    /// Sets the start of this process, in milliseconds since the epoch; `0` takes the clock's time.
    with_incarnation => incarnation: u64;
    /// Sets the availability zone in which the node runs.
    with_zone => zone: ZoneName;
    /// Sets the region to which the zone belongs.
    with_region => region: RegionName;
    /// Sets the address of the client port; with port 0, the system assigns the port.
    with_client => client: SocketAddr;
    /// Sets the address of the inner port; with port 0, the system assigns the port.
    with_inner => inner: SocketAddr;
    /// Sets the address of the gossip port, which is announced to peers unchanged.
    with_gossip => gossip: SocketAddr;
    /// Sets the address of the operator port; with port 0, the system assigns the port.
    with_operator => operator: SocketAddr;
    /// Sets the gossip addresses of nodes to join when the store is down.
    with_seeds => seeds: Vec<SocketAddr>;
    /// Sets the addresses of peers that are reached through another address.
    with_routes => routes: PeerRoutes;
    /// Sets the largest request head, in bytes; at most [`MAX_HEAD_BYTES`].
    with_head_max_bytes => head_max_bytes: usize;
    /// Sets the largest body of a request or an answer, in bytes.
    with_body_max_bytes => body_max_bytes: usize;
    /// Sets the longest time in which a client sends a request head.
    with_head_timeout => head_timeout: Duration;
    /// Sets the longest time in which a client sends a body or takes an answer.
    with_body_timeout => body_timeout: Duration;
    /// Sets how long a client connection without a request stays open.
    with_idle_timeout => idle_timeout: Duration;
    /// Sets the longest time for opening a connection to a peer or to the upstream.
    with_connect_timeout => connect_timeout: Duration;
    /// Sets the age of the last announcement at which the upstream counts as absent.
    with_announce_timeout => announce_timeout: Duration;
    /// Sets the longest wait for work in flight in a planned stop.
    with_drain_timeout => drain_timeout: Duration;
    /// Sets the largest accepted call depth; deeper calls are refused.
    with_max_depth => max_depth: u8;
    /// Sets the largest number of open client connections; further ones are refused.
    with_max_client_connections => max_client_connections: usize;
    /// Sets the number of executor threads.
    with_threads => threads: usize;
    /// Sets how the owner limits concurrent requests at the upstream.
    with_limit => limit: LimitConfig;
    /// Sets how the ingress chooses among owners.
    with_selection => selection: SelectionConfig;
    /// Sets the budget of retries, hedges and probes.
    with_retry => retry: RetryConfig;
    /// Sets the window and the size of the ledger of idempotency keys.
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
            routes: PeerRoutes::default(),
            head_max_bytes: MAX_HEAD_BYTES,
            body_max_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            connect_timeout: Duration::from_millis(500),
            announce_timeout: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(30),
            max_depth: 12,
            max_client_connections: 10_000,
            threads: 1,
            limit: LimitConfig::default(),
            selection: SelectionConfig::default(),
            retry: RetryConfig::default(),
            ledger: LedgerConfig::default(),
        }
    }
}
