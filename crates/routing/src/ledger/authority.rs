//! Whether a keeper may run a key that is not in its ledger.
//!
//! It may do so only if no other process can have run the key. That holds if it has been the key's
//! keeper without a gap since a time when its ledger was complete. The ledger is complete for an
//! epoch once every other holder (a member or a leaving keeper) has confirmed that it has the same
//! epoch in force, so that it refuses keys that are not its own, and has handed over its entries.
//! A lost holder cannot hand over, so its keys are in doubt for the length of the window.

use std::{collections::BTreeMap, time::SystemTime};

use oleandertiller_model::{
    IdempotencyKey,
    intent::{Keeper, KeeperSet, LostKeeper},
};

use super::LedgerConfig;

/// Most epochs that are remembered while the ledger is incomplete. Each claim of an unseen key
/// scans them; beyond this number, such keys wait until every holder has handed over.
const MAX_REMEMBERED_EPOCHS: usize = 16;

/// What a keeper can tell about a key that is not in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnseenKey {
    /// No process can have run the key.
    NotRun,
    /// A holder that may have run the key has not handed over its entries.
    Pending,
    /// A lost keeper may have run the key.
    InDoubt,
}

/// A keeper's view of the keeper sets of its service.
#[derive(Clone, Debug, Hash)]
pub struct Authority {
    me: Keeper,
    keeper_set: KeeperSet,
    /// Members in each epoch from the last complete one to the one before the current one; `None`
    /// if no epoch since the last gap was complete.
    members_since_complete: Option<Vec<Vec<Keeper>>>,
    /// First epoch for which the ledger was complete, since the last gap in the epochs applied.
    complete_since_epoch: Option<u64>,
    /// Epoch of the latest handover received from each holder.
    received_epochs: BTreeMap<Keeper, u64>,
    /// Epoch of the latest handover given to each member.
    given_epochs: BTreeMap<Keeper, u64>,
    /// First applied epoch in which this keeper was leaving.
    left_in_epoch: Option<u64>,
}

impl Authority {
    /// Creates the authority of the keeper `me` with an empty set.
    pub fn new(me: Keeper) -> Self {
        Self {
            me,
            keeper_set: KeeperSet::default(),
            members_since_complete: None,
            complete_since_epoch: None,
            received_epochs: BTreeMap::new(),
            given_epochs: BTreeMap::new(),
            left_in_epoch: None,
        }
    }

    /// Returns the keeper whose authority this is.
    pub fn me(&self) -> &Keeper {
        &self.me
    }

    /// Returns the set in force.
    pub fn keeper_set(&self) -> &KeeperSet {
        &self.keeper_set
    }

    /// Puts `set` in force if it is newer.
    pub fn apply(&mut self, set: KeeperSet) {
        if set.epoch <= self.keeper_set.epoch {
            return;
        }
        let follows =
            set.epoch == self.keeper_set.epoch + 1 && self.keeper_set.members.contains(&self.me);
        let previous = std::mem::replace(&mut self.keeper_set, set);
        if !follows {
            self.members_since_complete = None;
            self.complete_since_epoch = None;
        } else if !self.stays_complete(&previous) {
            self.record_incomplete(previous);
        }
        if self.left_in_epoch.is_none() && self.keeper_set.leaving.contains(&self.me) {
            self.left_in_epoch = Some(self.keeper_set.epoch);
        }
        self.update_complete();
    }

    /// Returns whether a complete ledger stays complete in the current set.
    ///
    /// It does if no member of `previous` is missing: members that join move no key to this keeper.
    fn stays_complete(&self, previous: &KeeperSet) -> bool {
        self.members_since_complete.as_ref().is_some_and(Vec::is_empty)
            && previous.members.iter().all(|member| self.keeper_set.members.contains(member))
    }

    fn record_incomplete(&mut self, previous: KeeperSet) {
        let Some(history) = &mut self.members_since_complete else {
            return;
        };
        history.push(previous.members);
        if history.len() > MAX_REMEMBERED_EPOCHS {
            self.members_since_complete = None;
            self.complete_since_epoch = None;
        }
    }

    /// Returns whether this node is the keeper of `key` in the set in force.
    pub fn is_keeper_of(&self, key: &IdempotencyKey) -> bool {
        self.keeper_set.keeper_of(key) == Some(&self.me)
    }

    /// Returns what is known of a key that belongs to this keeper and is not in its ledger.
    pub fn check_unseen_key(
        &self,
        key: &IdempotencyKey,
        wall_now: SystemTime,
        cfg: &LedgerConfig,
    ) -> UnseenKey {
        if !self.is_unbroken_keeper_of(key) {
            return UnseenKey::Pending;
        }
        if self.keeper_set.lost.iter().any(|lost| self.lost_may_have_run(lost, key, wall_now, cfg))
        {
            return UnseenKey::InDoubt;
        }
        UnseenKey::NotRun
    }

    /// Returns the holders whose handover this keeper still needs for the epoch in force.
    pub fn missing_handovers(&self) -> Vec<Keeper> {
        if !self.keeper_set.members.contains(&self.me) || self.is_complete() {
            return Vec::new();
        }
        self.keeper_set
            .holders()
            .filter(|holder| !self.has_received_from(holder))
            .cloned()
            .collect()
    }

    /// Records that a handover of `from` has been received.
    pub fn on_received(&mut self, from: Keeper, epoch: u64) {
        self.received_epochs.insert(from, epoch);
        self.update_complete();
    }

    /// Records that a handover has been given to `to`.
    pub fn on_given(&mut self, to: &Keeper, epoch: u64) {
        self.given_epochs.insert(to.clone(), epoch);
    }

    /// Returns whether this keeper is leaving and has handed over to every member.
    ///
    /// Without members there is no one to hand over to, so the last keeper of a service never
    /// completes its leave.
    pub fn leave_is_complete(&self) -> bool {
        let Some(left_in_epoch) = self.left_in_epoch else {
            return false;
        };
        let took_over =
            |member| self.given_epochs.get(member).is_some_and(|epoch| *epoch >= left_in_epoch);
        !self.keeper_set.members.is_empty() && self.keeper_set.members.iter().all(took_over)
    }

    fn is_complete(&self) -> bool {
        self.members_since_complete.as_ref().is_some_and(Vec::is_empty)
    }

    fn has_received_from(&self, holder: &Keeper) -> bool {
        *holder == self.me || self.received_epochs.get(holder) == Some(&self.keeper_set.epoch)
    }

    fn update_complete(&mut self) {
        let is_member = self.keeper_set.members.contains(&self.me);
        if is_member && self.keeper_set.holders().all(|holder| self.has_received_from(holder)) {
            self.members_since_complete = Some(Vec::new());
            self.complete_since_epoch.get_or_insert(self.keeper_set.epoch);
        }
    }

    /// Returns whether this has been the keeper of `key` in every epoch since the ledger was
    /// complete.
    fn is_unbroken_keeper_of(&self, key: &IdempotencyKey) -> bool {
        let Some(history) = &self.members_since_complete else {
            return false;
        };
        history.iter().all(|members| {
            members.iter().max_by_key(|k| (key.score(k.node.as_str()), &k.node)) == Some(&self.me)
        })
    }

    /// Returns whether the lost keeper may have run the key.
    ///
    /// It can't have if this keeper ranks above it for the key and was complete before the loss, or
    /// if the key was created after the loss. A run older than the window doesn't count.
    fn lost_may_have_run(
        &self,
        lost: &LostKeeper,
        key: &IdempotencyKey,
        wall_now: SystemTime,
        cfg: &LedgerConfig,
    ) -> bool {
        let complete_before_loss =
            self.complete_since_epoch.is_some_and(|epoch| epoch < lost.epoch);
        let own_rank = (key.score(self.me.node.as_str()), &self.me.node);
        let lost_rank = (key.score(lost.keeper.node.as_str()), &lost.keeper.node);
        if complete_before_loss && own_rank > lost_rank {
            // The lost keeper was never the key's keeper while this one was a member.
            return false;
        }
        if wall_now > lost.at + cfg.window + cfg.clock_skew {
            return false;
        }
        let created_after_loss =
            key.created().is_some_and(|created| created > lost.at + cfg.clock_skew);
        !created_after_loss
    }
}
