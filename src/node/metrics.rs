//! Counters, gauges and histograms of the data plane.

use std::{sync::Arc, time::Instant};

use oleandertiller_model::{ErrorKind, Outcome};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use super::burn::{BurnRecorders, KindBurnRecorder};

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
    /// Requests at the ingress that have no answer yet.
    pub ingress_in_flight: Gauge,
    /// Requests at the local upstream.
    pub in_flight: Gauge,
    /// Requests waiting for a slot.
    pub queued: Gauge,
    /// The owner's current concurrency limit.
    pub limit: Gauge,
    /// Attempts after the first.
    pub retries: Counter,
    /// Retries not made because the budget was empty.
    pub retries_refused: Counter,
    /// Probes sent to learn an owner's load.
    pub probes: Counter,
    /// Bytes of probes and their answers.
    pub probe_bytes: Counter,
    /// Probes not sent because the measuring budget was empty.
    pub probes_refused: Counter,
    /// Metrics of the control services.
    pub control: ControlMetrics,
    /// Error budget burned by each kind.
    pub burn: BurnRecorders,
}

/// Metrics of the control services.
#[derive(Clone, Debug, Default)]
pub struct ControlMetrics {
    /// Gossip datagrams sent.
    pub gossip_sent: Counter,
    /// Bytes of gossip datagrams sent, without the headers of UDP and IP.
    pub gossip_sent_bytes: Counter,
    /// Gossip datagrams received.
    pub gossip_received: Counter,
    /// Bytes of gossip datagrams received, without the headers of UDP and IP.
    pub gossip_received_bytes: Counter,
    /// Pulls of intent and members from peers.
    pub pulls: Counter,
    /// Bytes of answers to these pulls.
    pub pull_bytes: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store without a usable answer.
    pub store_failures: Counter,
    /// Revision of the intent in force.
    pub intent_revision: Gauge,
    /// Age of the newest confirmation by the store in milliseconds; -1 when there is none.
    pub confirmation_age_ms: Gauge,
    /// Members present, the node itself included.
    pub members: Gauge,
    /// 1 while the node is stale.
    pub stale: Gauge,
}

impl ControlMetrics {
    fn register(&self, registry: &mut Registry) {
        let counters = [
            ("gossip_sent", "Gossip datagrams sent", &self.gossip_sent),
            ("gossip_sent_bytes", "Bytes of gossip sent", &self.gossip_sent_bytes),
            ("gossip_received", "Gossip datagrams received", &self.gossip_received),
            ("gossip_received_bytes", "Bytes of gossip received", &self.gossip_received_bytes),
            ("pulls", "Pulls of intent and members at peers", &self.pulls),
            ("pull_bytes", "Bytes of answers to pulls", &self.pull_bytes),
            ("store_calls", "Calls to the store", &self.store_calls),
            ("store_failures", "Calls to the store without a usable answer", &self.store_failures),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("intent_revision", "Revision of the intent in force", &self.intent_revision),
            (
                "confirmation_age_ms",
                "Age of the newest confirmation by the store, -1 for none",
                &self.confirmation_age_ms,
            ),
            ("members", "Members present", &self.members),
            ("stale", "1 while the node takes no new work for want of news", &self.stale),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new(start: Instant) -> Self {
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
            probes_refused: Counter::default(),
            control: ControlMetrics::default(),
            burn: BurnRecorders::new(start),
        };
        metrics.registry = Arc::new(metrics.build_registry());
        metrics
    }

    fn build_registry(&self) -> Registry {
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
            ("probes_refused", "Probes not sent for want of budget", &self.probes_refused),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        self.control.register(&mut registry);
        registry
    }

    /// Returns the metrics of one kind. Routes keep them, which saves the lookup.
    pub fn kind(&self, service: &str, kind: &str) -> KindMetrics {
        let labels = KindLabels { service: service.into(), kind: kind.into() };
        let done = self.calls.get_or_create(&labels.with_outcome(Outcome::Done)).clone();
        let latency = self.latency.get_or_create(&labels).clone();
        let burn = self.burn.kind(service, kind);
        KindMetrics { labels, done, latency, calls: self.calls.clone(), burn }
    }

    /// Counts a request that the client port refused, under an empty service and kind.
    pub fn count_rejected(&self, outcome: Outcome) {
        let labels = KindLabels { service: "".into(), kind: "".into() };
        self.calls.get_or_create(&labels.with_outcome(outcome)).inc();
    }

    /// Returns the number of calls of a kind by outcome, without outcomes that did not occur.
    pub fn counts(&self, service: &str, kind: &str) -> Vec<(Outcome, u64)> {
        let labels = KindLabels { service: service.into(), kind: kind.into() };
        let failures = ErrorKind::ALL.iter();
        let failures = failures.flat_map(|k| [Outcome::NotRun(*k), Outcome::Unknown(*k)]);
        let outcomes = std::iter::once(Outcome::Done).chain(failures);
        let count = |outcome: Outcome| {
            let count = self.calls.get(&labels.with_outcome(outcome))?.get();
            (count > 0).then_some((outcome, count))
        };
        outcomes.filter_map(count).collect()
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl KindLabels {
    fn with_outcome(&self, outcome: Outcome) -> CallLabels {
        CallLabels {
            service: self.service.clone(),
            kind: self.kind.clone(),
            outcome: outcome.label(),
            reason: outcome.kind().map_or("", |kind| kind.answer().name),
        }
    }
}

/// Metrics of one kind. Counting a success takes no lookup.
#[derive(Clone)]
pub struct KindMetrics {
    labels: KindLabels,
    done: Counter,
    latency: Histogram,
    calls: Family<CallLabels, Counter>,
    /// Error budget burned by the kind.
    pub burn: KindBurnRecorder,
}

impl KindMetrics {
    /// Counts a call that ended after `seconds`.
    pub fn count(&self, outcome: Outcome, seconds: f64) {
        self.latency.observe(seconds);
        match outcome {
            Outcome::Done => self.done.inc(),
            _ => self.calls.get_or_create(&self.labels.with_outcome(outcome)).inc(),
        };
    }
}
