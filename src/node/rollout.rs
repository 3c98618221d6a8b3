//! Rollouts at a node: which versions a request may reach, and the evidence of the ingress.
//!
//! The decisions are in `oleandertiller-rollout`; the control services drive them.

pub mod admitted_versions;
pub mod monitor;

use oleandertiller_model::{Revision, ServiceName};
use oleandertiller_rollout::VetoNotice;
use serde::{Deserialize, Serialize};

/// Path of the `h2` stream on which an ingress sends its evidence to a controller.
pub const REPORT_PATH: &str = "/rollout/report";

/// Path of the `h2` stream on which a controller tells the service's other nodes that it leads.
pub const HEARTBEAT_PATH: &str = "/rollout/lead";

/// Answers a report of evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportAnswer {
    /// What the judge of the answering node found against the new version.
    pub finding: Option<VetoNotice>,
    /// Vetoes of the other ingress nodes that reported lately.
    pub vetoes: Vec<VetoNotice>,
    /// Number of ingress nodes that reported lately, the asking one included.
    pub callers: u32,
}

/// Tells a node of the service that the sender drives the rollout; answered by a load report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ControllerHeartbeat {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Fencing token of the sender.
    pub fence: Revision,
}
