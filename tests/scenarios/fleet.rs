//! The fleet `tuul` as processes: a store, and eight nodes with their upstreams.

use std::{
    fs, io,
    net::SocketAddr,
    process::Command,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_std::{future::timeout, task};
use oleandertiller_bench::{
    process::{Process, program_path},
    workload::{Deployment, ServiceSize},
};
use oleandertiller_language::scenario::Scenario;
use oleandertiller_standin::{
    Record,
    http::{Client, ClientReply},
    ports::PortBlock,
};
use serde_json::Value;
use tempfile::TempDir;

use crate::links::Links;

/// Longest wait for an administrative answer; a command may take the node 8 s.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(12);

/// Time in which the whole fleet gets ready, on a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which a node stops after SIGTERM: the longest request and the notices to peers.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Executor threads of each process.
const THREADS: usize = 2;

/// Behaviour of the upstreams: opening a connection costs 1 ms, and lookups call the kettles.
const BEHAVIOUR: &str =
    r#"{"nested":[{"on":"lookup","service":"kettle","kind":"calibrate","share":0.2}]}"#;

/// Request kinds. Deadlines are long, since the machine that runs the tests may be busy.
const SERVICES: &str = "\
[service kettle]
kind temper = weight 10, idempotent, deadline 2s
kind status = weight 3, idempotent, deadline 2s
kind calibrate = weight 1, idempotent, internal, deadline 2s
[service recipe]
kind lookup = weight 2, idempotent, deadline 2s
kind release = weight 8, at most once, deadline 2s
";

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub client: SocketAddr,
    pub inner: SocketAddr,
    pub gossip: SocketAddr,
    pub operator: SocketAddr,
}

/// A node with its upstream.
pub struct Member {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub node: Addresses,
    pub upstream: SocketAddr,
    process: Mutex<Option<Process>>,
    upstream_process: Mutex<Option<Process>>,
}

/// All processes; they are ended by their ids on drop.
pub struct Fleet {
    pub members: Vec<Member>,
    pub links: Links,
    store_admin: SocketAddr,
    store: Mutex<Option<Process>>,
    dir: TempDir,
    _ports: PortBlock,
}

impl Fleet {
    /// Starts the fleet with proxies on the links that the script changes.
    pub fn start(scenario: &Scenario) -> io::Result<Self> {
        assert_eq!(&*scenario.fleet, "tuul", "the only fleet of these tests");
        let (store, stores) =
            Process::start_standin("store", &program_path("standin-store")?, &[], THREADS)?;
        let mut ports = PortBlock::reserve();
        let mut members = Vec::new();
        for size in Deployment::Tuul.services() {
            for n in 0..size.servers {
                let seed = scenario.seed as usize + members.len();
                members.push(Member::start(&size, n, seed, &mut ports)?);
            }
        }
        let links = Links::start(scenario, &members, stores[0])?;
        let dir = tempfile::tempdir()?;
        let store = Mutex::new(Some(store));
        let fleet = Self { members, links, store_admin: stores[1], store, dir, _ports: ports };
        for index in 0..fleet.members.len() {
            fleet.write_settings(index)?;
            fleet.start_node(index)?;
        }
        task::block_on(timeout(READY_TIMEOUT, fleet.ready()))
            .map_err(|_| io::Error::other("the fleet did not get ready"))?;
        Ok(fleet)
    }

    pub fn index(&self, node: &str) -> usize {
        let found = self.members.iter().position(|member| member.name == node);
        found.unwrap_or_else(|| panic!("the fleet has no node {node}"))
    }

    pub fn start_node(&self, index: usize) -> io::Result<()> {
        let member = &self.members[index];
        let settings = self.dir.path().join(format!("{}.ini", member.name));
        let args = ["node".into(), "--settings".into(), settings.display().to_string()];
        let program = program_path("oleandertiller")?;
        let process = Process::start(&member.name, &program, &args)?;
        *member.process.lock().unwrap() = Some(process);
        Ok(())
    }

    fn write_settings(&self, index: usize) -> io::Result<()> {
        let member = &self.members[index];
        let Addresses { client, inner, gossip, operator } = member.node;
        let others = self.members.iter().filter(|other| other.name != member.name);
        let seeds: Vec<_> = others.take(3).map(|m| m.node.gossip.to_string()).collect();
        let (name, zone, service) = (&member.name, &member.zone, &member.service);
        let (seeds, routes) = (seeds.join(", "), self.links.routes(index));
        let store = self.links.store(index);
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\nservice = {service}\n\
             threads = {THREADS}\n[listen]\n\
             client = {client}\ninner = {inner}\ngossip = {gossip}\noperator = {operator}\n\
             [store]\naddress = {store}\n[peers]\nseeds = {seeds}\nroutes = {routes}\n\
             [log]\nlevel = error\n{SERVICES}"
        );
        fs::write(self.dir.path().join(format!("{name}.ini")), text)
    }

    /// Ends all processes.
    pub fn end(&self) {
        let take = |process: &Mutex<Option<Process>>| {
            // A test that has failed may have poisoned the lock.
            process.lock().unwrap_or_else(PoisonError::into_inner).take();
        };
        for member in &self.members {
            take(&member.process);
            take(&member.upstream_process);
        }
        take(&self.store);
    }

    async fn ready(&self) {
        for member in &self.members {
            while !member.is_ready(self.members.len()).await {
                task::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Sets faults of the store.
    pub async fn store_faults(&self, faults: &Value) {
        let reply = call(self.store_admin, "POST", "/admin/faults", &faults.to_string()).await;
        assert_eq!(reply.unwrap().status(), 200, "faults of the store: {faults}");
    }
}

impl Member {
    fn start(size: &ServiceSize, n: usize, seed: usize, ports: &mut PortBlock) -> io::Result<Self> {
        let node = Addresses {
            client: ports.next_address()?,
            inner: ports.next_address()?,
            gossip: ports.next_address()?,
            operator: ports.next_address()?,
        };
        let (service, slots) = (size.service, size.slots);
        let zone = Deployment::Tuul.zones()[n % 3];
        let name = format!("{service}-{}", n + 1);
        let args = ["--service", service, "--announce-to", &node.operator.to_string()];
        let more = ["--calls-through", &node.client.to_string(), "--slots", &slots.to_string()];
        let last = ["--seed", &seed.to_string(), "--behaviour", BEHAVIOUR];
        let args = args.iter().chain(&more).chain(&last).map(|arg| (*arg).to_owned());
        let args: Vec<_> = args.collect();
        let program = program_path("standin-upstream")?;
        let (upstream, addresses) = Process::start_standin(&name, &program, &args, THREADS)?;
        Ok(Self {
            name,
            zone: zone.to_owned(),
            service: service.to_owned(),
            node,
            upstream: addresses[0],
            process: Mutex::default(),
            upstream_process: Mutex::new(Some(upstream)),
        })
    }

    /// Sends a signal to the node's process.
    pub fn signal(&self, name: &str) {
        let process = self.process.lock().unwrap();
        let id = process.as_ref().expect("the node runs").pid().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
        assert!(status.success(), "signal {name} to {}", self.name);
    }

    /// Ends the node without notice.
    pub fn kill(&self) {
        self.process.lock().unwrap().take();
    }

    /// Waits for the end of a node that was asked to stop; returns whether it ended in time.
    pub async fn stopped(&self) -> bool {
        let ended = async {
            while self.process.lock().unwrap().as_mut().is_some_and(|p| !p.has_ended()) {
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(STOP_TIMEOUT, ended).await.is_ok()
    }

    /// Changes the behaviour of the upstream.
    pub async fn behave(&self, fields: &Value) {
        let reply = call(self.upstream, "POST", "/admin/behaviour", &fields.to_string()).await;
        assert_eq!(reply.unwrap().status(), 200, "{fields} at the upstream of {}", self.name);
    }

    /// Returns what the upstream ran; without the ids of requests when `summary`.
    pub async fn record(&self, summary: bool) -> Option<Record> {
        let path = if summary { "/admin/record?summary=1" } else { "/admin/record" };
        serde_json::from_slice(&call(self.upstream, "GET", path, "").await.ok()?.body).ok()
    }

    /// Sends a statement to the operator port.
    pub async fn ask(&self, line: &str) -> Option<Value> {
        let reply = call(self.node.operator, "POST", "/ask", line).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Returns the revision in force; `None` when the node does not answer or takes no work.
    pub async fn revision(&self) -> Option<u64> {
        let answer = timeout(Duration::from_secs(1), self.ask("show revision")).await.ok()??;
        let basis = &answer["as-of"];
        basis["revision"].as_u64().filter(|rev| *rev > 0 && basis["stale"].is_null())
    }

    async fn is_ready(&self, upstreams: usize) -> bool {
        let Some(answer) = self.ask("show upstreams where state = serving").await else {
            return false;
        };
        let rows = answer["rows"]
            .as_array()
            .map_or(0, |rows| rows.iter().filter(|row| row["heard"] == true).count());
        // Two changes declare the services, and each node joins the keepers of its own.
        let changes = 2 + upstreams as u64;
        rows == upstreams && self.revision().await.is_some_and(|revision| revision >= changes)
    }
}

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<ClientReply> {
    let headers = [("accept", "application/json")];
    let work = async {
        let mut client = Client::connect(address).await?;
        client.call(method, path, &headers, body.as_bytes()).await
    };
    timeout(ADMIN_TIMEOUT, work).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
