//! When a refused client should come back.

use std::time::Duration;

/// Shortest time named to a client: below it, a return would meet the queue that refused it.
const SHORTEST: Duration = Duration::from_millis(50);

/// Longest time named when nothing is known of the end of a shortage.
const LONGEST: Duration = Duration::from_millis(1_000);

/// Part of the remaining time up to which clients honour a wait.
const HONOURED_PART: u32 = 3;

/// Returns the wait to name to a client whose request was refused, where a slot is expected after
/// `expected` and the client has `left` until its deadline. `spread`, uniform in 0..1, keeps the
/// clients that were refused together from returning together.
pub fn retry_after(expected: Duration, left: Duration, spread: f64) -> Duration {
    let wait = expected.clamp(SHORTEST, LONGEST).mul_f64(0.75 + spread / 2.0);
    wait.min(left / HONOURED_PART)
}
