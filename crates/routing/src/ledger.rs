//! The ledger of idempotency keys, which makes a request run at most once although its client
//! repeats it and nodes come and go.
//!
//! Each key has one keeper among the members of the service's [`KeeperSet`]. The keeper notes the
//! key before the request is handed on, and answers repeats from its ledger. What happens when the
//! set changes is in [`authority`].

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

use authority::{Authority, Standing};

/// Settings of a [`Ledger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// How long an entry is kept after the key's first arrival; repeats are promised to run at
    /// most once within this time.
    pub window: Duration,
    /// Largest difference between the wall clocks of clients and nodes.
    pub clock_skew: Duration,
    /// Most entries kept.
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

/// What is to be done with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// Run it, then call [`Ledger::finish`].
    Run,
    /// Answer with the stored answer of the first run.
    Replay(A),
    /// Refuse it with this kind.
    Refuse(ErrorKind),
    /// Ask again soon: a run of the key is in progress.
    InProgress,
    /// Ask again soon: holders that may know the key have not handed over yet.
    Pending,
    /// This node is not the key's keeper by the set that it knows.
    NotKeeper,
}

/// How a run that [`Ledger::claim`] allowed has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome<A> {
    /// Answered; repeats get the same answer.
    Done(A),
    /// Proved not to have run; a repeat may run.
    NotRun,
    /// May have run; repeats are in doubt.
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
    /// The key.
    pub key: IdempotencyKey,
    /// Time since the key's first arrival.
    pub age: Duration,
    /// The stored answer, or `None` when the request may have run.
    pub answer: Option<A>,
}

/// What a holder gives to a member that asks for the keys that are now its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Handover<A> {
    /// Holder that gives the entries.
    pub from: Keeper,
    /// Epoch that both sides have in force.
    pub epoch: u64,
    /// Entries whose keeper is the asker.
    pub entries: Vec<HandoverEntry<A>>,
}

/// Ledger of one node for one service; `A` is the stored answer.
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

    /// Puts a keeper set in force; older sets than the present one are ignored.
    pub fn apply_keeper_set(&mut self, set: KeeperSet) {
        self.authority.apply(set);
    }

    /// Returns the set in force.
    pub fn keeper_set(&self) -> &KeeperSet {
        self.authority.keeper_set()
    }

    /// Decides on a request with `key` and notes it when it is to be run.
    pub fn claim(&mut self, key: IdempotencyKey, now: Instant, wall: SystemTime) -> Claim<A> {
        self.expire(now);
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
        if key.created().is_some_and(|created| created > wall + self.cfg.clock_skew) {
            // A date in the future would prove the key new to a later keeper that has lost it.
            return Claim::Refuse(ErrorKind::BadRequest);
        }
        if self.expired_key(&key, wall) {
            return Claim::Refuse(ErrorKind::KeyInDoubt);
        }
        match self.authority.standing(&key, wall, &self.cfg) {
            Standing::Complete => {}
            Standing::Pending => return Claim::Pending,
            Standing::InDoubt => return Claim::Refuse(ErrorKind::KeyInDoubt),
        }
        if self.entries.len() >= self.cfg.capacity {
            return Claim::Refuse(ErrorKind::LedgerFull);
        }
        self.insert(key, now, Progress::Running);
        Claim::Run
    }

    /// Notes how a claimed run has ended.
    pub fn finish(&mut self, key: &IdempotencyKey, finished: RunOutcome<A>) {
        match finished {
            RunOutcome::NotRun => {
                self.entries.remove(key);
            }
            RunOutcome::Done(answer) => self.set_progress(key, Progress::Done(answer)),
            RunOutcome::Unknown => self.set_progress(key, Progress::Unknown),
        }
    }

    /// Returns the holders that must still hand over before this ledger is complete.
    pub fn missing_handovers(&self) -> Vec<Keeper> {
        self.authority.missing_handovers()
    }

    /// Returns what `to` must know of its keys, or `None` when this ledger does not have exactly
    /// that epoch in force or still runs one of them.
    ///
    /// A holder that is ahead would leave out keys that moved on, and one that is behind could
    /// still accept the keys itself.
    pub fn hand_over(&mut self, to: &Keeper, epoch: u64, now: Instant) -> Option<Handover<A>> {
        let set = self.authority.keeper_set();
        if set.epoch != epoch || !set.members.contains(to) || self.runs_key_of(to) {
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
        self.authority.on_handed_over(to, epoch);
        Some(Handover { from: self.authority.me().clone(), epoch, entries })
    }

    /// Takes over the entries of a holder; handovers of another epoch are ignored.
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
        self.authority.on_taken_over(handover.from, handover.epoch);
    }

    /// Returns whether every member has taken over from this leaving keeper.
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

    fn runs_key_of(&self, to: &Keeper) -> bool {
        let running = |entry: &Entry<A>| matches!(entry.progress, Progress::Running);
        let set = self.authority.keeper_set();
        self.entries.iter().any(|(key, e)| running(e) && set.keeper_of(key) == Some(to))
    }

    /// A UUIDv7 key older than the window may have run and been forgotten.
    fn expired_key(&self, key: &IdempotencyKey, wall: SystemTime) -> bool {
        let Some(created) = key.created() else {
            return false;
        };
        wall.duration_since(created).is_ok_and(|age| age > self.cfg.window)
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

    fn expire(&mut self, now: Instant) {
        while let Some((arrived, key)) = self.by_arrival.front().copied() {
            if now.saturating_duration_since(arrived) <= self.cfg.window {
                return;
            }
            self.by_arrival.pop_front();
            // A key that was not run and came again has a later arrival of its own.
            if self.entries.get(&key).is_some_and(|entry| entry.arrived == arrived) {
                self.entries.remove(&key);
            }
        }
    }
}
