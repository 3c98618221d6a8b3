//! Rollouts: reports of the ingress's evidence to the controller, and the controller's steps.

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

use super::{Control, NodeHandles, answer::Answer, commands::SUBMIT_TIMEOUT};
use crate::node::{
    rollout::{
        ControllerHeartbeat, HEARTBEAT_PATH, REPORT_PATH, ReportAnswer, monitor::RolloutMonitor,
    },
    store::Store,
    view::OwnerInfo,
};

/// Interval of the controller's decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the controller's heartbeats to the service's other nodes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for another node's answer; shorter than the intervals of heartbeats and reports.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of the store's last confirmation above which a controller reads the store itself. Watchers
/// confirm every 2 s and gossip adds a delay, which comes close to the lease of 3 s.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which the last report of an ingress counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Age up to which the last load report of an owner counts.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Weight of the newest sample in the moving average of requests in flight.
const IN_FLIGHT_SAMPLE_WEIGHT: f64 = 0.2;

/// The node's part in driving the rollout of its own service.
#[derive(Default)]
pub(super) struct RolloutState {
    controller: Option<(ServiceSpec, Controller)>,
    /// When a controller's heartbeat was last received.
    last_heartbeat: Option<Instant>,
    /// When each ingress last reported, and its veto.
    callers: BTreeMap<NodeName, (Instant, Option<VetoNotice>)>,
    /// Last load report of each owner, and when it arrived.
    loads: BTreeMap<NodeName, (Instant, LoadReport)>,
    /// Load of the service, known while this node is the controller.
    service_load: Option<ServiceLoad>,
}

/// Decides on the rollout of the node's service and writes the decisions to the intent.
pub(super) async fn decide<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(DECISION_INTERVAL).await;
        if let Some(proposal) = control.next_step() {
            let result = control.propose(proposal).await;
            if let Some((_, controller)) = &mut control.rollouts().controller {
                controller.on_result(result);
            }
        }
    }
}

/// Sends heartbeats to the service's other nodes while this node is the controller, and collects
/// their load.
pub(super) async fn send_heartbeats<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(HEARTBEAT_INTERVAL).await;
        let Some(handles) = control.handles.get() else { continue };
        let intent = control.view.load().intent.clone();
        let Some(rollout) = active_rollout(&intent, handles) else { continue };
        if control.needs_confirmation(rollout) {
            control.refresh_intent().await;
        }
        control.broadcast_heartbeat(handles, rollout).await;
    }
}

/// Sends the evidence of the node's ingress to the controllers of the rollouts under way.
pub(super) async fn report<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(WINDOW).await;
        let Some(handles) = control.handles.get() else { continue };
        let (now, first_sequence) = (control.clock.now(), handles.node.incarnation);
        for monitor in handles.ingress.rollout_monitors() {
            if let Some(report) = monitor.close_window(&handles.node.name, first_sequence, now) {
                task::spawn(send_report(control.clone(), monitor, report));
            }
        }
    }
}

/// Sends a report to the controller or, when it doesn't answer, to another node of the service,
/// which then answers with the vetoes of the other ingress nodes.
async fn send_report<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    monitor: Arc<RolloutMonitor>,
    report: Report,
) {
    let Some(handles) = control.handles.get() else { return };
    let message = codec::encode(&report);
    for owner in control.report_targets(&monitor) {
        if owner.node == handles.node.name {
            return monitor.on_answer(&control.handle_report(&report));
        }
        let sent =
            handles.client.control(owner.inner, REPORT_PATH, message.clone(), MESSAGE_TIMEOUT);
        let answer = sent.await.ok().and_then(|bytes| codec::decode(&bytes).ok());
        if let Some(answer) = answer {
            return monitor.on_answer(&answer);
        }
    }
}

impl<C: Clock, S: Store> Control<C, S> {
    /// Handles a report of evidence and returns the answer.
    pub(super) fn handle_report(&self, report: &Report) -> ReportAnswer {
        self.rollouts().handle_report(report, self.clock.now())
    }

    /// Handles a controller's heartbeat and returns the local load.
    pub(super) fn handle_heartbeat(&self, heartbeat: &ControllerHeartbeat) -> Option<LoadReport> {
        let handles = self.handles.get()?;
        if heartbeat.service != handles.node.service {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.rollouts();
        state.last_heartbeat = Some(now);
        if let Some((_, controller)) = &mut state.controller {
            controller.on_heartbeat(heartbeat.fence, now);
        }
        Some(handles.owner.load())
    }

    fn next_step(&self) -> Option<Proposal> {
        let handles = self.handles.get()?;
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let (intent, confirmed) = self.read(|agent, now| {
            let intent = agent.replica().intent().clone();
            let confirmed = agent.freshness().confirmed(now);
            // A change with a newer revision may have ended the rollout.
            let current = confirmed.filter(|c| c.revision <= intent.revision);
            (intent, current.map(|c| Duration::from_millis(c.age_ms)))
        });
        let service = &handles.node.service;
        let spec = intent.services.get(service)?;
        let confirmed = confirmed.and_then(|age| now.checked_sub(age))?;
        let mut state = self.rollouts();
        let controller = state.controller_of(spec, &handles.node.name, now);
        controller.on_rollout(intent.rollouts.get(service), confirmed, now);
        if self.is_stopping() { None } else { state.tick(now, wall) }
    }

    async fn propose(&self, proposal: Proposal) -> ProposalResult {
        let Some(handles) = self.handles.get() else { return ProposalResult::Refused };
        let service = handles.node.service.clone();
        let operation = Builder::from_random_bytes(random()).into_uuid();
        let author = handles.node.name.to_string().into();
        let deadline = self.clock.now() + SUBMIT_TIMEOUT;
        let Proposal { action, seen_fence } = proposal;
        let wanted =
            |intent: &Intent| intent.rollouts.get(&service).is_some_and(|r| r.fence == seen_fence);
        match self.command_while(operation, author, action, deadline, wanted).await {
            Some(CommandOutcome::Accepted(_)) => ProposalResult::Accepted,
            Some(CommandOutcome::Unknown(_)) => ProposalResult::Unknown,
            Some(CommandOutcome::NotAccepted(_)) | None => ProposalResult::Refused,
        }
    }

    /// Returns whether this node is the controller of the rollout or may have to take it over, and
    /// the store has not confirmed the intent recently.
    fn needs_confirmation(&self, rollout: &Rollout) -> bool {
        let Some(handles) = self.handles.get() else { return false };
        let mine = rollout.controller.as_ref() == Some(&handles.node.name);
        let now = self.clock.now();
        let takeover = ControllerConfig::default().takeover_after;
        let last_heartbeat = self.rollouts().last_heartbeat;
        let silent = last_heartbeat.is_none_or(|at| now.saturating_duration_since(at) >= takeover);
        let confirmed = self.read(|agent, now| agent.freshness().confirmed(now));
        let old = confirmed.is_none_or(|c| Duration::from_millis(c.age_ms) > MAX_CONFIRMATION_AGE);
        old && (mine || silent) && !self.is_stopping()
    }

    async fn broadcast_heartbeat(&self, handles: &NodeHandles<C>, rollout: &Rollout) {
        let now = self.clock.now();
        let Some(fence) = self.rollouts().leads(now) else {
            self.rollouts().service_load = None;
            return;
        };
        let service = handles.node.service.clone();
        let message = codec::encode(&ControllerHeartbeat { service, fence });
        let me = handles.node.name.clone();
        let owners = self.view.load().owners.get(&handles.node.service).cloned();
        let others = owners.iter().flat_map(|owners| owners.iter()).filter(|o| o.node != me);
        let requests = others.map(|owner| request_load(handles, owner.clone(), message.clone()));
        let mut loads = join_all(requests).await;
        loads.push(Some((me, handles.owner.load())));
        let now = self.clock.now();
        self.rollouts().record_loads(loads.into_iter().flatten(), rollout, now);
    }

    /// Returns the nodes to try for a report: the controller, then the first other node of the
    /// service.
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

    /// Describes the state of a service's latest rollout, or how it ended.
    pub(super) fn explain_rollout(&self, service: &ServiceName) -> Answer {
        let intent = self.view.load().intent.clone();
        let Some(rollout) = intent.rollouts.get(service) else {
            let text = format!("no rollout of {service} is known");
            return Answer::failure(StatusCode::NotFound, &text);
        };
        let rollout_monitors = self
            .handles
            .get()
            .map(|handles| handles.ingress.rollout_monitors())
            .unwrap_or_default();
        let monitor =
            rollout_monitors.iter().find(|m| m.spec().name == *service && m.belongs_to(rollout));
        let veto = monitor.and_then(|monitor| monitor.notice());
        Answer::sentence(&state_text(service, rollout, veto.as_ref()), &self.as_of())
    }

    fn rollouts(&self) -> MutexGuard<'_, RolloutState> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn request_load<C: Clock>(
    handles: &NodeHandles<C>,
    owner: OwnerInfo,
    message: Vec<u8>,
) -> Option<(NodeName, LoadReport)> {
    let address: SocketAddr = owner.inner;
    let answer =
        handles.client.control(address, HEARTBEAT_PATH, message, MESSAGE_TIMEOUT).await.ok()?;
    Some((owner.node, codec::decode(&answer).ok()?))
}

fn active_rollout<'a, C>(intent: &'a Intent, handles: &NodeHandles<C>) -> Option<&'a Rollout> {
    intent.rollouts.get(&handles.node.service).filter(|rollout| !rollout.phase.is_final())
}

/// Describes the state or the end of a rollout in one sentence.
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
        // Evidence refers to kinds by position, so a changed service needs a new controller.
        if self.controller.as_ref().is_none_or(|(known, _)| known != spec) {
            let cfg = ControllerConfig::default();
            let controller = Controller::new(cfg, node.clone(), spec.clone(), now);
            self.controller = Some((spec.clone(), controller));
        }
        let (_, controller) = self.controller.as_mut().expect("was set above");
        controller
    }

    /// Returns the fencing token of this node while it is the controller.
    fn leads(&self, now: Instant) -> Option<Revision> {
        self.controller.as_ref()?.1.leads(now)
    }

    /// Returns the next step. A controller waits until it knows the service's load; otherwise it
    /// would assume that the new servers have no capacity, and lower the share.
    fn tick(&mut self, now: Instant, wall: SystemTime) -> Option<Proposal> {
        if self.leads(now).is_some() && self.service_load.is_none() {
            return None;
        }
        let service_load = self.service_load.unwrap_or_default();
        self.controller.as_mut()?.1.tick(service_load, now, wall)
    }

    fn handle_report(&mut self, report: &Report, now: Instant) -> ReportAnswer {
        self.callers.insert(report.from.clone(), (now, report.veto.clone()));
        self.callers.retain(|_, (at, _)| now.saturating_duration_since(*at) <= MAX_REPORT_AGE);
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

    fn record_loads(
        &mut self,
        loads: impl Iterator<Item = (NodeName, LoadReport)>,
        rollout: &Rollout,
        now: Instant,
    ) {
        self.loads.extend(loads.map(|(node, load)| (node, (now, load))));
        self.loads.retain(|_, (at, _)| now.saturating_duration_since(*at) <= MAX_LOAD_AGE);
        let loads = || self.loads.values().map(|(_, load)| load);
        let open = loads().filter(|l| l.version == rollout.to && l.lifecycle.accepts_work());
        let new_limit = open.map(|load| f64::from(load.limit)).sum();
        let sample: f64 = loads().map(|load| f64::from(load.in_flight)).sum();
        let mean = self.service_load.map_or(sample, |service_load| service_load.in_flight);
        let in_flight = mean + IN_FLIGHT_SAMPLE_WEIGHT * (sample - mean);
        self.service_load = Some(ServiceLoad { new_limit, in_flight });
    }
}
