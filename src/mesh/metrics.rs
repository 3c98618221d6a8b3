//! Counters and histograms of a mesh node.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    route: String,
    status: u16,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Routes that get series of their own; the rest is counted together, so that a configuration that
/// grows does not grow the metrics without bound.
const ROUTES_MAX: usize = 200;

/// Counters and histograms.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    times: Family<RouteLabels, Histogram>,
    routes: std::sync::Mutex<std::collections::BTreeSet<String>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("oleandertiller");
        let requests = Family::<RequestLabels, Counter>::default();
        let times = Family::<RouteLabels, Histogram>::new_with_constructor(|| {
            // 5 ms to 20 s.
            Histogram::new(exponential_buckets(0.005, 2.0, 13))
        });
        registry.register("requests", "Requests that ended at the ingress", requests.clone());
        registry.register("request_seconds", "Time to the final answer", times.clone());
        Self { registry, requests, times, routes: Default::default() }
    }
}

impl Metrics {
    /// Counts a request that ended at the ingress.
    pub fn count(&self, route: &str, status: u16, reason: &str, ms: u64) {
        let route = self.label(route);
        let labels = RequestLabels { route: route.clone(), status, reason: reason.to_owned() };
        self.requests.get_or_create(&labels).inc();
        self.times.get_or_create(&RouteLabels { route }).observe(ms as f64 / 1_000.0);
    }

    fn label(&self, route: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= ROUTES_MAX {
            return "other".to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }

    /// Returns the metrics as OpenMetrics text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "metrics cannot be encoded");
        }
        text
    }
}
