//! The sequential test: evidence against the new version, which grows and shrinks by window.

use crate::evidence::{Arm, Counts, ServerId, Tally};

/// Ratios beyond the margin that are weighed against the null hypothesis.
const RATIOS: [f64; 5] = [1.5, 2.5, 5.0, 12.0, 40.0];

/// Weight of a regression that begins at the rollout's start.
const FIRST_WEIGHT: f64 = 0.5;

/// Weight of a regression that begins at any one later window. The weights add up to one over 4,096
/// windows; the bound on false alarms grows in proportion beyond them.
const LATER_WEIGHT: f64 = 0.5 / 4_096.0;

/// Largest factor by which one window raises the evidence, so that no verdict rests on one burst:
/// failures within a window can have a common cause, such as a pause of a shared dependency.
const WINDOW_FACTOR_MAX: f64 = 1_000.0;

/// Further margin when no concurrent answers of the old version exist, as load may have changed.
const PAST_MARGIN: f64 = 2.0;

/// Smallest rate of bad events that is held against a version without concurrent answers.
const PAST_RATE_MIN: f64 = 0.005;

/// Fewest past attempts of the old version to compare with.
const PAST_ATTEMPTS_MIN: u64 = 200;

const EVIDENCE_MAX: f64 = 1e30;

/// Bad events and the attempts among which they were counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Compared {
    /// Bad events.
    pub bad: u64,
    /// Attempts.
    pub of: u64,
}

impl Compared {
    /// Returns bad events and attempts.
    pub fn pair(self) -> (u64, u64) {
        (self.bad, self.of)
    }

    /// Returns the rate of bad events, 0 without attempts.
    pub fn rate(self) -> f64 {
        self.bad as f64 / (self.of.max(1)) as f64
    }

    /// Returns the sum.
    pub fn plus(self, other: Self) -> Self {
        Self { bad: self.bad + other.bad, of: self.of + other.of }
    }
}

/// Events of one kind, measure and window.
#[derive(Clone, Debug)]
pub struct WindowCounts {
    /// Events of each server of the new version.
    pub new: Vec<(ServerId, Compared)>,
    /// Events of the old version.
    pub old: Compared,
}

impl WindowCounts {
    /// Counts events by `event`, leaving out the old server `outlier`.
    pub fn new(
        tally: &Tally,
        kind: usize,
        outlier: Option<ServerId>,
        event: impl Fn(&Counts) -> Compared,
    ) -> Self {
        let mut window = Self { new: Vec::new(), old: Compared::default() };
        for (server, servers) in tally.servers() {
            let Some(counts) = servers.kinds.get(kind) else { continue };
            match servers.arm {
                Arm::New => window.new.push((server, event(counts))),
                Arm::Old if outlier == Some(server) => {}
                Arm::Old => window.old = window.old.plus(event(counts)),
            }
        }
        window
    }

    /// Returns the events of the new version, leaving out one server.
    pub fn new_total(&self, without: Option<ServerId>) -> Compared {
        let kept = self.new.iter().filter(|(server, _)| Some(*server) != without);
        kept.fold(Compared::default(), |sum, (_, events)| sum.plus(*events))
    }
}

/// Evidence that a regression began at some window, as a mixture of likelihood ratios.
#[derive(Clone, Debug)]
pub struct Process {
    sums: [f64; RATIOS.len()],
}

impl Default for Process {
    fn default() -> Self {
        Self { sums: [FIRST_WEIGHT; RATIOS.len()] }
    }
}

impl Process {
    /// Returns the evidence; it exceeds 1/α with probability of at most α for a good version.
    pub fn evidence(&self) -> f64 {
        self.sums.iter().sum::<f64>() / RATIOS.len() as f64
    }

    /// Takes one window.
    pub fn update(&mut self, new: Compared, baseline: &Baseline, margin: f64) {
        if new.of == 0 {
            return;
        }
        for (sum, ratio) in self.sums.iter_mut().zip(RATIOS) {
            let factor = baseline.factor(new, margin, ratio).min(WINDOW_FACTOR_MAX);
            *sum = ((*sum + LATER_WEIGHT) * factor).min(EVIDENCE_MAX);
        }
    }
}

/// What the new version's events of a window are compared with.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    /// Events of the old version in the same window.
    pub old: Compared,
    /// Events of the old version in earlier windows.
    pub past: Compared,
    /// Whether a good version's rate grows with the load of its servers.
    pub rises_with_load: bool,
}

impl Baseline {
    /// Returns the likelihood ratio of a window.
    ///
    /// With more than half of the traffic the new version's servers carry more load than the old
    /// ones beside them; a good version is then only held to what the old one did with full load.
    fn factor(&self, new: Compared, margin: f64, ratio: f64) -> f64 {
        let past = || past_factor(new, self.past, margin, ratio);
        if self.old.of == 0 {
            return past();
        }
        let paired = paired_factor(new, self.old, margin, ratio);
        let unequal = self.rises_with_load && new.of > self.old.of;
        if unequal { paired.min(past()) } else { paired }
    }
}

/// Likelihood ratio of the new version's part of all bad events.
///
/// Given the sum of both, the part is hypergeometric for equal rates and so no more spread than the
/// binomial used here: the mean of the factor is at most one for any rate within the margin.
fn paired_factor(new: Compared, old: Compared, margin: f64, ratio: f64) -> f64 {
    let part = |odds: f64| odds / (1.0 + odds);
    let odds = margin * new.of as f64 / old.of as f64;
    bernoulli_factor(new.bad, old.bad, part(odds), part(odds * ratio))
}

/// Likelihood ratio against the old version's past rate, for windows with all traffic on the new.
fn past_factor(new: Compared, past: Compared, margin: f64, ratio: f64) -> f64 {
    if past.of < PAST_ATTEMPTS_MIN {
        return 1.0;
    }
    let accepted = (past.rate().max(PAST_RATE_MIN) * margin * PAST_MARGIN).min(0.9);
    let bad = (accepted * ratio).min(0.95);
    bernoulli_factor(new.bad, new.of - new.bad, accepted, bad)
}

fn bernoulli_factor(hits: u64, misses: u64, null: f64, other: f64) -> f64 {
    let hit = (other / null).ln() * hits as f64;
    let miss = ((1.0 - other) / (1.0 - null)).ln() * misses as f64;
    (hit + miss).exp()
}
