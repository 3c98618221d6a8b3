//! The operators' configuration: routes by host and path, and the services behind them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleandertiller_model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::tenants::Tenants;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once per client request.
    AtMostOnce,
}

/// Limits on clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_time: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_time: Duration,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WeightedService {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A rule for the requests to one host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name given by the operators, for logs, metrics and rollout evidence.
    pub name: Arc<str>,
    /// Prefix of the paths that the route applies to.
    pub prefix: Arc<str>,
    /// Whether its requests may be retried.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Time within which answers should reach the client.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Whether requests without a known API key may run although there are tenants.
    pub allow_anonymous: bool,
    /// Maximum time until a client gets an answer.
    pub timeout: Duration,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Services among which requests are split by weight; at least one.
    #[serde(rename = "parts")]
    pub split: Vec<WeightedService>,
}

/// A service as the operators declare it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Path of the upstream's health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that an upstream accepts from all callers.
    pub connections: u32,
    /// Maximum requests per second to a cold upstream; unlimited if `None`.
    pub cold_per_second: Option<f64>,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Config {
    /// Version given by the operators.
    pub version: u64,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Routes by host.
    pub hosts: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Tenants; requests need no API key if `None`.
    pub tenants: Option<Tenants>,
}

impl Config {
    /// Returns the route of a request: among the routes of its host, the one whose prefix of the
    /// path is the longest. Host names are compared without case and port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let matching = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// Returns the service for a request, chosen by weight; `draw` is uniform in 0..1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw * total as f64;
        for part in &self.split {
            if left < f64::from(part.weight) {
                return Some(&part.service);
            }
            left -= f64::from(part.weight);
        }
        self.split.iter().rev().find(|part| part.weight > 0).map(|part| &part.service)
    }
}
