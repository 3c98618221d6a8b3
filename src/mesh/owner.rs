//! The owner: the only way to the upstream beside the node.
//!
//! Whether the upstream may get a request (its slots, its cold start, its leaving, its zone and its
//! version) is a local fact here, exact at the moment of the hand-over whatever the ingress knew.

mod health;
mod run;

use std::{
    collections::HashMap,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::Sender;
use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    admission_queue::{Admission, AdmissionQueue, AdmissionRequest, Dequeued, OwnerState, Ticket},
    config::RetrySafety,
    rollout::Evidence,
    upstream::{Announcement, AnnouncementOutcome, Stage, Upstream},
};
use oleandertiller_model::{Clock, ErrorKind, NodeName, ZoneName};

use super::{
    deployment_state::DeploymentState,
    http::HttpConn,
    message::{End, Offer, Reply},
    metrics::Metrics,
    upstream::Pool,
};
use crate::node::timer::Timers;

/// Time between two looks at the load while requests wait.
const WAIT_LOOK: Duration = Duration::from_millis(30);

/// Longest time that another node can give a request. A longer one could not be added to the clock.
const REMAINING_MAX: Duration = Duration::from_secs(3_600);

struct Inner {
    upstream: Upstream,
    gate: AdmissionQueue,
    waiters: HashMap<Ticket, Sender<Result<(), ErrorKind>>>,
    stopping: bool,
    evidence: Evidence,
    next_health: Option<Instant>,
    running: Vec<Running>,
    vetoed: bool,
}

/// A request that the upstream runs.
struct Running {
    id: Arc<str>,
    /// Whether another upstream may have run it already.
    is_retry: bool,
    /// Whether the upstream has made calls for it.
    calls: bool,
}

/// A request that the upstream runs and for which it makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Id of the request.
    pub id: Arc<str>,
    /// Whether another upstream may have run it already.
    pub is_retry: bool,
}

/// What an owner is made of.
pub struct OwnerConfig {
    /// Its node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Shortest time between two health checks.
    pub min_health_check_interval: Duration,
    /// Largest body of an answer, in bytes.
    pub max_response_body_bytes: usize,
}

/// The way to the upstream beside the node.
pub struct Owner<C> {
    cfg: OwnerConfig,
    clock: C,
    timers: Timers,
    deployment: Arc<Mutex<DeploymentState>>,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
    pool: Pool,
    health: async_std::sync::Mutex<Option<HttpConn>>,
}

/// A request that the upstream runs; gives the slot back when it is dropped.
struct Slot<'a, C: Clock> {
    owner: &'a Owner<C>,
    id: &'a Arc<str>,
    run_time: Option<Duration>,
}

impl<C: Clock> Drop for Slot<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.owner.lock();
        inner.gate.release(self.run_time);
        if let Some(index) = inner.running.iter().position(|run| run.id == *self.id) {
            inner.running.swap_remove(index);
        }
        drop(inner);
        self.owner.pump();
    }
}

/// A waiting request; withdrawn when it is dropped.
struct Place<'a, C: Clock> {
    owner: &'a Owner<C>,
    ticket: Ticket,
}

impl<C: Clock> Drop for Place<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.owner.lock();
        inner.gate.withdraw(self.ticket);
        inner.waiters.remove(&self.ticket);
    }
}

impl<C: Clock> Owner<C> {
    /// Creates the owner of an upstream that has not been heard yet.
    pub fn new(
        cfg: OwnerConfig,
        clock: C,
        timers: Timers,
        deployment: Arc<Mutex<DeploymentState>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let inner = Inner {
            upstream: Upstream::default(),
            gate: AdmissionQueue::default(),
            waiters: HashMap::new(),
            stopping: false,
            evidence: Evidence::default(),
            next_health: None,
            running: Vec::new(),
            vetoed: false,
        };
        let health = async_std::sync::Mutex::new(None);
        let pool = Pool::default();
        Self { cfg, clock, timers, deployment, metrics, inner: Mutex::new(inner), pool, health }
    }

    /// Returns what the upstream has said of itself.
    pub fn announcement(&self) -> Option<Announcement> {
        self.lock().upstream.latest().cloned()
    }

    /// Takes an announcement of the upstream.
    pub fn on_announcement(&self, news: Announcement) -> AnnouncementOutcome {
        let (cold_for, service) = (news.cold_for, news.service.clone());
        let id = news.incarnation.id.clone();
        let stage = news.stage;
        let rate = self.deployment().cold_rate(&service);
        let heard = {
            let mut inner = self.lock();
            let before = inner.upstream.latest().map(|known| known.stage);
            let heard = inner.upstream.apply(news);
            if heard != AnnouncementOutcome::Stale {
                inner.gate.set_cold_limit(cold_for, rate, self.clock.now());
            }
            if heard == AnnouncementOutcome::Replaced {
                inner.evidence = Evidence::default();
                inner.vetoed = false;
                self.pool.clear();
            }
            if heard == AnnouncementOutcome::Replaced
                || heard == AnnouncementOutcome::Updated && before != Some(stage)
            {
                log::info!(upstream = &*id, stage:? = stage, service = service.as_str(),
                    cold_ms = cold_for.as_millis() as u64; "upstream announced");
            }
            heard
        };
        self.update_admission();
        heard
    }

    /// Takes note that an upstream has left; returns whether it is the known one.
    pub fn on_leave(&self, id: &str, born: Option<u64>) -> bool {
        let time_left = self.lock().upstream.leave(id, born);
        if time_left {
            log::info!(upstream = id, stage:? = Stage::Gone; "upstream announced");
        }
        self.update_admission();
        time_left
    }

    /// Has the owner hand back what it has not started, since the process is about to stop.
    pub fn stop_admitting(&self) {
        self.lock().stopping = true;
        self.update_admission();
    }

    /// Looks again at whether the upstream may get requests; to be called after each change of
    /// what the node knows of the deployment.
    pub fn update_admission(&self) {
        {
            let deployment = self.deployment();
            let mut inner = self.lock();
            let closed = self.closed(&inner, &deployment);
            let slots = inner.upstream.latest().map_or(0, |known| known.slots);
            inner.gate.set_capacity(slots, closed);
        }
        self.pump();
    }

    fn closed(&self, inner: &Inner, deployment: &DeploymentState) -> Option<ErrorKind> {
        let Some(known) = inner.upstream.latest() else { return Some(ErrorKind::NoUpstream) };
        if inner.stopping || known.stage != Stage::Serving {
            return Some(ErrorKind::Draining);
        }
        if !deployment.is_zone_in_service(&self.cfg.zone) {
            return Some(ErrorKind::ZoneOut);
        }
        let allowed_versions = deployment.allowed_versions(&known.service);
        // Once a rollout has ended, its end counts and not what was seen here.
        let unproved = deployment.is_rolling_out(&known.service, &known.version);
        let admitted = allowed_versions.allows(&known.version) && !(unproved && inner.vetoed);
        (!admitted).then_some(ErrorKind::VersionVetoed)
    }

    /// Returns the request that the upstream runs and on whose behalf it sends the one with `id`:
    /// ids of such calls start with the id of the request that they serve.
    pub fn parent_of(&self, id: &str) -> Option<Parent> {
        let mut inner = self.lock();
        let serves = |run: &&mut Running| id.len() > run.id.len() && id.starts_with(&*run.id);
        let run = inner.running.iter_mut().find(serves)?;
        run.calls = true;
        Some(Parent { id: run.id.clone(), is_retry: run.is_retry })
    }

    /// Returns the evidence on the upstream's version.
    pub fn evidence(&self) -> Evidence {
        self.lock().evidence.clone()
    }

    /// Returns the state that travels with the answer to an offer.
    pub fn state(&self, offer: &Offer) -> OwnerState {
        self.lock().gate.state(offer.class, offer.rank)
    }

    /// Decides on a request and runs it, unless it goes back.
    pub async fn offer(&self, offer: &Offer) -> Reply {
        let deadline = self.clock.now() + offer.remaining.min(REMAINING_MAX);
        let end = self.decide(offer, deadline).await;
        let state = self.state(offer);
        let (decision, reason) = end.decision();
        self.metrics.decided(decision, reason);
        // The ingress logs what it was told at each owner; a line here is for what it cannot know.
        let handed_back = matches!(end, End::NotRun { arrived: false, .. });
        if !handed_back && !matches!(end, End::Answered(_)) {
            log::info!(id = &*offer.id, end:? = end, running = state.running,
                waiting = state.waiting, slots = state.slots, slowness = state.slowness,
                patience_ms = offer.max_wait.as_millis() as u64; "owner did not answer");
        }
        Reply { end, state }
    }

    async fn decide(&self, offer: &Offer, deadline: Instant) -> End {
        let not_run = |why| End::NotRun { why, arrived: false };
        let fits =
            |known: &Announcement| known.service == offer.service && known.version == offer.version;
        if offer.node != self.cfg.node || !self.lock().upstream.latest().is_some_and(fits) {
            return not_run(ErrorKind::NoUpstream);
        }
        self.look().await;
        let now = self.clock.now();
        let wait_until = (now + offer.max_wait.min(REMAINING_MAX)).min(deadline);
        let Offer { rank, allow_slow, class, .. } = *offer;
        let at_most_once = offer.repeat == RetrySafety::AtMostOnce;
        let ask = AdmissionRequest { rank, deadline, wait_until, allow_slow, class, at_most_once };
        let entry = self.lock().gate.admit(ask, now);
        match entry {
            Admission::Run => {}
            Admission::Refuse(why) => return not_run(why),
            Admission::Wait(ticket) => {
                if let Err(why) = self.wait(ticket, wait_until).await {
                    return not_run(why);
                }
            }
        }
        self.lock().running.push(Running {
            id: offer.id.clone(),
            is_retry: offer.is_retry,
            calls: false,
        });
        let mut slot = Slot { owner: self, id: &offer.id, run_time: None };
        let started = self.clock.now();
        let end = self.run(offer, deadline).await;
        if let End::Answered(_) = end {
            slot.run_time = Some(self.clock.now().saturating_duration_since(started));
        }
        end
    }

    /// Waits for the decision on a ticket; looks at the load meanwhile.
    async fn wait(&self, ticket: Ticket, until: Instant) -> Result<(), ErrorKind> {
        let (tx, rx) = async_channel::bounded(1);
        self.lock().waiters.insert(ticket, tx);
        let _place = Place { owner: self, ticket };
        loop {
            self.pump();
            let look = self.timers.at((self.clock.now() + WAIT_LOOK).min(until));
            match select(pin!(rx.recv()), look).await {
                Either::Left((decision, _)) => {
                    return decision.unwrap_or(Err(ErrorKind::Internal));
                }
                Either::Right(_) => self.look().await,
            }
        }
    }

    /// Tells waiting requests what is decided by now.
    fn pump(&self) {
        let mut inner = self.lock();
        while let Some(decided) = inner.gate.dequeue(self.clock.now()) {
            let (ticket, decision) = match decided {
                Dequeued::Run(ticket) => (ticket, Ok(())),
                Dequeued::Refuse(ticket, why) => (ticket, Err(why)),
            };
            let told =
                inner.waiters.remove(&ticket).is_some_and(|tx| tx.try_send(decision).is_ok());
            if !told && decision.is_ok() {
                inner.gate.release(None);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deployment(&self) -> MutexGuard<'_, DeploymentState> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
