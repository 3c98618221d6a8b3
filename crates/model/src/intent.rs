//! The intent: one document with the operators' configuration and the state agreed by the fleet.

pub mod keeper;

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
    time::SystemTime,
};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    kind::ServiceSpec,
    name::{NodeName, ServiceName, VersionName, ZoneName},
};

pub use keeper::{Keeper, KeeperSet, LostKeeper};

/// Number of past operations kept in the document, so that a command whose answer was lost can be
/// looked up.
pub const MAX_RECENT_OPERATIONS: usize = 1_024;

/// Default budget for measuring: probes as a share of calls, in parts per million. 10,000 is 1%.
pub const DEFAULT_MEASURING_PPM: u32 = 10_000;

/// Version of the intent; it grows by one with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// Whether operators want a zone to take traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneIntent {
    /// In service.
    In,
    /// Out of service: takes no new requests.
    Out,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// The new version's share of traffic is being raised step by step.
    Advancing,
    /// The new version has all traffic and is still being evaluated.
    Holding,
    /// Ended with all traffic on the new version.
    Completed,
    /// Ended with all traffic back on the old version.
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns whether `share_ppm` is a valid traffic share of the new version in this phase.
    pub fn allows_share(self, share_ppm: u32) -> bool {
        match self {
            Self::Advancing => share_ppm < PPM,
            Self::Holding | Self::Completed => share_ppm == PPM,
            Self::RolledBack => share_ppm == 0,
        }
    }
}

/// State of one rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rollout {
    /// Version that carried traffic before.
    pub from: VersionName,
    /// Version that is to carry traffic.
    pub to: VersionName,
    /// Time of the command that started it.
    pub started: SystemTime,
    /// Time by which it must be completed.
    pub deadline: SystemTime,
    /// Current phase; a final one does not change any more.
    pub phase: RolloutPhase,
    /// Share of traffic of the new version, in parts per million.
    pub share_ppm: u32,
    /// Node that drives the rollout.
    pub controller: Option<NodeName>,
    /// Fencing token: the revision that made `controller` the controller.
    pub fence: Revision,
    /// Why the current phase was entered, in one sentence.
    pub reason: Arc<str>,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Takes a zone in or out of service.
    SetZone(ZoneName, ZoneIntent),
    /// Adds or replaces a service.
    PutService(ServiceSpec),
    /// Sets the budget for measuring: probes as a share of calls, in parts per million.
    SetMeasuring(u32),
    /// Starts a rollout; rejected while the service has one in progress.
    StartRollout {
        /// Service whose version changes.
        service: ServiceName,
        /// Version that is to carry traffic.
        to: VersionName,
        /// Version that carries traffic now.
        from: VersionName,
        /// Time by which it must be completed.
        deadline: SystemTime,
    },
    /// Makes `node` the controller of the service's rollout and sets a new fencing token.
    TakeRollout {
        /// Service whose rollout is taken over.
        service: ServiceName,
        /// New controller.
        node: NodeName,
    },
    /// Sets a rollout's phase and share; rejected when `fence` is not the rollout's fencing token.
    StepRollout {
        /// Service whose rollout changes.
        service: ServiceName,
        /// Fencing token of the controller.
        fence: Revision,
        /// New phase.
        phase: RolloutPhase,
        /// New share in parts per million.
        share_ppm: u32,
        /// Why the step is taken, in one sentence.
        reason: Arc<str>,
    },
    /// Rolls a rollout back on an operator's command.
    CancelRollout {
        /// Service whose rollout is cancelled.
        service: ServiceName,
    },
    /// Adds a keeper; an earlier incarnation of the same node is declared lost.
    PutKeeper(ServiceName, Keeper),
    /// Makes a member a leaving keeper, which takes no new keys but keeps its entries until the
    /// other keepers have taken them over.
    LeaveKeeper(ServiceName, Keeper),
    /// Removes a leaving keeper once every member has taken over its share of the entries.
    FinishLeave(ServiceName, Keeper),
    /// Declares a keeper lost after its process has ended, whether it is a member or leaving.
    LoseKeeper {
        /// Service of the keeper.
        service: ServiceName,
        /// Keeper whose process has ended.
        keeper: Keeper,
        /// Latest time at which it can have run a request.
        at: SystemTime,
    },
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Revision that the change creates.
    pub revision: Revision,
    /// Id with which a client looks up a command whose answer was lost.
    pub operation: Uuid,
    /// Author of the command.
    pub author: Arc<str>,
    /// When the command was given.
    pub at: SystemTime,
    /// What the change does.
    pub action: Action,
}

/// Why a change was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeError {
    /// The change's revision is not one above the document's.
    WrongRevision,
    /// The zone, service or rollout named does not exist.
    NotFound,
    /// A rollout of the service is still in progress.
    RolloutUnderWay,
    /// The rollout has ended.
    RolloutEnded,
    /// The fencing token is not the rollout's current one.
    StaleFence,
    /// The keeper has another incarnation.
    OtherIncarnation,
    /// A value is out of its range.
    OutOfRange,
}

/// The intent document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Intent {
    /// Version of the document.
    pub revision: Revision,
    /// Zones that operators have named; any other zone is in service.
    pub zones: BTreeMap<ZoneName, ZoneIntent>,
    /// Services and their kinds.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Budget for measuring, in parts per million of the calls; `None` means the default.
    pub measuring_ppm: Option<u32>,
    /// Latest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// Nodes that keep the ledger of each service's idempotency keys.
    pub keepers: BTreeMap<ServiceName, KeeperSet>,
    /// Ids of the latest operations, oldest first.
    pub recent: VecDeque<(Uuid, Revision)>,
}

/// A share of 100%, in parts per million.
pub const PPM: u32 = 1_000_000;

impl Intent {
    /// Returns whether the zone takes new requests.
    pub fn zone_in_service(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone) != Some(&ZoneIntent::Out)
    }

    /// Returns the budget for measuring, in parts per million of the calls.
    pub fn measuring_ppm(&self) -> u32 {
        self.measuring_ppm.unwrap_or(DEFAULT_MEASURING_PPM)
    }

    /// Returns the revision that the operation created, if it is among the kept operations.
    pub fn revision_of(&self, operation: Uuid) -> Option<Revision> {
        self.recent.iter().rev().find(|(id, _)| *id == operation).map(|(_, revision)| *revision)
    }

    /// Applies the next change.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError`] and leaves the document unchanged when the change does not apply to
    /// it.
    pub fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        if change.revision != self.revision.next() {
            return Err(ChangeError::WrongRevision);
        }
        self.apply_action(change)?;
        self.revision = change.revision;
        self.recent.push_back((change.operation, change.revision));
        while self.recent.len() > MAX_RECENT_OPERATIONS {
            self.recent.pop_front();
        }
        Ok(())
    }

    fn apply_action(&mut self, change: &Change) -> Result<(), ChangeError> {
        match &change.action {
            Action::SetZone(zone, intent) => {
                self.zones.insert(zone.clone(), *intent);
            }
            Action::PutService(service) => {
                self.services.insert(service.name.clone(), service.clone());
            }
            Action::SetMeasuring(ppm) if *ppm > PPM => return Err(ChangeError::OutOfRange),
            Action::SetMeasuring(ppm) => self.measuring_ppm = Some(*ppm),
            Action::StartRollout { service, to, from, deadline } => {
                self.start_rollout(change, service, from, to, *deadline)?;
            }
            Action::TakeRollout { service, node } => {
                let rollout = self.unfinished_rollout(service)?;
                rollout.controller = Some(node.clone());
                rollout.fence = change.revision;
            }
            Action::StepRollout { service, fence, phase, share_ppm, reason } => {
                let rollout = self.unfinished_rollout(service)?;
                if rollout.fence != *fence {
                    return Err(ChangeError::StaleFence);
                }
                if !phase.allows_share(*share_ppm) {
                    return Err(ChangeError::OutOfRange);
                }
                rollout.phase = *phase;
                rollout.share_ppm = *share_ppm;
                rollout.reason = reason.clone();
            }
            Action::CancelRollout { service } => {
                let rollout = self.unfinished_rollout(service)?;
                rollout.phase = RolloutPhase::RolledBack;
                rollout.share_ppm = 0;
                rollout.reason = "cancelled by an operator".into();
            }
            Action::PutKeeper(service, keeper) => {
                self.keepers.entry(service.clone()).or_default().put(keeper, change.at);
            }
            Action::LeaveKeeper(service, keeper) => self.keeper_set(service)?.leave(keeper)?,
            Action::FinishLeave(service, keeper) => {
                self.keeper_set(service)?.finish_leave(keeper)?;
            }
            Action::LoseKeeper { service, keeper, at } => {
                self.keeper_set(service)?.lose(keeper, *at)?;
            }
        }
        Ok(())
    }

    fn start_rollout(
        &mut self,
        change: &Change,
        service: &ServiceName,
        from: &VersionName,
        to: &VersionName,
        deadline: SystemTime,
    ) -> Result<(), ChangeError> {
        if !self.services.contains_key(service) {
            return Err(ChangeError::NotFound);
        }
        if self.rollouts.get(service).is_some_and(|rollout| !rollout.phase.is_final()) {
            return Err(ChangeError::RolloutUnderWay);
        }
        let rollout = Rollout {
            from: from.clone(),
            to: to.clone(),
            started: change.at,
            deadline,
            phase: RolloutPhase::Advancing,
            share_ppm: 0,
            controller: None,
            fence: change.revision,
            reason: "started".into(),
        };
        self.rollouts.insert(service.clone(), rollout);
        Ok(())
    }

    fn unfinished_rollout(&mut self, service: &ServiceName) -> Result<&mut Rollout, ChangeError> {
        let rollout = self.rollouts.get_mut(service).ok_or(ChangeError::NotFound)?;
        if rollout.phase.is_final() {
            return Err(ChangeError::RolloutEnded);
        }
        Ok(rollout)
    }

    fn keeper_set(&mut self, service: &ServiceName) -> Result<&mut KeeperSet, ChangeError> {
        self.keepers.get_mut(service).ok_or(ChangeError::NotFound)
    }
}
