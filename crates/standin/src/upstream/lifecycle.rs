//! Warm-up, draining and announced state of an upstream.

use std::time::Instant;

use super::behaviour::{ColdStart, TurnCold};

/// Lifecycle of an upstream.
pub struct Lifecycle {
    /// Instance id that it announces; changes when a restart is simulated.
    pub instance: u64,
    /// Start of the warm-up; `None` if it is warm.
    cold_since: Option<Instant>,
    /// Successful requests since the start of the warm-up.
    succeeded: u64,
    /// Whether it announces the state `cold` during the warm-up.
    announces_cold: bool,
    /// Start of draining; `None` if it is not draining.
    pub draining_since: Option<Instant>,
    /// Time at which its zone went out of service; `None` if the zone is in service.
    pub zone_out_since: Option<Instant>,
    /// Time at which the current fault of a bad version was set.
    pub bad_since: Instant,
}

impl Lifecycle {
    pub fn new(instance: u64, warm: bool, now: Instant) -> Self {
        Self {
            instance,
            cold_since: (!warm).then_some(now),
            succeeded: 0,
            announces_cold: true,
            draining_since: None,
            zone_out_since: None,
            bad_since: now,
        }
    }

    pub fn turn_cold(&mut self, how: TurnCold, now: Instant) {
        self.cold_since = Some(now);
        self.succeeded = 0;
        self.announces_cold = how == TurnCold::Announced;
        if self.announces_cold {
            self.instance += 1;
        }
    }

    /// Counts a successful request, and ends the warm-up once it is complete.
    pub fn record_success(&mut self, cold: &ColdStart, now: Instant) {
        self.succeeded += 1;
        if self.progress(cold, now) >= 1.0 {
            self.cold_since = None;
        }
    }

    /// Returns the progress of the warm-up from 0 to 1, half of it by requests and half by time.
    fn progress(&self, cold: &ColdStart, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let by_requests = self.succeeded as f64 / cold.warm_calls.max(1) as f64;
        let by_time =
            now.duration_since(since).as_secs_f64() * 1_000.0 / cold.warm_ms.max(1) as f64;
        by_requests.min(1.0) / 2.0 + by_time.min(1.0) / 2.0
    }

    /// Returns the number in flight that it can handle while cold; `None` if it is warm.
    pub fn cold_capacity(&self, cold: &ColdStart, slots: u32, now: Instant) -> Option<u32> {
        self.cold_since?;
        let initial = f64::from(cold.initial_capacity);
        let capacity = initial + (f64::from(slots) - initial) * self.progress(cold, now);
        Some((capacity as u32).max(cold.initial_capacity))
    }

    /// Returns the state for announcements.
    pub fn announced_state(&self) -> &'static str {
        if self.draining_since.is_some() {
            return "draining";
        }
        match self.cold_since {
            Some(_) if self.announces_cold => "cold",
            _ => "serving",
        }
    }
}
