//! Record of what an upstream ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an upstream has done since its start or the last reset.
///
/// A request counts as run when its work begins, and also when it fails at once, since its caller
/// cannot know that nothing was done. A shed request, and one that leaves the queue on
/// cancellation or at its deadline, is not run.
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
    /// Requests answered with success.
    pub succeeded: u64,
    /// Requests answered with an error after they ran.
    pub failed: u64,
    /// Requests refused without being run.
    pub shed: u64,
    /// Requests whose deadline passed, in the queue or at work.
    pub expired: u64,
    /// Requests cancelled by a closed connection, in the queue or at work.
    pub cancelled: u64,
    /// Connections refused at the connection limit.
    pub refused_connections: u64,
    /// Calls made to other services.
    pub nested: u64,
    /// Calls to other services that were not answered with success.
    pub nested_failed: u64,
    /// Largest `x-call-depth` received.
    pub max_depth: u32,
    /// Largest number in flight, waiting ones included.
    pub max_in_flight: u32,
    /// Largest number in flight while cold.
    pub max_in_flight_cold: u32,
    /// Requests that arrived while cold above the bearable number.
    pub cold_excess: u64,
    /// Largest difference between the number in flight and the bearable number while cold.
    pub max_cold_excess: u32,
    /// Requests run that arrived after draining began.
    pub run_draining: u64,
    /// Requests run that arrived more than 3 s after draining began.
    pub run_draining_late: u64,
    /// Requests run that arrived after the zone went out of service.
    pub run_zone_out: u64,
    /// Requests run that arrived more than 3 s after the zone went out of service.
    pub run_zone_out_late: u64,
}

impl Record {
    /// Returns the keys that ran more than once, with their counts.
    pub fn repeated_keys(&self) -> BTreeMap<String, u32> {
        self.keys.iter().filter(|(_, runs)| **runs > 1).map(|(k, n)| (k.clone(), *n)).collect()
    }

    /// Returns this record with only the repeated ids and keys kept.
    pub fn summary(mut self) -> Self {
        self.requests.retain(|_, runs| *runs > 1);
        self.keys.retain(|_, runs| *runs > 1);
        self
    }
}
