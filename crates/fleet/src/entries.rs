//! The leased entries of a zone in the store: who holds them, and who watches the intent.

use std::time::{Duration, Instant};

use oleandertiller_model::{NodeName, ZoneName};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{
    record::Addresses,
    store::{Backoff, Step, StoreAnswer, StoreCall, StoreItem},
};

/// Entries of a zone.
pub const ENTRIES_PER_ZONE: u8 = 3;

/// Holders of entries below this number watch the intent.
pub const WATCHERS_PER_ZONE: u8 = 2;

/// Time to live of a lease.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval of renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Time per member of the zone over which looks at a free entry are spread: a zone of any size
/// makes about 10 a second until the new holder is known.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(100);

/// Shortest spread of looks.
const SPREAD_MIN: Duration = Duration::from_secs(1);

/// Mean interval of looks while gossip shows all entries held; covers holders that gossip does
/// not show. At 17,000 nodes this is 28 reads a second.
const LOOK_INTERVAL: Duration = Duration::from_secs(600);

/// Value of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryValue {
    /// Holder.
    pub node: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Addresses through which new nodes join.
    pub addresses: Addresses,
}

/// Returns the prefix of the entries of a zone.
pub fn entry_prefix(zone: &ZoneName) -> String {
    format!("zone/{zone}/entry/")
}

/// Reads the holders out of a prefix read; unreadable values are left out.
pub fn parse_holders(items: &[StoreItem]) -> Vec<EntryValue> {
    items.iter().filter_map(|item| serde_json::from_str(&item.value).ok()).collect()
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for the time to look.
    Idle,
    Listing,
    Granting(u8),
    Taking {
        index: u8,
        lease: u64,
    },
    /// Reads the entry after a lost answer or a conflict.
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

/// Takes, renews and loses an entry of the node's own zone.
#[derive(Clone, Debug)]
pub struct Entries {
    zone: ZoneName,
    value: EntryValue,
    stage: Stage,
    asked: Instant,
    /// End of the lease, counted from when its grant or renewal was asked for.
    valid_until: Instant,
    look_at: Instant,
    spread: Duration,
    all_held: bool,
    backoff: Backoff,
}

impl Entries {
    /// Creates the state of a node that holds nothing and looks at once.
    pub fn new(zone: ZoneName, value: EntryValue, now: Instant) -> Self {
        Self {
            zone,
            value,
            stage: Stage::Idle,
            asked: now,
            valid_until: now,
            look_at: now,
            spread: SPREAD_MIN,
            all_held: false,
            backoff: Backoff::new(RENEW_INTERVAL / 4, LEASE_TTL * 2),
        }
    }

    /// Returns the entry held at `now`. A holder that was paused longer than its lease holds
    /// nothing.
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

    /// Notes what gossip shows: how many entries of the zone have a holder that is alive, and how
    /// many members the zone has. An entry that has become free is looked at within a spread that
    /// grows with the zone.
    pub fn observe(&mut self, held: usize, members: usize, now: Instant, rng: &mut impl Rng) {
        self.spread = SPREAD_MIN.max(SPREAD_PER_MEMBER * members as u32);
        let all_held = held >= usize::from(ENTRIES_PER_ZONE);
        if self.all_held && !all_held {
            self.look_at = self.look_at.min(now + self.spread.mul_f64(rng.random::<f64>()));
        }
        self.all_held = all_held;
    }

    /// Starts, or goes on after a [`Step::Wait`]; may also be called earlier, after
    /// [`Self::observe`].
    pub fn wake(&mut self, now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.expire(now, rng);
        match self.stage {
            Stage::Idle if now < self.look_at => Step::Wait(self.look_at),
            Stage::Idle => {
                self.stage = Stage::Listing;
                self.call(StoreCall::List { prefix: entry_prefix(&self.zone) }, now)
            }
            Stage::Holding { index, lease } => {
                let renew_at = self.asked + RENEW_INTERVAL;
                if now < renew_at {
                    return Step::Wait(renew_at);
                }
                self.stage = Stage::Renewing { index, lease };
                self.call(StoreCall::RenewLease { lease }, now)
            }
            Stage::Checking { index, .. } => {
                self.call(StoreCall::Get { key: self.key(index) }, now)
            }
            // A call is under way.
            _ => Step::Wait(now + RENEW_INTERVAL),
        }
    }

    /// Takes the answer to the last call.
    pub fn answer(&mut self, answer: StoreAnswer, now: Instant, rng: &mut impl Rng) -> Step<()> {
        let stage = self.stage.clone();
        match (stage, answer) {
            (Stage::Listing, StoreAnswer::Listed(items)) => self.listed(&items, now, rng),
            (Stage::Granting(index), StoreAnswer::Granted { lease }) => self.take(index, lease),
            (Stage::Taking { index, lease }, StoreAnswer::Written { .. }) => {
                self.hold(index, lease, now, rng)
            }
            (Stage::Taking { index, lease }, StoreAnswer::Lost | StoreAnswer::Conflict) => {
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
                    return self.look_later(now, rng);
                }
                Step::Wait(now + self.backoff.next_wait(rng))
            }
            (Stage::Renewing { index, lease }, StoreAnswer::LeaseDone) => {
                self.valid_until = self.asked + LEASE_TTL;
                self.hold(index, lease, now, rng)
            }
            (Stage::Renewing { index, lease }, StoreAnswer::NotSent | StoreAnswer::Lost) => {
                self.renewal_failed(index, lease, now, rng)
            }
            _ => self.look_later(now, rng),
        }
    }

    /// Gives the entry up at a planned leave; returns the call that frees it at once.
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
        self.asked = now;
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
            self.look_later(now, rng);
        }
    }

    fn listed(&mut self, items: &[StoreItem], now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.backoff.reset();
        let is_free = |index: &u8| {
            let key = self.key(*index);
            items.iter().all(|item| item.key != key)
        };
        // A random choice keeps nodes that look at the same time from meeting at one entry.
        let free = (0..ENTRIES_PER_ZONE).filter(is_free).choose(rng);
        let Some(index) = free else { return self.look_later(now, rng) };
        self.stage = Stage::Granting(index);
        self.call(StoreCall::GrantLease { ttl: LEASE_TTL }, now)
    }

    fn take(&mut self, index: u8, lease: u64) -> Step<()> {
        self.valid_until = self.asked + LEASE_TTL;
        self.stage = Stage::Taking { index, lease };
        let value = serde_json::to_string(&self.value).expect("an entry can be written as JSON");
        let call =
            StoreCall::Put { key: self.key(index), value, if_version: 0, lease: Some(lease) };
        // Not `self.call`: the lease counts from its grant.
        Step::Call(call)
    }

    fn hold(&mut self, index: u8, lease: u64, now: Instant, rng: &mut impl Rng) -> Step<()> {
        if now >= self.valid_until {
            return self.look_later(now, rng);
        }
        self.backoff.reset();
        self.stage = Stage::Holding { index, lease };
        Step::Wait((self.asked + RENEW_INTERVAL).max(now))
    }

    fn renewal_failed(
        &mut self,
        index: u8,
        lease: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Step<()> {
        if now >= self.valid_until {
            return self.look_later(now, rng);
        }
        self.stage = Stage::Holding { index, lease };
        // The renewal is due again after a short wait.
        let wait = self.backoff.next_wait(rng).min(RENEW_INTERVAL);
        self.asked = (now + wait).checked_sub(RENEW_INTERVAL).unwrap_or(now);
        Step::Wait((now + wait).min(self.valid_until))
    }

    fn look_later(&mut self, now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.stage = Stage::Idle;
        let wait = if self.all_held { LOOK_INTERVAL * 2 } else { self.spread };
        // With free entries the wait is also backed off, so that a store that returns is not
        // asked by the whole zone at once.
        let backoff = self.backoff.next_wait(rng);
        self.look_at = now + wait.mul_f64(rng.random::<f64>()) + backoff;
        Step::Wait(self.look_at)
    }
}
