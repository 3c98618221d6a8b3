//! Conversion of commands to changes of the intent.

use std::{fmt, time::SystemTime};

use oleandertiller_model::{
    Action, Intent, ServiceName, VersionName,
    intent::{Rollout, RolloutPhase},
};

use crate::statement::Command;

/// State from which a command's change is derived.
#[derive(Clone, Copy, Debug)]
pub struct ActionContext<'a> {
    /// Intent in force.
    pub intent: &'a Intent,
    /// Version that the service's upstreams announce, for a service without a past rollout.
    pub announced: Option<&'a VersionName>,
    /// Current time.
    pub now: SystemTime,
}

/// Why a command cannot be converted to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionError {
    /// The service is not in the intent.
    UnknownService(ServiceName),
    /// The version that carries the service's traffic is not known.
    UnknownVersion(ServiceName),
    /// The version already carries the traffic.
    SameVersion(VersionName),
    /// The deadline has passed, or is too far in the future to be represented.
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
    /// Returns [`ActionError`] when the command is a rollout that cannot be started.
    pub fn action(&self, cx: ActionContext<'_>) -> Result<Action, ActionError> {
        Ok(match self {
            Self::Zone(zone, intent) => Action::SetZone(zone.clone(), *intent),
            Self::CancelRollout(service) => Action::CancelRollout { service: service.clone() },
            Self::BudgetMeasuring(ppm) => Action::SetMeasuring(*ppm),
            Self::PutService(service) => Action::PutService(service.clone()),
            Self::Rollout { service, to, due } => {
                let deadline = due.resolve(cx.now).filter(|deadline| *deadline > cx.now);
                let deadline = deadline.ok_or(ActionError::BadTime)?;
                let from = current_version(service, cx)?;
                if from == *to {
                    return Err(ActionError::SameVersion(from));
                }
                Action::StartRollout { service: service.clone(), to: to.clone(), from, deadline }
            }
        })
    }
}

/// Returns the version that carries traffic: the one in place after the latest rollout, else the
/// announced one.
fn current_version(
    service: &ServiceName,
    cx: ActionContext<'_>,
) -> Result<VersionName, ActionError> {
    if !cx.intent.services.contains_key(service) {
        return Err(ActionError::UnknownService(service.clone()));
    }
    let after_rollout = cx.intent.rollouts.get(service).map(version_after_rollout);
    let current = after_rollout.or(cx.announced);
    current.cloned().ok_or_else(|| ActionError::UnknownVersion(service.clone()))
}

/// Returns the version that carries traffic once the rollout has ended, or its old version while it
/// is in progress.
fn version_after_rollout(rollout: &Rollout) -> &VersionName {
    match rollout.phase {
        RolloutPhase::Completed => &rollout.to,
        _ => &rollout.from,
    }
}
