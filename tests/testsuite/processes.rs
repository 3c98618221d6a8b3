//! Store, upstreams and nodes as processes of their own, on free loopback ports.
//!
//! Every process is ended by its id when its handle is dropped, also when a test panics.

use std::{
    fs::File,
    future::Future,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use oleandertiller_standin::{
    Record,
    http::{Client, ClientReply},
    ports::PortBlock,
};
use serde_json::Value;
use tempfile::TempDir;

/// Longest time for any one step of a test.
pub const STEP: Duration = Duration::from_secs(8);

/// Interval of looks at a state that is waited for.
const POLL: Duration = Duration::from_millis(20);

/// Token of the operator in all settings files.
pub const TOKEN: &str = "token-of-the-tests";

/// Program of the nodes.
const NODE: &str = env!("CARGO_BIN_EXE_oleandertiller");

/// A process that is ended on drop.
pub struct Process(Child);

impl Process {
    /// Sends a signal such as `STOP` to this process only.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
        assert!(status.success(), "signal {name} to {id}");
    }

    /// Waits for the process to end by itself.
    pub async fn ended(&mut self, within: Duration) -> ExitStatus {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "process {} has not ended", self.0.id());
            task::sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Also ends a process that a test has stopped with SIGSTOP.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and returns the addresses that it prints.
fn standin(program: &str, args: &[String]) -> (Process, Vec<SocketAddr>) {
    let path = Path::new(NODE).with_file_name(program);
    let spawned = Command::new(&path).args(args).stdout(Stdio::piped()).spawn();
    let mut child = spawned.unwrap_or_else(|e| panic!("{program}: {e}; build the workspace"));
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let process = Process(child);
    let mut words = line.split_whitespace();
    assert_eq!(words.next(), Some("ready"), "{program}");
    (process, words.map(|word| word.parse().unwrap()).collect())
}

/// The stand-in store.
pub struct StoreProcess {
    _process: Process,
    /// Address of the store.
    pub address: SocketAddr,
    admin: SocketAddr,
}

impl StoreProcess {
    pub fn start() -> Self {
        let (process, addresses) = standin("standin-store", &[]);
        Self { _process: process, address: addresses[0], admin: addresses[1] }
    }

    /// Sets the faults that `faults` names.
    pub async fn set_faults(&self, faults: &str) {
        let reply = call(self.admin, "POST", "/admin/faults", &[], faults).await;
        assert_eq!(reply.status(), 200);
    }
}

/// What a node is started with.
#[derive(Clone)]
pub struct Plan {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub version: &'static str,
    pub seeds: Vec<SocketAddr>,
    /// Behaviour of the upstream as JSON.
    pub behaviour: &'static str,
}

impl Plan {
    pub fn new(name: &'static str, zone: &'static str, service: &'static str) -> Self {
        let behaviour = r#"{"connect_ms":0}"#;
        Self { name, zone, service, version: "v1", seeds: Vec::new(), behaviour }
    }

    /// Sets the version of the upstream.
    pub fn with_version(self, version: &'static str) -> Self {
        Self { version, ..self }
    }

    /// Sets the behaviour of the upstream, as JSON.
    pub fn with_behaviour(self, behaviour: &'static str) -> Self {
        Self { behaviour, ..self }
    }
}

/// A node with its upstream.
pub struct NodeProcess {
    pub process: Process,
    _upstream: Process,
    pub upstream: SocketAddr,
    pub name: &'static str,
    pub client: SocketAddr,
    pub gossip: SocketAddr,
    pub operator: SocketAddr,
    log: PathBuf,
}

impl NodeProcess {
    fn start(plan: &Plan, store: SocketAddr, dir: &Path, ports: &mut PortBlock) -> Self {
        let [client, inner, gossip, operator] =
            std::array::from_fn(|_| ports.next_address().unwrap());
        let settings = dir.join(format!("{}.ini", plan.name));
        let seeds: Vec<_> = plan.seeds.iter().map(SocketAddr::to_string).collect();
        let (name, zone, service, seeds) = (plan.name, plan.zone, plan.service, seeds.join(", "));
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\nservice = {service}\n\
             [listen]\nclient = {client}\ninner = {inner}\ngossip = {gossip}\n\
             operator = {operator}\n[store]\naddress = {store}\n[peers]\nseeds = {seeds}\n\
             [limits]\ncold-limit = 6\n\
             [operators]\ntester = {TOKEN}\n\
             [service kettle]\nkind temper = weight 10, idempotent, deadline 5s\n\
             [service recipe]\nkind lookup = weight 1, idempotent, deadline 5s\n"
        );
        std::fs::write(&settings, text).unwrap();
        let log = dir.join(format!("{name}.log"));
        let mut command = Command::new(NODE);
        command.args(["node", "--settings"]).arg(&settings);
        command.stdout(Stdio::null()).stderr(File::create(&log).unwrap());
        let process = Process(command.spawn().unwrap());
        let args = [
            "--service",
            service,
            "--version",
            plan.version,
            "--announce-to",
            &operator.to_string(),
        ]
        .map(str::to_owned)
        .into_iter()
        .chain(["--calls-through".into(), client.to_string()])
        .chain(["--behaviour".into(), plan.behaviour.into()]);
        let (upstream_process, addresses) = standin("standin-upstream", &args.collect::<Vec<_>>());
        let (upstream, name) = (addresses[0], plan.name);
        let _upstream = upstream_process;
        Self { process, _upstream, upstream, name, client, gossip, operator, log }
    }

    /// Sends one statement to the operator port; returns the status and the JSON answer.
    pub async fn ask(&self, line: &str) -> (u16, Value) {
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("accept", "application/json"), ("authorization", authorization.as_str())];
        let reply = call(self.operator, "POST", "/ask", &headers, line).await;
        (reply.status(), serde_json::from_slice(&reply.body).unwrap())
    }

    /// Gives a command that must be accepted.
    pub async fn command(&self, line: &str) {
        let (status, answer) = self.ask(line).await;
        assert_eq!((status, &answer["result"]), (200, &"accepted".into()), "{line}: {answer}");
    }

    /// Sends a request to the client port.
    pub async fn get(&self, path: &str) -> ClientReply {
        call(self.client, "GET", path, &[], "").await
    }

    /// Returns what the upstream has run.
    pub async fn record(&self) -> Record {
        let reply = call(self.upstream, "GET", "/admin/record", &[], "").await;
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Changes how the upstream behaves; `behaviour` is JSON.
    pub async fn set_behaviour(&self, behaviour: &str) {
        let reply = call(self.upstream, "POST", "/admin/behaviour", &[], behaviour).await;
        assert_eq!(reply.status(), 200, "{behaviour}");
    }

    /// Returns the node's log lines, for messages of failed tests.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the names of the upstreams that this node shows as serving and heard.
    async fn serving(&self) -> Option<Vec<String>> {
        let open = timeout(STEP, Client::connect(self.operator)).await;
        let mut client = open.ok()?.ok()?;
        let headers = [("accept", "application/json")];
        let line = "show upstreams where state = serving";
        let reply = client.call("POST", "/ask", &headers, line.as_bytes()).await.ok()?;
        let answer: Value = serde_json::from_slice(&reply.body).ok()?;
        if !answer["as-of"]["stale"].is_null() {
            return None;
        }
        let rows = answer["rows"].as_array()?.iter().filter(|row| row["heard"] == true);
        Some(rows.filter_map(|row| Some(row["node"].as_str()?.to_owned())).collect())
    }
}

/// A store and nodes, whose files are removed on drop.
pub struct Fleet {
    pub store: StoreProcess,
    pub nodes: Vec<NodeProcess>,
    dir: TempDir,
    ports: PortBlock,
}

impl Fleet {
    /// Starts a store and nodes, and waits until every node knows every upstream and service.
    pub async fn start(plans: &[Plan]) -> Self {
        let mut fleet = Self {
            store: StoreProcess::start(),
            nodes: Vec::new(),
            dir: tempfile::tempdir().unwrap(),
            ports: PortBlock::reserve(),
        };
        for plan in plans {
            fleet.add(plan);
        }
        fleet.ready().await;
        fleet
    }

    /// Starts one more node.
    pub fn add(&mut self, plan: &Plan) {
        let (store, dir) = (self.store.address, self.dir.path());
        let node = NodeProcess::start(plan, store, dir, &mut self.ports);
        self.nodes.push(node);
    }

    /// Waits until every node knows every upstream and the services of the settings.
    pub async fn ready(&self) {
        let mut names: Vec<_> = self.nodes.iter().map(|node| node.name.to_owned()).collect();
        names.sort();
        for node in &self.nodes {
            let known = || async { node.serving().await.as_ref() == Some(&names) };
            wait_until(STEP, &format!("{} knows {names:?}", node.name), known, node).await;
            let has_services = || async {
                let (_, answer) = node.ask("show services").await;
                answer["rows"].as_array().is_some_and(|rows| rows.len() == 2)
            };
            wait_until(STEP, "the services are there", has_services, node).await;
        }
    }
}

/// Waits for a condition; shows the node's log when it does not come true in time.
pub async fn wait_until<F: Future<Output = bool>>(
    within: Duration,
    what: &str,
    condition: impl Fn() -> F,
    node: &NodeProcess,
) {
    let end = Instant::now() + within;
    while !condition().await {
        assert!(Instant::now() < end, "not in {within:?}: {what}\n{}", node.log());
        task::sleep(POLL).await;
    }
}

/// Makes one call on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> ClientReply {
    let work = async {
        let mut client = Client::connect(address).await?;
        client.call(method, path, headers, body.as_bytes()).await
    };
    let reply = timeout(STEP + STEP, work).await;
    let reply = reply.unwrap_or_else(|_| panic!("{method} {path} at {address}: no answer"));
    reply.unwrap_or_else(|e| panic!("{method} {path} at {address}: {e}"))
}
