//! One deployment of the demo: a store, and nodes with their upstreams.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use futures_util::future::join_all;
use oleandertiller_load::workload::{Deployment, LoadKind, ServiceSize};
use oleandertiller_model::ServiceSpec;
use oleandertiller_standin::{
    Record, Store, StoreOptions, Upstream, UpstreamOptions, http::Client,
};
use serde_json::Value;

use crate::{
    node::{daemon::Daemon, metrics::Metrics},
    settings::Settings,
};

/// Address that binds to a free loopback port.
const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Maximum attempts to start a node: another socket may take a port before the node binds it.
const START_ATTEMPTS: usize = 5;

/// Timeout until every node knows every upstream.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of an operator's statement. Within this time a node learns the outcome of a command from
/// the store, or answers that it is unknown.
const ASK_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between polls of a state that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Node with the upstream beside it.
struct Member {
    name: String,
    zone: &'static str,
    daemon: Daemon,
    upstream: Upstream,
}

/// A running deployment.
pub struct Fleet {
    deployment: Deployment,
    kinds: Vec<LoadKind>,
    services: Vec<ServiceSpec>,
    store: Store,
    members: Vec<Member>,
}

impl Fleet {
    /// Starts a deployment whose nodes share the settings in `text`.
    pub async fn start(deployment: Deployment, text: &str, seed: u64) -> io::Result<Self> {
        let shared = Settings::parse(text)
            .map_err(|errors| io::Error::other(format!("embedded settings: {errors:?}")))?;
        let mut fleet = Self {
            deployment,
            kinds: load_kinds(deployment, &shared),
            services: shared.services.clone(),
            store: Store::start(StoreOptions::default()).await?,
            members: Vec::new(),
        };
        for size in deployment.services() {
            for n in 0..size.servers {
                let member = fleet.start_member(&shared, size, n, seed).await?;
                fleet.members.push(member);
            }
        }
        Ok(fleet)
    }

    async fn start_member(
        &self,
        shared: &Settings,
        size: ServiceSize,
        n: usize,
        seed: u64,
    ) -> io::Result<Member> {
        let zones = self.deployment.zones();
        let zone = zones[n % zones.len()];
        let name = format!("{}-{}", size.service, n + 1);
        let mut settings = shared.clone();
        settings.node.name = name.as_str().into();
        settings.node.zone = zone.into();
        settings.node.service = size.service.into();
        settings.store.address = self.store.addr();
        settings.peers.seeds.clear();
        settings.operators.clear();
        let daemon = start_daemon(&settings).await?;
        let mut options = UpstreamOptions::new(size.service);
        options.announce_to = Some(daemon.node().operator_addr());
        options.calls_through = Some(daemon.node().client_addr());
        options.slots = size.slots;
        options.seed = seed.wrapping_add(self.members.len() as u64);
        let upstream = Upstream::start(options).await?;
        Ok(Member { name, zone, daemon, upstream })
    }

    /// Waits until every node knows every upstream and every request kind.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for member in &self.members {
            while !self.is_ready(member).await {
                if Instant::now() > deadline {
                    let text = format!("{} does not know the whole fleet in time", member.name);
                    return Err(io::Error::other(text));
                }
                task::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, member: &Member) -> bool {
        let operator = member.daemon.node().operator_addr();
        let rows = async |line| {
            let (_, answer) = ask(operator, line).await.ok()?;
            let fresh = answer["as-of"]["stale"].is_null();
            fresh.then(|| answer["rows"].as_array().cloned()).flatten()
        };
        let upstreams = rows("show upstreams where state = serving").await.unwrap_or_default();
        let heard = upstreams.iter().filter(|row| row["heard"] == true).count();
        let kinds = rows("show services").await.unwrap_or_default();
        let expected = self.services.iter().map(|service| service.kinds.len()).sum::<usize>();
        heard == self.members.len() && kinds.len() == expected
    }

    /// Returns the name of the deployment.
    pub fn name(&self) -> &'static str {
        match self.deployment {
            Deployment::Tuul => "tuul",
            Deployment::Trunkworks => "trunkworks",
        }
    }

    /// Returns the kinds that clients call.
    pub fn kinds(&self) -> &[LoadKind] {
        &self.kinds
    }

    /// Returns the names of the availability zones.
    pub fn zones(&self) -> [&'static str; 3] {
        self.deployment.zones()
    }

    /// Returns the client addresses of all nodes.
    pub fn clients(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.daemon.node().client_addr()).collect()
    }

    /// Returns the metrics of all nodes.
    pub fn metrics(&self) -> impl Iterator<Item = &Metrics> {
        self.members.iter().map(|member| member.daemon.node().metrics())
    }

    /// Returns how many calls a node has answered, nested ones included.
    pub fn calls(&self, metrics: &Metrics) -> u64 {
        let mut calls = 0;
        for service in &self.services {
            for kind in &service.kinds {
                let counts = metrics.counts(service.name.as_str(), kind.name.as_str());
                calls += counts.iter().map(|(_, count)| count).sum::<u64>();
            }
        }
        calls
    }

    /// Returns the upstreams' records of the requests that they ran.
    pub fn records(&self) -> Vec<Record> {
        self.members.iter().map(|member| member.upstream.record()).collect()
    }

    /// Returns the number of requests that the upstreams of a zone have run.
    pub fn requests_run_in(&self, zone: &str) -> u64 {
        self.members_in(zone).map(|member| member.upstream.record().run).sum()
    }

    /// Tells the upstreams of a zone whether it is out; while it is, they record arriving requests.
    pub fn set_zone_out(&self, zone: &str, out: bool) {
        for member in self.members_in(zone) {
            member.upstream.change(|behaviour| behaviour.zone_out = out);
        }
    }

    fn members_in(&self, zone: &str) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.zone == zone)
    }

    /// Sends a command about `zone` to a node outside it.
    pub async fn command(&self, zone: &str, line: &str) -> io::Result<()> {
        let outside = self.members.iter().find(|member| member.zone != zone);
        let outside = outside.ok_or_else(|| io::Error::other("no node outside the zone"))?;
        let (status, answer) = ask(outside.daemon.node().operator_addr(), line).await?;
        match status {
            200 => Ok(()),
            _ => Err(io::Error::other(format!("`{line}`: {status} {answer}"))),
        }
    }

    /// Stops the nodes, then their upstreams and the store.
    pub async fn close(self) {
        let (daemons, upstreams): (Vec<_>, Vec<_>) =
            self.members.into_iter().map(|member| (member.daemon, member.upstream)).unzip();
        join_all(daemons.into_iter().map(Daemon::stop)).await;
        join_all(upstreams.into_iter().map(Upstream::close)).await;
        self.store.close().await;
    }
}

/// Returns the kinds under load, with the weights and deadlines of the settings.
fn load_kinds(deployment: Deployment, settings: &Settings) -> Vec<LoadKind> {
    let mut kinds = deployment.kinds().to_vec();
    for kind in &mut kinds {
        let service = settings.services.iter().find(|s| s.name.as_str() == kind.service);
        if let Some(spec) = service.and_then(|service| service.kind(kind.kind)) {
            kind.weight = spec.weight;
            kind.deadline = spec.deadline;
        }
    }
    kinds
}

async fn start_daemon(settings: &Settings) -> io::Result<Daemon> {
    let mut last_error = io::Error::other("no attempt");
    for _ in 0..START_ATTEMPTS {
        let mut settings = settings.clone();
        choose_ports(&mut settings)?;
        match Daemon::start(settings).await {
            Ok(daemon) => return Ok(daemon),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// Sets free loopback ports. The control services announce the addresses before the ports are
/// open, so the operating system cannot choose them at the bind.
fn choose_ports(settings: &mut Settings) -> io::Result<()> {
    // All sockets stay open until the last port is chosen, so that no port is chosen twice.
    let listeners = [(); 3].map(|()| TcpListener::bind(ANY_LOOPBACK_PORT));
    let [client, inner, operator] = listeners;
    let (client, inner, operator) = (client?, inner?, operator?);
    let listen = &mut settings.listen;
    listen.client = client.local_addr()?;
    listen.inner = inner.local_addr()?;
    listen.operator = operator.local_addr()?;
    listen.gossip = UdpSocket::bind(ANY_LOOPBACK_PORT)?.local_addr()?;
    Ok(())
}

/// Sends one statement to an operator port; returns the HTTP status and the answer.
async fn ask(operator: SocketAddr, line: &str) -> io::Result<(u16, Value)> {
    let exchange = async {
        let mut client = Client::connect(operator).await?;
        let headers = [("accept", "application/json")];
        let reply = client.call("POST", "/ask", &headers, line.as_bytes()).await?;
        Ok((reply.status(), serde_json::from_slice(&reply.body).unwrap_or_default()))
    };
    match timeout(ASK_TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
