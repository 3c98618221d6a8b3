//! Token buckets for measuring, retries and hedges.

use std::time::{Duration, Instant};

/// Millionths of a token in one token. Whole numbers keep the bucket exact over any run length.
const MICRO: u64 = 1_000_000;

/// Share of recent first attempts that may be spent on retries, hedges and probes: 10%.
pub const RETRY_SHARE_PPM: u32 = 100_000;

/// Extra attempts a second that are allowed without any first attempt, so that a service with
/// little traffic can still retry.
pub const RETRY_TOKENS_PER_SECOND: f64 = 1.0;

/// Most extra attempts in one burst.
pub const RETRY_BURST_TOKENS: f64 = 10.0;

/// Most measuring calls in one burst.
pub const MEASURING_BURST_TOKENS: f64 = 5.0;

/// A token bucket that is filled by a share of calls and by a constant rate.
///
/// In every window the tokens taken are at most the share of the window's calls, the rate times
/// the window's length, and `burst` together.
#[derive(Clone, Debug)]
pub struct Budget {
    share_ppm: u32,
    micro_per_second: u64,
    burst: u64,
    tokens: u64,
    filled: Instant,
    calls: u64,
    taken: u64,
    micro_earned: u64,
}

impl Budget {
    /// Creates an empty bucket that gains `share_ppm` millionths of a token with each call and
    /// `per_second` tokens a second, up to `burst`.
    pub fn new(share_ppm: u32, per_second: f64, burst: f64, now: Instant) -> Self {
        let micro = |tokens: f64| (tokens.max(0.0) * MICRO as f64) as u64;
        Self {
            share_ppm,
            micro_per_second: micro(per_second),
            burst: micro(burst),
            tokens: 0,
            filled: now,
            calls: 0,
            taken: 0,
            micro_earned: 0,
        }
    }

    /// Creates the bucket that retries, hedges and probes share.
    pub fn for_retries(now: Instant) -> Self {
        Self::new(RETRY_SHARE_PPM, RETRY_TOKENS_PER_SECOND, RETRY_BURST_TOKENS, now)
    }

    /// Creates the bucket that pays for measuring calls.
    pub fn for_measuring(share_ppm: u32, now: Instant) -> Self {
        Self::new(share_ppm, 0.0, MEASURING_BURST_TOKENS, now)
    }

    /// Changes the share of calls.
    ///
    /// Tokens beyond what the new share could have earned are not taken back; they are bounded by
    /// the burst.
    pub fn set_share_ppm(&mut self, share_ppm: u32) {
        self.share_ppm = share_ppm;
    }

    /// Credits one call.
    pub fn on_call(&mut self) {
        self.calls += 1;
        self.micro_earned += u64::from(self.share_ppm);
        self.tokens = (self.tokens + u64::from(self.share_ppm)).min(self.burst);
    }

    /// Takes one token, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < MICRO {
            return false;
        }
        self.tokens -= MICRO;
        self.taken += 1;
        true
    }

    /// Returns the number of calls credited so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the number of tokens that the calls so far were worth, with those that did not fit
    /// into the bucket.
    pub fn earned(&self) -> f64 {
        self.micro_earned as f64 / MICRO as f64
    }

    /// Returns the number of tokens taken so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled);
        if self.micro_per_second == 0 || elapsed.is_zero() {
            return;
        }
        const NANOS: u128 = 1_000_000_000;
        let rate = u128::from(self.micro_per_second);
        let gained = elapsed.as_nanos() * rate / NANOS;
        // Time that has not earned a whole millionth yet is left for the next call.
        let used = Duration::from_nanos((gained * NANOS).div_ceil(rate) as u64);
        self.filled += used.min(elapsed);
        let room = self.burst.saturating_sub(self.tokens);
        self.tokens += u64::try_from(gained).unwrap_or(u64::MAX).min(room);
    }
}
