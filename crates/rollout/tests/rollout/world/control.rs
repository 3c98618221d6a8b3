//! The store with the intent, and the service's nodes that can control the rollout.

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

use super::{fault::Trouble, servers::KINDS};

pub fn wall(at: f64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs_f64(1_800_000_000.0 + at)
}

pub fn service() -> ServiceSpec {
    let kinds = KINDS.iter().map(|(name, _, _)| KindSpec::new(*name)).collect();
    ServiceSpec::new("kettle", kinds)
}

/// The store: one document, changed by compare-and-swap.
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
    /// A write that a pause holds back.
    held: Option<Proposal>,
    pub trouble: Option<(Trouble, f64)>,
}

impl Node {
    pub fn new(index: usize, now: Instant) -> Self {
        let name = NodeName::new(format!("node-{index}"));
        let cfg = ControllerConfig::default();
        let controller = Controller::new(cfg, name.clone(), service(), now);
        Self { controller, name, view: None, held: None, trouble: None }
    }

    fn troubled(&self, trouble: Trouble) -> bool {
        self.trouble.is_some_and(|(present, _)| present == trouble)
    }

    pub fn runs(&self) -> bool {
        !self.troubled(Trouble::Killed) && !self.troubled(Trouble::Paused)
    }

    pub fn is_reachable(&self) -> bool {
        self.runs() && !self.troubled(Trouble::CutOff)
    }

    pub fn is_named(&self, rollout: &Rollout) -> bool {
        rollout.controller.as_ref() == Some(&self.name)
    }

    /// Runs one step, with the stale view first when the node resumes from a pause.
    pub fn step(&mut self, store: &mut Store, facts: ServiceLoad, now: Instant, at: f64) {
        let over = self.trouble.is_some_and(|(what, end)| what != Trouble::Killed && at >= end);
        if !self.runs() && !over {
            return;
        }
        if over {
            self.trouble = None;
            if let Some(held) = self.held.take() {
                store.propose(held, at);
            }
            let resumed = self.controller.tick(facts, now, wall(at));
            self.send(resumed, store, at);
        }
        if self.is_reachable() && !store.down {
            self.view = Some((store.rollout().clone(), now));
        }
        if let Some((rollout, confirmed)) = &self.view {
            self.controller.on_rollout(Some(rollout), *confirmed, now);
        }
        let proposed = self.controller.tick(facts, now, wall(at));
        self.send(proposed, store, at);
    }

    /// Begins a trouble; a write that was decided just before reaches the store after a pause.
    pub fn afflict(
        &mut self,
        trouble: Trouble,
        end: f64,
        facts: ServiceLoad,
        now: Instant,
        at: f64,
    ) {
        if trouble == Trouble::Paused {
            self.held = self.controller.tick(facts, now, wall(at));
        }
        self.trouble = Some((trouble, end));
    }

    fn send(&mut self, proposed: Option<Proposal>, store: &mut Store, at: f64) {
        let Some(proposed) = proposed else { return };
        let reached = self.is_reachable() && !store.down;
        let result = if reached { store.propose(proposed, at) } else { ProposalResult::Unknown };
        self.controller.on_result(result);
    }

    pub fn hear(&mut self, fence: Revision, now: Instant) {
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

/// Returns the step of the ladder that a rollout stands on.
pub fn ladder(rollout: &Rollout) -> usize {
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
