//! Which versions of a service may serve, and whether a new version is good.
//!
//! A rollout lasts seconds, so the assessment works on tens of answers: for each route it compares
//! the share of failed answers, and of answers far slower than those of the old version. Service
//! times are divided by the slowness of the machine at their start, so that a version is not blamed
//! for the load of other work on its machine. The new version gets few requests at first, then
//! enough to put one of its upstreams under load, and all requests only if nothing speaks against
//! it. A version that turns bad late or under load therefore also stays within the exposure that
//! the operators allow.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleandertiller_model::VersionName;
use serde::{Deserialize, Serialize};

use crate::exposure::ExposureLimit;

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Both versions serve.
    Running,
    /// Only the new version serves.
    Completed,
    /// Only other versions serve.
    RolledBack,
}

/// State of the rollout of one service, as kept in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutPlan {
    /// Revision of the operators' order that it carries out.
    #[serde(rename = "order")]
    pub order_revision: u64,
    /// Version that the rollout introduces.
    pub version: VersionName,
    /// Whether the rollout is running, or how it ended.
    pub phase: Phase,
    /// Share of the requests that the new version gets.
    pub share: f64,
    /// Start by the wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "started")]
    pub started_ms: u64,
    /// Why it was rolled back, if it was.
    #[serde(rename = "why")]
    pub reason: Option<Arc<str>>,
}

impl RolloutPlan {
    /// Returns the plan after its order was written again: the store was restored from a copy, and
    /// the order that had `known_revision` now has `revision`. The result is `None` if the plan
    /// belongs to an earlier order.
    pub fn after_restore(&self, known_revision: u64, revision: u64) -> Option<Self> {
        let carries_out_order = self.order_revision >= known_revision;
        carries_out_order.then(|| Self { order_revision: revision, ..self.clone() })
    }
}

/// Versions of a service that may serve.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowedVersions {
    /// Every version.
    Any,
    /// Only this version.
    Only(VersionName),
    /// Every version but this one.
    Without(VersionName),
    /// This version gets a share of the requests, the others get the rest.
    Share(VersionName, f64),
}

impl AllowedVersions {
    /// Returns what a plan and an order, with its revision and version, allow. The version of an
    /// order that no leader has taken up yet may not serve.
    pub fn new(plan: Option<&RolloutPlan>, order: Option<(u64, &VersionName)>) -> Self {
        match (plan, order) {
            (plan, Some((revision, version)))
                if plan.is_none_or(|plan| {
                    plan.order_revision < revision && plan.version != *version
                }) =>
            {
                Self::Without(version.clone())
            }
            (Some(plan), _) => match plan.phase {
                Phase::Running if plan.share >= 1.0 => Self::Only(plan.version.clone()),
                Phase::Running => Self::Share(plan.version.clone(), plan.share),
                Phase::Completed => Self::Only(plan.version.clone()),
                Phase::RolledBack => Self::Without(plan.version.clone()),
            },
            (None, _) => Self::Any,
        }
    }

    /// Returns whether a version may serve at all.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any | Self::Share(..) => true,
            Self::Only(only) => only == version,
            Self::Without(without) => without != version,
        }
    }
}

/// Number of buckets of service times: two for each doubling, from `FIRST_BUCKET_LIMIT` up.
pub const BUCKET_COUNT: usize = 28;

/// Upper limit of the first bucket.
const FIRST_BUCKET_LIMIT: Duration = Duration::from_millis(4);

/// Number of buckets above that of the old version's upper quartile from which an answer is slow:
/// it took about three times as long.
const SLOW_BUCKET_OFFSET: usize = 3;

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
pub const BAD_P_VALUE_AT_FULL_SHARE: f64 = 3e-3;

/// P-value below which the share of the new version does not grow.
const SUSPECT_P_VALUE: f64 = 0.05;

/// Minimum number of the old version's answers on a route from which its failure rate is estimated.
const MIN_BASELINE_ANSWERS: u64 = 10;

/// Minimum number of the new version's answers before it gets all requests and before it completes.
const MIN_NEW_ANSWERS: u64 = 12;

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

    /// Adds the counts of another owner.
    pub fn merge(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.service_times.resize(BUCKET_COUNT, 0);
        for (sum, count) in self.service_times.iter_mut().zip(&other.service_times) {
            *sum += count;
        }
    }

    /// Returns what was added since `before`.
    fn since(&self, before: &Self) -> Self {
        let count = |bucket: usize| before.service_times.get(bucket).copied().unwrap_or(0);
        let service_times = self.service_times.iter().enumerate();
        Self {
            ended: self.ended.saturating_sub(before.ended),
            failed: self.failed.saturating_sub(before.failed),
            service_times: service_times.map(|(at, now)| now.saturating_sub(count(at))).collect(),
        }
    }

    fn timed_answers(&self) -> u64 {
        self.service_times.iter().map(|count| u64::from(*count)).sum()
    }

    fn slower_than(&self, bucket: usize) -> u64 {
        self.service_times.iter().skip(bucket).map(|count| u64::from(*count)).sum()
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
        let from = bucket + SLOW_BUCKET_OFFSET;
        let baseline = rate(old.slower_than(from), old.timed_answers()) * 1.5;
        let baseline = baseline.clamp(MIN_SLOW_RATE, MAX_BASELINE_RATE);
        ("were far slower than before", new.slower_than(from), new.timed_answers(), baseline)
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

/// Fraction of the time limit after which a version that isn't suspect gets all requests.
const FULL_SHARE_START: f64 = 0.68;

/// Fraction of the time limit after which the share is no longer raised to all requests, because
/// too little time would be left to see the effect.
const FULL_SHARE_LATEST_START: f64 = 0.8;

/// Minimum time for which a version has all requests before its rollout completes, as a fraction of
/// the time limit.
const FULL_SHARE_MIN_DURATION: f64 = 0.1;

/// Fraction of the time limit after which a rollout completes. The servers of the old version then
/// stop at once, so the requests that they got until [`FULL_SHARE_START`] must have ended by then.
const COMPLETION_START: f64 = 0.78;

/// Fraction of the time limit from which a version that is not shown to be good is rolled back.
const ROLLOUT_END: f64 = 0.92;

/// Fraction of the time limit after which one upstream of the new version is put under load: late
/// enough to find a version that turns bad only after some seconds.
const LOAD_TEST_START: f64 = 0.4;

/// Maximum share of the new version while its upstreams are under load. The old version keeps the
/// rest, so that there is still something to compare with.
const LOAD_TEST_MAX_SHARE: f64 = 0.8;

/// Requests of the load test in relation to those that fill one upstream. All nodes fill the
/// upstreams in the same order and pass over a slow one, so that more than the requests of one
/// upstream are needed to keep one full.
const LOAD_TEST_FILL: f64 = 1.5;

/// Share of the allowed exposure that may be used by the end of the load test.
const LOAD_TEST_EXPOSURE_SHARE: f64 = 0.25;

/// Requests per second of the new version before and after the load test.
const CANARY_PER_SECOND: f64 = 2.0;

/// Minimum and maximum share of an unproved version outside the load test.
const CANARY_SHARE_RANGE: (f64, f64) = (0.02, 0.15);

/// Ratio of the smaller to the larger of two shares below which the share is changed.
const MIN_SHARE_RATIO: f64 = 0.6;

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutProgress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time limit set by the order.
    pub time_limit: Duration,
    /// Whether any upstream of the new version accepts requests.
    pub new_is_serving: bool,
    /// Time for which the new version has had all requests.
    pub at_full_share: Duration,
    /// Answers of the service per second; `None` until they have been counted for long enough.
    pub answers_per_second: Option<f64>,
    /// Requests per second that fill all slots of one upstream.
    pub upstream_per_second: f64,
    /// Number of answers of the new version.
    pub new_answers: u64,
    /// Limit on the requests to a bad version.
    pub exposure: ExposureLimit,
}

impl RolloutProgress {
    /// Returns the fraction of the time limit that has elapsed.
    fn elapsed_fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }

    /// Returns the share of an unproved version.
    fn canary_share(&self) -> f64 {
        let Some(rate) = self.answers_per_second else { return CANARY_SHARE_RANGE.0 };
        let all = rate * self.time_limit.as_secs_f64();
        let allowed = self.exposure.share * all + self.exposure.extra;
        if self.elapsed_fraction() >= LOAD_TEST_START
            && (self.new_answers as f64) < allowed * LOAD_TEST_EXPOSURE_SHARE
        {
            let fill = self.upstream_per_second * LOAD_TEST_FILL;
            return (fill / rate.max(1.0)).clamp(CANARY_SHARE_RANGE.0, LOAD_TEST_MAX_SHARE);
        }
        (CANARY_PER_SECOND / rate.max(1.0)).clamp(CANARY_SHARE_RANGE.0, CANARY_SHARE_RANGE.1)
    }
}

/// Next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Change nothing.
    Stay,
    /// Give the new version this share.
    Share(f64),
    /// Let only the new version serve.
    Complete,
    /// Let only the old version serve; holds the reason.
    RollBack(String),
}

/// Returns the next step of a running rollout.
pub fn next_step(plan: &RolloutPlan, finding: &Finding, progress: &RolloutProgress) -> Step {
    let elapsed_fraction = progress.elapsed_fraction();
    let answers = match finding {
        Finding::Bad(why) => return Step::RollBack(why.clone()),
        Finding::Suspect if elapsed_fraction >= ROLLOUT_END => {
            return Step::RollBack("not shown to be good in time".to_owned());
        }
        Finding::Suspect => 0,
        Finding::Good(answers) => *answers,
    };
    if elapsed_fraction >= ROLLOUT_END && (answers == 0 || !progress.new_is_serving) {
        return Step::RollBack("it did not serve in time".to_owned());
    }
    if elapsed_fraction >= ROLLOUT_END && plan.share < 1.0 {
        return Step::RollBack("not shown to be good in time".to_owned());
    }
    let proved = progress.new_is_serving && answers >= MIN_NEW_ANSWERS;
    if plan.share >= 1.0 {
        let tested = progress.at_full_share.as_secs_f64()
            >= FULL_SHARE_MIN_DURATION * progress.time_limit.as_secs_f64();
        // A suspicion would cost a second of all requests until it is confirmed.
        let keep = progress.new_is_serving && *finding != Finding::Suspect;
        return match (keep, proved && tested && elapsed_fraction >= COMPLETION_START) {
            (false, _) => Step::Share(CANARY_SHARE_RANGE.0),
            (true, true) => Step::Complete,
            (true, false) => Step::Stay,
        };
    }
    if proved && (FULL_SHARE_START..FULL_SHARE_LATEST_START).contains(&elapsed_fraction) {
        return Step::Share(1.0);
    }
    let share = progress.canary_share();
    // Small changes of the share are not worth a write.
    let differs = share < plan.share * MIN_SHARE_RATIO || share * MIN_SHARE_RATIO > plan.share;
    if progress.new_is_serving && differs { Step::Share(share) } else { Step::Stay }
}
