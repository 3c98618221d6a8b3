//! Where a node watches for changes, and which changes it keeps for the other nodes of its zone.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    change_feed::{
        CONFIRM_INTERVAL, ChangeLog, ChangesSince, Freshness, MAX_FED_AGE, MAX_SOURCE_AGE,
        Position, SourceSelector, WATCH_PAUSE, longest_delay,
    },
    members::{Members, NodeRecord},
};

fn record(node: &str, zone: &str) -> NodeRecord {
    NodeRecord {
        node: node.into(),
        incarnation: 1,
        inner: "127.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        stopping: false,
        slow: false,
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

fn source(selector: &SourceSelector, members: &Members, own: &str, now: Instant) -> Option<String> {
    let found = selector.select(members, &own.into(), &"z".into(), now);
    found.map(|record| record.node.as_str().to_owned())
}

/// Guards against a store call of every node for each change: one node of a zone watches the store.
#[test]
fn one_node_of_a_zone_watches_the_store() {
    let now = Instant::now();
    let nodes = [("a", "other"), ("b", "z"), ("c", "z"), ("d", "z")];
    let members = members(&nodes);
    let selector = SourceSelector::default();
    assert_eq!(source(&selector, &members, "b", now), None);
    assert_eq!(source(&selector, &members, "c", now), Some("b".to_owned()));
    assert_eq!(source(&selector, &members, "d", now), Some("b".to_owned()));
}

/// Guards against a node that finds no source while it is not listed itself, as after its start.
#[test]
fn unlisted_node_has_a_source() {
    let now = Instant::now();
    assert_eq!(source(&SourceSelector::default(), &members(&[]), "c", now), None);
    let some = members(&[("b", "z"), ("d", "z")]);
    assert_eq!(source(&SourceSelector::default(), &some, "c", now), Some("b".to_owned()));
}

/// Guards against watching a node that stops, has vanished or does not answer.
#[test]
fn lost_source_is_replaced() {
    let now = Instant::now();
    let nodes = [("a", "z"), ("b", "z"), ("c", "z"), ("d", "z"), ("e", "z")];
    let mut members = members(&nodes);
    let selector = SourceSelector::default();
    members.put("a", NodeRecord { stopping: true, ..record("a", "z") });
    assert_eq!(source(&selector, &members, "e", now), Some("b".to_owned()));
    members.remove("b", now);
    assert_eq!(source(&selector, &members, "e", now), Some("c".to_owned()));
    members.on_failure(&"c".into(), now);
    assert_eq!(source(&selector, &members, "e", now), Some("d".to_owned()));
}

/// Guards against a node that keeps asking a source which does not answer and learns of no changes.
#[test]
fn store_is_watched_after_a_source_did_not_answer() {
    let now = Instant::now();
    let members = members(&[("a", "z"), ("b", "z")]);
    let mut selector = SourceSelector::default();
    selector.on_no_answer(now);
    assert_eq!(source(&selector, &members, "b", now + Duration::from_secs(2)), None);
    let later = now + Duration::from_secs(4);
    assert_eq!(source(&selector, &members, "b", later), Some("a".to_owned()));
}

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

/// Guards against changes that are lost or delivered twice when the source changes.
#[test]
fn changes_follow_the_known_revision() {
    let mut log = ChangeLog::new(at(10));
    assert_eq!(log.since(at(10)), ChangesSince::Unchanged);
    log.add([(11, "x"), (13, "y")], at(15));
    assert_eq!(log.position(), at(15));
    assert_eq!(log.since(at(10)), ChangesSince::Changes(vec!["x", "y"], at(15)));
    assert_eq!(log.since(at(11)), ChangesSince::Changes(vec!["y"], at(15)));
    assert_eq!(log.since(at(14)), ChangesSince::Changes(vec![], at(15)));
    assert_eq!(log.since(at(15)), ChangesSince::Unchanged);
    // The other node may be ahead.
    assert_eq!(log.since(at(20)), ChangesSince::Unchanged);
    assert_eq!(log.since(at(9)), ChangesSince::Compacted);
    // Known changes are not added again.
    log.add([(13, "y"), (16, "z")], at(16));
    assert_eq!(log.since(at(11)), ChangesSince::Changes(vec!["y", "z"], at(16)));
}

/// Guards against a log that grows without bound, or that hides what it has dropped.
#[test]
fn old_changes_are_compacted() {
    let mut log = ChangeLog::new(at(0));
    log.add((1..=2_000).map(|revision| (revision, revision)), at(2_000));
    assert_eq!(log.since(at(100)), ChangesSince::Compacted);
    let ChangesSince::Changes(kept, position) = log.since(at(1_600)) else { panic!("no changes") };
    assert_eq!((kept, position), ((1_601..=2_000).collect::<Vec<_>>(), at(2_000)));
}

/// Guards against a node that goes on from a revision of an earlier era and misses what the store
/// has given that revision out for again.
#[test]
fn revision_of_an_earlier_era_is_not_continued() {
    let mut log = ChangeLog::new(Position { era: 2, revision: 10 });
    log.add([(11, "x")], Position { era: 2, revision: 30 });
    for revision in [9, 10, 11, 29, 30, 1_000] {
        assert_eq!(log.since(at(revision)), ChangesSince::Compacted, "{revision}");
        let later = Position { era: 3, revision };
        assert_eq!(log.since(later), ChangesSince::Outdated, "{revision}");
    }
    log.add([(31, "y")], at(31));
    assert_eq!(log.position(), Position { era: 2, revision: 30 }, "changes of an earlier era");
    assert!(at(1_000) < log.position());
}

/// Time within which users expect a confirmed configuration to be in force.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Time that a call to the store takes at a node whose machine gets its processor late.
const STORE_CALL: Duration = Duration::from_millis(300);

/// Guards against constants that together exceed the time for a configuration, and against a source
/// that is too old for others in each pause between two watches.
#[test]
fn ages_exceed_the_time_for_a_configuration() {
    assert!(longest_delay(STORE_CALL) < CONFIG_DEADLINE, "{:?}", longest_delay(STORE_CALL));
    assert!(WATCH_PAUSE + CONFIRM_INTERVAL < MAX_SOURCE_AGE);
    assert!(MAX_SOURCE_AGE < MAX_FED_AGE);
}

/// Guards against a source that has lost the store and goes on saying that nothing has changed.
#[test]
fn silent_watch_is_taken_for_no_changes() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut freshness = Freshness::default();
    assert!(!freshness.may_feed(at(0)), "nothing is known yet");
    freshness.on_watch_answered(at(0));
    freshness.on_watch_sent(at(100));
    for ms in (500..5_000).step_by(400) {
        freshness.on_confirmed(at(ms));
        assert!(freshness.may_feed(at(ms + 100)));
    }
    // The last confirmation was sent 4.9 s after the start; then the store is out of reach.
    assert!(freshness.may_feed(at(6_300)));
    assert!(!freshness.may_feed(at(6_400)));
}

/// Guards against a confirmation that counts although no watch was waiting when it was sent, as in the
/// pause between two watches, while the keys are listed or after a watch was lost.
#[test]
fn reachable_store_is_taken_for_a_waiting_watch() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut freshness = Freshness::default();
    freshness.on_watch_answered(at(0));
    freshness.on_confirmed(at(400));
    assert_eq!(freshness.age(at(800)), Some(Duration::from_millis(800)));
    freshness.on_watch_sent(at(800));
    // Sent before the watch, answered after it.
    freshness.on_confirmed(at(700));
    assert_eq!(freshness.age(at(900)), Some(Duration::from_millis(900)));
    freshness.on_watch_failed();
    freshness.on_confirmed(at(1_200));
    assert!(!freshness.may_feed(at(1_500)));
}

/// Guards against a reply that was on its way for long, or whose source was paused after writing it,
/// and that counts from its arrival.
#[test]
fn late_reply_is_taken_for_a_new_one() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let ms = Duration::from_millis;
    let mut fed = Freshness::default();
    assert_eq!(fed.reply_wait(true, at(0)), None);
    fed.on_watch_answered(at(0));
    // The source had waited 300 ms and knew the changes until 200 ms before that.
    fed.on_reply(at(100), ms(300), ms(200));
    assert_eq!(fed.age(at(1_000)), Some(ms(800)));
    let wait = fed.reply_wait(true, at(1_000)).unwrap();
    assert_eq!(wait.in_all, MAX_FED_AGE - ms(800));
    assert!(wait.at_source < wait.in_all);
    assert_eq!(fed.reply_wait(true, at(1_700)), None);
    // An older reply takes nothing back.
    fed.on_reply(at(50), ms(10), ms(500));
    assert_eq!(fed.age(at(1_000)), Some(ms(800)));
}

/// Guards against calls of all nodes to a store that answers none of them, in each outage.
#[test]
fn nodes_do_not_wait_for_their_source_in_an_outage() {
    let start = Instant::now();
    let mut fed = Freshness::default();
    fed.on_watch_answered(start);
    let later = start + Duration::from_secs(5);
    assert_eq!(fed.reply_wait(true, later), None);
    let wait = fed.reply_wait(false, later).unwrap();
    assert!(wait.at_source >= Duration::from_millis(500), "{wait:?}");
}
