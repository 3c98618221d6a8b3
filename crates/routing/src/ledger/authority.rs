//! Whether a keeper must have been the first to see a key.
//!
//! A keeper may run a key that is not in its ledger only if no other process can have run it. That
//! holds for a key that has been its own since a time when its ledger was complete. The ledger is
//! complete for an epoch when every other holder (member or leaving) has confirmed that it has the
//! same epoch in force, so that it refuses keys that are not its own, and has handed over its
//! entries. The entries of a lost holder cannot be had; its keys are in doubt for the window.

use std::{collections::BTreeMap, time::SystemTime};

use oleandertiller_model::{
    IdempotencyKey,
    intent::{Keeper, KeeperSet, LostKeeper},
};

use super::LedgerConfig;

/// Most epochs that a ledger can be behind without starting over. Each is scanned on a claim.
const HISTORY_MAX: usize = 16;

/// Standing of a keeper towards a key that is not in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nobody can have run the key.
    Complete,
    /// A holder that may have run the key has not handed over.
    Pending,
    /// A lost keeper may have run the key.
    InDoubt,
}

/// A keeper's view of the keeper sets of its service.
#[derive(Clone, Debug, Hash)]
pub struct Authority {
    me: Keeper,
    set: KeeperSet,
    /// Members of each epoch from the last complete one up to the one before the present.
    since_complete: Option<Vec<Vec<Keeper>>>,
    /// Epoch from which the ledger has been complete for all own keys without a gap.
    complete_from: Option<u64>,
    /// Latest epoch for which each holder has handed over.
    taken_over: BTreeMap<Keeper, u64>,
    /// Latest epoch for which each member has taken over from this keeper.
    handed_over: BTreeMap<Keeper, u64>,
    /// Epoch in which this keeper was first seen leaving.
    left_at: Option<u64>,
}

impl Authority {
    /// Creates the authority of a keeper that knows no set yet.
    pub fn new(me: Keeper) -> Self {
        Self {
            me,
            set: KeeperSet::default(),
            since_complete: None,
            complete_from: None,
            taken_over: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            left_at: None,
        }
    }

    /// Returns the keeper itself.
    pub fn me(&self) -> &Keeper {
        &self.me
    }

    /// Returns the set in force.
    pub fn keeper_set(&self) -> &KeeperSet {
        &self.set
    }

    /// Puts `set` in force if it is newer.
    pub fn apply(&mut self, set: KeeperSet) {
        if set.epoch <= self.set.epoch {
            return;
        }
        let follows = set.epoch == self.set.epoch + 1 && self.set.members.contains(&self.me);
        let previous = std::mem::replace(&mut self.set, set);
        if !follows {
            self.since_complete = None;
            self.complete_from = None;
        } else if !self.stays_complete(&previous) {
            self.remember(previous);
        }
        if self.left_at.is_none() && self.set.leaving.contains(&self.me) {
            self.left_at = Some(self.set.epoch);
        }
        self.check_complete();
    }

    /// A set that only grew moves no key to this keeper, so a complete ledger stays complete.
    fn stays_complete(&self, previous: &KeeperSet) -> bool {
        self.since_complete.as_ref().is_some_and(Vec::is_empty)
            && previous.members.iter().all(|member| self.set.members.contains(member))
    }

    fn remember(&mut self, previous: KeeperSet) {
        let Some(history) = &mut self.since_complete else {
            return;
        };
        history.push(previous.members);
        if history.len() > HISTORY_MAX {
            self.since_complete = None;
            self.complete_from = None;
        }
    }

    /// Returns whether this node is the keeper of `key` by the set in force.
    pub fn is_keeper_of(&self, key: &IdempotencyKey) -> bool {
        self.set.keeper_of(key) == Some(&self.me)
    }

    /// Returns the standing towards a key of its own that is not in the ledger.
    pub fn standing(&self, key: &IdempotencyKey, wall: SystemTime, cfg: &LedgerConfig) -> Standing {
        if !self.is_continuous(key) {
            return Standing::Pending;
        }
        if self.set.lost.iter().any(|lost| self.in_doubt(lost, key, wall, cfg)) {
            return Standing::InDoubt;
        }
        Standing::Complete
    }

    /// Returns the holders that have not handed over for the present epoch.
    pub fn missing_handovers(&self) -> Vec<Keeper> {
        if !self.set.members.contains(&self.me) || self.is_complete() {
            return Vec::new();
        }
        self.set.holders().filter(|holder| !self.has_taken_over(holder)).cloned().collect()
    }

    /// Takes note of a handover that has been taken over.
    pub fn on_taken_over(&mut self, from: Keeper, epoch: u64) {
        self.taken_over.insert(from, epoch);
        self.check_complete();
    }

    /// Takes note of a handover given to `to`.
    pub fn on_handed_over(&mut self, to: &Keeper, epoch: u64) {
        self.handed_over.insert(to.clone(), epoch);
    }

    /// Returns whether every member has taken over from this leaving keeper.
    ///
    /// Without members nobody can take over, so the last keeper of a service is never done.
    pub fn leave_is_complete(&self) -> bool {
        let Some(left_at) = self.left_at else {
            return false;
        };
        let took_over = |member| self.handed_over.get(member).is_some_and(|e| *e >= left_at);
        !self.set.members.is_empty() && self.set.members.iter().all(took_over)
    }

    fn is_complete(&self) -> bool {
        self.since_complete.as_ref().is_some_and(Vec::is_empty)
    }

    fn has_taken_over(&self, holder: &Keeper) -> bool {
        *holder == self.me || self.taken_over.get(holder) == Some(&self.set.epoch)
    }

    fn check_complete(&mut self) {
        let is_member = self.set.members.contains(&self.me);
        if is_member && self.set.holders().all(|holder| self.has_taken_over(holder)) {
            self.since_complete = Some(Vec::new());
            self.complete_from.get_or_insert(self.set.epoch);
        }
    }

    /// The key has been this keeper's own in every epoch since its ledger was complete.
    fn is_continuous(&self, key: &IdempotencyKey) -> bool {
        let Some(history) = &self.since_complete else {
            return false;
        };
        history.iter().all(|members| {
            members.iter().max_by_key(|k| (key.score(k.node.as_str()), &k.node)) == Some(&self.me)
        })
    }

    fn in_doubt(
        &self,
        lost: &LostKeeper,
        key: &IdempotencyKey,
        wall: SystemTime,
        cfg: &LedgerConfig,
    ) -> bool {
        let was_complete_before = self.complete_from.is_some_and(|from| from < lost.epoch);
        let mine = (key.score(self.me.node.as_str()), &self.me.node);
        let theirs = (key.score(lost.keeper.node.as_str()), &lost.keeper.node);
        if was_complete_before && mine > theirs {
            // The key was never the lost keeper's while this one was a member.
            return false;
        }
        if wall > lost.at + cfg.window + cfg.clock_skew {
            return false;
        }
        let made_later = key.created().is_some_and(|created| created > lost.at + cfg.clock_skew);
        !made_later
    }
}
