//! The queue of rumours, each of which is sent a bounded number of times.

use std::collections::{BTreeMap, HashMap};

use oleandertiller_model::{NodeName, ZoneName, codec};

use crate::datagram::Rumour;

/// Number of sends of a rumour, as a multiple of log2 of the number of members.
const SENDS_PER_LOG2_MEMBERS: u32 = 3;

/// Subject of a rumour; a newer rumour replaces an older one about the same subject.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A member.
    Node(NodeName),
    /// A zone.
    Zone(ZoneName),
}

impl Subject {
    fn of(rumour: &Rumour) -> Self {
        match rumour {
            Rumour::Record(record) => Self::Node(record.node.clone()),
            Rumour::State { node, .. } => Self::Node(node.clone()),
            Rumour::ZoneAnswers(zone) | Rumour::ZoneSilent(zone) => Self::Zone(zone.clone()),
        }
    }
}

#[derive(Clone, Debug)]
struct QueuedRumour {
    rumour: Rumour,
    bytes: usize,
}

/// Queue of rumours, least sent first.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    queue: BTreeMap<(u32, u64), QueuedRumour>,
    index: HashMap<Subject, (u32, u64)>,
    next_id: u64,
}

/// Returns how often a rumour is sent in a fleet of `members`.
pub fn send_limit(members: usize) -> u32 {
    SENDS_PER_LOG2_MEMBERS * (members + 1).next_power_of_two().ilog2().max(1)
}

impl Rumours {
    /// Returns the number of queued rumours.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no rumour is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a rumour in place of any other about the same subject.
    pub fn add(&mut self, rumour: Rumour) {
        let subject = Subject::of(&rumour);
        self.drop_subject(&subject);
        let key = (0, self.next_id);
        self.next_id += 1;
        let bytes = codec::encode(&rumour).len();
        self.index.insert(subject, key);
        self.queue.insert(key, QueuedRumour { rumour, bytes });
    }

    /// Drops the rumour about a subject.
    pub fn drop_subject(&mut self, subject: &Subject) {
        if let Some(key) = self.index.remove(subject) {
            self.queue.remove(&key);
        }
    }

    /// Returns the least sent rumours that fit in `max_bytes`, with their total size in bytes, and
    /// counts them as sent. A rumour leaves the queue at its [`send_limit`].
    pub fn take(&mut self, max_bytes: usize, members: usize) -> (Vec<Rumour>, usize) {
        let limit = send_limit(members);
        let mut remaining = max_bytes;
        let mut keys = Vec::new();
        for (key, queued) in &self.queue {
            if queued.bytes > remaining {
                break;
            }
            remaining -= queued.bytes;
            keys.push(*key);
        }
        (
            keys.into_iter().filter_map(|key| self.count_send(key, limit)).collect(),
            max_bytes - remaining,
        )
    }

    fn count_send(&mut self, key: (u32, u64), limit: u32) -> Option<Rumour> {
        let queued = self.queue.remove(&key)?;
        let rumour = queued.rumour.clone();
        let subject = Subject::of(&rumour);
        if key.0 + 1 >= limit {
            self.index.remove(&subject);
        } else {
            let key = (key.0 + 1, key.1);
            self.index.insert(subject, key);
            self.queue.insert(key, queued);
        }
        Some(rumour)
    }
}
