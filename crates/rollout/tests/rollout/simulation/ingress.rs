//! An ingress node with its view of the rollout, its veto and its evidence.

use oleandertiller_model::{NodeName, intent::Rollout};
use oleandertiller_rollout::{
    Arm, Attempt, Availability, Choice, Report, ServerId, Tally, Veto, split,
};
use rand::{Rng, rngs::StdRng};

use super::control::service;

/// One ingress node.
pub struct Ingress {
    pub name: NodeName,
    /// Seconds until it adopts a new revision.
    pub delay: f64,
    pub veto: Veto,
    pub rollout: Rollout,
    /// Revisions that it has yet to adopt, with the second at which it does.
    pending: Vec<(f64, Rollout)>,
    tally: Tally,
    sequence: u64,
}

impl Ingress {
    pub fn new(index: usize, rollout: &Rollout, rng: &mut StdRng) -> Self {
        Self {
            name: NodeName::new(format!("ingress-{index}")),
            delay: rng.random_range(0.1..1.0),
            veto: Veto::new(rollout, &service()),
            rollout: rollout.clone(),
            pending: Vec::new(),
            tally: Tally::default(),
            sequence: 0,
        }
    }

    pub fn announce(&mut self, rollout: &Rollout, at: f64) {
        self.pending.push((at + self.delay, rollout.clone()));
    }

    pub fn apply_pending(&mut self, at: f64) {
        while self.pending.first().is_some_and(|(due, _)| *due <= at) {
            self.rollout = self.pending.remove(0).1;
            if !self.veto.belongs_to(&self.rollout) {
                self.veto = Veto::new(&self.rollout, &service());
            }
        }
    }

    pub fn pick(&self, availability: Availability, rng: &mut StdRng) -> Choice {
        split::pick(&self.rollout, self.veto.is_in_force(), availability, rng.random())
    }

    pub fn observe(&mut self, server: ServerId, arm: Arm, kind: u8, attempt: Attempt, new: usize) {
        self.tally.record(server, arm, kind, attempt);
        self.veto.observe(server, arm, kind, attempt, new);
    }

    pub fn report(&mut self) -> Report {
        self.sequence += 1;
        let tally = std::mem::take(&mut self.tally);
        self.veto.close_window(&tally);
        let mut report = tally.report("kettle".into(), self.name.clone(), self.sequence);
        report.veto = self.veto.notice().cloned();
        report
    }
}
