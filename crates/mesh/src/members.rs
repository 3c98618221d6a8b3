//! Which instances exist, as learnt from the store and from the calls between nodes.
//!
//! A record under a lease vanishes when its node dies, but also when the node is cut off from the
//! store, or when the store was away for longer than the lease. Calls between nodes are the better
//! witness, so a record that has vanished stays in use while its node answers calls.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::upstream::Announcement;

/// Time for which a vanished record stays without a word of its node. The platform gives entries
/// that lapsed while the store was away two seconds to return.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which a vanished record stays after the last answer of its node.
const ANSWER_GRACE: Duration = Duration::from_secs(4);

/// What a node says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Where it takes calls of other nodes.
    pub inner: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the process is about to stop.
    pub stopping: bool,
    /// The upstream beside it, if one has been heard.
    pub upstream: Option<Announcement>,
}

/// One node as seen from here.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its own words.
    pub record: Arc<NodeRecord>,
    /// When its record vanished from the store.
    unlisted: Option<Instant>,
    answered: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    tried: bool,
}

/// First pause after a node could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between attempts to reach a node: a node that returns is used again within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

impl Member {
    fn new(record: Arc<NodeRecord>) -> Self {
        Self { record, unlisted: None, answered: None, failures: 0, retry_at: None, tried: false }
    }

    /// Returns whether calls may be sent to the node: it has not failed to answer just now.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether the store holds the record.
    pub fn is_listed(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Returns whether the node has been sent any call.
    pub fn is_tried(&self) -> bool {
        self.tried
    }

    fn is_lapsed(&self, now: Instant) -> bool {
        let Some(since) = self.unlisted else { return false };
        let silent = self.answered.is_none_or(|at| now.duration_since(at) > ANSWER_GRACE);
        now.duration_since(since) > RETURN_GRACE && (silent || self.failures > 0)
    }
}

/// All known nodes by the key of their record.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<Arc<str>, Member>,
    most: usize,
}

impl Members {
    /// Takes a record that was written.
    pub fn put(&mut self, key: &str, record: NodeRecord) {
        let record = Arc::new(record);
        match self.nodes.get_mut(key) {
            // Another process or address: what was learnt of the old one says nothing.
            Some(member) if member.record.incarnation == record.incarnation => {
                member.record = record;
                member.unlisted = None;
            }
            _ => drop(self.nodes.insert(key.into(), Member::new(record))),
        }
        self.most = self.most.max(self.nodes.len());
    }

    /// Takes note that a record has vanished.
    pub fn remove(&mut self, key: &str, now: Instant) {
        if let Some(member) = self.nodes.get_mut(key) {
            member.unlisted.get_or_insert(now);
        }
    }

    /// Takes note of all keys that the store holds; the others count as vanished.
    pub fn reconcile(&mut self, keys: &[&str], now: Instant) {
        for (key, member) in &mut self.nodes {
            if !keys.contains(&&**key) {
                member.unlisted.get_or_insert(now);
            }
        }
    }

    /// Drops the nodes that are taken as gone.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<NodeRecord>> {
        let mut gone = Vec::new();
        self.nodes.retain(|_, member| {
            let lapsed = member.is_lapsed(now);
            if lapsed {
                gone.push(member.record.clone());
            }
            !lapsed
        });
        gone
    }

    /// Takes note that a call is being sent to a node.
    pub fn on_sent(&mut self, node: &NodeName) {
        if let Some(member) = self.find(node) {
            member.tried = true;
        }
    }

    /// Takes note that a node has answered.
    pub fn on_answer(&mut self, node: &NodeName, now: Instant) {
        if let Some(member) = self.find(node) {
            member.answered = Some(now);
            member.failures = 0;
            member.retry_at = None;
        }
    }

    /// Takes note that a node could not be reached; returns how often in a row.
    pub fn on_failure(&mut self, node: &NodeName, now: Instant) -> u32 {
        let Some(member) = self.find(node) else { return 0 };
        let pause = FIRST_PAUSE.saturating_mul(1 << member.failures.min(8)).min(LONGEST_PAUSE);
        member.failures += 1;
        member.retry_at = Some(now + pause);
        member.failures
    }

    /// Returns all nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values()
    }

    /// Returns the most nodes that were known at once, by which shares of the fleet's budgets are
    /// computed: a share must not grow because nodes have become unreachable.
    pub fn peak_count(&self) -> usize {
        self.most
    }

    fn find(&mut self, node: &NodeName) -> Option<&mut Member> {
        self.nodes.values_mut().find(|member| member.record.node == *node)
    }
}
