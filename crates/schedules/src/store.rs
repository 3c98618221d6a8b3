//! The platform's store, with compare-and-swap, leases, watches and injected faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use oleandertiller_fleet::store::{StoreAnswer, StoreCall, StoreItem};

struct Value {
    version: u64,
    text: String,
    lease: Option<u64>,
}

/// Content and injected faults of the store.
#[derive(Default)]
pub(crate) struct Store {
    values: BTreeMap<String, Value>,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    pub down: bool,
    pub delay: Duration,
    /// Share of answers that are lost after the call has taken effect.
    pub lost_answer_share: f64,
    /// Whether writes ignore the expected version; set by `Mutant::CompareAndSwap`.
    pub blind_writes: bool,
}

impl Store {
    fn expire(&mut self, now: Instant) {
        let ended: BTreeSet<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.drop_lease(lease);
        }
    }

    fn drop_lease(&mut self, lease: u64) -> bool {
        self.values.retain(|_, value| value.lease != Some(lease));
        self.leases.remove(&lease).is_some()
    }

    fn found(value: &Value) -> StoreAnswer {
        StoreAnswer::Found { version: value.version, value: value.text.clone() }
    }

    /// Returns the version of a key, or 0 when it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.version)
    }

    /// Executes a call; a watch answers at once.
    pub fn call(&mut self, call: StoreCall, now: Instant) -> StoreAnswer {
        self.expire(now);
        match call {
            StoreCall::Get { key } => {
                self.values.get(&key).map_or(StoreAnswer::Absent, Self::found)
            }
            StoreCall::List { prefix } => StoreAnswer::Listed(
                self.values
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, value)| StoreItem {
                        key: key.clone(),
                        version: value.version,
                        value: value.text.clone(),
                    })
                    .collect(),
            ),
            StoreCall::Put { key, value, if_version, lease } => {
                self.put(key, value, if_version, lease)
            }
            StoreCall::Watch { key, after, .. } => match self.values.get(&key) {
                Some(value) if value.version > after => Self::found(value),
                _ => StoreAnswer::Unchanged,
            },
            StoreCall::GrantLease { ttl } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl, ttl));
                StoreAnswer::Granted { lease: self.next_lease }
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = now + *ttl;
                    StoreAnswer::LeaseDone
                }
                None => StoreAnswer::Absent,
            },
            StoreCall::DropLease { lease } => match self.drop_lease(lease) {
                true => StoreAnswer::LeaseDone,
                false => StoreAnswer::Absent,
            },
        }
    }

    fn put(
        &mut self,
        key: String,
        text: String,
        if_version: u64,
        lease: Option<u64>,
    ) -> StoreAnswer {
        let version = self.version(&key);
        if version != if_version && !self.blind_writes {
            return StoreAnswer::Conflict;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreAnswer::Absent;
        }
        let version = version + 1;
        self.values.insert(key, Value { version, text, lease });
        StoreAnswer::Written { version }
    }
}
