//! A test deployment of mesh node processes, with stand-ins for the store and the upstreams.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use oleandertiller::mesh::http::{Headers, HttpConn, encode_request, response_framing};
use oleandertiller_standin::{
    platform::{KvStore, MeshUpstream},
    ports::PortBlock,
    proxy::{Proxy, ProxyOptions},
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Time limit of each step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(8);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const NODE_BINARY: &str = env!("CARGO_BIN_EXE_oleandertiller");

/// A node process and its local upstream; dropping it kills the process.
pub struct Member {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub ingress: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub upstream: MeshUpstream,
    /// Proxies to the store and to the upstream, if the node connects through them.
    pub links: Option<(Proxy, Proxy)>,
    settings: std::path::PathBuf,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<Value>>>,
    sequence: u64,
    /// Number of requests that its upstream says it runs concurrently.
    pub slots: usize,
    /// Start of the upstream that its announcements name, in milliseconds.
    pub born: u64,
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Where a member of a fleet runs and what its upstream is.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    pub zone: &'static str,
    pub service: &'static str,
    pub version: &'static str,
}

const DEFAULT_MEMBER: MemberSpec = MemberSpec { zone: "z1", service: "kettle", version: "v1" };

/// Whether the test reads the standard output of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StdoutReader {
    Running,
    Stalled,
}

impl Member {
    pub fn start(&mut self, reader: StdoutReader) {
        let mut child = Command::new(NODE_BINARY)
            .args(["mesh", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        if reader == StdoutReader::Running {
            let (stdout, lines) = (child.stdout.take().unwrap(), self.lines.clone());
            thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let value =
                        serde_json::from_str(&line).expect("each log line is a JSON object");
                    lines.lock().unwrap().push(value);
                }
            });
        }
        self.child = Some(child);
    }

    /// Adds text to the settings with which the process starts next.
    pub fn append_settings(&self, text: &str) {
        let settings = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(&self.settings, settings + text).unwrap();
    }

    /// Adds lines to the section `[node]` of its settings.
    fn add_node_settings(&self, lines: &str) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(&self.settings, text.replacen("[node]\n", &format!("[node]\n{lines}"), 1))
            .unwrap();
    }

    /// Returns a path below the process's directory in `/proc`.
    pub fn proc_path(&self, name: &str) -> std::path::PathBuf {
        let id = self.child.as_ref().unwrap().id();
        ["/proc", &id.to_string(), name].iter().collect()
    }

    /// Returns the most memory that the process has used, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches("kB").trim().parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Returns whether the process was started and has neither exited nor been killed.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Returns the address at which the node reaches its upstream.
    pub fn upstream_addr(&self) -> SocketAddr {
        self.links.as_ref().map_or(self.upstream.addr(), |(_, upstream)| upstream.addr())
    }

    /// Waits until the process has exited and returns its status.
    pub async fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.child.as_mut().unwrap().try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "{} did not exit in time", self.name);
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an announcement of the upstream and returns the response status, 0 without a response.
    pub async fn announce(&mut self, state: &str) -> u16 {
        self.announce_cold(state, Duration::ZERO).await
    }

    /// Sends an announcement of an upstream that stays cold for a time; returns the response status.
    pub async fn announce_cold(&mut self, state: &str, cold_for: Duration) -> u16 {
        self.sequence += 1;
        let body = json!({
            "service": self.service, "address": self.upstream_addr().to_string(),
            "zone": self.zone, "version": self.version, "slots": self.slots, "state": state,
            "coldRemainingMs": cold_for.as_millis() as u64, "sequence": self.sequence, "born": self.born,
        });
        let path = format!("/api/instances/{}", self.upstream.id());
        self.put(&path, body.to_string().as_bytes()).await
    }

    pub async fn put(&self, path: &str, body: &[u8]) -> u16 {
        let response = call(self.control, "PUT", path, "x", &[], body).await;
        response.map_or(0, |response| response.status)
    }

    pub async fn is_ready(&self) -> bool {
        let response = call(self.ready, "GET", "/api/readiness", "x", &[], &[]).await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Waits until the request `id` has a log line with `event`; returns all its log lines.
    pub async fn log_lines_of(&self, id: &str, event: &str) -> Vec<Value> {
        wait_for("log line of the request", || {
            let lines = self.lines.lock().unwrap();
            let found: Vec<Value> = lines.iter().filter(|line| line["id"] == id).cloned().collect();
            found.iter().any(|line| line["event"] == event).then_some(found)
        })
        .await
    }

    pub fn log_text(&self) -> String {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    pub fn log_events(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter_map(|line| line["event"].as_str().map(str::to_owned)).collect()
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: String,
}

/// Sends one request on a new connection; returns `None` without a complete response.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    extra: &[(&str, &str)],
    body: &[u8],
) -> Option<Response> {
    let mut conn = HttpConn::connect(address).await.ok()?;
    let mut headers = Headers::default();
    headers.set("Host", host);
    for (name, value) in extra {
        headers.set(name, *value);
    }
    conn.write(&encode_request(method, path, &headers, body)).await.ok()?;
    let head = timeout(STEP_TIMEOUT, conn.read_response(64_000)).await.ok()?.ok()?;
    let framing = response_framing(head.status, &head.headers).ok()?;
    let body = timeout(STEP_TIMEOUT, conn.read_body(framing, 1 << 20)).await.ok()?.ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Response { status: head.status, headers: head.headers, body })
}

/// Polls `f` until it returns a value.
///
/// # Panics
///
/// Panics if there is none within [`STEP_TIMEOUT`].
pub async fn wait_for<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        if let Some(value) = f() {
            return value;
        }
        assert!(Instant::now() < end, "{what}: not seen within {STEP_TIMEOUT:?}");
        task::sleep(POLL_INTERVAL).await;
    }
}

pub struct Fleet {
    pub store: KvStore,
    pub members: Vec<Member>,
    _ports: PortBlock,
    _dir: TempDir,
}

pub fn config(version: u64, extra_prefix: Option<&str>) -> Value {
    let rule = |name: &str, kind: &str, prefix: &str| {
        json!({
            "name": name, "kind": kind, "targetLatencyMs": 500, "priority": 1,
            "match": { "pathPrefix": prefix },
            "action": { "service": "kettle", "timeoutMs": 1500, "retryAttempts": 2 },
        })
    };
    let mut rules = vec![rule("read", "safe", "/read/"), rule("release", "unsafe", "/release/")];
    rules.extend(extra_prefix.map(|prefix| rule("extra", "safe", prefix)));
    json!({
        "version": version,
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "listeners": [{ "host": "shop.example", "ruleSet": rules }],
        "clusters": [{ "name": "kettle", "healthCheckPath": "/health", "connectionLimit": 200,
            "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 5.0 }],
    })
}

impl Fleet {
    /// Starts `count` nodes of one service and waits until all are ready and know each other.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, StdoutReader::Running).await
    }

    pub async fn start_with(count: usize, reader: StdoutReader) -> Self {
        Self::launch(count, reader, false).await
    }

    /// Starts `count` nodes that reach the store and their upstreams through proxies.
    pub async fn start_proxied(count: usize) -> Self {
        Self::launch(count, StdoutReader::Running, true).await
    }

    /// Starts `count` nodes with further lines in their section `[node]`.
    pub async fn start_limited(count: usize, node_settings: &str, config: &Value) -> Self {
        Self::start_limited_specs(&vec![DEFAULT_MEMBER; count], node_settings, config).await
    }

    /// Starts the nodes of a deployment with further lines in their section `[node]`, and waits until
    /// all are ready and know each other.
    pub async fn start_limited_specs(
        specs: &[MemberSpec],
        node_settings: &str,
        config: &Value,
    ) -> Self {
        let reader = StdoutReader::Running;
        let mut fleet = Self::launch_specs(specs, config, reader, false, node_settings).await;
        fleet.wait_until_ready().await;
        fleet
    }

    async fn launch(count: usize, reader: StdoutReader, proxied: bool) -> Self {
        let specs = vec![DEFAULT_MEMBER; count];
        let mut fleet = Self::launch_specs(&specs, &config(3, None), reader, proxied, "").await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts the nodes of a deployment, whose upstreams have not announced themselves yet. They
    /// reach the store and their upstreams through proxies.
    pub async fn start_specs(specs: &[MemberSpec], config: &Value) -> Self {
        Self::launch_specs(specs, config, StdoutReader::Running, true, "").await
    }

    async fn launch_specs(
        specs: &[MemberSpec],
        config: &Value,
        reader: StdoutReader,
        proxied: bool,
        node_settings: &str,
    ) -> Self {
        let (mut ports, dir) = (PortBlock::reserve(), TempDir::new().unwrap());
        let store = KvStore::start(ports.next_address().unwrap()).await.unwrap();
        store.put("op/config", config);
        let mut members = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let mut member = Self::member(index, spec, &mut ports, &store, &dir, proxied).await;
            member.add_node_settings(node_settings);
            member.start(reader);
            members.push(member);
        }
        Self { store, members, _ports: ports, _dir: dir }
    }

    /// Waits until all nodes are ready and the store has the records of their upstreams.
    pub async fn wait_until_ready(&mut self) {
        for member in &mut self.members {
            let end = Instant::now() + STEP_TIMEOUT;
            while !member.is_ready().await || member.announce("ready").await != 200 {
                assert!(Instant::now() < end, "{} is not ready", member.name);
                task::sleep(POLL_INTERVAL).await;
            }
        }
        let count = self.members.len();
        wait_for("node records", || {
            let keys = self.store.keys("mesh/nodes/");
            let served = keys.iter().filter(|key| {
                self.store.get(key).is_some_and(|record| !record["upstream"].is_null())
            });
            (served.count() == count).then_some(())
        })
        .await;
        // The other nodes get the last record with their next watch response.
        task::sleep(Duration::from_millis(400)).await;
    }

    /// Waits until the first nodes are ready and know the upstreams of each other.
    pub async fn wait_until_serving(&mut self, nodes: usize) {
        for member in &mut self.members[..nodes] {
            let end = Instant::now() + STEP_TIMEOUT;
            while !member.is_ready().await || member.announce("ready").await != 200 {
                assert!(Instant::now() < end, "{} is not ready", member.name);
                task::sleep(POLL_INTERVAL).await;
            }
        }
        // The other nodes get the last record with their next watch response.
        task::sleep(Duration::from_millis(1_400)).await;
    }

    async fn member(
        index: usize,
        spec: &MemberSpec,
        ports: &mut PortBlock,
        store: &KvStore,
        dir: &TempDir,
        proxied: bool,
    ) -> Member {
        let mut next = || ports.next_address().unwrap();
        let (ingress, inner, ready, control, metrics) = (next(), next(), next(), next(), next());
        let upstream = MeshUpstream::start(next(), &format!("i-{index}"), 4).await.unwrap();
        let links = match proxied {
            true => Some((
                Proxy::start(ProxyOptions::new(store.addr())).await.unwrap(),
                Proxy::start(ProxyOptions::new(upstream.addr())).await.unwrap(),
            )),
            false => None,
        };
        let direct = (store.addr(), upstream.addr());
        let (to_store, to_upstream) =
            links.as_ref().map_or(direct, |(store, upstream)| (store.addr(), upstream.addr()));
        let MemberSpec { zone, service, version } = spec;
        let settings = dir.path().join(format!("node-{index}.ini"));
        let text = format!(
            "[node]\nname = node-{index}\nzone = {zone}\nservice = {service}\n\
             upstream = {to_upstream}\n\
             [listen]\ningress = {ingress}\ninner = {inner}\nready = {ready}\n\
             control = {control}\nmetrics = {metrics}\n\
             [store]\naddress = {to_store}\n[terms]\nstop-s = 6\n",
        );
        std::fs::write(&settings, text).unwrap();
        Member {
            name: format!("node-{index}"),
            service: (*service).to_owned(),
            zone: (*zone).to_owned(),
            version: (*version).to_owned(),
            ingress,
            ready,
            control,
            metrics,
            upstream,
            links,
            settings,
            child: None,
            lines: Arc::default(),
            sequence: 0,
            slots: 4,
            born: 1_000,
        }
    }

    /// Sends a request to the ingress of a member, with a deadline of 3 s.
    pub async fn request(
        &self,
        member: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> Option<Response> {
        let ids =
            [("Oleandertiller-Attempt-Id", id), ("Oleandertiller-Deadline-Milliseconds", "3000")];
        call(self.members[member].ingress, method, path, "shop.example", &ids, &[]).await
    }

    /// Returns how many times the upstreams together have started a request.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.members.iter().flat_map(|member| member.upstream.runs());
        runs.filter(|run| run.id == id).count()
    }
}
