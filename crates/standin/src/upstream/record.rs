//! Counts of the requests of an upstream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of an upstream since its start or the last reset.
///
/// A request counts as run when its work starts. One that fails immediately counts too, since its
/// caller cannot know that no work was done. A request that is shed, or cancelled or expired in the
/// queue, does not count as run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Runs by request id.
    pub requests: BTreeMap<String, u32>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Runs by kind.
    pub kinds: BTreeMap<String, u64>,
    /// Requests received.
    pub received: u64,
    /// Requests run.
    pub run: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that failed after they were run.
    pub failed: u64,
    /// Requests shed, which are not run.
    pub shed: u64,
    /// Requests whose deadline passed, in the queue or during the work.
    pub expired: u64,
    /// Requests cancelled by a closed connection, in the queue or during the work.
    pub cancelled: u64,
    /// Connections closed because of the connection limit.
    pub refused_connections: u64,
    /// Nested calls made to other services.
    pub nested: u64,
    /// Nested calls that did not succeed.
    pub nested_failed: u64,
    /// Largest `x-call-depth` received.
    pub max_depth: u32,
    /// Maximum number in flight, including waiting ones.
    pub max_in_flight: u32,
    /// Maximum number in flight while cold, including waiting ones.
    pub max_in_flight_cold: u32,
    /// Requests that arrived while it was cold and exceeded its capacity.
    pub cold_excess: u64,
    /// Maximum number in flight above the capacity while cold.
    pub max_cold_excess: u32,
    /// Requests run that arrived after the start of draining.
    pub run_draining: u64,
    /// Requests run that arrived more than 3 s after the start of draining.
    pub run_draining_late: u64,
    /// Requests run that arrived after the zone went out of service.
    pub run_zone_out: u64,
    /// Requests run that arrived more than 3 s after the zone went out of service.
    pub run_zone_out_late: u64,
}

impl Record {
    /// Returns the idempotency keys that ran more than once, with the number of runs.
    pub fn repeated_keys(&self) -> BTreeMap<String, u32> {
        self.keys.iter().filter(|(_, runs)| **runs > 1).map(|(k, n)| (k.clone(), *n)).collect()
    }

    /// Returns the record with only those ids and keys that ran more than once.
    pub fn summary(mut self) -> Self {
        self.requests.retain(|_, runs| *runs > 1);
        self.keys.retain(|_, runs| *runs > 1);
        self
    }
}
