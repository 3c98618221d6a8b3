//! Sequential judgement of the new version against the old one at the same time.
//!
//! Each request kind is tested on failures and on two latency tails. The test is a mixture SPRT on
//! the count of bad events of the new version given the count of both, window by window; see
//! `docs/notes/rollouts.md` for its error rates and for the tests it was compared with.

pub mod process;
pub mod proof;

use std::{collections::BTreeMap, fmt, sync::Arc};

use crate::evidence::{Arm, Counts, LATENCY_BUCKETS, ServerId, Tally};

use process::{Baseline, Compared, Process, WindowCounts};

/// Error rates and margins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgeConfig {
    /// Probability that a version within the margin is ever found bad, over all kinds and measures.
    pub false_alarm_probability: f64,
    /// Probability that a version beyond the proof's limit is found proved, for each measure.
    pub false_proof_probability: f64,
    /// Ratio of the new version's rate of bad events to the old one's that is still accepted.
    pub margin: f64,
    /// Kinds with a smaller share of the attempts need no proof.
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
    /// Share of answers slower than about 90 in 100 of the old version's.
    Slow,
    /// Share of answers slower than about 99 in 100 of the old version's.
    VerySlow,
}

/// All measures, in the order in which they are tested.
pub const MEASURES: [Measure; 3] = [Measure::Failures, Measure::Slow, Measure::VerySlow];

/// Measures that a proof requires; the far tail needs more requests than a small share provides.
const PROOF_MEASURES: [Measure; 2] = [Measure::Failures, Measure::Slow];

impl Measure {
    /// Returns whether a good version's rate of bad events grows with its servers' load.
    fn rises_with_load(self) -> bool {
        self != Self::Failures
    }

    fn proof_excess(self) -> f64 {
        if self == Self::Failures { proof::FAILURE_EXCESS } else { proof::SLOW_EXCESS }
    }

    /// Returns the part of the old version's answers that counts as slow.
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
    /// Kind of request.
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
    /// Too little data for either; names the kind that lacks data.
    Undecided(Arc<str>),
    /// Within the limit on every kind so far. It can still be found bad.
    Proved,
    /// Worse than the margin allows. Never changes.
    Bad(Finding),
}

/// Ratio between the probabilities of a false alarm with one noisy server and without any: a version
/// within the margin that has one is found bad with a probability of at most 1% in place of 0.1%.
const ONE_SERVER_FACTOR: f64 = 10.0;

#[derive(Clone, Debug, Default)]
struct Detector {
    all: Process,
    without: BTreeMap<ServerId, Process>,
}

impl Detector {
    /// Returns the evidence against the version.
    ///
    /// It must hold on all servers, and, up to [`ONE_SERVER_FACTOR`], also when the server that weighs
    /// most is left out. A single server of the version cannot be told apart from the version.
    fn evidence(&self) -> f64 {
        let all = self.all.evidence();
        if self.without.len() < 2 {
            return all;
        }
        let least = self.without.values().map(Process::evidence).fold(f64::INFINITY, f64::min);
        all.min(least * ONE_SERVER_FACTOR)
    }
}

#[derive(Clone, Debug)]
struct KindState {
    name: Arc<str>,
    old: BTreeMap<ServerId, Counts>,
    new: BTreeMap<ServerId, Counts>,
    detectors: [Detector; 3],
    /// Stays set, as the sequential test goes on after the proof.
    proved: bool,
}

/// Judges one rollout.
#[derive(Clone, Debug)]
pub struct Judge {
    cfg: JudgeConfig,
    kinds: Vec<KindState>,
    found: Option<Finding>,
}

impl Judge {
    /// Creates a judge without data; `kinds` in the order of the service's specification.
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

    /// Takes the evidence of one window.
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

    /// Returns what is known.
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

    /// Returns the number of attempts of the new version seen for the kind.
    pub fn new_attempts(&self, kind: &str) -> u64 {
        let kind = self.kinds.iter().find(|state| &*state.name == kind);
        kind.map_or(0, |state| state.new.values().map(|counts| counts.attempts).sum())
    }

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
            let Some(bound) = slow_bound(measure, &past) else { continue };
            let window = WindowCounts::new(tally, index, outlier, |counts| event(bound, counts));
            let past = event(bound, &past);
            let baseline =
                Baseline { old: window.old, past, rises_with_load: measure.rises_with_load() };
            update(detector, &window, &baseline, margin);
        }
        for (server, servers) in tally.servers() {
            let Some(counts) = servers.kinds.get(index) else { continue };
            let side = if servers.arm == Arm::New { &mut self.new } else { &mut self.old };
            side.entry(server).or_default().merge(counts);
        }
    }

    fn is_proved(&self, false_proof_probability: f64) -> bool {
        let old = proof::total(&self.old, proof::outlier(&self.old));
        PROOF_MEASURES.into_iter().all(|measure| {
            let Some(bound) = slow_bound(measure, &old) else { return false };
            let events = |counts: &Counts| event(bound, counts);
            let new = self.new.values().map(events);
            let excess = measure.proof_excess();
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
        let bound = slow_bound(measure, &old).unwrap_or(Bound::Failures);
        let (new, old) = (event(bound, &new), event(bound, &old));
        Finding { kind: self.name.clone(), measure, new: new.pair(), old: old.pair() }
    }
}

fn update(detector: &mut Detector, window: &WindowCounts, baseline: &Baseline, margin: f64) {
    for (server, _) in &window.new {
        // Before a server's first window, leaving it out makes no difference.
        detector.without.entry(*server).or_insert_with(|| detector.all.clone());
    }
    detector.all.update(window.new_total(None), baseline, margin);
    for (server, process) in &mut detector.without {
        process.update(window.new_total(Some(*server)), baseline, margin);
    }
}

/// What counts as a bad event.
#[derive(Clone, Copy, Debug)]
enum Bound {
    Failures,
    Bucket(usize),
}

fn event(bound: Bound, counts: &Counts) -> Compared {
    match bound {
        Bound::Failures => Compared { bad: counts.failed, of: counts.attempts },
        Bound::Bucket(bucket) => {
            Compared { bad: counts.at_or_above(bucket), of: counts.latency_count() }
        }
    }
}

/// Returns the lowest bucket bound that at most the measure's tail of the old answers exceeds.
fn slow_bound(measure: Measure, old: &Counts) -> Option<Bound> {
    let Some(tail) = measure.tail() else { return Some(Bound::Failures) };
    let timed = old.latency_count();
    if timed as f64 * tail < 1.0 {
        return None;
    }
    let within = |bucket: &usize| old.at_or_above(*bucket) as f64 <= timed as f64 * tail;
    (1..LATENCY_BUCKETS).find(within).map(Bound::Bucket)
}
