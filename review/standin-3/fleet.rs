//! Starts mesh nodes as processes with the command of the deploy file, beside stand-in servers.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    server::{Behaviour, Identity, Server},
    store::Store,
};

/// The record of a run: lines with their time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.0.0).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, when: Instant, text: &str) {
        // A record that cannot be written shows in the file.
        let _ = writeln!(self.0.1.lock().unwrap(), "{:9.3} s  {text}", self.at(when));
    }
}

/// A node of which the process may be killed and started again, and its server.
pub struct Node {
    pub ingress: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub server: Server,
    pub started: Instant,
}

impl Node {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log file");
        let child = Command::new("target/release/oleandertiller")
            .arg("mesh")
            .env("OLEANDERTILLER_BOOT", &self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("the program does not start: {error}")),
        }
        self.started = Instant::now();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET /api/readiness",
            &[("Host", "node")],
            b"",
            Duration::from_millis(1_000),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        self.server.end();
    }
}

/// Ends the run because it could not be made; the unwinding ends all processes that it started.
pub fn cannot_run(why: &str) -> ! {
    panic!("{why}")
}

pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Node>,
    dir: PathBuf,
    next_port: u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    pub fn new(config: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::start();
        store.put("op/config", config);
        // Below the ports that the system gives to outgoing connections.
        let next_port = 20_000 + (std::process::id() % 200) as u16 * 60;
        Self { store, nodes: Vec::new(), dir, next_port }
    }

    fn port(&mut self) -> SocketAddr {
        loop {
            self.next_port += 1;
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }

    /// Starts a node and its server.
    pub fn add(&mut self, zone: &str, service: &str, version: &str, behaviour: Behaviour) {
        let index = self.nodes.len();
        let name = format!("sidecar-{zone}-{index}");
        let [ingress, inner, ready, control, metrics, upstream] = [(); 6].map(|()| self.port());
        let settings = self.dir.join(format!("{name}.ini"));
        let store = self.store.address;
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\nservice = {service}\nupstream = {upstream}\n\
             memory-mb = 260\ndescriptors = 4100\n\
             [listen]\ningress = {ingress}\ninner = {inner}\nready = {ready}\n\
             control = {control}\nmetrics = {metrics}\n\
             [store]\naddress = {store}\nshortest-lease-ms = 1000\nwrites-per-s = 400\n\
             [terms]\nstop-s = 6\nretry-ratio = 0.2\nretry-extra = 56\nretry-window-s = 10\n\
             probes-per-s = 60\nexposure-share = 0.1\nexposure-extra = 50\n\
             [usage]\naddress =\nwindow-s =\nlate-s =\nholder-ms =\n",
        );
        fs::write(&settings, text).expect("settings");
        let identity = Identity {
            id: format!("i-{index}-{version}"),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            address: upstream,
            control,
        };
        let log = self.dir.join(format!("{name}.log"));
        let mut node = Node {
            ingress,
            ready,
            settings,
            log,
            child: None,
            server: Server::start(identity, behaviour),
            started: Instant::now(),
        };
        node.start();
        self.nodes.push(node);
    }

    /// Waits until all nodes are ready and the store has the records of their servers.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            let keys = self.store.keys("mesh/nodes/");
            let serves = |key: &String| {
                self.store.get(key).is_some_and(|record| record.contains("\"stage\":\"serving\""))
            };
            let served = keys.iter().filter(|key| serves(key)).count();
            if served == self.nodes.len() && self.nodes.iter().all(Node::is_ready) {
                return;
            }
            if Instant::now() > until {
                cannot_run("the nodes are not ready in time");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time after 1970").as_millis() as u64
}
