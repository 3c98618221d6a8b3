//! What an ingress knows of one candidate's load, and the score derived from it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Lifecycle, LoadReport, Outcome};

use super::{Scoring, SelectionConfig};

/// Gain of the failure share for each failure.
const FAILURE_GAIN: f64 = 0.2;

/// Gain of the failure share for each success. It is the larger one, so that an upstream whose
/// owner has limited it to what it bears is used again after a few successes.
const SUCCESS_GAIN: f64 = 0.5;

/// Relative difference between service times that counts as noise. The owner's estimate follows
/// about ten requests; without this, upstreams with a few short requests draw all ingress nodes.
const SERVICE_TIME_NOISE: f64 = 0.5;

/// Share of failures that counts as none, or a trace of old failures would decide between equals.
const FAILURE_FORGOTTEN: f64 = 1e-3;

/// Expected wait of a candidate of unknown load in usual service times, unless the others wait
/// less: that of a candidate with half of its limit in flight. Without this bound an unknown
/// candidate is never better than the best known one, however loaded that is, and one known
/// candidate keeps all requests while probes cannot be paid for.
const UNKNOWN_WAIT: f64 = 1.5;

/// Failures in a row that still lengthen the half-life of the failure penalty.
const FAILURE_STREAK_MAX: u32 = 8;

/// Time in which the excess of a slow candidate's service time over the usual one halves while no
/// request is sent to it. Its owner learns of a recovery from requests only, so it must be tried
/// again now and then.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Own requests that are remembered as not reported; more than this are covered only by the count
/// of own requests in flight.
const UNREPORTED_MAX: usize = 64;

/// How much of a candidate's load is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Knowledge {
    /// Never reported.
    None,
    /// The report is too old to count in flight by.
    Stale,
    /// Reported in time.
    Fresh,
}

/// Load of one candidate as seen by this ingress.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Own requests in flight.
    pub own: u32,
    /// Send times of own requests that no report covers yet.
    unreported: VecDeque<Instant>,
    report: Option<LoadReport>,
    reported_at: Instant,
    /// Start of the present incarnation, as seen here.
    pub since: Instant,
    /// Start of the ramp of a returning candidate.
    pub ramp_from: Option<Instant>,
    succeeded_at: Instant,
    failure_share: f64,
    failed_at: Instant,
    streak: u32,
    /// Last time a probe was handed out.
    pub probed_at: Option<Instant>,
}

impl Load {
    pub fn new(now: Instant) -> Self {
        Self {
            own: 0,
            unreported: VecDeque::with_capacity(UNREPORTED_MAX),
            report: None,
            reported_at: now,
            since: now,
            ramp_from: None,
            succeeded_at: now,
            failure_share: 0.0,
            failed_at: now,
            streak: 0,
            probed_at: None,
        }
    }

    pub fn with_own(mut self, own: u32) -> Self {
        self.own = own;
        self
    }

    pub fn with_ramp(mut self, ramp_from: Option<Instant>) -> Self {
        self.ramp_from = ramp_from;
        self
    }

    pub fn on_pick(&mut self, now: Instant) {
        self.own += 1;
        if self.unreported.len() < UNREPORTED_MAX {
            self.unreported.push_back(now);
        }
    }

    pub fn on_end(
        &mut self,
        cfg: &SelectionConfig,
        outcome: Outcome,
        elapsed: Duration,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        self.own = self.own.saturating_sub(1);
        let sent = now.checked_sub(elapsed).unwrap_or(self.since);
        if self.unreported.front().is_some_and(|first| *first >= sent) {
            self.unreported.pop_front();
        }
        // An answer to a request sent before the restart carries the old incarnation's numbers.
        if sent >= self.since
            && let Some(report) = load
        {
            self.on_report(cfg, report, now);
        }
        match effect(outcome) {
            Effect::Success => self.on_success(cfg, now),
            Effect::Failure => self.on_failure(cfg, now),
            Effect::None => {}
        }
    }

    pub fn on_report(&mut self, cfg: &SelectionConfig, report: LoadReport, now: Instant) {
        if self.report.as_ref().is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        // A limit grows by successes only, so the owner has seen the upstream recover.
        if self.report.as_ref().is_some_and(|known| report.limit > known.limit) {
            self.failure_share = self.failures(cfg, now) * (1.0 - SUCCESS_GAIN);
            self.failed_at = now;
            self.streak = 0;
        }
        self.report = Some(report);
        self.reported_at = now;
        // Requests that were still under way to the owner when it reported are not covered.
        while self.unreported.front().is_some_and(|sent| *sent + cfg.report_lag < now) {
            self.unreported.pop_front();
        }
    }

    fn on_success(&mut self, cfg: &SelectionConfig, now: Instant) {
        self.failure_share = self.failures(cfg, now) * (1.0 - SUCCESS_GAIN);
        self.failed_at = now;
        self.streak = 0;
        self.succeeded_at = now;
    }

    fn on_failure(&mut self, cfg: &SelectionConfig, now: Instant) {
        let share = self.failures(cfg, now);
        self.failure_share = share + (1.0 - share) * FAILURE_GAIN;
        self.failed_at = now;
        self.streak = (self.streak + 1).min(FAILURE_STREAK_MAX);
    }

    /// Returns the decayed share of failures.
    fn failures(&self, cfg: &SelectionConfig, now: Instant) -> f64 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        let half_life = cfg.failure_half_life * self.streak.max(1);
        let since = now.saturating_duration_since(self.failed_at);
        let share = self.failure_share * decay(since, half_life);
        if share < FAILURE_FORGOTTEN { 0.0 } else { share }
    }

    pub fn failure_penalty(&self, cfg: &SelectionConfig, now: Instant) -> f64 {
        self.failures(cfg, now) * cfg.failure_penalty.as_secs_f64()
    }

    pub fn knowledge(&self, cfg: &SelectionConfig, now: Instant) -> Knowledge {
        match &self.report {
            None => Knowledge::None,
            Some(_) if now.saturating_duration_since(self.reported_at) > cfg.load_max_age => {
                Knowledge::Stale
            }
            Some(_) => Knowledge::Fresh,
        }
    }

    /// Returns the probability with which a candidate that may be given only what it can bear is
    /// considered, or `None` for a candidate without this bound.
    ///
    /// A slot that the latest answer shows as free was most likely freed by that answer, and no
    /// other ingress node knows of it yet. After a service time the reported requests have ended
    /// and every ingress node may send again, so each takes its share of the limit.
    pub fn cold_chance(&self, cfg: &SelectionConfig, now: Instant) -> Option<f64> {
        let nodes = f64::from(cfg.ingress_nodes.max(1));
        let Some(report) = &self.report else {
            return Some(if self.own == 0 { 1.0 / nodes } else { 0.0 });
        };
        if report.lifecycle != Lifecycle::Cold {
            return None;
        }
        let age = now.saturating_duration_since(self.reported_at);
        if age < Duration::from_micros(u64::from(report.service_time_us)) {
            return Some(if self.occupied() < report.limit { 1.0 } else { 0.0 });
        }
        Some((f64::from(report.limit.saturating_sub(self.own)) / nodes).min(1.0))
    }

    /// Returns the requests at the owner and on the way to it, as far as they are known.
    fn occupied(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.in_flight + report.queued);
        (reported + self.unreported.len() as u32).max(self.own)
    }

    /// Returns the reported service time in seconds.
    pub fn reported_service_time(&self) -> Option<f64> {
        self.report.as_ref().map(|report| f64::from(report.service_time_us) / 1e6)
    }

    /// Returns the service time to expect in seconds, given the usual one of the service, which is
    /// not zero.
    pub fn service_time(&self, usual: f64, now: Instant) -> f64 {
        let Some(own) = self.reported_service_time() else { return usual };
        if own < usual * (1.0 + SERVICE_TIME_NOISE) {
            return usual;
        }
        let idle = now.saturating_duration_since(self.succeeded_at);
        usual + (own - usual) * decay(idle, SLOWNESS_HALF_LIFE)
    }

    /// Returns the expected time in seconds from known load.
    pub fn expected_wait(&self, scoring: Scoring, usual: f64, now: Instant) -> f64 {
        let limit = self.report.as_ref().map_or(1, |report| report.limit.max(1));
        let ahead = f64::from(self.occupied());
        let limit = f64::from(limit);
        let service_time = self.service_time(usual, now);
        match scoring {
            Scoring::Wait => service_time * (ahead + 1.0) / limit,
            Scoring::Completion => service_time * (1.0 + ahead / limit),
            Scoring::CompletionNext => service_time * (1.0 + (ahead + 1.0) / limit),
        }
    }
}

impl Load {
    /// Returns the expected time in seconds when load is not known, from the median of others.
    pub fn unknown_wait(
        &self,
        cfg: &SelectionConfig,
        median: f64,
        usual: f64,
        now: Instant,
    ) -> f64 {
        let limit = self.report.as_ref().map_or(1, |report| report.limit.max(1));
        // A slow candidate stays slow while nothing newer is known.
        let service_time = self.service_time(usual, now);
        let own_ahead = service_time * f64::from(self.own) / f64::from(limit);
        median.min(usual * UNKNOWN_WAIT).max(service_time)
            + own_ahead
            + cfg.unknown_penalty.as_secs_f64()
    }
}

/// What an outcome says about the candidate.
enum Effect {
    Success,
    Failure,
    None,
}

fn effect(outcome: Outcome) -> Effect {
    use ErrorKind as E;
    match outcome {
        Outcome::Done => Effect::Success,
        Outcome::NotRun(
            E::Draining
            | E::ZoneOut
            | E::VersionVetoed
            | E::StaleIntent
            | E::NoUpstream
            | E::ConnectFailed,
        ) => Effect::Failure,
        // Shedding shows in the load report; the other refusals are about the request.
        Outcome::NotRun(_) => Effect::None,
        Outcome::Unknown(
            E::Cancelled | E::KeyInDoubt | E::KeyInProgress | E::KeeperUnreachable,
        ) => Effect::None,
        Outcome::Unknown(_) => Effect::Failure,
    }
}

fn decay(elapsed: Duration, half_life: Duration) -> f64 {
    (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
