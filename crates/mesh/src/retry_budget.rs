//! The fleet-wide retry budget, enforced by each node without coordination.
//!
//! Retries, which include hedged requests, are bounded over a sliding window across all nodes:
//! `ratio` times the requests, plus a fixed number. Each node stays within `ratio` times its own
//! requests and an equal share of the fixed number, so the sum stays within the bound whatever the
//! others do. A process does not know what its predecessor used, so its share of the fixed number
//! ramps up over its first window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The fleet-wide bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to those.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Share of the allowed retries that is used. The rest covers requests and retries that two nodes
/// count in different windows.
const SAFETY_FACTOR: f64 = 0.7;

/// Share of the allowed retries that requests of clients may use while nested calls need retries: if a
/// nested call fails, the run that it belongs to is lost as well, while a client can send its request
/// again. When upstreams refuse or fail a part of their requests at once, hundreds of requests a second
/// need a retry, which is more than the budget allows.
const CLIENT_SHARE: f64 = 0.7;

/// Share of the allowed retries that hedges may use while other requests need retries: unlike one that
/// was refused, a hedged request may still be answered by its first upstream.
const HEDGE_SHARE: f64 = 0.4;

/// Time for which a part of the retries is kept after one was needed for a more important reason.
const RESERVE_DURATION: Duration = Duration::from_secs(2);

/// What a retry is for, the most important reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// An upstream has refused a nested call, or its run has failed.
    NestedFailed,
    /// An upstream has refused a client's request, or its run has failed.
    Failed,
    /// An upstream has not answered for longer than usual.
    Slow,
}

/// Retry budget of this node for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    started_at: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// When a retry was last needed for a nested call, and for a client's request.
    needed_at: [Option<Instant>; 2],
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(cfg: RetryBudgetConfig, started_at: Instant) -> Self {
        let (requests, retries) = (VecDeque::new(), VecDeque::new());
        Self { cfg, started_at, requests, retries, needed_at: [None; 2] }
    }

    /// Records a client request, which earns `ratio` retries.
    pub fn on_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the budget allows it, where `nodes` share the fixed number.
    pub fn try_take(&mut self, reason: RetryReason, nodes: usize, now: Instant) -> bool {
        self.expire(now);
        let earned = self.requests.len() as f64 * self.cfg.ratio;
        let uptime = now.saturating_duration_since(self.started_at).as_secs_f64();
        let ramp = (uptime / self.cfg.window.as_secs_f64()).min(1.0);
        let share = self.cfg.extra * ramp / nodes.max(1) as f64;
        let allowed = (earned + share) * SAFETY_FACTOR * self.usable_share(reason, now);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the share of the allowed retries that may be used up for a reason, and records that a
    /// retry is needed for it.
    fn usable_share(&mut self, reason: RetryReason, now: Instant) -> f64 {
        let needed = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < RESERVE_DURATION)
        };
        let [nested, client] = self.needed_at.map(needed);
        match reason {
            RetryReason::NestedFailed => {
                self.needed_at[0] = Some(now);
                1.0
            }
            RetryReason::Failed => {
                self.needed_at[1] = Some(now);
                if nested { CLIENT_SHARE } else { 1.0 }
            }
            RetryReason::Slow if nested || client => HEDGE_SHARE,
            RetryReason::Slow => 1.0,
        }
    }

    /// Takes one retry even if the budget is exhausted. This is for a call that an upstream makes
    /// while it runs a retried request: refusing the call would waste that run.
    pub fn take_unchecked(&mut self, now: Instant) {
        self.expire(now);
        self.retries.push_back(now);
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.duration_since(*at) > self.cfg.window) {
                times.pop_front();
            }
        }
    }
}
