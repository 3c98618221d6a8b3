//! Which instances exist, as learned from the store and from the calls between nodes.
//!
//! A record under a lease vanishes when its node dies, but also when the node is cut off from the
//! store, or when the store was unavailable for longer than the lease. Calls between nodes are the
//! better evidence, so a record that has vanished stays in use while its node answers calls.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::upstream::Announcement;

/// Time for which a vanished record is kept if its node doesn't answer. The platform gives entries
/// whose leases ended while the store was unavailable two seconds to return.
pub const RELIST_GRACE: Duration = Duration::from_secs(2);

/// Time for which a vanished record is kept after the last answer of its node.
const ANSWER_GRACE: Duration = Duration::from_secs(4);

/// A node's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Address for calls of other nodes.
    pub inner: SocketAddr,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Whether the process is about to stop.
    pub stopping: bool,
    /// Whether its machine is slow, so that others should serve and lead if they can.
    #[serde(default)]
    pub slow: bool,
    /// Last announcement of its local upstream, if there is any.
    pub upstream: Option<Announcement>,
}

/// A known node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest record from the store.
    pub record: Arc<NodeRecord>,
    /// Time at which its record vanished from the store.
    unlisted_at: Option<Instant>,
    answered_at: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    tried: bool,
}

/// Pause after the first failed call to a node; it doubles with each further failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between attempts to reach a node, within which a node that returns is used again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

impl Member {
    fn new(record: Arc<NodeRecord>) -> Self {
        Self {
            record,
            unlisted_at: None,
            answered_at: None,
            failures: 0,
            retry_at: None,
            tried: false,
        }
    }

    /// Returns whether calls may be sent to the node: no pause after a failed call is running.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether the store holds the node's record.
    pub fn is_listed(&self) -> bool {
        self.unlisted_at.is_none()
    }

    /// Returns whether any call has been sent to the node.
    pub fn is_tried(&self) -> bool {
        self.tried
    }

    fn is_expired(&self, now: Instant) -> bool {
        let Some(since) = self.unlisted_at else { return false };
        let unresponsive = self.answered_at.is_none_or(|at| now.duration_since(at) > ANSWER_GRACE);
        now.duration_since(since) > RELIST_GRACE && (unresponsive || self.failures > 0)
    }
}

/// All known nodes by the keys of their records.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<Arc<str>, Member>,
    peak_count: usize,
}

impl Members {
    /// Adds or updates a record that was written.
    pub fn put(&mut self, key: &str, record: NodeRecord) {
        let record = Arc::new(record);
        match self.nodes.get_mut(key) {
            // Failures and answers of an earlier process say nothing about a new one.
            Some(member) if member.record.incarnation == record.incarnation => {
                member.record = record;
                member.unlisted_at = None;
            }
            _ => drop(self.nodes.insert(key.into(), Member::new(record))),
        }
        self.peak_count = self.peak_count.max(self.nodes.len());
    }

    /// Marks a record as vanished from the store.
    pub fn remove(&mut self, key: &str, now: Instant) {
        if let Some(member) = self.nodes.get_mut(key) {
            member.unlisted_at.get_or_insert(now);
        }
    }

    /// Marks all records as vanished whose keys are not among `keys`, which the store holds.
    pub fn reconcile(&mut self, keys: &[&str], now: Instant) {
        for (key, member) in &mut self.nodes {
            if !keys.contains(&&**key) {
                member.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// Removes and returns the expired nodes.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<NodeRecord>> {
        let mut removed = Vec::new();
        self.nodes.retain(|_, member| {
            let expired = member.is_expired(now);
            if expired {
                removed.push(member.record.clone());
            }
            !expired
        });
        removed
    }

    /// Records that a call is being sent to a node.
    pub fn on_sent(&mut self, node: &NodeName) {
        if let Some(member) = self.find(node) {
            member.tried = true;
        }
    }

    /// Records that a node has answered.
    pub fn on_answer(&mut self, node: &NodeName, now: Instant) {
        if let Some(member) = self.find(node) {
            member.answered_at = Some(now);
            member.failures = 0;
            member.retry_at = None;
        }
    }

    /// Records that a node could not be reached; returns the number of failures in a row.
    pub fn on_failure(&mut self, node: &NodeName, now: Instant) -> u32 {
        let Some(member) = self.find(node) else { return 0 };
        let pause =
            MIN_RETRY_PAUSE.saturating_mul(1 << member.failures.min(8)).min(MAX_RETRY_PAUSE);
        member.failures += 1;
        member.retry_at = Some(now + pause);
        member.failures
    }

    /// Returns all nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values()
    }

    /// Returns the maximum number of nodes known at once. Shares of fleet-wide budgets are computed
    /// from it: a share must not grow because nodes have become unreachable.
    pub fn peak_count(&self) -> usize {
        self.peak_count
    }

    fn find(&mut self, node: &NodeName) -> Option<&mut Member> {
        self.nodes.values_mut().find(|member| member.record.node == *node)
    }
}
