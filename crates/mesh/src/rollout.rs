//! Which versions of a service may serve, and whether a new version is good.
//!
//! A rollout here lasts seconds, so the judgement works on tens of answers: it compares the share
//! of failed answers, and of answers far slower than the old version's, route by route. Run times
//! are divided by the slowness of the machine at the start, so that a version is not blamed for its
//! neighbours. The new version gets few requests at first, then enough to put one of its upstreams
//! under load, and all only when nothing has spoken against it, which keeps also a version that
//! turns bad late or under load within the exposure that operators allow.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleandertiller_model::VersionName;
use serde::{Deserialize, Serialize};

/// How far a rollout is.
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
    /// Revision of the order that it carries out.
    #[serde(rename = "order")]
    pub order_revision: u64,
    /// The new version.
    pub version: VersionName,
    /// How far it is.
    pub phase: Phase,
    /// Share of the requests that the new version gets.
    pub share: f64,
    /// Start by the wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "started")]
    pub started_ms: u64,
    /// Why it ended.
    #[serde(rename = "why")]
    pub reason: Option<Arc<str>>,
}

/// Which versions of a service may serve.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowedVersions {
    /// Every version.
    Any,
    /// Only this one.
    Only(VersionName),
    /// Every version but this one.
    Without(VersionName),
    /// This one gets a share, the others the rest.
    Share(VersionName, f64),
}

impl AllowedVersions {
    /// Returns what a plan and an order, with its revision and version, allow. An order that
    /// nobody has taken up yet keeps its version out.
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

/// Number of run time buckets: two for each doubling, from [`FIRST_BUCKET`].
pub const BUCKETS: usize = 28;

/// Upper end of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(4);

/// Buckets above the old version's three quarters from which an answer is slow: three times as
/// long.
const SLOW_BUCKETS: usize = 3;

/// Lowest rate of failures that is taken for the old version.
const LEAST_FAILURES: f64 = 0.015;

/// Lowest rate of slow answers that is taken for the old version.
const LEAST_SLOW: f64 = 0.12;

/// Highest rate of failures or slow answers that is taken for the old version; beyond it nothing can
/// be told.
const MOST_USUAL: f64 = 0.9;

/// Chance of a result this bad of a good version at which it counts as bad. Each of a few routes is
/// looked at some thirty times in a rollout.
pub const BAD_P_VALUE: f64 = 1e-4;

/// Chance of a result this bad at which a version counts as bad while it gets all requests. It is
/// looked at a few times then, and each second costs a second of requests.
pub const BAD_P_VALUE_AT_FULL_SHARE: f64 = 3e-3;

/// Chance of a result this bad of a good version at which the share does not grow.
const SUSPECTED: f64 = 0.05;

/// Fewest answers of the old version on a route that tell its usual rate of failures.
const FEWEST_KNOWN: u64 = 10;

/// Fewest answers of the new version before the last step.
const FEWEST_ANSWERS: u64 = 12;

/// Answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Answers and failures.
    pub ended: u64,
    /// Failures.
    pub failed: u64,
    /// Good answers by normalized run time.
    pub run_times: Vec<u32>,
}

impl Counts {
    /// Adds a result; `run_time` of a good answer is divided by the slowness of its machine.
    pub fn record(&mut self, run_time: Option<Duration>) {
        self.ended += 1;
        match run_time {
            Some(run_time) => {
                self.run_times.resize(BUCKETS, 0);
                self.run_times[bucket(run_time)] += 1;
            }
            None => self.failed += 1,
        }
    }

    /// Adds the counts of another owner.
    pub fn merge(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.run_times.resize(BUCKETS, 0);
        for (sum, count) in self.run_times.iter_mut().zip(&other.run_times) {
            *sum += count;
        }
    }

    /// Returns what has come since `before`.
    fn since(&self, before: &Self) -> Self {
        let count = |bucket: usize| before.run_times.get(bucket).copied().unwrap_or(0);
        let run_times = self.run_times.iter().enumerate();
        Self {
            ended: self.ended.saturating_sub(before.ended),
            failed: self.failed.saturating_sub(before.failed),
            run_times: run_times.map(|(at, now)| now.saturating_sub(count(at))).collect(),
        }
    }

    fn timed(&self) -> u64 {
        self.run_times.iter().map(|count| u64::from(*count)).sum()
    }

    fn slower_than(&self, bucket: usize) -> u64 {
        self.run_times.iter().skip(bucket).map(|count| u64::from(*count)).sum()
    }

    /// Returns the bucket under which three quarters of the answers lie.
    fn three_quarters(&self) -> Option<usize> {
        let timed = self.timed();
        (timed > 0).then(|| (0..BUCKETS).find(|b| self.slower_than(b + 1) * 4 <= timed))?
    }
}

fn bucket(run_time: Duration) -> usize {
    let ratio = run_time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    if ratio <= 1.0 { 0 } else { ((2.0 * ratio.log2()).ceil() as usize).min(BUCKETS - 1) }
}

/// Answers by version and route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evidence(pub BTreeMap<VersionName, BTreeMap<Arc<str>, Counts>>);

impl Evidence {
    /// Adds a result.
    pub fn record(&mut self, version: &VersionName, route: &Arc<str>, run_time: Option<Duration>) {
        let routes = self.0.entry(version.clone()).or_default();
        routes.entry(route.clone()).or_default().record(run_time);
    }

    /// Returns the number of answers of all versions, or of one.
    pub fn answers(&self, version: Option<&VersionName>) -> u64 {
        let versions = self.0.iter().filter(|(known, _)| version.is_none_or(|v| v == *known));
        versions.flat_map(|(_, routes)| routes.values()).map(|counts| counts.ended).sum()
    }

    /// Returns the evidence in which one version has only what came since `before`.
    pub fn since(&self, before: &Self, version: &VersionName) -> Self {
        let mut window = self.clone();
        let (Some(routes), Some(known)) = (window.0.get_mut(version), before.0.get(version)) else {
            return window;
        };
        for (route, counts) in routes {
            if let Some(before) = known.get(route) {
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

/// What the evidence says of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// It is worse than the old one.
    Bad(String),
    /// It may be worse.
    Suspect,
    /// Nothing speaks against it; holds the number of its answers.
    Good(u64),
}

/// Judges a version by the evidence; a result that a good version has with a chance below `found`
/// counts as bad.
pub fn assess(evidence: &Evidence, new: &VersionName, found: f64) -> Finding {
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
        let known = old.get(route).unwrap_or(&none);
        for (what, bad, of, usual) in measures(counts, known, &all) {
            let chance = tail(bad, of, usual);
            if chance < found {
                return Finding::Bad(format!("{bad} of {of} `{route}` requests {what}"));
            }
            suspect |= chance < SUSPECTED && bad >= 2;
        }
    }
    if suspect { Finding::Suspect } else { Finding::Good(answers) }
}

type Measured = (&'static str, u64, u64, f64);

/// Returns what is compared on a route; `all` are the old version's answers on all routes, which
/// stand in where it has few on this one.
fn measures(new: &Counts, old: &Counts, all: &Counts) -> impl Iterator<Item = Measured> {
    let rate = |bad: u64, of: u64| (bad as f64 + 0.5) / (of as f64 + 1.0);
    let known = if old.ended >= FEWEST_KNOWN { old } else { all };
    let usual = if known.ended > 0 { rate(known.failed, known.ended) * 1.5 } else { 0.0 };
    let failures = ("failed", new.failed, new.ended, usual.clamp(LEAST_FAILURES, MOST_USUAL));
    let slow = old.three_quarters().filter(|_| old.timed() >= 8).map(|bucket| {
        let from = bucket + SLOW_BUCKETS;
        let usual = rate(old.slower_than(from), old.timed()) * 1.5;
        let usual = usual.clamp(LEAST_SLOW, MOST_USUAL);
        ("were far slower than before", new.slower_than(from), new.timed(), usual)
    });
    std::iter::once(failures).chain(slow)
}

/// Returns the chance of at least `bad` bad results of `of` at a rate of `usual`.
fn tail(bad: u64, of: u64, usual: f64) -> f64 {
    if bad == 0 {
        return 1.0;
    }
    // Terms of the binomial distribution, each from the one before.
    let mut term = (of as f64 * (1.0 - usual).ln()).exp();
    let mut below = 0.0;
    for k in 0..bad {
        below += term;
        term *= (of - k) as f64 / (k + 1) as f64 * usual / (1.0 - usual);
    }
    (1.0 - below).max(0.0)
}

/// Part of the time at which a version that nothing speaks against gets all requests.
const ALL_AT: f64 = 0.6;

/// Part of the time from which a version that does not have all requests yet is not given them:
/// what it does with them could not be seen any more.
const LAST_ALL_AT: f64 = 0.8;

/// Part of the time for which a version has all requests before it completes.
const ALL_PART: f64 = 0.1;

/// Part of the time at which it completes: requests that the old version has by [`ALL_AT`] end
/// before, since its servers stop at once.
const COMPLETE_AT: f64 = 0.78;

/// Part of the time at which a rollout ends in any case.
const END_AT: f64 = 0.92;

/// Part of the time at which an upstream of the new version is put under load: late enough for a
/// version that turns bad after some seconds.
const LOAD_AT: f64 = 0.4;

/// Share of the new version while one of its upstreams is under load. All nodes fill the same one,
/// which then has several times its usual load.
const LOAD_SHARE: f64 = 0.4;

/// Part of what a bad version may get that goes into the time under load.
const LOAD_PART: f64 = 0.25;

/// Requests a second of the new version before and after the time under load.
const TRICKLE: f64 = 2.0;

/// Smallest and largest share of a version that is not proved, outside the time under load.
const TRICKLE_SHARE: (f64, f64) = (0.02, 0.15);

/// Ratio of two shares from which the one replaces the other.
const SHARE_STEP: f64 = 0.6;

/// What a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of all requests of the service between the order and the end of its time.
    pub share: f64,
    /// Requests on top.
    pub extra: f64,
}

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutProgress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time that the order gives.
    pub time_limit: Duration,
    /// Whether any upstream of the new version takes requests.
    pub new_is_serving: bool,
    /// Time for which the new version has had all requests.
    pub at_full_share: Duration,
    /// Answers of the service a second, once they have been counted for long enough.
    pub answers_per_second: Option<f64>,
    /// Answers of the new version.
    pub new_answers: u64,
    /// What a bad version may get.
    pub exposure: ExposureLimit,
}

impl RolloutProgress {
    /// Returns the part of the time that has passed.
    fn part(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }

    /// Returns the share of an unproved version.
    fn unproved_share(&self) -> f64 {
        let Some(rate) = self.answers_per_second else { return TRICKLE_SHARE.0 };
        let all = rate * self.time_limit.as_secs_f64();
        let allowed = self.exposure.share * all + self.exposure.extra;
        if self.part() >= LOAD_AT && (self.new_answers as f64) < allowed * LOAD_PART {
            return LOAD_SHARE;
        }
        (TRICKLE / rate.max(1.0)).clamp(TRICKLE_SHARE.0, TRICKLE_SHARE.1)
    }
}

/// What the controller does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing changes.
    Stay,
    /// The new version gets this share.
    Share(f64),
    /// The new version serves alone from now on.
    Complete,
    /// The old version serves alone from now on.
    RollBack(String),
}

/// Decides on a running rollout.
pub fn next_step(plan: &RolloutPlan, finding: &Finding, now: &RolloutProgress) -> Step {
    let part = now.part();
    let answers = match finding {
        Finding::Bad(why) => return Step::RollBack(why.clone()),
        Finding::Suspect if part >= END_AT => {
            return Step::RollBack("not shown to be good in time".to_owned());
        }
        Finding::Suspect => 0,
        Finding::Good(answers) => *answers,
    };
    if part >= END_AT && (answers == 0 || !now.new_is_serving) {
        return Step::RollBack("it did not serve in time".to_owned());
    }
    if part >= END_AT && plan.share < 1.0 {
        return Step::RollBack("not shown to be good in time".to_owned());
    }
    let shown = now.new_is_serving && answers >= FEWEST_ANSWERS;
    if plan.share >= 1.0 {
        let tried = now.at_full_share.as_secs_f64() >= ALL_PART * now.time_limit.as_secs_f64();
        return match (now.new_is_serving, shown && tried && part >= COMPLETE_AT) {
            (false, _) => Step::Share(TRICKLE_SHARE.0),
            (true, true) => Step::Complete,
            (true, false) => Step::Stay,
        };
    }
    if shown && (ALL_AT..LAST_ALL_AT).contains(&part) {
        return Step::Share(1.0);
    }
    let share = now.unproved_share();
    // Small corrections are not worth a write.
    let differs = share < plan.share * SHARE_STEP || share * SHARE_STEP > plan.share;
    if now.new_is_serving && differs { Step::Share(share) } else { Step::Stay }
}
