//! Which node drives a rollout, and what it proposes.
//!
//! Any node of the service runs a [`Controller`]. One that has not heard the present controller for
//! a while proposes to take the rollout over; the revision that accepts this is its fencing token.
//! It proposes steps only while its lease is valid: while the newest intent that was confirmed by
//! the store less than [`ControllerConfig::lease`] ago names it and its token.

mod decision;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use oleandertiller_model::{Action, NodeName, Revision, ServiceName, ServiceSpec, intent::Rollout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    evidence::{Report, Tally, WINDOW},
    judge::{Judge, JudgeConfig, Verdict},
    veto::VetoNotice,
};

use decision::{Decision, Situation};

/// Times and limits of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControllerConfig {
    /// How long a confirmation of the intent entitles the controller to act.
    pub lease: Duration,
    /// How long a controller is not heard before another takes over; longer than the lease.
    pub takeover_after: Duration,
    /// How long the new version has all traffic before the rollout completes; at most a quarter of
    /// the time between start and deadline is used, and half of it is enough at the deadline.
    pub hold: Duration,
    /// Shortest time between two steps.
    pub step_interval_min: Duration,
    /// Longest time between two steps.
    pub step_interval_max: Duration,
    /// How long a proposal may remain unanswered before the controller decides anew.
    pub retry_after: Duration,
    /// Part of the new servers' limits that may be used.
    pub utilization_max: f64,
    /// Error rates of the judgement.
    pub judge: JudgeConfig,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            takeover_after: Duration::from_secs(5),
            hold: Duration::from_secs(60),
            step_interval_min: Duration::from_secs(10),
            step_interval_max: Duration::from_secs(120),
            retry_after: Duration::from_secs(2),
            utilization_max: 0.8,
            judge: JudgeConfig::default(),
        }
    }
}

/// What the node knows of the service's load, from load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Sum of the present limits of the new version's servers that take requests.
    pub new_limit: f64,
    /// Mean number of requests in flight at all servers of both versions.
    pub in_flight: f64,
}

/// A change that the node is to bring into the intent by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The change.
    pub action: Action,
    /// Fencing token of the rollout on which the change was decided. When the document has another
    /// one by the time of the write, the change must be dropped and not be re-evaluated.
    pub seen_fence: Revision,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// In the document.
    Accepted,
    /// Not in the document and never will be.
    Refused,
    /// Not known: the store is down or its answer was lost.
    Unknown,
}

#[derive(Clone, Debug)]
struct View {
    rollout: Rollout,
    confirmed: Instant,
    /// When the phase or share was first seen.
    since: Instant,
}

#[derive(Clone, Debug)]
struct Lead {
    fence: Revision,
    judge: Judge,
    window: Tally,
    window_end: Instant,
    callers: BTreeMap<NodeName, Caller>,
}

#[derive(Clone, Debug)]
struct Caller {
    sequence: u64,
    heard: Instant,
    vetoed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Take,
    Step,
}

/// Drives the rollouts of one service from one node.
#[derive(Clone, Debug)]
pub struct Controller {
    cfg: ControllerConfig,
    node: NodeName,
    service: ServiceSpec,
    view: Option<View>,
    heard: Instant,
    lead: Option<Lead>,
    sent: Option<(Sent, Instant)>,
    /// Fencing token seen when this process proposed to take over.
    taking: Option<Revision>,
}

impl Controller {
    /// Creates a controller that drives nothing.
    pub fn new(cfg: ControllerConfig, node: NodeName, service: ServiceSpec, now: Instant) -> Self {
        let (view, lead, sent, taking) = (None, None, None, None);
        Self { cfg, node, service, view, heard: now, lead, sent, taking }
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.service.name
    }

    /// Takes the service's rollout in the intent in force, which the store confirmed at `confirmed`.
    ///
    /// To be called at each new revision and at each new confirmation.
    pub fn on_rollout(&mut self, rollout: Option<&Rollout>, confirmed: Instant, now: Instant) {
        let Some(rollout) = rollout else {
            self.view = None;
            self.lead = None;
            return;
        };
        let old = self.view.take();
        if old.as_ref().is_none_or(|old| old.rollout.fence != rollout.fence) {
            self.heard = now;
            self.on_fence(rollout, now);
        }
        let same = |old: &View| {
            let (a, b) = (&old.rollout, rollout);
            a.phase == b.phase && a.share_ppm == b.share_ppm && a.started == b.started
        };
        let unchanged = old.as_ref().filter(|old| same(old));
        let since = unchanged.map_or(now, |old| old.since);
        if unchanged.is_none() {
            self.sent = None;
        }
        let confirmed = old.map_or(confirmed, |old| old.confirmed.max(confirmed));
        self.view = Some(View { rollout: rollout.clone(), confirmed, since });
    }

    /// Notes that the node with this fencing token said that it is the controller.
    pub fn on_heartbeat(&mut self, fence: Revision, now: Instant) {
        if self.view.as_ref().is_some_and(|view| view.rollout.fence == fence) {
            self.heard = now;
        }
    }

    /// Takes a report of an ingress.
    pub fn on_report(&mut self, report: &Report, now: Instant) {
        let (Some(lead), Some(view)) = (&mut self.lead, &self.view) else { return };
        if report.service != self.service.name {
            return;
        }
        let vetoed = report.veto.as_ref().is_some_and(|veto| {
            veto.version == view.rollout.to && veto.started == view.rollout.started
        });
        let caller = Caller { sequence: report.sequence, heard: now, vetoed };
        let last = lead.callers.insert(report.from.clone(), caller);
        match last {
            Some(last) if last.sequence >= report.sequence => {
                lead.callers.insert(report.from.clone(), last);
            }
            _ => lead.window.merge_report(report),
        }
    }

    /// Takes the result of the latest proposal.
    pub fn on_result(&mut self, result: ProposalResult) {
        if result == ProposalResult::Refused {
            self.sent = None;
            self.taking = None;
        }
    }

    /// Returns whether this node is the controller and its lease is valid.
    ///
    /// While it is, the node says so to the service's other nodes once a second.
    pub fn leading_fence(&self, now: Instant) -> Option<Revision> {
        let (lead, view) = (self.lead.as_ref()?, self.view.as_ref()?);
        let valid = now.saturating_duration_since(view.confirmed) <= self.cfg.lease;
        let open = !view.rollout.phase.is_final();
        (valid && open && view.rollout.fence == lead.fence).then_some(lead.fence)
    }

    /// Returns the judge of the rollout that this node drives.
    pub fn judge(&self) -> Option<&Judge> {
        self.lead.as_ref().map(|lead| &lead.judge)
    }

    /// Returns what this node's judge found against the new version, to be sent to the ingress nodes
    /// in answer to their reports.
    ///
    /// It needs no lease: it changes no document, it is evidence that stays true whoever drives the
    /// rollout, and it can only move traffic towards the old version.
    pub fn finding(&self) -> Option<VetoNotice> {
        let (lead, view) = (self.lead.as_ref()?, self.view.as_ref()?);
        let Verdict::Bad(finding) = lead.judge.verdict() else { return None };
        let (version, started) = (view.rollout.to.clone(), view.rollout.started);
        Some(VetoNotice { version, started, reason: finding.to_string().into() })
    }

    /// Decides what to do now; to be called several times per window.
    pub fn tick(&mut self, facts: ServiceLoad, now: Instant, wall: SystemTime) -> Option<Proposal> {
        self.close_window(now);
        let view = self.view.as_ref()?;
        let waiting = |at: Instant| now.saturating_duration_since(at) < self.cfg.retry_after;
        let confirmed = now.saturating_duration_since(view.confirmed) <= self.cfg.lease;
        if view.rollout.phase.is_final() || !confirmed || self.sent.is_some_and(|s| waiting(s.1)) {
            return None;
        }
        match self.leading_fence(now) {
            Some(fence) => self.step(fence, facts, now, wall),
            None => self.take_over(now),
        }
    }

    fn on_fence(&mut self, rollout: &Rollout, now: Instant) {
        // A node that was restarted under the same name did not take this token and has no evidence.
        let mine = rollout.controller.as_ref() == Some(&self.node);
        let taken = self.taking.is_some_and(|seen_fence| seen_fence < rollout.fence);
        self.taking = None;
        self.sent = None;
        self.lead = (mine && taken).then(|| Lead {
            fence: rollout.fence,
            judge: Judge::new(
                self.cfg.judge,
                self.service.kinds.iter().map(|kind| kind.name.as_str().into()),
            ),
            window: Tally::default(),
            window_end: now + WINDOW,
            callers: BTreeMap::new(),
        });
    }

    fn close_window(&mut self, now: Instant) {
        let Some(lead) = &mut self.lead else { return };
        if now < lead.window_end {
            return;
        }
        lead.judge.observe(&std::mem::take(&mut lead.window));
        lead.window_end = now + WINDOW;
        let silent = |caller: &Caller| now.saturating_duration_since(caller.heard) > WINDOW * 10;
        lead.callers.retain(|_, caller| !silent(caller));
    }

    fn take_over(&mut self, now: Instant) -> Option<Proposal> {
        let view = self.view.as_ref()?;
        let seen_fence = view.rollout.fence;
        let silence = now.saturating_duration_since(self.heard);
        let without_controller = view.rollout.controller.is_none();
        let wait = if without_controller { Duration::ZERO } else { self.cfg.takeover_after };
        if silence < wait + self.rank_delay(seen_fence) {
            return None;
        }
        self.taking = Some(seen_fence);
        self.sent = Some((Sent::Take, now));
        let service = self.service.name.clone();
        let action = Action::TakeRollout { service, node: self.node.clone() };
        Some(Proposal { action, seen_fence })
    }

    /// Returns a delay of up to 2 s that differs by node, so that few nodes write at the same time.
    fn rank_delay(&self, fence: Revision) -> Duration {
        let text = format!("{}/{}", self.node, fence);
        Duration::from_millis(xxh3_64(text.as_bytes()) % 2_000)
    }

    fn step(
        &mut self,
        fence: Revision,
        facts: ServiceLoad,
        now: Instant,
        wall: SystemTime,
    ) -> Option<Proposal> {
        let (lead, view) = (self.lead.as_ref()?, self.view.as_ref()?);
        let situation = Situation {
            cfg: &self.cfg,
            rollout: &view.rollout,
            in_step: now.saturating_duration_since(view.since),
            judge: &lead.judge,
            callers: lead.callers.len(),
            vetoes: lead.callers.values().filter(|caller| caller.vetoed).count(),
            facts,
            wall,
        };
        let Decision { phase, share_ppm, reason } = situation.decide()?;
        self.sent = Some((Sent::Step, now));
        let service = self.service.name.clone();
        let reason = reason.into();
        let action = Action::StepRollout { service, fence, phase, share_ppm, reason };
        Some(Proposal { action, seen_fence: fence })
    }
}
