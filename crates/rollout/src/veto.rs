//! The local veto of an ingress, which needs neither the controller nor the store.

use std::{collections::BTreeMap, sync::Arc, time::SystemTime};

use oleandertiller_model::{ServiceSpec, VersionName, intent::Rollout};
use serde::{Deserialize, Serialize};

use crate::{
    evidence::{Arm, Attempt, ServerId, Tally, latency_bucket},
    judge::{Judge, JudgeConfig, Verdict},
};

/// Probability that the judge of one ingress ever vetoes a version within the margin. It is far
/// below that of the controller's judge, since any of hundreds of ingress nodes can veto.
const FALSE_VETO_PROBABILITY: f64 = 1e-6;

/// Score at which a veto begins: a natural logarithm of a likelihood ratio. Three failures in a row
/// reach it when the old version hardly fails; a good version that fails 2% of requests has three
/// in a row once in 125,000 requests.
const MIN_VETO_SCORE: f64 = 9.0;

/// Rate of bad events that the likelihood ratios assume for a bad version.
const BAD_RATE: f64 = 0.5;

/// Smallest rate of failures that is accepted of the new version, however few the old one has.
const MIN_ACCEPTED_FAILURE_RATE: f64 = 0.02;

/// Smallest rate of slow answers that is accepted of the new version, however few the old one has.
const MIN_ACCEPTED_SLOW_RATE: f64 = 0.1;

/// Buckets above the old version's mean from which an answer is slow: four times the latency.
const SLOW_BUCKET_OFFSET: f64 = 4.0;

/// Fewest answers of the old version before slow answers count.
const MIN_OLD_ANSWERS: f64 = 50.0;

/// Smallest weight of one answer in the moving means of the old version.
const MIN_MEAN_WEIGHT: f64 = 0.01;

/// Fewest vetoes that count for all callers, unless there are fewer callers than that.
const MIN_QUORUM: usize = 2;

/// Vetoes of one in this many callers count for all. One caller alone may just have a bad network
/// path to the new servers.
const QUORUM_DIVISOR: usize = 5;

/// Returns whether the vetoes of some of the calling nodes count for all of them.
pub fn is_quorum(vetoes: usize, callers: usize) -> bool {
    vetoes >= MIN_QUORUM.max(callers.div_ceil(QUORUM_DIVISOR)).min(callers.max(1))
}

/// A veto as reported to the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VetoNotice {
    /// Version to which the ingress sends no requests.
    pub version: VersionName,
    /// Start of the rollout that the veto belongs to.
    pub started: SystemTime,
    /// Reason, as one sentence.
    pub reason: Arc<str>,
}

/// Moving means of one request kind at the old version.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    answers: f64,
    failure_rate: f64,
    slow_rate: f64,
    /// Mean index of the latency bucket.
    bucket: f64,
}

/// Cumulative evidence against the new version from one server and request kind.
#[derive(Clone, Copy, Debug, Default)]
struct Scores {
    failures: f64,
    slow: f64,
}

/// Local veto of one service's rollout at one ingress.
///
/// It has two sources of evidence: a run of bad answers, which acts at once, and for each window
/// the same sequential test as the controller's, which finds smaller regressions also without the
/// store.
#[derive(Clone, Debug)]
pub struct Veto {
    version: VersionName,
    started: SystemTime,
    baselines: Vec<Baseline>,
    kind_names: Vec<Arc<str>>,
    judge: Judge,
    scores: BTreeMap<(u8, ServerId), Scores>,
    notice: Option<VetoNotice>,
}

impl Veto {
    /// Creates a veto that is not in force.
    pub fn new(rollout: &Rollout, service: &ServiceSpec) -> Self {
        let kind_names: Vec<Arc<str>> =
            service.kinds.iter().map(|kind| kind.name.as_str().into()).collect();
        let cfg = JudgeConfig {
            false_alarm_probability: FALSE_VETO_PROBABILITY,
            ..JudgeConfig::default()
        };
        Self {
            version: rollout.to.clone(),
            started: rollout.started,
            baselines: vec![Baseline::default(); kind_names.len()],
            judge: Judge::new(cfg, kind_names.iter().cloned()),
            kind_names,
            scores: BTreeMap::new(),
            notice: None,
        }
    }

    /// Returns whether this veto belongs to `rollout` and not to an earlier one.
    pub fn belongs_to(&self, rollout: &Rollout) -> bool {
        self.version == rollout.to && self.started == rollout.started
    }

    /// Returns whether the new version must receive no traffic.
    ///
    /// Once in force, a veto stays until another rollout replaces this one.
    pub fn is_in_force(&self) -> bool {
        self.notice.is_some()
    }

    /// Returns the veto in force, for the next report.
    pub fn notice(&self) -> Option<&VetoNotice> {
        self.notice.as_ref()
    }

    /// Adds one attempt; `new_servers` is the number of the new version's servers that this ingress
    /// knows.
    pub fn observe(
        &mut self,
        server: ServerId,
        arm: Arm,
        kind: u8,
        attempt: Attempt,
        new_servers: usize,
    ) {
        let Some(baseline) = self.baselines.get_mut(usize::from(kind)) else { return };
        match arm {
            Arm::Old => baseline.observe(attempt),
            Arm::New => {
                let baseline = *baseline;
                let scores = self.scores.entry((kind, server)).or_default();
                scores.observe(&baseline, attempt);
                self.check_scores(kind, new_servers);
            }
        }
    }

    /// Adds the evidence of one window of this ingress. Must be called once a second.
    pub fn close_window(&mut self, tally: &Tally) {
        self.judge.observe(tally);
        if self.notice.is_some() {
            return;
        }
        if let Verdict::Bad(finding) = self.judge.verdict() {
            self.enter_into_force(finding.to_string());
        }
    }

    /// Adopts a finding of a judge that has the evidence of all ingress nodes.
    pub fn on_finding(&mut self, finding: &VetoNotice) {
        let same = finding.version == self.version && finding.started == self.started;
        if same && self.notice.is_none() {
            self.notice = Some(finding.clone());
        }
    }

    /// Enters into force if enough other ingress nodes have vetoed the version.
    ///
    /// `notices` holds their vetoes of the last seconds, one for each node; `callers` counts all
    /// ingress nodes that report, this one included. Thus traffic leaves the version everywhere
    /// even while the controller can't write to the store.
    pub fn on_peer_vetoes<'a>(
        &mut self,
        notices: impl Iterator<Item = &'a VetoNotice>,
        callers: usize,
    ) {
        let same = |n: &&VetoNotice| n.version == self.version && n.started == self.started;
        let vetoes = notices.filter(same).count();
        if self.notice.is_none() && is_quorum(vetoes, callers) {
            self.enter_into_force(format!("{vetoes} of {callers} calling nodes vetoed it"));
        }
    }

    /// Returns the sum of the scores over servers. The worst of several servers is left out, since
    /// one slow or failing server doesn't show that its version is bad.
    fn total_scores(&self, kind: u8, new_servers: usize) -> Scores {
        let first = (kind, ServerId(u32::MIN));
        let last = (kind, ServerId(u32::MAX));
        let (mut sum, mut worst) = (Scores::default(), Scores::default());
        for (_, scores) in self.scores.range(first..=last) {
            sum.failures += scores.failures;
            sum.slow += scores.slow;
            worst.failures = worst.failures.max(scores.failures);
            worst.slow = worst.slow.max(scores.slow);
        }
        if new_servers >= 2 {
            sum.failures -= worst.failures;
            sum.slow -= worst.slow;
        }
        sum
    }

    fn check_scores(&mut self, kind: u8, new_servers: usize) {
        if self.notice.is_some() {
            return;
        }
        let total = self.total_scores(kind, new_servers);
        let what = match () {
            () if total.failures >= MIN_VETO_SCORE => "failed",
            () if total.slow >= MIN_VETO_SCORE => "took four times as long as on the old version",
            () => return,
        };
        let name = &self.kind_names[usize::from(kind)];
        self.enter_into_force(format!("most recent `{name}` requests to the new version {what}"));
    }

    fn enter_into_force(&mut self, reason: String) {
        let (version, started) = (self.version.clone(), self.started);
        self.notice = Some(VetoNotice { version, started, reason: reason.into() });
    }
}

impl Baseline {
    fn observe(&mut self, attempt: Attempt) {
        let weight = MIN_MEAN_WEIGHT.max(1.0 / (self.answers + 1.0));
        let update = |mean: &mut f64, value: f64| *mean += weight * (value - *mean);
        match attempt {
            Attempt::Failed => update(&mut self.failure_rate, 1.0),
            Attempt::DoneCold => update(&mut self.failure_rate, 0.0),
            Attempt::Done(latency) => {
                let bucket = latency_bucket(latency) as f64;
                let slow = bucket >= self.bucket + SLOW_BUCKET_OFFSET && self.answers > 0.0;
                update(&mut self.failure_rate, 0.0);
                update(&mut self.slow_rate, f64::from(u8::from(slow)));
                update(&mut self.bucket, bucket);
                self.answers += 1.0;
            }
        }
    }

    fn is_slow(&self, attempt: Attempt) -> Option<bool> {
        match attempt {
            Attempt::Done(latency) if self.answers >= MIN_OLD_ANSWERS => {
                Some(latency_bucket(latency) as f64 >= self.bucket + SLOW_BUCKET_OFFSET)
            }
            _ => None,
        }
    }
}

impl Scores {
    fn observe(&mut self, baseline: &Baseline, attempt: Attempt) {
        let failed = attempt == Attempt::Failed;
        let accepted = (2.0 * baseline.failure_rate).max(MIN_ACCEPTED_FAILURE_RATE);
        self.failures = next_score(self.failures, failed, accepted);
        if let Some(slow) = baseline.is_slow(attempt) {
            let accepted = (2.0 * baseline.slow_rate).max(MIN_ACCEPTED_SLOW_RATE);
            self.slow = next_score(self.slow, slow, accepted);
        }
    }
}

/// Returns the next value of a cumulative sum of log-likelihood ratios of [`BAD_RATE`] against
/// `accepted`.
fn next_score(score: f64, bad: bool, accepted: f64) -> f64 {
    if accepted >= BAD_RATE {
        return 0.0;
    }
    let step = if bad { BAD_RATE / accepted } else { (1.0 - BAD_RATE) / (1.0 - accepted) };
    (score + step.ln()).max(0.0)
}
