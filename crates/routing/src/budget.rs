//! Token buckets that bound retries, hedges and probes.

use std::time::{Duration, Instant};

/// Millionths of a token in one token. Integers keep the bucket exact over any run length.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Retries, hedges and probes per first attempt, in millionths: 10%.
pub const RETRY_SHARE_PPM: u32 = 100_000;

/// Retries, hedges and probes per second that need no first attempt, so that a service with little
/// traffic can still retry.
pub const RETRY_TOKENS_PER_SECOND: f64 = 1.0;

/// Largest burst of retries, hedges and probes, in tokens.
pub const RETRY_BURST_TOKENS: f64 = 10.0;

/// Largest burst of probes that measure load, in tokens.
pub const MEASURING_BURST_TOKENS: f64 = 5.0;

/// A token bucket that refills by a share of each call and at a constant rate.
///
/// In every window of time, the tokens taken are at most the sum of the share of the window's
/// calls, the rate times the window's length, and `burst`.
#[derive(Clone, Debug)]
pub struct Budget {
    // Fields named `micro_*` are in millionths of a token.
    share_ppm: u32,
    micro_per_second: u64,
    micro_burst: u64,
    micro_tokens: u64,
    refilled_at: Instant,
    calls: u64,
    taken: u64,
    micro_earned: u64,
}

impl Budget {
    /// Creates an empty bucket that gains `share_ppm` millionths of a token with each call and
    /// `per_second` tokens a second, up to `burst`.
    pub fn new(share_ppm: u32, per_second: f64, burst: f64, now: Instant) -> Self {
        let micro = |tokens: f64| (tokens.max(0.0) * MICRO_PER_TOKEN as f64) as u64;
        Self {
            share_ppm,
            micro_per_second: micro(per_second),
            micro_burst: micro(burst),
            micro_tokens: 0,
            refilled_at: now,
            calls: 0,
            taken: 0,
            micro_earned: 0,
        }
    }

    /// Creates the bucket shared by retries, hedges and probes.
    pub fn for_retries(now: Instant) -> Self {
        Self::new(RETRY_SHARE_PPM, RETRY_TOKENS_PER_SECOND, RETRY_BURST_TOKENS, now)
    }

    /// Creates the bucket for measuring load, which every probe also takes a token from.
    pub fn for_measuring(share_ppm: u32, now: Instant) -> Self {
        Self::new(share_ppm, 0.0, MEASURING_BURST_TOKENS, now)
    }

    /// Changes the share of calls.
    ///
    /// Tokens already earned at the old share stay in the bucket; the burst bounds them.
    pub fn set_share_ppm(&mut self, share_ppm: u32) {
        self.share_ppm = share_ppm;
    }

    /// Adds the share of one call to the bucket.
    pub fn on_call(&mut self) {
        self.calls += 1;
        self.micro_earned += u64::from(self.share_ppm);
        self.micro_tokens = (self.micro_tokens + u64::from(self.share_ppm)).min(self.micro_burst);
    }

    /// Takes one token and returns whether there was one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.micro_tokens < MICRO_PER_TOKEN {
            return false;
        }
        self.micro_tokens -= MICRO_PER_TOKEN;
        self.taken += 1;
        true
    }

    /// Returns the number of calls counted by [`Self::on_call`].
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the number of tokens earned by calls, including those that overflowed the bucket.
    pub fn earned(&self) -> f64 {
        self.micro_earned as f64 / MICRO_PER_TOKEN as f64
    }

    /// Returns the number of tokens taken so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if self.micro_per_second == 0 || elapsed.is_zero() {
            return;
        }
        const NANOS_PER_SECOND: u128 = 1_000_000_000;
        let rate = u128::from(self.micro_per_second);
        let earned = elapsed.as_nanos() * rate / NANOS_PER_SECOND;
        // Time that has not earned a whole millionth yet counts at the next refill.
        let used = Duration::from_nanos((earned * NANOS_PER_SECOND).div_ceil(rate) as u64);
        self.refilled_at += used.min(elapsed);
        let free = self.micro_burst.saturating_sub(self.micro_tokens);
        self.micro_tokens += u64::try_from(earned).unwrap_or(u64::MAX).min(free);
    }
}
