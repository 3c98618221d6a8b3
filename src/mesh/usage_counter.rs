//! Counts of the requests that the local owner has started, for the usage reports.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleandertiller_mesh::usage::{ClockOffset, Counts, OwnerId, StartCounts, Windows};
use serde::{Deserialize, Serialize};

use super::message::Offer;

/// Path of the `h2` requests with which the reporter gets the counts of an owner.
pub const USAGE_COUNTS_PATH: &str = "/mesh/usage";

/// Counts of an owner that others keep for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackupCounts {
    /// The owner.
    pub owner: OwnerId,
    /// Requests by window and tenant.
    pub counts: BTreeMap<u64, Counts>,
}

/// Request for the counts of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CountsRequest {
    /// First window of which counts are wanted.
    pub from: u64,
    /// Correction of the owner's clock, if the reporter knows it.
    pub correction: Option<ClockOffset>,
    /// The reporter's own counts, which the owner keeps for the reporter's successor.
    pub backup: Option<BackupCounts>,
}

/// Counts of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CountsReply {
    /// Incarnation of the owner's process.
    pub incarnation: u64,
    /// The owner's clock since 1970, without correction.
    pub clock: Duration,
    /// Requests by window and tenant.
    pub counts: BTreeMap<u64, Counts>,
    /// Counts that it keeps for earlier reporters.
    pub backups: Vec<BackupCounts>,
}

/// Returns a time of the wall clock since 1970.
pub fn unix_time(wall: SystemTime) -> Duration {
    wall.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Counts the requests of tenants that begin to run; without windows it counts nothing.
pub struct UsageCounter {
    counts: Option<Mutex<StartCounts>>,
    /// Counts of reporters, of windows that are not final.
    backups: Mutex<Vec<BackupCounts>>,
    /// Correction of the node's clock, in microseconds.
    correction: AtomicI64,
}

impl UsageCounter {
    /// Creates a counter.
    pub fn new(windows: Option<Windows>) -> Self {
        let counts = windows.map(|windows| Mutex::new(StartCounts::new(windows)));
        Self { counts, backups: Mutex::default(), correction: AtomicI64::new(0) }
    }

    /// Counts a request that is sent to the upstream now; returns its window for
    /// [`Self::take_back`].
    pub fn begin(&self, offer: &Offer, wall: SystemTime) -> Option<u64> {
        let time = self.correction().apply(unix_time(wall));
        let tenant = offer.tenant.as_ref()?;
        self.with_counts(|counts| counts.begin(tenant, time))
    }

    /// Takes back a request that the upstream has not run.
    pub fn take_back(&self, offer: &Offer, window: Option<u64>) {
        if let Some((tenant, window)) = offer.tenant.as_ref().zip(window) {
            self.with_counts(|counts| counts.take_back(tenant, window));
        }
    }

    /// Returns the correction of the node's clock.
    pub fn correction(&self) -> ClockOffset {
        ClockOffset(self.correction.load(Ordering::Relaxed))
    }

    /// Answers the reporter and takes over the correction that it tells.
    pub fn answer(
        &self,
        request: CountsRequest,
        incarnation: u64,
        wall: SystemTime,
    ) -> CountsReply {
        if let Some(ClockOffset(micros)) = request.correction {
            self.correction.store(micros, Ordering::Relaxed);
        }
        let counts = self.since(request.from);
        let mut backups = self.backups.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(backup) = request.backup {
            backups.retain(|known| known.owner != backup.owner);
            backups.push(backup);
        }
        for backup in &mut *backups {
            backup.counts = backup.counts.split_off(&request.from);
        }
        backups.retain(|backup| !backup.counts.is_empty());
        CountsReply { incarnation, clock: unix_time(wall), counts, backups: backups.clone() }
    }

    /// Returns the counts from a window on.
    pub fn since(&self, window: u64) -> BTreeMap<u64, Counts> {
        self.with_counts(|counts| counts.since(window)).unwrap_or_default()
    }

    fn with_counts<T>(&self, f: impl FnOnce(&mut StartCounts) -> T) -> Option<T> {
        let counts = self.counts.as_ref()?;
        Some(f(&mut counts.lock().unwrap_or_else(PoisonError::into_inner)))
    }
}
