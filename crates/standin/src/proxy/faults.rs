//! Injected faults of a proxy, as shared by its connections.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Current faults. In the body of `POST /admin/faults`, fields that are left out stay unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Closes all connections, including new ones, and drops all datagrams.
    pub cut: bool,
    /// Resets all connections, including new ones, and drops all datagrams.
    pub reset: bool,
    /// Accepts connections and forwards nothing. Bytes are buffered and forwarded when the fault
    /// ends, since TCP retransmits them after a partition; datagrams are dropped.
    pub freeze: bool,
    /// Like `freeze`, but only from the client to the target.
    pub lose_up: bool,
    /// Like `freeze`, but only from the target to the client.
    pub lose_down: bool,
    /// Fixed delay of each direction, in milliseconds.
    pub delay_ms: f64,
    /// Upper bound of the random delay added to the fixed one, in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that are dropped, from 0 to 1.
    pub drop_share: f64,
}

impl ProxyFaults {
    /// Returns these faults with the given fields replaced.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first unknown field or the first value of the wrong type.
    pub fn merged(&self, fields: Map<String, Value>) -> Result<Self, serde_json::Error> {
        let mut merged = serde_json::to_value(self)?;
        if let Value::Object(current) = &mut merged {
            current.extend(fields);
        }
        serde_json::from_value(merged)
    }

    /// Returns whether connections are closed or reset.
    pub(super) fn closes_connections(&self) -> bool {
        self.cut || self.reset
    }

    /// Returns whether a direction forwards nothing.
    pub(super) fn blocks(&self, direction: Direction) -> bool {
        let one_way = match direction {
            Direction::Up => self.lose_up,
            Direction::Down => self.lose_down,
        };
        self.freeze || one_way
    }
}

/// Direction of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// State shared by the connections, the relay and the admin port.
pub struct Shared {
    faults: RwLock<Arc<ProxyFaults>>,
    rng: Mutex<StdRng>,
    /// Channel that is closed and replaced on every change of the faults.
    changes: Mutex<(Sender<()>, Receiver<()>)>,
}

impl Shared {
    pub fn new(faults: ProxyFaults, seed: u64) -> Self {
        Self {
            faults: RwLock::new(Arc::new(faults)),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            changes: Mutex::new(async_channel::bounded(1)),
        }
    }

    pub fn faults(&self) -> ProxyFaults {
        (*self.current_faults()).clone()
    }

    pub fn current_faults(&self) -> Arc<ProxyFaults> {
        self.faults.read().unwrap().clone()
    }

    pub fn set_faults(&self, faults: ProxyFaults) {
        *self.faults.write().unwrap() = Arc::new(faults);
        let (old, _) =
            std::mem::replace(&mut *self.changes.lock().unwrap(), async_channel::bounded(1));
        old.close();
    }

    /// Waits until the faults meet a condition, and returns them.
    pub async fn wait_until(&self, f: impl Fn(&ProxyFaults) -> bool) -> Arc<ProxyFaults> {
        loop {
            // Cloned before the faults are read, so that no change in between is missed.
            let change = self.changes.lock().unwrap().1.clone();
            let faults = self.current_faults();
            if f(&faults) {
                return faults;
            }
            let _ = change.recv().await;
        }
    }

    /// Draws the delay of a chunk or datagram.
    pub fn delay(&self) -> Duration {
        let faults = self.current_faults();
        let jitter = match faults.jitter_ms > 0.0 {
            true => self.rng.lock().unwrap().random_range(0.0..faults.jitter_ms),
            false => 0.0,
        };
        Duration::from_secs_f64((faults.delay_ms + jitter).max(0.0) / 1_000.0)
    }

    /// Returns whether a datagram is to be dropped.
    pub fn drops_datagram(&self, direction: Direction) -> bool {
        let faults = self.current_faults();
        let share = faults.drop_share.clamp(0.0, 1.0);
        faults.closes_connections()
            || faults.blocks(direction)
            || (share > 0.0 && self.rng.lock().unwrap().random_bool(share))
    }
}
