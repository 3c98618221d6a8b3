//! Results of `bench path`, as a file and on standard output.

use std::collections::BTreeMap;

use oleandertiller_bench::process::load_average;
use oleandertiller_bench::stats::{Quantiles, Summary};
use serde::{Deserialize, Serialize};

/// Target for the added 99th percentile: p99 through two nodes minus p99 of the direct path, in
/// milliseconds.
const ADDED_P99_TARGET_MS: f64 = 0.48;

/// Contents of a result file.
#[derive(Serialize, Deserialize)]
pub struct ResultFile {
    seed: u64,
    service_ms: f64,
    threads: usize,
    /// Results at each rate, in the order of the measurements.
    pub rates: Vec<RateResult>,
    /// Memory of each process before and after the load.
    pub memory: Vec<ProcessMemory>,
}

/// Results at one rate.
#[derive(Serialize, Deserialize)]
pub struct RateResult {
    rate: f64,
    /// Load average of the machine after the measurement.
    #[serde(default)]
    load_average: Option<f64>,
    direct: PathStats,
    /// Second measurement of the direct path.
    control: PathStats,
    through: Option<PathStats>,
    /// Difference between the two measurements of the direct path.
    noise: AddedLatency,
    /// Difference between the path through two nodes and the direct path.
    added: Option<AddedLatency>,
}

/// Results of one path at one rate.
#[derive(Serialize, Deserialize)]
pub struct PathStats {
    /// Results as the clients saw them.
    pub summary: Summary,
    /// Latency of correct answers in each round.
    pub rounds: Vec<Quantiles>,
    /// CPU time per call by process, in microseconds.
    pub cpu_us_per_call: BTreeMap<String, f64>,
}

/// Latency that one path adds over another, in milliseconds.
#[derive(Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct AddedLatency {
    p50: f64,
    p99: f64,
    p999: f64,
    /// Median over the rounds of the difference at p99; a single disturbed round hardly changes it.
    p99_median: f64,
}

impl AddedLatency {
    fn between(base: &PathStats, path: &PathStats) -> Self {
        let (from, to) = (base.summary.latency, path.summary.latency);
        let rounds = base.rounds.iter().zip(&path.rounds);
        Self {
            p50: to.p50 - from.p50,
            p99: to.p99 - from.p99,
            p999: to.p999 - from.p999,
            p99_median: median(rounds.map(|(from, to)| to.p99 - from.p99).collect()),
        }
    }

    fn print(&self, name: &str) {
        println!(
            "  {name:10} p50 {:8.3}  p99 {:8.3}  p99.9 {:8.3} ms, median p99 of the rounds {:.3}",
            self.p50, self.p99, self.p999, self.p99_median,
        );
    }
}

/// Returns the median, or the lower of the two middle values of an even number; 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// Resident memory of a process in bytes.
#[derive(Serialize, Deserialize)]
pub struct ProcessMemory {
    process: String,
    /// Before the first load.
    idle: u64,
    /// After the last load.
    loaded: u64,
}

impl ProcessMemory {
    /// Joins the memory by process before and after the load; processes that are missing in either
    /// are left out.
    pub fn join(idle: &BTreeMap<String, u64>, loaded: &BTreeMap<String, u64>) -> Vec<Self> {
        let joined = idle.iter().filter_map(|(process, idle)| {
            let loaded = *loaded.get(process)?;
            Some(Self { process: process.clone(), idle: *idle, loaded })
        });
        joined.collect()
    }
}

impl RateResult {
    /// Creates the result and computes the added latency.
    pub fn new(
        rate: f64,
        direct: PathStats,
        control: PathStats,
        through: Option<PathStats>,
    ) -> Self {
        let noise = AddedLatency::between(&direct, &control);
        let added = through.as_ref().map(|through| AddedLatency::between(&direct, through));
        Self { rate, load_average: load_average(), direct, control, through, noise, added }
    }

    /// Prints both paths and the added latency.
    pub fn print(&self) {
        let load = self.load_average.unwrap_or(f64::NAN);
        println!("{} calls/s, load average {load:.1}", self.rate);
        self.direct.print("direct");
        if let Some(through) = &self.through {
            through.print("two nodes");
        }
        self.noise.print("noise");
        if let Some(added) = self.added {
            added.print("added");
            println!("  target of the added p99: {ADDED_P99_TARGET_MS} ms");
        }
    }
}

impl PathStats {
    fn print(&self, name: &str) {
        let Quantiles { p50, p99, p999, max, count } = self.summary.latency;
        println!(
            "  {name:10} p50 {p50:8.3}  p99 {p99:8.3}  p99.9 {p999:8.3}  max {max:8.3} ms, \
             {count} of {} calls correct",
            self.summary.offered,
        );
        let late = self.summary.lateness;
        println!("    generator late by p50 {:.3}  p99 {:.3} ms, included", late.p50, late.p99);
        for (process, micros) in &self.cpu_us_per_call {
            println!("    CPU of {process}: {micros:.1} us per call");
        }
        for (kind, summary) in &self.summary.kinds {
            for (outcome, count) in summary.counts.iter().filter(|(name, _)| *name != "done") {
                println!("    {kind} {outcome}: {count}");
            }
        }
    }
}

impl ResultFile {
    /// Creates a result without measurements.
    pub fn new(seed: u64, service_ms: f64, threads: usize) -> Self {
        Self { seed, service_ms, threads, rates: Vec::new(), memory: Vec::new() }
    }

    /// Prints the memory of the processes.
    pub fn print_memory(&self) {
        let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        for memory in &self.memory {
            let (idle, loaded) = (mib(memory.idle), mib(memory.loaded));
            println!("memory of {}: idle {idle:.1} MiB, loaded {loaded:.1} MiB", memory.process);
        }
    }

    /// Prints the changes since an earlier result, at the rates that both have.
    pub fn print_changes(&self, earlier: &Self) {
        if (self.service_ms, self.threads) != (earlier.service_ms, earlier.threads) {
            println!("the earlier run has another service time or number of threads");
        }
        for now in &self.rates {
            let Some(then) = earlier.rates.iter().find(|then| then.rate == now.rate) else {
                continue;
            };
            println!("against the earlier run at {} calls/s", now.rate);
            print_change(
                "direct p99",
                then.direct.summary.latency.p99,
                now.direct.summary.latency.p99,
            );
            if let (Some(then), Some(now)) = (then.added, now.added) {
                print_change("added p50", then.p50, now.p50);
                print_change("added p99", then.p99, now.p99);
                print_change("added p99.9", then.p999, now.p999);
                print_change("median p99", then.p99_median, now.p99_median);
            }
        }
    }
}

fn print_change(name: &str, then: f64, now: f64) {
    println!("  {name:12} {then:8.3} -> {now:8.3} ms ({:+.3})", now - then);
}
