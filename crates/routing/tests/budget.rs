//! The bounds of a budget hold in every window of time.

use std::time::{Duration, Instant};

use oleandertiller_routing::budget::{
    Budget, MEASURING_BURST_TOKENS, RETRY_BURST_TOKENS, RETRY_SHARE_PPM, RETRY_TOKENS_PER_SECOND,
};
use proptest::prelude::*;

/// One step of a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Calls(u16),
    Take,
    Wait(Duration),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u16..300).prop_map(Step::Calls),
        Just(Step::Take),
        Just(Step::Take),
        (0_u64..3_000_000_000).prop_map(|ns| Step::Wait(Duration::from_nanos(ns))),
    ]
}

proptest! {
    /// Guards against a window, of any start and length, in which more tokens are taken than its
    /// calls and its time have earned and the burst allows.
    #[test]
    fn no_window_exceeds_the_budget(
        share_ppm in 0_u32..1_000_000,
        per_second in 0_u32..20,
        burst in 0_u32..20,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut now = Instant::now();
        let mut budget = Budget::new(share_ppm, f64::from(per_second), f64::from(burst), now);
        // Calls, time and taken tokens after each step.
        let (mut calls, mut elapsed, mut taken) = (0_u64, Duration::ZERO, 0_u64);
        let mut history = vec![(calls, elapsed, taken)];
        for step in steps {
            match step {
                Step::Calls(count) => {
                    (0..count).for_each(|_| budget.on_call());
                    calls += u64::from(count);
                }
                Step::Take => taken += u64::from(budget.try_take(now)),
                Step::Wait(by) => {
                    now += by;
                    elapsed += by;
                }
            }
            history.push((calls, elapsed, taken));
        }
        for (index, from) in history.iter().enumerate() {
            for to in &history[index..] {
                let earned = (to.0 - from.0) as f64 * f64::from(share_ppm) / 1e6
                    + (to.1 - from.1).as_secs_f64() * f64::from(per_second)
                    + f64::from(burst);
                // 1e-6 is one unit of the bucket, part of which may be earned before the window.
                prop_assert!((to.2 - from.2) as f64 <= earned + 1e-6);
            }
        }
    }

    /// Guards against a bucket that loses tokens earned in small steps, or earns them twice.
    #[test]
    fn rate_does_not_depend_on_the_steps(parts in 1_u32..5_000, per_second in 1_u32..50) {
        let start = Instant::now();
        let mut budget = Budget::new(0, f64::from(per_second), 1e6, start);
        let total = Duration::from_secs(10);
        let mut taken = 0;
        for part in 1..=parts {
            let now = start + total.mul_f64(f64::from(part) / f64::from(parts));
            while budget.try_take(now) {
                taken += 1;
            }
        }
        prop_assert!(taken <= per_second * 10);
        prop_assert!(taken + 1 >= per_second * 10);
    }
}

/// Guards against a share that drifts with the number of calls; takes 1% of a million calls.
#[test]
fn share_is_exact_over_many_calls() {
    let now = Instant::now();
    let mut budget = Budget::for_measuring(10_000, now);
    let mut taken = 0;
    for _ in 0..1_000_000 {
        budget.on_call();
        taken += u32::from(budget.try_take(now));
    }
    assert_eq!(taken, 10_000);
}

/// Guards against tokens earned by a time before the last one, as two threads may pass them.
#[test]
fn earlier_time_earns_nothing() {
    let start = Instant::now();
    let mut budget = Budget::new(0, 1.0, 10.0, start);
    let later = start + Duration::from_secs(2);
    assert!(budget.try_take(later));
    assert!(budget.try_take(later));
    assert!(!budget.try_take(start));
    assert!(!budget.try_take(later));
}

/// Guards against retries that amplify an outage, in which every attempt fails and is retried.
#[test]
fn retries_stay_within_a_tenth_of_first_attempts() {
    let start = Instant::now();
    let mut budget = Budget::for_retries(start);
    let (mut retries, seconds, per_second) = (0_u32, 60_u32, 1_000_u32);
    for call in 0..seconds * per_second {
        let now = start + Duration::from_millis(u64::from(call));
        budget.on_call();
        while budget.try_take(now) {
            retries += 1;
        }
    }
    let share = f64::from(seconds * per_second) * f64::from(RETRY_SHARE_PPM) / 1e6;
    let allowed = share + f64::from(seconds) * RETRY_TOKENS_PER_SECOND + RETRY_BURST_TOKENS;
    assert!(f64::from(retries) <= allowed);
    assert!(f64::from(retries) >= share);
}

/// Guards against a zero share that still allows probes.
#[test]
fn no_share_means_no_measuring() {
    let now = Instant::now();
    let mut budget = Budget::for_measuring(0, now);
    for _ in 0..10_000 {
        budget.on_call();
        assert!(!budget.try_take(now + Duration::from_secs(100)));
    }
}

/// Guards against more than one burst after the share has been lowered.
#[test]
fn lowered_share_holds_after_one_burst() {
    let now = Instant::now();
    let mut budget = Budget::for_measuring(500_000, now);
    (0..1_000).for_each(|_| budget.on_call());
    budget.set_share_ppm(0);
    let taken = (0..1_000).filter(|_| budget.try_take(now)).count();
    assert!(taken as f64 <= MEASURING_BURST_TOKENS);
}
