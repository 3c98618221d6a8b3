//! Whether the machine of a node is slow.
//!
//! A node on a slow machine gets the processor late: its timers fire late, and its replies take
//! longer than the work in them. Such a node should not serve the other nodes of its zone or lead a
//! rollout if another one can. The node notices it by its own timers and tells it in its record,
//! so that all nodes choose by the same facts. Each change of the record is a write to the store,
//! so the state changes seldom. This handles machines that are slow for many seconds; a node whose
//! replies are late for a shorter time is avoided by each peer on its own.

use std::time::{Duration, Instant};

/// Weight of the newest timer in the smoothed lateness; about ten timers count.
const SMOOTHING: f64 = 0.1;

/// Longest lateness that a single timer counts as, in seconds, so that one pause of the machine does
/// not make a node slow.
const MAX_SAMPLE: f64 = 0.3;

/// Smoothed lateness from which a node is slow, in seconds: half of the shortest objective of
/// callers.
const SLOW_FROM: f64 = 0.05;

/// Smoothed lateness below which a slow node counts as recovered, in seconds.
const RECOVERED_BELOW: f64 = 0.015;

/// Minimum time between two changes of the state.
const MIN_STATE_TIME: Duration = Duration::from_secs(20);

/// Lateness of a node's own timers.
#[derive(Clone, Debug, Default)]
pub struct NodeHealth {
    lateness: f64,
    slow: bool,
    changed_at: Option<Instant>,
}

impl NodeHealth {
    /// Records how late a timer fired; returns whether the node is slow if that has changed.
    pub fn on_timer(&mut self, late: Duration, now: Instant) -> Option<bool> {
        self.lateness += (late.as_secs_f64().min(MAX_SAMPLE) - self.lateness) * SMOOTHING;
        let slow = match self.slow {
            true => self.lateness >= RECOVERED_BELOW,
            false => self.lateness >= SLOW_FROM,
        };
        let may_change =
            self.changed_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_STATE_TIME);
        if slow == self.slow || !may_change {
            return None;
        }
        self.slow = slow;
        self.changed_at = Some(now);
        Some(slow)
    }

    /// Returns the smoothed lateness of the timers.
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness)
    }
}
