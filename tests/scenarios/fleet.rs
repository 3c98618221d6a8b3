//! The `tuul` deployment as processes: a store, and eight nodes with their upstreams.

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

/// Time limit for an administrative call; a node may take 8 s for a command.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(12);

/// Time limit for the start of the whole fleet, also on a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for a graceful shutdown: the longest request and the notices to peers.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);

/// Executor threads of each process.
const THREADS: usize = 2;

/// Behaviour of the upstreams: some lookups call `kettle`. The rest is the default, which also
/// delays each new connection by 1 ms.
const UPSTREAM_BEHAVIOUR: &str =
    r#"{"nested":[{"on":"lookup","service":"kettle","kind":"calibrate","share":0.2}]}"#;

/// Settings of the request kinds. Deadlines are long, since the test machine may be busy.
const SERVICES: &str = "\
[service kettle]
kind temper = weight 10, idempotent, deadline 2s
kind status = weight 3, idempotent, deadline 2s
kind calibrate = weight 1, idempotent, internal, deadline 2s
[service recipe]
kind lookup = weight 2, idempotent, deadline 2s
kind release = weight 8, at most once, deadline 2s
";

/// Listening addresses of a node.
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

/// The processes of the deployment, which are killed on drop.
pub struct Fleet {
    pub members: Vec<Member>,
    pub links: Links,
    store_admin: SocketAddr,
    store: Mutex<Option<Process>>,
    dir: TempDir,
    _ports: PortBlock,
}

impl Fleet {
    /// Starts the fleet, with proxies on the links that the script disturbs, and waits until it is
    /// ready.
    pub fn start(scenario: &Scenario) -> io::Result<Self> {
        assert_eq!(&*scenario.fleet, "tuul", "the script names an unsupported fleet");
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
        task::block_on(timeout(READY_TIMEOUT, fleet.wait_ready()))
            .map_err(|_| io::Error::other("the fleet did not get ready in time"))?;
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
        let (seeds, routes) = (seeds.join(", "), self.links.routes_setting(index));
        let store = self.links.store_address(index);
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\nservice = {service}\n\
             threads = {THREADS}\n[listen]\n\
             client = {client}\ninner = {inner}\ngossip = {gossip}\noperator = {operator}\n\
             [store]\naddress = {store}\n[peers]\nseeds = {seeds}\nroutes = {routes}\n\
             [log]\nlevel = error\n{SERVICES}"
        );
        fs::write(self.dir.path().join(format!("{name}.ini")), text)
    }

    /// Kills all processes.
    pub fn kill_all(&self) {
        let kill = |process: &Mutex<Option<Process>>| {
            // A panic in a failed test may have poisoned the lock.
            process.lock().unwrap_or_else(PoisonError::into_inner).take();
        };
        for member in &self.members {
            kill(&member.process);
            kill(&member.upstream_process);
        }
        kill(&self.store);
    }

    async fn wait_ready(&self) {
        for member in &self.members {
            while !member.is_ready(self.members.len()).await {
                task::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Changes the given fields of the faults of the store.
    pub async fn change_store_faults(&self, faults: &Value) {
        let reply = call(self.store_admin, "POST", "/admin/faults", &faults.to_string()).await;
        assert_eq!(reply.unwrap().status(), 200, "the store refused the faults {faults}");
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
        let last = ["--seed", &seed.to_string(), "--behaviour", UPSTREAM_BEHAVIOUR];
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
        assert!(status.success(), "signal {name} was not sent to {}", self.name);
    }

    /// Kills the node's process.
    pub fn kill(&self) {
        self.process.lock().unwrap().take();
    }

    /// Waits until the node's process has exited after SIGTERM; returns whether it did so in time.
    pub async fn wait_for_exit(&self) -> bool {
        let exited = async {
            while self.process.lock().unwrap().as_mut().is_some_and(|p| !p.has_ended()) {
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(SHUTDOWN_TIMEOUT, exited).await.is_ok()
    }

    /// Changes the given fields of the behaviour of the upstream.
    pub async fn change_behaviour(&self, fields: &Value) {
        let reply = call(self.upstream, "POST", "/admin/behaviour", &fields.to_string()).await;
        assert_eq!(
            reply.unwrap().status(),
            200,
            "{fields} was refused by the upstream of {}",
            self.name
        );
    }

    /// Returns the record of what the upstream ran; a summary omits ids and keys that ran only
    /// once.
    pub async fn record(&self, summary: bool) -> Option<Record> {
        let path = if summary { "/admin/record?summary=1" } else { "/admin/record" };
        serde_json::from_slice(&call(self.upstream, "GET", path, "").await.ok()?.body).ok()
    }

    /// Sends a statement of the operators' language to the node and returns its answer.
    pub async fn ask(&self, line: &str) -> Option<Value> {
        let reply = call(self.node.operator, "POST", "/ask", line).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Returns the revision in force; `None` if the node does not answer, or refuses work because
    /// its configuration is missing or stale.
    pub async fn revision(&self) -> Option<u64> {
        let answer = timeout(Duration::from_secs(1), self.ask("show revision")).await.ok()??;
        let as_of = &answer["as-of"];
        as_of["revision"].as_u64().filter(|revision| *revision > 0 && as_of["stale"].is_null())
    }

    async fn is_ready(&self, upstreams: usize) -> bool {
        let Some(answer) = self.ask("show upstreams where state = serving").await else {
            return false;
        };
        let rows = answer["rows"]
            .as_array()
            .map_or(0, |rows| rows.iter().filter(|row| row["heard"] == true).count());
        // Two changes declare the services, and one adds each node to the keepers of its service.
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
