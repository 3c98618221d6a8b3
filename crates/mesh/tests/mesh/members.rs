//! Known instances while the store is unavailable and returns.

use std::time::{Duration, Instant};

use oleandertiller_mesh::members::{Members, NodeRecord, RELIST_GRACE};

fn record(node: &str, incarnation: u64) -> NodeRecord {
    NodeRecord {
        node: node.into(),
        incarnation,
        inner: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        stopping: false,
        slow: false,
        upstream: None,
    }
}

fn names(members: &Members) -> Vec<&str> {
    members.iter().map(|member| member.record.node.as_str()).collect()
}

/// Guards against a fleet that forgets all nodes when the store returns after all leases have
/// ended.
#[test]
fn vanished_records_are_kept_until_they_can_return() {
    let now = Instant::now();
    let mut members = Members::default();
    for node in ["a", "b"] {
        members.put(node, record(node, 1));
    }
    members.reconcile(&[], now);
    assert!(members.expire(now + RELIST_GRACE).is_empty());
    members.put("a", record("a", 1));
    let later = now + RELIST_GRACE + Duration::from_millis(1);
    let expired = members.expire(later);
    assert_eq!(expired.iter().map(|r| r.node.as_str()).collect::<Vec<_>>(), ["b"]);
    assert_eq!(names(&members), ["a"]);
}

/// Guards against a node that is dropped although it still answers and only its record has vanished.
#[test]
fn node_that_answers_is_kept() {
    let now = Instant::now();
    let mut members = Members::default();
    members.put("a", record("a", 1));
    members.remove("a", now);
    for seconds in 1..30 {
        let at = now + Duration::from_secs(seconds);
        members.on_answer(&"a".into(), at);
        assert!(members.expire(at).is_empty());
    }
    let silent = now + Duration::from_secs(40);
    assert_eq!(members.expire(silent).len(), 1);
}

/// Guards against requests that are sent again and again to a node that cannot be reached.
#[test]
fn failing_node_is_paused() {
    let now = Instant::now();
    let mut members = Members::default();
    members.put("a", record("a", 1));
    let reachable = |members: &Members, at| members.iter().next().unwrap().is_reachable(at);
    members.on_failure(&"a".into(), now);
    assert!(!reachable(&members, now));
    assert!(reachable(&members, now + Duration::from_millis(250)));
    members.on_failure(&"a".into(), now);
    assert!(!reachable(&members, now + Duration::from_millis(250)));
    members.on_answer(&"a".into(), now);
    assert!(reachable(&members, now));
    members.on_failure(&"a".into(), now);
    members.put("a", record("a", 2));
    assert!(reachable(&members, now), "a new process has not failed yet");
}

/// Guards against shares of the fleet's budgets that grow when nodes vanish.
#[test]
fn peak_count_does_not_shrink() {
    let now = Instant::now();
    let mut members = Members::default();
    for node in ["a", "b", "c"] {
        members.put(node, record(node, 1));
    }
    members.reconcile(&[], now);
    members.expire(now + Duration::from_secs(10));
    assert_eq!(members.peak_count(), 3);
}
