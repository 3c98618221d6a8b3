//! Which requests crash the upstreams that run them.
//!
//! An upstream that ends takes all its running requests with it, and clients send them again, at any
//! node. The owners therefore tell each other what was running; a request that was running at three
//! ends without having been completed meanwhile is refused. The request that crashed the upstreams
//! is among these; so may be others that ran beside it. After a while one owner at a time may run
//! it again: if it is completed, it is acquitted at once, if not, the pause grows. This answers the
//! load of a few requests that clients repeat for as long as they fail; upstreams that end by
//! themselves cost an innocent request a retry at most, since it is completed elsewhere.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::upstream::Incarnation;

/// Identity of a request that clients repeat: a hash of its service, caller, method, target and
/// body. The attempt id is new each time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new<'a>(
        service: &ServiceName,
        caller: &str,
        method: &str,
        target: &str,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hash = Xxh3::new();
        for part in
            [service.as_str().as_bytes(), caller.as_bytes(), method.as_bytes(), target.as_bytes()]
        {
            // The length delimits the parts.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        // It is the last part, so nothing delimits it.
        body.into_iter().for_each(|part| hash.update(part));
        Self(hash.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Number of crashes from which a request is refused.
const MAX_CRASHES: usize = 3;

/// Number of crashes from which a failed request is not retried at another upstream.
const MAX_RETRIED_CRASHES: usize = 2;

/// Pause after the last crash in which a request is refused, and its growth with each further
/// crash: long enough that a request that crashes upstreams does so rarely, short enough for one
/// that is innocent.
pub const MIN_PAUSE: Duration = Duration::from_secs(8);
const PAUSE_GROWTH: u32 = 8;
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Time after which a suspect is forgotten, from the end of its pause.
const MEMORY: Duration = Duration::from_secs(120);

/// Maximum number of suspects: a crash makes as many as the upstream has slots.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of crashes kept for one suspect.
const MAX_KEPT_CRASHES: usize = 8;

/// Identifies the end of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the id of the end of an upstream.
    pub fn new(upstream: &Incarnation) -> Self {
        let mut hash = Xxh3::new();
        upstream.hash(&mut hash);
        Self(hash.finish())
    }
}

/// What a node tells others of a suspect. Ages are those at the time of sending.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuspectRecord {
    /// The request.
    pub request: Fingerprint,
    /// Upstreams that ended while they ran it, with the time since.
    pub crashes: Vec<(CrashId, Duration)>,
    /// Time since it was completed.
    pub completed: Option<Duration>,
}

/// Whether an owner may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Run,
    /// Not here or not as a retry; another owner may.
    NotHere,
    /// No owner may.
    Refuse,
}

/// A request that was running when an upstream ended.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<CrashId, Instant>,
    completed: Option<Instant>,
}

impl Suspect {
    /// Returns the number of crashes since it was last completed.
    fn count(&self) -> usize {
        let counts = |at: &Instant| self.completed.is_none_or(|completed| *at > completed);
        self.crashes.values().filter(|at| counts(at)).count()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().max().copied()
    }

    /// Returns the time after the last crash in which it is refused.
    fn pause(&self) -> Duration {
        match self.count().checked_sub(MAX_CRASHES) {
            Some(further) => {
                let growth = PAUSE_GROWTH.saturating_pow(further as u32);
                MIN_PAUSE.saturating_mul(growth).min(MAX_PAUSE)
            }
            None => Duration::ZERO,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.last_crash().is_none_or(|at| age(at) > self.pause() + MEMORY)
    }

    /// Adds a crash; returns whether it was unknown.
    fn add(&mut self, crash: CrashId, at: Instant) -> bool {
        let is_new = self.crashes.insert(crash, at).is_none();
        while self.crashes.len() > MAX_KEPT_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            oldest.and_then(|id| self.crashes.remove(&id));
        }
        is_new
    }
}

/// The requests that were running when upstreams of a service ended.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl CrashSuspects {
    /// Records that an upstream has ended while it ran a request; returns the number of such crashes
    /// since the request was last completed.
    pub fn on_crash(&mut self, request: Fingerprint, crash: CrashId, now: Instant) -> usize {
        let suspect = self.suspects.entry(request).or_default();
        suspect.add(crash, now);
        let count = suspect.count();
        self.limit(now);
        count
    }

    /// Records that an upstream has completed a request; returns whether that is news for the other
    /// owners.
    pub fn on_completed(&mut self, request: Fingerprint, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let is_news = suspect.count() >= MAX_RETRIED_CRASHES;
        suspect.completed = Some(now);
        is_news
    }

    /// Returns whether an owner may run a request. Once the pause is over, only one of the owners
    /// may: `is_chosen` tells whether it is this one.
    pub fn verdict(
        &self,
        request: Fingerprint,
        is_retry: bool,
        is_chosen: impl FnOnce() -> bool,
        now: Instant,
    ) -> Verdict {
        let Some(suspect) = self.suspects.get(&request) else { return Verdict::Run };
        let crashes = suspect.count();
        if crashes < MAX_CRASHES {
            let may_run = !is_retry || crashes < MAX_RETRIED_CRASHES;
            return if may_run { Verdict::Run } else { Verdict::NotHere };
        }
        let paused_until = suspect.last_crash().map(|at| at + suspect.pause());
        match paused_until.is_some_and(|until| now < until) {
            true => Verdict::Refuse,
            false if is_chosen() => Verdict::Run,
            false => Verdict::NotHere,
        }
    }

    /// Returns what is known, for other owners.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let live = self.suspects.iter().filter(|(_, suspect)| !suspect.is_expired(now));
        live.map(|(request, suspect)| SuspectRecord {
            request: *request,
            crashes: suspect.crashes.iter().map(|(id, at)| (*id, age(*at))).collect(),
            completed: suspect.completed.map(age),
        })
        .collect()
    }

    /// Takes over what another owner knows; returns whether any of it was unknown.
    pub fn merge(&mut self, records: &[SuspectRecord], now: Instant) -> bool {
        let mut is_news = false;
        for record in records.iter().take(MAX_SUSPECTS) {
            let suspect = self.suspects.entry(record.request).or_default();
            for (crash, age) in record.crashes.iter().take(MAX_KEPT_CRASHES) {
                if !suspect.crashes.contains_key(crash)
                    && let Some(at) = now.checked_sub(*age)
                {
                    is_news |= suspect.add(*crash, at);
                }
            }
            let completed = record.completed.and_then(|age| now.checked_sub(age));
            suspect.completed = suspect.completed.max(completed);
        }
        self.limit(now);
        is_news
    }

    /// Returns whether a request is a suspect.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns whether no suspect is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets expired suspects, and those with the fewest crashes if there are too many.
    fn limit(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess > 0 {
            let mut order: Vec<_> = self.suspects.iter().collect();
            order.sort_by_key(|(_, suspect)| (suspect.count(), suspect.last_crash()));
            let forgotten: Vec<_> =
                order.iter().take(excess).map(|(request, _)| **request).collect();
            forgotten.iter().for_each(|request| drop(self.suspects.remove(request)));
        }
    }
}

/// Returns the owner that may run a suspect after its pause: the same at all nodes that know the same
/// owners, and another one for each request.
pub fn chosen_owner<'a>(
    request: Fingerprint,
    owners: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    owners.max_by_key(|owner| {
        let mut hash = Xxh3::new();
        (request, owner.as_str()).hash(&mut hash);
        hash.finish()
    })
}
