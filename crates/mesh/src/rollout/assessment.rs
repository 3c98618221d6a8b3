//! Whether a new version is worse than the old one, by the answers of both.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::VersionName;
use serde::{Deserialize, Serialize};

use super::RolloutPlan;

/// Number of buckets of service times: two for each doubling, from `FIRST_BUCKET_LIMIT` up.
pub const BUCKET_COUNT: usize = 28;

/// Upper limit of the first bucket.
const FIRST_BUCKET_LIMIT: Duration = Duration::from_millis(4);

/// Number of buckets above that of the old version's upper quartile from which an answer is slow:
/// it took about three times as long.
const SLOW_BUCKET_OFFSET: usize = 3;

/// The same for a run that was abandoned by then, as when a hedged request has an answer from
/// elsewhere: it would have taken longer, and few runs of a good version last so long.
const ABANDONED_BUCKET_OFFSET: usize = 2;

/// Minimum failure rate assumed for the old version.
const MIN_FAILURE_RATE: f64 = 0.015;

/// Minimum rate of slow answers assumed for the old version.
const MIN_SLOW_RATE: f64 = 0.12;

/// Maximum rate of failures or slow answers assumed for the old version; above it the versions
/// cannot be told apart.
const MAX_BASELINE_RATE: f64 = 0.9;

/// P-value below which the new version counts as bad: the probability that a good version has a
/// result at least as bad. Each of a few routes is tested about thirty times in a rollout.
pub const BAD_P_VALUE: f64 = 1e-4;

/// P-value below which the new version counts as bad while it gets all requests. It is tested only
/// a few times then, and each second of delay costs a second of requests.
const BAD_P_VALUE_AT_FULL_SHARE: f64 = 3e-3;

/// P-value below which the share of the new version does not grow.
const SUSPECT_P_VALUE: f64 = 0.05;

/// Minimum number of the old version's answers on a route from which its failure rate is estimated.
const MIN_BASELINE_ANSWERS: u64 = 10;

/// Answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// All answers, including failures.
    pub ended: u64,
    /// Server errors and lost answers.
    pub failed: u64,
    /// Good answers by bucket of the normalized service time.
    #[serde(rename = "run-times")]
    pub service_times: Vec<u32>,
    /// Runs for whose end nobody waited, by bucket of the time that they had taken.
    #[serde(default)]
    pub abandoned: Vec<u32>,
}

/// Adds counts by bucket to others.
fn add_buckets(sums: &mut Vec<u32>, counts: &[u32]) {
    sums.resize(BUCKET_COUNT, 0);
    sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
}

/// Returns the counts by bucket that were added since `before`.
fn buckets_since(now: &[u32], before: &[u32]) -> Vec<u32> {
    let before = before.iter().chain(std::iter::repeat(&0));
    now.iter().zip(before).map(|(now, before)| now.saturating_sub(*before)).collect()
}

/// Returns the sum of the counts from a bucket on.
fn sum_from(counts: &[u32], bucket: usize) -> u64 {
    counts.iter().skip(bucket).map(|count| u64::from(*count)).sum()
}

impl Counts {
    /// Records an answer; `service_time` is that of a good answer, divided by the slowness of its
    /// machine.
    pub fn record(&mut self, service_time: Option<Duration>) {
        self.ended += 1;
        match service_time {
            Some(service_time) => {
                self.service_times.resize(BUCKET_COUNT, 0);
                self.service_times[bucket(service_time)] += 1;
            }
            None => self.failed += 1,
        }
    }

    /// Records a run for whose end nobody waited; `time` is what it had taken, divided by the slowness
    /// of its machine.
    pub fn record_abandoned(&mut self, time: Duration) {
        self.abandoned.resize(BUCKET_COUNT, 0);
        self.abandoned[bucket(time)] += 1;
    }

    /// Adds the counts of another owner.
    pub fn merge(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        add_buckets(&mut self.service_times, &other.service_times);
        add_buckets(&mut self.abandoned, &other.abandoned);
    }

    /// Returns what was added since `before`.
    fn since(&self, before: &Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(before.ended),
            failed: self.failed.saturating_sub(before.failed),
            service_times: buckets_since(&self.service_times, &before.service_times),
            abandoned: buckets_since(&self.abandoned, &before.abandoned),
        }
    }

    fn timed_answers(&self) -> u64 {
        sum_from(&self.service_times, 0)
    }

    fn slower_than(&self, bucket: usize) -> u64 {
        sum_from(&self.service_times, bucket)
    }

    /// Returns the number of slow runs, and that of all runs of which it is known whether they were
    /// slow; `usual` is the bucket of the old version's upper quartile.
    fn slow_runs(&self, usual: usize) -> (u64, u64) {
        let abandoned = sum_from(&self.abandoned, usual + ABANDONED_BUCKET_OFFSET);
        let slow = self.slower_than(usual + SLOW_BUCKET_OFFSET);
        (slow + abandoned, self.timed_answers() + abandoned)
    }

    /// Returns the bucket of the third quartile of the service times.
    fn upper_quartile(&self) -> Option<usize> {
        let timed_answers = self.timed_answers();
        (timed_answers > 0)
            .then(|| (0..BUCKET_COUNT).find(|b| self.slower_than(b + 1) * 4 <= timed_answers))?
    }
}

fn bucket(service_time: Duration) -> usize {
    let ratio = service_time.as_secs_f64() / FIRST_BUCKET_LIMIT.as_secs_f64();
    if ratio <= 1.0 { 0 } else { ((2.0 * ratio.log2()).ceil() as usize).min(BUCKET_COUNT - 1) }
}

/// Answers by version and route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evidence(pub BTreeMap<VersionName, BTreeMap<Arc<str>, Counts>>);

impl Evidence {
    /// Records an answer; `service_time` is `None` for a failure.
    pub fn record(
        &mut self,
        version: &VersionName,
        route: &Arc<str>,
        service_time: Option<Duration>,
    ) {
        let routes = self.0.entry(version.clone()).or_default();
        routes.entry(route.clone()).or_default().record(service_time);
    }

    /// Records a run for whose end nobody waited; `time` is what it had taken.
    pub fn record_abandoned(&mut self, version: &VersionName, route: &Arc<str>, time: Duration) {
        let routes = self.0.entry(version.clone()).or_default();
        routes.entry(route.clone()).or_default().record_abandoned(time);
    }

    /// Returns the number of answers of one version, or of all.
    pub fn answers(&self, version: Option<&VersionName>) -> u64 {
        let versions = self.0.iter().filter(|(name, _)| version.is_none_or(|v| v == *name));
        versions.flat_map(|(_, routes)| routes.values()).map(|counts| counts.ended).sum()
    }

    /// Returns the evidence with the answers of one version limited to those since `before`.
    pub fn since(&self, before: &Self, version: &VersionName) -> Self {
        let mut window = self.clone();
        let (Some(routes), Some(earlier)) = (window.0.get_mut(version), before.0.get(version))
        else {
            return window;
        };
        for (route, counts) in routes {
            if let Some(before) = earlier.get(route) {
                *counts = counts.since(before);
            }
        }
        window
    }

    /// Adds the evidence of another owner.
    pub fn merge(&mut self, other: &Self) {
        for (version, routes) in &other.0 {
            for (route, counts) in routes {
                let sum = self.0.entry(version.clone()).or_default();
                sum.entry(route.clone()).or_default().merge(counts);
            }
        }
    }
}

/// Result of the assessment of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// It is worse than the old one; holds the reason.
    Bad(String),
    /// It may be worse.
    Suspect,
    /// Nothing speaks against it; holds the number of its answers.
    Good(u64),
}

/// Assesses the new version. A result that a good version has with a probability below
/// `bad_p_value` counts as bad.
pub fn assess(evidence: &Evidence, new: &VersionName, bad_p_value: f64) -> Finding {
    let mut old: BTreeMap<&Arc<str>, Counts> = BTreeMap::new();
    let mut all = Counts::default();
    for (version, routes) in &evidence.0 {
        if version != new {
            for (route, counts) in routes {
                old.entry(route).or_default().merge(counts);
                all.merge(counts);
            }
        }
    }
    let (mut answers, mut suspect) = (0, false);
    for (route, counts) in evidence.0.get(new).into_iter().flatten() {
        answers += counts.ended;
        let none = Counts::default();
        let old_counts = old.get(route).unwrap_or(&none);
        for (description, bad, of, baseline) in comparisons(counts, old_counts, &all) {
            let p_value = binomial_tail(bad, of, baseline);
            if p_value < bad_p_value {
                return Finding::Bad(format!("{bad} of {of} `{route}` requests {description}"));
            }
            suspect |= p_value < SUSPECT_P_VALUE && bad >= 2;
        }
    }
    if suspect { Finding::Suspect } else { Finding::Good(answers) }
}

/// Time over which the recent answers are assessed by themselves: long enough for tens of answers at
/// a full share, short enough that earlier good answers do not hide a version that has turned bad.
const RECENT_TIME: Duration = Duration::from_millis(2_500);

/// Assesses a rollout by all answers and by those of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Assessor {
    /// Evidence at earlier times, up to the first one that is older than [`RECENT_TIME`].
    history: VecDeque<(Instant, Evidence)>,
    /// Since when the version has got all requests.
    full_share_since: Option<Instant>,
    recent_answers: u64,
}

impl Assessor {
    /// Assesses the version of a plan.
    pub fn assess(&mut self, all: &Evidence, plan: &RolloutPlan, now: Instant) -> Finding {
        let bad_p_value = match plan.share >= 1.0 {
            true => {
                // The share was set after the previous assessment.
                let previous = self.history.back().map_or(now, |(at, _)| *at);
                self.full_share_since.get_or_insert(previous);
                BAD_P_VALUE_AT_FULL_SHARE
            }
            false => {
                self.full_share_since = None;
                BAD_P_VALUE
            }
        };
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RECENT_TIME;
        while self.history.get(1).is_some_and(|(at, _)| is_old(*at)) {
            self.history.pop_front();
        }
        // A new leader does not know which of the answers are recent.
        let before = self.history.front().map_or(all, |(_, before)| before);
        let recent = all.since(before, &plan.version);
        self.recent_answers = recent.answers(Some(&plan.version));
        self.history.push_back((now, all.clone()));
        let findings =
            (assess(&recent, &plan.version, bad_p_value), assess(all, &plan.version, BAD_P_VALUE));
        match findings {
            (bad @ Finding::Bad(_), _) | (_, bad @ Finding::Bad(_)) => bad,
            // At a full share few answers are enough to find it bad.
            (Finding::Suspect, _) if plan.share < 1.0 => Finding::Suspect,
            (_, finding) => finding,
        }
    }

    /// Returns the number of the version's answers in the last seconds.
    pub fn recent_answers(&self) -> u64 {
        self.recent_answers
    }

    /// Returns the time for which the version has had all requests.
    pub fn at_full_share(&self, now: Instant) -> Duration {
        self.full_share_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }
}

/// What the bad answers did, for the reason of a rollback; their number; the number of all answers;
/// and the rate of bad ones that a good version may have.
type Comparison = (&'static str, u64, u64, f64);

/// Returns the comparisons on a route. `all` holds the old version's answers on all routes, which
/// are used where it has few answers on this one.
fn comparisons(new: &Counts, old: &Counts, all: &Counts) -> impl Iterator<Item = Comparison> {
    let rate = |bad: u64, of: u64| (bad as f64 + 0.5) / (of as f64 + 1.0);
    let reference = if old.ended >= MIN_BASELINE_ANSWERS { old } else { all };
    let baseline =
        if reference.ended > 0 { rate(reference.failed, reference.ended) * 1.5 } else { 0.0 };
    let failures =
        ("failed", new.failed, new.ended, baseline.clamp(MIN_FAILURE_RATE, MAX_BASELINE_RATE));
    let slow = old.upper_quartile().filter(|_| old.timed_answers() >= 8).map(|bucket| {
        let (old_slow, old_timed) = old.slow_runs(bucket);
        let (new_slow, new_timed) = new.slow_runs(bucket);
        let baseline = rate(old_slow, old_timed) * 1.5;
        let baseline = baseline.clamp(MIN_SLOW_RATE, MAX_BASELINE_RATE);
        ("were far slower than before", new_slow, new_timed, baseline)
    });
    std::iter::once(failures).chain(slow)
}

/// Returns the probability of at least `bad` bad results out of `of` at a rate of `baseline`.
fn binomial_tail(bad: u64, of: u64, baseline: f64) -> f64 {
    if bad == 0 {
        return 1.0;
    }
    // Terms of the binomial distribution, each from the one before.
    let mut term = (of as f64 * (1.0 - baseline).ln()).exp();
    let mut below = 0.0;
    for k in 0..bad {
        below += term;
        term *= (of - k) as f64 / (k + 1) as f64 * baseline / (1.0 - baseline);
    }
    (1.0 - below).max(0.0)
}
