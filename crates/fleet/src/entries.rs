//! The leased entries of a zone in the store. New nodes join through their holders, and some of
//! the holders watch the intent.

use std::time::{Duration, Instant};

use oleandertiller_model::{NodeName, ZoneName};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{
    record::Addresses,
    store::{Backoff, Step, StoreAnswer, StoreCall, StoreItem},
};

/// Number of entries of a zone.
pub const ENTRIES_PER_ZONE: u8 = 3;

/// Number of entry holders of a zone that watch the intent: those with an entry index below it.
pub const WATCHERS_PER_ZONE: u8 = 2;

/// Time to live of a lease.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval between renewals of a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Time per member of the zone over which list calls are spread when an entry is free: a zone of
/// any size makes about 10 of them a second until the new holder is known.
const LIST_SPREAD_PER_MEMBER: Duration = Duration::from_millis(100);

/// Minimum time over which list calls are spread.
const MIN_LIST_SPREAD: Duration = Duration::from_secs(1);

/// Mean interval between list calls of a node while gossip shows a holder for every entry; they
/// cover changes that gossip does not show. At 17,000 nodes this is 28 reads a second.
const LIST_MEAN_INTERVAL: Duration = Duration::from_secs(600);

/// Interval at which an entry holder reads the entries of all zones, so that parts of the fleet
/// that started separately find each other. At 17 zones with 3 entries this is 0.9 reads a second.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(60);

/// Interval at which a node that knows no peer reads the entries of all zones, and first interval
/// of every node: nodes that start at the same time may form groups that do not know each other.
const FIRST_DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the time until a node reads the entries of all zones again. `reads` is the number of
/// such reads since its start; those of an entry holder become rarer from
/// [`FIRST_DISCOVERY_INTERVAL`] on.
pub fn discovery_interval(reads: u32, knows_peer: bool, holds_entry: bool) -> Duration {
    if !knows_peer || reads == 0 {
        return FIRST_DISCOVERY_INTERVAL;
    }
    if !holds_entry {
        // Nodes without an entry are found through those with one.
        return DISCOVERY_INTERVAL * 10;
    }
    FIRST_DISCOVERY_INTERVAL.saturating_mul(1 << reads.min(16)).min(DISCOVERY_INTERVAL)
}

/// The stored value of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryValue {
    /// Node that holds the entry.
    pub node: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Addresses through which new nodes join.
    pub addresses: Addresses,
}

/// Returns the prefix of the keys of a zone's entries.
pub fn entry_prefix(zone: &ZoneName) -> String {
    format!("zone/{zone}/entry/")
}

/// Parses the holders from a prefix read; values that cannot be parsed are skipped.
pub fn parse_holders(items: &[StoreItem]) -> Vec<EntryValue> {
    items.iter().filter_map(|item| serde_json::from_str(&item.value).ok()).collect()
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits until the next list call.
    Idle,
    Listing,
    /// Requests a lease for the entry with this index.
    Granting(u8),
    /// Writes the entry.
    Acquiring {
        index: u8,
        lease: u64,
    },
    /// Reads the entry back after a lost answer or a conflict.
    Checking {
        index: u8,
        lease: u64,
    },
    Holding {
        index: u8,
        lease: u64,
    },
    Renewing {
        index: u8,
        lease: u64,
    },
}

/// Acquires, renews and releases an entry of the node's own zone.
#[derive(Clone, Debug)]
pub struct Entries {
    zone: ZoneName,
    value: EntryValue,
    stage: Stage,
    /// When the last call was made; the lease is renewed [`RENEW_INTERVAL`] later.
    requested_at: Instant,
    /// End of the lease, counted from the request for its grant or renewal.
    valid_until: Instant,
    list_at: Instant,
    /// Maximum random wait before the next list call when an entry is free.
    list_spread: Duration,
    /// Whether gossip shows an alive holder for every entry.
    all_held: bool,
    backoff: Backoff,
}

impl Entries {
    /// Creates the state of a node that holds no entry and lists the entries at once.
    pub fn new(zone: ZoneName, value: EntryValue, now: Instant) -> Self {
        Self {
            zone,
            value,
            stage: Stage::Idle,
            requested_at: now,
            valid_until: now,
            list_at: now,
            list_spread: MIN_LIST_SPREAD,
            all_held: false,
            backoff: Backoff::new(RENEW_INTERVAL / 4, LEASE_TTL * 2),
        }
    }

    /// Returns the index of the entry held at `now`. A node that was paused until its lease ended
    /// holds none.
    pub fn held(&self, now: Instant) -> Option<u8> {
        match self.stage {
            Stage::Holding { index, .. } | Stage::Renewing { index, .. } => {
                (now < self.valid_until).then_some(index)
            }
            _ => None,
        }
    }

    /// Returns whether the node watches the intent in the store.
    pub fn is_watcher(&self, now: Instant) -> bool {
        self.held(now).is_some_and(|index| index < WATCHERS_PER_ZONE)
    }

    /// Records what gossip shows: how many entries of the zone have a holder that is alive, and how
    /// many members the zone has. When an entry has become free, the entries are listed after a
    /// random wait whose limit grows with the zone.
    pub fn observe(&mut self, held: usize, members: usize, now: Instant, rng: &mut impl Rng) {
        self.list_spread = MIN_LIST_SPREAD.max(LIST_SPREAD_PER_MEMBER * members as u32);
        let all_held = held >= usize::from(ENTRIES_PER_ZONE);
        if self.all_held && !all_held {
            self.list_at = self.list_at.min(now + self.list_spread.mul_f64(rng.random::<f64>()));
        }
        self.all_held = all_held;
    }

    /// Starts, or continues after a [`Step::Wait`]; may also be called earlier, after
    /// [`Self::observe`].
    pub fn wake(&mut self, now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.expire(now, rng);
        match self.stage {
            Stage::Idle if now < self.list_at => Step::Wait(self.list_at),
            Stage::Idle => {
                self.stage = Stage::Listing;
                self.call(StoreCall::List { prefix: entry_prefix(&self.zone) }, now)
            }
            Stage::Holding { index, lease } => {
                let renew_at = self.requested_at + RENEW_INTERVAL;
                if now < renew_at {
                    return Step::Wait(renew_at);
                }
                self.stage = Stage::Renewing { index, lease };
                self.call(StoreCall::RenewLease { lease }, now)
            }
            Stage::Checking { index, .. } => {
                self.call(StoreCall::Get { key: self.key(index) }, now)
            }
            // A call is in progress.
            _ => Step::Wait(now + RENEW_INTERVAL),
        }
    }

    /// Handles the answer to the last call.
    pub fn answer(&mut self, answer: StoreAnswer, now: Instant, rng: &mut impl Rng) -> Step<()> {
        let stage = self.stage.clone();
        match (stage, answer) {
            (Stage::Listing, StoreAnswer::Listed(items)) => self.request_lease(&items, now, rng),
            (Stage::Granting(index), StoreAnswer::Granted { lease }) => self.acquire(index, lease),
            (Stage::Acquiring { index, lease }, StoreAnswer::Written { .. }) => {
                self.hold(index, lease, now, rng)
            }
            (Stage::Acquiring { index, lease }, StoreAnswer::Lost | StoreAnswer::Conflict) => {
                self.stage = Stage::Checking { index, lease };
                self.wake(now, rng)
            }
            (Stage::Checking { index, lease }, StoreAnswer::Found { value, .. })
                if self.is_own(&value) =>
            {
                self.hold(index, lease, now, rng)
            }
            (Stage::Checking { .. }, StoreAnswer::NotSent | StoreAnswer::Lost) => {
                if now >= self.valid_until {
                    return self.schedule_list(now, rng);
                }
                Step::Wait(now + self.backoff.next_wait(rng))
            }
            (Stage::Renewing { index, lease }, StoreAnswer::LeaseDone) => {
                self.valid_until = self.requested_at + LEASE_TTL;
                self.hold(index, lease, now, rng)
            }
            (Stage::Renewing { index, lease }, StoreAnswer::NotSent | StoreAnswer::Lost) => {
                self.renewal_failed(index, lease, now, rng)
            }
            _ => self.schedule_list(now, rng),
        }
    }

    /// Releases the entry at a planned leave; returns the call that frees it at once.
    pub fn release(self, now: Instant) -> Option<StoreCall> {
        self.held(now)?;
        match self.stage {
            Stage::Holding { lease, .. } | Stage::Renewing { lease, .. } => {
                Some(StoreCall::DropLease { lease })
            }
            _ => None,
        }
    }

    fn call(&mut self, call: StoreCall, now: Instant) -> Step<()> {
        self.requested_at = now;
        Step::Call(call)
    }

    fn key(&self, index: u8) -> String {
        format!("{}{index}", entry_prefix(&self.zone))
    }

    fn is_own(&self, value: &str) -> bool {
        serde_json::from_str::<EntryValue>(value).is_ok_and(|value| value == self.value)
    }

    fn expire(&mut self, now: Instant, rng: &mut impl Rng) {
        let holding = matches!(self.stage, Stage::Holding { .. });
        if holding && now >= self.valid_until {
            self.schedule_list(now, rng);
        }
    }

    /// Requests a lease for a free entry, or schedules the next list call if none is free.
    fn request_lease(&mut self, items: &[StoreItem], now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.backoff.reset();
        let is_free = |index: &u8| {
            let key = self.key(*index);
            items.iter().all(|item| item.key != key)
        };
        // A random choice keeps nodes that list at the same time from competing for one entry.
        let free = (0..ENTRIES_PER_ZONE).filter(is_free).choose(rng);
        let Some(index) = free else { return self.schedule_list(now, rng) };
        self.stage = Stage::Granting(index);
        self.call(StoreCall::GrantLease { ttl: LEASE_TTL }, now)
    }

    fn acquire(&mut self, index: u8, lease: u64) -> Step<()> {
        self.valid_until = self.requested_at + LEASE_TTL;
        self.stage = Stage::Acquiring { index, lease };
        let value = serde_json::to_string(&self.value).expect("an entry serializes as JSON");
        let call =
            StoreCall::Put { key: self.key(index), value, if_version: 0, lease: Some(lease) };
        // Not `self.call`, because the lease counts from the request for its grant.
        Step::Call(call)
    }

    fn hold(&mut self, index: u8, lease: u64, now: Instant, rng: &mut impl Rng) -> Step<()> {
        if now >= self.valid_until {
            return self.schedule_list(now, rng);
        }
        self.backoff.reset();
        self.stage = Stage::Holding { index, lease };
        Step::Wait((self.requested_at + RENEW_INTERVAL).max(now))
    }

    fn renewal_failed(
        &mut self,
        index: u8,
        lease: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Step<()> {
        if now >= self.valid_until {
            return self.schedule_list(now, rng);
        }
        self.stage = Stage::Holding { index, lease };
        // The renewal is due again after a short wait.
        let wait = self.backoff.next_wait(rng).min(RENEW_INTERVAL);
        self.requested_at = (now + wait).checked_sub(RENEW_INTERVAL).unwrap_or(now);
        Step::Wait((now + wait).min(self.valid_until))
    }

    fn schedule_list(&mut self, now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.stage = Stage::Idle;
        let wait = if self.all_held { LIST_MEAN_INTERVAL * 2 } else { self.list_spread };
        // The backoff keeps the whole zone from calling the store at once when it returns after an
        // outage.
        let backoff = self.backoff.next_wait(rng);
        self.list_at = now + wait.mul_f64(rng.random::<f64>()) + backoff;
        Step::Wait(self.list_at)
    }
}
