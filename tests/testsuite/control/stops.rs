//! Planned stops, and starts without the store.

use std::time::Duration;

use async_std::task;
use oleandertiller_standin::http::Client;

use crate::processes::{Fleet, NodeOptions, STEP_TIMEOUT, call};

/// Time limit of a planned stop in a fleet with little load: the announcement to peers, one slow
/// request and the closing of connections.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against a planned stop that interrupts requests in flight, from the node's own client
/// port or from another ingress, or that peers learn of too late to choose other owners.
#[test]
fn a_planned_stop_loses_no_request() {
    task::block_on(async {
        let slow = r#"{"connect_ms":0,"sigma":0,"service_ms":{"temper":300}}"#;
        let options =
            |name, zone| NodeOptions { behaviour: slow, ..NodeOptions::new(name, zone, "kettle") };
        let mut fleet = Fleet::start(&[options("a-1", "zone-a"), options("b-1", "zone-b")]).await;
        let (a, b) = (fleet.nodes[0].client, fleet.nodes[1].client);
        let from_own_port: Vec<_> = (0..4).map(|_| task::spawn(send_request(b))).collect();
        let from_other_ingress = task::spawn(async move {
            let mut outcomes = Vec::new();
            for _ in 0..20 {
                let batch: Vec<_> = (0..3).map(|_| task::spawn(send_request(a))).collect();
                for reply in batch {
                    outcomes.push(reply.await);
                }
            }
            outcomes
        });
        task::sleep(Duration::from_millis(100)).await;
        fleet.nodes[1].process.signal("TERM");
        for reply in from_own_port {
            assert_eq!(reply.await, (200, "done".to_owned()), "{}", fleet.nodes[1].log());
        }
        let status = fleet.nodes[1].process.wait_for_exit(STOP_TIMEOUT).await;
        assert!(status.success(), "{status}\n{}", fleet.nodes[1].log());
        for outcome in from_other_ingress.await {
            assert_eq!(outcome, (200, "done".to_owned()), "{}", fleet.nodes[0].log());
        }
        let (_, answer) = fleet.nodes[0].ask("show nodes where node = b-1").await;
        assert_eq!(answer["rows"][0]["state"], "left", "{answer}");
    });
}

/// Sends one request; returns its status, and its `x-reason` or "done" without one.
async fn send_request(address: std::net::SocketAddr) -> (u16, String) {
    let mut client = Client::connect(address).await.unwrap();
    let reply = client.call("GET", "/kettle/temper", &[], &[]).await.unwrap();
    (reply.status(), reply.header("x-reason").unwrap_or("done").to_owned())
}

/// Guards against a node that cannot start without the store although its peers have the intent.
#[test]
fn a_node_starts_through_seeds_while_the_store_is_down() {
    task::block_on(async {
        let mut fleet = Fleet::start(&[NodeOptions::new("a-1", "zone-a", "kettle")]).await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        let seeds = vec![fleet.nodes[0].gossip];
        fleet.add(&NodeOptions { seeds, ..NodeOptions::new("b-1", "zone-b", "recipe") });
        fleet.wait_until_ready().await;
        let reply = fleet.nodes[1].get("/kettle/temper").await;
        let outcome = (reply.status(), reply.header("x-outcome"));
        assert_eq!(outcome, (200, Some("done")), "{:?}", reply.header("x-reason"));
        assert_eq!(fleet.nodes[0].record().await.run, 1);
    });
}

/// Guards against a node that reaches neither the store nor peers and serves without an intent.
#[test]
fn a_node_without_store_and_peers_refuses_work() {
    task::block_on(async {
        let mut fleet = Fleet::start(&[]).await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        fleet.add(&NodeOptions::new("a-1", "zone-a", "kettle"));
        let node = &fleet.nodes[0];
        let is_open = || async { Client::connect(node.client).await.is_ok() };
        crate::processes::wait_until(STEP_TIMEOUT, "the client port is open", is_open, node).await;
        task::sleep(Duration::from_secs(2)).await;
        let reply = call(node.client, "GET", "/kettle/temper", &[], "").await;
        assert_eq!(reply.header("x-outcome"), Some("not-run"));
        assert_eq!(node.record().await.run, 0);
        fleet.store.set_faults(r#"{"down":false}"#).await;
        fleet.wait_until_ready().await;
        assert_eq!(node.get("/kettle/temper").await.status(), 200);
    });
}
