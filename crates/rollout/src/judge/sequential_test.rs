//! The sequential test: evidence against the new version, updated window by window.

use crate::evidence::{Arm, Counts, ServerId, Tally};

/// Alternative hypotheses: how many times the margin the new version's rate of bad events may be.
const REGRESSION_RATIOS: [f64; 5] = [1.5, 2.5, 5.0, 12.0, 40.0];

/// Prior weight of a regression that begins at the rollout's start.
const FIRST_WEIGHT: f64 = 0.5;

/// Prior weight of a regression that begins at one particular later window. The weights add up to
/// one over 4,096 windows; beyond them the bound on false alarms grows in proportion.
const LATER_WEIGHT: f64 = 0.5 / 4_096.0;

/// Largest factor by which one window raises the evidence, so that no verdict rests on one burst:
/// failures within a window can have a common cause, such as a pause of a shared dependency.
const MAX_WINDOW_LIKELIHOOD_RATIO: f64 = 1_000.0;

/// Factor by which the margin is wider when the old version has only past answers and none at the
/// same time, since load may have changed.
const PAST_MARGIN_RATIO: f64 = 2.0;

/// Smallest rate of bad events assumed for the old version when only its past is compared.
const MIN_PAST_RATE: f64 = 0.005;

/// Fewest past attempts of the old version that suffice for a comparison.
const MIN_PAST_ATTEMPTS: u64 = 200;

/// Upper bound of the evidence, far above every threshold; keeps it finite.
const MAX_EVIDENCE: f64 = 1e30;

/// Number of bad events in a number of trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Failures, or answers that are slower than a bound.
    pub bad: u64,
    /// Attempts, or answers with a latency, among which the bad events were counted.
    pub trials: u64,
}

impl Events {
    /// Returns the bad events and the trials.
    pub fn pair(self) -> (u64, u64) {
        (self.bad, self.trials)
    }

    /// Returns the rate of bad events; 0 without trials.
    pub fn rate(self) -> f64 {
        self.bad as f64 / (self.trials.max(1)) as f64
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: Self) -> Self {
        Self { bad: self.bad + other.bad, trials: self.trials + other.trials }
    }
}

/// Events of one kind and measure within one window.
#[derive(Clone, Debug)]
pub struct WindowEvents {
    /// Events of each server of the new version.
    pub new: Vec<(ServerId, Events)>,
    /// Events of the old version.
    pub old: Events,
}

impl WindowEvents {
    /// Counts the events of `kind` by `count_events`, without the old version's server `outlier`.
    pub fn new(
        tally: &Tally,
        kind: usize,
        outlier: Option<ServerId>,
        count_events: impl Fn(&Counts) -> Events,
    ) -> Self {
        let mut window = Self { new: Vec::new(), old: Events::default() };
        for (server, server_tally) in tally.servers() {
            let Some(counts) = server_tally.kinds.get(kind) else { continue };
            match server_tally.arm {
                Arm::New => window.new.push((server, count_events(counts))),
                Arm::Old if outlier == Some(server) => {}
                Arm::Old => window.old = window.old.plus(count_events(counts)),
            }
        }
        window
    }

    /// Returns the events of the new version without those of the server `without`.
    pub fn new_total(&self, without: Option<ServerId>) -> Events {
        let kept = self.new.iter().filter(|(server, _)| Some(*server) != without);
        kept.fold(Events::default(), |sum, (_, events)| sum.plus(*events))
    }
}

/// Evidence that a regression began at some window: a mixture of likelihood ratios.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    /// Weighted likelihood ratios, one for each of [`REGRESSION_RATIOS`].
    sums: [f64; REGRESSION_RATIOS.len()],
}

impl Default for SequentialTest {
    fn default() -> Self {
        Self { sums: [FIRST_WEIGHT; REGRESSION_RATIOS.len()] }
    }
}

impl SequentialTest {
    /// Returns the evidence. For a good version it exceeds 1/α with a probability of at most α.
    pub fn evidence(&self) -> f64 {
        self.sums.iter().sum::<f64>() / REGRESSION_RATIOS.len() as f64
    }

    /// Updates the evidence with one window.
    pub fn update(&mut self, new: Events, baseline: &Baseline, margin: f64) {
        if new.trials == 0 {
            return;
        }
        for (sum, ratio) in self.sums.iter_mut().zip(REGRESSION_RATIOS) {
            let likelihood_ratio =
                baseline.likelihood_ratio(new, margin, ratio).min(MAX_WINDOW_LIKELIHOOD_RATIO);
            *sum = ((*sum + LATER_WEIGHT) * likelihood_ratio).min(MAX_EVIDENCE);
        }
    }
}

/// What the new version's events of a window are compared with.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    /// Events of the old version in the same window.
    pub old: Events,
    /// Events of the old version in earlier windows.
    pub past: Events,
    /// Whether the rate of a good version rises with the load of its servers.
    pub rises_with_load: bool,
}

impl Baseline {
    /// Returns the likelihood ratio of a window.
    ///
    /// With more than half of the traffic, the new version's servers carry more load than the old
    /// ones. For a rate that rises with load, the new version is then also compared with the old
    /// one's past, when that carried full load, and the weaker evidence counts.
    fn likelihood_ratio(&self, new: Events, margin: f64, ratio: f64) -> f64 {
        let past = || past_likelihood_ratio(new, self.past, margin, ratio);
        if self.old.trials == 0 {
            return past();
        }
        let paired = paired_likelihood_ratio(new, self.old, margin, ratio);
        let unequal = self.rises_with_load && new.trials > self.old.trials;
        if unequal { paired.min(past()) } else { paired }
    }
}

/// Returns the likelihood ratio of the new version's share of all bad events.
///
/// Given the sum of both versions, the new version's count is hypergeometric for equal rates, and
/// so has no more variance than the binomial used here: the mean of the ratio is at most one for
/// any rate within the margin.
fn paired_likelihood_ratio(new: Events, old: Events, margin: f64, ratio: f64) -> f64 {
    let probability = |odds: f64| odds / (1.0 + odds);
    let odds = margin * new.trials as f64 / old.trials as f64;
    bernoulli_likelihood_ratio(new.bad, old.bad, probability(odds), probability(odds * ratio))
}

/// Returns the likelihood ratio against the old version's past rate.
fn past_likelihood_ratio(new: Events, past: Events, margin: f64, ratio: f64) -> f64 {
    if past.trials < MIN_PAST_ATTEMPTS {
        return 1.0;
    }
    let accepted = (past.rate().max(MIN_PAST_RATE) * margin * PAST_MARGIN_RATIO).min(0.9);
    let bad = (accepted * ratio).min(0.95);
    bernoulli_likelihood_ratio(new.bad, new.trials - new.bad, accepted, bad)
}

fn bernoulli_likelihood_ratio(hits: u64, misses: u64, null: f64, alternative: f64) -> f64 {
    let hit = (alternative / null).ln() * hits as f64;
    let miss = ((1.0 - alternative) / (1.0 - null)).ln() * misses as f64;
    (hit + miss).exp()
}
