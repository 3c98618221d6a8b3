//! The store that holds the intent, and the service's nodes that can control the rollout.

use std::time::{Duration, Instant, SystemTime};

use oleandertiller_model::{
    Action, Change, Intent, KindSpec, NodeName, Revision, ServiceName, ServiceSpec,
    intent::{Rollout, RolloutPhase},
};
use oleandertiller_rollout::{
    Controller, ControllerConfig, Proposal, Report, ServiceLoad, VetoNotice,
    controller::ProposalResult,
};
use uuid::Uuid;

use super::{fault::ControlFault, servers::KINDS};

/// Returns the wall-clock time at the second `at` of a scenario.
pub fn wall(at: f64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs_f64(1_800_000_000.0 + at)
}

pub fn service() -> ServiceSpec {
    let kinds = KINDS.iter().map(|(name, _, _)| KindSpec::new(*name)).collect();
    ServiceSpec::new("kettle", kinds)
}

/// Store of one intent, which changes by compare-and-swap.
pub struct Store {
    pub intent: Intent,
    pub down: bool,
}

impl Store {
    pub fn new(deadline: f64) -> Self {
        let mut store = Self { intent: Intent::default(), down: false };
        assert!(store.write(Action::PutService(service()), 0.0));
        assert!(store.write(start("v2", deadline), 0.0));
        store
    }

    pub fn rollout(&self) -> &Rollout {
        &self.intent.rollouts["kettle"]
    }

    pub fn write(&mut self, action: Action, at: f64) -> bool {
        let revision = self.intent.revision.next();
        let operation = Uuid::from_u128(u128::from(revision.0));
        let change = Change { revision, operation, author: "test".into(), at: wall(at), action };
        self.intent.apply(&change).is_ok()
    }

    fn propose(&mut self, proposed: Proposal, at: f64) -> ProposalResult {
        if self.rollout().fence != proposed.seen_fence {
            return ProposalResult::Refused;
        }
        match self.write(proposed.action, at) {
            true => ProposalResult::Accepted,
            false => ProposalResult::Refused,
        }
    }
}

pub fn start(to: &str, deadline: f64) -> Action {
    let service = ServiceName::new("kettle");
    Action::StartRollout { service, to: to.into(), from: "v1".into(), deadline: wall(deadline) }
}

/// A node of the service.
pub struct Node {
    pub controller: Controller,
    name: NodeName,
    view: Option<(Rollout, Instant)>,
    /// A write that a pause delays.
    delayed: Option<Proposal>,
    pub control_fault: Option<(ControlFault, f64)>,
}

impl Node {
    pub fn new(index: usize, now: Instant) -> Self {
        let name = NodeName::new(format!("node-{index}"));
        let cfg = ControllerConfig::default();
        let controller = Controller::new(cfg, name.clone(), service(), now);
        Self { controller, name, view: None, delayed: None, control_fault: None }
    }

    fn has_fault(&self, control_fault: ControlFault) -> bool {
        self.control_fault.is_some_and(|(present, _)| present == control_fault)
    }

    pub fn is_running(&self) -> bool {
        !self.has_fault(ControlFault::Killed) && !self.has_fault(ControlFault::Paused)
    }

    pub fn is_reachable(&self) -> bool {
        self.is_running() && !self.has_fault(ControlFault::CutOff)
    }

    pub fn is_named(&self, rollout: &Rollout) -> bool {
        rollout.controller.as_ref() == Some(&self.name)
    }

    /// Runs one step. A node that resumes from a pause first acts on its stale view.
    pub fn step(&mut self, store: &mut Store, load: ServiceLoad, now: Instant, at: f64) {
        let over =
            self.control_fault.is_some_and(|(what, end)| what != ControlFault::Killed && at >= end);
        if !self.is_running() && !over {
            return;
        }
        if over {
            self.control_fault = None;
            if let Some(delayed) = self.delayed.take() {
                store.propose(delayed, at);
            }
            let resumed = self.controller.tick(load, now, wall(at));
            self.submit(resumed, store, at);
        }
        if self.is_reachable() && !store.down {
            self.view = Some((store.rollout().clone(), now));
        }
        if let Some((rollout, confirmed)) = &self.view {
            self.controller.on_rollout(Some(rollout), *confirmed, now);
        }
        let proposed = self.controller.tick(load, now, wall(at));
        self.submit(proposed, store, at);
    }

    /// Begins a control fault. A write decided just before a pause reaches the store after it.
    pub fn inject(
        &mut self,
        control_fault: ControlFault,
        end: f64,
        load: ServiceLoad,
        now: Instant,
        at: f64,
    ) {
        if control_fault == ControlFault::Paused {
            self.delayed = self.controller.tick(load, now, wall(at));
        }
        self.control_fault = Some((control_fault, end));
    }

    fn submit(&mut self, proposed: Option<Proposal>, store: &mut Store, at: f64) {
        let Some(proposed) = proposed else { return };
        let reached = self.is_reachable() && !store.down;
        let result = if reached { store.propose(proposed, at) } else { ProposalResult::Unknown };
        self.controller.on_result(result);
    }

    pub fn receive_heartbeat(&mut self, fence: Revision, now: Instant) {
        if self.is_reachable() {
            self.controller.on_heartbeat(fence, now);
        }
    }

    pub fn report(&mut self, report: &Report, now: Instant) -> Option<VetoNotice> {
        if !self.is_reachable() {
            return None;
        }
        self.controller.on_report(report, now);
        self.controller.finding()
    }
}

/// Returns the index of the rollout's present step.
pub fn step_index(rollout: &Rollout) -> usize {
    match (rollout.phase, rollout.share_ppm) {
        (RolloutPhase::Holding, _) => 7,
        (_, 0) => 0,
        (_, ..=10_000) => 1,
        (_, ..=50_000) => 2,
        (_, ..=100_000) => 3,
        (_, ..=200_000) => 4,
        (_, ..=400_000) => 5,
        _ => 6,
    }
}
