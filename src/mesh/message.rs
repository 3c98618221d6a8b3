//! Messages between mesh nodes, encoded with `bincode` on `h2` streams.

use std::{sync::Arc, time::Duration};

use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    config::RetrySafety,
    crash_suspects::{Fingerprint, SuspectRecord},
    exposure::{Grant, OwnerCounts},
    rollout::Evidence,
    zone_capacity::ZoneReport,
};
use oleandertiller_model::{ErrorKind, NodeName, ServiceName, VersionName};
use oleandertiller_platform::header;
use serde::{Deserialize, Serialize};

use super::{
    body::Body,
    http::{FINAL_STATUSES, Headers},
    metrics::Decision,
};

/// Path of the `h2` requests that offer a request to an owner.
pub const OFFER_PATH: &str = "/mesh/offer";

/// Path of the `h2` requests with which a rollout's leader gets the report of an owner.
pub const REPORT_PATH: &str = "/mesh/rollout-report/2";

/// Path of the `h2` requests with which owners tell each other which requests crash upstreams.
pub const CRASHES_PATH: &str = "/mesh/crashes";

/// What an owner knows of requests that crash upstreams; answered with the same of the other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashReport {
    /// Service of the upstreams.
    pub service: ServiceName,
    /// The requests.
    pub suspects: Vec<SuspectRecord>,
}

/// A client's request, offered to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Offer {
    /// Request id that the client gave.
    pub id: Arc<str>,
    /// Node of the owner that the offer is for.
    pub node: NodeName,
    /// Node that sends the offer.
    pub sender: NodeName,
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Version that the upstream is expected to have.
    pub version: VersionName,
    /// Whether that version is being rolled out, as far as the ingress knows.
    pub rolling_out: bool,
    /// Name of the route.
    pub route: Arc<str>,
    /// Whether the request may run more than once.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Whether another upstream may have run it already.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Rank in the queue, of the tenant or else of the route; 0 is the most urgent.
    pub rank: u32,
    /// Tenant whose usage the request counts as; `None` if there is none, or if another attempt at
    /// the request counts.
    pub tenant: Option<Arc<str>>,
    /// HTTP method, passed to the upstream unchanged.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers for the upstream.
    pub headers: Headers,
    /// Complete body, without chunked coding; sent behind the encoded message.
    #[serde(skip)]
    pub body: Body,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Longest wait in the owner's queue; zero if other owners are to be asked first.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Whether the request may start while the upstream is slow.
    #[serde(rename = "any-moment")]
    pub allow_slow: bool,
    /// Priority class in the owner's queue; decides before the rank.
    #[serde(rename = "value")]
    pub class: PriorityClass,
}

/// Request for the report of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportRequest {
    /// What an owner of the new version may start.
    pub grant: Option<Grant>,
}

/// What an owner reports to the leader of its service's rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerReport {
    /// Answers of the upstream.
    pub evidence: Evidence,
    /// Requests started since the order.
    pub counts: OwnerCounts,
    /// Requests that the upstream is running.
    pub running: u32,
}

impl Offer {
    /// Returns the fingerprint that a repeated request has as well.
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.headers.get(header::CALLER_SERVICE).unwrap_or("");
        let body = self.body.chunks().iter().map(|chunk| &chunk[..]);
        Fingerprint::new(&self.service, caller, &self.method, &self.target, body)
    }
}

/// An upstream's complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers that the upstream sent.
    pub headers: Headers,
    /// Complete body, without chunked coding; sent behind the encoded message.
    #[serde(skip)]
    pub body: Body,
}

/// How an offer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The upstream responded.
    Answered(Response),
    /// The request has not run and will not run.
    NotRun {
        /// Why it has not run.
        why: ErrorKind,
        /// Whether the upstream got the request and refused it, so that another attempt counts
        /// against the fleet's retry budget.
        arrived: bool,
    },
    /// The request may have run.
    Unknown(ErrorKind),
}

impl End {
    /// Returns this end, or an unknown one if the response has an invalid status, so that another
    /// node cannot pass one on to a client.
    pub fn with_valid_status(self) -> Self {
        match self {
            Self::Answered(response) if !FINAL_STATUSES.contains(&response.status) => {
                Self::Unknown(ErrorKind::InvalidStatus)
            }
            end => end,
        }
    }

    /// Returns the owner's decision and its reason, for metrics.
    pub fn decision(&self) -> (Decision, &'static str) {
        match self {
            Self::Answered(response) if response.status < 500 => (Decision::Run, "answered"),
            Self::Answered(_) => (Decision::Run, "upstream-error"),
            Self::Unknown(kind) => (Decision::Run, kind.answer().name),
            Self::NotRun { arrived: true, .. } => (Decision::Run, "refused-by-upstream"),
            Self::NotRun { why, .. } => (Decision::RefuseOffer, why.answer().name),
        }
    }
}

/// Reply to an [`Offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Reply {
    /// How the offer ended.
    pub end: End,
    /// State of the owner after the offer.
    pub state: OwnerState,
    /// Time for which the owner had the offer.
    pub held: Duration,
    /// What the owner's node knows of the room of zones for the service.
    pub zones: Vec<ZoneReport>,
}

impl Reply {
    /// Returns the body that is sent behind the encoded reply.
    pub fn body(&self) -> &Body {
        static NO_BODY: Body = Body::empty();
        match &self.end {
            End::Answered(response) => &response.body,
            _ => &NO_BODY,
        }
    }

    /// Sets the body that arrived behind the encoded reply.
    pub fn set_body(&mut self, body: Body) {
        if let End::Answered(response) = &mut self.end {
            response.body = body;
        }
    }
}
