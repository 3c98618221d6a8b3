//! A condition that tasks can wait for.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A condition that tasks can wait for; it does not hold at first.
#[derive(Default)]
pub struct Flag {
    holds: AtomicBool,
    changed: Event,
}

impl Flag {
    /// Says whether the condition holds.
    pub fn set(&self, holds: bool) {
        if self.holds.swap(holds, Ordering::SeqCst) != holds {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns whether the condition holds.
    pub fn is_set(&self) -> bool {
        self.holds.load(Ordering::SeqCst)
    }

    /// Waits until the condition is as wanted.
    pub async fn wait_for(&self, wanted: bool) {
        loop {
            // Listens first, so that no change is missed between the look and the wait.
            let changed = self.changed.listen();
            if self.is_set() == wanted {
                return;
            }
            changed.await;
        }
    }
}
