//! The ledger of idempotency keys. It makes a request run at most once even if its client repeats
//! it and nodes join, leave or crash.
//!
//! Each key has one keeper among the members of the service's [`KeeperSet`]. The keeper records the
//! key before it passes the request on, and answers repeats from its ledger. When the set changes,
//! its holders (the members and the leaving keepers) hand over their entries to the new keepers; see
//! [`authority`].

pub mod authority;

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant, SystemTime},
};

use oleandertiller_model::{
    ErrorKind, IdempotencyKey,
    intent::{Keeper, KeeperSet},
};
use serde::{Deserialize, Serialize};

use authority::{Authority, UnseenKey};

/// Settings of a [`Ledger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// Time for which an entry is kept after the key's first arrival. Repeats within this time
    /// run at most once.
    pub window: Duration,
    /// Largest difference between the wall clocks of clients and nodes.
    pub clock_skew: Duration,
    /// Maximum number of entries. When it is reached, new keys are refused with
    /// [`ErrorKind::LedgerFull`] until an entry is removed.
    pub capacity: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(120),
            clock_skew: Duration::from_millis(500),
            capacity: 100_000,
        }
    }
}

/// What the caller must do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// Run it, then call [`Ledger::finish`].
    Run,
    /// Answer it with the stored answer of the first run.
    Replay(A),
    /// Refuse it with this error kind; it must not run.
    Refuse(ErrorKind),
    /// Claim again soon: a run of the key is in progress.
    InProgress,
    /// Claim again soon: holders that may have run the key have not handed over their entries yet.
    Pending,
    /// This node is not the key's keeper in the set that it has in force.
    NotKeeper,
}

/// How a run that [`Ledger::claim`] allowed ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome<A> {
    /// Answered; repeats get the same answer.
    Done(A),
    /// Certainly not run; a repeat may run.
    NotRun,
    /// May have run; repeats are refused with [`ErrorKind::KeyInDoubt`].
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Progress<A> {
    Running,
    Done(A),
    Unknown,
}

#[derive(Clone, Debug, Hash)]
struct Entry<A> {
    arrived: Instant,
    progress: Progress<A>,
}

/// One entry of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HandoverEntry<A> {
    /// Key of a request that has run or may have run.
    pub key: IdempotencyKey,
    /// Time since the key's first arrival.
    pub age: Duration,
    /// The stored answer, or `None` if the request may have run without a known answer.
    pub answer: Option<A>,
}

/// The entries that a holder gives to a member that has become their keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Handover<A> {
    /// Holder that gives the entries.
    pub from: Keeper,
    /// Epoch that both sides have in force.
    pub epoch: u64,
    /// Entries whose keeper is the receiving member.
    pub entries: Vec<HandoverEntry<A>>,
}

/// Ledger of one node for one service; `A` is the type of a stored answer.
#[derive(Clone, Debug, Hash)]
pub struct Ledger<A> {
    cfg: LedgerConfig,
    authority: Authority,
    entries: BTreeMap<IdempotencyKey, Entry<A>>,
    by_arrival: VecDeque<(Instant, IdempotencyKey)>,
}

impl<A: Clone> Ledger<A> {
    /// Creates an empty ledger for the keeper `me`.
    pub fn new(cfg: LedgerConfig, me: Keeper) -> Self {
        Self {
            cfg,
            authority: Authority::new(me),
            entries: BTreeMap::new(),
            by_arrival: VecDeque::new(),
        }
    }

    /// Puts a keeper set in force if it is newer than the current one.
    pub fn apply_keeper_set(&mut self, set: KeeperSet) {
        self.authority.apply(set);
    }

    /// Returns the set in force.
    pub fn keeper_set(&self) -> &KeeperSet {
        self.authority.keeper_set()
    }

    /// Decides what to do with a request that carries `key`, and records the key if it is to run.
    pub fn claim(&mut self, key: IdempotencyKey, now: Instant, wall_now: SystemTime) -> Claim<A> {
        self.remove_expired(now);
        if !self.authority.is_keeper_of(&key) {
            return Claim::NotKeeper;
        }
        if let Some(entry) = self.entries.get(&key) {
            return match &entry.progress {
                Progress::Running => Claim::InProgress,
                Progress::Done(answer) => Claim::Replay(answer.clone()),
                Progress::Unknown => Claim::Refuse(ErrorKind::KeyInDoubt),
            };
        }
        if key.created().is_some_and(|created| created > wall_now + self.cfg.clock_skew) {
            // A later keeper without this entry would take a date in the future as proof that the
            // key has not run.
            return Claim::Refuse(ErrorKind::BadRequest);
        }
        if self.is_older_than_window(&key, wall_now) {
            return Claim::Refuse(ErrorKind::KeyInDoubt);
        }
        match self.authority.check_unseen_key(&key, wall_now, &self.cfg) {
            UnseenKey::NotRun => {}
            UnseenKey::Pending => return Claim::Pending,
            UnseenKey::InDoubt => return Claim::Refuse(ErrorKind::KeyInDoubt),
        }
        if self.entries.len() >= self.cfg.capacity {
            return Claim::Refuse(ErrorKind::LedgerFull);
        }
        self.insert(key, now, Progress::Running);
        Claim::Run
    }

    /// Records how a claimed run ended.
    pub fn finish(&mut self, key: &IdempotencyKey, outcome: RunOutcome<A>) {
        match outcome {
            RunOutcome::NotRun => {
                self.entries.remove(key);
            }
            RunOutcome::Done(answer) => self.set_progress(key, Progress::Done(answer)),
            RunOutcome::Unknown => self.set_progress(key, Progress::Unknown),
        }
    }

    /// Returns the holders whose handover this ledger still needs to be complete.
    pub fn missing_handovers(&self) -> Vec<Keeper> {
        self.authority.missing_handovers()
    }

    /// Returns the entries whose keeper is `to`, or `None` if this ledger does not have exactly
    /// `epoch` in force, `to` is not a member, or one of the keys is still running here.
    ///
    /// A holder at a later epoch would leave out keys that have moved to another keeper since, and
    /// one at an earlier epoch could still accept the keys itself.
    pub fn hand_over(&mut self, to: &Keeper, epoch: u64, now: Instant) -> Option<Handover<A>> {
        let set = self.authority.keeper_set();
        if set.epoch != epoch || !set.members.contains(to) || self.has_running_key_of(to) {
            return None;
        }
        let entries = self
            .entries
            .iter()
            .filter(|(key, _)| set.keeper_of(key) == Some(to))
            .map(|(key, entry)| HandoverEntry {
                key: *key,
                age: now.saturating_duration_since(entry.arrived),
                answer: match &entry.progress {
                    Progress::Done(answer) => Some(answer.clone()),
                    Progress::Running | Progress::Unknown => None,
                },
            })
            .collect();
        self.authority.on_given(to, epoch);
        Some(Handover { from: self.authority.me().clone(), epoch, entries })
    }

    /// Adds the entries that a holder handed over; handovers of another epoch are ignored.
    pub fn take_over(&mut self, handover: Handover<A>, now: Instant) {
        if handover.epoch != self.authority.keeper_set().epoch {
            return;
        }
        for entry in handover.entries {
            if self.entries.contains_key(&entry.key) {
                continue;
            }
            let arrived = now.checked_sub(entry.age).unwrap_or(now);
            let progress = entry.answer.map_or(Progress::Unknown, Progress::Done);
            self.insert(entry.key, arrived, progress);
        }
        self.authority.on_received(handover.from, handover.epoch);
    }

    /// Returns whether this keeper is leaving and every member has taken over its entries.
    pub fn leave_is_complete(&self) -> bool {
        self.authority.leave_is_complete()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn has_running_key_of(&self, to: &Keeper) -> bool {
        let running = |entry: &Entry<A>| matches!(entry.progress, Progress::Running);
        let set = self.authority.keeper_set();
        self.entries.iter().any(|(key, entry)| running(entry) && set.keeper_of(key) == Some(to))
    }

    /// Returns whether a UUIDv7 key is older than the window, so that it may have run and its entry
    /// been removed.
    fn is_older_than_window(&self, key: &IdempotencyKey, wall_now: SystemTime) -> bool {
        let Some(created) = key.created() else {
            return false;
        };
        wall_now.duration_since(created).is_ok_and(|age| age > self.cfg.window)
    }

    fn insert(&mut self, key: IdempotencyKey, arrived: Instant, progress: Progress<A>) {
        self.entries.insert(key, Entry { arrived, progress });
        self.by_arrival.push_back((arrived, key));
    }

    fn set_progress(&mut self, key: &IdempotencyKey, progress: Progress<A>) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.progress = progress;
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((arrived, key)) = self.by_arrival.front().copied() {
            if now.saturating_duration_since(arrived) <= self.cfg.window {
                return;
            }
            self.by_arrival.pop_front();
            // A key that did not run and was claimed again has a second, later arrival.
            if self.entries.get(&key).is_some_and(|entry| entry.arrived == arrived) {
                self.entries.remove(&key);
            }
        }
    }
}
