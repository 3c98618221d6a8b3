//! Zones that are taken out of service and brought back.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use async_std::task;
use oleandertiller_standin::http::Client;

use crate::processes::{Fleet, NodeOptions, NodeProcess, STEP_TIMEOUT, call, wait_until};

/// Time after which a zone that was taken out of service gets no new work.
const ZONE_OUT_TARGET: Duration = Duration::from_secs(3);

/// Time in which an accepted configuration is in force on every reachable node.
const IN_FORCE_TARGET: Duration = Duration::from_secs(5);

/// Default time over which the traffic of a returning zone ramps up.
const ZONE_RAMP: Duration = Duration::from_secs(10);

/// Duration of the pause: more than the 1 s after which a process counts as paused, and less than
/// the 3 s after which the node considers its upstream absent and would refuse work for that
/// reason.
const PAUSE_DURATION: Duration = Duration::from_secs(2);

fn node_options() -> [NodeOptions; 3] {
    [
        NodeOptions::new("a-1", "zone-a", "kettle"),
        NodeOptions::new("b-1", "zone-b", "kettle"),
        NodeOptions::new("b-2", "zone-b", "kettle"),
    ]
}

async fn total_runs(nodes: &[NodeProcess]) -> u64 {
    let mut runs = 0;
    for node in nodes {
        runs += node.record().await.run;
    }
    runs
}

/// Sends `count` requests to every node and checks that each succeeds.
async fn send_requests(nodes: &[NodeProcess], count: usize) {
    for node in nodes {
        for _ in 0..count {
            let reply = node.get("/kettle/temper").await;
            let outcome = (reply.status(), reply.header("x-outcome"));
            assert_eq!(
                outcome,
                (200, Some("done")),
                "{:?}\n{}",
                reply.header("x-reason"),
                node.log()
            );
        }
    }
}

/// Sends 8 concurrent requests to every node.
async fn send_concurrently(nodes: &[NodeProcess]) {
    let clients = nodes.iter().flat_map(|node| [node.client; 8]);
    let requests = clients.map(|client| {
        task::spawn(async move {
            let headers = [("x-deadline-ms", "1000")];
            call(client, "GET", "/kettle/temper", &headers, "").await
        })
    });
    for request in requests.collect::<Vec<_>>() {
        request.await;
    }
}

/// Guards against a zone that still gets work from some ingress after it was taken out of service,
/// and one that gets none after it was brought back.
#[test]
fn a_zone_leaves_and_returns() {
    task::block_on(async {
        let fleet = Fleet::start(&node_options()).await;
        send_requests(&fleet.nodes, 20).await;
        assert!(total_runs(&fleet.nodes[1..]).await > 0);
        fleet.nodes[0].command("zone zone-b out").await;
        task::sleep(ZONE_OUT_TARGET).await;
        let before = total_runs(&fleet.nodes[1..]).await;
        send_requests(&fleet.nodes, 30).await;
        assert_eq!(total_runs(&fleet.nodes[1..]).await, before);
        fleet.nodes[1].command("zone zone-b in").await;
        let returned = || async {
            // Only under load does an ingress choose owners whose load it does not know.
            send_concurrently(&fleet.nodes).await;
            total_runs(&fleet.nodes[1..]).await > before
        };
        let within = IN_FORCE_TARGET + ZONE_RAMP / 2;
        wait_until(within, "zone-b gets work again", returned, &fleet.nodes[0]).await;
    });
}

/// Guards against nodes that learn of a command from the store only.
#[test]
fn a_zone_leaves_with_the_store_down_after_acceptance() {
    task::block_on(async {
        let fleet = Fleet::start(&node_options()).await;
        fleet.nodes[0].command("zone zone-b out").await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        task::sleep(ZONE_OUT_TARGET).await;
        let before = total_runs(&fleet.nodes[1..]).await;
        send_requests(&fleet.nodes, 30).await;
        assert_eq!(total_runs(&fleet.nodes[1..]).await, before);
        let (status, answer) = fleet.nodes[0].ask("zone zone-b in").await;
        assert_eq!((status, &answer["result"]), (503, &"not-accepted".into()), "{answer}");
    });
}

/// Fills the receive buffer of a paused process with invalid datagrams.
fn fill_buffer(address: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..2_000 {
        socket.send_to(&[0xff; 1_000], address).unwrap();
    }
}

/// Guards against work under an outdated intent right after a pause: requests that arrived during
/// the pause are the first input that the process reads when it resumes.
#[test]
fn a_paused_node_runs_nothing_in_a_zone_that_left_meanwhile() {
    task::block_on(async {
        let fleet = Fleet::start(&node_options()).await;
        let [a, b, _] = &fleet.nodes[..] else { panic!() };
        let mut clients = Vec::new();
        for _ in 0..8 {
            clients.push(Client::connect(b.client).await.unwrap());
        }
        b.process.signal("STOP");
        // Otherwise the node would learn of the command from gossip that waits in the socket's
        // buffer.
        fill_buffer(b.gossip);
        a.command("zone zone-b out").await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        let before = b.record().await.run;
        let pending = clients.into_iter().map(|mut client| {
            task::spawn(async move {
                let path = "/kettle/temper";
                let headers = [("x-deadline-ms", "20000")];
                let reply = client.call("GET", path, &headers, &[]).await.unwrap();
                (reply.status(), reply.header("x-reason").map(str::to_owned))
            })
        });
        let pending: Vec<_> = pending.collect();
        task::sleep(PAUSE_DURATION).await;
        b.process.signal("CONT");
        for answer in pending {
            let (status, reason) = answer.await;
            let refused = status == 503 && reason.as_deref() == Some("stale-intent");
            assert!(
                refused || status == 200,
                "answer after the pause: {status} {reason:?}\n{}",
                b.log()
            );
        }
        let resumed = Instant::now();
        while resumed.elapsed() < IN_FORCE_TARGET {
            let reply = b.get("/kettle/temper").await;
            assert!(
                matches!(reply.status(), 200 | 503),
                "status {} after the pause",
                reply.status()
            );
            assert_eq!(b.record().await.run, before, "the upstream got new work\n{}", b.log());
        }
        let serves = || async { b.get("/kettle/temper").await.status() == 200 };
        wait_until(STEP_TIMEOUT, "the resumed node serves through other nodes", serves, b).await;
        assert_eq!(b.record().await.run, before);
    });
}
