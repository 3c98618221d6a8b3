//! Which process leads the rollouts of a service.
//!
//! The leader is named by a key in the store, under its lease. A write to the store may take effect
//! although its answer is lost, or take effect late. A process therefore recognizes its own
//! leadership by the value of the key, not by the answer to its write.

use std::time::{Duration, Instant};

use oleandertiller_model::NodeName;
use serde::{Deserialize, Serialize};

/// Delay of an attempt to become leader, once for each node of the service with a lesser name, so
/// that the nodes try in turn.
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// One process start of a node, as the value of the leader's key names it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProcessId {
    /// Name of the node.
    pub node: NodeName,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Random number that distinguishes two starts at the same time by the node's clock.
    pub nonce: u64,
}

/// The leadership of a service's rollouts, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Revision of the leader's key. The leader's writes are conditional on it.
    pub revision: u64,
    /// Process that leads.
    pub leader: ProcessId,
}

/// What a process does about the leadership of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderStep {
    /// It leads; its writes are conditional on the revision of the leader's key.
    Lead,
    /// It tries to become leader.
    TakeOver,
    /// It leaves the leadership to another process.
    Wait,
}

/// Decides whether a process leads, takes over or waits.
#[derive(Clone, Debug)]
pub struct Candidate {
    own: ProcessId,
    /// When the open order was first found without a leader.
    leaderless_since: Option<Instant>,
}

impl Candidate {
    /// Creates the candidate of a process.
    pub fn new(own: ProcessId) -> Self {
        Self { own, leaderless_since: None }
    }

    /// Returns the next step, given the leadership that is known of the store and the number of
    /// nodes of the service with lesser names. A leadership of an earlier process of the same node
    /// is left to expire with its lease.
    pub fn step(
        &mut self,
        known: Option<&Leadership>,
        lesser_names: usize,
        now: Instant,
    ) -> LeaderStep {
        if let Some(Leadership { leader, .. }) = known {
            self.leaderless_since = None;
            return if *leader == self.own { LeaderStep::Lead } else { LeaderStep::Wait };
        }
        let since = *self.leaderless_since.get_or_insert(now);
        let delay = TAKEOVER_DELAY * u32::try_from(lesser_names).unwrap_or(u32::MAX);
        match now.saturating_duration_since(since) >= delay {
            true => LeaderStep::TakeOver,
            false => LeaderStep::Wait,
        }
    }

    /// Records that there is no order to carry out.
    pub fn on_no_order(&mut self) {
        self.leaderless_since = None;
    }
}
