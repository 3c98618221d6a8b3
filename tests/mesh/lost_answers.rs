//! Writes to the store whose answers are lost: done, done late or not done.

use std::time::Duration;

use async_std::task::block_on;
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
