//! How long a node's record lives without a renewal.
//!
//! Each renewal is a call with a price, and all nodes together may make so many calls a second. In
//! a small fleet a short lease tells the loss of a node soon at little cost. In a fleet of hundreds
//! the renewals are most of the calls, while a lost node matters less and is noticed by the calls
//! to it; its lease is longer.

use std::time::Duration;

/// Number of nodes above which leases grow with the fleet.
const SMALL_FLEET_NODES: f64 = 100.0;

/// Maximum factor by which a lease grows.
const MAX_FACTOR: f64 = 2.0;

/// Writes per second that the platform allows for each node of a full fleet. Before the other
/// nodes are known, the allowed rate tells the size of the fleet.
const WRITES_PER_NODE: f64 = 12.0;

/// Fraction of a lease after which it is renewed: one lost renewal can be repeated in time.
const RENEWAL_FRACTION: f64 = 0.4;

/// Returns the life of a lease in a fleet with `known_nodes`, whose nodes together may make
/// `writes_per_second`; `base` is the life in a small fleet.
pub fn lease_ttl(base: Duration, known_nodes: usize, writes_per_second: f64) -> Duration {
    let nodes = (known_nodes as f64).max(writes_per_second / WRITES_PER_NODE);
    base.mul_f64((nodes / SMALL_FLEET_NODES).clamp(1.0, MAX_FACTOR))
}

/// Returns the life of a lease that the store says it has granted. What is shorter than any lease,
/// or longer than was asked for, comes from a damaged answer.
pub fn granted_ttl(granted: Duration, requested: Duration, shortest: Duration) -> Duration {
    granted.min(requested).max(shortest)
}

/// Returns the time after which a lease is renewed.
pub fn renewal_interval(ttl: Duration) -> Duration {
    ttl.mul_f64(RENEWAL_FRACTION)
}
