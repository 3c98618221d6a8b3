//! Entries and heartbeats of other writers that name no upstream to use.

use std::time::Duration;

use async_std::task::{self, block_on};
use serde_json::{Value, json};

use crate::fleet::{Fleet, config};

/// Odd variants of a node's record.
fn odd_records(record: &Value) -> Vec<Vec<u8>> {
    let changed = |pointer: &str, value: Value| {
        let mut record = record.clone();
        *record.pointer_mut(pointer).unwrap() = value;
        record.to_string().into_bytes()
    };
    let text = record.to_string();
    vec![
        [vec![b'['; 40_000], vec![b']'; 40_000]].concat(),
        [text.trim_end_matches('}').as_bytes(), b",\"x\":", &[b'['; 2_000], &[b']'; 2_000], b"}"]
            .concat(),
        changed("/inner", json!("127.0.0.1:70000")),
        changed("/upstream/address", json!("127.0.0.1:-1")),
        changed("/upstream/slots", json!(1e300)),
        changed("/incarnation", json!(1e40)),
        text.replace("\"slots\":4", "\"slots\":99999999999999999999999999").into_bytes(),
        vec![0xff, 0xfe, 0],
        Vec::new(),
    ]
}

/// Guards against nodes that end, or stop following the store, because of an odd entry.
#[test]
fn odd_entries_do_not_end_nodes_or_hide_changes() {
    block_on(async {
        let mut fleet = Fleet::start(3).await;
        let record = fleet.store.get("mesh/nodes/node-1").unwrap();
        for (n, value) in odd_records(&record).into_iter().enumerate() {
            fleet.store.put_bytes(&format!("mesh/nodes/odd-{n}"), &value);
            fleet.store.put_bytes(&format!("mesh/rollout/odd-{n}"), &value);
            fleet.store.put_bytes(&format!("op/rollout/odd-{n}"), &value);
        }
        // A copy of another node's record, at an address where nobody listens.
        let mut copy = record.clone();
        copy["inner"] = json!("127.0.0.1:9");
        fleet.store.put("mesh/nodes/copy", &copy);
        fleet.store.put("op/config", &config(5, Some("/new/")));
        task::sleep(Duration::from_secs(2)).await;
        for n in 0..30 {
            let response = fleet.request(n % 3, "GET", "/new/a", &format!("new-{n}")).await;
            assert_eq!(response.unwrap().status, 200);
        }
        let served = |member: usize| fleet.members[member].upstream.runs().len();
        assert!((0..3).all(|member| served(member) > 0), "a node is hidden by an odd entry");
        assert!(fleet.members.iter_mut().all(|member| member.is_running()));
    });
}

/// Guards against a node that ends because of a heartbeat with a number that is too large.
#[test]
fn odd_heartbeats_do_not_end_nodes() {
    block_on(async {
        let mut fleet = Fleet::start(1).await;
        let member = &fleet.members[0];
        let heartbeat = json!({
            "service": "kettle", "address": member.upstream_addr().to_string(), "zone": "z1",
            "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0, "born": 2_000,
        });
        let path = format!("/api/instances/{}", member.upstream.id());
        let odd_fields = [
            ("coldRemainingMs", json!(1e21)),
            ("coldRemainingMs", json!(1.8e22)),
            ("coldRemainingMs", json!(-1e300)),
            ("slots", json!(u32::MAX)),
            ("sequence", json!(u64::MAX)),
        ];
        for (sequence, (field, value)) in (1_000..).zip(odd_fields) {
            let mut odd = heartbeat.clone();
            odd["sequence"] = json!(sequence);
            odd[field] = value;
            let status = member.put(&path, odd.to_string().as_bytes()).await;
            assert!(status == 200 || status == 400, "{field}: {status}");
            assert!(member.is_ready().await, "{field}");
        }
        let response = fleet.request(0, "GET", "/read/a", "after").await;
        assert!(response.is_some());
        assert!(fleet.members[0].is_running());
        let events = fleet.members[0].log_events();
        assert!(!events.iter().any(|event| event.contains("panicked")), "{events:?}");
    });
}
