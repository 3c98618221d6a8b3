//! Goodput and latency of runs of the queueing model.

use std::{thread, time::Duration};

use super::{
    model::{Model, Run},
    scenario::{KINDS, Scenario},
};

/// Goodput and tail latency of one or several runs.
#[derive(Clone, Copy, Debug)]
pub struct RunStats {
    /// Share of offered requests that were answered correctly in time, weighted by kind.
    pub goodput: f64,
    /// 99th percentile of the time to a correct answer in milliseconds, over the first kind of
    /// requests; those without one count with their deadline.
    pub p99_ms: f64,
    /// Requests of each kind without a correct answer in time.
    pub lost: [usize; KINDS.len()],
    /// Requests started at a cold server beyond its capacity.
    pub over_capacity: u64,
}

impl RunStats {
    /// Runs the scenario with each seed and evaluates the requests of all runs together.
    pub fn of_seeds(scenario: &Scenario, seeds: &[u64]) -> Self {
        let run = |seed: &u64| Model::run(scenario.clone().with_seed(*seed));
        let runs: Vec<Run> = thread::scope(|scope| {
            let threads: Vec<_> = seeds.iter().map(|seed| scope.spawn(|| run(seed))).collect();
            threads.into_iter().map(|thread| thread.join().expect("the run ends")).collect()
        });
        let records: Vec<_> = runs
            .iter()
            .flat_map(|run| &run.records)
            .filter(|record| record.arrived >= scenario.measure_from)
            .collect();
        let weight = |kind: usize| f64::from(KINDS[kind].weight);
        let offered: f64 = records.iter().map(|r| weight(r.kind)).sum();
        let good: f64 =
            records.iter().filter(|r| r.answered.is_some()).map(|r| weight(r.kind)).sum();
        let deadline = KINDS[0].deadline;
        let mut latencies: Vec<_> = records
            .iter()
            .filter(|r| r.kind == 0)
            .map(|r| r.answered.unwrap_or(deadline))
            .collect();
        latencies.sort_unstable();
        let p99 = latencies[latencies.len() * 99 / 100];
        let lost = |kind| records.iter().filter(|r| r.kind == kind && r.answered.is_none()).count();
        Self {
            lost: std::array::from_fn(lost),
            goodput: good / offered,
            p99_ms: p99.as_secs_f64() * 1e3,
            over_capacity: runs.iter().map(|run| run.over_capacity).sum(),
        }
    }
}

/// Returns the goodput per second, weighted by kind, of requests that arrived in `from..to` and
/// whose kind weighs at least `min_weight`.
pub fn goodput_per_second(run: &Run, min_weight: u32, from: Duration, to: Duration) -> f64 {
    let good: u32 = run
        .records
        .iter()
        .filter(|r| (from..to).contains(&r.arrived) && r.answered.is_some())
        .map(|r| KINDS[r.kind].weight)
        .filter(|weight| *weight >= min_weight)
        .sum();
    f64::from(good) / (to - from).as_secs_f64()
}
