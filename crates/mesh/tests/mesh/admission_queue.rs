//! The owner's gate.

use std::time::{Duration, Instant};

use oleandertiller_mesh::admission_queue::{
    Admission, AdmissionQueue, AdmissionRequest, Dequeued, PriorityClass, UpstreamLoad,
};
use oleandertiller_model::ErrorKind;
use proptest::prelude::*;

fn gate(slots: u32) -> AdmissionQueue {
    let mut gate = AdmissionQueue::default();
    gate.set_capacity(slots, None);
    gate
}

fn ask(now: Instant, wait: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank: 1,
        deadline: now + Duration::from_secs(5),
        wait_until: now + Duration::from_millis(wait),
        allow_slow: false,
        class: PriorityClass::Timely,
        at_most_once: false,
    }
}

fn slow(percent: u32) -> UpstreamLoad {
    UpstreamLoad { running: 0, waiting: 0, slots: 6, slowness: Some(percent) }
}

/// Guards against work that starts at a moment in which it takes five times as long, while
/// another owner could run it.
#[test]
fn a_slow_moment_hands_back() {
    let now = Instant::now();
    let mut gate = gate(6);
    gate.on_load(slow(500), now);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Refuse(ErrorKind::Overloaded));
    let Admission::Wait(ticket) = gate.admit(ask(now, 80), now) else { panic!("must wait") };
    assert_eq!(gate.dequeue(now), None);
    gate.on_load(slow(100), now);
    assert_eq!(gate.dequeue(now), Some(Dequeued::Run(ticket)));
    let at_any = AdmissionRequest { allow_slow: true, ..ask(now, 0) };
    gate.on_load(slow(500), now);
    assert_eq!(gate.admit(at_any, now), Admission::Run);
}

/// Guards against a request that waits at a gate which will not open in its time.
#[test]
fn a_wait_ends_with_a_refusal() {
    let now = Instant::now();
    let mut gate = gate(1);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Run);
    let Admission::Wait(ticket) = gate.admit(ask(now, 50), now) else { panic!("must wait") };
    let later = now + Duration::from_millis(50);
    assert_eq!(gate.dequeue(later), Some(Dequeued::Refuse(ticket, ErrorKind::Overloaded)));
    let Admission::Wait(ticket) = gate.admit(ask(later, 50), later) else { panic!("must wait") };
    gate.set_capacity(1, Some(ErrorKind::Draining));
    assert_eq!(gate.dequeue(later), Some(Dequeued::Refuse(ticket, ErrorKind::Draining)));
}

/// Guards against late requests that take the slots of those which can still be in time, and
/// against calls of running work that wait behind new work.
#[test]
fn waiting_requests_start_by_worth() {
    let now = Instant::now();
    let mut gate = gate(1);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Run);
    let mut wait =
        |class, rank| match gate.admit(AdmissionRequest { class, rank, ..ask(now, 500) }, now) {
            Admission::Wait(ticket) => ticket,
            other => panic!("{other:?}"),
        };
    let late = wait(PriorityClass::Late, 0);
    let usual = wait(PriorityClass::Timely, 2);
    let urgent = wait(PriorityClass::Timely, 1);
    let nested = wait(PriorityClass::Nested, 9);
    let mut order = Vec::new();
    for _ in 0..4 {
        gate.release(None);
        match gate.dequeue(now) {
            Some(Dequeued::Run(ticket)) => order.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(order, [nested, urgent, usual, late]);
}

/// Guards against a second run that takes the room of first ones or what a cold server bears.
#[test]
fn spare_runs_need_an_idle_warm_upstream() {
    let now = Instant::now();
    let mut gate = gate(4);
    let spare = AdmissionRequest { class: PriorityClass::Hedge, ..ask(now, 0) };
    assert_eq!(gate.admit(spare, now), Admission::Run);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Run);
    assert!(matches!(gate.admit(spare, now), Admission::Refuse(_)));
    let mut gate = self::gate(4);
    gate.set_cold_limit(Duration::from_secs(3), Some(5.0), now);
    assert_eq!(gate.admit(spare, now), Admission::Refuse(ErrorKind::Cold));
}

/// Guards against bookings that go on to be lost at an upstream that loses answers, while others
/// answer; and against an upstream that is never tried again.
#[test]
fn an_upstream_that_fails_is_passed_by_for_a_while() {
    let now = Instant::now();
    let mut gate = gate(4);
    let once = AdmissionRequest { at_most_once: true, ..ask(now, 0) };
    for _ in 0..3 {
        gate.record_outcome(true, now);
    }
    assert!(matches!(gate.admit(once, now), Admission::Refuse(_)));
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Run, "what may be repeated is tried");
    let anywhere = AdmissionRequest { allow_slow: true, ..once };
    assert_eq!(gate.admit(anywhere, now), Admission::Run, "better than nowhere");
    let later = now + Duration::from_secs(12);
    assert_eq!(
        gate.admit(AdmissionRequest { at_most_once: true, ..ask(later, 0) }, later),
        Admission::Run
    );
}

/// Guards against an urgent request that is told of a queue which it goes before.
#[test]
fn the_expected_wait_counts_only_what_goes_before() {
    let now = Instant::now();
    let mut gate = gate(2);
    for _ in 0..2 {
        let patient = ask(now, 500);
        assert_eq!(gate.admit(patient, now), Admission::Run);
    }
    for _ in 0..20 {
        let usual = AdmissionRequest { rank: 2, ..ask(now, 500) };
        assert!(matches!(gate.admit(usual, now), Admission::Wait(_)));
    }
    let urgent = gate.state(PriorityClass::Timely, 1).expected_wait;
    let usual = gate.state(PriorityClass::Timely, 2).expected_wait;
    assert!(urgent * 5 < usual, "{urgent:?} {usual:?}");
}

proptest! {
    /// Guards against more runs than slots, lost tickets, and more starts at a cold upstream than
    /// it bears in any second.
    #[test]
    fn slots_tickets_and_cold_rate_hold(
        slots in 1_u32..8,
        rate in 1_u32..20,
        steps in prop::collection::vec((0_u8..3, 0_u64..60, 0_u32..3), 1..300),
    ) {
        let start = Instant::now();
        let (mut now, mut gate) = (start, gate(slots));
        gate.set_cold_limit(Duration::from_secs(3), Some(f64::from(rate)), start);
        let mut running = 0_u32;
        let mut waiting = std::collections::HashSet::new();
        let mut starts = Vec::new();
        for (action, pause, rank) in steps {
            now += Duration::from_millis(pause);
            match action {
                0 if running > 0 => {
                    gate.release(Some(Duration::from_millis(100)));
                    running -= 1;
                }
                1 => match gate.admit(AdmissionRequest { rank, ..ask(now, 100) }, now) {
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
                    let _ = gate.admit(AdmissionRequest { rank, ..ask(now, 0) }, now) == Admission::Run && {
                        running += 1;
                        starts.push(now);
                        true
                    };
                }
            }
            while let Some(decided) = gate.dequeue(now) {
                let ticket = match decided {
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
            prop_assert_eq!(gate.waiting(), waiting.len());
        }
        let cold_end = start + Duration::from_secs(3);
        let cold: Vec<_> = starts.iter().filter(|at| **at < cold_end).collect();
        for end in &cold {
            let second = cold.iter().filter(|at| **at <= *end && **end - ***at < Duration::from_secs(1));
            // Half a second's at once and a token under way; the users allow 1.5 times the rate and
            // five requests more.
            let bound = f64::from(rate) * 1.5 + 1.0;
            prop_assert!(second.count() as f64 <= bound);
        }
    }
}

/// Guards against a cold upstream whose moments all count as slow, since all its work takes longer:
/// its starts were put off until any moment would do, and fell into the slow ones, too.
#[test]
fn a_cold_upstream_has_calm_moments_of_its_own() {
    let now = Instant::now();
    let mut gate = gate(6);
    gate.set_cold_limit(Duration::from_secs(3), Some(100.0), now);
    gate.on_load(slow(200), now);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Run);
    gate.on_load(slow(1_000), now);
    assert_eq!(gate.admit(ask(now, 0), now), Admission::Refuse(ErrorKind::Overloaded));
    let later = now + Duration::from_millis(50);
    gate.on_load(slow(210), later);
    assert_eq!(gate.admit(ask(later, 0), later), Admission::Run);
    // Once it is warm, the usual time counts again.
    gate.set_cold_limit(Duration::ZERO, Some(100.0), later);
    assert_eq!(gate.admit(ask(later, 0), later), Admission::Refuse(ErrorKind::Overloaded));
}

/// Guards against slots that are held several times as long by runs that start at slow moments,
/// while the calm moments find none free.
#[test]
fn slow_moments_start_little() {
    let now = Instant::now();
    let mut gate = gate(6);
    gate.on_load(slow(500), now);
    let forced = AdmissionRequest { allow_slow: true, ..ask(now, 0) };
    assert_eq!(gate.admit(forced, now), Admission::Run);
    assert_eq!(gate.admit(forced, now), Admission::Run);
    assert_eq!(gate.admit(forced, now), Admission::Refuse(ErrorKind::Overloaded));
    let nested = AdmissionRequest { class: PriorityClass::Nested, ..forced };
    assert_eq!(gate.admit(nested, now), Admission::Run);
    gate.on_load(slow(100), now);
    assert_eq!(gate.admit(forced, now), Admission::Run);
}

/// Guards against an upstream that has just started and bears a burst, as after any pause, but is
/// given one request; and against more in any second than half above its rate.
#[test]
fn a_cold_upstream_takes_a_burst_at_once() {
    let start = Instant::now();
    let mut gate = gate(50);
    gate.set_cold_limit(Duration::from_secs(3), Some(12.0), start);
    let mut runs = Vec::new();
    for millis in 0..3_000 {
        let now = start + Duration::from_millis(millis);
        if gate.admit(ask(now, 0), now) == Admission::Run {
            runs.push(now);
            gate.release(None);
        }
    }
    let first = runs.iter().filter(|run| **run < start + Duration::from_millis(10));
    assert_eq!(first.count(), 6);
    for from in &runs {
        let second =
            runs.iter().filter(|run| *run >= from && **run - *from < Duration::from_secs(1));
        let count = second.count();
        assert!(count <= 18, "{count} in a second");
    }
}
