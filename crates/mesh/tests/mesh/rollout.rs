//! Allowed versions, assessment of the evidence, and steps of a rollout.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    exposure::{ExposureLimit, RequestCounts},
    rollout::{
        AllowedVersions, Assessor, BAD_P_VALUE, Evidence, Finding, Phase, RolloutPlan,
        RolloutProgress, Step, assess, next_step,
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
    RolloutPlan {
        order_revision: 7,
        version: v("v2"),
        phase,
        share,
        started_ms: 0,
        reason: None,
        exposed: 0,
    }
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
    // The old version serves what the new one may not get.
    assert_eq!(allows(Some(&plan(Phase::Running, 1.0)), Some(7)), (true, true));
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

/// Guards against earlier good answers that hide a version that has turned bad.
#[test]
fn recent_failures_are_not_hidden_by_earlier_answers() {
    let mut assessor = Assessor::default();
    let canary = plan(Phase::Running, 0.02);
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let mut all = evidence((400, 2), (160, 0), 200);
    for step in 0..12 {
        let finding = assessor.assess(&all, &canary, at(f64::from(step) * 0.25));
        assert_eq!(finding, Finding::Good(160));
    }
    all.merge(&evidence((0, 0), (8, 4), 200));
    assert!(!matches!(assess(&all, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
    assert!(matches!(assessor.assess(&all, &canary, at(3.0)), Finding::Bad(_)));
}

/// Records `runs` runs of a version on one route, of which `slow` in 100 take six times as long; a run
/// without an end after `hedged_ms` is abandoned in four of five cases, once the second upstream has
/// answered.
fn record_hedged(evidence: &mut Evidence, version: &str, slow: u64, runs: u64, hedged_ms: u64) {
    let route: Arc<str> = "r".into();
    let mut rng = StdRng::seed_from_u64(5);
    for n in 0..runs {
        let usual = rng.random_range(150..280);
        let time = if n * 37 % 100 < slow { usual * 6 } else { usual };
        let answered_elsewhere = hedged_ms + rng.random_range(150..280);
        match time > answered_elsewhere && n % 5 != 0 {
            true => {
                let time = Duration::from_millis(answered_elsewhere);
                evidence.record_abandoned(&v(version), &route, time);
            }
            false => {
                evidence.record(&v(version), &route, Some(Duration::from_millis(time)));
            }
        }
    }
}

/// Guards against a slow version that completes because its slow runs are abandoned when a hedged
/// request has an answer, and so do not count.
#[test]
fn abandoned_runs_hide_a_slow_version() {
    let mut slow = Evidence::default();
    record_hedged(&mut slow, "v1", 0, 300, 350);
    let mut good = slow.clone();
    record_hedged(&mut slow, "v2", 35, 60, 350);
    assert!(matches!(assess(&slow, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
    record_hedged(&mut good, "v2", 0, 60, 350);
    assert!(matches!(assess(&good, &v("v2"), BAD_P_VALUE), Finding::Good(_)));
    // Both versions run on machines that are slow now and then.
    let mut noisy = Evidence::default();
    record_hedged(&mut noisy, "v1", 10, 300, 350);
    record_hedged(&mut noisy, "v2", 10, 100, 350);
    assert!(!matches!(assess(&noisy, &v("v2"), BAD_P_VALUE), Finding::Bad(_)));
    // Runs that are abandoned early, as by clients that leave, say nothing of the version.
    for _ in 0..50 {
        good.record_abandoned(&v("v2"), &"r".into(), Duration::from_millis(90));
    }
    assert!(matches!(assess(&good, &v("v2"), BAD_P_VALUE), Finding::Good(60)));
}

/// Guards against a version that a new leader completes by answers from before it took over.
#[test]
fn new_leader_has_no_recent_answers() {
    let mut assessor = Assessor::default();
    let (full_share, now) = (plan(Phase::Running, 1.0), Instant::now());
    let mut all = evidence((400, 2), (80, 0), 200);
    assert_eq!(assessor.assess(&all, &full_share, now), Finding::Good(80));
    assert_eq!(assessor.recent_answers(), 0);
    all.merge(&evidence((0, 0), (9, 0), 200));
    assessor.assess(&all, &full_share, now + Duration::from_secs(1));
    assert_eq!(assessor.recent_answers(), 9);
    let waiting = RolloutProgress {
        recent_answers: 0,
        at_full_share: Duration::from_secs(1),
        ..progress(15.5)
    };
    assert_eq!(next_step(&full_share, &Finding::Good(80), &waiting), Step::Stay);
}

/// Guards against a full share that goes on for longer than a second because a fault that shows
/// only there counts as chance.
#[test]
fn few_failures_at_full_share_are_enough() {
    let mut assessor = Assessor::default();
    let full_share = plan(Phase::Running, 1.0);
    let now = Instant::now();
    let mut all = evidence((200, 1), (60, 0), 200);
    assessor.assess(&all, &plan(Phase::Running, 0.02), now);
    assert_eq!(assessor.at_full_share(now), Duration::ZERO);
    let later = now + Duration::from_secs(3);
    assessor.assess(&all, &plan(Phase::Running, 0.02), later);
    let since = later;
    let later = later + Duration::from_millis(250);
    assert_eq!(assessor.assess(&all, &full_share, later), Finding::Good(60));
    all.merge(&evidence((0, 0), (14, 3), 200));
    assert!(matches!(assessor.assess(&all, &full_share, later), Finding::Bad(_)));
    // It has been set after the assessment before the first one that finds it.
    let end = since + Duration::from_secs(1);
    assert_eq!(assessor.at_full_share(end), Duration::from_secs(1));
}

/// Progress of a service with 80 requests per second since the order, without any to the new version.
fn progress(elapsed: f64) -> RolloutProgress {
    let counts = RequestCounts { all: (80.0 * elapsed) as u64, new: 0 };
    RolloutProgress {
        elapsed: Duration::from_secs_f64(elapsed),
        time_limit: Duration::from_secs(16),
        new_is_serving: true,
        at_full_share: Duration::ZERO,
        suspect: false,
        recent_answers: 20,
        requests_per_second: Some(80.0),
        upstream_per_second: 60.0,
        old_running: 20,
        counts,
        committed: counts,
        exposure: EXPOSURE,
    }
}

/// Guards against a version that completes without having been tested with all requests: the
/// servers of the old version stop at that moment.
#[test]
fn version_completes_after_a_time_at_full_share() {
    let good = Finding::Good(80);
    let full_share = plan(Phase::Running, 1.0);
    let now = progress(15.5);
    let after = |at_full_share: f64, elapsed: f64, per_second: f64| {
        let now = RolloutProgress {
            at_full_share: Duration::from_secs_f64(at_full_share),
            requests_per_second: Some(per_second),
            ..progress(elapsed)
        };
        next_step(&full_share, &good, &now)
    };
    assert_eq!(after(0.1, 15.5, 80.0), Step::Stay);
    // The old version has requests left to finish.
    assert_eq!(after(1.0, 14.5, 5.0), Step::Stay);
    assert_eq!(after(1.6, 14.5, 5.0), Step::Complete);
    // The limit does not cover the requests until the deadline if their rate doubles.
    assert_eq!(after(1.6, 14.5, 80.0), Step::Stay);
    let at_full_share = Duration::from_millis(600);
    let now = RolloutProgress { at_full_share, ..now };
    assert_eq!(next_step(&full_share, &good, &now), Step::Complete);
    assert_eq!(next_step(&full_share, &Finding::Suspect, &now), Step::Stay);
    assert!(matches!(next_step(&full_share, &Finding::Bad("x".into()), &now), Step::RollBack(_)));
    let end = RolloutProgress { at_full_share, ..progress(15.8) };
    assert!(matches!(next_step(&full_share, &Finding::Suspect, &end), Step::RollBack(_)));
    let canary = plan(Phase::Running, 0.1);
    assert!(matches!(next_step(&canary, &good, &progress(15.8)), Step::RollBack(_)));
    assert_eq!(next_step(&canary, &good, &progress(15.0)), Step::Share(1.0));
    let gone = RolloutProgress { new_is_serving: false, ..now };
    assert!(matches!(next_step(&full_share, &good, &gone), Step::Share(share) if share < 0.1));
}

/// Guards against a full share that exceeds the limit if the version turns bad after it began, and
/// against one that waits although the limit covers all requests.
#[test]
fn full_share_begins_when_the_limit_covers_the_rest() {
    let (good, canary) = (Finding::Good(80), plan(Phase::Running, 0.02));
    let begins = |now: &RolloutProgress| next_step(&canary, &good, now) == Step::Share(1.0);
    // 0.1 of 1,080 requests and 50 allow 2.2 s of 80 per second.
    assert!(!begins(&progress(13.5)));
    assert!(begins(&progress(14.0)));
    let used = RequestCounts { new: 100, ..progress(14.0).counts };
    assert!(!begins(&RolloutProgress { counts: used, ..progress(14.0) }));
    let burst = RolloutProgress { requests_per_second: Some(200.0), ..progress(14.0) };
    assert!(!begins(&burst));
    let small = RequestCounts { all: 55, new: 5 };
    let rare = RolloutProgress { requests_per_second: Some(5.0), counts: small, ..progress(11.0) };
    assert!(begins(&rare));
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
    let mut assessor = Assessor::default();
    let (mut share, mut counts) = (0.0, RequestCounts::default());
    let (started_at, mut time) = (Instant::now(), 2.0);
    while time < time_limit {
        for _ in 0..(rate * interval) as u32 {
            let new = rng.random_bool(share);
            counts.all += 1;
            counts.new += u64::from(new);
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
        let (plan, now) = (plan(Phase::Running, share), started_at + Duration::from_secs_f64(time));
        let finding = assessor.assess(&evidence, &plan, now);
        let now = RolloutProgress {
            at_full_share: assessor.at_full_share(now),
            suspect: finding == Finding::Suspect,
            recent_answers: assessor.recent_answers(),
            requests_per_second: (time > 3.2).then_some(rate),
            counts,
            committed: counts,
            ..progress(time)
        };
        match next_step(&plan, &finding, &now) {
            Step::Stay => {}
            Step::Share(new) => share = new,
            Step::Complete => return (Some(Phase::Completed), counts.new),
            Step::RollBack(_) => return (Some(Phase::RolledBack), counts.new),
        }
    }
    (None, counts.new)
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
