//! Data of the store: keys, versions, leases and watches.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Counts of received calls, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Reads of a key or a prefix.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches; each counts once, however long it waits.
    pub watches: u64,
    /// Grants, renewals and revocations of leases.
    pub lease_calls: u64,
}

/// A key in the answer to a prefix read.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub version: u64,
    pub value: Value,
}

/// State of a key. The version is kept when the value is removed, so that a key that is created
/// again gets a higher version.
#[derive(Default)]
struct Entry {
    version: u64,
    value: Option<StoredValue>,
}

struct StoredValue {
    json: Value,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Result of a write.
#[derive(Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The new version.
    Written(u64),
    /// The current version; 0 if the key does not exist.
    Conflict(u64),
    /// The lease for the key does not exist or has expired.
    NoLease,
}

#[derive(Default)]
pub struct Data {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    /// Id of the lease that was granted last.
    last_lease: u64,
    /// Channels on which watches wait, by key; a write closes those of its key.
    watchers: HashMap<String, Vec<Sender<()>>>,
}

impl Data {
    pub fn get(&mut self, key: &str, now: Instant) -> Option<(u64, &Value)> {
        self.expire_leases(now);
        let entry = self.entries.get(key)?;
        entry.value.as_ref().map(|stored| (entry.version, &stored.json))
    }

    pub fn list(&mut self, prefix: &str, now: Instant) -> Vec<Item> {
        self.expire_leases(now);
        let from = self.entries.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let items = matching.filter_map(|(key, entry)| {
            let value = entry.value.as_ref()?.json.clone();
            Some(Item { key: key.clone(), version: entry.version, value })
        });
        items.collect()
    }

    pub fn put(
        &mut self,
        key: &str,
        json: Value,
        if_version: u64,
        lease: Option<u64>,
        now: Instant,
    ) -> PutResult {
        self.expire_leases(now);
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return PutResult::NoLease;
        }
        let current = self.get(key, now).map_or(0, |(version, _)| version);
        if current != if_version {
            return PutResult::Conflict(current);
        }
        let entry = self.entries.entry(key.to_owned()).or_default();
        entry.version += 1;
        entry.value = Some(StoredValue { json, lease });
        let version = entry.version;
        // Dropping the senders closes the channels and so wakes the watches.
        self.watchers.remove(key);
        PutResult::Written(version)
    }

    /// Returns a receiver whose channel is closed by the next write of the key.
    pub fn watch(&mut self, key: &str) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let watchers = self.watchers.entry(key.to_owned()).or_default();
        watchers.retain(|tx| !tx.is_closed());
        watchers.push(tx);
        rx
    }

    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.expire_leases(now);
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: now + ttl });
        self.last_lease
    }

    /// Returns whether the lease existed, and if so restarts its time to live.
    pub fn renew_lease(&mut self, id: u64, now: Instant) -> bool {
        self.expire_leases(now);
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.expires = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its values; returns whether it existed.
    pub fn revoke_lease(&mut self, id: u64, now: Instant) -> bool {
        self.expire_leases(now);
        let existed = self.leases.remove(&id).is_some();
        self.remove_unleased();
        existed
    }

    fn expire_leases(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() < before {
            self.remove_unleased();
        }
    }

    /// Removes the values whose lease no longer exists.
    fn remove_unleased(&mut self) {
        for entry in self.entries.values_mut() {
            let lease = entry.value.as_ref().and_then(|stored| stored.lease);
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                entry.value = None;
            }
        }
    }
}
