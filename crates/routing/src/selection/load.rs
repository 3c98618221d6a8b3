//! Load of one candidate as an ingress knows it, and the score derived from it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Lifecycle, LoadReport, Outcome};

use super::{Scoring, SelectionConfig};

/// Weight of the newest failure in the failure share.
const FAILURE_GAIN: f64 = 0.2;

/// Weight of the newest success in the failure share. It exceeds that of a failure, so that an
/// upstream whose owner has lowered the limit far enough is used again after a few successes.
const SUCCESS_GAIN: f64 = 0.5;

/// Relative excess of a service time over the typical one that counts as noise. The owner's
/// estimate follows about ten requests; without this, an upstream with a few short requests
/// attracts all ingress nodes.
const SERVICE_TIME_NOISE_RATIO: f64 = 0.5;

/// Failure share below which there is no penalty. Otherwise traces of old failures would decide
/// between equal candidates.
const MIN_FAILURE_SHARE: f64 = 1e-3;

/// Largest wait assumed for a candidate of unknown load, in typical service times: that of a
/// candidate with half of its limit in flight. Without this bound an unknown candidate is never
/// better than the best known one, so a single known candidate gets all requests, however loaded it
/// is, while the measuring budget allows no probes.
const MAX_UNKNOWN_WAIT_SERVICE_TIMES: f64 = 1.5;

/// Most failures in a row that lengthen the half-life of the failure penalty.
const MAX_FAILURES_IN_ROW: u32 = 8;

/// Time in which the excess of a slow candidate's service time over the typical one halves without
/// successes. Its owner sees a recovery only by requests, so it must be tried again now and then.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Most own requests that are remembered as unreported; those beyond count only as own requests in
/// flight.
const MAX_UNREPORTED_REQUESTS: usize = 64;

/// How recent a candidate's latest load report is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Recency {
    /// There is no load report.
    Missing,
    /// Older than [`SelectionConfig::load_max_age`], so its requests in flight no longer count.
    Stale,
    /// Not older than [`SelectionConfig::load_max_age`].
    Fresh,
}

/// Load of one candidate as known to this ingress.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Requests in flight from this ingress.
    pub in_flight: u32,
    /// Send times of own requests that no report covers yet.
    unreported: VecDeque<Instant>,
    report: Option<LoadReport>,
    reported_at: Instant,
    /// When this ingress first saw the current incarnation.
    pub incarnation_since: Instant,
    /// Start of the ramp of a returning candidate.
    pub ramp_from: Option<Instant>,
    succeeded_at: Instant,
    /// Smoothed share of failures at `failure_share_at`; it decays from then on.
    failure_share: f64,
    failure_share_at: Instant,
    failures_in_row: u32,
    /// When the candidate was last returned for a probe.
    pub probed_at: Option<Instant>,
}

impl Load {
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            unreported: VecDeque::with_capacity(MAX_UNREPORTED_REQUESTS),
            report: None,
            reported_at: now,
            incarnation_since: now,
            ramp_from: None,
            succeeded_at: now,
            failure_share: 0.0,
            failure_share_at: now,
            failures_in_row: 0,
            probed_at: None,
        }
    }

    pub fn with_in_flight(mut self, in_flight: u32) -> Self {
        self.in_flight = in_flight;
        self
    }

    pub fn with_ramp(mut self, ramp_from: Option<Instant>) -> Self {
        self.ramp_from = ramp_from;
        self
    }

    pub fn on_pick(&mut self, now: Instant) {
        self.in_flight += 1;
        if self.unreported.len() < MAX_UNREPORTED_REQUESTS {
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
        self.in_flight = self.in_flight.saturating_sub(1);
        let sent = now.checked_sub(elapsed).unwrap_or(self.incarnation_since);
        if self.unreported.front().is_some_and(|first| *first >= sent) {
            self.unreported.pop_front();
        }
        // An answer to a request sent before a restart has the load of the old incarnation.
        if sent >= self.incarnation_since
            && let Some(report) = load
        {
            self.on_report(cfg, report, now);
        }
        match health_signal(outcome) {
            HealthSignal::Success => self.on_success(cfg, now),
            HealthSignal::Failure => self.on_failure(cfg, now),
            HealthSignal::None => {}
        }
    }

    pub fn on_report(&mut self, cfg: &SelectionConfig, report: LoadReport, now: Instant) {
        if self.report.as_ref().is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        // Only successes raise a limit, so the owner has seen the upstream recover.
        if self.report.as_ref().is_some_and(|known| report.limit > known.limit) {
            self.failure_share = self.decayed_failure_share(cfg, now) * (1.0 - SUCCESS_GAIN);
            self.failure_share_at = now;
            self.failures_in_row = 0;
        }
        self.report = Some(report);
        self.reported_at = now;
        // Later requests had not reached the owner yet when it made the report.
        while self.unreported.front().is_some_and(|sent| *sent + cfg.report_lag < now) {
            self.unreported.pop_front();
        }
    }

    fn on_success(&mut self, cfg: &SelectionConfig, now: Instant) {
        self.failure_share = self.decayed_failure_share(cfg, now) * (1.0 - SUCCESS_GAIN);
        self.failure_share_at = now;
        self.failures_in_row = 0;
        self.succeeded_at = now;
    }

    fn on_failure(&mut self, cfg: &SelectionConfig, now: Instant) {
        let share = self.decayed_failure_share(cfg, now);
        self.failure_share = share + (1.0 - share) * FAILURE_GAIN;
        self.failure_share_at = now;
        self.failures_in_row = (self.failures_in_row + 1).min(MAX_FAILURES_IN_ROW);
    }

    /// Returns the share of failures after its decay.
    fn decayed_failure_share(&self, cfg: &SelectionConfig, now: Instant) -> f64 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        let half_life = cfg.failure_half_life * self.failures_in_row.max(1);
        let since = now.saturating_duration_since(self.failure_share_at);
        let share = self.failure_share * decay(since, half_life);
        if share < MIN_FAILURE_SHARE { 0.0 } else { share }
    }

    pub fn failure_penalty(&self, cfg: &SelectionConfig, now: Instant) -> f64 {
        self.decayed_failure_share(cfg, now) * cfg.failure_penalty.as_secs_f64()
    }

    pub fn recency(&self, cfg: &SelectionConfig, now: Instant) -> Recency {
        match &self.report {
            None => Recency::Missing,
            Some(_) if now.saturating_duration_since(self.reported_at) > cfg.load_max_age => {
                Recency::Stale
            }
            Some(_) => Recency::Fresh,
        }
    }

    /// Returns the probability with which a candidate is considered that is cold or has sent no
    /// report yet, or `None` for any other candidate.
    ///
    /// A slot that the latest answer shows as free was most likely freed by that answer, and no
    /// other ingress node knows of it yet. One service time later the reported requests have ended
    /// and every ingress node may send again, so each takes its share of the limit.
    pub fn cold_probability(&self, cfg: &SelectionConfig, now: Instant) -> Option<f64> {
        let nodes = f64::from(cfg.ingress_nodes.max(1));
        let Some(report) = &self.report else {
            return Some(if self.in_flight == 0 { 1.0 / nodes } else { 0.0 });
        };
        if report.lifecycle != Lifecycle::Cold {
            return None;
        }
        let age = now.saturating_duration_since(self.reported_at);
        if age < Duration::from_micros(u64::from(report.service_time_us)) {
            return Some(if self.occupied() < report.limit { 1.0 } else { 0.0 });
        }
        Some((f64::from(report.limit.saturating_sub(self.in_flight)) / nodes).min(1.0))
    }

    /// Returns the known number of requests at the owner and on their way to it.
    fn occupied(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.in_flight + report.queued);
        (reported + self.unreported.len() as u32).max(self.in_flight)
    }

    /// Returns the reported service time in seconds.
    pub fn reported_service_time(&self) -> Option<f64> {
        self.report.as_ref().map(|report| f64::from(report.service_time_us) / 1e6)
    }

    /// Returns the expected service time in seconds, given the typical one of the service, which is
    /// not zero.
    pub fn service_time(&self, typical: f64, now: Instant) -> f64 {
        let Some(reported) = self.reported_service_time() else { return typical };
        if reported < typical * (1.0 + SERVICE_TIME_NOISE_RATIO) {
            return typical;
        }
        let since_success = now.saturating_duration_since(self.succeeded_at);
        typical + (reported - typical) * decay(since_success, SLOWNESS_HALF_LIFE)
    }

    /// Returns the expected wait in seconds by the latest report.
    pub fn expected_wait(&self, scoring: Scoring, typical: f64, now: Instant) -> f64 {
        let limit = self.report.as_ref().map_or(1, |report| report.limit.max(1));
        let ahead = f64::from(self.occupied());
        let limit = f64::from(limit);
        let service_time = self.service_time(typical, now);
        match scoring {
            Scoring::Wait => service_time * (ahead + 1.0) / limit,
            Scoring::Completion => service_time * (1.0 + ahead / limit),
            Scoring::CompletionNext => service_time * (1.0 + (ahead + 1.0) / limit),
        }
    }
}

impl Load {
    /// Returns the expected wait in seconds without a fresh report, given the median of the others.
    pub fn unknown_wait(
        &self,
        cfg: &SelectionConfig,
        median: f64,
        typical: f64,
        now: Instant,
    ) -> f64 {
        let limit = self.report.as_ref().map_or(1, |report| report.limit.max(1));
        // A slow candidate counts as slow until a newer report arrives.
        let service_time = self.service_time(typical, now);
        let own_ahead = service_time * f64::from(self.in_flight) / f64::from(limit);
        median.min(typical * MAX_UNKNOWN_WAIT_SERVICE_TIMES).max(service_time)
            + own_ahead
            + cfg.unknown_penalty.as_secs_f64()
    }
}

/// What an outcome says about the health of the candidate.
enum HealthSignal {
    Success,
    Failure,
    None,
}

fn health_signal(outcome: Outcome) -> HealthSignal {
    use ErrorKind as E;
    match outcome {
        Outcome::Done => HealthSignal::Success,
        Outcome::NotRun(
            E::Draining
            | E::ZoneOut
            | E::VersionVetoed
            | E::StaleIntent
            | E::NoUpstream
            | E::ConnectFailed,
        ) => HealthSignal::Failure,
        // Load shedding shows in the load report; other refusals are due to the request.
        Outcome::NotRun(_) => HealthSignal::None,
        Outcome::Unknown(
            E::Cancelled | E::KeyInDoubt | E::KeyInProgress | E::KeeperUnreachable,
        ) => HealthSignal::None,
        Outcome::Unknown(_) => HealthSignal::Failure,
    }
}

fn decay(elapsed: Duration, half_life: Duration) -> f64 {
    (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
