//! The control services' part in a planned stop.

use std::{
    sync::{PoisonError, atomic::Ordering},
    time::Duration,
};

use async_std::{future::timeout, task};
use oleandertiller_fleet::Record;
use oleandertiller_model::{Clock, Lifecycle};

use super::Control;
use crate::node::store::Store;

/// Longest wait for the zone entry to be released in a planned stop.
const ENTRY_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Wait after the announcement of a planned stop, in which peers learn of it. A rumour reaches most
/// of a fleet within a few network round trips.
const STOP_PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Wait in which the last datagrams of a leaving node are sent.
const LEAVE_SEND_TIME: Duration = Duration::from_millis(100);

impl<C: Clock, S: Store> Control<C, S> {
    /// Announces a planned stop to the fleet; returns when peers have had time to learn of it.
    pub async fn announce_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update(|agent, now| {
            let draining = |record: &mut Record| record.lifecycle = Lifecycle::Draining;
            agent.membership_mut().update_local(draining, now);
            agent.take_outputs(now)
        });
        task::sleep(STOP_PROPAGATION_TIME).await;
    }

    /// Releases the zone entry. Call it after [`Self::announce_stop`].
    pub async fn release_entry(&self) {
        let entry = self.entry_task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(entry) = entry {
            // The lease expires by itself when the store does not answer in time.
            let _ = timeout(ENTRY_RELEASE_TIMEOUT, entry).await;
        }
    }

    /// Leaves the fleet after the work in flight has ended.
    pub async fn leave(&self) {
        self.update(|agent, now| {
            agent.membership_mut().leave(now);
            agent.take_outputs(now)
        });
        task::sleep(LEAVE_SEND_TIME).await;
    }

    /// Cancels all tasks.
    pub async fn stop(&self) {
        let tasks = std::mem::take(&mut *self.lock_tasks());
        for task in tasks {
            task.cancel().await;
        }
    }
}
