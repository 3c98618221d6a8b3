//! A boolean flag that tasks can wait for.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A boolean flag that tasks can wait for; initially false.
#[derive(Default)]
pub struct Flag {
    value: AtomicBool,
    changed: Event,
}

impl Flag {
    /// Sets the flag and wakes waiting tasks if it changes.
    pub fn set(&self, value: bool) {
        if self.value.swap(value, Ordering::SeqCst) != value {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.value.load(Ordering::SeqCst)
    }

    /// Waits until the flag equals `wanted`.
    pub async fn wait_for(&self, wanted: bool) {
        loop {
            // Listening before the check avoids missing a change between the check and the wait.
            let changed = self.changed.listen();
            if self.is_set() == wanted {
                return;
            }
            changed.await;
        }
    }
}
