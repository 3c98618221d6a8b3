//! Counters, gauges and histograms of the data plane.

use std::sync::Arc;

use oleandertiller_model::Outcome;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.0002, 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 4.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    service: Arc<str>,
    kind: Arc<str>,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabels {
    service: Arc<str>,
    kind: Arc<str>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

/// Metrics of a node; clones share the values.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    calls: Family<CallLabels, Counter>,
    latency: Family<KindLabels, Histogram, fn() -> Histogram>,
    /// Requests at the ingress that are not answered yet.
    pub ingress_in_flight: Gauge,
    /// Requests at the local upstream.
    pub in_flight: Gauge,
    /// Requests waiting for a slot.
    pub queued: Gauge,
    /// The owner's present concurrency limit.
    pub limit: Gauge,
    /// Attempts after the first.
    pub retries: Counter,
    /// Retries not made because the budget was empty.
    pub retries_refused: Counter,
    /// Probes sent to learn an owner's load.
    pub probes: Counter,
    /// Bytes of probes and their answers.
    pub probe_bytes: Counter,
}

impl Metrics {
    /// Creates metrics that stand at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            ingress_in_flight: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            probes: Counter::default(),
            probe_bytes: Counter::default(),
        };
        metrics.registry = Arc::new(metrics.registered());
        metrics
    }

    fn registered(&self) -> Registry {
        let mut registry = Registry::with_prefix("oleandertiller");
        registry.register("calls", "Calls at the ingress by how they ended", self.calls.clone());
        registry.register("call_seconds", "Time to answer calls", self.latency.clone());
        let gauges = [
            ("ingress_in_flight", "Calls at the ingress not answered yet", &self.ingress_in_flight),
            ("in_flight", "Requests at the local upstream", &self.in_flight),
            ("queued", "Requests waiting for a slot", &self.queued),
            ("limit", "Concurrency limit of the local upstream", &self.limit),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let counters = [
            ("retries", "Attempts after the first", &self.retries),
            ("retries_refused", "Retries not made for want of budget", &self.retries_refused),
            ("probes", "Probes sent", &self.probes),
            ("probe_bytes", "Bytes of probes and their answers", &self.probe_bytes),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry
    }

    /// Returns the handles of one kind, to be kept by its route.
    pub fn kind(&self, service: &str, kind: &str) -> KindMetrics {
        let labels = KindLabels { service: service.into(), kind: kind.into() };
        let done = self.calls.get_or_create(&labels.ended(Outcome::Done)).clone();
        let latency = self.latency.get_or_create(&labels).clone();
        KindMetrics { labels, done, latency, calls: self.calls.clone() }
    }

    /// Counts a request that named no known kind.
    pub fn count_rejected(&self, outcome: Outcome) {
        let labels = KindLabels { service: "".into(), kind: "".into() };
        self.calls.get_or_create(&labels.ended(outcome)).inc();
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl KindLabels {
    fn ended(&self, outcome: Outcome) -> CallLabels {
        CallLabels {
            service: self.service.clone(),
            kind: self.kind.clone(),
            outcome: outcome.label(),
            reason: outcome.kind().map_or("", |kind| kind.answer().name),
        }
    }
}

/// Metrics of one kind; counting a success takes no lookup.
#[derive(Clone)]
pub struct KindMetrics {
    labels: KindLabels,
    done: Counter,
    latency: Histogram,
    calls: Family<CallLabels, Counter>,
}

impl KindMetrics {
    /// Counts a call that ended after `seconds`.
    pub fn count(&self, outcome: Outcome, seconds: f64) {
        self.latency.observe(seconds);
        match outcome {
            Outcome::Done => self.done.inc(),
            _ => self.calls.get_or_create(&self.labels.ended(outcome)).inc(),
        };
    }
}
