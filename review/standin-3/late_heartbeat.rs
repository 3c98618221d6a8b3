//! A server leaves while the store is away, its node is killed, and a heartbeat from before arrives late.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::{Fleet, Record},
    http::call,
    server::Behaviour,
};

/// Length of the store's outage.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// The pages' `drainMs` and `stableWindowMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);

/// Time for which the server serves on after its leaving was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(14);

pub fn run(record: &Record, trouble: bool) -> bool {
    let routes = [
        ("recipe-lookup", "safe", "/lookup/", 600, 2_000),
        ("ingredient-release", "unsafe", "/release/", 800, 2_500),
    ];
    let mut fleet = Fleet::new(&config("recipe-svc", &routes));
    let behaviour = Behaviour::sound(Duration::from_millis(290), 6, 1_500);
    for zone in ["bayangol", "sukhbaatar", "khan-uul"] {
        fleet.add(zone, "recipe-svc", "v1", behaviour.clone());
    }
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = fleet.nodes.iter().map(|node| node.ingress).collect();
    let clients: Vec<_> = (0..9)
        .map(|client| {
            let (address, stop, record) = (addresses[client % 3], stop.clone(), record.clone());
            thread::spawn(move || {
                let mut sent_requests = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{:06x}f{client:02x}{number:07x}", std::process::id());
                    let headers = [
                        ("Host", "shop.example"),
                        ("Oleandertiller-Attempt-Id", id.as_str()),
                        ("Oleandertiller-Deadline-Milliseconds", "5000"),
                    ];
                    let sent = Instant::now();
                    let line = "POST /release/1";
                    let answer = call(address, line, &headers, b"", Duration::from_secs(6));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("{id} sent at {:.3} s: {status}", record.at(sent)));
                    sent_requests.push((id, sent, status));
                    thread::sleep(Duration::from_millis(100));
                }
                sent_requests
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let outage = Instant::now();
    if trouble {
        record.line("the store is away");
        fleet.store.set_silent(true);
    }
    thread::sleep(Duration::from_millis(500));
    // Sent now, and held up on its way.
    let late_beat = fleet.nodes[0].server.beat_body("ready");
    thread::sleep(Duration::from_millis(200));
    let acknowledged = fleet.nodes[0].server.leave();
    let left = Instant::now();
    record.line(&format!(
        "{} says that it leaves; acknowledged with {acknowledged}",
        fleet.nodes[0].server.id()
    ));
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("its node is killed");
        fleet.nodes[0].kill();
        thread::sleep(Duration::from_millis(500));
        record.line("its node is started again");
        fleet.nodes[0].start();
        thread::sleep(Duration::from_millis(500));
    }
    let status = fleet.nodes[0].server.send_beat(&late_beat);
    record.line(&format!("the late heartbeat arrives; acknowledged with {status}"));
    thread::sleep((outage + OUTAGE).saturating_duration_since(Instant::now()));
    if trouble {
        record.line("the store is back");
        fleet.store.set_silent(false);
    }
    let in_touch = Instant::now() + STABLE;
    thread::sleep((left + SERVES_ON).saturating_duration_since(Instant::now()));
    record.line(&format!("{} ends", fleet.nodes[0].server.id()));
    fleet.nodes[0].server.end();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    if acknowledged != 200 {
        record.line("the leaving was not acknowledged, so nothing binds");
        return false;
    }
    let mut late = 0;
    for run in fleet.nodes[0].server.runs() {
        let found = sent.iter().find(|(id, ..)| *id == run.id);
        // Both the sender and its path to the server are in touch by then.
        if let Some((id, at, status)) = found
            && *at > in_touch
            && run.begun > left + DRAIN
        {
            late += 1;
            let ms = run.begun.duration_since(left).as_millis();
            record.line_at(
                run.begun,
                &format!("{id} reaches the server {ms} ms after the acknowledgement: {status}"),
            );
        }
    }
    let lost = sent.iter().filter(|(_, at, s)| *at > in_touch && !matches!(s, 200 | 503)).count();
    record.line(&format!(
        "{late} requests of machines in touch reached the server later than {} ms after its leaving \
         was acknowledged; {lost} were lost at its end",
        DRAIN.as_millis()
    ));
    late > 0
}
