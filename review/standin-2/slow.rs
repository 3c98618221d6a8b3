//! Case 9: a client that reads slowly loses the answer to a request that has run.
//!
//! Eight machines, four servers each of two services, in calm. On each machine, three clients send
//! requests of a `download` route, two on a connection. The answers have 540 KB. Each client pauses for
//! 1.8 s after the first bytes of the second answer and then reads the rest, within its deadline
//! (TROUBLE=0: it does not pause).

mod common;
mod server;

use std::{
    io::{BufRead, BufReader, Write},
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
const ROUNDS: usize = 8;
const ANSWER_BYTES: usize = 540_000;
const DEADLINE: Duration = Duration::from_millis(2_500);
const BEAT: Duration = Duration::from_millis(1_500);

fn config() -> String {
    let rule = |name: &str, kind: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyMs\":300,\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeoutMs\":2500,\"retryAttempts\":2}}}}"
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
        rule("ledger", "download", "/ledger/", "market"),
        rule("plots", "safe", "/plots/", "homestead"),
        service("market"),
        service("homestead"),
    )
}

fn zone(machine: usize) -> &'static str {
    ["lakes-east-a", "lakes-east-b", "lakes-east-c"][machine % 3]
}

fn main() {
    let pause = Duration::from_millis(if trouble() { 1_800 } else { 0 });
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let dir = temp_dir("review-9");
    let ports = Ports::find(MACHINES);
    let store = Store::start(ports.store());
    store.put("op/config", &config());
    let service = |m: usize| if m <= MACHINES / 2 { "market" } else { "homestead" };
    let stop = Arc::new(AtomicBool::new(false));
    let (mut nodes, mut servers) = (Vec::new(), Vec::new());
    for m in 1..=MACHINES {
        let (id, work) = (format!("i-{m}"), Duration::from_millis(100));
        let server = Server::start(ports.upstream(m), &id, service(m), SLOTS, work, &record);
        let server = server.unwrap_or_else(|e| cannot_run(&e.to_string()));
        server.answer_bytes.store(ANSWER_BYTES, Ordering::SeqCst);
        servers.push(server);
        let stop = stop.clone();
        thread::spawn(move || {
            let born = unix_ms();
            for sequence in 1.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                heartbeat(ports, m, &id, service(m), zone(m), SLOTS, "ready", sequence, born);
                thread::sleep(if sequence < 4 { Duration::from_millis(300) } else { BEAT });
            }
        });
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
    thread::sleep(Duration::from_secs(5));

    // By outcome of the second request of a connection.
    let names = ["complete answer", "connection ended within the answer", "no answer", "other"];
    let counts: Arc<Vec<AtomicUsize>> =
        Arc::new(names.iter().map(|_| AtomicUsize::new(0)).collect());
    let mut threads = Vec::new();
    for c in 0..CLIENTS {
        let (counts, record) = (counts.clone(), record.clone());
        threads.push(thread::spawn(move || {
            for n in 0..ROUNDS {
                let ids = [format!("r{c:03}{n:03}a"), format!("r{c:03}{n:03}b")];
                let outcome = two_requests(ports, 1 + c % MACHINES, &ids, pause, &record);
                counts[outcome].fetch_add(1, Ordering::Relaxed);
                record.line(&format!("request {}: {}", ids[1], names[outcome]));
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    stop.store(true, Ordering::SeqCst);
    drop(nodes);
    let lost = counts[1].load(Ordering::Relaxed) + counts[2].load(Ordering::Relaxed);
    for (name, count) in names.iter().zip(counts.iter()) {
        record.say(&format!("{name}: {}", count.load(Ordering::Relaxed)));
    }
    let runs: usize = servers.iter().map(|server| server.runs.lock().unwrap().len()).sum();
    record.say(&format!("requests run: {runs}; requests from a kept connection cut: {lost}"));
    record.flush();
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(i32::from(lost > 3));
}

/// Sends two requests on one connection; returns the outcome of the second.
fn two_requests(
    ports: Ports,
    machine: usize,
    ids: &[String; 2],
    pause: Duration,
    record: &Record,
) -> usize {
    let address = ports.ingress(machine);
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 3 };
    let Ok(mut writer) = stream.try_clone() else { return 3 };
    read_timeout(&stream, DEADLINE);
    let mut reader = BufReader::with_capacity(1 << 10, stream);
    for (n, id) in ids.iter().enumerate() {
        let head = format!(
            "GET /ledger/{id} HTTP/1.1\r\nHost: works.example\r\n\
             Oleandertiller-Attempt-Id: {id}\r\n\
             Oleandertiller-Deadline-Milliseconds: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        let sent = Instant::now();
        if writer.write_all(head.as_bytes()).is_err() {
            return 3;
        }
        // The first bytes of the answer have arrived.
        if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
            return if n == 1 { 2 } else { 3 };
        }
        if n == 1 {
            thread::sleep(pause);
        }
        let Some(answer) = read_head(&mut reader) else { return if n == 1 { 2 } else { 3 } };
        let len = answer.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let complete = drain(&mut reader, len);
        record.line(&format!(
            "answer {id} {} {len} bytes, complete: {complete}, after {} ms",
            answer.status(),
            sent.elapsed().as_millis()
        ));
        if answer.status() != 200 {
            return 3;
        }
        if !complete {
            return if n == 1 { 1 } else { 3 };
        }
    }
    0
}
