//! Leaderships in the store: of the rollouts of a service, and of duties for all services.
//!
//! The leader holds a key under its lease. Its writes are conditional on the revision of that key,
//! so that writes of a replaced leader, or writes that the store applies late, have no effect.

use oleandertiller_mesh::leadership::{Leadership, ProcessId};
use oleandertiller_model::{Clock, NodeName, ServiceName};
use oleandertiller_platform::store::{Answer, Call, Item, Transaction};

use super::daemon::Shared;

/// Prefix of the keys of leaders; the service or the duty follows.
pub const LEADER_PREFIX: &str = "mesh/lead/";

/// First character of the name of a duty, with which no name of a service begins.
const DUTY_MARK: char = '+';

/// Returns whether a leadership is of a duty, not of the rollouts of a service.
pub fn is_duty(name: &ServiceName) -> bool {
    name.as_str().starts_with(DUTY_MARK)
}

/// Decodes a leader's key. Earlier releases write only the name of the node, which names none of the
/// processes of this release.
pub fn read_leadership(item: &Item) -> Leadership {
    let leader = serde_json::from_slice(&item.value).unwrap_or_else(|_| ProcessId {
        node: NodeName::new(String::from_utf8_lossy(&item.value).as_ref()),
        incarnation: 0,
        nonce: 0,
    });
    Leadership { revision: item.revision, leader }
}

impl<C: Clock> Shared<C> {
    /// Tries to take a leadership that nobody has, together with the changes of `also` and under its
    /// conditions; returns the items that exist if a condition did not hold. If the answer is lost,
    /// the watch or the next attempt tells whether the write took effect.
    pub async fn take_leadership(
        &self,
        name: &ServiceName,
        also: &Transaction,
    ) -> Option<Vec<Item>> {
        let lease = self.lease()?;
        let value = match serde_json::to_vec(&self.process) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "name of the leader could not be encoded as JSON");
                return None;
            }
        };
        let key = format!("{LEADER_PREFIX}{name}");
        let mut transaction = also.clone();
        transaction.conditions.push((key.clone(), 0));
        transaction.writes.push((key, value, lease));
        match self.store.call(&Call::Write(transaction)).await {
            Ok(Answer::Written { revision }) => {
                log::info!(service = name.as_str(), revision = revision; "this node leads");
                let leadership = Leadership { revision, leader: self.process.clone() };
                self.deployment().on_leadership(name, leadership);
                None
            }
            Ok(Answer::Conflict(items)) => {
                self.on_leadership_conflict(name, 0, &items);
                Some(items)
            }
            answer => {
                log::info!(service = name.as_str(), answer:? = answer;
                    "whether this node leads is not known yet");
                None
            }
        }
    }

    /// Gives up a leadership, whose key has `revision`.
    pub async fn give_up_leadership(&self, name: &ServiceName, revision: u64) {
        let key = format!("{LEADER_PREFIX}{name}");
        let transaction = Transaction {
            conditions: vec![(key.clone(), revision)],
            writes: Vec::new(),
            removals: vec![key],
        };
        let answer = self.store.call(&Call::Write(transaction)).await;
        log::info!(service = name.as_str(), answer:? = answer; "leadership given up");
        match answer {
            Ok(Answer::Written { revision }) => {
                self.deployment().on_leadership_removed(name, revision);
            }
            // The key has been written or removed since.
            Ok(Answer::Conflict(items)) => self.on_leadership_conflict(name, revision, &items),
            _ => {}
        }
    }

    /// Takes over what the store holds in place of the leadership at `revision`, on which a write
    /// was conditional.
    pub fn on_leadership_conflict(&self, name: &ServiceName, revision: u64, items: &[Item]) {
        let key = format!("{LEADER_PREFIX}{name}");
        let mut deployment = self.deployment();
        match items.iter().find(|item| item.key == key) {
            Some(item) => drop(deployment.on_leadership(name, read_leadership(item))),
            None => drop(deployment.on_leadership_removed(name, revision + 1)),
        }
    }
}
