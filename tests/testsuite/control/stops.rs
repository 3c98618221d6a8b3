//! Planned stops, and starts without the store.

use std::time::Duration;

use async_std::task;
use oleandertiller_standin::http::Client;

use crate::processes::{Fleet, Plan, STEP, call};

/// Longest time in which an idle fleet's node stops: the notice to peers, one slow request and
/// the closing of connections.
const STOP_TARGET: Duration = Duration::from_secs(8);

/// Guards against a planned stop that interrupts requests in flight, at the node's own client
/// port or from another ingress, or that peers learn of too late to send work elsewhere.
#[test]
fn a_planned_stop_loses_no_request() {
    task::block_on(async {
        let slow = r#"{"connect_ms":0,"sigma":0,"service_ms":{"temper":300}}"#;
        let plan = |name, zone| Plan { behaviour: slow, ..Plan::new(name, zone, "kettle") };
        let mut fleet = Fleet::start(&[plan("a-1", "zone-a"), plan("b-1", "zone-b")]).await;
        let (a, b) = (fleet.nodes[0].client, fleet.nodes[1].client);
        let own: Vec<_> = (0..4).map(|_| task::spawn(one(b))).collect();
        let others = task::spawn(async move {
            let mut outcomes = Vec::new();
            for _ in 0..20 {
                let batch: Vec<_> = (0..3).map(|_| task::spawn(one(a))).collect();
                for reply in batch {
                    outcomes.push(reply.await);
                }
            }
            outcomes
        });
        task::sleep(Duration::from_millis(100)).await;
        fleet.nodes[1].process.signal("TERM");
        for reply in own {
            assert_eq!(reply.await, (200, "done".to_owned()), "{}", fleet.nodes[1].log());
        }
        let status = fleet.nodes[1].process.ended(STOP_TARGET).await;
        assert!(status.success(), "{status}\n{}", fleet.nodes[1].log());
        for outcome in others.await {
            assert_eq!(outcome, (200, "done".to_owned()), "{}", fleet.nodes[0].log());
        }
        let (_, answer) = fleet.nodes[0].ask("show nodes where node = b-1").await;
        assert_eq!(answer["rows"][0]["state"], "left", "{answer}");
    });
}

/// Makes one request; returns its status, and the reason if it is not done.
async fn one(address: std::net::SocketAddr) -> (u16, String) {
    let mut client = Client::connect(address).await.unwrap();
    let reply = client.call("GET", "/kettle/temper", &[], &[]).await.unwrap();
    (reply.status(), reply.header("x-reason").unwrap_or("done").to_owned())
}

/// Guards against a node that cannot start without the store although its peers have the intent.
#[test]
fn a_node_starts_through_seeds_while_the_store_is_down() {
    task::block_on(async {
        let mut fleet = Fleet::start(&[Plan::new("a-1", "zone-a", "kettle")]).await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        let seeds = vec![fleet.nodes[0].gossip];
        fleet.add(&Plan { seeds, ..Plan::new("b-1", "zone-b", "recipe") });
        fleet.ready().await;
        let reply = fleet.nodes[1].get("/kettle/temper").await;
        let outcome = (reply.status(), reply.header("x-outcome"));
        assert_eq!(outcome, (200, Some("done")), "{:?}", reply.header("x-reason"));
        assert_eq!(fleet.nodes[0].record().await.run, 1);
    });
}

/// Guards against a node without store and peers that serves on no configuration at all.
#[test]
fn a_node_without_store_and_peers_takes_no_work() {
    task::block_on(async {
        let mut fleet = Fleet::start(&[]).await;
        fleet.store.set_faults(r#"{"down":true}"#).await;
        fleet.add(&Plan::new("a-1", "zone-a", "kettle"));
        let node = &fleet.nodes[0];
        let health = || async { Client::connect(node.client).await.is_ok() };
        crate::processes::wait_until(STEP, "the client port is open", health, node).await;
        task::sleep(Duration::from_secs(2)).await;
        let reply = call(node.client, "GET", "/kettle/temper", &[], "").await;
        assert_eq!(reply.header("x-outcome"), Some("not-run"));
        assert_eq!(node.record().await.run, 0);
        fleet.store.set_faults(r#"{"down":false}"#).await;
        fleet.ready().await;
        assert_eq!(node.get("/kettle/temper").await.status(), 200);
    });
}
