//! Counts of the requests that began to run, the duty of reporting them, and clocks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    leadership::ProcessId,
    usage::{ClockOffsets, Collector, Counts, OwnerId, StartCounts, Tenure, UsageState, Windows},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const WINDOW: Duration = Duration::from_secs(5);
const LATENESS: Duration = Duration::from_secs(10);

/// A time at which a window begins.
const START: Duration = Duration::from_secs(1_767_225_600);

fn windows() -> Windows {
    Windows::new(WINDOW, LATENESS).unwrap()
}

fn process(node: &str) -> ProcessId {
    ProcessId { node: node.into(), incarnation: 1, nonce: 1 }
}

fn taken(known: &[&UsageState], node: &str, era: u64) -> UsageState {
    UsageState::taken(known.iter().copied(), process(node), era, None, 0, 100)
}

fn counts(n: u64) -> Counts {
    Counts::from([("a".into(), n)])
}

/// Steps of 100 ms after which all clocks are corrected: the first two collections.
const WARM_UP_STEPS: u64 = 20;

/// An owner whose process ends and starts, and whose clock is off.
struct Owner {
    id: OwnerId,
    starts: StartCounts,
    clock_ahead: Duration,
}

/// Requests of a window.
#[derive(Debug, Default)]
struct Played {
    reported: u64,
    truth: u64,
    /// Started since the last collection at owners that ended.
    lost: u64,
}

/// Plays 20 owners of three tenants with uneven load for a minute; returns the requests of each
/// window. Owners end and lose what was not collected, and some answer late. The load begins when all
/// clocks are corrected.
fn play(seed: u64) -> Vec<Played> {
    let mut rng = StdRng::seed_from_u64(seed);
    let windows = windows();
    let tenants: [Arc<str>; 3] = ["large".into(), "small".into(), "tiny".into()];
    let mut owners: Vec<Owner> = (0..20)
        .map(|n| Owner {
            id: (format!("n{n}").as_str().into(), 0),
            starts: StartCounts::new(windows),
            clock_ahead: if n % 3 == 0 { Duration::from_secs(n) } else { Duration::ZERO },
        })
        .collect();
    let (mut truth, mut lost) = (BTreeMap::<u64, u64>::new(), BTreeMap::<u64, u64>::new());
    let mut collected = vec![BTreeMap::new(); owners.len()];
    let mut collector = Collector::new(windows);
    let mut clocks = ClockOffsets::default();
    let mut corrections = vec![None; owners.len()];
    let (first, mut next) = (windows.at(START), windows.at(START));
    let mut reports = Vec::new();
    for step in 0..600_u64 {
        let now = START + Duration::from_millis(step * 100);
        for (index, owner) in owners.iter_mut().enumerate() {
            // The load of a tenant rises and falls within a window.
            for (tenant, most) in tenants.iter().zip([6, 3, 1]) {
                if step < WARM_UP_STEPS {
                    continue;
                }
                let starts = if step % 60 < 25 { rng.random_range(0..=most) } else { most / 3 };
                for _ in 0..starts {
                    let correction = corrections[index].unwrap_or_default();
                    let at = owner.starts.begin(tenant, clock(owner, correction, now));
                    if rng.random_bool(0.25) {
                        owner.starts.take_back(tenant, at);
                    } else {
                        *truth.entry(windows.at(now)).or_default() += 1;
                    }
                }
            }
        }
        if step % 10 == 5 {
            let own = clocks.own_correction();
            for (index, owner) in owners.iter().enumerate() {
                // Shorter than the collector waits.
                let is_silent = index == 4 && (200..235).contains(&step);
                if is_silent || step >= WARM_UP_STEPS && rng.random_bool(0.02) {
                    continue;
                }
                clocks.on_exchange(&owner.id.0, now, now, now + owner.clock_ahead);
                corrections[index] = clocks.correction(&owner.id.0);
                collected[index] = owner.starts.since(0);
                collector.on_counts(&owner.id, own.apply(now), owner.starts.since(next));
            }
        }
        if step % 10 == 4 && rng.random_bool(0.2) {
            let index = rng.random_range(0..20);
            let owner = &mut owners[index];
            let total = |counts: &Counts| counts.values().sum::<u64>();
            let collected = std::mem::take(&mut collected[index]);
            for (window, counts) in owner.starts.since(0) {
                let known = collected.get(&window).map_or(0, total);
                *lost.entry(window).or_default() += total(&counts) - known;
            }
            owner.id.1 += 1;
            owner.starts = StartCounts::new(windows);
        }
        let present: Vec<OwnerId> = owners.iter().map(|owner| owner.id.clone()).collect();
        while let Some(counts) = collector.final_counts(next, &present, now) {
            assert!(now + Duration::from_secs(4) < windows.due(next), "window {next} is late");
            reports.push(Played {
                reported: counts.values().sum(),
                truth: truth.get(&next).copied().unwrap_or_default(),
                lost: lost.get(&next).copied().unwrap_or_default(),
            });
            next += 1;
            collector.forget_before(next);
        }
    }
    assert!(next >= first + 10);
    // Without the windows in which the load begins.
    reports.split_off(2)
}

fn clock(
    owner: &Owner,
    correction: oleandertiller_mesh::usage::ClockOffset,
    now: Duration,
) -> Duration {
    correction.apply(now + owner.clock_ahead)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against reports that are late or lack more than what owners that ended had started
    /// since the last collection, with owners that answer late, refuse a quarter of the requests or
    /// have wrong clocks.
    #[test]
    fn reports_are_in_time_and_complete(seed in any::<u64>()) {
        for played in play(seed) {
            let Played { reported, truth, lost } = played;
            prop_assert_eq!(reported + lost, truth);
            // Within the usual tolerance unless several of the twenty owners end in a window.
            prop_assert!(truth > 1_000 && lost as f64 <= 0.15 * truth as f64, "{lost} of {truth}");
        }
    }

    /// Guards against two holders with one token, in any order of holders and of restores of the
    /// store from copies, also if the new holder has seen nothing since the copy.
    #[test]
    fn holders_have_rising_tokens(
        steps in proptest::collection::vec((0..4_usize, any::<bool>(), any::<bool>()), 1..30),
    ) {
        let (mut era, mut tokens): (u64, Vec<u64>) = (0, Vec::new());
        let mut history = vec![taken(&[], "n0", 0)];
        for (node, restored, has_seen) in steps {
            let copy = history[history.len() / 2].clone();
            let latest = history.last().unwrap().clone();
            let stored = if restored { copy } else { latest.clone() };
            era += u64::from(restored);
            let name = format!("n{node}");
            let known: &[&UsageState] =
                if has_seen { &[&stored, &latest] } else { &[&stored] };
            let state = taken(known, &name, era);
            prop_assert!(state.is_held_by(&process(&name), era));
            prop_assert!(tokens.last().is_none_or(|last| *last < state.token));
            tokens.push(state.token);
            history.push(state);
        }
    }
}

/// Guards against a successor that reports other counts than the holder that died, or none.
#[test]
fn successor_repeats_the_reports_of_a_lost_reporter() {
    let first = taken(&[], "a", 0);
    assert_eq!(first.next, 99);
    let written = first.with_reports(vec![counts(3), counts(5)], &BTreeSet::new());
    let next = written.with_reports(vec![counts(7)], &BTreeSet::from([99]));
    // The first holder dies here; which of its calls were executed is not known.
    let successor = taken(&[&next], "b", 0);
    assert!(successor.token > next.token);
    assert_eq!((successor.next, &successor.reports), (102, &next.reports));
    assert_eq!(successor.pending(&BTreeSet::new()), Some((100, &counts(5))));
    assert_eq!(successor.pending(&BTreeSet::from([100, 101])), None);
}

/// Guards against two different reports of a window after the store returned from a copy.
#[test]
fn restored_state_does_not_reopen_reported_windows() {
    let copy = taken(&[], "a", 1).with_reports(vec![counts(1)], &BTreeSet::new());
    let seen = copy.with_reports(vec![counts(2)], &BTreeSet::new());
    // A holder whose duty is in the copy takes a new token before it goes on.
    assert!(copy.is_held_by(&process("a"), 1) && !copy.is_held_by(&process("a"), 2));
    let state = taken(&[&copy, &seen], "a", 2);
    assert_eq!((state.next, &state.reports), (seen.next, &seen.reports));
    assert!(state.token > seen.token);
}

/// Guards against a token that stays too low for ever after the platform has rejected it.
#[test]
fn rejected_token_is_left_behind() {
    let last = taken(&[], "a", 0);
    let state = UsageState::taken([&last], process("a"), 0, Some(last.token), 0, 100);
    assert!(state.token > last.token + 1);
}

/// Guards against the loss of what a lost reporter has counted as an owner, and against copies that
/// replace what the owner itself says.
#[test]
fn copies_fill_in_for_a_lost_owner() {
    let mut collector = Collector::new(windows());
    let (lost, present) = (("lost".into(), 1), ("present".into(), 1));
    let window = windows().at(START);
    collector.on_counts(&present, START, BTreeMap::from([(window, counts(5))]));
    for copied in [3, 4, 2] {
        collector.on_backup(&lost, BTreeMap::from([(window, counts(copied))]));
        collector.on_backup(&present, BTreeMap::from([(window, counts(9))]));
    }
    let end = windows().end(window);
    let settled = end + Duration::from_secs(1);
    assert_eq!(collector.final_counts(window, std::slice::from_ref(&present), end), None);
    collector.on_counts(&present, settled, BTreeMap::from([(window, counts(6))]));
    let owners = [present.clone()];
    assert_eq!(collector.final_counts(window, &owners, settled), Some(counts(10)));

    // An owner that does not answer any more is waited for while there is time.
    let silent = [present, ("silent".into(), 1)];
    let at = |ms| collector.final_counts(window, &silent, end + Duration::from_millis(ms));
    assert_eq!(at(3_900), None);
    assert_eq!(at(4_000), Some(counts(10)));
}

/// Guards against a duty that returns to an earlier holder within the time of a lease.
#[test]
fn duty_stays_with_a_holder_for_a_lease() {
    let mut tenure = Tenure::new(Duration::from_secs(3));
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    assert!(tenure.may_end(None, now));
    let held = taken(&[], "b", 0);
    assert!(!tenure.may_end(Some(&held), now));
    assert!(!tenure.may_end(Some(&held), at(2_999)));
    assert!(tenure.may_end(Some(&held), at(3_000)));
    let next = taken(&[&held], "c", 0);
    assert!(!tenure.may_end(Some(&next), at(3_001)));
}

/// Guards against clocks that are corrected by the wrong ones, and by answers that took too long.
#[test]
fn clocks_follow_the_majority() {
    let mut clocks = ClockOffsets::default();
    let second = Duration::from_secs(1);
    let exchange = |clocks: &mut ClockOffsets, node: &str, took, told| {
        clocks.on_exchange(&node.into(), START, START + took, told);
    };
    // The own clock is 2 s behind the majority.
    exchange(&mut clocks, "a", Duration::ZERO, START + 2 * second);
    assert_eq!(clocks.own_correction().0, 0, "no majority of two");
    exchange(&mut clocks, "b", Duration::from_millis(20), START + 2 * second);
    exchange(&mut clocks, "c", Duration::ZERO, START + 2 * second);
    exchange(&mut clocks, "d", Duration::ZERO, START + 60 * second);
    exchange(&mut clocks, "e", second, START + 90 * second);
    let own = clocks.own_correction();
    assert!((1_980_000..=2_000_000).contains(&own.0), "{own:?}");
    let wrong = clocks.correction(&"d".into()).unwrap();
    assert_eq!(wrong.apply(START + 60 * second), own.apply(START));
    assert_eq!(clocks.correction(&"e".into()), None);
    clocks.retain(|node| node.as_str() == "a");
    assert_eq!(clocks.own_correction().0, 0);
}
