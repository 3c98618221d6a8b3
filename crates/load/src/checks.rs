//! Checks of invariants on the records of all upstreams of a run.

use std::collections::{BTreeMap, BTreeSet};

use oleandertiller_standin::Record;
use serde::{Deserialize, Serialize};

/// Counts of requests that upstreams ran although an invariant forbids it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Checks {
    /// Idempotency keys that ran more than once, at one upstream or at several.
    pub run_twice: u64,
    /// Requests beyond the number that a cold upstream can handle.
    pub cold_excess: u64,
    /// Requests run that arrived more than 3 s after their zone went out of service.
    pub zone_out_late: u64,
    /// Requests run that arrived more than 3 s after draining began.
    pub draining_late: u64,
}

impl Checks {
    /// Counts the violations in the records of one run.
    pub fn of(records: &[Record]) -> Self {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for (key, count) in records.iter().flat_map(|record| &record.keys) {
            *runs.entry(key).or_default() += count;
        }
        let sum = |count: fn(&Record) -> u64| records.iter().map(count).sum();
        Self {
            run_twice: runs.values().filter(|runs| **runs > 1).count() as u64,
            cold_excess: sum(|record| record.cold_excess),
            zone_out_late: sum(|record| record.run_zone_out_late),
            draining_late: sum(|record| record.run_draining_late),
        }
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        self.run_twice += other.run_twice;
        self.cold_excess += other.cold_excess;
        self.zone_out_late += other.zone_out_late;
        self.draining_late += other.draining_late;
    }
}

/// Returns the number of ids in `not_run` that an upstream ran.
///
/// The records must hold request ids.
pub fn false_not_run(not_run: &[String], records: &[Record]) -> u64 {
    let run: BTreeSet<&str> =
        records.iter().flat_map(|record| record.requests.keys()).map(String::as_str).collect();
    not_run.iter().filter(|id| run.contains(id.as_str())).count() as u64
}
