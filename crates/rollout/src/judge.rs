//! Compares the new version with the old one, which runs at the same time, by sequential tests.
//!
//! Each request kind is tested for failures and for two latency tails. The test is a mixture
//! sequential probability ratio test (SPRT): for each window it takes the new version's bad events,
//! given the sum of both versions'. See `docs/notes/rollouts.md` for its error rates and for the
//! tests that it was compared with.

pub mod proof;
pub mod sequential_test;

use std::{collections::BTreeMap, fmt, sync::Arc};

use crate::evidence::{Arm, Counts, LATENCY_BUCKETS, ServerId, Tally};

use sequential_test::{Baseline, Events, SequentialTest, WindowEvents};

/// Error rates and margins of a judge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgeConfig {
    /// Probability that a version within the margin is ever found bad, over all kinds and measures
    /// together.
    pub false_alarm_probability: f64,
    /// Probability, for each measure, that a version beyond the limit of the proof counts as
    /// proved.
    pub false_proof_probability: f64,
    /// Largest accepted ratio of the new version's rate of bad events to the old one's.
    pub margin: f64,
    /// Share of all attempts below which a kind needs no proof.
    pub rare_kind_share: f64,
}

impl Default for JudgeConfig {
    fn default() -> Self {
        Self {
            false_alarm_probability: 1e-3,
            false_proof_probability: 0.05,
            margin: 1.5,
            rare_kind_share: 0.005,
        }
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Share of attempts that fail.
    Failures,
    /// Share of answers slower than about the 90th percentile of the old version.
    Slow,
    /// Share of answers slower than about the 99th percentile of the old version.
    VerySlow,
}

/// All measures, in the order in which they are tested.
pub const MEASURES: [Measure; 3] = [Measure::Failures, Measure::Slow, Measure::VerySlow];

/// Measures that a proof requires. The far tail needs more requests than a small share provides.
const PROOF_MEASURES: [Measure; 2] = [Measure::Failures, Measure::Slow];

impl Measure {
    /// Returns whether the rate of bad events of a good version rises with the load of its servers.
    fn rises_with_load(self) -> bool {
        self != Self::Failures
    }

    /// Returns the rate above the old version's that a proof must exclude at least.
    fn proof_excess_rate(self) -> f64 {
        if self == Self::Failures { proof::FAILURE_EXCESS_RATE } else { proof::SLOW_EXCESS_RATE }
    }

    /// Returns the share of the old version's answers that counts as slow; `None` for failures.
    fn tail(self) -> Option<f64> {
        match self {
            Self::Failures => None,
            Self::Slow => Some(0.1),
            Self::VerySlow => Some(0.01),
        }
    }
}

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Request kind on which the new version is worse.
    pub kind: Arc<str>,
    /// What was compared.
    pub measure: Measure,
    /// Bad events and attempts of the new version since the rollout's start.
    pub new: (u64, u64),
    /// Bad events and attempts of the old version since the rollout's start.
    pub old: (u64, u64),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.measure {
            Measure::Failures => "failed",
            Measure::Slow => "were slow",
            Measure::VerySlow => "were very slow",
        };
        let ((new, new_of), (old, old_of)) = (self.new, self.old);
        let kind = &self.kind;
        write!(
            f,
            "{new} of {new_of} `{kind}` requests {what} on the new version, {old} of {old_of} on the old"
        )
    }
}

/// What is known of the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too little data to decide; names a kind that lacks data.
    Undecided(Arc<str>),
    /// Within the limit on every common kind so far. The version can still be found bad.
    Proved,
    /// Worse than the margin allows. This verdict is final.
    Bad(Finding),
}

/// Factor by which one noisy server may raise the probability of a false alarm. A version within
/// the margin that has one is found bad with a probability of at most 1% instead of 0.1%.
const LEAVE_ONE_OUT_FACTOR: f64 = 10.0;

/// Sequential tests of one kind and measure.
#[derive(Clone, Debug, Default)]
struct Detector {
    all: SequentialTest,
    /// Tests that leave out one server of the new version each.
    leave_one_out: BTreeMap<ServerId, SequentialTest>,
}

impl Detector {
    /// Returns the evidence against the version.
    ///
    /// It must hold for all servers together and, up to [`LEAVE_ONE_OUT_FACTOR`], also without the
    /// server that contributes most. With a single server, the server can't be told apart from the
    /// version.
    fn evidence(&self) -> f64 {
        let all = self.all.evidence();
        if self.leave_one_out.len() < 2 {
            return all;
        }
        let least =
            self.leave_one_out.values().map(SequentialTest::evidence).fold(f64::INFINITY, f64::min);
        all.min(least * LEAVE_ONE_OUT_FACTOR)
    }
}

/// Counts and tests of one request kind.
#[derive(Clone, Debug)]
struct KindState {
    name: Arc<str>,
    old: BTreeMap<ServerId, Counts>,
    new: BTreeMap<ServerId, Counts>,
    detectors: [Detector; 3],
    /// Once set, stays set; the sequential tests go on after the proof.
    proved: bool,
}

/// Judges the new version of one rollout.
#[derive(Clone, Debug)]
pub struct Judge {
    cfg: JudgeConfig,
    kinds: Vec<KindState>,
    found: Option<Finding>,
}

impl Judge {
    /// Creates a judge without data; `kinds` are in the order of the service's specification.
    pub fn new(cfg: JudgeConfig, kinds: impl IntoIterator<Item = Arc<str>>) -> Self {
        let state = |name| KindState {
            name,
            old: BTreeMap::new(),
            new: BTreeMap::new(),
            detectors: Default::default(),
            proved: false,
        };
        Self { cfg, kinds: kinds.into_iter().map(state).collect(), found: None }
    }

    /// Adds the evidence of one window.
    pub fn observe(&mut self, tally: &Tally) {
        let JudgeConfig { margin, false_proof_probability, .. } = self.cfg;
        for (index, kind) in self.kinds.iter_mut().enumerate() {
            kind.observe(index, tally, margin);
            kind.proved = kind.proved || kind.is_proved(false_proof_probability);
        }
        if self.found.is_none() {
            self.found = self.find();
        }
    }

    /// Returns the present verdict.
    pub fn verdict(&self) -> Verdict {
        if let Some(finding) = &self.found {
            return Verdict::Bad(finding.clone());
        }
        let total: u64 = self.kinds.iter().map(KindState::attempts).sum();
        let rare = (total as f64 * self.cfg.rare_kind_share).max(1.0);
        let mut common = self.kinds.iter().filter(|kind| kind.attempts() as f64 >= rare);
        let unproved = common.find(|kind| !kind.proved);
        match unproved {
            Some(kind) => Verdict::Undecided(kind.name.clone()),
            None if total == 0 => Verdict::Undecided("any".into()),
            None => Verdict::Proved,
        }
    }

    /// Returns the number of attempts of this kind at the new version.
    pub fn new_attempts(&self, kind: &str) -> u64 {
        let kind = self.kinds.iter().find(|state| &*state.name == kind);
        kind.map_or(0, |state| state.new.values().map(|counts| counts.attempts).sum())
    }

    /// Returns the first finding, in the order of kinds and measures.
    fn find(&self) -> Option<Finding> {
        let tests = (self.kinds.len() * MEASURES.len()) as f64;
        let limit = tests / self.cfg.false_alarm_probability;
        for kind in &self.kinds {
            for (detector, measure) in kind.detectors.iter().zip(MEASURES) {
                if detector.evidence() >= limit {
                    return Some(kind.finding(measure));
                }
            }
        }
        None
    }
}

impl KindState {
    fn attempts(&self) -> u64 {
        self.old.values().chain(self.new.values()).map(|counts| counts.attempts).sum()
    }

    fn observe(&mut self, index: usize, tally: &Tally, margin: f64) {
        let outlier = proof::outlier(&self.old);
        for (measure, detector) in MEASURES.into_iter().zip(&mut self.detectors) {
            let past = proof::total(&self.old, outlier);
            let Some(event) = event_for(measure, &past) else { continue };
            let window = WindowEvents::new(tally, index, outlier, |counts| count(event, counts));
            let past = count(event, &past);
            let baseline =
                Baseline { old: window.old, past, rises_with_load: measure.rises_with_load() };
            update(detector, &window, &baseline, margin);
        }
        for (server, server_tally) in tally.servers() {
            let Some(counts) = server_tally.kinds.get(index) else { continue };
            let side = if server_tally.arm == Arm::New { &mut self.new } else { &mut self.old };
            side.entry(server).or_default().merge(counts);
        }
    }

    fn is_proved(&self, false_proof_probability: f64) -> bool {
        let old = proof::total(&self.old, proof::outlier(&self.old));
        PROOF_MEASURES.into_iter().all(|measure| {
            let Some(event) = event_for(measure, &old) else { return false };
            let events = |counts: &Counts| count(event, counts);
            let new = self.new.values().map(events);
            let excess = measure.proof_excess_rate();
            proof::is_proved(
                &new.collect::<Vec<_>>(),
                events(&old),
                excess,
                false_proof_probability,
            )
        })
    }

    fn finding(&self, measure: Measure) -> Finding {
        let old = proof::total(&self.old, None);
        let new = proof::total(&self.new, None);
        let event = event_for(measure, &old).unwrap_or(BadEvent::Failures);
        let (new, old) = (count(event, &new), count(event, &old));
        Finding { kind: self.name.clone(), measure, new: new.pair(), old: old.pair() }
    }
}

fn update(detector: &mut Detector, window: &WindowEvents, baseline: &Baseline, margin: f64) {
    for (server, _) in &window.new {
        // Before a server's first window, leaving it out makes no difference.
        detector.leave_one_out.entry(*server).or_insert_with(|| detector.all.clone());
    }
    detector.all.update(window.new_total(None), baseline, margin);
    for (server, test) in &mut detector.leave_one_out {
        test.update(window.new_total(Some(*server)), baseline, margin);
    }
}

/// What counts as a bad event.
#[derive(Clone, Copy, Debug)]
enum BadEvent {
    Failures,
    /// An answer with a latency in this bucket or above.
    Bucket(usize),
}

fn count(event: BadEvent, counts: &Counts) -> Events {
    match event {
        BadEvent::Failures => Events { bad: counts.failed, trials: counts.attempts },
        BadEvent::Bucket(bucket) => Events { bad: counts.at_least(bucket), trials: counts.timed() },
    }
}

/// Returns what counts as a bad event: for latencies, the lowest bucket such that at most the
/// measure's tail of the old answers lies in it or above. `None` while there are too few answers.
fn event_for(measure: Measure, old: &Counts) -> Option<BadEvent> {
    let Some(tail) = measure.tail() else { return Some(BadEvent::Failures) };
    let timed = old.timed();
    if timed as f64 * tail < 1.0 {
        return None;
    }
    let within = |bucket: &usize| old.at_least(*bucket) as f64 <= timed as f64 * tail;
    (1..LATENCY_BUCKETS).find(within).map(BadEvent::Bucket)
}
