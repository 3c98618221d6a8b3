//! Upstreams that leave while their node stops and starts again.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_standin::platform::Outage;
use serde_json::json;

use crate::fleet::{Fleet, StdoutReader, call, wait_for};

/// Time that a stopping node takes at the most.
const STOP_TIME: Duration = Duration::from_secs(6);

/// Time after a restart from which the departure binds all nodes.
const REACTION_TIME: Duration = Duration::from_secs(3);

/// How the first upstream says that it leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Delete,
    Draining,
    InResponses,
}

/// How the process of its node ends.
#[derive(Clone, Copy, Debug)]
enum End {
    PlannedStop,
    /// It is killed, and starts again after its record has expired.
    LongPowerLoss,
}

async fn leave(fleet: &mut Fleet, how: Leave) {
    let node = &mut fleet.members[0];
    match how {
        Leave::Delete => {
            let (path, body) = ("/api/instances/i-0", json!({ "born": 1_000 }).to_string());
            let response = call(node.control, "DELETE", path, "x", &[], body.as_bytes()).await;
            assert_eq!(response.unwrap().status, 200);
        }
        Leave::Draining => assert_eq!(node.announce("draining").await, 200),
        Leave::InResponses => {
            node.upstream.change(|behaviour| behaviour.leaving = true);
            fleet.request(0, "GET", "/read/1", "told").await.unwrap();
            // It does not say so any more, so that only what the node remembers counts.
            fleet.members[0].upstream.change(|behaviour| behaviour.leaving = false);
            let is_stored = || fleet.store.get("mesh/departures/node-0").map(drop);
            wait_for("departure in the store", is_stored).await;
        }
    }
}

async fn restart(fleet: &mut Fleet, how: End) {
    match how {
        End::PlannedStop => {
            fleet.members[0].signal("TERM");
            assert!(fleet.members[0].wait_for_exit(STOP_TIME).await.success());
        }
        End::LongPowerLoss => fleet.members[0].kill(),
    }
    let store = &fleet.store;
    let is_gone = || store.get("mesh/nodes/node-0").is_none().then_some(());
    wait_for("end of the record", is_gone).await;
    fleet.members[0].start(StdoutReader::Running);
    let started = Instant::now();
    while !fleet.members[0].is_ready().await {
        assert!(started.elapsed() < REACTION_TIME, "not ready");
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the number of requests that the first upstream starts of several sent through all nodes.
async fn runs_at_first(fleet: &Fleet, name: &str) -> usize {
    let before = fleet.members[0].upstream.runs().len();
    for n in 0..20 {
        let id = format!("{name}-{n}");
        let response = fleet.request(n % fleet.members.len(), "GET", "/read/1", &id).await;
        assert_eq!(response.unwrap().status, 200, "{id}");
    }
    fleet.members[0].upstream.runs().len() - before
}

/// Guards against an upstream whose leaving a node acknowledged and that is used again after a restart
/// of the node, because of an announcement that was sent before and arrives late.
#[test]
fn upstream_that_left_is_used_after_a_restart() {
    for (left, ended) in [
        (Leave::Delete, End::PlannedStop),
        (Leave::Delete, End::LongPowerLoss),
        (Leave::Draining, End::PlannedStop),
        (Leave::InResponses, End::PlannedStop),
    ] {
        block_on(async {
            let mut fleet = Fleet::start(2).await;
            assert!(runs_at_first(&fleet, "before").await > 0);
            leave(&mut fleet, left).await;
            restart(&mut fleet, ended).await;
            assert_eq!(fleet.members[0].announce("ready").await, 200);
            // The record with the upstream reaches the other nodes, if there is one.
            task::sleep(Duration::from_millis(1_500)).await;
            let late = runs_at_first(&fleet, "after").await;
            assert_eq!(late, 0, "{left:?}, {ended:?}: requests reached the departed upstream");
            // Its successor under the same id is used.
            fleet.members[0].born = 2_000;
            assert_eq!(fleet.members[0].announce("ready").await, 200);
            task::sleep(Duration::from_millis(1_500)).await;
            assert!(runs_at_first(&fleet, "successor").await > 0, "{left:?}, {ended:?}");
        });
    }
}

/// Guards against a departure that is lost with what the nodes wrote since the copy from which the
/// store returns.
#[test]
fn departure_is_lost_with_a_restore_of_the_store() {
    block_on(async {
        let mut fleet = Fleet::start(2).await;
        let copy = fleet.store.copy();
        leave(&mut fleet, Leave::Delete).await;
        fleet.store.set_outage(Outage::Reset);
        task::sleep(Duration::from_millis(500)).await;
        fleet.store.restore(copy);
        fleet.store.set_outage(Outage::None);
        let is_stored = || fleet.store.get("mesh/departures/node-0").map(drop);
        wait_for("departure in the restored store", is_stored).await;
        restart(&mut fleet, End::PlannedStop).await;
        assert_eq!(fleet.members[0].announce("ready").await, 200);
        task::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(runs_at_first(&fleet, "after").await, 0);
    });
}
