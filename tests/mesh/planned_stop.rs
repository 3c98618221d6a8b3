//! Requests that arrive at a node during its planned stop.

use std::time::{Duration, Instant};

use async_std::{
    future::timeout,
    task::{self, block_on},
};
use oleandertiller::mesh::http::{Headers, HttpConn, encode_request, response_framing};

use crate::fleet::{Fleet, MemberSpec, config};

/// Time for which the upstreams work on a request.
const SERVICE_TIME: Duration = Duration::from_millis(2_600);

/// Sends an unsafe request on an open connection; returns its status, 0 without a complete response.
async fn send(conn: &mut HttpConn, id: &str) -> u16 {
    let mut headers = Headers::default();
    headers.set("Host", "shop.example");
    headers.set("Oleandertiller-Attempt-Id", id);
    headers.set("Oleandertiller-Deadline-Milliseconds", "8000");
    let request = encode_request("POST", "/release/1", &headers, &[]);
    let exchange = async {
        conn.write(&request).await.ok()?;
        let head = conn.read_response(64_000).await.ok()?;
        let framing = response_framing(head.status, &head.headers).ok()?;
        conn.read_body(framing, 1 << 20).await.ok()?;
        Some(head.status)
    };
    timeout(Duration::from_secs(9), exchange).await.ok().flatten().unwrap_or(0)
}

/// Guards against requests that a stopping node takes late, passes on and cuts without an answer
/// when it exits.
#[test]
fn stopping_node_cuts_requests_that_it_took_late() {
    block_on(async {
        let mut cfg = config(3, None);
        for rule in cfg["listeners"][0]["ruleSet"].as_array_mut().unwrap() {
            rule["action"]["timeoutMs"] = 8_000.into();
            rule["targetLatencyMs"] = 6_000.into();
        }
        let member = MemberSpec { zone: "z1", service: "kettle", version: "v1" };
        let mut fleet = Fleet::start_specs(&vec![member; 4], &cfg).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.service_time = SERVICE_TIME);
        }
        fleet.wait_until_serving(4).await;
        let ingress = fleet.members[0].ingress;
        let mut conns = Vec::new();
        for _ in 0..12 {
            conns.push(HttpConn::connect(ingress).await.unwrap());
        }
        // The node learns how long the requests take.
        for round in 0..2 {
            let warm_up = conns.into_iter().enumerate().map(|(n, mut conn)| {
                task::spawn(async move {
                    assert_eq!(send(&mut conn, &format!("before-{round}-{n}")).await, 200);
                    conn
                })
            });
            let tasks: Vec<_> = warm_up.collect();
            conns = Vec::new();
            for task in tasks {
                conns.push(task.await);
            }
        }
        fleet.members[0].signal("TERM");
        let stopped = Instant::now();
        let late = conns.into_iter().enumerate().map(|(n, mut conn)| {
            task::spawn(async move {
                let at = stopped + Duration::from_millis(1_800 + 95 * n as u64);
                task::sleep(at.saturating_duration_since(Instant::now())).await;
                let id = format!("late-{n}");
                (send(&mut conn, &id).await, id)
            })
        });
        let mut cut = Vec::new();
        for task in late.collect::<Vec<_>>() {
            let (status, id) = task.await;
            if status == 0 && fleet.runs(&id) > 0 {
                cut.push(id);
            } else if status == 503 {
                assert_eq!(fleet.runs(&id), 0, "{id} was refused and has run");
            }
        }
        assert!(cut.is_empty(), "cut without an answer: {cut:?}");
    });
}
