//! Services and their request kinds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{KindName, ServiceName};

/// Whether a request may be run again when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Safety {
    /// Running it again has no further effect.
    Idempotent,
    /// It must never run twice.
    AtMostOnce,
}

/// One kind of request of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KindSpec {
    /// Name, the second segment of the request path.
    pub name: KindName,
    /// Relative value of a correct answer; under overload, kinds of lower weight are shed first.
    pub weight: u32,
    /// Whether a request of this kind may be run again.
    pub safety: Safety,
    /// Whether only other services call it.
    pub internal: bool,
    /// Deadline of requests that state none.
    pub deadline: Duration,
    /// Longest deadline; longer ones are reduced to it.
    pub max_deadline: Duration,
    /// Service-level objective: share of requests that get a correct answer within the deadline,
    /// in parts per million.
    pub objective_ppm: u32,
}

impl KindSpec {
    /// Creates an idempotent kind of weight 1 with a deadline of one second.
    pub fn new(name: impl Into<KindName>) -> Self {
        Self {
            name: name.into(),
            weight: 1,
            safety: Safety::Idempotent,
            internal: false,
            deadline: Duration::from_secs(1),
            max_deadline: Duration::from_secs(30),
            objective_ppm: 999_000,
        }
    }

    /// Sets the relative value of a correct answer.
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Declares that the kind must run at most once.
    pub fn with_at_most_once(mut self) -> Self {
        self.safety = Safety::AtMostOnce;
        self
    }

    /// Declares that only other services call the kind.
    pub fn with_internal(mut self) -> Self {
        self.internal = true;
        self
    }

    /// Sets the deadline of requests that state none.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }
}

/// A service and its kinds of request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// Name, the first segment of the request path.
    pub name: ServiceName,
    /// Kinds of request, few enough for a linear search.
    pub kinds: Vec<KindSpec>,
}

impl ServiceSpec {
    /// Creates a service with the given kinds.
    pub fn new(name: impl Into<ServiceName>, kinds: Vec<KindSpec>) -> Self {
        Self { name: name.into(), kinds }
    }

    /// Returns the kind of this name, or `None` when the service has no such kind.
    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        self.kinds.iter().find(|kind| kind.name.as_str() == name)
    }
}
