//! Which share a new version gets when, and how its rollout ends.
//!
//! The shares are such that the requests to it stay within the limit on a bad version even if it
//! turns bad at the worst moment and nobody notices.

use std::time::Duration;

use super::{Finding, RolloutPlan};
use crate::exposure::{ExposureLimit, RequestCounts};

/// Minimum number of the new version's answers before it gets all requests and before it completes.
const MIN_NEW_ANSWERS: u64 = 12;

/// Minimum number of the new version's answers in the last seconds before it gets all requests, unless
/// it would be too late otherwise, and before it completes, unless the time is over.
const MIN_RECENT_ANSWERS: u64 = 6;

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
