//! When a request that may be repeated is sent to a second owner although the first may still
//! answer.
//!
//! Some servers hang, lose answers or turn slow while a request runs. The load that this answers:
//! a part of the servers is many times slower than the rest, while the rest has room. The second
//! owner takes the request only if it can start it at once, and the fleet's budget of repeats pays.

use std::time::Duration;

/// Share of the answers that come before the second owner is asked.
const SHARE: f64 = 0.9;

/// Gain of the estimate for each answer, as a part of the mean.
const GAIN: f64 = 0.1;

/// Part of the objective that is assumed until answers have come.
const FIRST_PART: f64 = 0.5;

/// Shortest time before a second owner is asked: several round trips between zones.
const SHORTEST: Duration = Duration::from_millis(30);

/// Time after which nine in ten answers of a route have come, learnt answer by answer.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// In seconds.
    mean: f64,
    /// In seconds.
    most: f64,
}

impl LatencyEstimate {
    /// Starts with an assumption from the route's objective.
    pub fn new(objective: Duration) -> Self {
        let assumed = objective.as_secs_f64() * FIRST_PART;
        Self { mean: assumed, most: assumed }
    }

    /// Takes the time from the hand-over to the answer.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean += (time - self.mean) * GAIN;
        let step = self.mean * GAIN;
        self.most += if time > self.most { step * SHARE } else { -step * (1.0 - SHARE) };
        self.most = self.most.max(self.mean);
    }

    /// Returns the mean time from the hand-over to the answer.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the time after the hand-over at which a second owner is asked.
    pub fn hedge_delay(&self) -> Duration {
        Duration::from_secs_f64(self.most).max(SHORTEST)
    }
}
