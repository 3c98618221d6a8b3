//! Runs the store, the upstreams and the nodes as processes, on free loopback ports.
//!
//! Dropping the handle of a process kills it, also when a test panics.

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

/// Time limit of each step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Token of the operator in all settings files.
pub const TOKEN: &str = "token-of-the-tests";

/// Path of the node binary; the stand-ins are built into the same directory.
const NODE_BINARY: &str = env!("CARGO_BIN_EXE_oleandertiller");

/// A child process that is killed on drop.
pub struct Process(Child);

impl Process {
    /// Sends a signal such as `STOP` to this process only.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
        assert!(status.success(), "signal {name} was not sent to process {id}");
    }

    /// Waits until the process has exited and returns its status.
    pub async fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "process {} did not exit in time", self.0.id());
            task::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that a test has paused with SIGSTOP.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and returns the addresses that it prints.
fn start_standin(program: &str, args: &[String]) -> (Process, Vec<SocketAddr>) {
    let path = Path::new(NODE_BINARY).with_file_name(program);
    let spawned = Command::new(&path).args(args).stdout(Stdio::piped()).spawn();
    let mut child = spawned.unwrap_or_else(|e| panic!("{program}: {e}; build the workspace"));
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let process = Process(child);
    let mut words = line.split_whitespace();
    assert_eq!(words.next(), Some("ready"), "{program} did not get ready");
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
        let (process, addresses) = start_standin("standin-store", &[]);
        Self { _process: process, address: addresses[0], admin: addresses[1] }
    }

    /// Sets the faults of the store; `faults` is JSON.
    pub async fn set_faults(&self, faults: &str) {
        let reply = call(self.admin, "POST", "/admin/faults", &[], faults).await;
        assert_eq!(reply.status(), 200);
    }
}

/// Options of a node and its upstream.
#[derive(Clone)]
pub struct NodeOptions {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub version: &'static str,
    pub seeds: Vec<SocketAddr>,
    /// Behaviour of the upstream as JSON.
    pub behaviour: &'static str,
}

impl NodeOptions {
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

/// The processes of a node and its upstream.
pub struct NodeProcess {
    pub process: Process,
    _upstream: Process,
    pub upstream: SocketAddr,
    pub name: &'static str,
    pub client: SocketAddr,
    pub gossip: SocketAddr,
    pub operator: SocketAddr,
    log_path: PathBuf,
}

impl NodeProcess {
    fn start(options: &NodeOptions, store: SocketAddr, dir: &Path, ports: &mut PortBlock) -> Self {
        let [client, inner, gossip, operator] =
            std::array::from_fn(|_| ports.next_address().unwrap());
        let settings = dir.join(format!("{}.ini", options.name));
        let seeds: Vec<_> = options.seeds.iter().map(SocketAddr::to_string).collect();
        let (name, zone, service, seeds) =
            (options.name, options.zone, options.service, seeds.join(", "));
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
        let log_path = dir.join(format!("{name}.log"));
        let mut command = Command::new(NODE_BINARY);
        command.args(["node", "--settings"]).arg(&settings);
        command.stdout(Stdio::null()).stderr(File::create(&log_path).unwrap());
        let process = Process(command.spawn().unwrap());
        let args = [
            "--service",
            service,
            "--version",
            options.version,
            "--announce-to",
            &operator.to_string(),
        ]
        .map(str::to_owned)
        .into_iter()
        .chain(["--calls-through".into(), client.to_string()])
        .chain(["--behaviour".into(), options.behaviour.into()]);
        let (upstream_process, addresses) =
            start_standin("standin-upstream", &args.collect::<Vec<_>>());
        let (upstream, name) = (addresses[0], options.name);
        let _upstream = upstream_process;
        Self { process, _upstream, upstream, name, client, gossip, operator, log_path }
    }

    /// Sends one statement to the operator port; returns the status and the JSON answer.
    pub async fn ask(&self, line: &str) -> (u16, Value) {
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("accept", "application/json"), ("authorization", authorization.as_str())];
        let reply = call(self.operator, "POST", "/ask", &headers, line).await;
        (reply.status(), serde_json::from_slice(&reply.body).unwrap())
    }

    /// Sends a command and checks that it is accepted.
    pub async fn command(&self, line: &str) {
        let (status, answer) = self.ask(line).await;
        assert_eq!((status, &answer["result"]), (200, &"accepted".into()), "{line}: {answer}");
    }

    /// Sends a GET request to the client port.
    pub async fn get(&self, path: &str) -> ClientReply {
        call(self.client, "GET", path, &[], "").await
    }

    /// Returns the record of what the upstream has received and run.
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
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the nodes that this node lists as heard and with a serving upstream; `None` if it
    /// does not answer or is stale.
    async fn serving_nodes(&self) -> Option<Vec<String>> {
        let open = timeout(STEP_TIMEOUT, Client::connect(self.operator)).await;
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

/// A store and nodes; dropping them removes their files.
pub struct Fleet {
    pub store: StoreProcess,
    pub nodes: Vec<NodeProcess>,
    dir: TempDir,
    ports: PortBlock,
}

impl Fleet {
    /// Starts a store and nodes, and waits until every node knows every upstream and service.
    pub async fn start(node_options: &[NodeOptions]) -> Self {
        let mut fleet = Self {
            store: StoreProcess::start(),
            nodes: Vec::new(),
            dir: tempfile::tempdir().unwrap(),
            ports: PortBlock::reserve(),
        };
        for options in node_options {
            fleet.add(options);
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts one more node.
    pub fn add(&mut self, options: &NodeOptions) {
        let (store, dir) = (self.store.address, self.dir.path());
        let node = NodeProcess::start(options, store, dir, &mut self.ports);
        self.nodes.push(node);
    }

    /// Waits until every node knows every upstream and the services of the settings.
    pub async fn wait_until_ready(&self) {
        let mut names: Vec<_> = self.nodes.iter().map(|node| node.name.to_owned()).collect();
        names.sort();
        for node in &self.nodes {
            let known = || async { node.serving_nodes().await.as_ref() == Some(&names) };
            wait_until(STEP_TIMEOUT, &format!("{} knows {names:?}", node.name), known, node).await;
            let has_services = || async {
                let (_, answer) = node.ask("show services").await;
                answer["rows"].as_array().is_some_and(|rows| rows.len() == 2)
            };
            wait_until(STEP_TIMEOUT, "the services are known", has_services, node).await;
        }
    }
}

/// Waits until a condition holds; panics with the log of `node` if it does not in time.
pub async fn wait_until<F: Future<Output = bool>>(
    within: Duration,
    what: &str,
    condition: impl Fn() -> F,
    node: &NodeProcess,
) {
    let end = Instant::now() + within;
    while !condition().await {
        assert!(Instant::now() < end, "{what}: not within {within:?}\n{}", node.log());
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Sends one request on a new connection.
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
    let reply = timeout(STEP_TIMEOUT + STEP_TIMEOUT, work).await;
    let reply = reply.unwrap_or_else(|_| panic!("{method} {path} at {address}: no answer"));
    reply.unwrap_or_else(|e| panic!("{method} {path} at {address}: {e}"))
}
