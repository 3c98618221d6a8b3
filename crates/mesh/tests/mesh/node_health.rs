//! Nodes on slow machines.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    admission_queue::OwnerState,
    change_feed::SourceSelector,
    members::{Members, NodeRecord},
    node_health::NodeHealth,
    peer_health::PeerHealth,
    placement::{Candidate, Position, order_by_cost},
    upstream_capacity::UpstreamCapacity,
};
use rand::{SeedableRng, rngs::StdRng};

const TIMER: Duration = Duration::from_millis(500);

/// Guards against a record that is written again with each timer that is late, and against a node
/// that is slow for good.
#[test]
fn each_late_timer_changes_the_state() {
    let mut health = NodeHealth::default();
    let mut now = Instant::now();
    let mut changes = Vec::new();
    let mut run = |late_ms: &[u64], count: usize| {
        for step in 0..count {
            now += TIMER;
            let late = Duration::from_millis(late_ms[step % late_ms.len()]);
            changes.extend(health.on_timer(late, now));
        }
    };
    run(&[2_000, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], 1);
    run(&[0, 20], 100);
    run(&[80, 120], 100);
    run(&[0, 90], 20);
    run(&[0, 4], 100);
    assert_eq!(changes, [true, false]);
}

/// Guards against nodes of a zone that choose different sources when one of them is slow, and
/// against a zone without a source when all are slow.
#[test]
fn slow_node_feeds_the_others() {
    let now = Instant::now();
    let sources = |slow: &[&str]| -> Vec<Option<String>> {
        let mut members = Members::default();
        for node in ["a", "b", "c"] {
            let record = NodeRecord {
                node: node.into(),
                incarnation: 1,
                inner: ([127, 0, 0, 1], 9).into(),
                zone: "z1".into(),
                stopping: false,
                slow: slow.contains(&node),
                upstream: None,
            };
            members.put(node, record);
        }
        let select = |own: &&str| {
            let source =
                SourceSelector::default().select(&members, &(*own).into(), &"z1".into(), now);
            source.map(|record| record.node.as_str().to_owned())
        };
        ["a", "b", "c"].iter().map(select).collect()
    };
    let some = |node: &str| Some(node.to_owned());
    assert_eq!(sources(&[]), [None, some("a"), some("a")]);
    assert_eq!(sources(&["a"]), [some("b"), None, some("b")]);
    assert_eq!(sources(&["a", "b", "c"]), [None, some("a"), some("a")]);
}

/// Guards against requests to a peer whose node answers late, and against one that is avoided for
/// good.
#[test]
fn late_peer_attracts_requests() {
    let now = Instant::now();
    let idle = OwnerState {
        starts_per_minute: 0,
        turned_away: None,
        calls_wait: Duration::ZERO,
        running: 0,
        waiting: 0,
        slots: 6,
        slowness: 100,
        expected_wait: Duration::ZERO,
        capacity: UpstreamCapacity { free: 4, ..UpstreamCapacity::UNKNOWN },
    };
    let mut late = PeerHealth::default();
    let mut changes = Vec::new();
    for _ in 0..20 {
        late.on_state(idle, now);
        let (elapsed, held) = (Duration::from_millis(190), Duration::from_millis(100));
        changes.extend(late.on_reply(elapsed, held, now));
    }
    assert_eq!(changes, [true], "one line in the log");
    let mut punctual = PeerHealth::default();
    punctual.on_state(OwnerState { running: 4, ..idle }, now);
    let candidate = |node: &str, health| Candidate {
        node: node.into(),
        zone: "z1".into(),
        health,
        tried: true,
        limited: false,
    };
    let candidates = [candidate("late", late), candidate("punctual", punctual)];
    let mut rng = StdRng::seed_from_u64(1);
    let position = Position { node: &"own".into(), zone: &"z1".into(), room: 1.0 };
    let mut asked_first = |now| {
        (0..100).filter(|_| order_by_cost(&candidates, position, now, &mut rng)[0] == 0).count()
    };
    assert_eq!(asked_first(now), 0);
    assert!(asked_first(now + Duration::from_secs(15)) > 10);
}
