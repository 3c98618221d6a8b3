//! The versions of a service that may receive requests.

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

/// Time after the first choice of a service's serving version during which each change of the
/// owners leads to a new choice: one round of anti-entropy, after which a newly started node knows
/// the fleet.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The version that serves while no rollout is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingVersion {
    /// Version that receives all requests.
    pub version: VersionName,
    /// When a version was first chosen for the service.
    since: Instant,
}

/// Versions that may receive requests of a service.
#[derive(Clone)]
pub enum AdmittedVersions {
    /// No version is known.
    Nothing,
    /// One version, while no rollout is under way.
    One(ServingVersion),
    /// Two versions, between which the rollout under way splits the traffic.
    Split(Arc<RolloutMonitor>, Rollout),
}

impl AdmittedVersions {
    /// Returns the versions admitted as of `view`, given the versions admitted before.
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
        choose_serving(owners, rollout, serving, now).map_or(Self::Nothing, Self::One)
    }

    /// Returns whether the version may receive requests.
    pub fn admits(&self, version: &VersionName) -> bool {
        match self {
            Self::Nothing => false,
            Self::One(serving) => serving.version == *version,
            Self::Split(_, rollout) => rollout.from == *version || rollout.to == *version,
        }
    }

    /// Returns the monitor of the rollout under way.
    pub fn monitor(&self) -> Option<&Arc<RolloutMonitor>> {
        match self {
            Self::Split(monitor, _) => Some(monitor),
            _ => None,
        }
    }

    /// Returns the version for a request; `None` when no version is known or, during a rollout,
    /// neither version has a candidate. `draw` is a uniformly distributed random number.
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

/// Chooses the serving version: the version that the last rollout left in place; without one, or
/// when its servers are gone, the version chosen before; otherwise the one with the most servers.
fn choose_serving(
    owners: &[OwnerInfo],
    rollout: Option<&Rollout>,
    serving: Option<&ServingVersion>,
    now: Instant,
) -> Option<ServingVersion> {
    let since = serving.map_or(now, |serving| serving.since);
    let settled = serving.filter(|serving| now - serving.since >= SETTLE_TIME);
    let mut preferred =
        rollout.map(remaining_version).into_iter().chain(settled.map(|serving| &serving.version));
    let version = match preferred.find(|version| has_server(owners, version)) {
        Some(version) => version.clone(),
        None => most_common(owners, rollout.and_then(rolled_back_version))?.clone(),
    };
    Some(ServingVersion { version, since })
}

fn remaining_version(rollout: &Rollout) -> &VersionName {
    if rollout.phase == RolloutPhase::Completed { &rollout.to } else { &rollout.from }
}

/// Returns the version that was rolled back, which only a new rollout admits.
fn rolled_back_version(rollout: &Rollout) -> Option<&VersionName> {
    (rollout.phase == RolloutPhase::RolledBack).then_some(&rollout.to)
}

/// Returns whether the version has a server that isn't draining. An unreachable server counts,
/// since its version must not be replaced by an unproven one in the meantime.
fn has_server(owners: &[OwnerInfo], version: &VersionName) -> bool {
    owners.iter().any(|o| o.version == *version && o.lifecycle != Lifecycle::Draining)
}

/// Returns the version with the most servers that accept work; of equal ones, the one whose node
/// started first.
fn most_common<'a>(
    owners: &'a [OwnerInfo],
    rolled_back: Option<&VersionName>,
) -> Option<&'a VersionName> {
    let open =
        |owner: &&OwnerInfo| owner.lifecycle.accepts_work() && Some(&owner.version) != rolled_back;
    let rank = |owner: &&OwnerInfo| {
        let same = owners.iter().filter(open).filter(|other| other.version == owner.version);
        (same.count(), std::cmp::Reverse(owner.incarnation))
    };
    owners.iter().filter(open).max_by_key(rank).map(|owner| &owner.version)
}
