//! What an owner learns of its upstream's capacity.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::{Admission, AdmissionQueue, AdmissionRequest, PriorityClass, UpstreamLoad},
    sender_share::SenderId,
    upstream_capacity::{FailingState, KneeEstimate},
};
use oleandertiller_model::ErrorKind;

const SLOTS: u32 = 6;
const SOFT_LIMIT: u32 = 4;

/// Runs 100 requests one after the other beside `others` running ones; returns the end.
fn run(knee: &mut KneeEstimate, others: u32, time: Duration, mut now: Instant) -> Instant {
    let route: Arc<str> = "route".into();
    for _ in 0..100 {
        knee.on_running(others + 1, SOFT_LIMIT, now);
        let start = knee.start(now);
        now += time;
        knee.on_run(&route, start, now);
        knee.on_running(others, SOFT_LIMIT, now);
    }
    now
}

/// Guards against slots that are filled although the upstream then completes less, against slots
/// that are left free although it completes more, and against an estimate that is kept for ever.
#[test]
fn slots_beyond_the_knee_are_filled() {
    for (time_above, useful) in [(170, SOFT_LIMIT), (140, SLOTS)] {
        let mut knee = KneeEstimate::default();
        let now = run(&mut knee, 1, Duration::from_millis(100), Instant::now());
        assert_eq!(knee.useful_slots(SLOTS, now), SLOTS, "nothing is known above the limit");
        let now = run(&mut knee, 5, Duration::from_millis(time_above), now);
        assert_eq!(knee.useful_slots(SLOTS, now), useful, "{time_above} ms");
        assert_eq!(knee.useful_slots(SLOTS, now + Duration::from_secs(31)), SLOTS);
    }
}

/// Guards against requests to an upstream whose slots are taken by requests that their callers have
/// left, and against slots that stay lost.
#[test]
fn requests_that_only_the_upstream_counts_use_no_slot() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.set_capacity(SLOTS, None);
    let request = |now| AdmissionRequest {
        rank: 1,
        deadline: now + Duration::from_secs(1),
        wait_until: now,
        allow_slow: false,
        class: PriorityClass::Timely,
        at_most_once: false,
        sender: SenderId::default(),
    };
    let busy = UpstreamLoad { running: 6, waiting: 3, slots: SLOTS, slowness: Some(100) };
    queue.on_load(busy, now);
    assert_eq!(queue.state(PriorityClass::Timely, 1, now).capacity.free, 4, "one report may err");
    queue.on_load(busy, now);
    assert_eq!(queue.state(PriorityClass::Timely, 1, now).capacity.free, 0);
    assert!(matches!(queue.admit(request(now), now), Admission::Refuse(_)));
    let later = now + Duration::from_millis(300);
    assert_eq!(queue.admit(request(later), later), Admission::Run);
}

/// Guards against a line in the log for each run of an upstream that fails some of them.
#[test]
fn failures_are_logged_again_and_again() {
    let mut state = FailingState::default();
    let changes: Vec<_> = [5, 30, 20, 26, 10, 5, 20].map(|percent| state.update(percent)).into();
    let none = None;
    assert_eq!(changes, [none, Some(true), none, none, none, Some(false), none]);
}

/// Guards against an upstream that hangs and looks idle because its callers give up, and against one
/// whose slow runs count as failed.
#[test]
fn hanging_upstream_looks_idle() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.set_capacity(SLOTS, None);
    for _ in 0..20 {
        queue.record_overdue(now);
    }
    assert!(queue.capacity(now).failures > 50);
    let at_most_once = AdmissionRequest {
        sender: SenderId::default(),
        rank: 1,
        deadline: now + Duration::from_secs(1),
        wait_until: now,
        allow_slow: false,
        class: PriorityClass::Timely,
        at_most_once: true,
    };
    assert_eq!(queue.admit(at_most_once, now), Admission::Run);
    assert!(queue.capacity(now + Duration::from_secs(15)).failures < 5);
}

/// Guards against an ingress that takes a draining owner for a full one: it would wait there, be
/// refused at once and try again without a pause.
#[test]
fn closed_owner_looks_full() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.set_capacity(SLOTS, Some(ErrorKind::Draining));
    assert_eq!(queue.capacity(now).free, 4);
}
