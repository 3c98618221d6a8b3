//! The reporter's collection of the owners' counts.

use std::{collections::BTreeMap, time::Duration};

use oleandertiller_model::NodeName;

use super::{Counts, Windows};

/// Time after the end of a window from which an owner's counts of it are final: the clocks differ a
/// little, and a request that the upstream refuses is taken back within milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Fraction of the allowed lateness for which the collector waits for an owner that does not answer.
/// The rest is left for the store and for repeated calls.
const MISSING_OWNER_FRACTION: f64 = 0.4;

/// An owner and the incarnation of its process.
pub type OwnerId = (NodeName, u64);

/// Counts of all owners. They are kept by incarnation, so that the counts of an owner that ends are
/// not lost with it.
#[derive(Clone, Debug)]
pub struct Collector {
    windows: Windows,
    counts: BTreeMap<u64, BTreeMap<OwnerId, Counts>>,
    /// When the owner was last asked and has answered.
    answered: BTreeMap<OwnerId, Duration>,
}

impl Collector {
    /// Creates a collector that has heard of no owner.
    pub fn new(windows: Windows) -> Self {
        Self { windows, counts: BTreeMap::new(), answered: BTreeMap::new() }
    }

    /// Takes over the counts of an owner that was asked at a time; they replace earlier ones.
    pub fn on_counts(&mut self, owner: &OwnerId, asked: Duration, counts: BTreeMap<u64, Counts>) {
        self.answered.insert(owner.clone(), asked);
        for (window, counts) in counts {
            self.counts.entry(window).or_default().insert(owner.clone(), counts);
        }
    }

    /// Takes over counts of an owner that another node keeps for it; they fill in for an owner that
    /// has not answered itself. Of several copies the latest counts most.
    pub fn on_backup(&mut self, owner: &OwnerId, counts: BTreeMap<u64, Counts>) {
        if self.answered.contains_key(owner) {
            return;
        }
        let total = |counts: &Counts| counts.values().sum::<u64>();
        for (window, counts) in counts {
            let known = self.counts.entry(window).or_default().entry(owner.clone()).or_default();
            if total(known) < total(&counts) {
                *known = counts;
            }
        }
    }

    /// Returns the final counts of a window, or `None` while an owner of `present` may still have
    /// more and there is time to wait for it.
    pub fn final_counts(&self, window: u64, present: &[OwnerId], now: Duration) -> Option<Counts> {
        let end = self.windows.end(window);
        let settled = end + SETTLE_TIME;
        if now < settled {
            return None;
        }
        let lateness = self.windows.due(window).saturating_sub(end);
        let is_complete =
            present.iter().all(|owner| self.answered.get(owner).is_some_and(|at| *at >= settled));
        if !is_complete && now < end + lateness.mul_f64(MISSING_OWNER_FRACTION) {
            return None;
        }
        let mut sum = Counts::new();
        for counts in self.counts.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (tenant, count) in counts.iter().filter(|(_, count)| **count > 0) {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        Some(sum)
    }

    /// Forgets the windows before `window`, and the owners that were last asked before they ended.
    pub fn forget_before(&mut self, window: u64) {
        self.counts = self.counts.split_off(&window);
        let kept_from = self.windows.end(window.saturating_sub(1));
        self.answered.retain(|_, asked| *asked >= kept_from);
    }
}
