//! Where a node learns of changes, and what a node keeps for the others of its zone.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    change_feed::{ChangeLog, ChangesSince, SourceSelector},
    members::{Members, NodeRecord},
};

fn record(node: &str, zone: &str) -> NodeRecord {
    NodeRecord {
        node: node.into(),
        incarnation: 1,
        inner: "127.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        stopping: false,
        upstream: None,
    }
}

fn members(nodes: &[(&str, &str)]) -> Members {
    let mut members = Members::default();
    for (node, zone) in nodes {
        members.put(node, record(node, zone));
    }
    members
}

fn source(sources: &SourceSelector, members: &Members, own: &str, now: Instant) -> Option<String> {
    let found = sources.select(members, &own.into(), &"z".into(), now);
    found.map(|record| record.node.as_str().to_owned())
}

/// Guards against calls of every node for each change: one node of each zone waits at the store.
#[test]
fn one_node_of_a_zone_waits_at_the_store() {
    let now = Instant::now();
    let nodes = [("a", "other"), ("b", "z"), ("c", "z"), ("d", "z")];
    let members = members(&nodes);
    let sources = SourceSelector::default();
    assert_eq!(source(&sources, &members, "b", now), None);
    assert_eq!(source(&sources, &members, "c", now), Some("b".to_owned()));
    assert_eq!(source(&sources, &members, "d", now), Some("b".to_owned()));
}

/// Guards against a node without a source while it is not listed itself, as after its start.
#[test]
fn a_node_that_is_not_listed_yet_has_a_source() {
    let now = Instant::now();
    assert_eq!(source(&SourceSelector::default(), &members(&[]), "c", now), None);
    let some = members(&[("b", "z"), ("d", "z")]);
    assert_eq!(source(&SourceSelector::default(), &some, "c", now), Some("b".to_owned()));
}

/// Guards against waiting at a node that stops, has vanished or does not answer.
#[test]
fn a_source_that_goes_is_replaced() {
    let now = Instant::now();
    let nodes = [("a", "z"), ("b", "z"), ("c", "z"), ("d", "z"), ("e", "z")];
    let mut members = members(&nodes);
    let sources = SourceSelector::default();
    members.put("a", NodeRecord { stopping: true, ..record("a", "z") });
    assert_eq!(source(&sources, &members, "e", now), Some("b".to_owned()));
    members.remove("b", now);
    assert_eq!(source(&sources, &members, "e", now), Some("c".to_owned()));
    members.on_failure(&"c".into(), now);
    assert_eq!(source(&sources, &members, "e", now), Some("d".to_owned()));
}

/// Guards against a node that asks a silent source again and again and hears nothing meanwhile.
#[test]
fn after_a_silent_source_the_store_is_asked_for_a_while() {
    let now = Instant::now();
    let members = members(&[("a", "z"), ("b", "z")]);
    let mut sources = SourceSelector::default();
    sources.on_no_answer(now);
    assert_eq!(source(&sources, &members, "b", now + Duration::from_secs(2)), None);
    let later = now + Duration::from_secs(4);
    assert_eq!(source(&sources, &members, "b", later), Some("a".to_owned()));
}

/// Guards against changes that are lost or come twice between two sources.
#[test]
fn changes_follow_the_revision_that_is_known() {
    let mut history = ChangeLog::new(10);
    assert_eq!(history.since(10), ChangesSince::Unchanged);
    history.add([(11, "x"), (13, "y")], 15);
    assert_eq!(history.revision(), 15);
    assert_eq!(history.since(10), ChangesSince::Changes(vec!["x", "y"], 15));
    assert_eq!(history.since(11), ChangesSince::Changes(vec!["y"], 15));
    assert_eq!(history.since(14), ChangesSince::Changes(vec![], 15));
    assert_eq!(history.since(15), ChangesSince::Unchanged);
    // The other node may be ahead.
    assert_eq!(history.since(20), ChangesSince::Unchanged);
    assert_eq!(history.since(9), ChangesSince::Compacted);
    // What is known already is not added again.
    history.add([(13, "y"), (16, "z")], 16);
    assert_eq!(history.since(11), ChangesSince::Changes(vec!["y", "z"], 16));
}

/// Guards against a history that grows without bound, or hides what it has dropped.
#[test]
fn old_changes_are_forgotten() {
    let mut history = ChangeLog::new(0);
    history.add((1..=2_000).map(|at| (at, at)), 2_000);
    assert_eq!(history.since(100), ChangesSince::Compacted);
    let ChangesSince::Changes(kept, 2_000) = history.since(1_600) else { panic!("no changes") };
    assert_eq!(kept, (1_601..=2_000).collect::<Vec<_>>());
}
