//! Case 10: a server whose clock was set back reports that it drains, gets 200, and goes on getting
//! requests.
//!
//! Eight machines, four servers each of two services. The server of machine 1 goes down and up twice,
//! each time for a second, and keeps its identifier. When it starts the first time, the clock of its
//! machine is ahead by 2.4 s, so its `born` is; before the second start the clock is set back
//! (TROUBLE=0: the clock is right all the time). Seconds later it reports `draining`.

mod common;
mod server;

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;
use server::Server;

const MACHINES: usize = 8;
const SLOTS: usize = 6;
const CLIENTS: usize = 24;
const BEAT: Duration = Duration::from_millis(1_500);
/// Bounds of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Jump of the clock, and how the server goes down and up.
const JUMP_MS: u64 = 2_400;
const DOWN: Duration = Duration::from_millis(1_000);
const UP: Duration = Duration::from_millis(700);
/// Time from the last start of the server until it drains, and from then until it exits.
const SERVES: Duration = Duration::from_millis(6_000);
const SERVES_ON: Duration = Duration::from_millis(9_000);
const WORK: Duration = Duration::from_millis(220);

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

fn zone(machine: usize) -> &'static str {
    ["bayangol", "sukhbaatar", "khan-uul"][machine % 3]
}

/// Sends the heartbeats of a server until it is told to stop.
fn beat(
    ports: Ports,
    m: usize,
    service: &'static str,
    born: u64,
    state: &'static str,
    first: u64,
) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let s = stop.clone();
    thread::spawn(move || {
        for sequence in first.. {
            if s.load(Ordering::SeqCst) {
                return;
            }
            heartbeat(ports, m, &format!("i-{m}"), service, zone(m), SLOTS, state, sequence, born);
            thread::sleep(if sequence < 4 { Duration::from_millis(300) } else { BEAT });
        }
    });
    stop
}

fn main() {
    let jump_ms = if trouble() { JUMP_MS } else { 0 };
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let dir = temp_dir("review-10");
    let ports = Ports::find(MACHINES);
    let store = Store::start(ports.store());
    store.put("op/config", &config());
    let service = |m: usize| if m <= MACHINES / 2 { "recipe" } else { "kettle" };
    let stop = Arc::new(AtomicBool::new(false));
    let start = |m: usize| {
        let until = Instant::now() + Duration::from_secs(2);
        loop {
            match Server::start(
                ports.upstream(m),
                &format!("i-{m}"),
                service(m),
                SLOTS,
                WORK,
                &record,
            ) {
                Ok(server) => return server,
                Err(error) if Instant::now() > until => cannot_run(&error.to_string()),
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    };
    let (mut nodes, mut servers, mut beats) = (Vec::new(), Vec::new(), Vec::new());
    for m in 1..=MACHINES {
        servers.push(start(m));
        beats.push(beat(ports, m, service(m), unix_ms(), "ready", 1));
        let mut node = Node::new(&dir, m, zone(m), service(m), 260, ports);
        node.start();
        nodes.push(node);
    }
    let until = Instant::now() + Duration::from_secs(10);
    while !(1..=MACHINES).all(|m| is_ready(ports, m)) {
        if Instant::now() > until {
            cannot_run("the nodes are not ready");
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));

    let counts: Arc<Vec<AtomicUsize>> = Arc::new((0..600).map(|_| AtomicUsize::new(0)).collect());
    let mut threads = Vec::new();
    for c in 0..CLIENTS {
        let (counts, stop, record) = (counts.clone(), stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let m = 1 + c % MACHINES;
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("r{c:03}{n:05}");
                record.line(&format!("sent {id} at machine {m}"));
                let answer = request(ports, m, "/release/", &id);
                let status = answer.as_ref().map_or(0, Message::status);
                counts[usize::from(status.min(599))].fetch_add(1, Ordering::Relaxed);
                let by = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned());
                record.line(&format!("answer {id} {status} {}", by.unwrap_or_default()));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));

    // The server goes down and up twice.
    let mut server = servers[0].clone();
    let mut beating = beats[0].clone();
    let mut born = 0;
    for ahead_ms in [jump_ms, 0] {
        beating.store(true, Ordering::SeqCst);
        server.end(Duration::ZERO);
        record.say("i-1 ends");
        thread::sleep(DOWN);
        server = start(1);
        born = unix_ms() + ahead_ms;
        record.say(&format!("i-1 starts, born {born}, clock ahead by {ahead_ms} ms"));
        beating = beat(ports, 1, "recipe", born, "ready", 1);
        thread::sleep(UP);
    }
    thread::sleep(SERVES);
    if server.runs.lock().unwrap().is_empty() {
        cannot_run("the server has run nothing before it drains");
    }

    // It reports that it drains, and goes on with its heartbeats until it exits.
    beating.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_600));
    server.leaving.store(true, Ordering::SeqCst);
    let status = heartbeat(ports, 1, "i-1", "recipe", zone(1), SLOTS, "draining", 100, born);
    if status != 200 {
        cannot_run("`draining` was not acknowledged");
    }
    let acknowledged = Instant::now();
    record.say("`draining` of i-1 acknowledged");
    let beating = beat(ports, 1, "recipe", born, "draining", 101);
    thread::sleep(DRAIN);
    record.line("requests at i-1 count from now on");
    let at_start = server.runs.lock().unwrap().len();
    thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    let reached = server.runs.lock().unwrap().len() - at_start;
    let running = server.running.load(Ordering::SeqCst);
    beating.store(true, Ordering::SeqCst);
    server.end(Duration::ZERO);
    record.say(&format!("i-1 exits while it runs {running} requests"));
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(nodes);
    let answers: Vec<String> = (0..600)
        .filter_map(|s| match counts[s].load(Ordering::Relaxed) {
            0 => None,
            n => Some(format!("{s}: {n}")),
        })
        .collect();
    record.say(&format!("answers by status (0: none): {}", answers.join(", ")));
    record.say(&format!(
        "requests that reached i-1 later than drainMs after its draining was acknowledged: {reached}"
    ));
    record.flush();
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(i32::from(reached > 0));
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
