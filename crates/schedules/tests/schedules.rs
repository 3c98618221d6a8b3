//! Checks the invariants over random schedules.
//!
//! `SCHEDULES=n` sets the number of schedules (10,000 by default), split among the tests `part_*`,
//! which nextest runs in parallel. `SCHEDULE_SEED=n` has `one_seed` print the trace of that seed.

use std::{env, panic};

use oleandertiller_schedules::{Options, run};

const SCHEDULES: u64 = 10_000;
const PARTS: u64 = 10;

/// Runs every tenth schedule; fails on a violation of an invariant or a panic of a library.
fn part(number: u64) {
    let all = env::var("SCHEDULES").map_or(SCHEDULES, |n| n.parse().expect("a whole number"));
    let mut failures = Vec::new();
    for seed in (number..all).step_by(PARTS as usize) {
        match panic::catch_unwind(|| run(seed, Options::default())) {
            Ok(report) if report.violations.is_empty() => {}
            Ok(report) => failures.push(format!("SCHEDULE_SEED={seed}: {}", report.violations[0])),
            Err(_) => failures.push(format!("SCHEDULE_SEED={seed}: panicked")),
        }
    }
    assert!(failures.is_empty(), "{} failed\n{}", failures.len(), failures.join("\n"));
}

macro_rules! parts {
    ($($name:ident = $number:literal;)*) => {
        $(#[test]
        fn $name() {
            part($number);
        })*
    };
}

parts! {
    part_0 = 0;
    part_1 = 1;
    part_2 = 2;
    part_3 = 3;
    part_4 = 4;
    part_5 = 5;
    part_6 = 6;
    part_7 = 7;
    part_8 = 8;
    part_9 = 9;
}

/// Runs one schedule and prints its trace.
#[test]
fn one_seed() {
    let seed = env::var("SCHEDULE_SEED").map_or(0, |seed| seed.parse().expect("a whole number"));
    let report = run(seed, Options { trace: true, ..Options::default() });
    println!("{}", report.trace.join("\n"));
    assert!(report.violations.is_empty(), "{:?}", report.violations);
}

/// Guards against schedules that do not depend on the seed alone.
#[test]
fn a_seed_determines_its_schedule() {
    for seed in 0..20 {
        let options = Options { trace: true, ..Options::default() };
        assert_eq!(run(seed, options), run(seed, options), "seed {seed}");
    }
}
