//! Early refusal, and the shares of ranks and senders while capacity is short.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    admission_queue::{
        Admission, AdmissionQueue, AdmissionRequest, ColdRate, Dequeued, OwnerState, PriorityClass,
    },
    capacity_view::{CapacityView, Change, MAX_REPORT_AGE, Need, Shortage, Size, Verdict},
    latency_estimate::LatencyEstimate,
    nested_calls::NestedCalls,
    retry_after::retry_after,
    sender_share::SenderId,
    upstream_capacity::UpstreamCapacity,
};
use oleandertiller_model::{NodeName, ServiceName};
use proptest::prelude::*;

use crate::crowd::{Crowd, Load, Outcome, run};

fn size(owners: usize) -> Size {
    Size { owners: [("z1".into(), owners)].into(), senders: 20 }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn load(rank: u32, per_second: f64, times_ms: [u64; 3]) -> Load {
    let [work, objective, deadline] = times_ms.map(ms);
    Load { rank, per_second, work, objective, deadline, nested: false }
}

/// Three routes on one service; at a factor of 1 its slots are nearly full.
fn three_ranks(factor: f64) -> Crowd {
    Crowd {
        upstreams: 18,
        slots: 9,
        ingresses: 40,
        cold_rate: None,
        loads: vec![
            load(0, 400.0 * factor, [110, 250, 800]),
            load(1, 170.0 * factor, [140, 400, 1_000]),
            load(2, 180.0 * factor, [260, 1_200, 2_000]),
        ],
        first_ingress_share: None,
        duration: ms(6_000),
        use_view: true,
    }
}

fn served_share(outcomes: &[Outcome]) -> f64 {
    let served: u32 = outcomes.iter().map(|outcome| outcome.in_time + outcome.late).sum();
    let requests: u32 = outcomes.iter().map(|outcome| outcome.requests).sum();
    f64::from(served) / f64::from(requests)
}

fn state(wait: Duration, turned_away: Option<u32>) -> OwnerState {
    OwnerState {
        running: 9,
        waiting: 3,
        slots: 9,
        slowness: 100,
        expected_wait: wait,
        capacity: UpstreamCapacity::UNKNOWN,
        starts_per_minute: 600,
        turned_away: turned_away.map(|rank| (PriorityClass::Timely, rank)),
        calls_wait: Duration::ZERO,
    }
}

fn node(index: usize) -> NodeName {
    format!("node-{index}").as_str().into()
}

fn need(service: &ServiceName, rank: u32, max_wait_ms: u64) -> Need<'_> {
    let (priority, max_wait) = ((PriorityClass::Timely, rank), ms(max_wait_ms));
    Need { service, route: "route", priority, max_wait }
}

/// Returns a view in which `owners` owners have turned away rank 1 at `now`.
fn full_view(service: &ServiceName, owners: usize, now: Instant) -> CapacityView {
    let mut view = CapacityView::default();
    for owner in 0..owners {
        let priority = (PriorityClass::Timely, 1);
        view.on_state(service, (&node(owner), &"z1".into()), priority, state(ms(40), Some(1)), now);
    }
    view
}

/// Guards against a crowd in which urgent requests are passed by others, or others get nothing, and
/// against offers in vain: each costs the nodes' machines as much as a request that is served.
#[test]
fn crowd_over_capacity_is_served_by_rank() {
    for factor in [1.5, 2.5, 5.0] {
        let crowd = three_ranks(factor);
        let outcomes = run(&crowd, 1);
        let all = served_share(&outcomes);
        for pair in outcomes.windows(2) {
            let (urgent, other) = (pair[0].served_share(), pair[1].served_share());
            assert!(urgent > other - 0.05, "served {urgent}, less urgent {other}, times {factor}");
        }
        for outcome in &outcomes {
            assert!(outcome.served_share() > all / 4.0, "{outcome:?}, all {all}, times {factor}");
        }
        let offers = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.offers).sum::<u32>();
        let without_view = run(&Crowd { use_view: false, ..crowd }, 1);
        let (with, without) = (offers(&outcomes), offers(&without_view));
        assert!(with * 2 < without, "{with} offers, {without} without the view");
        assert!(outcomes[0].in_time_share() > without_view[0].in_time_share() - 0.02);
    }
}

/// Guards against refusals while the upstreams have capacity for all.
#[test]
fn crowd_within_capacity_is_served() {
    for outcome in run(&three_ranks(0.9), 2) {
        assert!(outcome.in_time_share() > 0.97, "{outcome:?}");
    }
}

/// Guards against a cold start of all upstreams in which most answers are late, because requests
/// that cannot be in time any more take what the upstreams may start.
#[test]
fn cold_start_of_all_upstreams_serves_in_time() {
    let crowd = Crowd { cold_rate: Some(14.0), duration: ms(3_000), ..three_ranks(0.5) };
    let outcomes = run(&crowd, 1);
    assert!(outcomes[0].in_time_share() > 0.85, "{outcomes:?}");
    assert!(outcomes[1].in_time_share() > 0.3, "{outcomes:?}");
    let late: u32 = outcomes.iter().map(|outcome| outcome.late).sum();
    let in_time: u32 = outcomes.iter().map(|outcome| outcome.in_time).sum();
    assert!(late * 8 < in_time, "{outcomes:?}");
    // The urgent route alone exceeds what the upstreams may start: 433 requests for 364.
    let loads = vec![load(0, 433.0, [110, 250, 800])];
    let outcomes = run(&Crowd { upstreams: 26, loads, ..crowd }, 1);
    assert!(outcomes[0].in_time_share() > 0.75, "{outcomes:?}");
}

/// Guards against nested calls that take all of a service to which clients send requests as well.
#[test]
fn nested_calls_leave_a_share() {
    let nested = Load { nested: true, ..load(0, 303.0, [26, 100, 300]) };
    let loads = vec![nested, load(1, 168.0, [140, 400, 1_000])];
    let crowd = Crowd { cold_rate: Some(14.0), duration: ms(3_000), loads, ..three_ranks(1.0) };
    let outcomes = run(&crowd, 1);
    let all = served_share(&outcomes);
    assert!(outcomes[0].served_share() > 0.65, "{outcomes:?}");
    assert!(outcomes[1].served_share() > all / 5.0, "{outcomes:?}, all {all}");
}

/// Guards against a node whose clients send ten times as much as those of the others and thereby
/// take the others' share.
#[test]
fn burst_of_one_sender_leaves_the_others_their_share() {
    let first_ingress_share = Some(10.0 / 49.0);
    let outcomes = run(&Crowd { first_ingress_share, ..three_ranks(4.0) }, 1);
    let [urgent, ..] = &outcomes[..] else { panic!("no outcome") };
    let (sent, answered) = urgent.first_ingress;
    let first = f64::from(answered) / f64::from(sent);
    let others =
        f64::from(urgent.in_time + urgent.late - answered) / f64::from(urgent.requests - sent);
    assert!(others > first * 1.5, "first {first}, others {others}");
    // All ingresses ask for more than an equal share of what is served, so each is to get nearly
    // that. By their demand, the others would get four fifths of it.
    let served = f64::from(urgent.in_time + urgent.late);
    let each_other = (served - f64::from(answered)) / 39.0;
    assert!(each_other > 0.9 * served / 40.0, "each other {each_other} of {served}");
}

/// Guards against refusals on the word of peers that are late, gone or too few.
#[test]
fn old_and_few_reports_refuse_nothing() {
    let (start, service): (_, ServiceName) = (Instant::now(), "service".into());
    let need = need(&service, 1, 200);
    let mut view = full_view(&service, 6, start);
    assert!(matches!(view.decide(&need, &size(8), start, 0.9), Verdict::Refuse { .. }));
    assert!(view.is_full(&node(0), &need, start));
    let late = start + MAX_REPORT_AGE;
    assert_eq!(view.decide(&need, &size(8), late, 0.9), Verdict::Offer);
    assert!(!view.is_full(&node(0), &need, late));
    let mut view = full_view(&service, 6, start);
    for gone in 0..3 {
        view.forget_owner(&node(gone));
    }
    assert_eq!(view.decide(&need, &size(8), start, 0.9), Verdict::Offer);
    // Of a small service, all owners must have reported.
    let mut view = full_view(&service, 2, start);
    assert_eq!(view.decide(&need, &size(3), start, 0.9), Verdict::Offer);
    // The owners of another zone may have capacity.
    let mut view = full_view(&service, 6, start);
    let mut two_zones = size(8);
    two_zones.owners.insert("z2".into(), 8);
    assert_eq!(view.decide(&need, &two_zones, start, 0.9), Verdict::Offer);
    assert_eq!(CapacityView::default().decide(&need, &size(8), start, 0.9), Verdict::Offer);
}

/// Guards against a shortage that never ends because nobody asks any more, and against log lines for
/// each request of it.
#[test]
fn shortage_is_probed_and_logged_once() {
    let (start, service): (_, ServiceName) = (Instant::now(), "service".into());
    let mut view = full_view(&service, 8, start);
    assert_eq!(
        view.decide(&need(&service, 1, 200), &size(8), start, 0.01),
        Verdict::Probe(Shortage::Service)
    );
    assert_eq!(view.on_decided(&service, true, start), Some(Change::Begun));
    assert_eq!(view.on_decided(&service, true, start + ms(500)), None);
    assert_eq!(view.on_decided(&service, false, start + ms(600)), None);
    assert_eq!(view.on_decided(&service, false, start + ms(2_600)), Some(Change::Ended));
    assert_eq!(view.on_decided(&service, false, start + ms(2_700)), None);
}

/// Guards against parents that are started although the service of their calls is full, and against
/// a route that stays blocked after one of its requests was answered.
#[test]
fn full_service_of_nested_calls_blocks_the_parents_route() {
    let (now, service, callee): (_, ServiceName, ServiceName) =
        (Instant::now(), "service".into(), "callee".into());
    let mut calls = NestedCalls::default();
    for request in 0..10 {
        calls.on_request(&"route".into(), now);
        if request % 10 < 7 {
            calls.on_call(&"route".into(), &callee, now);
        }
    }
    calls.on_call(&"route".into(), &"seldom-called".into(), now);
    assert_eq!(calls.services("route").collect::<Vec<_>>(), [&callee]);
    let mut view = CapacityView::default();
    let need = need(&service, 0, 150);
    view.on_calls(&"route".into(), Some(ms(90)), now);
    assert_eq!(view.decide(&need, &size(8), now, 0.9), Verdict::Offer);
    view.on_calls(&"route".into(), Some(ms(90)), now);
    let Verdict::Refuse { shortage, expected_wait } = view.decide(&need, &size(8), now, 0.9) else {
        panic!("the request must be refused");
    };
    assert_eq!(shortage, Shortage::Calls);
    assert!(expected_wait >= ms(90));
    view.on_calls(&"route".into(), None, now);
    assert_eq!(view.decide(&need, &size(8), now, 0.9), Verdict::Offer);
}

/// Guards against parents that are refused while some of their calls would find capacity: a request
/// that runs is worth more than one that is refused.
#[test]
fn parents_are_held_back_only_by_a_full_service() {
    let (now, callee): (_, ServiceName) = (Instant::now(), "callee".into());
    for (full, held_back) in [(10, true), (8, false)] {
        let mut view = CapacityView::default();
        for owner in 0..10 {
            let priority = (PriorityClass::Nested, 0);
            let wait = if owner < full { ms(400) } else { ms(0) };
            view.on_state(&callee, (&node(owner), &"z1".into()), priority, state(wait, None), now);
        }
        let (priority, max_wait) = ((PriorityClass::Nested, 0), ms(240));
        let need = Need { service: &callee, route: "route", priority, max_wait };
        assert_eq!(view.calls_shortage(&need, &size(10), now).is_some(), held_back);
        // What is full for an urgent request is full for all others.
        let other = Need { priority: (PriorityClass::Nested, 2), ..need };
        assert_eq!(view.calls_shortage(&other, &size(10), now).is_some(), held_back);
    }
}

/// Guards against requests that count as timely in a cold start of all upstreams until many of them
/// were late.
#[test]
fn expected_time_follows_the_upstreams() {
    let (now, service): (_, ServiceName) = (Instant::now(), "service".into());
    let mut view = CapacityView::default();
    for owner in 0..8 {
        let slowness = if owner < 2 { 1_000 } else { 200 };
        let cold = OwnerState { slowness, ..state(ms(0), None) };
        let priority = (PriorityClass::Timely, 0);
        view.on_state(&service, (&node(owner), &"z1".into()), priority, cold, now);
    }
    let cold = view.slowness(&service, now);
    assert_eq!(cold, Some(2.0));
    assert_eq!(view.slowness(&service, now + MAX_REPORT_AGE), None);
    let mut estimate = LatencyEstimate::new(ms(250));
    (0..100).for_each(|_| estimate.record(ms(120), Some(1.0)));
    assert!(estimate.expected(cold) > ms(235), "{:?}", estimate.expected(cold));
    (0..100).for_each(|_| estimate.record(ms(240), cold));
    let expected = estimate.expected(cold);
    assert!((ms(235)..ms(260)).contains(&expected), "{expected:?}");
    assert!(estimate.expected(Some(1.0)) < ms(130));
}

proptest! {
    /// Guards against ranks that get nothing from an upstream that starts less than they ask for,
    /// against a start that is lost, and against a lower rank that gets more than a higher one.
    #[test]
    fn starts_of_all_ranks_sum_to_the_rate(rate in 8_u32..40, order in Just([0_u32, 1, 2]).prop_shuffle()) {
        let start = Instant::now();
        let (mut now, mut queue, mut starts) = (start, AdmissionQueue::default(), [0_u32; 3]);
        queue.set_capacity(1_000, None);
        queue.set_cold_limit(ms(60_000), ColdRate::Limited(f64::from(rate)), start);
        while now < start + ms(20_000) {
            for rank in order {
                // Each rank alone asks for more than the rate.
                let request = AdmissionRequest {
                    rank,
                    deadline: now + ms(2_000),
                    wait_until: now + ms(200),
                    allow_slow: false,
                    class: PriorityClass::Timely,
                    at_most_once: false,
                    sender: SenderId::default(),
                };
                starts[rank as usize] += u32::from(queue.admit(request, now) == Admission::Run);
            }
            while let Some(dequeued) = queue.dequeue(now) {
                if let Dequeued::Run(ticket) = dequeued {
                    starts[ticket.rank() as usize] += 1;
                }
            }
            now += ms(20);
        }
        let (total, allowed) = (f64::from(starts.iter().sum::<u32>()), f64::from(rate) * 20.0);
        prop_assert!(total >= allowed * 0.95 && total <= allowed + f64::from(rate), "{starts:?}");
        prop_assert!(f64::from(starts[0]) >= total * 0.7, "{starts:?}");
        prop_assert!(starts[1] > starts[2], "{starts:?}");
        // A third of the demand at a quarter of the share of all.
        prop_assert!(f64::from(starts[2]) >= total / 12.0, "{starts:?}");
    }

    /// Guards against a request that is refused although a less urgent one would be offered.
    #[test]
    fn no_rank_passes_a_more_urgent_one(
        reports in prop::collection::vec((0_u32..3, 0_u64..400, prop::option::of(0_u32..3)), 1..10),
        age in 0_u64..400,
        draw in 0.0..1.0_f64,
    ) {
        let (start, service): (_, ServiceName) = (Instant::now(), "service".into());
        let mut view = CapacityView::default();
        for (owner, (rank, wait, turned_away)) in reports.into_iter().enumerate() {
            let priority = (PriorityClass::Timely, rank);
            view.on_state(&service, (&node(owner), &"z1".into()), priority, state(ms(wait), turned_away), start);
        }
        let mut refused = false;
        for rank in 0..3 {
            let verdict = view.decide(&need(&service, rank, 200), &size(8), start + ms(age), draw);
            let refuses = matches!(verdict, Verdict::Refuse { .. });
            prop_assert!(refuses || !refused, "rank {rank} is offered, a more urgent one not");
            refused = refuses;
        }
    }

    /// Guards against a time that clients ignore, and against clients that all return at once.
    #[test]
    fn retry_after_is_spread_within_a_third(wait in 0_u64..5_000, remaining in 1_u64..5_000) {
        let times: Vec<_> =
            (0..=10).map(|n| retry_after(ms(wait), ms(remaining), f64::from(n) / 10.0)).collect();
        prop_assert!(times.iter().all(|time| *time <= ms(remaining) / 3));
        prop_assert!(times[10] >= times[0].mul_f64(1.5));
    }
}

/// Guards against clients that are told to return faster than the service can start requests.
#[test]
fn returns_follow_the_rate() {
    let (start, service): (_, ServiceName) = (Instant::now(), "service".into());
    let mut view = full_view(&service, 8, start);
    // 8 owners with 10 starts per second each, shared by 20 nodes: one start in 250 ms.
    let need = need(&service, 1, 2_000);
    let mut told = |at| match view.decide(&need, &size(8), at, 0.9) {
        Verdict::Refuse { expected_wait, .. } => at + expected_wait,
        verdict => panic!("{verdict:?}"),
    };
    let times = [told(start), told(start + ms(1)), told(start + ms(2))];
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= ms(249)), "{times:?}");
}
