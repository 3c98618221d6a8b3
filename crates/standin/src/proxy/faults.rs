//! Faults and the state shared by the connections of a proxy.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Faults in force, the body of `POST /admin/faults`; a field left out is unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Closes connections, also new ones, and drops all datagrams.
    pub cut: bool,
    /// Resets connections, also new ones, and drops all datagrams.
    pub reset: bool,
    /// Accepts connections and forwards nothing. Bytes are held and forwarded when the fault
    /// ends, as TCP retransmits after a partition; datagrams are dropped.
    pub freeze: bool,
    /// As `freeze`, from the client to the target only.
    pub lose_up: bool,
    /// As `freeze`, from the target to the client only.
    pub lose_down: bool,
    /// Fixed delay of each direction.
    pub delay_ms: f64,
    /// Largest random delay added to the fixed one.
    pub jitter_ms: f64,
    /// Share of datagrams dropped.
    pub drop_share: f64,
}

impl ProxyFaults {
    /// Returns these faults with the given fields replaced.
    ///
    /// # Errors
    ///
    /// Names the first unknown field or value of the wrong type.
    pub fn merged(&self, fields: Map<String, Value>) -> Result<Self, serde_json::Error> {
        let mut all = serde_json::to_value(self)?;
        if let Value::Object(present) = &mut all {
            present.extend(fields);
        }
        serde_json::from_value(all)
    }

    /// Returns whether connections are ended.
    pub(super) fn severs(&self) -> bool {
        self.cut || self.reset
    }

    /// Returns whether nothing is forwarded in a direction.
    pub(super) fn holds(&self, direction: Direction) -> bool {
        let one_way = match direction {
            Direction::Up => self.lose_up,
            Direction::Down => self.lose_down,
        };
        self.freeze || one_way
    }
}

/// Direction of bytes, seen from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Up,
    Down,
}

pub struct Shared {
    faults: RwLock<Arc<ProxyFaults>>,
    rng: Mutex<StdRng>,
    /// Closed and replaced at every change of the faults.
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
        (*self.present()).clone()
    }

    pub fn present(&self) -> Arc<ProxyFaults> {
        self.faults.read().unwrap().clone()
    }

    pub fn set(&self, faults: ProxyFaults) {
        *self.faults.write().unwrap() = Arc::new(faults);
        let (old, _) =
            std::mem::replace(&mut *self.changes.lock().unwrap(), async_channel::bounded(1));
        old.close();
    }

    /// Waits until the faults fulfil a condition and returns them.
    pub async fn until(&self, f: impl Fn(&ProxyFaults) -> bool) -> Arc<ProxyFaults> {
        loop {
            // Taken before the faults are read, so that no change in between is missed.
            let change = self.changes.lock().unwrap().1.clone();
            let faults = self.present();
            if f(&faults) {
                return faults;
            }
            let _ = change.recv().await;
        }
    }

    /// Draws the delay of one chunk or datagram.
    pub fn delay(&self) -> Duration {
        let faults = self.present();
        let jitter = match faults.jitter_ms > 0.0 {
            true => self.rng.lock().unwrap().random_range(0.0..faults.jitter_ms),
            false => 0.0,
        };
        Duration::from_secs_f64((faults.delay_ms + jitter).max(0.0) / 1_000.0)
    }

    /// Decides whether a datagram is dropped.
    pub fn drops(&self, direction: Direction) -> bool {
        let faults = self.present();
        let share = faults.drop_share.clamp(0.0, 1.0);
        faults.severs()
            || faults.holds(direction)
            || (share > 0.0 && self.rng.lock().unwrap().random_bool(share))
    }
}
