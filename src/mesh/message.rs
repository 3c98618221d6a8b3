//! Messages between mesh nodes, as `bincode` on `h2` streams.

use std::{sync::Arc, time::Duration};

use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    config::RetrySafety,
};
use oleandertiller_model::{ErrorKind, NodeName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

use super::{http::Headers, metrics::Decision};

/// Path of the stream on which a request is offered to an owner.
pub const OFFER_PATH: &str = "/mesh/offer";

/// Path of the stream on which the controller of a rollout asks an owner for its evidence.
pub const EVIDENCE_PATH: &str = "/mesh/evidence";

/// A request on its way to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Offer {
    /// The request's id from end to end.
    pub id: Arc<str>,
    /// The owner that is meant.
    pub node: NodeName,
    /// Service that is to run the request.
    pub service: ServiceName,
    /// Version that the upstream is expected to have.
    pub version: VersionName,
    /// Name of the route.
    pub route: Arc<str>,
    /// Whether the request may run more than once.
    pub repeat: RetrySafety,
    /// Whether another upstream may have run it already.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers for the upstream.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// How long the request may wait at the owner; zero if other owners are to be asked first.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Whether it may start at a slow moment.
    #[serde(rename = "any-moment")]
    pub allow_slow: bool,
    /// What it is worth to start it.
    #[serde(rename = "value")]
    pub class: PriorityClass,
}

/// An upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

/// How an offer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The upstream answered.
    Answered(Response),
    /// The request has not run, and will not. `arrived` says that the upstream has seen it, which
    /// counts against the fleet's budget of repeats.
    NotRun {
        /// Why.
        why: ErrorKind,
        /// Whether the upstream refused it.
        arrived: bool,
    },
    /// The request may have run.
    Unknown(ErrorKind),
}

impl End {
    /// Returns the owner's decision and its reason, for metrics.
    pub fn decision(&self) -> (Decision, &'static str) {
        match self {
            Self::Answered(answer) if answer.status < 500 => (Decision::Run, "answered"),
            Self::Answered(_) => (Decision::Run, "upstream-error"),
            Self::Unknown(kind) => (Decision::Run, kind.answer().name),
            Self::NotRun { arrived: true, .. } => (Decision::Run, "refused-by-upstream"),
            Self::NotRun { why, .. } => (Decision::HandBack, why.answer().name),
        }
    }
}

/// Answer to an [`Offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Reply {
    /// How the offer ended.
    pub end: End,
    /// The owner's state.
    pub state: OwnerState,
}
