//! The operators' configuration: routes by host and path, and the services behind them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleandertiller_model::ServiceName;
use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    /// Running it again does no harm.
    Idempotent,
    /// At most one run for each request of a client.
    AtMostOnce,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a head arrives.
    pub head_time: Duration,
    /// Time after which a connection without requests may be closed.
    pub idle_time: Duration,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WeightedService {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share relative to the weights of the other parts.
    pub weight: u32,
}

/// Requests of one host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name given by the operators.
    pub name: Arc<str>,
    /// Start of the path.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Most upstreams that may get one request.
    pub attempts: u32,
    /// Services that share the requests; at least one.
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
    /// Connections that an upstream accepts from all callers.
    pub connections: u32,
    /// Requests a second that an upstream bears while it is cold; unlimited if `None`.
    pub cold_per_second: Option<f64>,
}

/// One version of the whole configuration.
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
}

impl Config {
    /// Returns the route of a request: of those of its host, the one with the longest prefix that
    /// its path starts with. Host names are compared without case and port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let fits = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        fits.max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// Picks the service of a request by weight; `draw` is uniform in 0..1.
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
