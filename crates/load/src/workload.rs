//! Request kinds, services and zones of the example deployments.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One request kind under load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadKind {
    /// Service that answers the request.
    pub service: &'static str,
    /// Name of the kind.
    pub kind: &'static str,
    /// Share of the arrivals, relative to the other kinds.
    pub share: u32,
    /// Relative value of a correct answer.
    pub weight: u32,
    /// Whether a request must run at most once; such requests carry an `Idempotency-Key`.
    pub at_most_once: bool,
    /// Time that the client allows for a request.
    pub deadline: Duration,
}

impl LoadKind {
    const fn new(
        service: &'static str,
        kind: &'static str,
        share: u32,
        weight: u32,
        deadline_ms: u64,
    ) -> Self {
        let deadline = Duration::from_millis(deadline_ms);
        Self { service, kind, share, weight, at_most_once: false, deadline }
    }

    const fn at_most_once(mut self) -> Self {
        self.at_most_once = true;
        self
    }
}

const TUUL_KINDS: [LoadKind; 4] = [
    LoadKind::new("kettle", "temper", 50, 10, 250),
    LoadKind::new("kettle", "status", 25, 3, 500),
    LoadKind::new("recipe", "lookup", 15, 2, 500),
    LoadKind::new("recipe", "release", 10, 8, 1_000).at_most_once(),
];

const TRUNKWORKS_KINDS: [LoadKind; 4] = [
    LoadKind::new("lending", "browse", 45, 2, 500),
    LoadKind::new("lending", "book", 10, 8, 1_000).at_most_once(),
    LoadKind::new("stock", "wear", 10, 1, 2_000),
    LoadKind::new("stock", "dates", 35, 4, 500),
];

/// An example deployment; its settings are in `examples/settings`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Tuul Municipal Confectionery Works.
    Tuul,
    /// Trunkworks Costume Commons.
    Trunkworks,
}

/// Size of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSize {
    /// Name of the service.
    pub service: &'static str,
    /// Number of upstreams that serve it.
    pub servers: usize,
    /// Maximum number of requests that each of them runs at the same time.
    pub slots: u32,
}

impl Deployment {
    /// Returns the kinds that clients call.
    pub fn kinds(self) -> &'static [LoadKind] {
        match self {
            Self::Tuul => &TUUL_KINDS,
            Self::Trunkworks => &TRUNKWORKS_KINDS,
        }
    }

    /// Returns the service and name of each kind that only services call.
    pub fn internal_kinds(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Self::Tuul => &[("kettle", "calibrate")],
            Self::Trunkworks => &[("stock", "size")],
        }
    }

    /// Returns the names of the availability zones.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Tuul => ["bayangol", "sukhbaatar", "khan-uul"],
            Self::Trunkworks => ["shore-one", "shore-two", "shore-three"],
        }
    }

    /// Returns the services with their sizes.
    pub fn services(self) -> [ServiceSize; 2] {
        let size = |service, servers, slots| ServiceSize { service, servers, slots };
        match self {
            Self::Tuul => [size("recipe", 4, 6), size("kettle", 4, 6)],
            Self::Trunkworks => [size("lending", 7, 12), size("stock", 5, 12)],
        }
    }
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "tuul" => Ok(Self::Tuul),
            "trunkworks" => Ok(Self::Trunkworks),
            _ => Err(format!("unknown deployment `{text}`: expected tuul or trunkworks")),
        }
    }
}
