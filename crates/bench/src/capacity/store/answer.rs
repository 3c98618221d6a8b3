//! Answers of the simulated store.

use std::time::Duration;

use oleandertiller_fleet::entries::LEASE_TTL;
use oleandertiller_fleet::intent::HEAD_KEY;
use oleandertiller_fleet::store::StoreItem;
use oleandertiller_fleet::{StoreAnswer, StoreCall};

use super::{ANSWER_TIME, Simulation};

impl Simulation {
    /// Returns the time that the store takes to answer a call. A watch takes its whole timeout,
    /// since the intent never changes.
    pub(super) fn answer_time(&self, call: &StoreCall) -> Duration {
        match call {
            StoreCall::Watch { timeout, .. } => *timeout,
            _ => ANSWER_TIME,
        }
    }

    /// Runs a call at the store and returns its answer.
    pub(super) fn answer(&mut self, call: &StoreCall) -> StoreAnswer {
        let now = self.now;
        match call {
            StoreCall::Get { key } if key == HEAD_KEY => StoreAnswer::Absent,
            StoreCall::Get { key } => self.held.get(key).map_or(StoreAnswer::Absent, |entry| {
                StoreAnswer::Found { version: self.head_version, value: entry.0.clone() }
            }),
            StoreCall::List { prefix } => StoreAnswer::Listed(self.list(prefix)),
            StoreCall::Watch { .. } => StoreAnswer::Unchanged,
            StoreCall::Put { key, value, lease, .. } => {
                if self.held.contains_key(key) {
                    return StoreAnswer::Conflict;
                }
                self.held.insert(key.clone(), (value.clone(), lease.unwrap_or(0)));
                StoreAnswer::Written { version: 1 }
            }
            StoreCall::GrantLease { .. } => {
                self.last_id += 1;
                self.leases.insert(self.last_id, now + LEASE_TTL);
                StoreAnswer::Granted { lease: self.last_id }
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some(end) if *end > now => {
                    *end = now + LEASE_TTL;
                    StoreAnswer::LeaseDone
                }
                _ => StoreAnswer::Absent,
            },
            StoreCall::DropLease { .. } => StoreAnswer::LeaseDone,
        }
    }

    fn list(&self, prefix: &str) -> Vec<StoreItem> {
        let items = self.held.iter().filter(|(key, _)| key.starts_with(prefix));
        let item = |(key, entry): (&String, &(String, u64))| StoreItem {
            key: key.clone(),
            version: 1,
            value: entry.0.clone(),
        };
        items.map(item).collect()
    }
}
