//! Which versions of a service may receive requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{
    Lifecycle, NodeName, ServiceSpec, VersionName,
    intent::{Rollout, RolloutPhase},
};
use oleandertiller_routing::selection::Selector;

use super::monitor::RolloutMonitor;
use crate::node::view::{OwnerInfo, View};

/// Time after the first look at a service's owners in which the serving version is still chosen
/// anew: one round of anti-entropy, after which a newly started node knows the fleet.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The version that serves while no rollout is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingVersion {
    /// The version.
    pub version: VersionName,
    /// When a version was first chosen for the service.
    since: Instant,
}

/// Versions that may receive requests of a service.
#[derive(Clone)]
pub enum AdmittedVersions {
    /// None is known.
    Nothing,
    /// Only this one.
    One(ServingVersion),
    /// Two, as the rollout under way divides the traffic.
    Split(Arc<RolloutMonitor>, Rollout),
}

impl AdmittedVersions {
    /// Returns the admission as of `view`, which follows on `old`.
    pub fn of(spec: &ServiceSpec, view: &View, old: Option<&Self>, now: Instant) -> Self {
        let owners = view.owners.get(&spec.name).map_or(&[][..], |owners| &owners[..]);
        let rollout = view.intent.rollouts.get(&spec.name);
        if let Some(rollout) = rollout.filter(|rollout| !rollout.phase.is_final()) {
            let known = old.and_then(Self::monitor).filter(|monitor| monitor.belongs_to(rollout));
            let monitor =
                known.cloned().unwrap_or_else(|| Arc::new(RolloutMonitor::new(rollout, spec)));
            monitor.set_owners(owners);
            return Self::Split(monitor, rollout.clone());
        }
        let serving = match old {
            Some(Self::One(serving)) => Some(serving),
            _ => None,
        };
        serve(owners, rollout, serving, now).map_or(Self::Nothing, Self::One)
    }

    /// Returns whether the version may receive requests.
    pub fn admits(&self, version: &VersionName) -> bool {
        match self {
            Self::Nothing => false,
            Self::One(serving) => serving.version == *version,
            Self::Split(_, rollout) => rollout.from == *version || rollout.to == *version,
        }
    }

    /// Returns the monitor over the rollout under way.
    pub fn monitor(&self) -> Option<&Arc<RolloutMonitor>> {
        match self {
            Self::Split(monitor, _) => Some(monitor),
            _ => None,
        }
    }

    /// Returns the version for a request; `draw` is uniformly distributed.
    pub fn pick(&self, selector: &Selector, tried: &[NodeName], draw: u64) -> Option<&VersionName> {
        match self {
            Self::Nothing => None,
            Self::One(serving) => Some(&serving.version),
            Self::Split(monitor, rollout) => monitor.pick(rollout, selector, tried, draw),
        }
    }

    /// Returns the version that serves while no rollout is under way.
    pub fn serving(&self) -> Option<&VersionName> {
        match self {
            Self::Nothing => None,
            Self::One(serving) => Some(&serving.version),
            Self::Split(_, rollout) => Some(&rollout.from),
        }
    }
}

/// Chooses the serving version: the one that the last rollout left; without one, or once all its
/// servers are gone, the one chosen before, and at first the one with the most servers.
fn serve(
    owners: &[OwnerInfo],
    rollout: Option<&Rollout>,
    serving: Option<&ServingVersion>,
    now: Instant,
) -> Option<ServingVersion> {
    let since = serving.map_or(now, |serving| serving.since);
    let settled = serving.filter(|serving| now - serving.since >= SETTLE_TIME);
    let mut kept = rollout.map(left_by).into_iter().chain(settled.map(|serving| &serving.version));
    let version = match kept.find(|version| remains(owners, version)) {
        Some(version) => version.clone(),
        None => most_common(owners, rollout.and_then(refused_by))?.clone(),
    };
    Some(ServingVersion { version, since })
}

fn left_by(rollout: &Rollout) -> &VersionName {
    if rollout.phase == RolloutPhase::Completed { &rollout.to } else { &rollout.from }
}

/// Returns the version that was taken back, which only another rollout admits.
fn refused_by(rollout: &Rollout) -> Option<&VersionName> {
    (rollout.phase == RolloutPhase::TakenBack).then_some(&rollout.to)
}

/// Returns whether a server of the version is left that is not about to leave. One that cannot be
/// reached counts, since its version must not lose its place to an unproved one meanwhile.
fn remains(owners: &[OwnerInfo], version: &VersionName) -> bool {
    owners.iter().any(|o| o.version == *version && o.lifecycle != Lifecycle::Draining)
}

/// Returns the version with the most servers that take work; of equal ones, the one whose node
/// started first.
fn most_common<'a>(
    owners: &'a [OwnerInfo],
    refused: Option<&VersionName>,
) -> Option<&'a VersionName> {
    let open =
        |owner: &&OwnerInfo| owner.lifecycle.accepts_work() && Some(&owner.version) != refused;
    let rank = |owner: &&OwnerInfo| {
        let same = owners.iter().filter(open).filter(|other| other.version == owner.version);
        (same.count(), std::cmp::Reverse(owner.incarnation))
    };
    owners.iter().filter(open).max_by_key(rank).map(|owner| &owner.version)
}
