//! Warm-up, drain and announced state of one instance.

use std::time::Instant;

use super::behaviour::{ColdStart, TurnCold};

/// Life of the present instance.
pub struct Life {
    /// Instance id; a restart changes it.
    pub instance: u64,
    /// Start of the warm-up; `None` when warm.
    cold_since: Option<Instant>,
    served: u64,
    announces_cold: bool,
    /// When draining began.
    pub draining_since: Option<Instant>,
    /// When its zone went out of service.
    pub zone_out_since: Option<Instant>,
    /// When the present fault of a bad version was set.
    pub bad_since: Instant,
}

impl Life {
    pub fn new(instance: u64, warm: bool, now: Instant) -> Self {
        Self {
            instance,
            cold_since: (!warm).then_some(now),
            served: 0,
            announces_cold: true,
            draining_since: None,
            zone_out_since: None,
            bad_since: now,
        }
    }

    pub fn turn_cold(&mut self, how: TurnCold, now: Instant) {
        self.cold_since = Some(now);
        self.served = 0;
        self.announces_cold = how == TurnCold::Announced;
        if self.announces_cold {
            self.instance += 1;
        }
    }

    /// Counts a success and ends the warm-up when it is complete.
    pub fn served(&mut self, cold: &ColdStart, now: Instant) {
        self.served += 1;
        if self.progress(cold, now) >= 1.0 {
            self.cold_since = None;
        }
    }

    /// Returns the progress of the warm-up from 0 to 1: half by work served, half by time.
    fn progress(&self, cold: &ColdStart, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let work = self.served as f64 / cold.warm_calls.max(1) as f64;
        let time = now.duration_since(since).as_secs_f64() * 1_000.0 / cold.warm_ms.max(1) as f64;
        work.min(1.0) / 2.0 + time.min(1.0) / 2.0
    }

    /// Returns the number in flight that it can handle while cold, or `None` when warm.
    pub fn cold_capacity(&self, cold: &ColdStart, slots: u32, now: Instant) -> Option<u32> {
        self.cold_since?;
        let low = f64::from(cold.initial_capacity);
        let grown = low + (f64::from(slots) - low) * self.progress(cold, now);
        Some((grown as u32).max(cold.initial_capacity))
    }

    /// Returns the state for announcements.
    pub fn state(&self) -> &'static str {
        if self.draining_since.is_some() {
            return "draining";
        }
        match self.cold_since {
            Some(_) if self.announces_cold => "cold",
            _ => "serving",
        }
    }
}
