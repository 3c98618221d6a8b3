//! The `Retry-After` time for refused clients.

use std::time::Duration;

/// Minimum wait: a client that retries sooner finds the queue still full.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Maximum wait, since it is not known when a shortage ends.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The wait is at most the remaining time divided by this; clients ignore a longer one.
const DEADLINE_DIVISOR: u32 = 3;

/// Maximum deviation from the expected wait, as a fraction of it.
const SPREAD: f64 = 0.25;

/// Returns the wait to send to a client whose request was refused, where a slot is expected after
/// `expected_wait` and `remaining` is left until the client's deadline. `jitter`, uniform in 0..1,
/// keeps clients that were refused together from returning together, also where the remaining time
/// and not the expected wait bounds the result.
pub fn retry_after(expected_wait: Duration, remaining: Duration, jitter: f64) -> Duration {
    let wait = expected_wait.clamp(MIN_WAIT, MAX_WAIT);
    let latest = (wait.mul_f64(1.0 + SPREAD)).min(remaining / DEADLINE_DIVISOR);
    let earliest = latest.mul_f64((1.0 - SPREAD) / (1.0 + SPREAD));
    earliest + (latest - earliest).mul_f64(jitter)
}
