//! Budgets of an ingress for extra attempts and for measuring.

use std::time::Instant;

use oleandertiller_model::{Clock, intent::DEFAULT_MEASURING_PPM};
use oleandertiller_routing::budget::Budget;

use super::Ingress;
use crate::node::config::RetryConfig;

/// Token buckets that each call fills.
pub(super) struct Budgets {
    /// Pays for retries, hedges and probes, so that together they cannot amplify an overload.
    pub extra: Budget,
    /// Pays for probes, at the share of calls that operators set.
    pub measuring: Budget,
    /// Probes not sent because a budget was empty.
    refused: u64,
}

/// Probes since the start of the node, and how many the measuring budget allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuringCost {
    /// Calls that filled the budget.
    pub calls: u64,
    /// Probes that these calls have paid for, in tokens.
    pub earned: f64,
    /// Probes sent.
    pub probes: u64,
    /// Probes not sent because a budget was empty.
    pub refused: u64,
}

impl Budgets {
    pub fn new(retry: RetryConfig, now: Instant) -> Self {
        let extra = Budget::new(retry.share_ppm, retry.per_second, retry.burst, now);
        let measuring = Budget::for_measuring(DEFAULT_MEASURING_PPM, now);
        Self { extra, measuring, refused: 0 }
    }

    pub fn on_call(&mut self) {
        self.extra.on_call();
        self.measuring.on_call();
    }

    /// Takes the tokens for one probe; returns whether both budgets had one.
    pub fn try_probe(&mut self, now: Instant) -> bool {
        let taken = self.measuring.try_take(now) && self.extra.try_take(now);
        self.refused += u64::from(!taken);
        taken
    }
}

impl<C: Clock> Ingress<C> {
    /// Returns what probes have cost since the start of the node.
    pub fn measuring_cost(&self) -> MeasuringCost {
        let budgets = self.budgets();
        MeasuringCost {
            calls: budgets.measuring.calls(),
            earned: budgets.measuring.earned(),
            probes: budgets.measuring.taken(),
            refused: budgets.refused,
        }
    }
}
