//! A request crashes each server that runs it, while that sends its answer.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::{Fleet, Record},
    http::call,
    server::{Behaviour, Run},
};

const DEADLY: &str = "/lookup/7";

/// Time after which a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Time between two attempts of the client that sends the deadly request.
const REPEAT: Duration = Duration::from_millis(1_000);

/// Time for which it repeats the request.
const LENGTH: Duration = Duration::from_secs(30);

/// The pages' `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3_000);

/// Retries that may reach servers later than that after the third crash.
const ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> bool {
    let routes = [
        ("recipe-lookup", "safe", "/lookup/", 600, 2_000),
        ("ingredient-release", "unsafe", "/release/", 800, 2_500),
    ];
    let mut fleet = Fleet::new(&config("recipe-svc", &routes));
    let behaviour = Behaviour {
        deadly: trouble.then_some(DEADLY),
        ..Behaviour::sound(Duration::from_millis(100), 6, 1_500)
    };
    for zone in ["bayangol", "sukhbaatar", "khan-uul", "bayangol"] {
        fleet.add(zone, "recipe-svc", "v1", behaviour.clone());
    }
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    record.line(&format!("{} nodes ready; clients begin", fleet.nodes.len()));
    let begun = Instant::now();
    let addresses: Vec<_> = fleet.nodes.iter().map(|node| node.ingress).collect();
    let send = |id: String, index: usize, line: &'static str| {
        let (address, record) = (addresses[index % addresses.len()], record.clone());
        move || {
            let headers = [
                ("Host", "shop.example"),
                ("Oleandertiller-Attempt-Id", id.as_str()),
                ("Oleandertiller-Deadline-Milliseconds", "4000"),
            ];
            let sent = Instant::now();
            let answer = call(address, line, &headers, b"", Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("{id} ({line}) sent at {:.3} s: {status}", record.at(sent)));
            (id, sent, status)
        }
    };
    // One client repeats the deadly request, as its attempts fail; others release ingredients.
    let mut attempts = Vec::new();
    let mut releases = Vec::new();
    let mut crashed: Vec<(usize, Instant)> = Vec::new();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut past_runs: Vec<Run> = Vec::new();
    let (mut next_attempt, mut next_release) = (begun, begun);
    for tick in 0.. {
        let now = Instant::now();
        if now > begun + LENGTH {
            break;
        }
        if now >= next_attempt {
            let id = format!("{:06x}d{tick:09x}", std::process::id());
            attempts.push(thread::spawn(send(id, attempts.len(), "GET /lookup/7")));
            next_attempt += REPEAT;
        }
        if now >= next_release {
            let id = format!("{:06x}e{tick:09x}", std::process::id());
            releases.push(thread::spawn(send(id, releases.len(), "POST /release/1")));
            next_release += Duration::from_millis(150);
        }
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            let known = crashed.iter().position(|(crashed, _)| *crashed == index);
            match known {
                None if node.server.has_ended() => {
                    record.line(&format!("server {} has crashed", node.server.id()));
                    crashed.push((index, now));
                    crashes.push(now);
                }
                Some(at) if now > crashed[at].1 + BACK_AFTER => {
                    past_runs.extend(node.server.runs());
                    let id = format!("i-{index}-{}", crashes.len());
                    node.server = node.server.start_again(&id, behaviour.clone());
                    record.line(&format!("server {id} is back"));
                    crashed.remove(at);
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    past_runs.extend(fleet.nodes.iter().flat_map(|node| node.server.runs()));
    let attempts: Vec<_> = attempts.into_iter().filter_map(|t| t.join().ok()).collect();
    let releases: Vec<_> = releases.into_iter().filter_map(|t| t.join().ok()).collect();
    let lost = releases.iter().filter(|(_, _, status)| !matches!(status, 200 | 503)).count();
    record.line(&format!(
        "{} crashes; {lost} of {} releases of other clients ended without a good answer or a refusal",
        crashes.len(),
        releases.len()
    ));
    let Some(third) = crashes.get(2) else {
        record.line("fewer than three crashes");
        return false;
    };
    let bound = *third + STABLE;
    let late = attempts
        .iter()
        .filter(|(id, sent, _)| *sent > bound && past_runs.iter().any(|run| run.id == *id));
    let late: Vec<_> = late.collect();
    for (id, sent, _) in &late {
        let runs = past_runs.iter().filter(|run| run.id == *id && run.target == DEADLY).count();
        record.line_at(*sent, &format!("retry {id} was sent now and reached {runs} servers"));
    }
    record.line(&format!(
        "{} retries sent later than {} ms after the third crash reached servers; allowed are {ALLOWED}",
        late.len(),
        STABLE.as_millis()
    ));
    late.len() > ALLOWED
}
