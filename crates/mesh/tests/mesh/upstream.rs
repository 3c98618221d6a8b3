//! Announcements that arrive late, out of order, or from an earlier incarnation.

use std::time::Duration;

use oleandertiller_mesh::upstream::{
    Announcement, AnnouncementOutcome, Incarnation, Stage, Upstream,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

fn announcement(id: &str, started_ms: u64, sequence: u64, stage: Stage) -> Announcement {
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

/// Guards against a delayed announcement that puts a draining server back into service.
#[test]
fn late_announcement_is_ignored() {
    let mut upstream = Upstream::default();
    assert_eq!(
        upstream.apply(announcement("i-1", 10, 4, Stage::Serving)),
        AnnouncementOutcome::Replaced
    );
    assert_eq!(
        upstream.apply(announcement("i-1", 10, 5, Stage::Draining)),
        AnnouncementOutcome::Updated
    );
    assert_eq!(
        upstream.apply(announcement("i-1", 10, 4, Stage::Serving)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(upstream.latest().unwrap().stage, Stage::Draining);
}

/// Guards against a drain that is acknowledged and ignored, because an announcement of another writer
/// had a higher sequence number.
#[test]
fn drain_with_a_low_sequence_number_is_ignored() {
    let mut upstream = Upstream::default();
    upstream.apply(announcement("i-1", 10, 900, Stage::Serving));
    let drain = announcement("i-1", 10, 7, Stage::Draining);
    assert_eq!(upstream.apply(drain.clone()), AnnouncementOutcome::Advanced);
    assert_eq!(upstream.latest().unwrap().stage, Stage::Draining);
    assert_eq!(upstream.latest().unwrap().sequence, 900);
    assert_eq!(upstream.apply(drain), AnnouncementOutcome::Stale);
    // That of an earlier incarnation says nothing of the current one.
    upstream.apply(announcement("i-2", 20, 1, Stage::Serving));
    let earlier = announcement("i-1", 10, 8, Stage::Draining);
    assert_eq!(upstream.apply(earlier), AnnouncementOutcome::Stale);
    assert_eq!(upstream.latest().unwrap().stage, Stage::Serving);
}

/// Guards against a server that left while its node was restarting and is in use again: the new
/// process knows no upstream when it is told of the departure, and an earlier announcement arrives
/// after that.
#[test]
fn upstream_that_left_before_it_was_known_stays_gone() {
    for started_ms in [Some(10), None] {
        let mut upstream = Upstream::default();
        assert!(!upstream.leave("i-1", started_ms));
        for sequence in [7, 8] {
            let late = announcement("i-1", 10, sequence, Stage::Serving);
            assert_eq!(upstream.apply(late), AnnouncementOutcome::Stale);
        }
        assert_eq!(upstream.latest(), None);
        // A later start under the same id, and another upstream, are new.
        let restarted = announcement("i-1", 20, 1, Stage::Serving);
        assert_eq!(upstream.clone().apply(restarted), AnnouncementOutcome::Replaced);
        let other = announcement("i-2", 20, 1, Stage::Serving);
        assert_eq!(upstream.apply(other), AnnouncementOutcome::Replaced);
    }
}

/// Guards against announcements of an earlier incarnation, and against sequence numbers that start
/// again from one.
#[test]
fn later_incarnation_wins() {
    let mut upstream = Upstream::default();
    upstream.apply(announcement("i-1", 10, 90, Stage::Serving));
    assert_eq!(
        upstream.apply(announcement("i-1", 20, 1, Stage::Serving)),
        AnnouncementOutcome::Replaced
    );
    assert_eq!(
        upstream.apply(announcement("i-1", 10, 91, Stage::Draining)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        upstream.apply(announcement("i-0", 15, 500, Stage::Serving)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(upstream.latest().unwrap().incarnation.started_ms, 20);
}

/// Guards against a server that has left and is used again after a late announcement.
#[test]
fn upstream_that_left_stays_gone() {
    let mut upstream = Upstream::default();
    upstream.apply(announcement("i-1", 10, 4, Stage::Serving));
    assert!(!upstream.leave("i-2", None));
    assert!(!upstream.leave("i-1", Some(9)));
    assert!(upstream.leave("i-1", Some(10)));
    assert_eq!(
        upstream.apply(announcement("i-1", 10, 9, Stage::Serving)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(upstream.latest().unwrap().stage, Stage::Gone);
    assert_eq!(
        upstream.apply(announcement("i-1", 11, 1, Stage::Serving)),
        AnnouncementOutcome::Replaced
    );
}

/// Guards against an upstream that says in its responses that it leaves and is used again because
/// its announcements go on as before, also after a restart of its node.
#[test]
fn leaving_upstream_is_used_again() {
    let mut upstream = Upstream::default();
    let serving = |sequence| announcement("i-1", 10, sequence, Stage::Serving);
    upstream.apply(serving(4));
    let incarnation = serving(4).incarnation;
    assert!(!upstream.on_leaving(&announcement("i-1", 9, 4, Stage::Serving).incarnation));
    assert!(upstream.on_leaving(&incarnation));
    assert!(!upstream.on_leaving(&incarnation), "not news");
    assert_eq!(upstream.apply(serving(5)), AnnouncementOutcome::Updated);
    assert_eq!(upstream.latest().unwrap().stage, Stage::Draining);
    // The record that a restarted node reads has the stage, and a sequence number of 0.
    let mut restarted = Upstream::default();
    restarted.apply(Announcement { sequence: 0, ..upstream.latest().unwrap().clone() });
    restarted.apply(serving(6));
    assert_eq!(restarted.latest().unwrap().stage, Stage::Draining);
    let next = announcement("i-1", 20, 1, Stage::Serving);
    assert_eq!(restarted.apply(next), AnnouncementOutcome::Replaced);
    assert_eq!(restarted.latest().unwrap().stage, Stage::Serving);
}

/// Guards against a departure that an earlier process of the node acknowledged and that a late
/// announcement undoes, whether it arrives before the departure is read or after.
#[test]
fn departure_that_an_earlier_process_stored_is_undone() {
    for draining in [false, true] {
        let mut earlier = Upstream::default();
        earlier.apply(announcement("i-1", 10, 4, Stage::Serving));
        assert_eq!(earlier.departure(), None);
        match draining {
            true => drop(earlier.apply(announcement("i-1", 10, 5, Stage::Draining))),
            false => assert!(earlier.leave("i-1", None)),
        }
        let departure = earlier.departure().unwrap();
        assert!(!earlier.recall_departure(&departure), "its own departure is no news");
        let late = announcement("i-1", 10, 6, Stage::Serving);

        let mut recalled_first = Upstream::default();
        recalled_first.recall_departure(&departure);
        assert_eq!(recalled_first.apply(late.clone()), AnnouncementOutcome::Stale);
        let mut recalled_last = Upstream::default();
        recalled_last.apply(late);
        assert!(recalled_last.recall_departure(&departure));
        assert_ne!(recalled_last.latest().unwrap().stage, Stage::Serving);
        for mut upstream in [recalled_first, recalled_last] {
            assert_eq!(upstream.departure().as_ref(), Some(&departure));
            let successor = announcement("i-1", 20, 1, Stage::Serving);
            assert_eq!(upstream.apply(successor), AnnouncementOutcome::Replaced);
            assert_eq!(upstream.departure(), None);
            upstream.recall_departure(&departure);
            assert_eq!(upstream.latest().unwrap().stage, Stage::Serving);
        }
    }
}

/// Guards against a departure from the store that hides one that the process has seen itself.
#[test]
fn stored_departure_hides_a_later_one() {
    let mut upstream = Upstream::default();
    upstream.leave("i-2", Some(20));
    upstream.recall_departure(&announcement("i-1", 10, 1, Stage::Serving).incarnation);
    let late = announcement("i-2", 20, 7, Stage::Serving);
    assert_eq!(upstream.apply(late), AnnouncementOutcome::Stale);
}

proptest! {
    /// Guards against an order of messages in which an earlier incarnation or stage wins. A server never
    /// goes back to serving, so its furthest stage is the latest, whichever message arrives last.
    #[test]
    fn any_order_ends_at_the_latest(
        mut messages in prop::collection::vec((0_u64..4, 1_u64..6, any::<bool>()), 1..30),
        seed in any::<u64>(),
    ) {
        let stage = |draining| if draining { Stage::Draining } else { Stage::Serving };
        // One message per incarnation and sequence number, as a server sends them.
        messages.sort();
        messages.dedup_by_key(|(started_ms, sequence, _)| (*started_ms, *sequence));
        let latest = *messages.last().unwrap();
        let drains = messages.iter().any(|(started_ms, _, drains)| *started_ms == latest.0 && *drains);
        let mut shuffled = messages.clone();
        shuffled.shuffle(&mut StdRng::seed_from_u64(seed));
        let reversed = messages.iter().rev().copied().collect();
        for order in [messages, reversed, shuffled] {
            let mut upstream = Upstream::default();
            for (started_ms, sequence, draining) in order {
                upstream.apply(announcement("i-1", started_ms, sequence, stage(draining)));
            }
            let known = upstream.latest().unwrap();
            prop_assert_eq!((known.incarnation.started_ms, known.sequence), (latest.0, latest.1));
            prop_assert_eq!(known.stage, stage(drains));
        }
    }
}
