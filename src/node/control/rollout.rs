//! Rollouts: evidence from the ingress to the controller, and the controller's steps.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use async_std::task;
use futures_util::future::join_all;
use oleandertiller_fleet::CommandOutcome;
use oleandertiller_language::units::print_percent;
use oleandertiller_model::{
    Clock, Intent, LoadReport, NodeName, Revision, ServiceName, ServiceSpec, codec, intent::Rollout,
};
use oleandertiller_rollout::{
    Controller, ControllerConfig, Proposal, Report, ServiceLoad, VetoNotice,
    controller::ProposalResult, evidence::WINDOW,
};
use rand::random;
use tide::StatusCode;
use uuid::Builder;

use super::{Control, Links, answer::Answer, commands::SUBMIT_TIMEOUT};
use crate::node::{
    rollout::{
        ControllerHeartbeat, HEARTBEAT_PATH, REPORT_PATH, ReportAnswer, monitor::RolloutMonitor,
    },
    store::Store,
    view::OwnerInfo,
};

/// Interval of the controller's decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the controller's messages to the service's other nodes.
const LEAD_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer of another node; below both intervals of messages.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of the store's confirmation from which a controller reads the store itself. Watchers
/// confirm every 2 s and gossip adds to that, which is close to the lease of 3 s.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time for which the last report of an ingress or an owner counts.
const MEMORY: Duration = Duration::from_secs(10);

/// Time for which the last load of an owner counts.
const LOAD_MEMORY: Duration = Duration::from_secs(3);

/// Weight of the newest number of requests in flight in its moving mean.
const IN_FLIGHT_WEIGHT: f64 = 0.2;

/// The node's part in driving the rollout of its own service.
#[derive(Default)]
pub(super) struct RolloutState {
    controller: Option<(ServiceSpec, Controller)>,
    /// When a controller was last heard.
    heard: Option<Instant>,
    callers: BTreeMap<NodeName, (Instant, Option<VetoNotice>)>,
    loads: BTreeMap<NodeName, (Instant, LoadReport)>,
    /// Known while this node leads.
    facts: Option<ServiceLoad>,
}

/// Decides on the rollout of the node's service and brings the decisions into the intent.
pub(super) async fn decide<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(DECISION_INTERVAL).await;
        if let Some(proposed) = control.next_step() {
            let result = control.propose(proposed).await;
            if let Some((_, controller)) = &mut control.rollouts().controller {
                controller.on_result(result);
            }
        }
    }
}

/// While this node is the controller, says so to the service's other nodes and learns their load.
pub(super) async fn lead<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(LEAD_INTERVAL).await;
        let Some(links) = control.links.get() else { continue };
        let intent = control.view.load().intent.clone();
        let Some(rollout) = open_rollout(&intent, links) else { continue };
        if control.wants_confirmation(rollout) {
            control.refresh_intent().await;
        }
        control.spread_lead(links, rollout).await;
    }
}

/// Sends the evidence of the node's ingress to the controllers of the rollouts under way.
pub(super) async fn report<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(WINDOW).await;
        let Some(links) = control.links.get() else { continue };
        let (now, first) = (control.clock.now(), links.node.incarnation);
        for monitor in links.ingress.rollout_monitors() {
            if let Some(report) = monitor.close_window(&links.node.name, first, now) {
                task::spawn(send_report(control.clone(), monitor, report));
            }
        }
    }
}

/// Sends a report to the controller, or to another node of the service when that one is silent:
/// it then tells the ingress of the others' vetoes.
async fn send_report<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    monitor: Arc<RolloutMonitor>,
    report: Report,
) {
    let Some(links) = control.links.get() else { return };
    let message = codec::encode(&report);
    for owner in control.report_targets(&monitor) {
        if owner.node == links.node.name {
            return monitor.on_answer(&control.take_report(&report));
        }
        let sent = links.client.control(owner.inner, REPORT_PATH, message.clone(), MESSAGE_TIMEOUT);
        let answer = sent.await.ok().and_then(|bytes| codec::decode(&bytes).ok());
        if let Some(answer) = answer {
            return monitor.on_answer(&answer);
        }
    }
}

impl<C: Clock, S: Store> Control<C, S> {
    /// Takes a report of evidence and answers it.
    pub(super) fn take_report(&self, report: &Report) -> ReportAnswer {
        self.rollouts().take_report(report, self.clock.now())
    }

    /// Takes a controller's word that it leads, and answers with the local load.
    pub(super) fn take_lead(&self, notice: &ControllerHeartbeat) -> Option<LoadReport> {
        let links = self.links.get()?;
        if notice.service != links.node.service {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.rollouts();
        state.heard = Some(now);
        if let Some((_, controller)) = &mut state.controller {
            controller.on_heartbeat(notice.fence, now);
        }
        Some(links.owner.load())
    }

    fn next_step(&self) -> Option<Proposal> {
        let links = self.links.get()?;
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let (intent, confirmed) = self.read(|agent, now| {
            let intent = agent.replica().intent().clone();
            let confirmed = agent.freshness().confirmed(now);
            // A newer document may have ended the rollout.
            let current = confirmed.filter(|c| c.revision <= intent.revision);
            (intent, current.map(|c| Duration::from_millis(c.age_ms)))
        });
        let service = &links.node.service;
        let spec = intent.services.get(service)?;
        let confirmed = confirmed.and_then(|age| now.checked_sub(age))?;
        let mut state = self.rollouts();
        let controller = state.controller_of(spec, &links.node.name, now);
        controller.on_rollout(intent.rollouts.get(service), confirmed, now);
        if self.is_stopping() { None } else { state.tick(now, wall) }
    }

    async fn propose(&self, proposed: Proposal) -> ProposalResult {
        let Some(links) = self.links.get() else { return ProposalResult::Refused };
        let service = links.node.service.clone();
        let operation = Builder::from_random_bytes(random()).into_uuid();
        let author = links.node.name.to_string().into();
        let deadline = self.clock.now() + SUBMIT_TIMEOUT;
        let Proposal { action, seen_fence } = proposed;
        let wanted =
            |intent: &Intent| intent.rollouts.get(&service).is_some_and(|r| r.fence == seen_fence);
        match self.command_while(operation, author, action, deadline, wanted).await {
            Some(CommandOutcome::Accepted(_)) => ProposalResult::Accepted,
            Some(CommandOutcome::Unknown(_)) => ProposalResult::Unknown,
            Some(CommandOutcome::NotAccepted(_)) | None => ProposalResult::Refused,
        }
    }

    /// Returns whether this node drives the rollout or may have to, and the store has not
    /// confirmed the intent lately.
    fn wants_confirmation(&self, rollout: &Rollout) -> bool {
        let Some(links) = self.links.get() else { return false };
        let mine = rollout.controller.as_ref() == Some(&links.node.name);
        let now = self.clock.now();
        let takeover = ControllerConfig::default().takeover_after;
        let heard = self.rollouts().heard;
        let silent = heard.is_none_or(|at| now.saturating_duration_since(at) >= takeover);
        let confirmed = self.read(|agent, now| agent.freshness().confirmed(now));
        let old = confirmed.is_none_or(|c| Duration::from_millis(c.age_ms) > CONFIRMATION_MAX_AGE);
        old && (mine || silent) && !self.is_stopping()
    }

    async fn spread_lead(&self, links: &Links<C>, rollout: &Rollout) {
        let now = self.clock.now();
        let Some(fence) = self.rollouts().leads(now) else {
            self.rollouts().facts = None;
            return;
        };
        let service = links.node.service.clone();
        let message = codec::encode(&ControllerHeartbeat { service, fence });
        let me = links.node.name.clone();
        let owners = self.view.load().owners.get(&links.node.service).cloned();
        let others = owners.iter().flat_map(|owners| owners.iter()).filter(|o| o.node != me);
        let asked = others.map(|owner| ask_load(links, owner.clone(), message.clone()));
        let mut loads = join_all(asked).await;
        loads.push(Some((me, links.owner.load())));
        let now = self.clock.now();
        self.rollouts().take_loads(loads.into_iter().flatten(), rollout, now);
    }

    /// Returns where a report goes: the controller, then the first other node of the service.
    fn report_targets(&self, monitor: &RolloutMonitor) -> Vec<OwnerInfo> {
        let view = self.view.load();
        let service = &monitor.spec().name;
        let Some(rollout) = view.intent.rollouts.get(service) else { return Vec::new() };
        let Some(owners) = view.owners.get(service) else { return Vec::new() };
        if rollout.phase.is_final() || !monitor.belongs_to(rollout) {
            return Vec::new();
        }
        let leads = |owner: &&OwnerInfo| Some(&owner.node) == rollout.controller.as_ref();
        let other = owners.iter().filter(|o| !leads(o) && o.reachable).min_by_key(|o| &o.node);
        owners.iter().find(leads).into_iter().chain(other).cloned().collect()
    }

    /// Tells where the latest rollout of a service stands, or how it ended.
    pub(super) fn explain_rollout(&self, service: &ServiceName) -> Answer {
        let intent = self.view.load().intent.clone();
        let Some(rollout) = intent.rollouts.get(service) else {
            let text = format!("no rollout of {service} is known");
            return Answer::failure(StatusCode::NotFound, &text);
        };
        let rollout_monitors =
            self.links.get().map(|links| links.ingress.rollout_monitors()).unwrap_or_default();
        let monitor =
            rollout_monitors.iter().find(|w| w.spec().name == *service && w.belongs_to(rollout));
        let veto = monitor.and_then(|monitor| monitor.notice());
        Answer::sentence(&state_text(service, rollout, veto.as_ref()), &self.basis())
    }

    fn rollouts(&self) -> MutexGuard<'_, RolloutState> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask_load<C: Clock>(
    links: &Links<C>,
    owner: OwnerInfo,
    message: Vec<u8>,
) -> Option<(NodeName, LoadReport)> {
    let address: SocketAddr = owner.inner;
    let answer =
        links.client.control(address, HEARTBEAT_PATH, message, MESSAGE_TIMEOUT).await.ok()?;
    Some((owner.node, codec::decode(&answer).ok()?))
}

fn open_rollout<'a, C>(intent: &'a Intent, links: &Links<C>) -> Option<&'a Rollout> {
    intent.rollouts.get(&links.node.service).filter(|rollout| !rollout.phase.is_final())
}

/// Returns one sentence on the state or the end of a rollout.
fn state_text(service: &ServiceName, rollout: &Rollout, veto: Option<&VetoNotice>) -> String {
    let Rollout { from, to, reason, .. } = rollout;
    let what = format!("rollout of {service} from {from} to {to}");
    if rollout.phase.is_final() {
        return format!("{what}: {reason}");
    }
    let share = print_percent(rollout.share_ppm);
    let driver = match &rollout.controller {
        Some(node) => format!("driven by {node}"),
        None => "without a controller yet".to_owned(),
    };
    match veto {
        Some(veto) => format!("{what} at {share}, {driver}; vetoed at this node: {}", veto.reason),
        None => format!("{what} at {share}, {driver}: {reason}"),
    }
}

impl RolloutState {
    fn controller_of(
        &mut self,
        spec: &ServiceSpec,
        node: &NodeName,
        now: Instant,
    ) -> &mut Controller {
        // Evidence names kinds by their position, so a changed service needs a new judge.
        if self.controller.as_ref().is_none_or(|(known, _)| known != spec) {
            let cfg = ControllerConfig::default();
            let controller = Controller::new(cfg, node.clone(), spec.clone(), now);
            self.controller = Some((spec.clone(), controller));
        }
        let (_, controller) = self.controller.as_mut().expect("was set above");
        controller
    }

    fn leads(&self, now: Instant) -> Option<Revision> {
        self.controller.as_ref()?.1.leads(now)
    }

    /// Returns the next step. A controller without facts waits for them: it would take the new
    /// servers to bear nothing, and lower the share.
    fn tick(&mut self, now: Instant, wall: SystemTime) -> Option<Proposal> {
        if self.leads(now).is_some() && self.facts.is_none() {
            return None;
        }
        let facts = self.facts.unwrap_or_default();
        self.controller.as_mut()?.1.tick(facts, now, wall)
    }

    fn take_report(&mut self, report: &Report, now: Instant) -> ReportAnswer {
        self.callers.insert(report.from.clone(), (now, report.veto.clone()));
        self.callers.retain(|_, (at, _)| now.saturating_duration_since(*at) <= MEMORY);
        let others = self.callers.iter().filter(|(caller, _)| **caller != report.from);
        let vetoes = others.filter_map(|(_, (_, veto))| veto.clone()).collect();
        let callers = self.callers.len() as u32;
        let controller = self.controller.as_mut().map(|(_, controller)| controller);
        let finding = controller.and_then(|controller| {
            controller.on_report(report, now);
            controller.finding()
        });
        ReportAnswer { finding, vetoes, callers }
    }

    fn take_loads(
        &mut self,
        loads: impl Iterator<Item = (NodeName, LoadReport)>,
        rollout: &Rollout,
        now: Instant,
    ) {
        self.loads.extend(loads.map(|(node, load)| (node, (now, load))));
        self.loads.retain(|_, (at, _)| now.saturating_duration_since(*at) <= LOAD_MEMORY);
        let loads = || self.loads.values().map(|(_, load)| load);
        let open = loads().filter(|l| l.version == rollout.to && l.lifecycle.accepts_work());
        let new_limit = open.map(|load| f64::from(load.limit)).sum();
        let present: f64 = loads().map(|load| f64::from(load.in_flight)).sum();
        let mean = self.facts.map_or(present, |facts| facts.in_flight);
        let in_flight = mean + IN_FLIGHT_WEIGHT * (present - mean);
        self.facts = Some(ServiceLoad { new_limit, in_flight });
    }
}
