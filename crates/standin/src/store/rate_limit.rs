//! Rate limit of the store.

use std::time::Instant;

/// Token bucket that holds the tokens of at most one second.
pub struct RateLimit {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    pub fn new(per_s: u32, now: Instant) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, tokens: per_s, filled: now }
    }

    /// Takes a token; a limit of 0 allows every call.
    pub fn allows(&mut self, now: Instant) -> bool {
        if self.per_s == 0.0 {
            return true;
        }
        let gained = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.filled = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
