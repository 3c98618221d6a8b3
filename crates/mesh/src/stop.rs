//! The times of a planned stop.
//!
//! The platform kills a process some time after it has asked it to stop. All other times follow from
//! that one: how long requests are taken, which of them still end in time, and when the process
//! exits. A request that cannot end before the exit is refused, since another node can run it.

use std::time::{Duration, Instant};

/// Time for which the process admits requests and stays up even when idle, unless the kill comes
/// too soon. The platform needs up to two readiness checks, a second apart, to notice that the node
/// is not ready.
const MAX_ADMIT_TIME: Duration = Duration::from_millis(2_600);

/// Fraction of the time until the kill after which no request is taken.
const TAKE_FRACTION: f64 = 0.5;

/// Fraction of the time until the kill that is left when the process exits.
const EXIT_MARGIN_FRACTION: f64 = 0.15;

/// Maximum time before the kill at which the process exits.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(900);

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    requested: Instant,
    until_kill: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that was requested at `requested`, `until_kill` before the
    /// process is killed.
    pub fn new(requested: Instant, until_kill: Duration) -> Self {
        Self { requested, until_kill }
    }

    /// Returns the time until which the owner admits requests of other nodes, and the process stays
    /// up even when idle.
    pub fn admit_until(&self) -> Instant {
        (self.requested + MAX_ADMIT_TIME).min(self.refuse_from())
    }

    /// Returns the time from which requests of clients are refused.
    pub fn refuse_from(&self) -> Instant {
        self.requested + self.until_kill.mul_f64(TAKE_FRACTION)
    }

    /// Returns the time at which the process exits even with requests in flight.
    pub fn exit_at(&self) -> Instant {
        let margin = self.until_kill.mul_f64(EXIT_MARGIN_FRACTION).min(MAX_EXIT_MARGIN);
        self.requested + self.until_kill - margin
    }

    /// Returns whether a request that usually takes up to `usual_time` may be taken.
    pub fn may_take(&self, usual_time: Duration, now: Instant) -> bool {
        now < self.refuse_from() && usual_time <= self.exit_at().saturating_duration_since(now)
    }
}
