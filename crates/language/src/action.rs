//! From commands to changes of the intent.

use std::{fmt, time::SystemTime};

use oleandertiller_model::{
    Action, Intent, ServiceName, VersionName,
    intent::{Rollout, RolloutPhase},
};

use crate::statement::Command;

/// What a command is read against.
#[derive(Clone, Copy, Debug)]
pub struct ActionContext<'a> {
    /// Intent in force.
    pub intent: &'a Intent,
    /// Version that the service's upstreams announce, for a service without a past rollout.
    pub announced: Option<&'a VersionName>,
    /// Present time.
    pub now: SystemTime,
}

/// Why a command makes no change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionError {
    /// The service is not in the intent.
    UnknownService(ServiceName),
    /// Nothing says which version carries the service's traffic now.
    UnknownVersion(ServiceName),
    /// The version carries the traffic already.
    SameVersion(VersionName),
    /// The time has passed, or is too far away to be represented.
    BadTime,
}

impl fmt::Display for ActionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(service) => write!(f, "no service `{service}` is configured"),
            Self::UnknownVersion(service) => {
                write!(f, "no upstream of `{service}` has announced its version")
            }
            Self::SameVersion(version) => write!(f, "`{version}` carries the traffic already"),
            Self::BadTime => write!(f, "the time has passed or is too far away"),
        }
    }
}

impl std::error::Error for ActionError {}

impl Command {
    /// Returns the change that the command asks for.
    ///
    /// # Errors
    ///
    /// Returns [`ActionError`] when a rollout is not possible.
    pub fn action(&self, cx: ActionContext<'_>) -> Result<Action, ActionError> {
        Ok(match self {
            Self::Zone(zone, intent) => Action::SetZone(zone.clone(), *intent),
            Self::CancelRollout(service) => Action::CancelRollout { service: service.clone() },
            Self::BudgetMeasuring(ppm) => Action::SetMeasuring(*ppm),
            Self::PutService(service) => Action::PutService(service.clone()),
            Self::Rollout { service, to, due } => {
                let deadline = due.resolve(cx.now).filter(|deadline| *deadline > cx.now);
                let deadline = deadline.ok_or(ActionError::BadTime)?;
                let from = present_version(service, cx)?;
                if from == *to {
                    return Err(ActionError::SameVersion(from));
                }
                Action::StartRollout { service: service.clone(), to: to.clone(), from, deadline }
            }
        })
    }
}

/// Returns the version that carries traffic: what the latest rollout left, else what is announced.
fn present_version(
    service: &ServiceName,
    cx: ActionContext<'_>,
) -> Result<VersionName, ActionError> {
    if !cx.intent.services.contains_key(service) {
        return Err(ActionError::UnknownService(service.clone()));
    }
    let left = cx.intent.rollouts.get(service).map(version_left);
    let present = left.or(cx.announced);
    present.cloned().ok_or_else(|| ActionError::UnknownVersion(service.clone()))
}

fn version_left(rollout: &Rollout) -> &VersionName {
    match rollout.phase {
        RolloutPhase::Completed => &rollout.to,
        _ => &rollout.from,
    }
}
