//! A small deployment on loopback addresses: a store, mesh node processes and servers.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufReader},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::Record,
    server::{Server, ServerConfig},
    store::Store,
};

pub const HOST: &str = "shop.example";

/// The operator's configuration: a safe and an unsafe route to one service.
pub fn config(version: u64, service: &str, cold_per_s: f64) -> String {
    let rule = |name: &str, kind: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyMs\":600,\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeoutMs\":2000,\"retryAttempts\":2}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"listeners\":[{{\"host\":\"{HOST}\",\"ruleSet\":[{},{}]}}],\
         \"clusters\":[{{\"name\":\"{service}\",\"healthCheckPath\":\"/health\",\"connectionLimit\":220,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{cold_per_s}}}]}}",
        rule("read", "safe", "/read/"),
        rule("release", "unsafe", "/release/"),
    )
}

/// A machine: a mesh node and the address of the server beside it.
pub struct Machine {
    pub name: String,
    pub zone: String,
    address: Ipv4Addr,
    settings: PathBuf,
    child: Option<Child>,
    log: PathBuf,
}

impl Machine {
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address), port)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.port(8147)
    }

    pub fn control(&self) -> SocketAddr {
        self.port(8144)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        // The command of `deploy/system.toml`; the platform names the settings by this variable.
        let child = Command::new("target/release/oleandertiller")
            .arg("mesh")
            .env("OLEANDERTILLER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process as the loss of a process does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = http::call(
            self.port(8141),
            "GET /api/readiness HTTP/1.1",
            &[("Host", "x")],
            b"",
            timeout,
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// All machines; dropping it kills the processes that it started.
pub struct Deployment {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    cold_per_s: f64,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(Machine::kill);
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts the store and a node on each of `count` machines; machine `i` is in a zone `zones[i]`.
    pub fn start(
        zones: &[&str],
        service: &str,
        cold_per_s: f64,
        record: Record,
    ) -> io::Result<Self> {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("mesh-review-{id}"));
        fs::create_dir_all(&dir)?;
        let store = Store::start();
        store.put("op/config", &config(3, service, cold_per_s));
        let template = fs::read_to_string("deploy/settings.ini.template")?;
        let mut machines = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            // Each machine has an address of its own, so that the ports are the same on all.
            let address = Ipv4Addr::new(127, 64 + (id >> 8 & 63) as u8, id as u8, 10 + index as u8);
            let name = format!("sidecar-{zone}-{}", index + 1);
            let machine = Machine {
                settings: dir.join(format!("{name}.ini")),
                log: dir.join(format!("{name}.log")),
                name,
                zone: (*zone).to_owned(),
                address,
                child: None,
            };
            store.listen(machine.port(8142), index)?;
            fs::write(&machine.settings, fill_in(&template, &machine, service))?;
            machines.push(machine);
        }
        let mut deployment = Self { store, machines, record, cold_per_s, dir };
        for machine in &mut deployment.machines {
            machine.start()?;
        }
        deployment.wait("all nodes are ready", |deployment| {
            deployment.machines.iter().all(Machine::is_ready)
        })?;
        Ok(deployment)
    }

    /// Starts a server beside each node.
    pub fn start_servers(
        &self,
        service: &str,
        slots: u32,
        work: Duration,
    ) -> io::Result<Vec<Server>> {
        let versions = vec!["v1"; self.machines.len()];
        self.start_versions(service, slots, work, 0, &versions)
    }

    /// Starts servers of these versions, beside the nodes from the one with index `first` on.
    pub fn start_versions(
        &self,
        service: &str,
        slots: u32,
        work: Duration,
        first: usize,
        versions: &[&str],
    ) -> io::Result<Vec<Server>> {
        let mut servers = Vec::new();
        for (index, version) in (first..).zip(versions) {
            let machine = &self.machines[index];
            let cfg = ServerConfig {
                id: format!("i-{index}"),
                service: service.to_owned(),
                version: (*version).to_owned(),
                zone: machine.zone.clone(),
                address: machine.port(8145),
                control: machine.control(),
                slots,
                work,
                cold_per_s: self.cold_per_s,
            };
            servers.push(Server::start(cfg, self.record.clone())?);
        }
        self.wait("the store knows all servers", |deployment| {
            let keys = deployment.store.keys("mesh/nodes/");
            let known = |key: &&String| {
                deployment.store.get(key).is_some_and(|record| record.contains("\"i-"))
            };
            keys.iter().filter(known).count() == first + versions.len()
        })?;
        // The nodes get the last record with their next watch.
        thread::sleep(Duration::from_millis(1_500));
        Ok(servers)
    }

    fn wait(&self, what: &str, done: impl Fn(&Self) -> bool) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(10);
        while !done(self) {
            if Instant::now() > end {
                return Err(io::Error::other(format!("not within 10 s: {what}")));
            }
            thread::sleep(Duration::from_millis(30));
        }
        self.record.line(what);
        Ok(())
    }
}

fn fill_in(template: &str, machine: &Machine, service: &str) -> String {
    let ip = machine.address.to_string();
    let values: BTreeMap<&str, String> = [
        ("nodeName", machine.name.clone()),
        ("zone", machine.zone.clone()),
        ("service", service.to_owned()),
        ("ipAddress", ip),
        ("applicationAddress", machine.port(8145).to_string()),
        ("limits.memoryMb", "260".to_owned()),
        ("listenAddresses.outbound", machine.outbound().to_string()),
        ("listenAddresses.inbound", machine.port(8146).to_string()),
        ("listenAddresses.ready", machine.port(8141).to_string()),
        ("listenAddresses.control", machine.control().to_string()),
        ("platform.address", machine.port(8142).to_string()),
        ("platform.minimumTtlMs", "1000".to_owned()),
        ("platform.writesPerS", "400".to_owned()),
        ("bounds.gracePeriodS", "6".to_owned()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.budgetExtraRetries", "56".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.probesPerS", "60".to_owned()),
        ("bounds.exposureShare", "0.1".to_owned()),
        ("bounds.exposureSlack", "50".to_owned()),
    ]
    .into();
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    pub is_safe: bool,
    /// Status, or 0 if the connection ended without a complete answer.
    pub status: u16,
}

/// Clients that send requests at a steady rate, each on a new connection, until stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Clients {
    /// Starts clients of the nodes; every third request is unsafe.
    pub fn start(nodes: &[SocketAddr], per_second: u64, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        let nodes_count = nodes.len() as u32;
        for (index, node) in nodes.iter().copied().enumerate() {
            let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let interval = Duration::from_micros(1_000_000 / per_second);
                // The nodes don't get their requests at the same moments.
                let mut next = Instant::now() + interval * index as u32 / nodes_count;
                thread::sleep(next.saturating_duration_since(Instant::now()));
                let mut waiting = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
                    let (outcomes, record) = (outcomes.clone(), record.clone());
                    waiting.push(thread::spawn(move || {
                        let outcome = request(node, number, &record);
                        outcomes.lock().unwrap().push(outcome);
                    }));
                    waiting.retain(|thread| !thread.is_finished());
                    next += interval;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                waiting.into_iter().for_each(|thread| drop(thread.join()));
            }));
        }
        Self { stop, outcomes, threads }
    }

    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.outcomes.lock().unwrap().clone()
    }
}

fn request(node: SocketAddr, number: u64, record: &Record) -> Outcome {
    let (id, is_safe) = (format!("{number:016x}"), number % 3 != 0);
    let start = match is_safe {
        true => format!("GET /read/{number} HTTP/1.1"),
        false => format!("POST /release/{number} HTTP/1.1"),
    };
    let headers = [
        ("Host", HOST),
        ("Oleandertiller-Attempt-Id", id.as_str()),
        ("Oleandertiller-Deadline-Milliseconds", "4000"),
    ];
    let sent = Instant::now();
    record.line(&format!("client sends {id} {start} to {node}"));
    let answer = exchange(node, &start, &headers);
    let status = answer.as_ref().map_or(0, http::Message::status);
    record.line(&format!("client gets {status} to {id}"));
    Outcome { id, sent, is_safe, status }
}

fn exchange(node: SocketAddr, start: &str, headers: &[(&str, &str)]) -> io::Result<http::Message> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    http::write(&mut stream, start, headers, b"")?;
    http::read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
