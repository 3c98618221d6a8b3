//! Case 7: a request runs at a server of another service that has taken over an address.
//!
//! Eight machines, four servers each of the services `recipe` and `kettle`. The servers of `recipe`
//! are busy. One after the other, a server of `recipe` falls silent for good; later than
//! `addressReuseS` its address is given to a server of `kettle`, which registers as all servers do.
//! Later the address goes back in the same way. With TROUBLE=0 no server ends.

mod common;
mod server;

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;
use server::Server;

const MACHINES: usize = 8;
const SLOTS: usize = 6;
/// Time for which an address that a server has left stays unused; `addressReuseS` is 2.
const REUSE: Duration = Duration::from_millis(2_000);
const BEAT: Duration = Duration::from_millis(1_500);

fn env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn config() -> String {
    let rule = |name: &str, kind: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyMs\":800,\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeoutMs\":2000,\"retryAttempts\":2}}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"connectionLimit\":220,\
             \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":15.0}}"
        )
    };
    format!(
        "{{\"version\":7,\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"baseVersion\":0,\"listeners\":[{{\
         \"host\":\"works.example\",\"ruleSet\":[{},{}]}}],\"clusters\":[{},{}]}}",
        rule("release", "unsafe", "/release/", "recipe"),
        rule("reading", "safe", "/reading/", "kettle"),
        service("recipe"),
        service("kettle"),
    )
}

/// The server that a machine has now, and when it was born.
struct Place {
    machine: usize,
    server: Arc<Server>,
    born: u64,
    sequence: u64,
}

impl Place {
    fn start(
        ports: Ports,
        machine: usize,
        id: String,
        service: &str,
        record: &Arc<Record>,
    ) -> Self {
        let work = Duration::from_millis(env("WORK_MS", 290) as u64);
        let address = ports.upstream(machine);
        let until = Instant::now() + Duration::from_secs(2);
        let server = loop {
            match Server::start(address, &id, service, SLOTS, work, record) {
                Ok(server) => break server,
                Err(error) if Instant::now() > until => cannot_run(&error.to_string()),
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        Self { machine, server, born: unix_ms(), sequence: 0 }
    }
    fn beat(&mut self, ports: Ports) {
        self.sequence += 1;
        let (s, m) = (&self.server, self.machine);
        heartbeat(ports, m, &s.id, &s.service, zone(m), SLOTS, "ready", self.sequence, self.born);
    }
}

fn zone(machine: usize) -> &'static str {
    ["bayangol", "sukhbaatar", "khan-uul"][machine % 3]
}

fn main() {
    let trouble = trouble();
    let seconds = env("SECONDS", 90) as u64;
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let dir = temp_dir("review-7");
    let ports = Ports::find(MACHINES);
    let store = Store::start(ports.store());
    store.put("op/config", &config());
    let home = |m: usize| if m <= MACHINES / 2 { "recipe" } else { "kettle" };
    let stop = Arc::new(AtomicBool::new(false));
    let (mut nodes, mut places) = (Vec::new(), Vec::new());
    for m in 1..=MACHINES {
        let place = Place::start(ports, m, format!("i-{m}-0"), home(m), &record);
        places.push(Arc::new(Mutex::new(place)));
        let mut node = Node::new(&dir, m, zone(m), home(m), 260, ports);
        node.start();
        nodes.push(node);
    }
    for place in &places {
        let (place, stop) = (place.clone(), stop.clone());
        thread::spawn(move || {
            for beat in 0.. {
                {
                    let mut place = place.lock().unwrap();
                    if !place.server.silent.load(Ordering::SeqCst) {
                        place.beat(ports);
                    }
                }
                thread::sleep(if beat < 4 { Duration::from_millis(300) } else { BEAT });
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
    }
    let until = Instant::now() + Duration::from_secs(10);
    while !(1..=MACHINES).all(|m| is_ready(ports, m)) {
        if Instant::now() > until {
            cannot_run("the nodes are not ready");
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));

    // Clients: a steady stream of requests to each service, from all machines.
    let counts: Arc<Vec<AtomicUsize>> = Arc::new((0..600).map(|_| AtomicUsize::new(0)).collect());
    let mut threads = Vec::new();
    for (prefix, service, clients) in
        [("/release/", "recipe", env("CLIENTS", 48)), ("/reading/", "kettle", env("CLIENTS", 48))]
    {
        for c in 0..clients {
            let (counts, stop, record) = (counts.clone(), stop.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let m = 1 + c % MACHINES;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{}{c:03}{n:05}", &service[..1]);
                    let answer = request(ports, m, prefix, &id);
                    let status = answer.as_ref().map_or(0, Message::status);
                    counts[usize::from(status.min(599))].fetch_add(1, Ordering::Relaxed);
                    let by = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned());
                    record.line(&format!(
                        "answer {id} to {prefix} {status} {}",
                        by.unwrap_or_default()
                    ));
                    if status != 200 {
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            }));
        }
    }

    // The disruption: addresses that go to a server of the other service, and back. Of each service's
    // four servers, one is away at a time at most.
    let ended: Arc<Mutex<Vec<Arc<Server>>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(seconds);
    let taken = Arc::new(AtomicUsize::new(0));
    let mut turns = Vec::new();
    for first in [0, MACHINES / 2] {
        let (places, ended, taken, record) =
            (places.clone(), ended.clone(), taken.clone(), record.clone());
        turns.push(thread::spawn(move || {
            for n in 0.. {
                thread::sleep(Duration::from_millis(1_000));
                if Instant::now() >= until {
                    return;
                }
                if !trouble {
                    continue;
                }
                // The address goes back the next time.
                let place = &places[first + n / 2 % (MACHINES / 2)];
                let old = place.lock().unwrap().server.clone();
                record.line(&format!("silent {} of {}", old.id, old.service));
                old.silent.store(true, Ordering::SeqCst);
                thread::sleep(REUSE.mul_f64(1.0 + 0.2 * random()));
                let mut place = place.lock().unwrap();
                let machine = place.machine;
                let service = if old.service == "recipe" { "kettle" } else { "recipe" };
                old.end(Duration::from_secs(1));
                ended.lock().unwrap().push(old);
                *place = Place::start(
                    ports,
                    machine,
                    format!("i-{machine}-{}", n + 1),
                    service,
                    &record,
                );
                let id = &place.server.id;
                record.line(&format!("address of machine {machine} taken by {id} of {service}"));
                place.beat(ports);
                taken.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    for turn in turns {
        let _ = turn.join();
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    drop(nodes);
    let mut broken = 0;
    let now = places.iter().map(|place| place.lock().unwrap().server.clone());
    let ended = std::mem::take(&mut *ended.lock().unwrap());
    let taken = taken.load(Ordering::Relaxed);
    for server in ended.into_iter().chain(now) {
        for (id, target) in server.runs.lock().unwrap().iter() {
            let allowed = if target.starts_with("/release/") { "recipe" } else { "kettle" };
            if allowed != server.service {
                broken += 1;
                record.say(&format!(
                    "request {id} {target} has run at {} of {}",
                    server.id, server.service
                ));
            }
        }
    }
    let answers: Vec<String> = (0..600)
        .filter_map(|s| match counts[s].load(Ordering::Relaxed) {
            0 => None,
            n => Some(format!("{s}: {n}")),
        })
        .collect();
    record.say(&format!("answers by status (0: none): {}", answers.join(", ")));
    record.say(&format!("addresses taken over: {taken}; requests at a wrong service: {broken}"));
    record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    std::process::exit(i32::from(broken > 0));
}

fn request(ports: Ports, machine: usize, prefix: &str, id: &str) -> Option<Message> {
    let stream =
        TcpStream::connect_timeout(&ports.ingress(machine), Duration::from_secs(1)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let method = if prefix == "/release/" { "POST" } else { "GET" };
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let head = format!(
        "{method} {prefix}{id} HTTP/1.1\r\nHost: works.example\r\nOleandertiller-Attempt-Id: {id}\r\n\
         Oleandertiller-Deadline-Milliseconds: 4000\r\n{length}\r\n",
    );
    writer.write_all(head.as_bytes()).ok()?;
    read_timeout(&stream, Duration::from_millis(4_500));
    read_message(&mut BufReader::new(stream))
}
