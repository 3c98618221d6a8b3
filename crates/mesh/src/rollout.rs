//! Which versions of a service may serve, and whether a new version is good.
//!
//! A rollout here lasts seconds, so the judgement works on tens of answers: it compares the share
//! of failed answers, and of answers far slower than the old version's, route by route. Run times
//! are divided by the slowness of the machine at the start, so that a version is not blamed for its
//! neighbours. The share of the new version grows by a schedule that keeps a bad one, also one that
//! turns bad late or under load, within the exposure that operators allow.

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
pub struct Plan {
    /// Revision of the order that it carries out.
    pub order: u64,
    /// The new version.
    pub version: VersionName,
    /// How far it is.
    pub phase: Phase,
    /// Share of the requests that the new version gets.
    pub share: f64,
    /// Start by the wall clock, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Why it ended.
    pub why: Option<Arc<str>>,
}

/// Which versions of a service may serve.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Every version.
    Any,
    /// Only this one.
    Only(VersionName),
    /// Every version but this one.
    Without(VersionName),
    /// This one gets a share, the others the rest.
    Share(VersionName, f64),
}

impl Admission {
    /// Returns what a plan and an order, with its revision and version, allow. An order that
    /// nobody has taken up yet keeps its version out.
    pub fn of(plan: Option<&Plan>, order: Option<(u64, &VersionName)>) -> Self {
        match (plan, order) {
            (plan, Some((revision, version)))
                if plan.is_none_or(|plan| plan.order < revision && plan.version != *version) =>
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
    pub fn admits(&self, version: &VersionName) -> bool {
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
const LEAST_FAILURES: f64 = 0.04;

/// Lowest rate of slow answers that is taken for the old version.
const LEAST_SLOW: f64 = 0.12;

/// Chance of a result this bad of a good version at which it counts as bad. Each of a few routes is
/// looked at some thirty times in a rollout.
const FOUND: f64 = 1e-4;

/// Chance of a result this bad of a good version at which the share does not grow.
const SUSPECTED: f64 = 0.05;

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

    fn timed(&self) -> u64 {
        self.run_times.iter().map(|count| u64::from(*count)).sum()
    }

    fn from_bucket(&self, bucket: usize) -> u64 {
        self.run_times.iter().skip(bucket).map(|count| u64::from(*count)).sum()
    }

    /// Returns the bucket under which three quarters of the answers lie.
    fn three_quarters(&self) -> Option<usize> {
        let timed = self.timed();
        (timed > 0).then(|| (0..BUCKETS).find(|b| self.from_bucket(b + 1) * 4 <= timed))?
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

/// Judges a version by the evidence.
pub fn judge(evidence: &Evidence, new: &VersionName) -> Finding {
    let mut old: BTreeMap<&Arc<str>, Counts> = BTreeMap::new();
    for (version, routes) in &evidence.0 {
        if version != new {
            for (route, counts) in routes {
                old.entry(route).or_default().merge(counts);
            }
        }
    }
    let (mut answers, mut suspect) = (0, false);
    for (route, counts) in evidence.0.get(new).into_iter().flatten() {
        answers += counts.ended;
        let none = Counts::default();
        let known = old.get(route).unwrap_or(&none);
        for (what, bad, of, usual) in measures(counts, known) {
            let chance = tail(bad, of, usual);
            if chance < FOUND {
                return Finding::Bad(format!("{bad} of {of} `{route}` requests {what}"));
            }
            suspect |= chance < SUSPECTED && bad >= 2;
        }
    }
    if suspect { Finding::Suspect } else { Finding::Good(answers) }
}

type Measured = (&'static str, u64, u64, f64);

fn measures(new: &Counts, old: &Counts) -> impl Iterator<Item = Measured> {
    let rate = |bad: u64, of: u64| (bad as f64 + 0.5) / (of as f64 + 1.0);
    let usual = if old.ended >= 10 { rate(old.failed, old.ended) * 1.5 } else { 0.0 };
    let failures = ("failed", new.failed, new.ended, usual.max(LEAST_FAILURES).min(0.9));
    let slow = old.three_quarters().filter(|_| old.timed() >= 8).map(|bucket| {
        let from = bucket + SLOW_BUCKETS;
        let usual = rate(old.from_bucket(from), old.timed()) * 1.5;
        let usual = usual.max(LEAST_SLOW).min(0.9);
        ("were far slower than before", new.from_bucket(from), new.timed(), usual)
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

/// Shares of the new version by the part of the time that has passed. The first step is long enough
/// for a version that turns bad after some seconds; it and the second keep within an exposure of
/// 10% and 50 requests at 20 to 100 requests a second.
const STEPS: [(f64, f64); 3] = [(0.0, 0.2), (0.45, 0.5), (0.6, 1.0)];

/// Part of the time at which a version that nothing speaks against completes.
const COMPLETE_AT: f64 = 0.78;

/// Part of the time at which a rollout ends in any case.
const END_AT: f64 = 0.92;

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

/// Decides on a running rollout after `passed` of `within`. `new_serves` says whether any upstream
/// of the new version takes requests.
pub fn next(
    plan: &Plan,
    finding: &Finding,
    passed: Duration,
    within: Duration,
    new_serves: bool,
) -> Step {
    let part = passed.as_secs_f64() / within.as_secs_f64().max(0.001);
    let answers = match finding {
        Finding::Bad(why) => return Step::RollBack(why.clone()),
        Finding::Suspect if part >= END_AT => {
            return Step::RollBack("not shown to be good in time".to_owned());
        }
        Finding::Suspect => return Step::Stay,
        Finding::Good(answers) => *answers,
    };
    if part >= END_AT && (answers == 0 || !new_serves) {
        return Step::RollBack("it did not serve in time".to_owned());
    }
    if part >= COMPLETE_AT && new_serves && (answers >= FEWEST_ANSWERS || part >= END_AT) {
        return Step::Complete;
    }
    if plan.share >= 1.0 && !new_serves {
        return Step::Share(STEPS[0].1);
    }
    let due = STEPS.iter().rev().find(|(from, _)| part >= *from).map_or(0.0, |(_, share)| *share);
    match due > plan.share && new_serves {
        true => Step::Share(due),
        false => Step::Stay,
    }
}
