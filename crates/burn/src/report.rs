//! Reports of a single node and of the fleet.

use std::collections::BTreeMap;

use oleandertiller_model::{KindName, NodeName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::cause::Cause;

/// A share of 100%, in parts per million.
const PPM: f64 = 1e6;

/// Request counts of one time window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WindowReport {
    /// Length of the window, in seconds.
    pub seconds: u64,
    /// Requests that ended in it.
    pub total: u64,
    /// Requests without a correct answer in time, in the order of [`Cause::ALL`].
    pub bad: [u64; Cause::ALL.len()],
}

impl WindowReport {
    /// Returns the number of requests without a correct answer in time.
    pub fn bad_total(&self) -> u64 {
        self.bad.iter().sum()
    }

    /// Returns the burn rate of the error budget; at 1 the budget lasts exactly for the objective's
    /// period.
    pub fn burn_rate(&self, objective_ppm: u32) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let allowed = 1.0 - f64::from(objective_ppm) / PPM;
        let bad = self.bad_total() as f64 / self.total as f64;
        // An objective of 100% has no budget, so that any failure burns infinitely fast.
        if allowed <= 0.0 { if bad > 0.0 { f64::INFINITY } else { 0.0 } } else { bad / allowed }
    }

    /// Returns the window's error budget: the number of requests that may fail under the objective.
    pub fn allowed(&self, objective_ppm: u32) -> f64 {
        self.total as f64 * (1.0 - f64::from(objective_ppm) / PPM)
    }

    fn add(&mut self, other: &Self) {
        self.total += other.total;
        for (sum, bad) in self.bad.iter_mut().zip(other.bad) {
            *sum += bad;
        }
    }
}

/// Request counts of one time slice, for plots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SliceReport {
    /// Age of the slice, in seconds.
    pub age_seconds: u64,
    /// Requests that ended in it.
    pub total: u64,
    /// Requests without a correct answer in time.
    pub bad: u64,
}

/// Error budget of one request kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KindReport {
    /// Objective: share of correct answers in time, in parts per million.
    pub objective_ppm: u32,
    /// Counts by window, shortest first.
    pub windows: Vec<WindowReport>,
    /// Recent slices, oldest first.
    pub series: Vec<SliceReport>,
}

/// Report of one node, about the client requests that entered through it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeReport {
    /// Name of the node.
    pub node: NodeName,
    /// Time since the node began to record requests, in seconds.
    pub since_seconds: u64,
    /// Request kinds by service and name.
    pub services: BTreeMap<ServiceName, BTreeMap<KindName, KindReport>>,
}

/// Combined report of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetReport {
    /// Nodes in the report, with the time for which they have recorded requests, in seconds.
    pub nodes: BTreeMap<NodeName, u64>,
    /// Addresses of nodes that did not answer, with the reason.
    pub missing: BTreeMap<String, String>,
    /// Request kinds by service and name, summed over the nodes.
    pub services: BTreeMap<ServiceName, BTreeMap<KindName, KindReport>>,
}

impl FleetReport {
    /// Adds the report of a node; a second report of the same node is ignored.
    pub fn merge(&mut self, node: &NodeReport) {
        if self.nodes.insert(node.node.clone(), node.since_seconds).is_some() {
            return;
        }
        for (service, kinds) in &node.services {
            let sums = self.services.entry(service.clone()).or_default();
            for (kind, report) in kinds {
                sums.entry(kind.clone()).or_default().add(report);
            }
        }
    }
}

impl KindReport {
    fn add(&mut self, other: &Self) {
        self.objective_ppm = self.objective_ppm.max(other.objective_ppm);
        for window in &other.windows {
            match self.windows.iter_mut().find(|known| known.seconds == window.seconds) {
                Some(known) => known.add(window),
                None => self.windows.push(window.clone()),
            }
        }
        for slice in &other.series {
            match self.series.iter_mut().find(|known| known.age_seconds == slice.age_seconds) {
                Some(known) => {
                    known.total += slice.total;
                    known.bad += slice.bad;
                }
                None => self.series.push(*slice),
            }
        }
        self.windows.sort_by_key(|window| window.seconds);
        self.series.sort_by_key(|slice| std::cmp::Reverse(slice.age_seconds));
    }
}
