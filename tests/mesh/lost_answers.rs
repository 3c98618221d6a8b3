//! Writes to the store whose answers are lost: done, done late or not done.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_standin::platform::LostWrite;
use serde_json::json;

use crate::fleet::{Fleet, wait_for};

/// Time until a late write takes effect: later than the next attempt.
const LATE: Duration = Duration::from_millis(2_200);

fn rollout_state(fleet: &Fleet) -> Option<String> {
    let status = fleet.store.get("status/rollout/kettle")?;
    status["state"].as_str().map(str::to_owned)
}

/// Guards against an order that nobody carries out because a write of the leader got no answer.
#[test]
fn rollout_is_not_carried_out_after_a_lost_answer() {
    for key in ["mesh/lead/", "mesh/rollout/"] {
        for lost in [LostWrite::Done, LostWrite::Late(LATE), LostWrite::NotDone] {
            block_on(async {
                let fleet = Fleet::start(2).await;
                fleet.store.lose_answer(key, lost);
                let order = json!({ "service": "kettle", "targetVersion": "v2", "durationS": 4 });
                fleet.store.put("op/rollout/kettle", &order);
                let what = format!("{key} {lost:?}: taken up");
                wait_for(&what, || rollout_state(&fleet)).await;
                assert!(fleet.store.has_lost_answer(), "no answer was lost");
                // No upstream has the version, so that the rollout ends without it.
                let rolled_back = || rollout_state(&fleet).filter(|state| state == "rolled_back");
                wait_for(&format!("{key} {lost:?}: ended"), rolled_back).await;
            });
        }
    }
}

/// Guards against an upstream that is leaving and that the store shows as serving, because an earlier
/// write of its node took effect late: a restarted node would use it again.
#[test]
fn late_write_replaces_a_newer_record() {
    block_on(async {
        let fleet = Fleet::start(2).await;
        let node = &fleet.members[0];
        let announce = async |sequence: u64, slots: u32, state: &str| {
            let body = json!({
                "service": "kettle", "address": node.upstream_addr().to_string(), "zone": "z1",
                "version": "v1", "slots": slots, "state": state, "coldRemainingMs": 0,
                "sequence": sequence, "born": 1_000,
            });
            node.put("/api/instances/i-0", body.to_string().as_bytes()).await
        };
        let record =
            || fleet.store.get("mesh/nodes/node-0").map(|record| record["upstream"].clone());
        fleet.store.lose_answer("mesh/nodes/node-0", LostWrite::Late(LATE));
        let lost = Instant::now();
        assert_eq!(announce(1_001, 5, "ready").await, 200);
        wait_for("second attempt", || record().filter(|upstream| upstream["slots"] == 5)).await;
        assert!(lost.elapsed() < LATE, "the write took effect before the next one");
        assert_eq!(announce(1_002, 5, "draining").await, 200);
        let is_draining = || record().filter(|upstream| upstream["stage"] == "draining");
        wait_for("record of the drain", is_draining).await;
        assert!(lost.elapsed() < LATE, "the write took effect before the next one");
        // The node may write its record again before a poll of the store shows the late one.
        wait_for("late write", || (fleet.store.late_writes() == 1).then_some(())).await;
        task::sleep(Duration::from_secs(2)).await;
        assert!(is_draining().is_some(), "{:?}", record());
    });
}
