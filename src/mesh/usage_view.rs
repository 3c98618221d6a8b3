//! A node's view of the usage reports in the store, and of its own part in them.

use std::collections::BTreeSet;

use oleandertiller_mesh::{
    leadership::ProcessId,
    usage::{Counts, UsageState},
};
use oleandertiller_model::{Clock, ServiceName};
use oleandertiller_platform::store::Item;

use super::daemon::Shared;

/// Key of the reports. It has no lease: reports outlive their reporter.
pub const USAGE_KEY: &str = "mesh/usage";

/// Name of the duty of reporting among the leaderships.
const USAGE_DUTY: &str = "+usage";

/// Returns the name of the duty of reporting among the leaderships.
pub fn usage_duty() -> ServiceName {
    ServiceName::new(USAGE_DUTY)
}

/// Decodes the reports.
pub fn read_usage_state(item: &Item) -> Option<UsageState> {
    match serde_json::from_slice(&item.value) {
        Ok(state) => Some(state),
        Err(error) => {
            log::error!(revision = item.revision, error:% = error; "malformed usage reports");
            None
        }
    }
}

/// Usage reports as the store holds them.
#[derive(Debug, Default)]
pub struct UsageView {
    /// What the store holds, with its revision.
    stored: Option<(u64, UsageState)>,
    /// The latest state that was ever seen; after a restore of the store it may hold less.
    latest: Option<UsageState>,
    /// Windows whose reports the platform has acknowledged to this process.
    pub acknowledged: BTreeSet<u64>,
    /// Token of this process that the platform has rejected.
    pub rejected: Option<u64>,
    /// Lease under which this process has last tried to take the duty.
    pub lease: Option<u64>,
}

impl UsageView {
    /// Takes over what the store holds. Answers to writes and watched changes may arrive in any
    /// order.
    pub fn on_state(&mut self, revision: u64, state: UsageState) {
        if self.stored.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        let order = |state: &UsageState| (state.next, state.token);
        if self.latest.as_ref().is_none_or(|latest| order(latest) <= order(&state)) {
            self.latest = Some(state.clone());
        }
        self.acknowledged = self.acknowledged.split_off(&state.next.saturating_sub(1_000));
        self.stored = Some((revision, state));
    }

    /// Records that the store does not hold reports at a revision.
    pub fn on_removed(&mut self, revision: u64) {
        self.stored.take_if(|(known, _)| *known < revision);
    }

    /// Returns what the store holds, with its revision.
    pub fn stored(&self) -> Option<&(u64, UsageState)> {
        self.stored.as_ref()
    }

    /// Returns the revision of the key, 0 if it does not exist.
    pub fn revision(&self) -> u64 {
        self.stored.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// Returns all states from which a new holder goes on.
    pub fn known(&self) -> impl Iterator<Item = &UsageState> {
        self.stored.as_ref().map(|(_, state)| state).into_iter().chain(&self.latest)
    }

    /// Returns the latest state that was ever seen.
    pub fn latest(&self) -> Option<&UsageState> {
        self.latest.as_ref()
    }

    fn is_held_by(&self, process: &ProcessId, era: u64, lease: Option<u64>) -> bool {
        let held = self.stored.as_ref().is_some_and(|(_, state)| state.is_held_by(process, era));
        held && lease.is_some() && self.lease == lease
    }
}

/// A report that is to be sent.
#[derive(Clone, Debug)]
pub struct PendingReport {
    /// Token of the holder.
    pub token: u64,
    /// Window that it is about.
    pub window: u64,
    /// Requests by tenant.
    pub counts: Counts,
}

impl<C: Clock> Shared<C> {
    /// Returns whether this process certainly holds the duty of reporting now: it leads, the store
    /// names it as the holder, and the lease under which it took the duty has not ended by the
    /// monotonic clock, also if the process was paused.
    pub fn holds_usage_duty(&self) -> bool {
        let (lease, era) = (self.valid_lease(), self.store.era());
        let leads = self.leadership_revision(&usage_duty()).is_some();
        let held = self.deployment().usage.is_held_by(&self.process, era, lease);
        leads && held && !self.is_stopping()
    }

    /// Returns the next report to send, if this process holds the duty.
    pub fn pending_report(&self) -> Option<PendingReport> {
        if !self.holds_usage_duty() {
            return None;
        }
        let deployment = self.deployment();
        let usage = &deployment.usage;
        let (_, state) = usage.stored()?;
        if usage.rejected.is_some_and(|rejected| rejected >= state.token) {
            return None;
        }
        let (window, counts) = state.pending(&usage.acknowledged)?;
        Some(PendingReport { token: state.token, window, counts: counts.clone() })
    }
}
