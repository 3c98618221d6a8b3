//! A version is rolled back, and the operator orders the next one while its servers still run.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::{Fleet, Node, Record},
    http::Conn,
    json::Json,
    server::Behaviour,
};

const SERVICE: &str = "lending-desk";

/// Time of the rollout of the bad version.
const ROLLOUT: Duration = Duration::from_secs(10);

/// Time from the rollback until the servers of the bad version drain.
const DRAIN_AFTER: Duration = Duration::from_secs(4);

/// Time from the rollback until the next order.
const ORDER_AFTER: Duration = Duration::from_millis(300);

const CLIENTS: usize = 80;

/// Pause of a client between two requests; all together send about 200 a second.
const PAUSE: Duration = Duration::from_millis(110);

pub fn run(record: &Record, trouble: bool) -> bool {
    let routes = [
        ("catalog-look", "safe", "/look/", 500, 3_000),
        ("book-chest", "unsafe", "/book/", 500, 4_000),
    ];
    let mut fleet = Fleet::new(&config(SERVICE, &routes));
    let good = Behaviour::sound(Duration::from_millis(160), 12, 400);
    // Half of the bookings fail, on this route only.
    let bad = Behaviour { fail_each: 2, ..good.clone() };
    let zones = ["shore-one", "shore-two", "shore-three", "shore-one"];
    for zone in zones {
        fleet.add(zone, SERVICE, "v1", good.clone());
    }
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    // Addresses of the new machines' nodes, once these take clients.
    let joined: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, joined) = (stop.clone(), joined.clone());
            let old = fleet.nodes[client % 4].ingress;
            thread::spawn(move || run_client(client, old, &joined, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let order = |version: &str, time: Duration| {
        let time = time.as_secs();
        format!(
            "{{\"service\":\"{SERVICE}\",\"targetVersion\":\"{version}\",\"durationS\":{time}}}"
        )
    };
    let ordered = Instant::now();
    fleet.store.put(&format!("op/rollout/{SERVICE}"), &order("v2", ROLLOUT));
    record.line("operator orders v2");
    for zone in zones {
        fleet.add(zone, SERVICE, "v2", bad.clone());
    }
    let status = |fleet: &Fleet| {
        let text = fleet.store.get(&format!("status/rollout/{SERVICE}")).unwrap_or_default();
        let status = Json::parse(&text).unwrap_or(Json::Null);
        (status.get("state").text().to_owned(), status.get("targetVersion").text().to_owned())
    };
    let mut rolled_back = None;
    while rolled_back.is_none() && ordered.elapsed() < ROLLOUT {
        thread::sleep(Duration::from_millis(20));
        if joined.lock().unwrap().is_empty() && fleet.nodes[4..].iter().all(Node::is_ready) {
            *joined.lock().unwrap() = fleet.nodes[4..].iter().map(|node| node.ingress).collect();
            record.line("the new machines take clients");
        }
        if status(&fleet) == ("rolled_back".to_owned(), "v2".to_owned()) {
            rolled_back = Some(Instant::now());
        }
    }
    let Some(rolled_back) = rolled_back else {
        record.line("v2 was not rolled back in its time");
        crate::fleet::cannot_run("v2 was not rolled back in its time")
    };
    record.line_at(rolled_back, "the system reports v2 as rolled_back");
    thread::sleep(ORDER_AFTER);
    if trouble {
        fleet.store.put(&format!("op/rollout/{SERVICE}"), &order("v3", Duration::from_secs(14)));
        record.line("operator orders v3");
        for zone in zones {
            fleet.add(zone, SERVICE, "v3", good.clone());
        }
    }
    thread::sleep((rolled_back + DRAIN_AFTER).saturating_duration_since(Instant::now()));
    record.line("the servers of v2 drain");
    for node in &fleet.nodes[4..8] {
        let status = node.server.drain();
        record.line(&format!("{} drains, acknowledged with {status}", node.server.id()));
    }
    thread::sleep((ordered + ROLLOUT).saturating_duration_since(Instant::now()));
    let deadline = ordered + ROLLOUT;
    record.line("time of v2's rollout is over");
    stop.store(true, Ordering::SeqCst);
    let mut answers: Vec<Answer> = Vec::new();
    for client in clients {
        answers.extend(client.join().unwrap_or_default());
    }
    let mut all = 0;
    let (mut early, mut late, mut late_failed) = (0, 0, 0);
    for (index, node) in fleet.nodes.iter().enumerate() {
        for run in node.server.runs() {
            if run.begun < ordered || run.begun > deadline {
                continue;
            }
            all += 1;
            if !(4..8).contains(&index) {
                continue;
            }
            let after = run.begun > rolled_back + Duration::from_millis(ROLLBACK_SLACK_MS);
            // The machine that passes it on has to be in touch.
            if run.begun < node.started + Duration::from_secs(3) {
                continue;
            }
            record.line_at(
                run.begun,
                &format!("{} runs {} with status {}", node.server.id(), run.id, run.status),
            );
            early += u64::from(!after);
            late += u64::from(after);
            late_failed += u64::from(after && run.status >= 500);
        }
    }
    let failed = answers.iter().filter(|a| a.sent > rolled_back && a.status >= 500).count();
    let bookings =
        answers.iter().filter(|a| a.sent > rolled_back && a.status >= 500 && a.unsafe_kind).count();
    record.line(&format!("{} requests sent by clients in all", answers.len()));
    record.line(&format!(
        "after the rollback, clients got {failed} answers of 500 or above, {bookings} of them to \
         unsafe requests"
    ));
    record.line(&format!(
        "v2 got {} requests up to {ROLLBACK_SLACK_MS} ms after its rollback and {late} later, of \
         which {late_failed} failed",
        early
    ));
    let allowed = 0.1 * all as f64 + 50.0;
    let got = early + late;
    record.line(&format!(
        "v2 got {got} of {all} requests between its order and its deadline; allowed are {allowed:.0}"
    ));
    got as f64 > allowed
}

/// Time for the news of the rollback, only to tell apart the lines of the record.
const ROLLBACK_SLACK_MS: u64 = 1_000;

struct Answer {
    sent: Instant,
    status: u16,
    unsafe_kind: bool,
}

/// Sends requests to the node `old`, and if its number is odd, to a new machine's node once there are
/// some: the clients of a zone use all of its machines.
fn run_client(
    client: usize,
    old: SocketAddr,
    joined: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut conn = None;
    let mut address = old;
    thread::sleep(PAUSE.mul_f64(client as f64 / CLIENTS as f64));
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let unsafe_kind = number % 4 == 3;
        let line = if unsafe_kind { "POST /book/1" } else { "GET /look/1" };
        let id = format!("{:06x}c{client:03x}{number:06x}", std::process::id());
        let sent = Instant::now();
        let new = joined.lock().unwrap().get(client / 2 % 4).copied();
        let next = new.filter(|_| client % 2 == 1).unwrap_or(old);
        if next != address {
            (address, conn) = (next, None);
        }
        if conn.is_none() {
            conn = Conn::connect(address).ok();
            if let Some(conn) = &conn {
                let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(5)));
            }
        }
        let headers = [
            ("Host", "shop.example"),
            ("Oleandertiller-Attempt-Id", id.as_str()),
            ("Oleandertiller-Deadline-Milliseconds", "3000"),
        ];
        let answer = conn.as_mut().map(|conn| conn.call(line, &headers, b""));
        let status = match &answer {
            Some(Ok(answer)) => answer.status(),
            _ => 0,
        };
        let close = match &answer {
            Some(Ok(answer)) => {
                answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
            }
            _ => true,
        };
        if close {
            conn = None;
        }
        answers.push(Answer { sent, status, unsafe_kind });
        thread::sleep(PAUSE);
    }
    answers
}
