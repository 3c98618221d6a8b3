//! Fair shares of an owner's capacity between the nodes that send it requests.
//!
//! Among waiting requests of the same priority, the one whose sender has had the fewest recent
//! starts comes first, and a sender may fill only a part of the queue. This handles the burst of one
//! zone and clients that retry immediately: the requests that one node sends in excess wait behind
//! those of the others.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use oleandertiller_model::NodeName;

/// Time after which a start counts for about a third.
const DECAY: Duration = Duration::from_secs(1);

/// Weight below which a sender's starts are forgotten.
const MIN_WEIGHT: f64 = 0.05;

/// A sending node, by the hash of its name. Two nodes with the same hash share one share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SenderId(u64);

impl SenderId {
    /// Returns the sender with a name.
    pub fn new(node: &NodeName) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Recent starts of each sender's requests.
#[derive(Clone, Debug, Default)]
pub struct SenderShare {
    starts: HashMap<SenderId, (f64, Instant)>,
}

impl SenderShare {
    /// Records the start of a sender's request.
    pub fn on_start(&mut self, sender: SenderId, now: Instant) {
        let count = self.recent_starts(sender, now) + 1.0;
        self.starts.retain(|_, (count, at)| *count * weight(*at, now) >= MIN_WEIGHT);
        self.starts.insert(sender, (count, now));
    }

    /// Returns the number of recent starts, where older ones count less.
    pub fn recent_starts(&self, sender: SenderId, now: Instant) -> f64 {
        self.starts.get(&sender).map_or(0.0, |(count, at)| count * weight(*at, now))
    }
}

/// Returns whether a sender with `own` of `total` waiting requests may add one at an upstream with
/// `slots`: while others wait, no sender may have more than half of a queue that is longer than the
/// slots.
pub fn may_enqueue(own: usize, total: usize, slots: u32) -> bool {
    own == total || own < (slots as usize).max(1) || own * 2 < total
}

fn weight(at: Instant, now: Instant) -> f64 {
    (-now.saturating_duration_since(at).as_secs_f64() / DECAY.as_secs_f64()).exp()
}
