//! Selection and limits in a small queueing model of one service.
//!
//! `cargo test -p oleandertiller-routing --test queueing -- --nocapture` prints the results;
//! `--ignored experiments` prints those of the variants in `docs/notes/selection-and-limits.md`.

use std::time::Duration;

use oleandertiller_routing::selection::Policy;

use self::{
    model::{Model, Record},
    run_stats::{RunStats, goodput_per_second},
    scenario::{Fault, KINDS, Scenario},
};

mod model;
mod run_stats;
mod scenario;
mod server;

/// Seeds of every comparison. `FIRST_SEED` gives the experiments other seeds.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];
/// Number of servers and slots of each.
const FLEETS: [(usize, u32); 2] = [(4, 6), (7, 12)];
const POLICIES: [Policy; 4] =
    [Policy::ExpectedWait, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight];

const SLOW: Fault = Fault::Slow(5.0);
const FAIL_FAST: Fault = Fault::FailFast(1.0);
const TURNS_COLD: Fault = Fault::TurnsCold { warm_up: Duration::from_secs(8) };
const RESTARTS: Fault = Fault::Restarts { warm_up: Duration::from_secs(3) };

fn compare(name: &str, fault: Fault) -> Vec<[RunStats; 4]> {
    let mut all = Vec::new();
    for (servers, slots) in FLEETS {
        let scenario = Scenario::new(servers, slots).with_fault(fault);
        let by_policy = POLICIES
            .map(|policy| RunStats::of_seeds(&scenario.clone().with_policy(policy), &SEEDS));
        for (policy, stats) in POLICIES.iter().zip(&by_policy) {
            let (goodput, p99) = (stats.goodput * 100.0, stats.p99_ms);
            let (lost, over) = (stats.lost, stats.over_capacity);
            println!(
                "{name} {servers}x{slots} {policy:?}: goodput {goodput:.3}% p99 {p99:.1} ms, \
                 lost {lost:?}, over capacity {over}"
            );
        }
        all.push(by_policy);
    }
    all
}

fn assert_better_than_baselines(name: &str, fault: Fault) {
    for [shipped, baselines @ ..] in compare(name, fault) {
        for baseline in baselines {
            assert!(shipped.goodput > baseline.goodput, "{shipped:?} against {baseline:?}");
            assert!(shipped.p99_ms < baseline.p99_ms, "{shipped:?} against {baseline:?}");
        }
    }
}

/// Guards against a slow server that still gets its full share of requests.
#[test]
fn slow_server() {
    assert_better_than_baselines("slow", SLOW);
}

/// Guards against a server that attracts requests by failing fast.
#[test]
fn fast_failing_server() {
    assert_better_than_baselines("fail-fast", FAIL_FAST);
}

/// Guards against a server that turns cold unannounced and is sent more than its capacity.
#[test]
fn newly_cold_server() {
    assert_better_than_baselines("turns-cold", TURNS_COLD);
}

/// Guards against sending a server that has announced that it is cold more than its capacity.
#[test]
fn restarted_server() {
    for [shipped, ..] in compare("restarts", RESTARTS) {
        assert_eq!(shipped.over_capacity, 0);
    }
}

/// Guards against fault handling that costs goodput when there is no fault.
#[test]
fn healthy() {
    for [shipped, baselines @ ..] in compare("healthy", Fault::None) {
        for baseline in baselines {
            assert!(
                shipped.goodput >= baseline.goodput - 0.001,
                "{shipped:?} against {baseline:?}"
            );
        }
    }
}

/// Guards against a collapse under overload, and a slow recovery from it.
///
/// Offered load exceeds capacity by two thirds for a minute. Only the two heavier kinds count.
#[test]
fn overload() {
    let (from, to) = (Duration::from_secs(10), Duration::from_secs(70));
    for (servers, slots) in FLEETS {
        let mut scenario = Scenario::new(servers, slots).with_seed(SEEDS[0]);
        scenario.surge = Some((5.0 / 3.0, from, to));
        scenario.end = Duration::from_secs(80);
        let run = Model::run(scenario);
        let second = |s: u64| {
            let s = Duration::from_secs(s);
            goodput_per_second(&run, KINDS[1].weight, s, s + Duration::from_secs(1))
        };
        let over = |from: u64, to: u64| {
            goodput_per_second(
                &run,
                KINDS[1].weight,
                Duration::from_secs(from),
                Duration::from_secs(to),
            )
        };
        let before = over(4, 10);
        let seconds: Vec<f64> = (10..70).map(second).collect();
        let peak = seconds.iter().copied().fold(0.0, f64::max);
        let during = over(10, 70);
        let least = seconds.iter().copied().fold(f64::MAX, f64::min);
        let after = over(75, 80);
        println!(
            "overload {servers}x{slots}: before {before:.0}/s, during {during:.0}/s, peak \
             {peak:.0}/s, least second {least:.0}/s, 5 s after the end {after:.0}/s"
        );
        assert!(during >= peak * 0.9, "{during} against a peak of {peak}");
        assert!(after >= before * 0.9, "{after} against {before} before");
    }
}

/// Prints what each server does in each second of one run, and the requests lost by kind.
///
/// The environment variables `CASE`, `SEED`, `POLICY` and `FAULT_END` (in seconds) select the run.
#[test]
#[ignore = "prints a trace and asserts nothing"]
fn trace() {
    let case = std::env::var("CASE").unwrap_or_default();
    let mut scenario = Scenario::new(4, 6).with_seed(SEEDS[0]);
    match case.as_str() {
        "overload" => {
            scenario.surge = Some((5.0 / 3.0, Duration::from_secs(4), Duration::from_secs(10)));
        }
        "slow" => scenario.fault = SLOW,
        "fail-fast" => scenario.fault = FAIL_FAST,
        "turns-cold" => scenario.fault = TURNS_COLD,
        "restarts" => scenario.fault = RESTARTS,
        _ => {}
    }
    if let Ok(end) = std::env::var("FAULT_END") {
        scenario.fault_end = Duration::from_secs(end.parse().expect("a number"));
        scenario.end = scenario.fault_end + Duration::from_secs(20);
    }
    if let Ok(seed) = std::env::var("SEED") {
        scenario.seed = seed.parse().expect("a number");
    }
    if std::env::var("POLICY").is_ok_and(|policy| policy == "least-in-flight") {
        scenario.selection.policy = Policy::LeastInFlight;
    }
    let run = Model::run(scenario);
    println!("second | started/failed/limit of each server | lost of each kind");
    for (second, rows) in run.trace.windows(2).enumerate() {
        let cells: Vec<String> = rows[1]
            .iter()
            .zip(&rows[0])
            .map(|(to, from)| format!("{}/{}/{}", to.0 - from.0, to.1 - from.1, to.2))
            .collect();
        let lost = |kind: usize| {
            let of_second = |r: &&Record| r.kind == kind && r.arrived.as_secs() == second as u64;
            run.records.iter().filter(of_second).filter(|r| r.answered.is_none()).count()
        };
        let lost = (0..KINDS.len()).map(lost).collect::<Vec<_>>();
        println!("{second} | {} | {lost:?}", cells.join(" "));
    }
}

/// Prints the results of variants of selection and limits, all on the same seeds.
#[test]
#[ignore = "takes a minute and asserts nothing"]
fn experiments() {
    use oleandertiller_routing::{
        limit::{Adaptation, Reserve},
        selection::Scoring,
    };
    type Variant = (&'static str, fn(&mut Scenario));
    let variants: [Variant; 20] = [
        ("as shipped", |_| {}),
        ("random", |s| s.selection.policy = Policy::Random),
        ("least in flight", |s| s.selection.policy = Policy::LeastInFlight),
        ("d = 2", |s| (s.selection.sample_size, s.selection.max_compare_all) = (2, 0)),
        ("d = 3", |s| (s.selection.sample_size, s.selection.max_compare_all) = (3, 0)),
        ("d = 4", |s| (s.selection.sample_size, s.selection.max_compare_all) = (4, 0)),
        ("score: wait", |s| s.selection.scoring = Scoring::Wait),
        ("score: completion", |s| s.selection.scoring = Scoring::Completion),
        ("score: completion next", |s| s.selection.scoring = Scoring::CompletionNext),
        ("no failure penalty", |s| s.selection.failure_penalty = Duration::ZERO),
        ("penalty 100 ms", |s| s.selection.failure_penalty = Duration::from_millis(100)),
        ("penalty 1 s", |s| s.selection.failure_penalty = Duration::from_millis(1_000)),
        ("half-life 0.25 s", |s| s.selection.failure_half_life = Duration::from_millis(250)),
        ("half-life 0.5 s", |s| s.selection.failure_half_life = Duration::from_millis(500)),
        ("half-life 2 s", |s| s.selection.failure_half_life = Duration::from_millis(2_000)),
        ("gradient limit", |s| s.limit.adaptation = Adaptation::Gradient),
        ("reserve while used", |s| s.limit.reserve = Reserve::WhileUsed),
        ("unknown penalty 1 ms", |s| s.selection.unknown_penalty = Duration::from_millis(1)),
        ("unknown penalty 20 ms", |s| s.selection.unknown_penalty = Duration::from_millis(20)),
        ("no zone cost", |s| s.selection.other_zone_cost = Duration::ZERO),
    ];
    let faults = [SLOW, FAIL_FAST, TURNS_COLD, RESTARTS, Fault::None];
    let only = std::env::var("VARIANT").unwrap_or_default();
    let first = std::env::var("FIRST_SEED").map_or(SEEDS[0], |s| s.parse().expect("a number"));
    let seeds: Vec<_> = (first..first + SEEDS.len() as u64).collect();
    println!("| variant | fleet | slow | fail-fast | turns-cold | restarts | healthy |");
    for (name, change) in variants {
        if !name.contains(&only) {
            continue;
        }
        for (servers, slots) in FLEETS {
            let cells = faults.map(|fault| {
                let mut scenario = Scenario::new(servers, slots).with_fault(fault);
                change(&mut scenario);
                let stats = RunStats::of_seeds(&scenario, &seeds);
                format!("{:.2}% {:.1}", stats.goodput * 100.0, stats.p99_ms)
            });
            println!("| {name} | {servers}x{slots} | {} |", cells.join(" | "));
        }
    }
}
