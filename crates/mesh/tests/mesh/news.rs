//! Where a node learns of changes, and what a node keeps for the others of its zone.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    members::{Members, Record},
    news::{History, Since, Sources},
};

fn record(node: &str, zone: &str) -> Record {
    Record {
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

fn source(sources: &Sources, members: &Members, own: &str, now: Instant) -> Option<String> {
    let found = sources.source(members, &own.into(), &"z".into(), now);
    found.map(|record| record.node.as_str().to_owned())
}

/// Guards against calls of every node for each change: one node of each zone waits at the store.
#[test]
fn one_node_of_a_zone_waits_at_the_store() {
    let now = Instant::now();
    let nodes = [("a", "other"), ("b", "z"), ("c", "z"), ("d", "z")];
    let members = members(&nodes);
    let sources = Sources::default();
    assert_eq!(source(&sources, &members, "b", now), None);
    assert_eq!(source(&sources, &members, "c", now), Some("b".to_owned()));
    assert_eq!(source(&sources, &members, "d", now), Some("b".to_owned()));
}

/// Guards against a node without a source while it is not listed itself, as after its start.
#[test]
fn a_node_that_is_not_listed_yet_has_a_source() {
    let now = Instant::now();
    assert_eq!(source(&Sources::default(), &members(&[]), "c", now), None);
    let some = members(&[("b", "z"), ("d", "z")]);
    assert_eq!(source(&Sources::default(), &some, "c", now), Some("b".to_owned()));
}

/// Guards against waiting at a node that stops, has vanished or does not answer.
#[test]
fn a_source_that_goes_is_replaced() {
    let now = Instant::now();
    let nodes = [("a", "z"), ("b", "z"), ("c", "z"), ("d", "z"), ("e", "z")];
    let mut members = members(&nodes);
    let sources = Sources::default();
    members.put("a", Record { stopping: true, ..record("a", "z") });
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
    let mut sources = Sources::default();
    sources.on_silence(now);
    assert_eq!(source(&sources, &members, "b", now + Duration::from_secs(2)), None);
    let later = now + Duration::from_secs(4);
    assert_eq!(source(&sources, &members, "b", later), Some("a".to_owned()));
}

/// Guards against changes that are lost or come twice between two sources.
#[test]
fn changes_follow_the_revision_that_is_known() {
    let mut history = History::new(10);
    assert_eq!(history.since(10), Since::Nothing);
    history.add([(11, "x"), (13, "y")], 15);
    assert_eq!(history.revision(), 15);
    assert_eq!(history.since(10), Since::Changes(vec!["x", "y"], 15));
    assert_eq!(history.since(11), Since::Changes(vec!["y"], 15));
    assert_eq!(history.since(14), Since::Changes(vec![], 15));
    assert_eq!(history.since(15), Since::Nothing);
    // The other node may be ahead.
    assert_eq!(history.since(20), Since::Nothing);
    assert_eq!(history.since(9), Since::Forgotten);
    // What is known already is not added again.
    history.add([(13, "y"), (16, "z")], 16);
    assert_eq!(history.since(11), Since::Changes(vec!["y", "z"], 16));
}

/// Guards against a history that grows without bound, or hides what it has dropped.
#[test]
fn old_changes_are_forgotten() {
    let mut history = History::new(0);
    history.add((1..=2_000).map(|at| (at, at)), 2_000);
    assert_eq!(history.since(100), Since::Forgotten);
    let Since::Changes(kept, 2_000) = history.since(1_600) else { panic!("no changes") };
    assert_eq!(kept, (1_601..=2_000).collect::<Vec<_>>());
}
