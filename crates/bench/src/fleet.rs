//! Fleets of real processes on loopback: a stand-in store, and nodes with their stand-in upstreams.

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

use crate::process::{Process, free_addrs, program_path};
use crate::settings::{NodeSettings, settings_text};
use crate::workload::Deployment;

/// Maximum number of processes of a fleet.
pub const MAX_PROCESSES: usize = 100;
/// Maximum wait, once all processes run, until every node knows the whole fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time of a call to an operator port or to an upstream's administrative interface.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Parameters of an upstream and its node.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    /// Name of the node.
    pub name: String,
    /// Service of the upstream.
    pub service: String,
    /// Availability zone of the node and its upstream.
    pub zone: String,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Fields of the upstream's behaviour that differ from the default, as a JSON object.
    pub behaviour: Value,
}

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Deployment whose services and request kinds the nodes' settings declare.
    pub deployment: Deployment,
    /// Upstreams with their nodes, started in this order.
    pub members: Vec<MemberPlan>,
    /// Selection policy of the nodes; with `None`, only upstreams are started.
    pub policy: Option<String>,
    /// Number of executor threads of each process.
    pub threads: usize,
    /// Seed of the first upstream; each further one gets the next number.
    pub seed: u64,
}

impl FleetPlan {
    /// Creates the plan of all servers of a deployment, with service times multiplied by `scale`.
    pub fn for_deployment(
        deployment: Deployment,
        scale: f64,
        policy: Option<String>,
        seed: u64,
    ) -> Self {
        let mut members = Vec::new();
        for size in deployment.services() {
            for index in 0..size.servers {
                members.push(MemberPlan {
                    name: format!("{}-{}", size.service, index + 1),
                    service: size.service.into(),
                    zone: deployment.zones()[index % deployment.zones().len()].into(),
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
    /// Process, which is killed when the node is dropped.
    pub process: Process,
    /// Address of the client port.
    pub client_addr: SocketAddr,
    /// Address of the operator port.
    pub operator_addr: SocketAddr,
}

/// A running upstream and its node.
pub struct Member {
    /// Parameters of the start.
    pub plan: MemberPlan,
    /// Process of the upstream, which is killed when the member is dropped.
    pub upstream: Process,
    /// Address of the upstream, for requests and for its administrative interface.
    pub upstream_addr: SocketAddr,
    /// Node of the upstream; `None` in a fleet of upstreams alone.
    pub node: Option<Node>,
}

/// A running fleet, whose processes are killed on drop.
pub struct Fleet {
    /// Upstreams with their nodes, in the order of the plan.
    pub members: Vec<Member>,
    _store: Option<Process>,
    _dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until every node knows the whole fleet.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet is too large, or a program is missing, does not start or is
    /// not ready in time.
    pub fn start(plan: &FleetPlan) -> io::Result<Self> {
        if plan.members.len() * 2 + 1 > MAX_PROCESSES {
            return Err(io::Error::other(format!(
                "the fleet needs more than {MAX_PROCESSES} processes"
            )));
        }
        let dir = tempfile::tempdir()?;
        let mut fleet = Self { members: Vec::new(), _store: None, _dir: dir };
        let Some(policy) = &plan.policy else {
            for (index, member) in plan.members.iter().enumerate() {
                fleet.members.push(start_upstream(plan, member, index, None)?);
            }
            return Ok(fleet);
        };
        let program = program_path("standin-store")?;
        let (process, store) = Process::start_standin("store", &program, &[], plan.threads)?;
        fleet._store = Some(process);
        let mut seeds = Vec::new();
        for (index, member) in plan.members.iter().enumerate() {
            let addrs = free_node_addrs()?;
            let settings = node_settings(plan, member, policy, addrs, store[0], &seeds);
            let file = fleet._dir.path().join(format!("{}.ini", member.name));
            fs::write(&file, settings_text(&settings))?;
            let node = start_node(member, &file, addrs)?;
            fleet.members.push(start_upstream(plan, member, index, Some(node))?);
            seeds.push(addrs[2]);
            seeds.truncate(3);
        }
        let kinds = plan.deployment.kinds().len() + plan.deployment.internal_kinds().len();
        fleet.wait_until_ready(kinds)?;
        Ok(fleet)
    }

    /// Waits until every node knows every upstream and request kind; before that, even a healthy
    /// node may refuse requests.
    fn wait_until_ready(&mut self, kinds: usize) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let upstreams = self.members.len();
        for member in &mut self.members {
            let Some(node) = &mut member.node else { continue };
            while !knows_fleet(node.operator_addr, upstreams, kinds) {
                if node.process.has_ended() {
                    return Err(io::Error::other(format!(
                        "{} ended before it was ready",
                        node.process.name
                    )));
                }
                if Instant::now() > deadline {
                    let name = &node.process.name;
                    return Err(io::Error::other(format!(
                        "{name} did not know the whole fleet in time"
                    )));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns the addresses of the nodes' client ports.
    pub fn client_addrs(&self) -> Vec<SocketAddr> {
        let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
        nodes.map(|node| node.client_addr).collect()
    }

    /// Returns the members whose upstream belongs to a service.
    pub fn of_service(&self, service: &str) -> Vec<&Member> {
        self.members.iter().filter(|member| member.plan.service == service).collect()
    }
}

fn free_node_addrs() -> io::Result<[SocketAddr; 4]> {
    let addrs = free_addrs(4)?;
    Ok([addrs[0], addrs[1], addrs[2], addrs[3]])
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
    Ok(Node { process, client_addr: addrs[0], operator_addr: addrs[3] })
}

fn start_upstream(
    plan: &FleetPlan,
    member: &MemberPlan,
    index: usize,
    node: Option<Node>,
) -> io::Result<Member> {
    let program: PathBuf = program_path("standin-upstream")?;
    let mut args: Vec<String> = vec!["--no-ids".into()];
    let mut add_option = |name: &str, value: String| args.extend([name.to_owned(), value]);
    add_option("--service", member.service.clone());
    add_option("--slots", member.slots.to_string());
    add_option("--seed", (plan.seed + index as u64).to_string());
    add_option("--behaviour", member.behaviour.to_string());
    if let Some(node) = &node {
        add_option("--announce-to", node.operator_addr.to_string());
        add_option("--calls-through", node.client_addr.to_string());
    }
    let name = format!("upstream {}", member.name);
    let (upstream, addrs) = Process::start_standin(&name, &program, &args, plan.threads)?;
    Ok(Member { plan: member.clone(), upstream, upstream_addr: addrs[0], node })
}

/// Returns whether a node has a fresh view with this number of serving upstreams and request kinds.
fn knows_fleet(operator: SocketAddr, upstreams: usize, kinds: usize) -> bool {
    let count_rows = |statement: &str| {
        let (_, body) =
            task::block_on(admin_call(operator, "POST", "/ask", statement.as_bytes())).ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let is_fresh = answer["as-of"]["stale"].is_null();
        is_fresh.then(|| answer["rows"].as_array().map(Vec::len)).flatten()
    };
    count_rows("show upstreams where state = serving") == Some(upstreams)
        && count_rows("show services") == Some(kinds)
}

/// Returns the record of the requests that an upstream received and ran.
///
/// # Errors
///
/// Returns an error when the upstream cannot be reached or its answer cannot be parsed.
pub async fn fetch_record(upstream: SocketAddr) -> io::Result<Record> {
    let (_, body) = admin_call(upstream, "GET", "/admin/record", &[]).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Changes fields of an upstream's behaviour; `fields` may also hold a command such as
/// `reset_record`.
///
/// # Errors
///
/// Returns an error when the upstream cannot be reached or refuses the change.
pub async fn set_behaviour(upstream: SocketAddr, fields: &Value) -> io::Result<()> {
    let body = fields.to_string();
    check_status(admin_call(upstream, "POST", "/admin/behaviour", body.as_bytes()).await?)
}

/// Sends a statement of the operators' language to a node's operator port.
///
/// # Errors
///
/// Returns an error when the node cannot be reached or does not accept the statement.
pub async fn ask(operator: SocketAddr, statement: &str) -> io::Result<()> {
    check_status(admin_call(operator, "POST", "/ask", statement.as_bytes()).await?)
}

fn check_status((status, body): (u16, Vec<u8>)) -> io::Result<()> {
    match status {
        200..=299 => Ok(()),
        _ => Err(io::Error::other(format!("{status}: {}", String::from_utf8_lossy(&body)))),
    }
}

async fn admin_call(
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
