//! The fleet's budget of repeats, shared without a word between nodes.
//!
//! The bound is on a sliding window over all nodes: `ratio` times the requests, and a fixed number
//! on top. Each node keeps to `ratio` times its own requests and an equal part of the fixed
//! number, so the sum keeps to the bound whatever the others do. A process does not know what the one
//! before it has used, so its part of the fixed number grows over its first window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The fleet-wide bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in one window on top of those.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the bound that is used; the rest covers repeats and requests that two nodes count in
/// different windows.
const USED_PART: f64 = 0.7;

/// Repeats that this node may send for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    started: Instant,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(cfg: RetryBudgetConfig, started: Instant) -> Self {
        Self { cfg, started, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Credits one request of a client.
    pub fn on_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat if the bound allows it, where `nodes` share the fixed number.
    pub fn try_take(&mut self, nodes: usize, now: Instant) -> bool {
        self.expire(now);
        let earned = self.requests.len() as f64 * self.cfg.ratio;
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let grown = (age / self.cfg.window.as_secs_f64()).min(1.0);
        let share = self.cfg.extra * grown / nodes.max(1) as f64;
        if self.repeats.len() as f64 + 1.0 > (earned + share) * USED_PART {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Counts a request that is a repeat whether the bound allows it or not: a call that an upstream
    /// makes in a repeated run, which would be for nothing without it.
    pub fn take_unchecked(&mut self, now: Instant) {
        self.expire(now);
        self.repeats.push_back(now);
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.duration_since(*at) > self.cfg.window) {
                times.pop_front();
            }
        }
    }
}
