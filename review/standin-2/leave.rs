//! Case 8: a node that was restarted as planned sends requests to a server whose leaving it had
//! acknowledged.
//!
//! Eight machines, four servers each of two services. The server of machine 1 leaves: it sends DELETE
//! without having reported `draining`, gets 200, and serves for some seconds more. Its last heartbeat
//! from before is on the way meanwhile and arrives 4.5 s late. Right after the DELETE the node of
//! machine 1 gets SIGTERM and is started again, as in a rolling restart (TROUBLE=0: it is not).

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
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How late the last heartbeat arrives.
const LATE: Duration = Duration::from_millis(4_500);
/// Time for which the server serves after its DELETE was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(14_000);
/// Delay of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

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

fn main() {
    let trouble = trouble();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let dir = temp_dir("review-8");
    let ports = Ports::find(MACHINES);
    let store = Store::start(ports.store());
    store.put("op/config", &config());
    let service = |m: usize| if m <= MACHINES / 2 { "recipe" } else { "kettle" };
    let stop = Arc::new(AtomicBool::new(false));
    let leaves = Arc::new(AtomicBool::new(false));
    let sequence_of_1 = Arc::new(AtomicUsize::new(0));
    let born = unix_ms();
    let (mut nodes, mut servers) = (Vec::new(), Vec::new());
    for m in 1..=MACHINES {
        let (id, work) = (format!("i-{m}"), Duration::from_millis(220));
        let server = Server::start(ports.upstream(m), &id, service(m), SLOTS, work, &record);
        servers.push(server.unwrap_or_else(|e| cannot_run(&e.to_string())));
        let (stop, leaves, last) = (stop.clone(), leaves.clone(), sequence_of_1.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                if stop.load(Ordering::SeqCst) || m == 1 && leaves.load(Ordering::SeqCst) {
                    return;
                }
                heartbeat(ports, m, &id, service(m), zone(m), SLOTS, "ready", sequence, born);
                if m == 1 {
                    last.store(sequence as usize, Ordering::SeqCst);
                }
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
    thread::sleep(Duration::from_secs(4));

    let counts: Arc<Vec<AtomicUsize>> = Arc::new((0..600).map(|_| AtomicUsize::new(0)).collect());
    let mut threads = Vec::new();
    for c in 0..CLIENTS {
        let (counts, stop, record) = (counts.clone(), stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            // The clients of a machine that is not ready get no work, so those of machine 1 rest.
            let m = 2 + c % (MACHINES - 1);
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
    thread::sleep(Duration::from_secs(4));
    let server = servers[0].clone();
    let before = server.runs.lock().unwrap().len();
    if before == 0 {
        cannot_run("the server has run nothing before it leaves");
    }

    // The server leaves. Its last heartbeat is still on the way.
    leaves.store(true, Ordering::SeqCst);
    server.leaving.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(50));
    let sequence = sequence_of_1.load(Ordering::SeqCst) as u64 + 1;
    let beat_sent = Instant::now();
    let body = format!("{{\"born\":{born}}}");
    let wait = Duration::from_secs(1);
    let answer = call(ports.control(1), "DELETE", "/api/instances/i-1", &body, wait);
    if answer.map_or(0, |answer| answer.status()) != 200 {
        cannot_run("the DELETE was not acknowledged");
    }
    let acknowledged = Instant::now();
    record.say("DELETE of i-1 acknowledged");
    // From then on the node of machine 1 is in touch.
    let mut in_touch = acknowledged;
    let late = thread::spawn(move || {
        thread::sleep((beat_sent + LATE).saturating_duration_since(Instant::now()));
        heartbeat(ports, 1, "i-1", "recipe", zone(1), SLOTS, "ready", sequence, born)
    });
    if trouble {
        thread::sleep(Duration::from_millis(200));
        nodes[0].signal("TERM");
        record.say("SIGTERM to the node of machine 1");
        let until = Instant::now() + Duration::from_secs(6);
        while !nodes[0].has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        nodes[0].kill();
        thread::sleep(RESTART_DELAY);
        nodes[0].start();
        record.say(&format!("node of machine 1 started again after {:?}", acknowledged.elapsed()));
        in_touch = Instant::now() + STABLE_WINDOW;
    }
    let status = late.join().unwrap_or(0);
    record.say(&format!(
        "late heartbeat of i-1 answered {status} after {:?}",
        acknowledged.elapsed()
    ));
    let counted_from = (acknowledged + DRAIN).max(in_touch);
    thread::sleep(counted_from.saturating_duration_since(Instant::now()));
    record.line("requests at i-1 count from now on");
    let at_start = server.runs.lock().unwrap().len();
    let until = acknowledged + SERVES_ON;
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let reached = server.runs.lock().unwrap().len() - at_start;
    let running = server.running.load(Ordering::SeqCst);
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
        "requests that reached i-1 later than drainMs after its leaving was acknowledged: {reached}"
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
