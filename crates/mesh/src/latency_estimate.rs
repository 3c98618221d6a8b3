//! Estimates of answer times, which decide when to hedge: to send an idempotent request to a second
//! owner although the first may still answer.
//!
//! Servers can hang, lose answers or become slow while a request runs. Hedging helps while some
//! servers are many times slower than the rest and the rest have capacity. The second owner accepts
//! the request only if it can start it at once, and the hedge is charged to the retry budget.

use std::time::Duration;

/// Quantile of the answer times: a request without an answer after that time is hedged.
const QUANTILE: f64 = 0.9;

/// Weight of the newest answer in the mean; also the step of the quantile's estimate, as a fraction
/// of the mean.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Share of the route's objective that is assumed before the first answer.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.5;

/// Minimum time before a request is hedged: several round trips between zones.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Running estimates of the mean and the 90th percentile of a route's answer times.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// In seconds.
    mean: f64,
    /// Estimate of [`QUANTILE`], in seconds.
    quantile: f64,
    /// Slowness of the service at the time of the answers that the mean comes from.
    slowness: f64,
}

/// Maximum factor between the mean and the expected time, in case that the upstreams' reports of
/// their slowness are wrong.
const MAX_SLOWNESS_CHANGE: f64 = 3.0;

impl LatencyEstimate {
    /// Creates an estimate that assumes a share of the route's objective.
    pub fn new(objective: Duration) -> Self {
        let initial = objective.as_secs_f64() * INITIAL_OBJECTIVE_SHARE;
        Self { mean: initial, quantile: initial, slowness: 1.0 }
    }

    /// Records the time from dispatch to the answer, and the slowness of the service meanwhile, if
    /// known.
    pub fn record(&mut self, time: Duration, slowness: Option<f64>) {
        if let Some(slowness) = slowness {
            self.slowness += (slowness - self.slowness) * SMOOTHING_FACTOR;
        }
        let time = time.as_secs_f64();
        self.mean += (time - self.mean) * SMOOTHING_FACTOR;
        let step = self.mean * SMOOTHING_FACTOR;
        self.quantile +=
            if time > self.quantile { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        self.quantile = self.quantile.max(self.mean);
    }

    /// Returns the mean time from dispatch to the answer.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the expected time of a request that starts while the service has a slowness. When all
    /// upstreams become cold or warm together, the mean alone would follow after many answers only.
    pub fn expected(&self, slowness: Option<f64>) -> Duration {
        let change = slowness.map_or(1.0, |slowness| slowness / self.slowness);
        let change = change.clamp(1.0 / MAX_SLOWNESS_CHANGE, MAX_SLOWNESS_CHANGE);
        Duration::from_secs_f64(self.mean * change)
    }

    /// Returns the time within which nine of ten answers come.
    pub fn usual_limit(&self) -> Duration {
        Duration::from_secs_f64(self.quantile)
    }

    /// Returns the time after dispatch at which a request is hedged.
    pub fn hedge_delay(&self) -> Duration {
        self.usual_limit().max(MIN_HEDGE_DELAY)
    }
}
