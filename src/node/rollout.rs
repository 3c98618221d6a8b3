//! Rollouts at a node: the versions that requests may reach, and the evidence of the ingress.
//!
//! Decisions on a rollout are made in `oleandertiller-rollout`, which the control services call.

pub mod admitted_versions;
pub mod monitor;

use oleandertiller_model::{Revision, ServiceName};
use oleandertiller_rollout::VetoNotice;
use serde::{Deserialize, Serialize};

/// Path of the `h2` stream on which an ingress sends its evidence to a controller.
pub const REPORT_PATH: &str = "/rollout/report";

/// Path of the `h2` stream on which a controller sends heartbeats to the service's other nodes.
pub const HEARTBEAT_PATH: &str = "/rollout/lead";

/// Answer to a report of evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportAnswer {
    /// Finding of the answering node's controller against the new version.
    pub finding: Option<VetoNotice>,
    /// Vetoes of the other ingress nodes that reported recently.
    pub vetoes: Vec<VetoNotice>,
    /// Number of ingress nodes that reported recently, including the one answered.
    pub callers: u32,
}

/// Heartbeat of the sender as controller of a rollout, answered by a load report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ControllerHeartbeat {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Fencing token of the sender.
    pub fence: Revision,
}
