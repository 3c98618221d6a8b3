//! Allowed versions, assessment of the evidence, and steps of a rollout.

use std::{sync::Arc, time::Duration};

use oleandertiller_mesh::{
    exposure::ExposureLimit,
    rollout::{
        AllowedVersions, BAD_P_VALUE, BAD_P_VALUE_AT_FULL_SHARE, Evidence, Finding, Phase,
        RolloutPlan, RolloutProgress, Step, assess, next_step,
    },
};
use oleandertiller_model::VersionName;
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const EXPOSURE: ExposureLimit = ExposureLimit { share: 0.1, extra: 50.0 };

fn v(name: &str) -> VersionName {
    name.into()
}

fn plan(phase: Phase, share: f64) -> RolloutPlan {
    RolloutPlan { order_revision: 7, version: v("v2"), phase, share, started_ms: 0, reason: None }
}

/// Guards against a new version that serves before a leader observes it, or after it was rolled
/// back.
#[test]
fn allowed_versions_follow_the_rollout() {
    let (old, new) = (v("v1"), v("v2"));
    let allows = |plan: Option<&RolloutPlan>, order: Option<u64>| {
        let allowed = AllowedVersions::new(plan, order.map(|revision| (revision, &new)));
        (allowed.allows(&old), allowed.allows(&new))
    };
    assert_eq!(allows(None, None), (true, true));
    assert_eq!(allows(None, Some(7)), (true, false));
    assert_eq!(allows(Some(&plan(Phase::Running, 0.1)), Some(7)), (true, true));
    assert_eq!(allows(Some(&plan(Phase::Running, 1.0)), Some(7)), (false, true));
    assert_eq!(allows(Some(&plan(Phase::Completed, 1.0)), Some(7)), (false, true));
    assert_eq!(allows(Some(&plan(Phase::RolledBack, 0.0)), Some(7)), (true, false));
    assert_eq!(allows(Some(&plan(Phase::RolledBack, 0.0)), None), (true, false));
    let third = v("v3");
    let allowed = AllowedVersions::new(Some(&plan(Phase::Completed, 1.0)), Some((9, &third)));
    assert!(allowed.allows(&new) && !allowed.allows(&third));
}

fn evidence(old: (u64, u64), new: (u64, u64), new_ms: u64) -> Evidence {
    let route: Arc<str> = "r".into();
    let mut evidence = Evidence::default();
    for (version, (ended, failed), ms) in [("v1", old, 200), ("v2", new, new_ms)] {
        for n in 0..ended {
            let result = (n >= failed).then(|| Duration::from_millis(ms + n % 50));
            evidence.record(&v(version), &route, result);
        }
    }
    evidence
}

/// Guards against a bad version that goes unnoticed, and a good one that is rolled back.
#[test]
fn bad_versions_are_told_from_good_ones() {
    let assess_v2 = |evidence: &Evidence| assess(evidence, &v("v2"), BAD_P_VALUE);
    assert_eq!(assess_v2(&evidence((200, 1), (40, 0), 200)), Finding::Good(40));
    assert!(matches!(assess_v2(&evidence((200, 1), (12, 6), 200)), Finding::Bad(_)));
    assert!(matches!(assess_v2(&evidence((200, 1), (20, 0), 1_600)), Finding::Bad(_)));
    // A failure rate that both versions share is no fault of the new one.
    assert!(!matches!(assess_v2(&evidence((200, 60), (40, 12), 200)), Finding::Bad(_)));
    assert_eq!(assess_v2(&Evidence::default()), Finding::Good(0));
}

/// Guards against a version that is found bad because of a few failures on a route where the old
/// version has no answers: the old version's answers on all routes are the baseline there.
#[test]
fn route_without_baseline_uses_other_routes() {
    let rare: Arc<str> = "rare".into();
    let mut evidence = evidence((200, 60), (40, 12), 200);
    for _ in 0..4 {
        evidence.record(&v("v2"), &rare, None);
    }
    assert!(!matches!(assess(&evidence, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
    for _ in 0..20 {
        evidence.record(&v("v2"), &rare, None);
    }
    assert!(matches!(assess(&evidence, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
}

/// Guards against answers from before a change of load that hide the answers after it.
#[test]
fn window_holds_only_later_answers() {
    let before = evidence((200, 1), (60, 0), 200);
    let mut after = before.clone();
    after.merge(&evidence((0, 0), (14, 3), 200));
    assert!(!matches!(assess(&after, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
    let window = after.since(&before, &v("v2"));
    assert_eq!(window.answers(Some(&v("v2"))), 14);
    assert!(matches!(assess(&window, &v("v2"), BAD_P_VALUE_AT_FULL_SHARE), Finding::Bad(_)));
}

fn progress(elapsed: f64, answers_per_second: Option<f64>, new_answers: u64) -> RolloutProgress {
    RolloutProgress {
        elapsed: Duration::from_secs_f64(elapsed),
        time_limit: Duration::from_secs(16),
        new_is_serving: true,
        at_full_share: Duration::ZERO,
        answers_per_second,
        upstream_per_second: 60.0,
        new_answers,
        exposure: EXPOSURE,
    }
}

/// Guards against a version that completes without having been tested with all requests: the
/// servers of the old version stop at that moment.
#[test]
fn version_completes_after_a_time_at_full_share() {
    let good = Finding::Good(80);
    let full_share = plan(Phase::Running, 1.0);
    let now = progress(13.0, Some(80.0), 80);
    assert_eq!(next_step(&full_share, &good, &now), Step::Stay);
    let now = RolloutProgress { at_full_share: Duration::from_secs(2), ..now };
    assert_eq!(next_step(&full_share, &good, &now), Step::Complete);
    assert!(matches!(next_step(&full_share, &Finding::Bad("x".into()), &now), Step::RollBack(_)));
    let canary = plan(Phase::Running, 0.1);
    assert!(matches!(
        next_step(&canary, &good, &progress(15.0, Some(80.0), 80)),
        Step::RollBack(_)
    ));
    assert_eq!(next_step(&canary, &good, &progress(11.0, Some(80.0), 80)), Step::Share(1.0));
    let gone = RolloutProgress { new_is_serving: false, ..now };
    assert!(matches!(next_step(&full_share, &good, &gone), Step::Share(share) if share < 0.1));
}

/// Behavior of the new version.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Good,
    /// Fails a share of all requests from a given time on, in seconds.
    Fails(f64, f64),
    /// Fails a share of its requests while it gets more than a quarter of all.
    UnderLoad(f64),
}

/// Simulates a rollout at a request rate; returns how it ended and how many requests the new
/// version got.
fn simulate(behavior: Behavior, rate: f64, seed: u64) -> (Option<Phase>, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (time_limit, interval) = (16.0, 0.25);
    let routes: [Arc<str>; 2] = ["lookup".into(), "release".into()];
    let mut evidence = Evidence::default();
    let (mut share, mut new_requests, mut full_since) = (0.0, 0, None);
    let mut before = None;
    let mut time = 2.0;
    while time < time_limit {
        for _ in 0..(rate * interval) as u32 {
            let new = rng.random_bool(share);
            new_requests += u64::from(new);
            let failing = match behavior {
                Behavior::Good => 0.005,
                Behavior::Fails(part, from) if time >= from => part,
                Behavior::UnderLoad(part) if share > 0.25 => part,
                _ => 0.005,
            };
            let failed = rng.random_bool(if new { failing } else { 0.005 });
            let time = Duration::from_millis(rng.random_range(120..300));
            let route = &routes[usize::from(rng.random_bool(0.25))];
            evidence.record(&v(if new { "v2" } else { "v1" }), route, (!failed).then_some(time));
        }
        time += interval;
        let plan = plan(Phase::Running, share);
        let window = match share >= 1.0 {
            true => {
                full_since.get_or_insert(time);
                evidence.since(before.get_or_insert_with(|| evidence.clone()), &v("v2"))
            }
            false => Evidence::default(),
        };
        let finding = match assess(&window, &v("v2"), BAD_P_VALUE_AT_FULL_SHARE) {
            bad @ Finding::Bad(_) => bad,
            _ => assess(&evidence, &v("v2"), BAD_P_VALUE),
        };
        let at_full_share = full_since.map_or(0.0, |since: f64| time - since);
        let now = RolloutProgress {
            at_full_share: Duration::from_secs_f64(at_full_share),
            ..progress(time, (time > 3.2).then_some(rate), evidence.answers(Some(&v("v2"))))
        };
        match next_step(&plan, &finding, &now) {
            Step::Stay => {}
            Step::Share(new) => share = new,
            Step::Complete => return (Some(Phase::Completed), new_requests),
            Step::RollBack(_) => return (Some(Phase::RolledBack), new_requests),
        }
    }
    (None, new_requests)
}

/// Guards against a bad version that gets more requests than the operators allow, and against
/// rollouts without an end. The loads of 22 and 88 requests per second are those of the two
/// deployments.
#[test]
fn bad_versions_are_rolled_back_within_the_exposure() {
    for rate in [22.0, 88.0] {
        let allowed = (EXPOSURE.share * rate * 16.0 + EXPOSURE.extra) as u64;
        let behaviors =
            [Behavior::Fails(0.4, 0.0), Behavior::Fails(0.4, 5.0), Behavior::UnderLoad(0.4)];
        for behavior in behaviors {
            let mut over = 0;
            for seed in 0..100 {
                let (end, new_requests) = simulate(behavior, rate, seed);
                assert_eq!(end, Some(Phase::RolledBack), "{behavior:?} at {rate}, seed {seed}");
                over += u32::from(new_requests > allowed);
            }
            assert_eq!(over, 0, "{behavior:?} at {rate}: over {allowed} in {over} of 100");
        }
    }
}

/// Guards against good versions that are rolled back.
#[test]
fn good_versions_complete() {
    for rate in [22.0, 88.0] {
        let ends = (0..200).map(|seed| simulate(Behavior::Good, rate, seed).0);
        let completed = ends.filter(|end| *end == Some(Phase::Completed)).count();
        assert!(completed >= 190, "{completed} of 200 at {rate}");
    }
}

proptest! {
    /// Guards against evidence that depends on the order in which owners are asked.
    #[test]
    fn evidence_merges_in_any_order(counts in prop::collection::vec((0_u64..9, 0_u64..9), 2..6)) {
        let parts: Vec<_> = counts.iter().map(|(a, b)| evidence((*a, 0), (*b, *b / 2), 200)).collect();
        let (mut one, mut other) = (Evidence::default(), Evidence::default());
        parts.iter().for_each(|part| one.merge(part));
        parts.iter().rev().for_each(|part| other.merge(part));
        prop_assert_eq!(one, other);
    }
}

/// Guards against a rollout that starts over, or counts as done although it is a new one, because
/// its order has another revision after a restore of the store.
#[test]
fn plan_keeps_to_its_order_after_a_restore() {
    let done = plan(Phase::RolledBack, 0.0);
    for revision in [3, 7, 40] {
        let resumed = done.after_restore(7, revision).unwrap();
        assert_eq!(resumed, RolloutPlan { order_revision: revision, ..done.clone() });
    }
    assert_eq!(done.after_restore(8, 9), None, "the plan of an earlier order");
}
