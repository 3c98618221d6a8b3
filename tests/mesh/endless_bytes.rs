//! Bytes that are no answer and come without end, until the node closes the connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task::{self, block_on},
};
use oleandertiller_standin::platform::{Endless, Outage};
use serde_json::{Value, json};

use crate::fleet::{Fleet, MemberSpec, call, config};

/// Memory that a process may use, in megabytes.
const MEMORY_MB: u64 = 64;

/// Slots of the faulty upstream: so many endless answers are read at once.
const SLOTS: usize = 48;

/// Clients of the faulty upstream.
const CLIENTS: usize = 96;

/// Time within which the upstream's node closes an endless connection, or gives up the request.
const REQUEST_TIME: Duration = Duration::from_secs(3);

/// Returns a configuration with a service `kettle` and a service `recipe` under `/recipe/`.
fn two_services() -> Value {
    let mut cfg = config(3, None);
    let mut rule = cfg["listeners"][0]["ruleSet"][0].clone();
    rule["name"] = json!("recipe");
    rule["match"]["pathPrefix"] = json!("/recipe/");
    rule["action"]["service"] = json!("recipe");
    cfg["listeners"][0]["ruleSet"].as_array_mut().unwrap().push(rule);
    let mut service = cfg["clusters"][0].clone();
    service["name"] = json!("recipe");
    cfg["clusters"].as_array_mut().unwrap().push(service);
    cfg
}

/// Starts a node whose upstream of `kettle` has [`SLOTS`] slots, and two with upstreams of `recipe`.
async fn start() -> Fleet {
    let spec = |service| MemberSpec { zone: "z1", service, version: "v1" };
    let specs = [spec("kettle"), spec("recipe"), spec("recipe")];
    let mut fleet =
        Fleet::start_limited_specs(&specs, &format!("memory-mb = {MEMORY_MB}\n"), &two_services())
            .await;
    fleet.members[0].slots = SLOTS;
    assert_eq!(fleet.members[0].announce("ready").await, 200);
    task::sleep(Duration::from_millis(400)).await;
    fleet
}

/// Sends a request to the first node; returns its status, 0 without a complete response.
async fn request(fleet: &Fleet, path: &str, id: &str) -> u16 {
    let response = timeout(REQUEST_TIME, fleet.request(0, "GET", path, id)).await;
    response.ok().flatten().map_or(0, |response| response.status)
}

/// Checks that ordinary requests through the first node are answered, and its memory.
async fn check_others(fleet: &mut Fleet, what: &str, time: Duration) {
    let started = Instant::now();
    let (mut sent, mut slowest) = (0, Duration::ZERO);
    while started.elapsed() < time {
        let at = Instant::now();
        let status = request(fleet, "/recipe/1", &format!("other-{what}-{sent}")).await;
        assert_eq!(status, 200, "request {sent} of another client beside {what}");
        slowest = slowest.max(at.elapsed());
        sent += 1;
        task::sleep(Duration::from_millis(10)).await;
    }
    assert!(fleet.members[0].is_running(), "{what}: the process has ended");
    let peak_kb = fleet.members[0].peak_memory_kb();
    println!("{what}: {peak_kb} kB at most; {sent} other requests, at most {slowest:?}");
    assert!(peak_kb < MEMORY_MB * 1_000, "{what}: {peak_kb} kB");
}

/// Guards against a process that keeps what an upstream sends without end, in a head or in a body,
/// until it runs out of memory, and with it the requests of other clients.
#[test]
fn endless_answer_ends_the_process() {
    block_on(async {
        let mut fleet = start().await;
        for kind in Endless::ALL {
            let what = format!("{kind:?}");
            let answer = Some(kind.answer());
            fleet.members[0].upstream.change(|behaviour| behaviour.raw_answer = answer);
            let ingress = fleet.members[0].ingress;
            let crowd: Vec<_> = (0..CLIENTS)
                .map(|n| {
                    let id = format!("{what}-{n}");
                    task::spawn(async move {
                        let ids = [
                            ("Oleandertiller-Attempt-Id", id.as_str()),
                            ("Oleandertiller-Deadline-Milliseconds", "2000"),
                        ];
                        let work = call(ingress, "POST", "/release/1", "shop.example", &ids, &[]);
                        let response = timeout(REQUEST_TIME, work).await;
                        (id, response.ok().flatten().map_or(0, |response| response.status))
                    })
                })
                .collect();
            check_others(&mut fleet, &what, Duration::from_millis(1_000)).await;
            for client in crowd {
                let (id, status) = client.await;
                let expected: &[u16] = match kind {
                    // The response itself is complete.
                    Endless::ExtraBytes => &[200, 503, 504],
                    _ => &[502, 503, 504],
                };
                assert!(expected.contains(&status), "{id}: {status}");
            }
            fleet.members[0].upstream.change(|behaviour| behaviour.raw_answer = None);
        }
    });
}

/// Guards against a process that keeps endless answers to its health checks.
#[test]
fn endless_health_check_ends_the_process() {
    block_on(async {
        let mut fleet = start().await;
        for kind in Endless::ALL {
            let what = format!("{kind:?}");
            let answer = Some(kind.answer());
            fleet.members[0].upstream.change(|behaviour| behaviour.raw_health = answer);
            for n in 0..10 {
                request(&fleet, "/read/1", &format!("checked-{what}-{n}")).await;
            }
            check_others(&mut fleet, &what, Duration::from_millis(300)).await;
        }
    });
}

/// Guards against a process that keeps an endless answer of the store.
#[test]
fn endless_answer_of_the_store_ends_the_process() {
    block_on(async {
        let mut fleet = start().await;
        fleet.store.set_outage(Outage::Endless);
        check_others(&mut fleet, "answers of the store", Duration::from_secs(6)).await;
        fleet.store.set_outage(Outage::None);
        check_others(&mut fleet, "return of the store", Duration::from_secs(1)).await;
    });
}

/// Guards against a process that keeps what comes without end at the port for announcements.
#[test]
fn endless_announcement_ends_the_process() {
    block_on(async {
        let mut fleet = start().await;
        let control = fleet.members[0].control;
        let heads = [
            "",
            "X-Long: ",
            "Content-Length: 18446744073709551615\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n",
        ];
        let writers: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let head = format!("PUT /api/instances/i-0 HTTP/1.1\r\n{}", heads[n % heads.len()]);
                task::spawn(write_without_end(control, head))
            })
            .collect();
        check_others(&mut fleet, "announcements", REQUEST_TIME).await;
        for writer in writers {
            assert!(timeout(REQUEST_TIME, writer).await.is_ok(), "a connection stays open");
        }
    });
}

/// Writes until the connection is closed.
async fn write_without_end(address: SocketAddr, head: String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut reader = stream.clone();
    // What the node answers is read, so that it is not the node's writes that block.
    let answers = task::spawn(async move {
        let mut buf = [0; 4_096];
        while matches!(reader.read(&mut buf).await, Ok(1..)) {}
    });
    let mut written = stream.write_all(head.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(&[b'x'; 16 << 10]).await;
    }
    answers.cancel().await;
}
