//! The node's own record in the store, under a lease.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use oleandertiller_mesh::members::NodeRecord;
use oleandertiller_model::Clock;
use oleandertiller_platform::store::{Answer, Call, Transaction};

use super::daemon::Shared;

/// Start of the keys of records; the node's name follows.
pub const RECORD_PREFIX: &str = "mesh/nodes/";

/// Renewals in the life of a lease.
const RENEWALS: u32 = 4;

/// Pause after a call that failed: entries are to be back within two seconds of the store's return.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// The same while changes of the store do not arrive either; it ends early when they do.
const OUTAGE_PAUSE: Duration = Duration::from_millis(1_500);

/// Longest time for which the first record waits until the store has been read: the record of an
/// earlier process tells of its upstream.
const READ_TIME: Duration = Duration::from_millis(400);

/// Keeps the record.
pub struct Registration<C: Clock> {
    shared: Arc<Shared<C>>,
    lease: Option<u64>,
    written: Option<NodeRecord>,
    failing: bool,
}

impl<C: Clock> Registration<C> {
    /// Creates a register that has written nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self { shared, lease: None, written: None, failing: false }
    }

    /// Keeps the record until the channel is closed, then removes it. A message on the channel says
    /// that something may have changed.
    pub async fn run(mut self, record_changed: Receiver<()>) {
        let life = self.shared.settings.store.lease.max(self.shared.settings.store.shortest_lease);
        let read_end = self.shared.clock.now() + READ_TIME;
        // Without the store's answer there is nothing to lose by the first record.
        let _ = self.shared.timers.within(read_end, self.shared.store_read.wait_for(true)).await;
        let mut renew_at = self.shared.clock.now();
        loop {
            let now = self.shared.clock.now();
            let kept = match now >= renew_at {
                true => {
                    renew_at = now + life / RENEWALS;
                    self.renew(life).await && self.write().await
                }
                false => self.write().await,
            };
            self.note(kept);
            if !kept {
                renew_at = self.pause().await;
            }
            match self.shared.timers.within(renew_at, record_changed.recv()).await {
                Some(Err(_)) => return self.end().await,
                Some(Ok(())) if !kept => self.shared.timers.at(renew_at).await,
                _ => {}
            }
        }
    }

    /// Waits after a call that failed; returns when the next is due.
    async fn pause(&self) -> Instant {
        let now = self.shared.clock.now();
        if !self.shared.store_unreachable.is_set() {
            return now + FAILURE_PAUSE;
        }
        // Either end of the wait is a reason to try again.
        let returned = self.shared.store_unreachable.wait_for(false);
        let _ = self.shared.timers.within(now + OUTAGE_PAUSE, returned).await;
        self.shared.clock.now()
    }

    fn note(&mut self, kept: bool) {
        if kept == self.failing {
            self.failing = !kept;
            let event =
                if kept { "store keeps the record" } else { "store does not keep the record" };
            log::warn!(dependency = "store", kept = kept; "{event}");
        }
    }

    /// Renews the lease or gets one; returns whether there is one.
    async fn renew(&mut self, life: Duration) -> bool {
        if let Some(lease) = self.lease {
            match self.shared.store.call(&Call::Renew { lease }).await {
                Ok(Answer::Leased { .. }) => return true,
                Ok(Answer::NoLease) => {
                    log::info!(lease = lease; "lease has ended");
                    self.set_lease(None);
                    self.written = None;
                }
                Ok(_) => return false,
                Err(_) => {
                    self.shared.report_store_failure();
                    return false;
                }
            }
        }
        match self.shared.store.call(&Call::Grant { ttl: life }).await {
            Ok(Answer::Leased { lease: Some(lease), .. }) => self.set_lease(Some(lease)),
            _ => return false,
        }
        true
    }

    /// Writes the record if it has changed; returns whether the store holds it.
    async fn write(&mut self) -> bool {
        let Some(lease) = self.lease else { return false };
        if self.shared.take_rewrite() {
            self.written = None;
        }
        let record = self.shared.record();
        if self.written.as_ref() == Some(&record) {
            return true;
        }
        let key = format!("{RECORD_PREFIX}{}", record.node);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "record cannot be written as JSON");
                return false;
            }
        };
        let transaction =
            Transaction { writes: vec![(key, value, lease)], ..Transaction::default() };
        match self.shared.store.call(&Call::Write(transaction)).await {
            Ok(Answer::Written { .. }) => {
                self.shared.set_stored_record(&record);
                self.written = Some(record);
                true
            }
            Ok(Answer::NoLease) => {
                self.set_lease(None);
                false
            }
            _ => false,
        }
    }

    fn set_lease(&mut self, lease: Option<u64>) {
        self.lease = lease;
        self.shared.set_lease(lease);
    }

    async fn end(self) {
        if let Some(lease) = self.lease {
            // The lease would end by itself; the process ends in any case.
            let _ = self.shared.store.call(&Call::End { lease }).await;
        }
    }
}
