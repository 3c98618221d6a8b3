//! By how much the clocks of the nodes differ from true time.
//!
//! No node knows true time. The median of the clocks of all nodes is taken for it: it is right while
//! more than half of the clocks are. With fewer than three clocks there is no majority, and the
//! node's own clock is taken.

use std::{collections::BTreeMap, time::Duration};

use oleandertiller_model::NodeName;
use serde::{Deserialize, Serialize};

/// Maximum time of an exchange that tells the clock of a peer; the error is up to half of it.
const MAX_EXCHANGE_TIME: Duration = Duration::from_millis(200);

/// Minimum number of clocks, including the node's own, of which the median is taken.
const MIN_CLOCKS: usize = 3;

/// A signed difference between two clocks, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

impl ClockOffset {
    /// Returns `one` minus `other`.
    pub fn between(one: Duration, other: Duration) -> Self {
        let micros = |time: Duration| i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
        Self(micros(one).saturating_sub(micros(other)))
    }

    /// Returns the time of a clock after correction.
    pub fn apply(self, time: Duration) -> Duration {
        let size = Duration::from_micros(self.0.unsigned_abs());
        if self.0 < 0 { time.saturating_sub(size) } else { time.saturating_add(size) }
    }
}

/// The clocks of other nodes, relative to the node's own.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    peers: BTreeMap<NodeName, ClockOffset>,
}

impl ClockOffsets {
    /// Records the clock of a peer, told in an exchange that began and ended at times of the own
    /// clock. A slow exchange tells too little.
    pub fn on_exchange(
        &mut self,
        peer: &NodeName,
        began: Duration,
        ended: Duration,
        told: Duration,
    ) {
        let Some(time) = ended.checked_sub(began) else { return };
        if time <= MAX_EXCHANGE_TIME {
            self.peers.insert(peer.clone(), ClockOffset::between(told, began + time / 2));
        }
    }

    /// Forgets the nodes that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&NodeName) -> bool) {
        self.peers.retain(|peer, _| is_known(peer));
    }

    /// Returns the correction of the own clock.
    pub fn own_correction(&self) -> ClockOffset {
        let mut offsets: Vec<ClockOffset> = self.peers.values().copied().collect();
        offsets.push(ClockOffset(0));
        if offsets.len() < MIN_CLOCKS {
            return ClockOffset(0);
        }
        offsets.sort();
        offsets[offsets.len() / 2]
    }

    /// Returns the correction of a peer's clock, or `None` if its clock is not known.
    pub fn correction(&self, peer: &NodeName) -> Option<ClockOffset> {
        let own = self.own_correction();
        self.peers.get(peer).map(|offset| ClockOffset(own.0.saturating_sub(offset.0)))
    }
}
