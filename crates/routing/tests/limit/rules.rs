//! Single rules of the limiter.

use std::time::{Duration, Instant};

use oleandertiller_model::{ErrorKind, Lifecycle};
use oleandertiller_routing::limit::{
    Admission, AdmissionRequest, Completion, Decision, LimitConfig, Limiter,
};

use super::{MS, request, serving};

/// Runs `rounds` rounds of successes, each with as many requests at once as the limiter admits.
fn warm_up(limiter: &mut Limiter, now: &mut Instant, rounds: u32, latency: Duration) {
    for round in 0..rounds {
        run_round(limiter, now, u64::from(round) << 20, Completion::Success(latency), latency);
    }
}

/// Fills the limiter, then ends all requests alike after `took`; returns how many ran.
fn run_round(
    limiter: &mut Limiter,
    now: &mut Instant,
    first: u64,
    completion: Completion,
    took: Duration,
) -> u32 {
    let mut running = 0;
    let nested = |ticket| AdmissionRequest { depth: 1, ..request(ticket, *now) };
    while limiter.in_flight() < limiter.limit() {
        assert_eq!(limiter.admit(nested(first + u64::from(running)), *now), Admission::Run);
        running += 1;
    }
    *now += took;
    for _ in 0..running {
        assert!(limiter.release(completion, *now).is_empty());
    }
    running
}

/// Guards against a start at full load before the first successes.
#[test]
fn starts_at_the_cold_limit_and_ramps_by_successes() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 8, MS * 10);
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.limit(), 12);
}

/// Guards against a limit that grows while the upstream says that it is cold.
#[test]
fn announced_cold_stays_at_the_cold_limit() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    limiter.on_announce(Lifecycle::Cold, 12, true, now);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (1, Lifecycle::Cold));
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.limit(), 1);
    limiter.on_announce(Lifecycle::Serving, 12, false, now);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (1, Lifecycle::Serving));
}

/// Guards against a baseline taken from the slow answers of a cold upstream, which would hide a
/// later rise of latency.
#[test]
fn cold_latency_is_not_the_warm_baseline() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(LimitConfig::default());
    limiter.on_announce(Lifecycle::Cold, 6, true, now);
    warm_up(&mut limiter, &mut now, 100, MS * 50);
    limiter.on_announce(Lifecycle::Serving, 6, false, now);
    warm_up(&mut limiter, &mut now, 100, MS * 10);
    assert_eq!(limiter.limit(), 6);
    for round in 0..8 {
        let slower = Completion::Success(MS * 50);
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), slower, MS * 50);
    }
    assert_eq!(limiter.limit(), 1);
}

/// Guards against a restart that keeps the limit of the previous instance.
#[test]
fn restarted_instance_starts_cold_again() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    limiter.on_announce(Lifecycle::Serving, 12, true, now);
    assert_eq!(limiter.limit(), 1);
}

/// Guards against missing that an upstream has turned cold unannounced: failures or latency jump
/// although no more is in flight than before.
#[test]
fn detects_that_an_upstream_is_cold_again() {
    for bad in [Completion::Failure(MS * 10), Completion::Success(MS * 100)] {
        let mut now = Instant::now();
        let mut limiter = serving(LimitConfig::default(), 6, now);
        warm_up(&mut limiter, &mut now, 400, MS * 10);
        for round in 0..8 {
            run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), bad, MS * 10);
            if limiter.lifecycle() == Lifecycle::Cold {
                break;
            }
        }
        assert_eq!((limiter.lifecycle(), limiter.limit()), (Lifecycle::Cold, 1), "{bad:?}");
    }
}

/// Guards against an upstream that stays at the cold limit after it has recovered.
#[test]
fn recovers_from_a_detected_cold_state() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 6, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    for round in 0..8 {
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), Completion::Failure(MS), MS);
    }
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 1_000, MS * 10);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (6, Lifecycle::Serving));
}

/// Guards against a limit that stays the same when latency rises moderately.
#[test]
fn limit_decreases_when_latency_rises() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    for round in 0..8 {
        let slower = Completion::Success(MS * 25);
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), slower, MS * 25);
    }
    assert!(limiter.limit() < 12, "{}", limiter.limit());
    assert_eq!(limiter.lifecycle(), Lifecycle::Serving);
}

/// Guards against fast failures that raise the limit or lower the reported service time.
#[test]
fn fast_failures_are_not_good_latency() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    let before = limiter.service_time();
    for round in 0..50 {
        let failure = Completion::Failure(Duration::from_micros(50));
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), failure, MS);
    }
    assert_eq!(limiter.service_time(), before);
    assert_eq!(limiter.limit(), 1);
}

/// Guards against a queue ordered by arrival: heavier kinds go first, then earlier deadlines.
#[test]
fn queue_is_ordered_by_weight_then_deadline() {
    let now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    assert_eq!(limiter.admit(request(1, now), now), Admission::Run);
    let waits = [(2, 1, 900), (3, 10, 900), (4, 10, 500), (5, 1, 500)];
    for (ticket, weight, ms) in waits {
        let request = AdmissionRequest { ticket, weight, depth: 0, deadline: now + MS * ms };
        assert_eq!(limiter.admit(request, now), Admission::Wait);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        order.extend(limiter.release(Completion::Success(MS), now).iter().map(|d| d.ticket));
    }
    assert_eq!(order, [4, 3, 5, 2]);
}

/// Guards against light requests that keep heavier ones out of a full queue.
#[test]
fn full_queue_sheds_the_lightest() {
    let now = Instant::now();
    let cfg = LimitConfig { max_queued: 2, ..LimitConfig::default() };
    let mut limiter = serving(cfg, 1, now);
    assert_eq!(limiter.admit(request(1, now), now), Admission::Run);
    assert_eq!(limiter.admit(request(2, now), now), Admission::Wait);
    assert_eq!(limiter.admit(request(3, now), now), Admission::Wait);
    let heavy = AdmissionRequest { weight: 10, ..request(4, now) };
    assert_eq!(limiter.admit(heavy, now), Admission::Wait);
    assert_eq!(limiter.admit(request(5, now), now), Admission::Refuse(ErrorKind::Overloaded));
    let refused: Vec<_> = limiter.expire(now).into_vec();
    let refusal = Admission::Refuse(ErrorKind::Overloaded);
    assert_eq!(refused, [Decision { ticket: 3, admission: refusal }]);
}

/// Guards against a request that waits although it can no longer end in time.
#[test]
fn refuses_at_once_what_cannot_finish_in_time() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    warm_up(&mut limiter, &mut now, 50, MS * 100);
    assert_eq!(limiter.admit(request(1 << 50, now), now), Admission::Run);
    let short =
        AdmissionRequest { ticket: (1 << 50) + 1, weight: 1, depth: 0, deadline: now + MS * 150 };
    assert_eq!(limiter.admit(short, now), Admission::Refuse(ErrorKind::Overloaded));
}

/// Guards against requests from clients that take all slots and leave none to nested calls.
#[test]
fn reserve_is_kept_for_nested_calls() {
    for slots in 2..=32 {
        let mut now = Instant::now();
        let mut limiter = serving(LimitConfig::default(), slots, now);
        warm_up(&mut limiter, &mut now, 2_000, MS * 10);
        assert_eq!(limiter.limit(), slots);
        let mut ticket = 1 << 50;
        while limiter.admit(request(ticket, now), now) == Admission::Run {
            ticket += 1;
        }
        let nested = AdmissionRequest { depth: 1, ..request(ticket + 1, now) };
        assert_eq!(limiter.admit(nested, now), Admission::Run, "{slots} slots");
    }
}

/// Guards against refusals with an error kind that does not match the state of the upstream.
#[test]
fn refusals_name_the_state() {
    let now = Instant::now();
    let cfg = LimitConfig { max_queued: 0, ..LimitConfig::default() };
    let mut limiter = Limiter::new(cfg);
    assert_eq!(limiter.admit(request(1, now), now), Admission::Refuse(ErrorKind::NoUpstream));
    limiter.on_announce(Lifecycle::Cold, 6, true, now);
    assert_eq!(limiter.admit(request(2, now), now), Admission::Run);
    assert_eq!(limiter.admit(request(3, now), now), Admission::Refuse(ErrorKind::Cold));
    limiter.on_announce(Lifecycle::Draining, 6, false, now);
    assert_eq!(limiter.admit(request(4, now), now), Admission::Refuse(ErrorKind::Draining));
    let late = AdmissionRequest { deadline: now, ..request(5, now) };
    assert_eq!(limiter.admit(late, now), Admission::Refuse(ErrorKind::DeadlineExceeded));
}

/// Guards against requests that keep waiting at a draining upstream.
#[test]
fn draining_refuses_waiting_requests() {
    let now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    assert_eq!(limiter.admit(request(1, now), now), Admission::Run);
    assert_eq!(limiter.admit(request(2, now), now), Admission::Wait);
    limiter.on_announce(Lifecycle::Draining, 1, false, now);
    let refusal = Admission::Refuse(ErrorKind::Draining);
    assert_eq!(limiter.expire(now).into_vec(), [Decision { ticket: 2, admission: refusal }]);
}

/// Guards against counting a timeout as a failure of the upstream if the request started late.
#[test]
fn short_timeouts_do_not_count_as_failures() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 6, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.classify_timeout(MS * 15), Completion::Ignored);
    assert_eq!(limiter.classify_timeout(MS * 250), Completion::Failure(MS * 250));
}
