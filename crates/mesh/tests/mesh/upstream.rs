//! Announcements that come late, out of order, or from an earlier start.

use std::time::Duration;

use oleandertiller_mesh::upstream::{
    Announcement, AnnouncementOutcome, Incarnation, Stage, Upstream,
};
use proptest::prelude::*;

fn news(id: &str, started_ms: u64, sequence: u64, stage: Stage) -> Announcement {
    Announcement {
        incarnation: Incarnation { id: id.into(), started_ms },
        sequence,
        service: "kettle".into(),
        version: "v1".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        slots: 6,
        stage,
        cold_for: Duration::ZERO,
    }
}

/// Guards against a heartbeat that was held up and calls a server back that is leaving.
#[test]
fn a_late_announcement_changes_nothing() {
    let mut upstream = Upstream::default();
    assert_eq!(upstream.apply(news("i-1", 10, 4, Stage::Serving)), AnnouncementOutcome::Replaced);
    assert_eq!(upstream.apply(news("i-1", 10, 5, Stage::Draining)), AnnouncementOutcome::Updated);
    assert_eq!(upstream.apply(news("i-1", 10, 4, Stage::Serving)), AnnouncementOutcome::Stale);
    assert_eq!(upstream.latest().unwrap().stage, Stage::Draining);
}

/// Guards against the word of a start that is over, and against counts that start anew.
#[test]
fn the_later_start_wins() {
    let mut upstream = Upstream::default();
    upstream.apply(news("i-1", 10, 90, Stage::Serving));
    assert_eq!(upstream.apply(news("i-1", 20, 1, Stage::Serving)), AnnouncementOutcome::Replaced);
    assert_eq!(upstream.apply(news("i-1", 10, 91, Stage::Draining)), AnnouncementOutcome::Stale);
    assert_eq!(upstream.apply(news("i-0", 15, 500, Stage::Serving)), AnnouncementOutcome::Stale);
    assert_eq!(upstream.latest().unwrap().incarnation.started_ms, 20);
}

/// Guards against a server that has left and is used again after a late heartbeat.
#[test]
fn who_has_left_stays_away() {
    let mut upstream = Upstream::default();
    upstream.apply(news("i-1", 10, 4, Stage::Serving));
    assert!(!upstream.leave("i-2", None));
    assert!(!upstream.leave("i-1", Some(9)));
    assert!(upstream.leave("i-1", Some(10)));
    assert_eq!(upstream.apply(news("i-1", 10, 9, Stage::Serving)), AnnouncementOutcome::Stale);
    assert_eq!(upstream.latest().unwrap().stage, Stage::Gone);
    assert_eq!(upstream.apply(news("i-1", 11, 1, Stage::Serving)), AnnouncementOutcome::Replaced);
}

proptest! {
    /// Guards against an order of messages in which an earlier start or stage wins.
    #[test]
    fn any_order_ends_at_the_newest(
        mut messages in prop::collection::vec((0_u64..4, 1_u64..6, any::<bool>()), 1..30),
    ) {
        let stage = |draining| if draining { Stage::Draining } else { Stage::Serving };
        // One message for each start and number, as a server sends them.
        messages.sort();
        messages.dedup_by_key(|(born, sequence, _)| (*born, *sequence));
        let newest = *messages.last().unwrap();
        let mut upstream = Upstream::default();
        for (born, sequence, draining) in messages.into_iter().rev() {
            upstream.apply(news("i-1", born, sequence, stage(draining)));
        }
        let known = upstream.latest().unwrap();
        prop_assert_eq!((known.incarnation.started_ms, known.sequence), (newest.0, newest.1));
        prop_assert_eq!(known.stage, stage(newest.2));
    }
}
