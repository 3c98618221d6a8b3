//! Destinations of requests and the policies by which clients choose among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::{Deserialize, Serialize};

/// Policy by which clients choose an upstream themselves, as a baseline for runs without nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientPolicy {
    /// Uniformly at random.
    Random,
    /// In rotation.
    RoundRobin,
    /// The upstream with the fewest requests in flight from this load generator.
    LeastInFlight,
}

impl std::str::FromStr for ClientPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-in-flight" => Ok(Self::LeastInFlight),
            _ => Err(format!(
                "clients without nodes cannot use policy `{text}`; expected random, round-robin or \
                 least-in-flight"
            )),
        }
    }
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub enum Route {
    /// To the client ports of nodes, chosen at random; paths are `/<service>/<kind>`.
    Nodes(Vec<SocketAddr>),
    /// To the upstreams of each service; paths are `/<kind>`.
    Upstreams(BTreeMap<String, Vec<SocketAddr>>, ClientPolicy),
}

impl Route {
    /// Returns the addresses of all nodes, or of the upstreams of all services.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        match self {
            Self::Nodes(addrs) => addrs.clone(),
            Self::Upstreams(services, _) => services.values().flatten().copied().collect(),
        }
    }

    /// Returns the path of a request; only nodes need the service in it.
    pub fn path(&self, service: &str, kind: &str) -> String {
        match self {
            Self::Nodes(_) => format!("/{service}/{kind}"),
            Self::Upstreams(..) => format!("/{kind}"),
        }
    }

    /// Returns the addresses that may be chosen for a service.
    pub fn candidates(&self, service: &str) -> &[SocketAddr] {
        match self {
            Self::Nodes(addrs) => addrs,
            Self::Upstreams(services, _) => services.get(service).map_or(&[], Vec::as_slice),
        }
    }

    /// Chooses one of the candidates, or `None` when there are none.
    ///
    /// `random` is drawn from the seed of the request, `next_index` counts the choices in rotation.
    pub fn choose(
        &self,
        candidates: &[SocketAddr],
        random: u64,
        next_index: &AtomicUsize,
        in_flight: impl Fn(SocketAddr) -> usize,
    ) -> Option<SocketAddr> {
        let policy = match self {
            Self::Nodes(_) => ClientPolicy::Random,
            Self::Upstreams(_, policy) => *policy,
        };
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let random = (random % count as u64) as usize;
        match policy {
            ClientPolicy::Random => Some(candidates[random]),
            ClientPolicy::RoundRobin => {
                Some(candidates[next_index.fetch_add(1, Ordering::Relaxed) % count])
            }
            ClientPolicy::LeastInFlight => {
                // Starts at a random candidate, so that ties are broken at random.
                let order = (0..count).map(|n| candidates[(random + n) % count]);
                order.min_by_key(|addr| in_flight(*addr))
            }
        }
    }
}
