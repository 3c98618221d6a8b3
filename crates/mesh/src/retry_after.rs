//! The `Retry-After` time for refused clients.

use std::time::Duration;

/// Minimum wait: a client that retries sooner finds the queue still full.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Minimum wait if slots are free, because upstreams refuse a part of their requests whatever their
/// load. A longer wait would only make the answer late.
const MIN_WAIT_WITH_FREE_SLOTS: Duration = Duration::from_millis(10);

/// Maximum wait, since it is not known when a shortage ends.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The wait is at most the remaining time divided by this; clients ignore a longer one.
const DEADLINE_DIVISOR: u32 = 3;

/// Maximum deviation from the expected wait, as a fraction of it.
const SPREAD: f64 = 0.25;

/// Returns the wait to send to a client whose request was refused, where a slot is expected after
/// `expected_wait`, zero if one is free, and `remaining` is left until the client's deadline.
/// `jitter`, uniform in 0..1, keeps clients that were refused together from returning together, also
/// where the remaining time and not the expected wait bounds the result.
pub fn retry_after(expected_wait: Duration, remaining: Duration, jitter: f64) -> Duration {
    let min_wait = if expected_wait.is_zero() { MIN_WAIT_WITH_FREE_SLOTS } else { MIN_WAIT };
    let wait = expected_wait.clamp(min_wait, MAX_WAIT);
    let latest = (wait.mul_f64(1.0 + SPREAD)).min(remaining / DEADLINE_DIVISOR);
    let earliest = latest.mul_f64((1.0 - SPREAD) / (1.0 + SPREAD));
    earliest + (latest - earliest).mul_f64(jitter)
}
