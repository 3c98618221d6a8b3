//! Which requests are refused since upstreams ended while they ran them.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    crash_suspects::{CrashId, CrashSuspects, Fingerprint, Verdict, chosen_owner},
    upstream::Incarnation,
};
use oleandertiller_model::NodeName;
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

fn request(target: &str) -> Fingerprint {
    Fingerprint::new(&"desk".into(), "stock", "GET", target, [])
}

fn crash(number: u64) -> CrashId {
    CrashId::new(&Incarnation { id: "i".into(), started_ms: number })
}

/// Guards against requests that are refused although another one ended the upstreams, for longer than
/// it takes to complete them once.
#[test]
fn completed_request_is_acquitted() {
    let (deadly, beside, now) = (request("/deadly"), request("/beside"), Instant::now());
    let at = |seconds| now + Duration::from_secs(seconds);
    let mut suspects = CrashSuspects::default();
    for number in 0..3 {
        suspects.on_crash(deadly, crash(number), now);
        suspects.on_crash(beside, crash(number), now);
    }
    let verdict =
        |suspects: &CrashSuspects, request, at| suspects.verdict(request, false, || true, at);
    assert_eq!(verdict(&suspects, beside, at(1)), Verdict::Refuse);
    assert_eq!(suspects.verdict(beside, false, || false, at(9)), Verdict::NotHere);
    assert_eq!(verdict(&suspects, beside, at(9)), Verdict::Run);
    assert!(suspects.on_completed(beside, at(9)));
    suspects.on_crash(deadly, crash(3), at(9));
    assert_eq!(suspects.verdict(beside, false, || false, at(9)), Verdict::Run);
    assert_eq!(verdict(&suspects, deadly, at(60)), Verdict::Refuse);
    assert_eq!(verdict(&suspects, request("/other"), at(9)), Verdict::Run);
    // News of earlier crashes that arrives late does not count against it.
    let late = CrashSuspects::default();
    let mut other = late.clone();
    for number in 0..3 {
        other.on_crash(beside, crash(number), now);
    }
    suspects.merge(&other.records(at(9)), at(9));
    assert_eq!(suspects.verdict(beside, false, || false, at(10)), Verdict::Run);
}

/// Guards against a failed request that is retried until it has ended all upstreams, and against an
/// innocent one that is not retried.
#[test]
fn request_at_two_ends_is_not_retried() {
    let (request, now) = (request("/a"), Instant::now());
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.on_crash(request, crash(1), now), 1);
    assert_eq!(suspects.on_crash(request, crash(1), now), 1, "the same end");
    assert_eq!(suspects.verdict(request, true, || true, now), Verdict::Run);
    assert_eq!(suspects.on_crash(request, crash(2), now), 2);
    assert_eq!(suspects.verdict(request, true, || true, now), Verdict::NotHere);
    assert_eq!(suspects.verdict(request, false, || true, now), Verdict::Run);
}

/// Guards against a table that grows without bound, and one that never forgets.
#[test]
fn suspects_are_bounded_and_expire() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    let deadly = request("/deadly");
    for number in 0..50 {
        suspects.on_crash(deadly, crash(number), now);
    }
    for number in 0..5_000_u64 {
        suspects.on_crash(request(&number.to_string()), crash(number), now);
    }
    let records = suspects.records(now);
    assert!(records.len() <= 512 && records.iter().all(|record| record.crashes.len() <= 8));
    assert!(suspects.contains(deadly));
    assert!(suspects.records(now + Duration::from_secs(3_600)).is_empty());
}

/// An owner in the simulation.
struct Owner {
    name: NodeName,
    suspects: CrashSuspects,
    /// When its upstream is back after it ended.
    back_at: f64,
    /// Until when it gets no reports.
    cut_until: f64,
    /// Since when it has been running and reachable for long enough that the limit binds it.
    in_touch_at: f64,
    /// Owners that have not got its latest report.
    uninformed: BTreeSet<usize>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against a request that goes on ending upstreams where owners are many, cut off or
    /// restarted, and reports are late or lost: of the owners in touch, at most three times after 3 s
    /// from the third end.
    #[test]
    fn request_ends_few_upstreams_at_any_size(
        count in 4_usize..150,
        per_second in 0.5_f64..30.0,
        delay in 0.005_f64..0.3,
        lost in 0.0_f64..0.5,
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (start, deadly) = (Instant::now() + Duration::from_secs(600), request("/deadly"));
        let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
        let mut owners: Vec<Owner> = (0..count)
            .map(|index| Owner {
                name: format!("n{index}").as_str().into(),
                suspects: CrashSuspects::default(),
                back_at: 0.0,
                cut_until: 0.0,
                in_touch_at: 0.0,
                uninformed: BTreeSet::new(),
            })
            .collect();
        let names: Vec<NodeName> = owners.iter().map(|owner| owner.name.clone()).collect();
        // Ends that are not noticed yet, and reports on their way.
        let mut ends: Vec<(f64, usize, u64)> = Vec::new();
        let mut reports: Vec<(f64, usize, Vec<_>)> = Vec::new();
        let (mut crashes, mut third_end, mut late_sends) = (0, f64::INFINITY, 0);
        let step = 0.01;
        for tick in 0..4_000 {
            let now = f64::from(tick) * step;
            for (_, owner, number) in ends.extract_if(.., |(due, ..)| *due <= now) {
                owners[owner].suspects.on_crash(deadly, crash(number), at(now));
                owners[owner].uninformed = (0..count).filter(|other| *other != owner).collect();
            }
            for (_, owner, records) in reports.extract_if(.., |(due, ..)| *due <= now) {
                if owners[owner].cut_until <= now {
                    owners[owner].suspects.merge(&records, at(now));
                }
            }
            for index in 0..count {
                let repeats = (tick + index as i32) % 70 == 0;
                let records = owners[index].suspects.records(at(now));
                if records.is_empty() || owners[index].cut_until > now {
                    continue;
                }
                let is_new = owners[index].uninformed.len() == count - 1;
                let mut targets: Vec<usize> = match repeats || is_new {
                    true => owners[index].uninformed.iter().copied().collect(),
                    false => Vec::new(),
                };
                if repeats {
                    targets.push(rng.random_range(0..count));
                }
                for target in targets {
                    if !rng.random_bool(lost) && owners[target].cut_until <= now {
                        reports.push((now + delay * rng.random::<f64>(), target, records.clone()));
                        owners[index].uninformed.remove(&target);
                    }
                }
            }
            if rng.random_bool(0.002) {
                let owner = rng.random_range(0..count);
                match rng.random_bool(0.5) {
                    true => owners[owner].cut_until = now + rng.random_range(0.5..3.0),
                    false => {
                        owners[owner].suspects = CrashSuspects::default();
                        owners[owner].uninformed.clear();
                        // The others see the restart and inform it again.
                        for other in owners.iter_mut().filter(|other| !other.suspects.is_empty()) {
                            other.uninformed.insert(owner);
                        }
                    }
                }
                owners[owner].in_touch_at = owners[owner].cut_until.max(now) + 3.0;
            }
            if !rng.random_bool(per_second * step) {
                continue;
            }
            let owner = rng.random_range(0..count);
            let is_chosen = chosen_owner(deadly, names.iter()) == Some(&names[owner]);
            let verdict = owners[owner].suspects.verdict(deadly, false, || is_chosen, at(now));
            if verdict == Verdict::Run && owners[owner].back_at <= now {
                let is_bound = now > third_end + 3.0 && now > owners[owner].in_touch_at;
                late_sends += usize::from(is_bound);
                crashes += 1;
                owners[owner].back_at = now + 3.2;
                ends.push((now + 0.07, owner, crashes));
                if crashes == 3 {
                    third_end = now + 0.07;
                }
            }
        }
        prop_assert!(late_sends <= 3, "{late_sends} late sends, {crashes} ends");
    }
}
