//! Which versions of a service may serve, and whether a new version is good.
//!
//! A rollout lasts seconds, so the assessment works on tens of answers: for each route it compares
//! the share of failed answers, and of answers far slower than those of the old version. Service
//! times are divided by the slowness of the machine at their start, so that a version is not blamed
//! for the load of other work on its machine. The new version gets few requests at first, then
//! enough to put one of its upstreams under load, and all requests only if nothing speaks against
//! it, and so late that those until the deadline are within what the operators allow to a bad
//! version. A version that turns bad at any moment therefore also stays within it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::VersionName;
use serde::{Deserialize, Serialize};

use crate::exposure::{ExposureLimit, RequestCounts};

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
    /// Requests to the new version when the plan was written, for the next leader.
    #[serde(default)]
    pub exposed: u64,
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
const BAD_P_VALUE_AT_FULL_SHARE: f64 = 3e-3;

/// P-value below which the share of the new version does not grow.
const SUSPECT_P_VALUE: f64 = 0.05;

/// Minimum number of the old version's answers on a route from which its failure rate is estimated.
const MIN_BASELINE_ANSWERS: u64 = 10;

/// Minimum number of the new version's answers before it gets all requests and before it completes.
const MIN_NEW_ANSWERS: u64 = 12;

/// Minimum number of the new version's answers in the last seconds before it gets all requests, unless
/// it would be too late otherwise, and before it completes, unless the time is over.
const MIN_RECENT_ANSWERS: u64 = 6;

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

/// Fraction of the time limit before which a version does not get all requests, even if the limit
/// on them allows it.
const FULL_SHARE_START: f64 = 0.68;

/// Time for which a version has all requests before its rollout completes, as a fraction of the
/// time limit.
const FULL_SHARE_DURATION: f64 = 0.1;

/// Minimum of that time if the old version has no more requests to finish.
const FULL_SHARE_IDLE_DURATION: Duration = Duration::from_millis(500);

/// Minimum of that time if the deadline is near.
const FULL_SHARE_MIN_DURATION: Duration = Duration::from_millis(150);

/// Factor by which the rate of requests may rise after the completion, when nothing limits them.
const BURST_FACTOR: f64 = 2.0;

/// Time before the deadline at which a rollout completes at the latest: the time until the operators
/// see it, and for a delayed assessment.
const COMPLETION_MARGIN: Duration = Duration::from_millis(650);

/// Time before the deadline from which a version gets all requests at the latest.
const LATEST_FULL_SHARE: Duration = Duration::from_millis(1_200);

/// Time before the deadline at which a version that is not shown to be good is rolled back.
const ROLLBACK_MARGIN: Duration = Duration::from_millis(400);

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
const LOAD_TEST_EXPOSURE_SHARE: f64 = 0.4;

/// The same if the version is suspect: more answers decide whether it fails under load.
const LOAD_TEST_SUSPECT_EXPOSURE_SHARE: f64 = 0.55;

/// Time for which the load test fills one upstream, at most.
const LOAD_TEST_DURATION: Duration = Duration::from_millis(1_500);

/// Requests per second of the new version before the load test.
const CANARY_PER_SECOND: f64 = 2.0;

/// Requests per second of the new version after the load test.
const WATCH_PER_SECOND: f64 = 2.0;

/// Share of the allowed exposure for the last seconds before the version gets all requests, so that
/// there are recent answers.
const RECHECK_EXPOSURE_SHARE: f64 = 0.06;

/// Time before the full share over which they are spread, and that before it in which the nodes learn
/// of their share.
const RECHECK_DURATION: Duration = Duration::from_millis(1_500);
const RECHECK_NEWS_TIME: Duration = Duration::from_millis(500);

/// Minimum and maximum share of an unproved version outside the load test.
const CANARY_SHARE_RANGE: (f64, f64) = (0.01, 0.25);

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
    /// Whether the version is suspect.
    pub suspect: bool,
    /// Answers of the new version in the last seconds.
    pub recent_answers: u64,
    /// Requests of the service per second at present; `None` until they have been counted for long
    /// enough.
    pub requests_per_second: Option<f64>,
    /// Requests per second that fill all slots of one upstream.
    pub upstream_per_second: f64,
    /// Requests that upstreams of the old version are running.
    pub old_running: u32,
    /// Requests since the order.
    pub counts: RequestCounts,
    /// Requests since the order if all grants are used.
    pub committed: RequestCounts,
    /// Limit on the requests to a bad version.
    pub exposure: ExposureLimit,
}

impl RolloutProgress {
    /// Returns the fraction of the time limit that has elapsed.
    fn elapsed_fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }

    fn time_left(&self) -> Duration {
        self.time_limit.saturating_sub(self.elapsed)
    }

    /// Returns the number of requests that the service gets in a time at the present rate.
    fn requests_in(&self, time: Duration) -> f64 {
        self.requests_per_second.unwrap_or(0.0) * time.as_secs_f64()
    }

    /// Returns how many requests a bad version may get in all, at the present rate.
    fn expected_limit(&self) -> f64 {
        let all = self.counts.all + self.requests_in(self.time_left()) as u64;
        self.exposure.allowed(RequestCounts { all, ..self.counts })
    }

    /// Returns how many requests the load test may get in addition to `counts`.
    fn load_test_room(&self, counts: RequestCounts) -> f64 {
        let (share, duration) = match self.suspect {
            true => (LOAD_TEST_SUSPECT_EXPOSURE_SHARE, LOAD_TEST_DURATION * 2),
            false => (LOAD_TEST_EXPOSURE_SHARE, LOAD_TEST_DURATION),
        };
        let fill = self.upstream_per_second * duration.as_secs_f64();
        (self.expected_limit() * share).min(fill) - counts.new as f64
    }

    fn is_under_load_test(&self) -> bool {
        let is_time = (LOAD_TEST_START..FULL_SHARE_START).contains(&self.elapsed_fraction());
        is_time && self.load_test_room(self.counts) >= 1.0
    }

    /// Returns whether a version that is not suspect may get all requests: those until the deadline
    /// are within the limit, or it would be too late otherwise.
    fn may_take_all(&self) -> bool {
        let time_left = self.time_left();
        let covered = self.requests_in(time_left) <= self.exposure.remaining(self.counts);
        self.elapsed_fraction() >= FULL_SHARE_START
            && time_left >= COMPLETION_MARGIN + FULL_SHARE_MIN_DURATION
            && (covered && self.recent_answers >= MIN_RECENT_ANSWERS
                || time_left <= LATEST_FULL_SHARE)
    }

    /// Returns whether a version that is not suspect, and has had all requests, has been tested long
    /// enough, and the old version's upstreams may stop.
    fn may_complete(&self) -> bool {
        let time_left = self.time_left();
        if self.recent_answers < MIN_RECENT_ANSWERS && time_left > ROLLBACK_MARGIN {
            return false;
        }
        if time_left <= COMPLETION_MARGIN {
            return self.at_full_share >= FULL_SHARE_MIN_DURATION;
        }
        let tested = self.at_full_share >= self.time_limit.mul_f64(FULL_SHARE_DURATION)
            || self.at_full_share >= FULL_SHARE_IDLE_DURATION && self.old_running == 0;
        let rest = self.requests_in(time_left) * BURST_FACTOR;
        tested && rest <= self.exposure.remaining(self.counts)
    }

    /// Returns the share of an unproved version.
    fn canary_share(&self) -> f64 {
        let Some(rate) = self.requests_per_second else { return CANARY_SHARE_RANGE.0 };
        let rate = rate.max(1.0);
        if self.is_under_load_test() {
            let fill = self.upstream_per_second * LOAD_TEST_FILL;
            return (fill / rate).clamp(CANARY_SHARE_RANGE.0, LOAD_TEST_MAX_SHARE);
        }
        let covered = Duration::from_secs_f64(self.exposure.remaining(self.counts).min(1e6) / rate);
        let full_share_in = self.time_left().saturating_sub(covered.max(LATEST_FULL_SHARE));
        let per_second = match self.elapsed_fraction() {
            _ if full_share_in <= RECHECK_DURATION + RECHECK_NEWS_TIME => {
                self.expected_limit() * RECHECK_EXPOSURE_SHARE / RECHECK_DURATION.as_secs_f64()
            }
            ..LOAD_TEST_START => CANARY_PER_SECOND,
            _ => WATCH_PER_SECOND,
        };
        (per_second / rate).clamp(CANARY_SHARE_RANGE.0, CANARY_SHARE_RANGE.1)
    }

    /// Returns how many requests the leader may grant to the new version, which has `share`, in
    /// addition to those granted before.
    pub fn grantable(&self, share: f64) -> f64 {
        // Nothing limits the requests after the completion.
        let after = self.requests_in(COMPLETION_MARGIN.min(self.time_left()));
        let remaining = self.exposure.remaining(self.committed);
        match share {
            1.0.. => remaining - after * BURST_FACTOR,
            // The limit grows until then.
            _ if self.is_under_load_test() => remaining.min(self.load_test_room(self.committed)),
            _ => remaining - after,
        }
    }

    /// Returns the time from now until the rollout completes at the latest.
    pub fn completion_in(&self) -> Duration {
        self.time_left().saturating_sub(COMPLETION_MARGIN)
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
    let answers = match finding {
        Finding::Bad(why) => return Step::RollBack(why.clone()),
        Finding::Suspect => 0,
        Finding::Good(answers) => *answers,
    };
    let proved = progress.new_is_serving && answers >= MIN_NEW_ANSWERS;
    let has_all = plan.share >= 1.0;
    if has_all && proved && progress.may_complete() {
        return Step::Complete;
    }
    if progress.time_left() <= ROLLBACK_MARGIN && !(has_all && proved) {
        return Step::RollBack("not shown to be good in time".to_owned());
    }
    if has_all {
        // A suspicion alone changes nothing: the grants limit the requests until it is decided.
        let keep = progress.new_is_serving;
        return if keep { Step::Stay } else { Step::Share(CANARY_SHARE_RANGE.0) };
    }
    if proved && progress.may_take_all() {
        return Step::Share(1.0);
    }
    let share = progress.canary_share();
    // Small changes of the share are not worth a write.
    let differs = share < plan.share * MIN_SHARE_RATIO || share * MIN_SHARE_RATIO > plan.share;
    if progress.new_is_serving && differs { Step::Share(share) } else { Step::Stay }
}
