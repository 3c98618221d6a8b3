//! Metrics of a mesh node.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use super::{memory::MemoryAccount, usage_metrics::UsageMetrics};

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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct AdmissionLabels {
    route: String,
    rank: u32,
    admission: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    dependency: &'static str,
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct HolderLabels {
    holder: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct DependencyLabels {
    dependency: &'static str,
}

/// Decision of a node about a request, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// An owner passed the request to its upstream; the reason is the outcome.
    Run,
    /// An owner lost the connection of a running request; the reason tells whether the upstream has
    /// ended.
    LostRun,
    /// An owner refused an offer without running the request.
    RefuseOffer,
    /// An ingress queued the request at an owner.
    Wait,
    /// A hedge was due; the reason tells whether the retry budget allowed it.
    Hedge,
    /// A retry was due; the reason tells whether the retry budget allowed it.
    Retry,
    /// An ingress refused or gave up the request.
    Refuse,
    /// A request arrived on a connection behind others that were not answered; the reason tells
    /// whether it ran beside them, had to wait for them or was cancelled.
    Pipeline,
}

impl Decision {
    fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::LostRun => "lost-run",
            Self::RefuseOffer => "hand-back",
            Self::Wait => "wait",
            Self::Hedge => "hedge",
            Self::Retry => "repeat",
            Self::Refuse => "refuse",
            Self::Pipeline => "pipeline",
        }
    }
}

/// What an ingress does with a request that does not start at once, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits in the queue of an owner.
    Wait,
    /// It is refused without an offer.
    RefuseEarly,
    /// It is offered although no owner is known to have capacity.
    Probe,
}

impl Admission {
    fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::RefuseEarly => "refuse-early",
            Self::Probe => "probe",
        }
    }
}

/// Dependency of a node, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dependency {
    /// The platform's store.
    Store,
    /// The node's local upstream.
    Upstream,
    /// Another node.
    Peer,
    /// The platform's receiver of usage reports.
    Usage,
}

impl Dependency {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Upstream => "upstream",
            Self::Peer => "peer",
            Self::Usage => "usage",
        }
    }
}

/// Maximum number of routes with their own label; the others share `other`, so that a growing
/// configuration does not grow the metrics without bound.
const MAX_ROUTE_LABELS: usize = 200;

/// Value of the gauge of the upstream's request limit if it has none; a limit may be 0.
const NO_REQUEST_LIMIT: f64 = -1.0;

/// Counters, gauges and histograms, with their registry.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_times: Family<RouteLabels, Histogram>,
    decisions: Family<DecisionLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    call_times: Family<DependencyLabels, Histogram>,
    config: Gauge,
    nodes: Gauge,
    request_limit: Gauge<f64, AtomicU64>,
    upstream_failures: Gauge,
    late_peers: Gauge,
    timer_lateness: Gauge<f64, AtomicU64>,
    store_era: Gauge,
    rollout_requests: Gauge,
    rollout_allowed_requests: Gauge,
    /// Gauges of the usage reports.
    pub usage: UsageMetrics,
    memory: Family<HolderLabels, Gauge>,
    memory_bound: Gauge,
    client_connections: Gauge,
    routes: Mutex<BTreeSet<String>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("oleandertiller");
        let requests = Family::<RequestLabels, Counter>::default();
        let request_times = Family::<RouteLabels, Histogram>::new_with_constructor(|| {
            // 5 ms to 20 s.
            Histogram::new(exponential_buckets(0.005, 2.0, 13))
        });
        let decisions = Family::<DecisionLabels, Counter>::default();
        let admissions = Family::<AdmissionLabels, Counter>::default();
        let calls = Family::<CallLabels, Counter>::default();
        let call_times = Family::<DependencyLabels, Histogram>::new_with_constructor(|| {
            // 1 ms to 16 s.
            Histogram::new(exponential_buckets(0.001, 4.0, 8))
        });
        let (config, nodes) = (Gauge::default(), Gauge::default());
        let request_limit = Gauge::<f64, AtomicU64>::default();
        request_limit.set(NO_REQUEST_LIMIT);
        registry.register("requests", "Requests that ended at the ingress", requests.clone());
        registry.register("request_seconds", "Time to the final answer", request_times.clone());
        registry.register("decisions", "Decisions on requests, by reason", decisions.clone());
        registry.register(
            "admissions",
            "Requests that did not start at once, by route and rank",
            admissions.clone(),
        );
        registry.register("calls", "Calls to what the node depends on", calls.clone());
        registry.register("call_seconds", "Time of these calls", call_times.clone());
        registry.register("config_version", "Configuration in force, 0 for none", config.clone());
        registry.register("nodes", "Nodes that this node knows", nodes.clone());
        let store_era = Gauge::default();
        registry.register(
            "store_era",
            "Times that the store was restored from a copy, as it tells",
            store_era.clone(),
        );
        registry.register(
            "upstream_request_limit",
            "Requests per second that the local upstream accepts, -1 without a limit",
            request_limit.clone(),
        );
        let upstream_failures = Gauge::default();
        registry.register(
            "upstream_failures_percent",
            "Recent runs on the local upstream that failed, in percent",
            upstream_failures.clone(),
        );
        let late_peers = Gauge::default();
        registry.register("late_peers", "Peers that answer late", late_peers.clone());
        let timer_lateness = Gauge::<f64, AtomicU64>::default();
        registry.register(
            "timer_lateness_seconds",
            "Time by which timers of this node fire late, smoothed",
            timer_lateness.clone(),
        );
        let (rollout_requests, rollout_allowed_requests) = (Gauge::default(), Gauge::default());
        registry.register(
            "rollout_requests",
            "Requests to the new version since the order, where this node leads its rollout",
            rollout_requests.clone(),
        );
        registry.register(
            "rollout_allowed_requests",
            "Requests that a bad version may have got by now, where this node leads its rollout",
            rollout_allowed_requests.clone(),
        );
        let usage = UsageMetrics::register(&mut registry);
        let memory = Family::<HolderLabels, Gauge>::default();
        let (memory_bound, client_connections) = (Gauge::default(), Gauge::default());
        registry.register("memory_bytes", "Memory in the account, by holder", memory.clone());
        registry.register(
            "memory_bound_bytes",
            "Most memory that the account may hold",
            memory_bound.clone(),
        );
        registry.register(
            "client_connections",
            "Open connections of clients",
            client_connections.clone(),
        );
        let routes = Mutex::default();
        Self {
            registry,
            requests,
            request_times,
            decisions,
            admissions,
            calls,
            call_times,
            config,
            nodes,
            request_limit,
            upstream_failures,
            late_peers,
            timer_lateness,
            store_era,
            rollout_requests,
            rollout_allowed_requests,
            usage,
            memory,
            memory_bound,
            client_connections,
            routes,
        }
    }
}

impl Metrics {
    /// Counts a request that the ingress has finished, and its time in milliseconds.
    pub fn count_request(&self, route: &str, status: u16, reason: &str, ms: u64) {
        let route = self.route_label(route);
        let labels = RequestLabels { route: route.clone(), status, reason: reason.to_owned() };
        self.requests.get_or_create(&labels).inc();
        self.request_times.get_or_create(&RouteLabels { route }).observe(ms as f64 / 1_000.0);
    }

    /// Counts a decision; `reason` comes from a fixed set.
    pub fn count_decision(&self, decision: Decision, reason: &'static str) {
        let labels = DecisionLabels { decision: decision.name(), reason };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a request that did not start at once; `reason` comes from a fixed set.
    pub fn count_admission(
        &self,
        route: &str,
        rank: u32,
        admission: Admission,
        reason: &'static str,
    ) {
        let (route, admission) = (self.route_label(route), admission.name());
        let labels = AdmissionLabels { route, rank, admission, reason };
        self.admissions.get_or_create(&labels).inc();
    }

    /// Records a call to a dependency; `call` and `outcome` each come from a fixed set.
    pub fn record_call(
        &self,
        dependency: Dependency,
        call: &'static str,
        outcome: &'static str,
        time: Duration,
    ) {
        let dependency = dependency.name();
        self.calls.get_or_create(&CallLabels { dependency, call, outcome }).inc();
        let times = self.call_times.get_or_create(&DependencyLabels { dependency });
        times.observe(time.as_secs_f64());
    }

    /// Sets the version of the active configuration and the number of known nodes.
    pub fn set_config_and_nodes(&self, config: u64, nodes: usize) {
        self.config.set(i64::try_from(config).unwrap_or(i64::MAX));
        self.nodes.set(i64::try_from(nodes).unwrap_or(i64::MAX));
    }

    /// Sets the era of the store.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the requests per second that the local upstream accepts.
    pub fn set_request_limit(&self, per_second: Option<f64>) {
        self.request_limit.set(per_second.unwrap_or(NO_REQUEST_LIMIT));
    }

    /// Sets the share of recent runs on the local upstream that failed, in percent.
    pub fn set_upstream_failures(&self, percent: u8) {
        self.upstream_failures.set(percent.into());
    }

    /// Sets the number of peers that answer late.
    pub fn set_late_peers(&self, count: usize) {
        self.late_peers.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the time by which timers fire late.
    pub fn set_timer_lateness(&self, late: Duration) {
        self.timer_lateness.set(late.as_secs_f64());
    }

    /// Sets how many requests the new version got in the rollout that this node leads, and how many
    /// a bad version may have got by now.
    pub fn set_exposure(&self, requests: u64, allowed: u64) {
        self.rollout_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.rollout_allowed_requests.set(i64::try_from(allowed).unwrap_or(i64::MAX));
    }

    /// Sets the figures of the memory account.
    pub fn set_memory(&self, account: &MemoryAccount) {
        let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        let (holders, bound) = account.figures();
        for (holder, bytes) in holders {
            self.memory.get_or_create(&HolderLabels { holder: holder.name() }).set(gauge(bytes));
        }
        self.memory_bound.set(gauge(bound));
        self.client_connections.set(gauge(account.client_count()));
    }

    fn route_label(&self, route: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= MAX_ROUTE_LABELS {
            return "other".to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }

    /// Returns the metrics as OpenMetrics text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "encoding the metrics failed");
        }
        text
    }
}
