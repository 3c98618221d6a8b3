//! Admission of requests at an owner.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    admission_queue::{
        Admission, AdmissionQueue, AdmissionRequest, ColdRate, Dequeued, PriorityClass,
        UpstreamLoad,
    },
    sender_share::SenderId,
};
use oleandertiller_model::ErrorKind;
use proptest::prelude::*;

fn queue(slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_capacity(slots, None);
    queue
}

fn request(now: Instant, wait: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank: 1,
        deadline: now + Duration::from_secs(5),
        wait_until: now + Duration::from_millis(wait),
        allow_slow: false,
        class: PriorityClass::Timely,
        at_most_once: false,
        sender: SenderId::default(),
    }
}

fn load(percent: u32) -> UpstreamLoad {
    UpstreamLoad { running: 0, waiting: 0, slots: 6, slowness: Some(percent) }
}

/// Guards against a request that starts in a slow period, in which it takes five times as long,
/// while another owner could run it.
#[test]
fn requests_are_refused_in_a_slow_period() {
    let now = Instant::now();
    let mut queue = queue(6);
    queue.on_load(load(500), now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Refuse(ErrorKind::Overloaded));
    let Admission::Wait(ticket) = queue.admit(request(now, 80), now) else { panic!("must wait") };
    assert_eq!(queue.dequeue(now), None);
    queue.on_load(load(100), now);
    assert_eq!(queue.dequeue(now), Some(Dequeued::Run(ticket)));
    let allow_slow = AdmissionRequest { allow_slow: true, ..request(now, 0) };
    queue.on_load(load(500), now);
    assert_eq!(queue.admit(allow_slow, now), Admission::Run);
}

/// Guards against a slot that is lost for good when a client leaves after its waiting request got
/// the slot and before the request was sent.
#[test]
fn slot_of_a_request_that_left_is_free_again() {
    let now = Instant::now();
    let mut queue = queue(1);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    let Admission::Wait(gone) = queue.admit(request(now, 80), now) else { panic!("must wait") };
    queue.release(None);
    assert_eq!(queue.dequeue(now), Some(Dequeued::Run(gone)));
    queue.withdraw(gone);
    let Admission::Run = queue.admit(request(now, 80), now) else { panic!("the slot is lost") };
    // A confirmed slot is freed once, by the end of the run.
    let Admission::Wait(sent) = queue.admit(request(now, 80), now) else { panic!("must wait") };
    queue.release(None);
    assert_eq!(queue.dequeue(now), Some(Dequeued::Run(sent)));
    queue.confirm(sent);
    queue.withdraw(sent);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Refuse(ErrorKind::Overloaded));
}

/// Guards against a request that waits longer than allowed, or at an upstream that is draining.
#[test]
fn wait_ends_with_refusal() {
    let now = Instant::now();
    let mut queue = queue(1);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    let Admission::Wait(ticket) = queue.admit(request(now, 50), now) else { panic!("must wait") };
    let later = now + Duration::from_millis(50);
    assert_eq!(queue.dequeue(later), Some(Dequeued::Refuse(ticket, ErrorKind::Overloaded)));
    let Admission::Wait(ticket) = queue.admit(request(later, 50), later) else {
        panic!("must wait")
    };
    queue.set_capacity(1, Some(ErrorKind::Draining));
    assert_eq!(queue.dequeue(later), Some(Dequeued::Refuse(ticket, ErrorKind::Draining)));
}

/// Guards against late requests that take the slots of those that can still be in time, and against
/// nested calls that wait behind new requests.
#[test]
fn waiting_requests_start_by_priority() {
    let now = Instant::now();
    let mut queue = queue(1);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    let mut wait = |class, rank| match queue
        .admit(AdmissionRequest { class, rank, ..request(now, 500) }, now)
    {
        Admission::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    let late = wait(PriorityClass::Late, 0);
    let usual = wait(PriorityClass::Timely, 2);
    let urgent = wait(PriorityClass::Timely, 1);
    let nested = wait(PriorityClass::Nested, 9);
    let mut order = Vec::new();
    for _ in 0..4 {
        queue.release(None);
        match queue.dequeue(now) {
            Some(Dequeued::Run(ticket)) => order.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(order, [nested, urgent, usual, late]);
}

/// Guards against a hedged request that takes the slots of first attempts or exceeds the limit of a
/// cold upstream.
#[test]
fn hedges_need_an_idle_warm_upstream() {
    let now = Instant::now();
    let mut queue = queue(4);
    let hedge = AdmissionRequest { class: PriorityClass::Hedge, ..request(now, 0) };
    assert_eq!(queue.admit(hedge, now), Admission::Run);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    assert!(matches!(queue.admit(hedge, now), Admission::Refuse(_)));
    let mut queue = self::queue(4);
    queue.set_cold_limit(Duration::from_secs(3), ColdRate::Limited(5.0), now);
    assert_eq!(queue.admit(hedge, now), Admission::Refuse(ErrorKind::Cold));
}

/// Guards against at-most-once requests that are sent to an upstream that loses answers while
/// others answer, and against an upstream that is never tried again.
#[test]
fn failing_upstream_is_avoided_for_a_while() {
    let now = Instant::now();
    let mut queue = queue(4);
    let at_most_once = AdmissionRequest { at_most_once: true, ..request(now, 0) };
    for _ in 0..3 {
        queue.record_outcome(true, now);
    }
    assert!(matches!(queue.admit(at_most_once, now), Admission::Refuse(_)));
    assert_eq!(
        queue.admit(request(now, 0), now),
        Admission::Run,
        "idempotent requests are still tried"
    );
    let allow_slow = AdmissionRequest { allow_slow: true, ..at_most_once };
    assert_eq!(queue.admit(allow_slow, now), Admission::Run, "no other owner is left");
    let later = now + Duration::from_secs(12);
    assert_eq!(
        queue.admit(AdmissionRequest { at_most_once: true, ..request(later, 0) }, later),
        Admission::Run
    );
}

/// Guards against a high-priority request whose expected wait includes requests that it overtakes.
#[test]
fn expected_wait_counts_only_higher_priorities() {
    let now = Instant::now();
    let mut queue = queue(2);
    for _ in 0..2 {
        let waiting = request(now, 500);
        assert_eq!(queue.admit(waiting, now), Admission::Run);
    }
    for _ in 0..20 {
        let usual = AdmissionRequest { rank: 2, ..request(now, 500) };
        assert!(matches!(queue.admit(usual, now), Admission::Wait(_)));
    }
    let urgent = queue.state(PriorityClass::Timely, 1, now).expected_wait;
    let usual = queue.state(PriorityClass::Timely, 2, now).expected_wait;
    assert!(urgent * 5 < usual, "{urgent:?} {usual:?}");
}

proptest! {
    /// Guards against more runs than slots, lost tickets, and more starts at a cold upstream than
    /// its limit allows in any second.
    #[test]
    fn slots_tickets_and_cold_rate_are_respected(
        slots in 1_u32..8,
        rate in 1_u32..20,
        steps in prop::collection::vec((0_u8..3, 0_u64..60, 0_u32..3), 1..300),
    ) {
        let start = Instant::now();
        let (mut now, mut queue) = (start, queue(slots));
        queue.set_cold_limit(Duration::from_secs(3), ColdRate::Limited(f64::from(rate)), start);
        let mut running = 0_u32;
        let mut waiting = std::collections::HashSet::new();
        let mut starts = Vec::new();
        for (action, pause, rank) in steps {
            now += Duration::from_millis(pause);
            match action {
                0 if running > 0 => {
                    queue.release(Some(Duration::from_millis(100)));
                    running -= 1;
                }
                1 => match queue.admit(AdmissionRequest { rank, ..request(now, 100) }, now) {
                    Admission::Run => {
                        running += 1;
                        starts.push(now);
                    }
                    Admission::Wait(ticket) => {
                        waiting.insert(ticket);
                    }
                    Admission::Refuse(_) => {}
                },
                _ => {
                    let _ = queue.admit(AdmissionRequest { rank, ..request(now, 0) }, now) == Admission::Run && {
                        running += 1;
                        starts.push(now);
                        true
                    };
                }
            }
            while let Some(dequeued) = queue.dequeue(now) {
                let ticket = match dequeued {
                    Dequeued::Run(ticket) => {
                        running += 1;
                        starts.push(now);
                        ticket
                    }
                    Dequeued::Refuse(ticket, _) => ticket,
                };
                prop_assert!(waiting.remove(&ticket));
            }
            prop_assert!(running <= slots);
            prop_assert_eq!(queue.waiting(), waiting.len());
        }
        let cold_end = start + Duration::from_secs(3);
        let cold: Vec<_> = starts.iter().filter(|at| **at < cold_end).collect();
        for end in &cold {
            let second = cold.iter().filter(|at| **at <= *end && **end - ***at < Duration::from_secs(1));
            // A burst of half a second's rate and one partial token; the users allow 1.5 times the
            // rate and five requests more.
            let bound = f64::from(rate) * 1.5 + 1.0;
            prop_assert!(second.count() as f64 <= bound);
        }
    }
}

/// Guards against a cold upstream that counts as always slow, since all its work takes longer:
/// requests would be postponed until they must start, and some would then start in slow periods.
#[test]
fn cold_upstream_has_normal_periods() {
    let now = Instant::now();
    let mut queue = queue(6);
    queue.set_cold_limit(Duration::from_secs(3), ColdRate::Limited(100.0), now);
    queue.on_load(load(200), now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    queue.on_load(load(1_000), now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Refuse(ErrorKind::Overloaded));
    let later = now + Duration::from_millis(50);
    queue.on_load(load(210), later);
    assert_eq!(queue.admit(request(later, 0), later), Admission::Run);
    // Once it is warm, the usual service time applies again.
    queue.set_cold_limit(Duration::ZERO, ColdRate::Limited(100.0), later);
    assert_eq!(queue.admit(request(later, 0), later), Admission::Refuse(ErrorKind::Overloaded));
}

/// Guards against requests that find no free slot in a normal period, because requests started in a
/// slow one hold their slots several times as long as usual.
#[test]
fn slow_period_starts_few_requests() {
    let now = Instant::now();
    let mut queue = queue(6);
    queue.on_load(load(500), now);
    let allow_slow = AdmissionRequest { allow_slow: true, ..request(now, 0) };
    assert_eq!(queue.admit(allow_slow, now), Admission::Run);
    assert_eq!(queue.admit(allow_slow, now), Admission::Run);
    assert_eq!(queue.admit(allow_slow, now), Admission::Refuse(ErrorKind::Overloaded));
    let nested = AdmissionRequest { class: PriorityClass::Nested, ..allow_slow };
    assert_eq!(queue.admit(nested, now), Admission::Run);
    queue.on_load(load(100), now);
    assert_eq!(queue.admit(allow_slow, now), Admission::Run);
}

/// Guards against an upstream that gets a single request right after its start, although it accepts
/// a burst as after any pause, and against more than 1.5 times its rate in any second.
#[test]
fn cold_upstream_accepts_a_burst() {
    let start = Instant::now();
    let mut queue = queue(50);
    queue.set_cold_limit(Duration::from_secs(3), ColdRate::Limited(12.0), start);
    let mut runs = Vec::new();
    for millis in 0..3_000 {
        let now = start + Duration::from_millis(millis);
        if queue.admit(request(now, 0), now) == Admission::Run {
            runs.push(now);
            queue.release(None);
        }
    }
    let burst = runs.iter().filter(|run| **run < start + Duration::from_millis(10));
    assert_eq!(burst.count(), 6);
    for from in &runs {
        let second =
            runs.iter().filter(|run| *run >= from && **run - *from < Duration::from_secs(1));
        let count = second.count();
        assert!(count <= 18, "{count} in a second");
    }
}

/// Guards against a cold upstream that ingresses take for one with a request limit, and so avoid
/// for seconds after it has warmed up: it is refused as cold, also in a slow period.
#[test]
fn cold_upstream_is_taken_for_a_limited_one() {
    let now = Instant::now();
    let mut queue = queue(8);
    queue.set_cold_limit(Duration::from_secs(3), ColdRate::Limited(2.0), now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
    let slow = UpstreamLoad { running: 1, waiting: 0, slots: 8, slowness: Some(900) };
    queue.on_load(slow, now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Refuse(ErrorKind::Cold));
    assert!(queue.state(PriorityClass::Timely, 1, now).is_rate_bound());
}

/// Guards against an owner that ends because its upstream says that it stays cold for ages.
#[test]
fn cold_time_without_end_is_accepted() {
    let now = Instant::now();
    let mut queue = queue(6);
    queue.set_cold_limit(Duration::MAX, ColdRate::Limited(5.0), now);
    assert_eq!(queue.admit(request(now, 0), now), Admission::Run);
}

/// Returns the number of requests that start in each second while as many arrive as possible; `change`
/// is called before each millisecond.
fn starts_per_second(
    queue: &mut AdmissionQueue,
    start: Instant,
    seconds: u64,
    mut change: impl FnMut(&mut AdmissionQueue, u64, Instant),
) -> Vec<usize> {
    let mut starts = vec![0; seconds as usize];
    for millis in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(millis);
        change(queue, millis, now);
        if queue.admit(request(now, 0), now) == Admission::Run {
            starts[millis as usize / 1_000] += 1;
            queue.release(None);
        }
    }
    starts
}

/// Guards against a cold upstream without any limit because no configuration is known, and against a
/// limit that is not replaced when one becomes known.
#[test]
fn unknown_cold_rate_is_taken_for_no_limit() {
    let start = Instant::now();
    let mut queue = queue(6);
    queue.set_cold_limit(Duration::from_secs(5), ColdRate::Unknown, start);
    let starts = starts_per_second(&mut queue, start, 7, |queue, millis, now| match millis {
        2_000 => queue.set_cold_rate(ColdRate::Limited(10.0), now),
        4_000 => queue.set_cold_rate(ColdRate::Unlimited, now),
        4_500 => queue.set_cold_rate(ColdRate::Limited(10.0), now),
        _ => {}
    });
    assert!(starts[..2].iter().all(|starts| (1..=3).contains(starts)), "{starts:?}");
    assert!(starts[2..4].iter().all(|starts| (9..=15).contains(starts)), "{starts:?}");
    assert!(starts[4] > 400, "{starts:?}");
    assert!(starts[5..].iter().all(|starts| *starts == 1_000), "{starts:?}");
}
