//! Rate limit of calls to the store.

use std::time::Instant;

/// Token bucket whose capacity is the number of tokens refilled in one second.
pub struct RateLimit {
    calls_per_s: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    pub fn new(calls_per_s: u32, now: Instant) -> Self {
        let calls_per_s = f64::from(calls_per_s);
        Self { calls_per_s, tokens: calls_per_s, refilled: now }
    }

    /// Takes a token and returns true if there is one; with a limit of 0 always returns true.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if self.calls_per_s == 0.0 {
            return true;
        }
        let added = now.duration_since(self.refilled).as_secs_f64() * self.calls_per_s;
        self.tokens = (self.tokens + added).min(self.calls_per_s);
        self.refilled = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
