//! How many requests a version gets while it is rolled out.
//!
//! The operators limit the requests to a bad version between the order and its deadline. The owners
//! count them, because only they see every request that an upstream gets; the leader of the rollout
//! adds up the counts.

use std::{collections::BTreeMap, time::Instant};

use oleandertiller_model::{NodeName, VersionName};
use serde::{Deserialize, Serialize};

/// Maximum number of requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of all requests of the service between the order and the end of its time.
    pub share: f64,
    /// Requests in addition to the share.
    pub extra: f64,
}

impl ExposureLimit {
    /// Returns the number of requests that a bad version may have got by now.
    pub fn allowed(&self, counts: RequestCounts) -> f64 {
        self.share * counts.all as f64 + self.extra
    }
}

/// Requests since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that the service's upstreams got.
    pub all: u64,
    /// Requests that upstreams of the new version got.
    pub new: u64,
}

/// What an owner reports of the requests since an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerCounts {
    /// Revision of the order that the owner knows; 0 without one.
    pub order_revision: u64,
    /// Requests started since the owner learned of the order, by version.
    pub started: BTreeMap<VersionName, u64>,
}

/// Counts the requests that an owner starts during a rollout.
#[derive(Clone, Debug, Default)]
pub struct OwnerExposure {
    /// When this node received the order. It stays the same if a restore of the store gives the
    /// order another revision.
    order_at: Option<Instant>,
    counts: OwnerCounts,
}

impl OwnerExposure {
    /// Updates the order of the owner's service, with its revision and when it was received; a new
    /// order begins with new counts.
    pub fn set_order(&mut self, order: Option<(u64, Instant)>) {
        let order_at = order.map(|(_, at)| at);
        if order_at != self.order_at {
            *self = Self { order_at, ..Self::default() };
        }
        self.counts.order_revision = order.map_or(0, |(revision, _)| revision);
    }

    /// Counts a request that is sent to the upstream.
    pub fn on_start(&mut self, version: &VersionName) {
        if self.order_at.is_some() {
            *self.counts.started.entry(version.clone()).or_default() += 1;
        }
    }

    /// Returns the counts for the leader.
    pub fn counts(&self) -> OwnerCounts {
        self.counts.clone()
    }
}

/// The leader's account of the requests since an order.
#[derive(Clone, Debug, Default)]
pub struct ExposureLedger {
    /// Counts by owner and incarnation, so that none is lost when an owner restarts.
    owners: BTreeMap<(NodeName, u64), RequestCounts>,
}

impl ExposureLedger {
    /// Records the counts of an owner, if they belong to the order with `order_revision`, which
    /// introduces `version`.
    pub fn on_counts(
        &mut self,
        owner: (NodeName, u64),
        counts: &OwnerCounts,
        order_revision: u64,
        version: &VersionName,
    ) {
        if counts.order_revision == order_revision {
            let new = counts.started.get(version).copied().unwrap_or(0);
            let all = counts.started.values().sum();
            self.owners.insert(owner, RequestCounts { all, new });
        }
    }

    /// Returns the requests of all owners.
    pub fn counts(&self) -> RequestCounts {
        let sum = |of: fn(&RequestCounts) -> u64| self.owners.values().map(of).sum();
        RequestCounts { all: sum(|counts| counts.all), new: sum(|counts| counts.new) }
    }
}
