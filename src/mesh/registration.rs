//! Keeps the node's record in the store, under a lease, and the departure of its upstream, which
//! outlives the process.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use oleandertiller_mesh::{
    change_feed::CONFIRM_INTERVAL,
    lease::{granted_ttl, lease_ttl, renewal_interval},
    members::NodeRecord,
};
use oleandertiller_model::Clock;
use oleandertiller_platform::store::{Answer, Call, Transaction};
use serde::Serialize;

use super::daemon::Shared;

/// Prefix of the keys of node records; the node's name follows.
pub const RECORD_PREFIX: &str = "mesh/nodes/";

/// Prefix of the keys of departed upstreams; the name of their node follows. Unlike the record, the
/// key outlives the node's process: an upstream may serve on while its node restarts, and an
/// announcement that it sent before may arrive after that.
pub const DEPARTURE_PREFIX: &str = "mesh/departures/";

/// Life of the key of a departed upstream: the longest lease that the platform grants, many times
/// as long as an upstream serves on or an announcement is delayed.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Pause after a failed call; records must be back two seconds after the store's recovery.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a failed call while the store is unreachable; cut short when the store recovers.
const OUTAGE_PAUSE: Duration = Duration::from_millis(1_500);

/// Maximum time for which the first write waits until the store has been read. The write replaces
/// the record of an earlier process, which describes the upstream.
const MAX_READ_WAIT: Duration = Duration::from_millis(400);

/// Keeps the node's record and its lease.
pub struct Registration<C: Clock> {
    shared: Arc<Shared<C>>,
    lease: Option<u64>,
    /// Life of the lease, or of the next one.
    lease_ttl: Duration,
    written_record: Option<NodeRecord>,
    /// Lease for the next departure that is written.
    departure_lease: Option<u64>,
    /// Era of the store in which the lease was granted; 0 before the first one.
    era: u64,
    failing: bool,
}

impl<C: Clock> Registration<C> {
    /// Creates a registration that has written nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        let lease_ttl = shared.settings.store.lease;
        Self {
            shared,
            lease: None,
            lease_ttl,
            written_record: None,
            departure_lease: None,
            era: 0,
            failing: false,
        }
    }

    /// Keeps the record until the channel is closed, then removes it. A message on the channel
    /// means that the record may have changed.
    pub async fn run(mut self, record_changed: Receiver<()>) {
        let read_deadline = self.shared.clock.now() + MAX_READ_WAIT;
        // If the store cannot be read in time, the first write goes ahead regardless.
        let _ =
            self.shared.timers.within(read_deadline, self.shared.store_read.wait_for(true)).await;
        let mut renew_at = self.shared.clock.now();
        let mut renewed_at = renew_at;
        loop {
            let now = self.shared.clock.now();
            renew_at = renew_at.min(renewed_at + self.renewal_interval(now));
            let kept = match now >= renew_at || self.forget_if_restored() {
                true => {
                    let kept = self.renew().await && self.write().await;
                    renewed_at = now;
                    renew_at = now + self.renewal_interval(now);
                    kept
                }
                false => self.write().await,
            };
            self.log_transition(kept);
            if !kept {
                renew_at = self.pause().await;
            }
            match self.shared.timers.within(renew_at, record_changed.recv()).await {
                Some(Err(_)) => return self.revoke_lease().await,
                Some(Ok(())) if !kept => self.shared.timers.at(renew_at).await,
                _ => {}
            }
        }
    }

    /// Returns the time until the next renewal; with it, a node that feeds others also confirms that
    /// the store is in reach.
    fn renewal_interval(&self, now: Instant) -> Duration {
        let interval = renewal_interval(self.lease_ttl);
        match self.shared.change_feed.is_in_use(now) {
            true => interval.min(CONFIRM_INTERVAL),
            false => interval,
        }
    }

    /// Pauses after a failed call; returns when the next one is due.
    async fn pause(&self) -> Instant {
        let now = self.shared.clock.now();
        if !self.shared.store_unreachable.is_set() {
            return now + FAILURE_PAUSE;
        }
        // Tries again whether the store recovered or the pause ended.
        let recovered = self.shared.store_unreachable.wait_for(false);
        let _ = self.shared.timers.within(now + OUTAGE_PAUSE, recovered).await;
        self.shared.clock.now()
    }

    fn log_transition(&mut self, kept: bool) {
        if kept == self.failing {
            self.failing = !kept;
            let event = if kept {
                "record kept in the store"
            } else {
                "record could not be kept in the store"
            };
            log::warn!(dependency = "store", kept = kept; "{event}");
        }
    }

    /// Forgets the lease and the record if the store was restored since they were written; returns
    /// whether it was. Both may be lost, and the store may give the id of the lease to another node.
    fn forget_if_restored(&mut self) -> bool {
        let era = self.shared.store.era();
        if self.lease.is_none() || era == self.era {
            return false;
        }
        log::warn!(lease = self.lease, era = era, previous = self.era;
            "lease given up because the store was restored");
        self.lease = None;
        self.written_record = None;
        self.departure_lease = None;
        self.shared.forget_written();
        true
    }

    /// Renews the lease or obtains a new one; returns whether there is one.
    async fn renew(&mut self) -> bool {
        if let Some(lease) = self.lease {
            let sent = self.shared.clock.now();
            match self.shared.store.call(&Call::Renew { lease }).await {
                Ok(Answer::Leased { .. }) if !self.forget_if_restored() => {
                    self.shared.set_lease_until(sent + self.lease_ttl);
                    let change_feed = &self.shared.change_feed;
                    change_feed.update_freshness(|freshness| freshness.on_confirmed(sent));
                    return true;
                }
                Ok(Answer::Leased { .. }) => {}
                Ok(Answer::NoLease) => {
                    log::info!(lease = lease; "lease has expired");
                    self.set_lease(None);
                    self.written_record = None;
                }
                Ok(_) => return false,
                Err(_) => {
                    self.shared.report_store_failure();
                    return false;
                }
            }
        }
        let settings = &self.shared.settings.store;
        let known_nodes = self.shared.deployment().members.iter().count();
        let ttl = lease_ttl(settings.lease, known_nodes, settings.writes_per_second)
            .max(settings.shortest_lease);
        let sent = self.shared.clock.now();
        match self.shared.store.call_in_era(&Call::Grant { ttl }).await {
            Ok((Answer::Leased { lease: Some(lease), ttl: granted }, era)) => {
                self.era = era;
                self.lease_ttl = granted_ttl(granted, ttl, settings.shortest_lease);
                self.set_lease(Some(lease));
                self.shared.set_lease_until(sent + self.lease_ttl);
            }
            _ => return false,
        }
        true
    }

    /// Writes the record if it has changed, and the departure of the upstream; returns whether the
    /// store has them.
    async fn write(&mut self) -> bool {
        let Some(lease) = self.lease else { return false };
        if self.shared.take_rewrite() {
            self.written_record = None;
        }
        let record = self.shared.record();
        let departure = self.shared.unstored_departure();
        let record_written = self.written_record.as_ref() == Some(&record);
        if record_written && departure.is_none() {
            return true;
        }
        let mut writes = Vec::new();
        if !record_written {
            let Some(value) = encode(&record) else { return false };
            writes.push((format!("{RECORD_PREFIX}{}", record.node), value, lease));
        }
        let mut written_departure = None;
        if let Some(departure) = &departure
            && let Some(lease) = self.grant_departure_lease().await
        {
            let Some(value) = encode(departure) else { return false };
            writes.push((format!("{DEPARTURE_PREFIX}{}", record.node), value, lease));
            written_departure = Some(departure.clone());
        }
        if writes.is_empty() {
            return false;
        }
        let transaction = Transaction { writes, ..Transaction::default() };
        match self.shared.store.call(&Call::Write(transaction)).await {
            // The write took effect under a lease that may belong to another node by now.
            Ok(Answer::Written { .. }) if self.forget_if_restored() => false,
            Ok(Answer::Written { revision }) => {
                self.shared.set_stored_record(revision, &record);
                self.written_record = Some(record);
                if written_departure.is_some() {
                    self.departure_lease = None;
                    self.shared.set_stored_departure(written_departure.clone());
                }
                written_departure == departure
            }
            Ok(Answer::NoLease) => {
                self.set_lease(None);
                self.departure_lease = None;
                false
            }
            _ => false,
        }
    }

    /// Returns a lease for a departure, or `None` if the store grants none.
    async fn grant_departure_lease(&mut self) -> Option<u64> {
        if self.departure_lease.is_none() {
            let answer = self.shared.store.call(&Call::Grant { ttl: DEPARTURE_TTL }).await;
            if let Ok(Answer::Leased { lease, .. }) = answer {
                self.departure_lease = lease;
            }
        }
        self.departure_lease
    }

    fn set_lease(&mut self, lease: Option<u64>) {
        self.lease = lease;
        self.shared.set_lease(lease);
    }

    async fn revoke_lease(mut self) {
        self.forget_if_restored();
        if self.shared.unstored_departure().is_some() {
            // The next process of this node has to know it; a failure leaves nothing to be done.
            self.write().await;
        }
        if let Some(lease) = self.lease {
            // If this fails, the lease expires by itself.
            let _ = self.shared.store.call(&Call::End { lease }).await;
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(error:% = error; "value for the store could not be encoded as JSON");
            None
        }
    }
}
