//! Keys, versions, leases and watches.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Calls received, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Reads of a key or a prefix.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
    /// Grants, renewals and revocations of leases.
    pub lease_calls: u64,
}

/// One key of a prefix read.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub version: u64,
    pub value: Value,
}

/// A key; its version outlives its value, so that a key created again gets a higher version.
#[derive(Default)]
struct Entry {
    version: u64,
    value: Option<Held>,
}

struct Held {
    json: Value,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// How a write ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Put {
    Written(u64),
    /// The present version, 0 for an absent key.
    Conflict(u64),
    NoLease,
}

#[derive(Default)]
pub struct Data {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    watchers: HashMap<String, Vec<Sender<()>>>,
}

impl Data {
    pub fn get(&mut self, key: &str, now: Instant) -> Option<(u64, &Value)> {
        self.expire(now);
        let entry = self.entries.get(key)?;
        entry.value.as_ref().map(|held| (entry.version, &held.json))
    }

    pub fn list(&mut self, prefix: &str, now: Instant) -> Vec<Item> {
        self.expire(now);
        let from = self.entries.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let held = matching.filter_map(|(key, entry)| {
            let value = entry.value.as_ref()?.json.clone();
            Some(Item { key: key.clone(), version: entry.version, value })
        });
        held.collect()
    }

    pub fn put(
        &mut self,
        key: &str,
        json: Value,
        if_version: u64,
        lease: Option<u64>,
        now: Instant,
    ) -> Put {
        self.expire(now);
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Put::NoLease;
        }
        let present = self.get(key, now).map_or(0, |(version, _)| version);
        if present != if_version {
            return Put::Conflict(present);
        }
        let entry = self.entries.entry(key.to_owned()).or_default();
        entry.version += 1;
        entry.value = Some(Held { json, lease });
        let version = entry.version;
        // Dropping the senders wakes the watches.
        self.watchers.remove(key);
        Put::Written(version)
    }

    /// Returns a receiver that is closed at the next write of the key.
    pub fn watch(&mut self, key: &str) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let watchers = self.watchers.entry(key.to_owned()).or_default();
        watchers.retain(|tx| !tx.is_closed());
        watchers.push(tx);
        rx
    }

    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.expire(now);
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: now + ttl });
        self.last_lease
    }

    pub fn renew(&mut self, id: u64, now: Instant) -> bool {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.expires = now + lease.ttl;
        true
    }

    pub fn revoke(&mut self, id: u64, now: Instant) -> bool {
        self.expire(now);
        let known = self.leases.remove(&id).is_some();
        self.drop_unleased();
        known
    }

    fn expire(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() < before {
            self.drop_unleased();
        }
    }

    fn drop_unleased(&mut self) {
        for entry in self.entries.values_mut() {
            let lease = entry.value.as_ref().and_then(|held| held.lease);
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                entry.value = None;
            }
        }
    }
}
