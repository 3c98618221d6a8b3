//! Case 6: large bodies of legal size, sent whole at several machines at once, end processes.
//!
//! Eight machines with 260 MB each, four servers each of two services. On each machine, 12 clients
//! send one request after the other to the service `recipe`, with bodies of 8 MiB (TROUBLE=0: 2 KB).
//! The platform kills a process that exceeds its memory and starts it again after a short delay.

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
const MEMORY_MB: u64 = 260;
const CLIENTS: usize = 12;
const DEADLINE: Duration = Duration::from_millis(5_000);

fn env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn config() -> String {
    let rule = |name: &str, kind: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyMs\":800,\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeoutMs\":5000,\"retryAttempts\":2}}}}"
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

fn main() {
    let trouble = trouble();
    let body_bytes = if trouble { env("BODY_KB", 8_192) << 10 } else { 2_000 };
    let seconds = env("SECONDS", 40) as u64;
    let clients = env("CLIENTS", CLIENTS);
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let dir = temp_dir("review-6");
    let ports = Ports::find(MACHINES);
    let store = Store::start(ports.store());
    store.put("op/config", &config());
    let zone = |m: usize| ["bayangol", "sukhbaatar", "khan-uul"][m % 3];
    let service = |m: usize| if m <= MACHINES / 2 { "recipe" } else { "kettle" };
    let stop = Arc::new(AtomicBool::new(false));
    let mut nodes = Vec::new();
    for m in 1..=MACHINES {
        let (id, work) = (format!("i-{m}"), Duration::from_millis(290));
        Server::start(ports.upstream(m), &id, service(m), 6, work, &record)
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let stop = stop.clone();
        thread::spawn(move || {
            let born = unix_ms();
            for sequence in 1.. {
                heartbeat(ports, m, &id, service(m), zone(m), 6, "ready", sequence, born);
                thread::sleep(Duration::from_millis(if sequence < 4 { 300 } else { 1_500 }));
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
        let mut node = Node::new(&dir, m, zone(m), service(m), MEMORY_MB, ports);
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

    // The platform: memory limit and restarts.
    let peaks: Arc<Vec<AtomicUsize>> =
        Arc::new((0..=MACHINES).map(|_| AtomicUsize::new(0)).collect());
    let ends: Arc<Vec<AtomicUsize>> =
        Arc::new((0..=MACHINES).map(|_| AtomicUsize::new(0)).collect());
    let ended = Arc::new(AtomicBool::new(false));
    let (p, e, r, s) = (peaks.clone(), ends.clone(), record.clone(), ended.clone());
    let platform = thread::spawn(move || {
        let mut restart: Vec<Option<Instant>> = vec![None; MACHINES];
        while !s.load(Ordering::Relaxed) {
            for (node, restart) in nodes.iter_mut().zip(&mut restart) {
                let m = node.machine;
                if let Some(at) = *restart {
                    if Instant::now() >= at {
                        *restart = None;
                        node.start();
                    }
                    continue;
                }
                let kb = node.memory_kb();
                p[m].fetch_max(kb as usize, Ordering::Relaxed);
                let over = kb > MEMORY_MB * 1_000;
                if over || node.has_ended() {
                    let why = if over { "exceeds its memory and is killed" } else { "has ended" };
                    r.say(&format!("the process on machine {m} {why}: {kb} kB"));
                    node.kill();
                    e[m].fetch_add(1, Ordering::Relaxed);
                    *restart = Some(Instant::now() + Duration::from_millis(500));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        drop(nodes);
    });

    let body = Arc::new(vec![b'x'; body_bytes]);
    let counts: Arc<[AtomicUsize; 600]> = Arc::new(std::array::from_fn(|_| AtomicUsize::new(0)));
    let mut threads = Vec::new();
    for m in 1..=MACHINES {
        for c in 0..clients {
            let (body, counts, stop, record) =
                (body.clone(), counts.clone(), stop.clone(), record.clone());
            threads.push(thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{m:02}{c:03}{n:05}");
                    let status = request(ports, m, &id, &body).unwrap_or(0);
                    counts[usize::from(status.min(599))].fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("answer {id} {status}"));
                    if status != 200 {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(seconds));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    ended.store(true, Ordering::Relaxed);
    let _ = platform.join();
    let answers: Vec<String> = (0..600)
        .filter_map(|s| match counts[s].load(Ordering::Relaxed) {
            0 => None,
            n => Some(format!("{s}: {n}")),
        })
        .collect();
    record.say(&format!("answers by status (0: none): {}", answers.join(", ")));
    let mut machines_over = 0;
    for m in 1..=MACHINES {
        let (peak, ended) = (peaks[m].load(Ordering::Relaxed), ends[m].load(Ordering::Relaxed));
        record.say(&format!("machine {m} ({}): at most {peak} kB, {ended} ends", service(m)));
        machines_over += usize::from(ended >= 3);
    }
    let broken = machines_over >= 2;
    record
        .say(&format!("machines with three ends or more: {machines_over}; rule broken: {broken}"));
    record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    std::process::exit(i32::from(broken));
}

fn request(ports: Ports, machine: usize, id: &str, body: &[u8]) -> Option<u16> {
    let until = Instant::now() + DEADLINE;
    let stream =
        TcpStream::connect_timeout(&ports.ingress(machine), Duration::from_secs(1)).ok()?;
    stream.set_write_timeout(Some(DEADLINE)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "POST /release/{id} HTTP/1.1\r\nHost: works.example\r\nOleandertiller-Attempt-Id: {id}\r\n\
         Oleandertiller-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    writer.write_all(head.as_bytes()).ok()?;
    // A refusal may come before the body is sent.
    let _ = writer.write_all(body);
    read_timeout(&stream, until.saturating_duration_since(Instant::now()));
    Some(read_message(&mut BufReader::new(stream))?.status())
}
