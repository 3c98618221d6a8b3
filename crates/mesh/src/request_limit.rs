//! The limit on requests that an upstream in need names in its responses.
//!
//! Such an upstream accepts a number of requests a second from all instances together, for as long
//! as its responses say so. All requests to it pass through the owner beside it, so the owner alone
//! keeps the limit, whatever the size of the fleet. An owner that has just started knows neither
//! the limit nor what its predecessor has sent. Until the first response it therefore sends one
//! request at a time, and a limit starts without a burst. This handles an upstream that accepts a
//! fraction of its usual load, down to nothing, while the rest of the service has to serve more.

use std::time::{Duration, Instant};

use crate::token_bucket::TokenBucket;

/// Largest burst at a limited upstream: the requests that the limit allows in this many seconds.
/// Users count over 4 s and allow half as much again, so that bursts before and after the restart
/// of an owner fit in.
const BURST_SECONDS: f64 = 0.5;

/// Time for which all responses must lack the limit before it is lifted. Responses on different
/// connections can be handled in the wrong order, and lifting the limit releases all requests that
/// wait for it.
const LIFT_DELAY: Duration = Duration::from_millis(100);

/// The limit on requests to one upstream.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    bucket: Option<TokenBucket>,
    /// Time of the first of the latest responses, which all lack the limit.
    absent_since: Option<Instant>,
    /// Whether no response has told yet if there is a limit.
    unknown: bool,
}

impl RequestLimit {
    /// Creates the limit of an upstream that has not responded yet.
    pub fn unknown() -> Self {
        Self { unknown: true, ..Self::default() }
    }

    /// Applies what a response says: the requests per second that the upstream accepts, or `None`
    /// if the response names no limit.
    pub fn on_response(&mut self, per_second: Option<f64>, now: Instant) {
        self.unknown = false;
        let Some(per_second) = per_second else {
            let absent_since = *self.absent_since.get_or_insert(now);
            if now.saturating_duration_since(absent_since) >= LIFT_DELAY {
                self.bucket = None;
            }
            return;
        };
        self.absent_since = None;
        let burst = (per_second * BURST_SECONDS).max(1.0);
        match &mut self.bucket {
            Some(bucket) => bucket.set_rate(per_second, burst, now),
            None => self.bucket = Some(TokenBucket::empty(per_second, burst, now)),
        }
    }

    /// Returns the requests per second that the upstream accepts, if it has named a limit.
    pub fn per_second(&self) -> Option<f64> {
        self.bucket.as_ref().map(TokenBucket::per_second)
    }

    /// Returns whether a request may start now, beside `running` others.
    pub fn allows(&mut self, running: u32, now: Instant) -> bool {
        if self.unknown && running > 0 {
            return false;
        }
        self.bucket.as_mut().is_none_or(|bucket| bucket.has_token(now))
    }

    /// Records the start of a request.
    pub fn on_start(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take();
        }
    }

    /// Returns the number of requests that the limit allows at once.
    pub fn available(&self, now: Instant) -> f64 {
        self.bucket.as_ref().map_or(f64::MAX, |bucket| bucket.available(now))
    }

    /// Returns the time until the limit allows one more request after `before` others.
    pub fn expected_wait(&self, before: usize, now: Instant) -> Duration {
        let wait = |bucket: &TokenBucket| bucket.time_until(before as f64 + 1.0, now);
        self.bucket.as_ref().map_or(Duration::ZERO, wait)
    }
}
