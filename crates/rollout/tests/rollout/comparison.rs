//! Compares the judge with other statistical tests on the same seeded evidence at a fixed share.

use std::time::Duration;

use oleandertiller_rollout::{Arm, Attempt, Judge, JudgeConfig, ServerId, Tally};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal, Poisson};

use crate::baselines::{Cusum, MergedServers, Ratio, StatisticalTest, ZTest};

const SEEDS: u64 = 100;
const WINDOWS: usize = 300;
/// Share of requests to the new version.
const NEW_SHARE: f64 = 0.1;
const SERVERS_PER_VERSION: u32 = 4;
/// Requests per second, rate of failures and median latency in milliseconds of each kind.
const KINDS: [(f64, f64, f64); 3] = [(180.0, 0.002, 30.0), (90.0, 0.005, 50.0), (30.0, 0.01, 80.0)];
/// Window in which a late regression begins.
const LATE_START_WINDOW: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Good,
    /// One new server is slow and fails 5% of requests.
    Noisy,
    /// Both versions fail 20 times as often in every 30th window, as with a shared dependency.
    Bursts,
    Fails,
    Slow,
    FailsLate,
    FailsOnRareKind,
}

const CASES: [Case; 7] = [
    Case::Good,
    Case::Noisy,
    Case::Bursts,
    Case::Fails,
    Case::Slow,
    Case::FailsLate,
    Case::FailsOnRareKind,
];

impl Case {
    fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::Noisy | Self::Bursts)
    }

    fn start(self) -> usize {
        if self == Self::FailsLate { LATE_START_WINDOW } else { 0 }
    }

    fn failure_rate(self, arm: Arm, server: u32, kind: usize, window: usize) -> f64 {
        let usual = KINDS[kind].1;
        match self {
            Self::Bursts if window % 30 == 29 => usual * 20.0,
            Self::Noisy if arm == Arm::New && server == 0 => 0.05,
            Self::Fails if arm == Arm::New => usual + 0.05,
            Self::FailsLate if arm == Arm::New && window >= LATE_START_WINDOW => usual + 0.05,
            Self::FailsOnRareKind if arm == Arm::New && kind == 2 => usual + 0.1,
            _ => usual,
        }
    }

    fn slowness(self, arm: Arm, server: u32) -> f64 {
        match self {
            Self::Noisy if arm == Arm::New && server == 0 => 4.0,
            Self::Slow if arm == Arm::New => 1.6,
            _ => 1.0,
        }
    }
}

fn window(case: Case, index: usize, rng: &mut StdRng) -> Tally {
    let mut tally = Tally::default();
    let spread = LogNormal::new(0.0, 0.4).unwrap();
    for (kind, (rate, _, median)) in KINDS.iter().enumerate() {
        for (arm, share) in [(Arm::Old, 1.0 - NEW_SHARE), (Arm::New, NEW_SHARE)] {
            let requests = Poisson::new(rate * share).unwrap().sample(rng) as usize;
            for _ in 0..requests {
                let server = rng.random_range(0..SERVERS_PER_VERSION);
                let failed = rng.random_bool(case.failure_rate(arm, server, kind, index));
                let millis = median * spread.sample(rng) * case.slowness(arm, server);
                let latency = Duration::from_secs_f64(millis / 1e3);
                let attempt = if failed { Attempt::Failed } else { Attempt::Done(latency) };
                let offset = if arm == Arm::New { 100 } else { 0 };
                tally.record(ServerId(server + offset), arm, kind as u8, attempt);
            }
        }
    }
    tally
}

fn judge() -> Judge {
    let names = ["temper", "status", "lookup"].map(std::sync::Arc::from);
    Judge::new(JudgeConfig::default(), names)
}

fn tests() -> [(&'static str, Box<dyn StatisticalTest>); 5] {
    let kinds = KINDS.len();
    [
        ("mixture SPRT by server", Box::new(judge())),
        ("mixture SPRT, merged", Box::new(MergedServers(judge()))),
        ("z-test with peeking", Box::new(ZTest::new(kinds))),
        ("CUSUM", Box::new(Cusum::new(kinds))),
        ("ratio over 2", Box::new(Ratio::new(kinds))),
    ]
}

/// Returns the window in which each test found the version bad, if it did.
fn run(case: Case, seed: u64) -> [Option<usize>; 5] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tests = tests();
    let mut found = [None; 5];
    for index in 0..WINDOWS {
        let tally = window(case, index, &mut rng);
        for ((_, test), found) in tests.iter_mut().zip(&mut found) {
            if found.is_none() {
                test.observe(&tally);
                *found = test.is_bad().then_some(index);
            }
        }
    }
    found
}

/// Results of one test on one case.
#[derive(Debug)]
struct Row {
    name: &'static str,
    /// Number of runs with a verdict before the regression begins, or of a good version.
    wrong: usize,
    right: usize,
    /// Median number of windows from the start of the regression to the verdict.
    median: usize,
}

fn rows(case: Case) -> Vec<Row> {
    let runs: Vec<_> = std::thread::scope(|scope| {
        let part = |part: u64| (part..SEEDS).step_by(4).map(|seed| run(case, seed)).collect();
        let threads: Vec<_> =
            (0..4).map(|first| scope.spawn(move || -> Vec<_> { part(first) })).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let names = tests().map(|(name, _)| name);
    let row = |(index, name)| {
        let found: Vec<usize> = runs.iter().filter_map(|run| run[index]).collect();
        let early = |window: &usize| !case.is_bad() || *window < case.start();
        let wrong = found.iter().filter(|window| early(window)).count();
        let mut delays: Vec<_> =
            found.iter().filter(|w| !early(w)).map(|w| w - case.start() + 1).collect();
        delays.sort_unstable();
        let median = delays.get(delays.len() / 2).copied().unwrap_or(0);
        Row { name, wrong, right: delays.len(), median }
    };
    names.into_iter().enumerate().map(row).collect()
}

/// Guards against a judge that finds good versions bad under continuous monitoring, or misses bad
/// ones, and prints how other tests do on the same seeds.
#[test]
fn the_judge_keeps_its_error_rates() {
    for case in CASES {
        let rows = rows(case);
        for row in &rows {
            let Row { name, wrong, right, median } = row;
            println!("{case:?} | {name} | wrong {wrong} | right {right} | median {median} s");
        }
        // At an error rate of 0.1%, one wrong verdict in 100 runs has a probability of about 0.1.
        assert!(rows[0].wrong <= 1, "{case:?}: {rows:?}");
        if case.is_bad() {
            assert_eq!(rows[0].right + rows[0].wrong, SEEDS as usize, "{case:?}: {rows:?}");
        }
    }
}
