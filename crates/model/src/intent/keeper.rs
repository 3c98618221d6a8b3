//! Membership of the nodes that keep the ledger of a service's idempotency keys.
//!
//! At any time the members, leaving and lost keepers together are all processes that may hold
//! entries not yet taken over by another keeper.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use super::ChangeError;
use crate::{key::IdempotencyKey, name::NodeName};

/// How long a lost keeper stays in the set. The ledger's window must not be longer, or keys of a
/// forgotten keeper could be run twice.
pub const LOST_KEEPER_RETENTION: Duration = Duration::from_secs(3_600);

/// A node that keeps the ledger entries for part of a service's idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Keeper {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation that has authority over the keys: the node's start time in milliseconds since
    /// the Unix epoch.
    pub incarnation: u64,
}

/// A keeper whose process ended without a handover, so that its ledger entries are lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LostKeeper {
    /// Node and incarnation that was lost.
    pub keeper: Keeper,
    /// Latest wall-clock time at which it can have run a request.
    pub at: SystemTime,
    /// Epoch in which it was declared lost.
    pub epoch: u64,
}

/// The keepers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeeperSet {
    /// Incremented with each change of the set.
    pub epoch: u64,
    /// Current keepers, in the order in which they joined.
    pub members: Vec<Keeper>,
    /// Keepers that take no new keys and still hand over their entries.
    pub leaving: Vec<Keeper>,
    /// Keepers lost without a handover, oldest first.
    pub lost: Vec<LostKeeper>,
}

impl KeeperSet {
    /// Returns the keeper of `key`, by rendezvous hash over the members' names.
    pub fn keeper_of(&self, key: &IdempotencyKey) -> Option<&Keeper> {
        self.members.iter().max_by_key(|keeper| (key.score(keeper.node.as_str()), &keeper.node))
    }

    /// Returns the keepers that may still hold their entries: members and leaving keepers.
    pub fn holders(&self) -> impl Iterator<Item = &Keeper> {
        self.members.iter().chain(&self.leaving)
    }

    pub(super) fn put(&mut self, keeper: &Keeper, at: SystemTime) {
        if self.members.contains(keeper) {
            return;
        }
        self.epoch += 1;
        let earlier_incarnations: Vec<_> =
            self.holders().filter(|known| known.node == keeper.node).cloned().collect();
        for known in earlier_incarnations {
            self.mark_lost(&known, at);
        }
        self.members.push(keeper.clone());
    }

    pub(super) fn leave(&mut self, keeper: &Keeper) -> Result<(), ChangeError> {
        let index = position(&self.members, keeper)?;
        self.leaving.push(self.members.remove(index));
        self.epoch += 1;
        Ok(())
    }

    pub(super) fn finish_leave(&mut self, keeper: &Keeper) -> Result<(), ChangeError> {
        let index = position(&self.leaving, keeper)?;
        self.leaving.remove(index);
        self.epoch += 1;
        Ok(())
    }

    pub(super) fn lose(&mut self, keeper: &Keeper, at: SystemTime) -> Result<(), ChangeError> {
        if !self.holders().any(|known| known == keeper) {
            return Err(ChangeError::OtherIncarnation);
        }
        self.epoch += 1;
        self.mark_lost(keeper, at);
        Ok(())
    }

    fn mark_lost(&mut self, keeper: &Keeper, at: SystemTime) {
        self.members.retain(|known| known != keeper);
        self.leaving.retain(|known| known != keeper);
        self.lost.retain(|lost| lost.at + LOST_KEEPER_RETENTION > at);
        let epoch = self.epoch;
        match self.lost.iter_mut().find(|lost| lost.keeper.node == keeper.node) {
            // Keeping the earlier epoch and the later time puts more keys in doubt, which is safe.
            Some(lost) => {
                lost.at = lost.at.max(at);
                lost.keeper.incarnation = lost.keeper.incarnation.max(keeper.incarnation);
            }
            None => self.lost.push(LostKeeper { keeper: keeper.clone(), at, epoch }),
        }
    }
}

fn position(keepers: &[Keeper], keeper: &Keeper) -> Result<usize, ChangeError> {
    keepers.iter().position(|known| known == keeper).ok_or(ChangeError::OtherIncarnation)
}
