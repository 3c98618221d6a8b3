//! Other statistical tests, which the judge is compared with on the same evidence.

use oleandertiller_rollout::{Arm, Tally, evidence::Counts};

/// A statistical test that decides whether the new version is bad.
pub trait StatisticalTest {
    fn observe(&mut self, tally: &Tally);
    fn is_bad(&self) -> bool;
}

impl StatisticalTest for oleandertiller_rollout::Judge {
    fn observe(&mut self, tally: &Tally) {
        self.observe(tally);
    }

    fn is_bad(&self) -> bool {
        matches!(self.verdict(), oleandertiller_rollout::Verdict::Bad(_))
    }
}

/// Bad events and attempts of both versions in one window, for one kind and measure.
#[derive(Clone, Copy, Debug, Default)]
struct EventPair {
    old: (f64, f64),
    new: (f64, f64),
}

impl EventPair {
    fn add(&mut self, other: Self) {
        self.old = (self.old.0 + other.old.0, self.old.1 + other.old.1);
        self.new = (self.new.0 + other.new.0, self.new.1 + other.new.1);
    }

    fn rates(&self) -> (f64, f64) {
        (self.old.0 / self.old.1.max(1.0), self.new.0 / self.new.1.max(1.0))
    }
}

/// Sums by kind and measure. Answers beyond the old version's 90th percentile are slow.
struct EventSums {
    old: Vec<Counts>,
    pairs: Vec<[EventPair; 2]>,
}

impl EventSums {
    fn new(kinds: usize) -> Self {
        Self { old: vec![Counts::default(); kinds], pairs: vec![Default::default(); kinds] }
    }

    fn observe(&mut self, tally: &Tally) -> Vec<[EventPair; 2]> {
        let mut window = vec![[EventPair::default(); 2]; self.pairs.len()];
        for (_, server) in tally.servers() {
            for (kind, counts) in server.kinds.iter().enumerate() {
                let bound = slow_bound(&self.old[kind]);
                let events = [
                    (counts.failed as f64, counts.attempts as f64),
                    (counts.at_least(bound) as f64, counts.timed() as f64),
                ];
                for (pair, events) in window[kind].iter_mut().zip(events) {
                    let side = if server.arm == Arm::New { &mut pair.new } else { &mut pair.old };
                    *side = (side.0 + events.0, side.1 + events.1);
                }
            }
        }
        for (_, server) in tally.servers().filter(|(_, server)| server.arm == Arm::Old) {
            for (old, counts) in self.old.iter_mut().zip(&server.kinds) {
                old.merge(counts);
            }
        }
        for (sums, window) in self.pairs.iter_mut().zip(&window) {
            sums.iter_mut().zip(window).for_each(|(sum, pair)| sum.add(*pair));
        }
        window
    }
}

fn slow_bound(old: &Counts) -> usize {
    let limit = old.timed() as f64 * 0.1;
    let within = |bucket: &usize| limit >= 10.0 && old.at_least(*bucket) as f64 <= limit;
    (1..old.latency.len()).find(within).unwrap_or(old.latency.len() - 1)
}

/// Fixed-sample z-test of two proportions at 0.1% in total, evaluated after every window.
pub struct ZTest {
    sums: EventSums,
    bad: bool,
}

impl ZTest {
    pub fn new(kinds: usize) -> Self {
        Self { sums: EventSums::new(kinds), bad: false }
    }
}

impl StatisticalTest for ZTest {
    fn observe(&mut self, tally: &Tally) {
        // One-sided limit for 0.1% over three kinds and two measures.
        const LIMIT: f64 = 3.59;
        self.sums.observe(tally);
        self.bad |= self.sums.pairs.iter().flatten().any(|pair| {
            let (old, new) = pair.rates();
            let all = (pair.old.0 + pair.new.0) / (pair.old.1 + pair.new.1).max(1.0);
            let spread =
                all * (1.0 - all) * (1.0 / pair.old.1.max(1.0) + 1.0 / pair.new.1.max(1.0));
            pair.new.0 >= 5.0 && (new - old) / spread.sqrt().max(1e-9) > LIMIT
        });
    }

    fn is_bad(&self) -> bool {
        self.bad
    }
}

/// Cumulative sum of the new version's log-likelihood ratios against the old one's rate.
pub struct Cusum {
    sums: EventSums,
    scores: Vec<[f64; 2]>,
    bad: bool,
}

impl Cusum {
    pub fn new(kinds: usize) -> Self {
        Self { sums: EventSums::new(kinds), scores: vec![[0.0; 2]; kinds], bad: false }
    }
}

impl StatisticalTest for Cusum {
    fn observe(&mut self, tally: &Tally) {
        // ln(6,000): 0.1% over six sums, if each were a single sequential test.
        const LIMIT: f64 = 8.7;
        let window = self.sums.observe(tally);
        for (kind, pairs) in window.iter().enumerate() {
            for (measure, pair) in pairs.iter().enumerate() {
                let (old, _) = self.sums.pairs[kind][measure].rates();
                let null = (old.max(0.001) * 1.5).min(0.5);
                let bad = (null * 4.0).min(0.9);
                let (hits, misses) = (pair.new.0, pair.new.1 - pair.new.0);
                let step = hits * (bad / null).ln() + misses * ((1.0 - bad) / (1.0 - null)).ln();
                let score = &mut self.scores[kind][measure];
                *score = (*score + step).max(0.0);
                self.bad |= *score > LIMIT;
            }
        }
    }

    fn is_bad(&self) -> bool {
        self.bad
    }
}

/// Finds a version bad if its rate is over twice the old one's after 50 attempts.
pub struct Ratio {
    sums: EventSums,
    bad: bool,
}

impl Ratio {
    pub fn new(kinds: usize) -> Self {
        Self { sums: EventSums::new(kinds), bad: false }
    }
}

impl StatisticalTest for Ratio {
    fn observe(&mut self, tally: &Tally) {
        self.sums.observe(tally);
        self.bad |= self.sums.pairs.iter().flatten().any(|pair| {
            let (old, new) = pair.rates();
            pair.new.1 >= 50.0 && new > 2.0 * old.max(0.001)
        });
    }

    fn is_bad(&self) -> bool {
        self.bad
    }
}

/// The judge without counts by server: all servers of a version count as one.
pub struct MergedServers(pub oleandertiller_rollout::Judge);

impl StatisticalTest for MergedServers {
    fn observe(&mut self, tally: &Tally) {
        let mut merged = Tally::default();
        for (_, server) in tally.servers() {
            merged.merge(&Tally::of_server(merged_id(server.arm), server));
        }
        self.0.observe(&merged);
    }

    fn is_bad(&self) -> bool {
        StatisticalTest::is_bad(&self.0)
    }
}

fn merged_id(arm: Arm) -> oleandertiller_rollout::ServerId {
    oleandertiller_rollout::ServerId(if arm == Arm::New { 2 } else { 1 })
}
