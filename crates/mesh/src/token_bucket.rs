//! A token bucket, which limits a rate and allows short bursts.

use std::time::{Duration, Instant};

/// Longest wait for a token that is told; a rate of zero has no end.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Tokens that accrue at a constant rate up to the size of a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    /// Maximum number of tokens.
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that allows a burst at once.
    pub fn full(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Creates a bucket without tokens.
    pub fn empty(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: 0.0, refilled_at: now }
    }

    /// Changes the rate and the size of a burst from now on.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns the tokens that accrue in a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns whether there is a token.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Returns whether there are `count` tokens, or as many as the bucket can hold.
    pub fn has_tokens(&mut self, count: f64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= count.min(self.burst.floor()).max(1.0)
    }

    /// Takes a token; to be called only if there is one.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until `count` tokens have accrued.
    pub fn time_until(&self, count: f64, now: Instant) -> Duration {
        let mut bucket = self.clone();
        bucket.refill(now);
        let seconds = (count - bucket.tokens).max(0.0) / self.per_second.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns the number of tokens, which may be fractional.
    pub fn available(&self, now: Instant) -> f64 {
        let mut bucket = self.clone();
        bucket.refill(now);
        bucket.tokens
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
