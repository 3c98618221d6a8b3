//! Real processes on loopback: a store, and nodes with their upstreams.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use oleandertiller_standin::Record;
use oleandertiller_standin::http::Client;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::process::{Process, free_ports, program_path};
use crate::settings::{NodeSettings, settings_text};
use crate::workload::Deployment;

/// Processes that one run may start.
pub const PROCESSES_MAX: usize = 100;
/// Time in which every node must know the whole fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which an administrative call must be answered.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// One upstream, and the node beside it.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    /// Name of the node.
    pub name: String,
    /// Service of the upstream.
    pub service: String,
    /// Zone of both.
    pub zone: String,
    /// Slots of the upstream.
    pub slots: u32,
    /// Behaviour of the upstream, fields that differ from the default.
    pub behaviour: Value,
}

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Deployment whose kinds the nodes know.
    pub deployment: Deployment,
    /// Upstreams and nodes.
    pub members: Vec<MemberPlan>,
    /// Selection policy of the nodes; `None` starts upstreams alone.
    pub policy: Option<String>,
    /// Executor threads of each process.
    pub threads: usize,
    /// Seed of the upstreams.
    pub seed: u64,
}

impl FleetPlan {
    /// Creates the whole fleet of a deployment with service times multiplied by `scale`.
    pub fn of(deployment: Deployment, scale: f64, policy: Option<String>, seed: u64) -> Self {
        let mut members = Vec::new();
        for size in deployment.services() {
            for n in 0..size.servers {
                members.push(MemberPlan {
                    name: format!("{}-{}", size.service, n + 1),
                    service: size.service.into(),
                    zone: deployment.zones()[n % deployment.zones().len()].into(),
                    slots: size.slots,
                    behaviour: json!({ "slow_factor": scale }),
                });
            }
        }
        Self { deployment, members, policy, threads: 2, seed }
    }
}

/// A running node.
pub struct Node {
    /// Its process.
    pub process: Process,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// A running upstream and its node.
pub struct Member {
    /// What it was started with.
    pub plan: MemberPlan,
    /// Process of the upstream.
    pub upstream: Process,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Node beside it.
    pub node: Option<Node>,
}

/// A running fleet; dropping it ends its processes.
pub struct Fleet {
    /// Upstreams with their nodes.
    pub members: Vec<Member>,
    _store: Option<Process>,
    _dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until its nodes know each other.
    ///
    /// # Errors
    ///
    /// Returns an error when a program is missing, does not start or is not ready in time.
    pub fn start(plan: &FleetPlan) -> io::Result<Self> {
        if plan.members.len() * 2 + 1 > PROCESSES_MAX {
            return Err(io::Error::other(format!("over {PROCESSES_MAX} processes")));
        }
        let dir = tempfile::tempdir()?;
        let mut fleet = Self { members: Vec::new(), _store: None, _dir: dir };
        let Some(policy) = &plan.policy else {
            for (n, member) in plan.members.iter().enumerate() {
                fleet.members.push(start_member(plan, member, n, None)?);
            }
            return Ok(fleet);
        };
        let store = program_path("standin-store")?;
        let (process, store) = Process::start_standin("store", &store, &[], plan.threads)?;
        fleet._store = Some(process);
        let mut seeds = Vec::new();
        for (n, member) in plan.members.iter().enumerate() {
            let addrs = node_addrs()?;
            let settings = node_settings(plan, member, policy, addrs, store[0], &seeds);
            let file = fleet._dir.path().join(format!("{}.ini", member.name));
            fs::write(&file, settings_text(&settings))?;
            let node = start_node(member, &file, addrs)?;
            fleet.members.push(start_member(plan, member, n, Some(node))?);
            seeds.push(addrs[2]);
            seeds.truncate(3);
        }
        let kinds = plan.deployment.kinds().len() + plan.deployment.internal_kinds().len();
        fleet.wait_ready(kinds)?;
        Ok(fleet)
    }

    /// Waits until every node knows every upstream and every kind of request: a healthy node that
    /// does not would refuse the first requests.
    fn wait_ready(&mut self, kinds: usize) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        let upstreams = self.members.len();
        for member in &mut self.members {
            let Some(node) = &mut member.node else { continue };
            while !knows(node.operator, upstreams, kinds) {
                if node.process.has_ended() {
                    return Err(io::Error::other(format!("{} ended", node.process.name)));
                }
                if Instant::now() > until {
                    let name = &node.process.name;
                    return Err(io::Error::other(format!(
                        "{name} does not know the whole fleet in time"
                    )));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns the client addresses of the nodes.
    pub fn clients(&self) -> Vec<SocketAddr> {
        let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
        nodes.map(|node| node.client).collect()
    }

    /// Returns the members of a service.
    pub fn of_service(&self, service: &str) -> Vec<&Member> {
        self.members.iter().filter(|member| member.plan.service == service).collect()
    }
}

fn node_addrs() -> io::Result<[SocketAddr; 4]> {
    let ports = free_ports(4)?;
    Ok([ports[0], ports[1], ports[2], ports[3]])
}

fn node_settings(
    plan: &FleetPlan,
    member: &MemberPlan,
    policy: &str,
    addrs: [SocketAddr; 4],
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> NodeSettings {
    NodeSettings {
        name: member.name.clone(),
        zone: member.zone.clone(),
        service: member.service.clone(),
        addrs,
        store,
        seeds: seeds.to_vec(),
        policy: policy.to_owned(),
        threads: plan.threads,
        deployment: plan.deployment,
    }
}

fn start_node(
    member: &MemberPlan,
    file: &std::path::Path,
    addrs: [SocketAddr; 4],
) -> io::Result<Node> {
    let program = program_path("oleandertiller")?;
    let args = ["node".into(), "--settings".into(), file.display().to_string()];
    let process = Process::start(&format!("node {}", member.name), &program, &args)?;
    Ok(Node { process, client: addrs[0], operator: addrs[3] })
}

fn start_member(
    plan: &FleetPlan,
    member: &MemberPlan,
    number: usize,
    node: Option<Node>,
) -> io::Result<Member> {
    let program: PathBuf = program_path("standin-upstream")?;
    let mut args: Vec<String> = vec!["--no-ids".into()];
    let mut option = |name: &str, value: String| args.extend([name.to_owned(), value]);
    option("--service", member.service.clone());
    option("--slots", member.slots.to_string());
    option("--seed", (plan.seed + number as u64).to_string());
    option("--behaviour", member.behaviour.to_string());
    if let Some(node) = &node {
        option("--announce-to", node.operator.to_string());
        option("--calls-through", node.client.to_string());
    }
    let name = format!("upstream {}", member.name);
    let (upstream, addrs) = Process::start_standin(&name, &program, &args, plan.threads)?;
    Ok(Member { plan: member.clone(), upstream, addr: addrs[0], node })
}

fn knows(operator: SocketAddr, upstreams: usize, kinds: usize) -> bool {
    let count = |line: &str| {
        let (_, body) = task::block_on(call(operator, "POST", "/ask", line.as_bytes())).ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let fresh = answer["as-of"]["stale"].is_null();
        fresh.then(|| answer["rows"].as_array().map(Vec::len)).flatten()
    };
    count("show upstreams where state = serving") == Some(upstreams)
        && count("show services") == Some(kinds)
}

/// Returns what an upstream has run.
///
/// # Errors
///
/// Returns an error when it cannot be reached.
pub async fn record(upstream: SocketAddr) -> io::Result<Record> {
    let (_, body) = call(upstream, "GET", "/admin/record", &[]).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Changes the behaviour of an upstream.
///
/// # Errors
///
/// Returns an error when it cannot be reached or refuses the change.
pub async fn set_behaviour(upstream: SocketAddr, fields: &Value) -> io::Result<()> {
    let body = fields.to_string();
    accepted(call(upstream, "POST", "/admin/behaviour", body.as_bytes()).await?)
}

/// Gives a command to the fleet through one node.
///
/// # Errors
///
/// Returns an error when the node cannot be reached or does not accept it.
pub async fn ask(operator: SocketAddr, line: &str) -> io::Result<()> {
    accepted(call(operator, "POST", "/ask", line.as_bytes()).await?)
}

fn accepted((status, body): (u16, Vec<u8>)) -> io::Result<()> {
    match status {
        200..=299 => Ok(()),
        _ => Err(io::Error::other(format!("{status}: {}", String::from_utf8_lossy(&body)))),
    }
}

async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let exchange = async {
        let mut client = Client::connect(addr).await?;
        let reply = client.call(method, path, &[("accept", "application/json")], body).await?;
        Ok((reply.status(), reply.body))
    };
    match timeout(ADMIN_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
