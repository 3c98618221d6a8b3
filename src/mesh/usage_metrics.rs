//! Metrics of the usage reports.

use std::sync::atomic::AtomicU64;

use oleandertiller_mesh::usage::ClockOffset;
use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

/// Gauges of the usage reports.
#[derive(Default)]
pub struct UsageMetrics {
    duty: Gauge,
    unacknowledged: Gauge,
    clock_correction: Gauge<f64, AtomicU64>,
}

impl UsageMetrics {
    /// Creates the gauges and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let Self { duty, unacknowledged, clock_correction } = Self::default();
        registry.register("usage_duty", "Whether this node reports usage", duty.clone());
        registry.register(
            "usage_unacknowledged",
            "Windows whose reports the platform had not acknowledged at the last write",
            unacknowledged.clone(),
        );
        registry.register(
            "usage_clock_correction_seconds",
            "Median clock of the nodes minus this node's clock, where it reports usage",
            clock_correction.clone(),
        );
        Self { duty, unacknowledged, clock_correction }
    }

    /// Sets whether this node reports usage.
    pub fn set_duty(&self, held: bool) {
        self.duty.set(i64::from(held));
    }

    /// Sets the number of reports that are not acknowledged.
    pub fn set_unacknowledged(&self, windows: usize) {
        self.unacknowledged.set(i64::try_from(windows).unwrap_or(i64::MAX));
    }

    /// Sets the correction of this node's clock.
    pub fn set_clock_correction(&self, correction: ClockOffset) {
        self.clock_correction.set(correction.0 as f64 / 1e6);
    }
}
