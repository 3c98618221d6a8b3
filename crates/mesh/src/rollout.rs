//! Which versions of a service may serve, and whether a new version is good.
//!
//! A rollout lasts seconds, so the assessment works on tens of answers: for each route it compares
//! the share of failed answers, and of answers far slower than those of the old version. Service
//! times are divided by the slowness of the machine at their start, so that a version is not blamed
//! for the load of other work on its machine. The new version gets few requests at first, then
//! enough to put one of its upstreams under load, and all requests only if nothing speaks against
//! it, and so late that those until the deadline are within what the operators allow to a bad
//! version. A version that turns bad at any moment therefore also stays within it.

mod assessment;
mod schedule;

use std::sync::Arc;

use oleandertiller_model::VersionName;
use serde::{Deserialize, Serialize};

pub use self::{
    assessment::{Assessor, BAD_P_VALUE, BUCKET_COUNT, Counts, Evidence, Finding, assess},
    schedule::{RolloutProgress, Step, next_step},
};

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Both versions serve.
    Running,
    /// Only the new version serves.
    Completed,
    /// Only other versions serve.
    RolledBack,
}

/// State of the rollout of one service, as kept in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutPlan {
    /// Revision of the operators' order that it carries out.
    #[serde(rename = "order")]
    pub order_revision: u64,
    /// Version that the rollout introduces.
    pub version: VersionName,
    /// Whether the rollout is running, or how it ended.
    pub phase: Phase,
    /// Share of the requests that the new version gets.
    pub share: f64,
    /// Start by the wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "started")]
    pub started_ms: u64,
    /// Why it was rolled back, if it was.
    #[serde(rename = "why")]
    pub reason: Option<Arc<str>>,
    /// Requests to the new version when the plan was written, for the next leader.
    #[serde(default)]
    pub exposed: u64,
}

impl RolloutPlan {
    /// Returns the plan after its order was written again: the store was restored from a copy, and
    /// the order that had `known_revision` now has `revision`. The result is `None` if the plan
    /// belongs to an earlier order.
    pub fn after_restore(&self, known_revision: u64, revision: u64) -> Option<Self> {
        let carries_out_order = self.order_revision >= known_revision;
        carries_out_order.then(|| Self { order_revision: revision, ..self.clone() })
    }
}

/// Versions of a service that may serve.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowedVersions {
    /// Every version.
    Any,
    /// Only this version.
    Only(VersionName),
    /// Every version but this one.
    Without(VersionName),
    /// This version gets a share of the requests, the others get the rest.
    Share(VersionName, f64),
}

impl AllowedVersions {
    /// Returns what a plan and an order, with its revision and version, allow. The version of an
    /// order that no leader has taken up yet may not serve.
    pub fn new(plan: Option<&RolloutPlan>, order: Option<(u64, &VersionName)>) -> Self {
        match (plan, order) {
            (plan, Some((revision, version)))
                if plan.is_none_or(|plan| {
                    plan.order_revision < revision && plan.version != *version
                }) =>
            {
                Self::Without(version.clone())
            }
            (Some(plan), _) => match plan.phase {
                Phase::Running => Self::Share(plan.version.clone(), plan.share),
                Phase::Completed => Self::Only(plan.version.clone()),
                Phase::RolledBack => Self::Without(plan.version.clone()),
            },
            (None, _) => Self::Any,
        }
    }

    /// Returns whether a version may serve at all.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any | Self::Share(..) => true,
            Self::Only(only) => only == version,
            Self::Without(without) => without != version,
        }
    }
}
