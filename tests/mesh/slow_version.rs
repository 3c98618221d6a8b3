//! A rollout of a version that is slow on a part of its requests.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use serde_json::json;

use crate::fleet::{Fleet, MemberSpec, call, config};

/// Time until the deadline of the rollout.
const ROLLOUT_TIME: Duration = Duration::from_secs(16);

/// Guards against a slow version that completes because hedged requests hide its slow runs.
#[test]
fn slow_version_completes_its_rollout() {
    block_on(async {
        let member = |version| MemberSpec { zone: "z1", service: "kettle", version };
        let specs = ["v1", "v1", "v1", "v1", "v2", "v2", "v2"].map(member);
        let mut fleet = Fleet::start_specs(&specs, &config(3, None)).await;
        for member in &fleet.members {
            let slow_share = if member.version == "v2" { 0.35 } else { 0.0 };
            member.upstream.change(|behaviour| {
                behaviour.service_time = Duration::from_millis(200);
                behaviour.slow_share = slow_share;
            });
        }
        fleet.wait_until_serving(7).await;
        let order = json!({ "service": "kettle", "targetVersion": "v2",
            "durationS": ROLLOUT_TIME.as_secs() });
        fleet.store.put("op/rollout/kettle", &order);
        let end = Instant::now() + ROLLOUT_TIME + Duration::from_millis(500);
        let clients = (0..8).map(|client| {
            let ingress = fleet.members[client % 4].ingress;
            task::spawn(async move {
                let mut n = 0;
                while Instant::now() < end {
                    let id = format!("slow-{client}-{n}");
                    let ids = [
                        ("Oleandertiller-Attempt-Id", id.as_str()),
                        ("Oleandertiller-Deadline-Milliseconds", "3000"),
                    ];
                    call(ingress, "GET", "/read/1", "shop.example", &ids, &[]).await;
                    n += 1;
                    task::sleep(Duration::from_millis(60)).await;
                }
            })
        });
        for client in clients.collect::<Vec<_>>() {
            client.await;
        }
        let status = fleet.store.get("status/rollout/kettle").unwrap();
        assert_eq!(status["state"], "rolled_back");
    });
}
