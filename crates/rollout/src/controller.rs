//! Decides which node drives a rollout, and what it proposes.
//!
//! Every node of the service runs a [`Controller`]. One that has had no heartbeat of the present
//! controller for a while proposes to take the rollout over; the revision that accepts this is its
//! fencing token. It proposes steps only while its lease is valid: while the newest intent that the
//! store confirmed less than [`ControllerConfig::lease`] ago names it and its token.

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

use decision::{Decision, DecisionInput};

/// Timeouts and limits of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControllerConfig {
    /// How long the controller may act after a confirmation of the intent.
    pub lease: Duration,
    /// Time without a heartbeat of the controller before another node takes over; longer than the
    /// lease.
    pub takeover_after: Duration,
    /// How long the new version has all traffic before the rollout completes. It is capped at a
    /// quarter of the time between start and deadline, and half of it is enough at the deadline.
    pub hold: Duration,
    /// Shortest time between two steps.
    pub min_step_interval: Duration,
    /// Longest time between two steps.
    pub max_step_interval: Duration,
    /// How long a proposal may remain unanswered before the controller decides again.
    pub retry_after: Duration,
    /// Share of the new servers' concurrency limits that may be used.
    pub max_utilization: f64,
    /// Error rates and margins of the judge.
    pub judge: JudgeConfig,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            takeover_after: Duration::from_secs(5),
            hold: Duration::from_secs(60),
            min_step_interval: Duration::from_secs(10),
            max_step_interval: Duration::from_secs(120),
            retry_after: Duration::from_secs(2),
            max_utilization: 0.8,
            judge: JudgeConfig::default(),
        }
    }
}

/// Load of the service, from load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Sum of the present concurrency limits of the new version's servers that accept requests.
    pub new_limit: f64,
    /// Moving mean of the requests in flight at all servers of both versions together.
    pub in_flight: f64,
}

/// A change that the node has to write into the intent by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Action that changes the intent.
    pub action: Action,
    /// Fencing token of the rollout when the change was decided. If the intent has another one at
    /// the time of the write, the change must be dropped and not evaluated again.
    pub seen_fence: Revision,
}

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The change is in the intent.
    Accepted,
    /// The change is not in the intent and never will be.
    Refused,
    /// Unknown, as the store is down or its answer was lost.
    Unknown,
}

/// The rollout as this node knows it.
#[derive(Clone, Debug)]
struct View {
    rollout: Rollout,
    /// When the store last confirmed it.
    confirmed: Instant,
    /// When this node first saw the present phase and share.
    step_began: Instant,
}

/// State that a node keeps while it is the controller.
#[derive(Clone, Debug)]
struct Leadership {
    fence: Revision,
    judge: Judge,
    window: Tally,
    window_end: Instant,
    callers: BTreeMap<NodeName, Caller>,
}

/// An ingress that reports to this controller.
#[derive(Clone, Debug)]
struct Caller {
    sequence: u64,
    last_heard: Instant,
    vetoed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalKind {
    TakeOver,
    Step,
}

/// Drives the rollouts of one service from one node.
#[derive(Clone, Debug)]
pub struct Controller {
    cfg: ControllerConfig,
    node: NodeName,
    service: ServiceSpec,
    view: Option<View>,
    /// When the controller was last heard.
    last_heard: Instant,
    leadership: Option<Leadership>,
    /// Latest proposal without a result, and when it was made.
    pending: Option<(ProposalKind, Instant)>,
    /// Fencing token in force when this process proposed to take over.
    takeover_fence: Option<Revision>,
}

impl Controller {
    /// Creates a controller that knows no rollout.
    pub fn new(cfg: ControllerConfig, node: NodeName, service: ServiceSpec, now: Instant) -> Self {
        let (view, leadership, pending, takeover_fence) = (None, None, None, None);
        Self { cfg, node, service, view, last_heard: now, leadership, pending, takeover_fence }
    }

    /// Returns the name of the service whose rollouts this controller drives.
    pub fn service(&self) -> &ServiceName {
        &self.service.name
    }

    /// Adopts the service's rollout in the present intent, which the store confirmed at
    /// `confirmed`.
    ///
    /// Must be called for each new revision and each new confirmation.
    pub fn on_rollout(&mut self, rollout: Option<&Rollout>, confirmed: Instant, now: Instant) {
        let Some(rollout) = rollout else {
            self.view = None;
            self.leadership = None;
            return;
        };
        let old = self.view.take();
        if old.as_ref().is_none_or(|old| old.rollout.fence != rollout.fence) {
            self.last_heard = now;
            self.on_new_fence(rollout, now);
        }
        let same = |old: &View| {
            let (a, b) = (&old.rollout, rollout);
            a.phase == b.phase && a.share_ppm == b.share_ppm && a.started == b.started
        };
        let unchanged = old.as_ref().filter(|old| same(old));
        let step_began = unchanged.map_or(now, |old| old.step_began);
        if unchanged.is_none() {
            self.pending = None;
        }
        let confirmed = old.map_or(confirmed, |old| old.confirmed.max(confirmed));
        self.view = Some(View { rollout: rollout.clone(), confirmed, step_began });
    }

    /// Records a heartbeat of the controller with this fencing token.
    pub fn on_heartbeat(&mut self, fence: Revision, now: Instant) {
        if self.view.as_ref().is_some_and(|view| view.rollout.fence == fence) {
            self.last_heard = now;
        }
    }

    /// Adds the counts of an ingress's report to the present window, and records its veto.
    pub fn on_report(&mut self, report: &Report, now: Instant) {
        let (Some(leadership), Some(view)) = (&mut self.leadership, &self.view) else { return };
        if report.service != self.service.name {
            return;
        }
        let vetoed = report.veto.as_ref().is_some_and(|veto| {
            veto.version == view.rollout.to && veto.started == view.rollout.started
        });
        let caller = Caller { sequence: report.sequence, last_heard: now, vetoed };
        let last = leadership.callers.insert(report.from.clone(), caller);
        match last {
            Some(last) if last.sequence >= report.sequence => {
                leadership.callers.insert(report.from.clone(), last);
            }
            _ => leadership.window.merge_report(report),
        }
    }

    /// Handles the result of the latest proposal.
    pub fn on_result(&mut self, result: ProposalResult) {
        if result == ProposalResult::Refused {
            self.pending = None;
            self.takeover_fence = None;
        }
    }

    /// Returns this node's fencing token while it is the controller and its lease is valid.
    ///
    /// While it is, the node sends a heartbeat to the service's other nodes once a second.
    pub fn leads(&self, now: Instant) -> Option<Revision> {
        let (leadership, view) = (self.leadership.as_ref()?, self.view.as_ref()?);
        let valid = now.saturating_duration_since(view.confirmed) <= self.cfg.lease;
        let open = !view.rollout.phase.is_final();
        (valid && open && view.rollout.fence == leadership.fence).then_some(leadership.fence)
    }

    /// Returns the judge of the rollout that this node drives.
    pub fn judge(&self) -> Option<&Judge> {
        self.leadership.as_ref().map(|leadership| &leadership.judge)
    }

    /// Returns what this node's judge found against the new version, for the answers to the reports
    /// of ingress nodes.
    ///
    /// A finding needs no lease: it doesn't change the intent, it holds whichever node drives the
    /// rollout, and it can only move traffic towards the old version.
    pub fn finding(&self) -> Option<VetoNotice> {
        let (leadership, view) = (self.leadership.as_ref()?, self.view.as_ref()?);
        let Verdict::Bad(finding) = leadership.judge.verdict() else { return None };
        let (version, started) = (view.rollout.to.clone(), view.rollout.started);
        Some(VetoNotice { version, started, reason: finding.to_string().into() })
    }

    /// Returns the change to propose now, if any. Must be called several times per window.
    pub fn tick(
        &mut self,
        load: ServiceLoad,
        now: Instant,
        wall_now: SystemTime,
    ) -> Option<Proposal> {
        self.close_window(now);
        let view = self.view.as_ref()?;
        let waiting = |at: Instant| now.saturating_duration_since(at) < self.cfg.retry_after;
        let confirmed = now.saturating_duration_since(view.confirmed) <= self.cfg.lease;
        if view.rollout.phase.is_final()
            || !confirmed
            || self.pending.is_some_and(|pending| waiting(pending.1))
        {
            return None;
        }
        match self.leads(now) {
            Some(fence) => self.step(fence, load, now, wall_now),
            None => self.take_over(now),
        }
    }

    fn on_new_fence(&mut self, rollout: &Rollout, now: Instant) {
        // A node restarted under the same name has no evidence and didn't ask for this token.
        let is_named = rollout.controller.as_ref() == Some(&self.node);
        let proposed = self.takeover_fence.is_some_and(|seen_fence| seen_fence < rollout.fence);
        self.takeover_fence = None;
        self.pending = None;
        self.leadership = (is_named && proposed).then(|| Leadership {
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
        let Some(leadership) = &mut self.leadership else { return };
        if now < leadership.window_end {
            return;
        }
        leadership.judge.observe(&std::mem::take(&mut leadership.window));
        leadership.window_end = now + WINDOW;
        let silent =
            |caller: &Caller| now.saturating_duration_since(caller.last_heard) > WINDOW * 10;
        leadership.callers.retain(|_, caller| !silent(caller));
    }

    fn take_over(&mut self, now: Instant) -> Option<Proposal> {
        let view = self.view.as_ref()?;
        let seen_fence = view.rollout.fence;
        let silence = now.saturating_duration_since(self.last_heard);
        let without_controller = view.rollout.controller.is_none();
        let min_silence = if without_controller { Duration::ZERO } else { self.cfg.takeover_after };
        if silence < min_silence + self.takeover_delay(seen_fence) {
            return None;
        }
        self.takeover_fence = Some(seen_fence);
        self.pending = Some((ProposalKind::TakeOver, now));
        let service = self.service.name.clone();
        let action = Action::TakeRollout { service, node: self.node.clone() };
        Some(Proposal { action, seen_fence })
    }

    /// Returns a delay of up to 2 s derived from the node's name and the token, so that few nodes
    /// write at the same time.
    fn takeover_delay(&self, fence: Revision) -> Duration {
        let text = format!("{}/{}", self.node, fence);
        Duration::from_millis(xxh3_64(text.as_bytes()) % 2_000)
    }

    fn step(
        &mut self,
        fence: Revision,
        load: ServiceLoad,
        now: Instant,
        wall_now: SystemTime,
    ) -> Option<Proposal> {
        let (leadership, view) = (self.leadership.as_ref()?, self.view.as_ref()?);
        let input = DecisionInput {
            cfg: &self.cfg,
            rollout: &view.rollout,
            step_age: now.saturating_duration_since(view.step_began),
            judge: &leadership.judge,
            callers: leadership.callers.len(),
            vetoes: leadership.callers.values().filter(|caller| caller.vetoed).count(),
            load,
            wall_now,
        };
        let Decision { phase, share_ppm, reason } = input.decide()?;
        self.pending = Some((ProposalKind::Step, now));
        let service = self.service.name.clone();
        let reason = reason.into();
        let action = Action::StepRollout { service, fence, phase, share_ppm, reason };
        Some(Proposal { action, seen_fence: fence })
    }
}
