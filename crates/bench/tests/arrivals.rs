//! Tests of the arrival schedules of the load generator.

use std::time::Duration;

use oleandertiller_bench::arrivals::{Arrival, Arrivals, Profile};
use oleandertiller_bench::workload::Deployment;

fn schedule(seed: u64, profile: Profile, seconds: u64) -> Vec<Arrival> {
    let length = Duration::from_secs(seconds);
    Arrivals::new(seed, profile, length, Deployment::Tuul.kinds()).collect()
}

/// Guards against policies that are compared under different arrivals although the seed is equal.
#[test]
fn equal_seeds_give_equal_schedules() {
    let profile = Profile::Constant(1_000.0);
    assert_eq!(schedule(7, profile, 2), schedule(7, profile, 2));
    assert_ne!(schedule(7, profile, 2), schedule(8, profile, 2));
}

/// Guards against a wrong rate, and against gaps that are not those of a Poisson process.
#[test]
fn constant_rate_is_poisson() {
    let arrivals = schedule(1, Profile::Constant(1_000.0), 20);
    // 20,000 arrivals are expected, with a standard deviation of 141.
    assert!((19_300..20_700).contains(&arrivals.len()), "{}", arrivals.len());
    let gaps: Vec<f64> = arrivals.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    let variation = variance.sqrt() / mean;
    assert!(
        (0.9..1.1).contains(&variation),
        "the coefficient of variation of exponential gaps is 1, not {variation}"
    );
}

/// Guards against arrivals that ignore the shares of the kinds.
#[test]
fn kinds_have_their_shares() {
    let arrivals = schedule(1, Profile::Constant(1_000.0), 10);
    let temper = arrivals.iter().filter(|arrival| arrival.kind == 0).count() as f64;
    let share = temper / arrivals.len() as f64;
    assert!((0.47..0.53).contains(&share), "a share of 0.5 was expected, not {share}");
}

/// Guards against a step or a burst at the wrong time or of the wrong size.
#[test]
fn step_and_burst_change_the_rate_at_their_times() {
    let seconds = |n: u64| Duration::from_secs(n);
    let step = Profile::Step { from: 500.0, to: 2_000.0, at: seconds(2) };
    let burst = Profile::Burst { base: 500.0, peak: 2_000.0, at: seconds(1), length: seconds(1) };
    for (profile, expected) in [(step, [500, 500, 2_000]), (burst, [500, 2_000, 500])] {
        let arrivals = schedule(3, profile, 3);
        for (second, rate) in expected.into_iter().enumerate() {
            let count = arrivals.iter().filter(|a| a.at.as_secs() == second as u64).count() as f64;
            // 5 standard deviations.
            let bound = 5.0 * f64::from(rate).sqrt();
            assert!(
                (count - f64::from(rate)).abs() < bound,
                "{count} arrivals in second {second}: {profile:?}"
            );
        }
    }
}
