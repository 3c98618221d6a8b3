//! What an owner learns of the capacity of its upstream and tells other nodes with its state.
//!
//! An upstream that fails its runs at once frees its slots at once and so looks fast and idle. The
//! share of failed runs is therefore part of the state and has a cost wherever owners are ordered.
//! This handles a service in which some upstreams fail a part of their requests immediately while
//! their health checks stay good.

use serde::{Deserialize, Serialize};

/// Share of failed runs from which an upstream counts as failing, in percent.
const FAILING_FROM_PERCENT: u8 = 25;

/// Share of failed runs below which a failing upstream counts as recovered, in percent.
const RECOVERED_BELOW_PERCENT: u8 = 8;

/// Learnt capacity of an upstream, sent with the state of its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamCapacity {
    /// Share of the recent requests that the upstream failed or refused, in percent.
    pub failures: u8,
}

impl UpstreamCapacity {
    /// Capacity of an upstream of which nothing has been learnt.
    pub const UNKNOWN: Self = Self { failures: 0 };
}

/// Whether an upstream fails many of its runs, with hysteresis, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailingState {
    failing: bool,
}

impl FailingState {
    /// Applies the current share of failed runs, in percent; returns whether the upstream is
    /// failing if that has changed.
    pub fn update(&mut self, failures: u8) -> Option<bool> {
        let failing = match self.failing {
            true => failures >= RECOVERED_BELOW_PERCENT,
            false => failures >= FAILING_FROM_PERCENT,
        };
        let changed = failing != self.failing;
        self.failing = failing;
        changed.then_some(failing)
    }
}
