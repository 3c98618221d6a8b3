//! In-memory model of the platform's store: compare-and-swap, without leases.

use std::collections::BTreeMap;

use oleandertiller_fleet::{Head, StoreAnswer, StoreCall, intent::HEAD_KEY};
use oleandertiller_model::Revision;
use uuid::Uuid;

/// Keys with their versions, and the history of the intent for the checks.
#[derive(Clone, Default)]
pub struct MemoryStore {
    pub keys: BTreeMap<String, (u64, String)>,
    /// Operation that created each revision, beginning with revision 1.
    pub history: Vec<Uuid>,
    /// First fault found in what was written.
    pub fault: Option<String>,
}

impl MemoryStore {
    pub fn call(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => self.get(key),
            StoreCall::Watch { key, after, .. } => match self.get(key) {
                StoreAnswer::Found { version, value } if version > *after => {
                    StoreAnswer::Found { version, value }
                }
                _ => StoreAnswer::Unchanged,
            },
            StoreCall::Put { key, value, if_version, .. } => self.put(key, value, *if_version),
            other => panic!("the test store does not support {other:?}"),
        }
    }

    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(version, _)| *version)
    }

    fn get(&self, key: &str) -> StoreAnswer {
        match self.keys.get(key) {
            Some((version, value)) => {
                StoreAnswer::Found { version: *version, value: value.clone() }
            }
            None => StoreAnswer::Absent,
        }
    }

    fn put(&mut self, key: &str, value: &str, if_version: u64) -> StoreAnswer {
        if self.version(key) != if_version {
            return StoreAnswer::Conflict;
        }
        if key == HEAD_KEY {
            self.record(value);
        }
        let version = if_version + 1;
        self.keys.insert(key.into(), (version, value.into()));
        StoreAnswer::Written { version }
    }

    fn record(&mut self, value: &str) {
        let head = match Head::parse(value) {
            Ok(head) => head,
            Err(err) => return self.fail(format!("the written head cannot be parsed: {err:?}")),
        };
        let last = head.changes.last().expect("a written head has a change");
        if head.revision != Revision(self.history.len() as u64 + 1) {
            self.fail(format!("revision {} follows {}", head.revision, self.history.len()));
        }
        if self.history.contains(&last.operation) {
            self.fail(format!("operation {} takes effect twice", last.operation));
        }
        self.history.push(last.operation);
        let first = head.revision.0 as usize - head.changes.len();
        let made = self.history[first..].iter();
        let lost = head.changes.iter().zip(made).find(|(change, id)| change.operation != **id);
        if let Some((change, _)) = lost {
            self.fail(format!("the head lost accepted revision {}", change.revision));
        }
        if head.base.0 > 0 && self.version(&oleandertiller_fleet::intent::base_key(head.base)) == 0
        {
            self.fail(format!("the head refers to base {} that is not there", head.base));
        }
    }

    fn fail(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }
}
