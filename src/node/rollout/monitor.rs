//! An ingress's evidence on a rollout, and its veto.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use oleandertiller_model::{
    ErrorKind, Lifecycle, LoadReport, NodeName, Outcome, ServiceSpec, VersionName, codec,
    intent::Rollout,
};
use oleandertiller_rollout::{
    Arm, Attempt, Availability, Choice, Report, ServerId, Tally, Veto, VetoNotice,
    evidence::report_interval, split,
};
use oleandertiller_routing::selection::Selector;

use super::ReportAnswer;
use crate::{node::view::OwnerInfo, telemetry::StateChange};

/// Evidence and veto of one rollout at one ingress.
pub struct RolloutMonitor {
    spec: ServiceSpec,
    from: VersionName,
    to: VersionName,
    started: SystemTime,
    new_servers: AtomicUsize,
    vetoed: AtomicBool,
    state: Mutex<State>,
}

struct State {
    veto: Veto,
    /// Attempts in the current window of one second.
    window: Tally,
    /// Attempts of earlier windows that are not reported yet.
    unsent: Tally,
    sequence: u64,
    /// Number of ingress nodes that report, as the last answer gave it.
    callers: usize,
    /// When the next report is due.
    due: Option<Instant>,
}

impl RolloutMonitor {
    /// Creates a monitor without evidence.
    pub fn new(rollout: &Rollout, spec: &ServiceSpec) -> Self {
        let state = State {
            veto: Veto::new(rollout, spec),
            window: Tally::default(),
            unsent: Tally::default(),
            sequence: 0,
            callers: 1,
            due: None,
        };
        Self {
            spec: spec.clone(),
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            started: rollout.started,
            new_servers: AtomicUsize::new(0),
            vetoed: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Returns whether this is the monitor of `rollout` and not of an earlier one.
    pub fn belongs_to(&self, rollout: &Rollout) -> bool {
        self.from == rollout.from && self.to == rollout.to && self.started == rollout.started
    }

    /// Returns the service that is rolled out.
    pub fn spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns this ingress's veto of the new version, if it has one.
    pub fn notice(&self) -> Option<VetoNotice> {
        self.lock().veto.notice().cloned()
    }

    /// Sets the current owners of the service.
    pub(super) fn set_owners(&self, owners: &[OwnerInfo]) {
        let new = owners.iter().filter(|o| o.version == self.to && o.lifecycle.accepts_work());
        self.new_servers.store(new.count(), Ordering::Relaxed);
    }

    /// Returns the version for a request; `None` when neither version has a candidate.
    pub(super) fn pick(
        &self,
        rollout: &Rollout,
        selector: &Selector,
        tried: &[NodeName],
        draw: u64,
    ) -> Option<&VersionName> {
        let has = |version| selector.has_candidate(tried, version);
        let availability = Availability { old: has(&self.from), new: has(&self.to) };
        let vetoed = self.vetoed.load(Ordering::Relaxed);
        match split::pick(rollout, vetoed, availability, draw) {
            Choice::Old => Some(&self.from),
            Choice::New => Some(&self.to),
            Choice::Neither => None,
        }
    }

    /// Counts an attempt; `kind` is the request kind's position in the service's specification.
    pub fn observe(&self, node: &NodeName, version: &VersionName, kind: usize, attempt: Attempt) {
        let arm = match version {
            version if *version == self.to => Arm::New,
            version if *version == self.from => Arm::Old,
            _ => return,
        };
        let Ok(kind) = u8::try_from(kind) else { return };
        let new_servers = self.new_servers.load(Ordering::Relaxed);
        let server = ServerId::from(node);
        let mut state = self.lock();
        state.window.record(server, arm, kind, attempt);
        state.veto.observe(server, arm, kind, attempt, new_servers);
        self.publish_veto(&state);
    }

    /// Closes the current window and returns a report, if one is due. Sequence numbers of reports
    /// start above `first_sequence`.
    pub fn close_window(
        &self,
        from: &NodeName,
        first_sequence: u64,
        now: Instant,
    ) -> Option<Report> {
        let mut state = self.lock();
        let window = std::mem::take(&mut state.window);
        state.veto.close_window(&window);
        state.unsent.merge(&window);
        self.publish_veto(&state);
        if state.due.is_some_and(|due| now < due) {
            return None;
        }
        state.sequence += 1;
        // Above the numbers that an earlier process of the same name has used.
        let sequence = first_sequence + state.sequence;
        let unsent = std::mem::take(&mut state.unsent);
        let mut report = unsent.report(self.spec.name.clone(), from.clone(), sequence);
        report.veto = state.veto.notice().cloned();
        let interval = report_interval(state.callers, codec::encode(&report).len());
        state.due = Some(now + interval - DUE_TOLERANCE);
        Some(report)
    }

    /// Handles the answer to a report.
    pub fn on_answer(&self, answer: &ReportAnswer) {
        let mut state = self.lock();
        state.callers = (answer.callers as usize).max(1);
        if let Some(finding) = &answer.finding {
            state.veto.on_finding(finding);
        }
        let callers = state.callers;
        state.veto.on_peer_vetoes(answer.vetoes.iter(), callers);
        self.publish_veto(&state);
    }

    /// Publishes the veto to the request path.
    fn publish_veto(&self, state: &State) {
        let Some(notice) = state.veto.notice() else { return };
        if !self.vetoed.swap(true, Ordering::Relaxed) {
            let what = format!("{} {} at this ingress", self.spec.name, self.to);
            StateChange::new(what, "admitted", "vetoed").with_why(&notice.reason).warn();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time by which a report may be sent before its interval has passed: half a window. Otherwise a
/// slightly late timer would delay the next report by a whole window.
const DUE_TOLERANCE: Duration = Duration::from_millis(500);

/// Returns the attempt that an outcome counts as; `None` when it says nothing about the upstream.
///
/// The latency is the service time that the owner measures. The time on the network differs between
/// the upstream beside the ingress and those on other instances, and so between versions.
pub fn attempt_of(
    outcome: Outcome,
    load: Option<&LoadReport>,
    service_time: Option<Duration>,
) -> Option<Attempt> {
    match outcome {
        Outcome::Done if load.is_some_and(|load| load.lifecycle == Lifecycle::Cold) => {
            Some(Attempt::DoneCold)
        }
        Outcome::Done => service_time.map(Attempt::Done),
        Outcome::NotRun(_) | Outcome::Unknown(ErrorKind::Cancelled) => None,
        Outcome::Unknown(_) => Some(Attempt::Failed),
    }
}
