//! The owner: the only sender of requests to the local upstream.
//!
//! The owner decides whether the upstream may get a request, by its slots, cold start, draining,
//! zone and version. It knows these exactly at the moment of sending, even if the ingress does not.

mod admission;
mod calls;
mod capacity;
mod health;
mod run;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    time::{Duration, Instant},
};

use async_channel::Sender;
use event_listener::Event;
use oleandertiller_mesh::{
    admission_queue::{AdmissionQueue, Ticket},
    crash_suspects::{CrashSuspects, Fingerprint},
    exposure::OwnerExposure,
    rollout::Evidence,
    stop::StopSchedule,
    upstream::{Announcement, AnnouncementOutcome, Incarnation, Stage, Upstream},
    upstream_capacity::{FailingState, KneeEstimate},
    usage::Windows,
};
use oleandertiller_model::{Clock, ErrorKind, NodeName, ZoneName};

pub use self::calls::Parent;
use super::{
    body::BodyLimits,
    deployment_state::DeploymentState,
    http::HttpConn,
    message::{End, Offer, OwnerReport, Reply, ReportRequest},
    metrics::Metrics,
    upstream::Pool,
    usage_counter::UsageCounter,
};
use crate::node::timer::Timers;

/// Longest remaining time that is accepted from another node: adding a longer one to the clock
/// could overflow.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

struct Inner {
    upstream: Upstream,
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, Sender<Result<(), ErrorKind>>>,
    stop_schedule: Option<StopSchedule>,
    stopping: bool,
    evidence: Evidence,
    next_health_check: Option<Instant>,
    running: Vec<RunningRequest>,
    vetoed: bool,
    exposure: OwnerExposure,
    suspects: CrashSuspects,
    failing: FailingState,
    knee: KneeEstimate,
}

impl Inner {
    /// Returns whether an incarnation is still the current one.
    fn is_current(&self, incarnation: &Incarnation) -> bool {
        self.upstream.latest().is_some_and(|latest| latest.incarnation == *incarnation)
    }
}

/// A request that the upstream is running.
struct RunningRequest {
    id: Arc<str>,
    /// Its fingerprint, if it was a suspect when it started.
    suspect: Option<Fingerprint>,
    /// Whether another upstream may have run it already.
    is_retry: bool,
    /// Whether the upstream has made calls for it.
    made_calls: bool,
    route: Arc<str>,
    rank: u32,
    deadline: Instant,
}

/// Configuration of an owner.
pub struct OwnerConfig {
    /// Name of its node; offers for another node are refused.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Shortest time between two health checks.
    pub min_health_check_interval: Duration,
    /// Limits of the body of an upstream's response.
    pub response_limits: BodyLimits,
    /// Windows in which the requests of tenants are counted, if they are.
    pub usage: Option<Windows>,
}

/// Admits requests to the local upstream and runs them on it.
pub struct Owner<C> {
    cfg: OwnerConfig,
    clock: C,
    timers: Timers,
    deployment: Arc<Mutex<DeploymentState>>,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
    pool: Pool,
    /// Counts of the requests that have begun to run.
    pub usage: UsageCounter,
    /// Triggers a write of the node's record after a change of the upstream's stage.
    record_changed: Sender<()>,
    /// Notified when the other owners have to learn of a crash.
    pub crash_seen: Event,
    /// Idle connection for health checks, and the upstream that it leads to.
    health_conn: async_std::sync::Mutex<Option<(Incarnation, HttpConn)>>,
    /// Bytes of the bodies of the requests that the upstream has.
    sent_bytes: AtomicUsize,
}

impl<C: Clock> Owner<C> {
    /// Creates the owner of an upstream that has not announced itself yet.
    pub fn new(
        cfg: OwnerConfig,
        clock: C,
        timers: Timers,
        deployment: Arc<Mutex<DeploymentState>>,
        metrics: Arc<Metrics>,
        record_changed: Sender<()>,
    ) -> Self {
        let inner = Inner {
            upstream: Upstream::default(),
            queue: AdmissionQueue::default(),
            waiters: HashMap::new(),
            stop_schedule: None,
            stopping: false,
            evidence: Evidence::default(),
            next_health_check: None,
            running: Vec::new(),
            vetoed: false,
            exposure: OwnerExposure::default(),
            suspects: CrashSuspects::default(),
            failing: FailingState::default(),
            knee: KneeEstimate::default(),
        };
        let health_conn = async_std::sync::Mutex::new(None);
        let pool = Pool::default();
        Self {
            usage: UsageCounter::new(cfg.usage),
            cfg,
            clock,
            timers,
            deployment,
            metrics,
            inner: Mutex::new(inner),
            pool,
            record_changed,
            crash_seen: Event::new(),
            health_conn,
            sent_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the newest announcement of the upstream.
    pub fn announcement(&self) -> Option<Announcement> {
        self.lock().upstream.latest().cloned()
    }

    /// Applies an announcement of the upstream.
    pub fn on_announcement(&self, announcement: Announcement) -> AnnouncementOutcome {
        let (cold_for, service) = (announcement.cold_for, announcement.service.clone());
        let id = announcement.incarnation.id.clone();
        let stage = announcement.stage;
        let rate = self.deployment().cold_rate(&service);
        let outcome = {
            let mut inner = self.lock();
            let previous = inner.upstream.latest().cloned();
            let previous_stage = previous.as_ref().map(|previous| previous.stage);
            let runs_same = previous
                .as_ref()
                .is_none_or(|previous| previous.runs(&announcement.service, &announcement.version));
            let outcome = inner.upstream.apply(announcement);
            let is_newest =
                matches!(outcome, AnnouncementOutcome::Replaced | AnnouncementOutcome::Updated);
            if is_newest {
                inner.queue.set_cold_limit(cold_for, rate, self.clock.now());
            }
            if outcome == AnnouncementOutcome::Replaced {
                inner.evidence = Evidence::default();
                inner.vetoed = false;
                inner.queue.on_new_upstream();
                inner.knee = KneeEstimate::default();
                self.metrics.set_request_limit(None);
                self.pool.clear();
            }
            if is_newest && !runs_same {
                let refused = inner.refuse_waiting(ErrorKind::NoUpstream);
                log::info!(upstream = &*id, service = service.as_str(), refused = refused,
                    previous = previous.as_ref().map_or("", |previous| &*previous.incarnation.id);
                    "upstream of another service or version has taken over the address");
            }
            if outcome == AnnouncementOutcome::Replaced
                || outcome != AnnouncementOutcome::Stale && previous_stage != Some(stage)
            {
                log::info!(upstream = &*id, stage:? = stage, service = service.as_str(),
                    cold_ms = cold_for.as_millis() as u64; "upstream announced");
            }
            outcome
        };
        self.update_admission();
        outcome
    }

    /// Records that an upstream has left.
    pub fn on_leave(&self, id: &str, born: Option<u64>) {
        let current_left = self.lock().upstream.leave(id, born);
        if current_left {
            log::info!(upstream = id, stage:? = Stage::Gone; "upstream announced");
        }
        self.update_admission();
    }

    /// Returns the incarnation of the upstream that is leaving or has left, if any.
    pub fn departure(&self) -> Option<Incarnation> {
        self.lock().upstream.departure()
    }

    /// Applies the departure of an upstream that an earlier process of this node stored.
    pub fn recall_departure(&self, incarnation: &Incarnation) {
        let current_left = self.lock().upstream.recall_departure(incarnation);
        log::info!(upstream = &*incarnation.id, born = incarnation.started_ms,
            current = current_left; "departure of an upstream recalled");
        self.update_admission();
    }

    /// Refuses requests from now on that are not likely to end before the process exits.
    pub fn begin_stop(&self, schedule: StopSchedule) {
        self.lock().stop_schedule = Some(schedule);
    }

    /// Refuses the requests that have not started, and all later ones, before the process stops.
    pub fn stop_admitting(&self) {
        self.lock().stopping = true;
        self.update_admission();
    }

    /// Reevaluates whether the upstream may get requests; to be called after each change of what
    /// the node knows about the deployment.
    pub fn update_admission(&self) {
        {
            let deployment = self.deployment();
            let mut inner = self.lock();
            if let Some(latest) = inner.upstream.latest() {
                let order = deployment.orders.get(&latest.service);
                let order = order.map(|received| (received.revision, received.at));
                let cold_rate = deployment.cold_rate(&latest.service);
                inner.exposure.set_order(order);
                inner.queue.set_cold_rate(cold_rate, self.clock.now());
            }
            let closed_reason = self.closed_reason(&inner, &deployment);
            let slots = inner.upstream.latest().map_or(0, |latest| latest.slots);
            inner.queue.set_capacity(slots, closed_reason);
        }
        self.notify_waiters();
    }

    fn closed_reason(&self, inner: &Inner, deployment: &DeploymentState) -> Option<ErrorKind> {
        let Some(latest) = inner.upstream.latest() else { return Some(ErrorKind::NoUpstream) };
        if inner.stopping || latest.stage != Stage::Serving {
            return Some(ErrorKind::Draining);
        }
        if !deployment.is_zone_in_service(&self.cfg.zone) {
            return Some(ErrorKind::ZoneOut);
        }
        let allowed_versions = deployment.allowed_versions(&latest.service);
        // The local veto counts only until the rollout has ended; then its result decides.
        let rolling_out = deployment.is_rolling_out(&latest.service, &latest.version);
        let admitted = allowed_versions.allows(&latest.version) && !(rolling_out && inner.vetoed);
        (!admitted).then_some(ErrorKind::VersionVetoed)
    }

    /// Takes over the grant of the leader of the service's rollout; returns the report to it.
    pub fn report(&self, request: ReportRequest) -> OwnerReport {
        let now = self.clock.now();
        let mut inner = self.lock();
        if let Some(grant) = request.grant {
            inner.exposure.on_grant(grant, now);
        }
        OwnerReport {
            evidence: inner.evidence.clone(),
            counts: inner.exposure.counts(now),
            running: inner.running.len() as u32,
        }
    }

    /// Runs a request on the upstream, or refuses it.
    pub async fn offer(&self, offer: &Offer) -> Reply {
        let arrived = self.clock.now();
        let deadline = arrived + offer.remaining.min(MAX_REMAINING);
        let end = self.admit_and_run(offer, deadline).await;
        let mut state = self.state(offer);
        if let End::NotRun { why: ErrorKind::Overloaded, arrived: false } = end {
            state.calls_wait = self.calls_wait(offer).unwrap_or_default();
        }
        let (decision, reason) = end.decision();
        self.metrics.count_decision(decision, reason);
        // The ingress logs each owner's reply, so only failures on the upstream are logged here.
        let refused = matches!(end, End::NotRun { arrived: false, .. });
        if !refused && !matches!(end, End::Answered(_)) {
            log::info!(id = &*offer.id, end:? = end, running = state.running,
                waiting = state.waiting, slots = state.slots, slowness = state.slowness,
                patience_ms = offer.max_wait.as_millis() as u64;
                "upstream refused or lost a request");
        }
        let zones = self.zone_reports(offer);
        let held = self.clock.now().saturating_duration_since(arrived);
        Reply { end, state, held, zones }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deployment(&self) -> MutexGuard<'_, DeploymentState> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
