//! Token buckets for measuring, retries and hedges.

use std::time::Instant;

/// A token bucket that is filled by a share of calls and by a constant rate.
#[derive(Clone, Debug)]
pub struct Budget {
    share_ppm: u32,
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl Budget {
    /// Creates an empty bucket that gains `share_ppm` millionths of a token with each call and
    /// `per_second` tokens a second, up to `burst`.
    pub fn new(share_ppm: u32, per_second: f64, burst: f64, now: Instant) -> Self {
        Self { share_ppm, per_second, burst, tokens: 0.0, filled: now }
    }

    /// Changes the share of calls.
    pub fn set_share_ppm(&mut self, share_ppm: u32) {
        self.share_ppm = share_ppm;
    }

    /// Credits one call.
    pub fn on_call(&mut self) {
        self.tokens = (self.tokens + f64::from(self.share_ppm) / 1e6).min(self.burst);
    }

    /// Takes one token, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
