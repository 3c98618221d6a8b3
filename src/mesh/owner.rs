//! The owner: the only way to the upstream beside the node.
//!
//! Whether the upstream may get a request (its slots, its cold start, its leaving, its zone and its
//! version) is a local fact here, exact at the moment of the hand-over whatever the ingress knew.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::Sender;
use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    config::Repeat,
    gate::{Ask, Decided, Entry, Gate, OwnerState, Ticket},
    rollout::{Evidence, FOUND, Finding, judge},
    upstream::{Announcement, Heard, Incarnation, Stage, Upstream},
};
use oleandertiller_model::{Clock, ErrorKind, NodeName, ZoneName};
use oleandertiller_platform::header;

use super::{
    http::{Headers, HttpConn, ResponseHead, encode_request},
    message::{Answer, End, Offer, Reply},
    metrics::{Dependency, Metrics},
    state::{World, left},
    upstream::{Exchanged, Failed, Pool, Taken, exchange, health},
};
use crate::node::timer::Timers;

/// Status with which an upstream answers at a request's deadline.
const STATUS_DEADLINE: u16 = 504;

/// Longest wait for a connection to the upstream, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the answer to a health check; it usually takes a millisecond.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two looks at the load while requests wait.
const WAIT_LOOK: Duration = Duration::from_millis(30);

/// Time for which health checks rest after one has failed.
const HEALTH_REST: Duration = Duration::from_secs(1);

/// Longest time that another node can give a request. A longer one could not be added to the clock.
const REMAINING_MAX: Duration = Duration::from_secs(3_600);

struct Inner {
    upstream: Upstream,
    gate: Gate,
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
    again: bool,
    /// Whether the upstream has made calls for it.
    calls: bool,
}

/// A request that the upstream runs and for which it makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Id of the request.
    pub id: Arc<str>,
    /// Whether another upstream may have run it already.
    pub again: bool,
}

/// What an owner is made of.
pub struct OwnerConfig {
    /// Its node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Shortest time between two health checks.
    pub health_gap: Duration,
    /// Largest body of an answer, in bytes.
    pub body_max: usize,
}

/// The way to the upstream beside the node.
pub struct Owner<C> {
    cfg: OwnerConfig,
    clock: C,
    timers: Timers,
    world: Arc<Mutex<World>>,
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
        world: Arc<Mutex<World>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let inner = Inner {
            upstream: Upstream::default(),
            gate: Gate::default(),
            waiters: HashMap::new(),
            stopping: false,
            evidence: Evidence::default(),
            next_health: None,
            running: Vec::new(),
            vetoed: false,
        };
        let health = async_std::sync::Mutex::new(None);
        let pool = Pool::default();
        Self { cfg, clock, timers, world, metrics, inner: Mutex::new(inner), pool, health }
    }

    /// Returns what the upstream has said of itself.
    pub fn known(&self) -> Option<Announcement> {
        self.lock().upstream.known().cloned()
    }

    /// Takes an announcement of the upstream.
    pub fn hear(&self, news: Announcement) -> Heard {
        let (cold_for, service) = (news.cold_for, news.service.clone());
        let id = news.incarnation.id.clone();
        let stage = news.stage;
        let rate = self.world().cold_rate(&service);
        let heard = {
            let mut inner = self.lock();
            let before = inner.upstream.known().map(|known| known.stage);
            let heard = inner.upstream.hear(news);
            if heard != Heard::Stale {
                inner.gate.set_cold(cold_for, rate, self.clock.now());
            }
            if heard == Heard::Replaced {
                inner.evidence = Evidence::default();
                inner.vetoed = false;
                self.pool.clear();
            }
            if heard == Heard::Replaced || heard == Heard::Updated && before != Some(stage) {
                log::info!(upstream = &*id, stage:? = stage, service = service.as_str(),
                    cold_ms = cold_for.as_millis() as u64; "upstream announced");
            }
            heard
        };
        self.review();
        heard
    }

    /// Takes over an upstream that an earlier process of this node knew, if its health check says
    /// that it is still there and serves.
    pub async fn adopt(&self, news: Announcement) {
        let path = {
            let world = self.world();
            let service =
                world.config.as_ref().and_then(|(_, cfg)| cfg.services.get(&news.service));
            let Some(service) = service else { return };
            service.health_path.clone()
        };
        let until = self.clock.now() + HEALTH_TIMEOUT;
        let work = async {
            let mut conn = HttpConn::connect(news.address).await.ok()?;
            health(&mut conn, &path, news.address).await.ok()
        };
        let head = self.timers.within(until, work).await.flatten();
        let same = head.filter(|head| {
            let id = head.headers.get(header::UPSTREAM_ID);
            head.status == 200 && id == Some(&*news.incarnation.id)
        });
        log::info!(upstream = &*news.incarnation.id, adopted = same.is_some();
            "upstream of an earlier process looked at");
        let Some(head) = same else { return };
        // It may have announced itself meanwhile.
        if self.known().is_none() {
            let cold_for = head.headers.get(header::COLD).and_then(header::read_millis);
            self.hear(Announcement { cold_for: cold_for.unwrap_or_default(), ..news });
        }
    }

    /// Takes note that an upstream has left; returns whether it is the known one.
    pub fn leave(&self, id: &str, born: Option<u64>) -> bool {
        let left = self.lock().upstream.leave(id, born);
        if left {
            log::info!(upstream = id, stage:? = Stage::Gone; "upstream announced");
        }
        self.review();
        left
    }

    /// Has the owner hand back what it has not started, since the process is about to stop.
    pub fn stop(&self) {
        self.lock().stopping = true;
        self.review();
    }

    /// Looks again at whether the upstream may get requests; to be called after each change of
    /// what the node knows of the deployment.
    pub fn review(&self) {
        {
            let world = self.world();
            let mut inner = self.lock();
            let closed = self.closed(&inner, &world);
            let slots = inner.upstream.known().map_or(0, |known| known.slots);
            inner.gate.set(slots, closed);
        }
        self.pump();
    }

    fn closed(&self, inner: &Inner, world: &World) -> Option<ErrorKind> {
        let Some(known) = inner.upstream.known() else { return Some(ErrorKind::NoUpstream) };
        if inner.stopping || known.stage != Stage::Serving {
            return Some(ErrorKind::Draining);
        }
        if !world.is_in(&self.cfg.zone) {
            return Some(ErrorKind::ZoneOut);
        }
        let admission = world.admission(&known.service);
        // Once a rollout has ended, its end counts and not what was seen here.
        let unproved = world.is_unproved(&known.service, &known.version);
        let admitted = admission.admits(&known.version) && !(unproved && inner.vetoed);
        (!admitted).then_some(ErrorKind::VersionVetoed)
    }

    /// Returns the request that the upstream runs and on whose behalf it sends the one with `id`:
    /// ids of such calls start with the id of the request that they serve.
    pub fn parent_of(&self, id: &str) -> Option<Parent> {
        let mut inner = self.lock();
        let serves = |run: &&mut Running| id.len() > run.id.len() && id.starts_with(&*run.id);
        let run = inner.running.iter_mut().find(serves)?;
        run.calls = true;
        Some(Parent { id: run.id.clone(), again: run.again })
    }

    /// Returns the evidence on the upstream's version.
    pub fn evidence(&self) -> Evidence {
        self.lock().evidence.clone()
    }

    /// Returns the state that travels with the answer to an offer.
    pub fn state(&self, offer: &Offer) -> OwnerState {
        self.lock().gate.state(offer.value, offer.rank)
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
                patience_ms = offer.patience.as_millis() as u64; "owner did not answer");
        }
        Reply { end, state }
    }

    async fn decide(&self, offer: &Offer, deadline: Instant) -> End {
        let not_run = |why| End::NotRun { why, arrived: false };
        let fits =
            |known: &Announcement| known.service == offer.service && known.version == offer.version;
        if offer.node != self.cfg.node || !self.lock().upstream.known().is_some_and(fits) {
            return not_run(ErrorKind::NoUpstream);
        }
        self.look().await;
        let now = self.clock.now();
        let wait_until = (now + offer.patience.min(REMAINING_MAX)).min(deadline);
        let Offer { rank, any_moment, value, .. } = *offer;
        let once = offer.repeat == Repeat::AtMostOnce;
        let ask = Ask { rank, deadline, wait_until, any_moment, value, once };
        let entry = self.lock().gate.arrive(ask, now);
        match entry {
            Entry::Run => {}
            Entry::Refuse(why) => return not_run(why),
            Entry::Wait(ticket) => {
                if let Err(why) = self.wait(ticket, wait_until).await {
                    return not_run(why);
                }
            }
        }
        self.lock().running.push(Running {
            id: offer.id.clone(),
            again: offer.again,
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
        while let Some(decided) = inner.gate.next(self.clock.now()) {
            let (ticket, decision) = match decided {
                Decided::Run(ticket) => (ticket, Ok(())),
                Decided::Refuse(ticket, why) => (ticket, Err(why)),
            };
            let told =
                inner.waiters.remove(&ticket).is_some_and(|tx| tx.try_send(decision).is_ok());
            if !told && decision.is_ok() {
                inner.gate.release(None);
            }
        }
    }

    /// Asks the upstream for its load, if what is known is too old for a decision.
    async fn look(&self) {
        if !self.is_due(self.clock.now()) {
            return;
        }
        let mut kept = self.health.lock().await;
        let now = self.clock.now();
        if !self.is_due(now) {
            return;
        }
        let Some((address, path)) = self.health_target() else { return };
        self.lock().next_health = Some(now + self.cfg.health_gap);
        let work = async {
            let mut conn = match kept.take().filter(HttpConn::is_idle_and_open) {
                Some(conn) => conn,
                None => HttpConn::connect(address).await.ok()?,
            };
            let head = health(&mut conn, &path, address).await.ok()?;
            Some((conn, head))
        };
        let result = self.timers.within(now + HEALTH_TIMEOUT, work).await.flatten();
        let said = if result.is_some() { "answered" } else { "lost" };
        let time = self.clock.now().saturating_duration_since(now);
        self.metrics.called(Dependency::Upstream, "health", said, time);
        match result {
            Some((conn, head)) => {
                if !head.close {
                    *kept = Some(conn);
                }
                self.on_health(&head);
            }
            None => {
                self.lock().next_health = Some(now + HEALTH_REST);
                log::info!(address:% = address; "health check not answered");
            }
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let inner = self.lock();
        let rested = inner.next_health.is_none_or(|at| now >= at);
        rested && inner.gate.is_blind(now) && inner.upstream.known().is_some()
    }

    fn health_target(&self) -> Option<(SocketAddr, Arc<str>)> {
        let known = self.known()?;
        let world = self.world();
        let service = world.config.as_ref()?.1.services.get(&known.service)?;
        Some((known.address, service.health_path.clone()))
    }

    fn on_health(&self, head: &ResponseHead) {
        let Some(known) = self.known() else { return };
        if head.headers.get(header::UPSTREAM_ID).is_some_and(|id| id != &*known.incarnation.id) {
            return;
        }
        self.on_load(&head.headers);
        let cold = head.headers.get(header::COLD).and_then(header::read_millis);
        if let Some(cold) = cold {
            let rate = self.world().cold_rate(&known.service);
            self.lock().gate.set_cold(cold, rate, self.clock.now());
        }
    }

    /// Takes the load figures of an answer, if it has any.
    fn on_load(&self, headers: &Headers) {
        if let Some(figures) = headers.get(header::LOAD).and_then(header::read_load) {
            self.lock().gate.on_figures(figures, self.clock.now());
        }
    }

    /// Hands a request to the upstream.
    async fn run(&self, offer: &Offer, deadline: Instant) -> End {
        let Some(known) = self.known() else {
            return End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
        };
        let started = self.clock.now();
        let slowness = self.lock().gate.slowness();
        let Some(taken) = self.connection(known.address, deadline).await else {
            return End::NotRun { why: ErrorKind::ConnectFailed, arrived: false };
        };
        let remaining = left(deadline, self.clock.now());
        if remaining.is_zero() {
            self.pool.put(taken.conn, known.address, started + Duration::from_secs(1));
            return End::NotRun { why: ErrorKind::DeadlineExceeded, arrived: false };
        }
        let mut headers = offer.headers.clone();
        headers.set(header::DEADLINE, remaining.as_millis().max(1).to_string());
        headers.set(header::EXPECTED_UPSTREAM, &*known.incarnation.id);
        let request = encode_request(&offer.method, &offer.target, &headers, &offer.body);
        let work = exchange(taken.conn, &request, &offer.id, self.cfg.body_max);
        let result = self.timers.within(deadline, work).await;
        let now = self.clock.now();
        let run_time = now.saturating_duration_since(started);
        let said = match &result {
            None => "timed-out",
            Some(Err(_)) => "lost",
            Some(Ok(_)) => "answered",
        };
        self.metrics.called(Dependency::Upstream, "request", said, run_time);
        let end = match result {
            None => End::Unknown(ErrorKind::UpstreamTimeout),
            Some(Err(Failed { why, .. })) => End::Unknown(why),
            Some(Ok(exchanged)) => self.answered(exchanged, &known, now),
        };
        self.record(offer, &known, &end, run_time.mul_f64(100.0 / f64::from(slowness.max(100))));
        log::debug!(id = &*offer.id, reused = taken.reused, slowness = slowness, route = &*offer.route,
            run_ms = run_time.as_millis() as u64; "upstream ended");
        end
    }

    async fn connection(&self, address: SocketAddr, deadline: Instant) -> Option<Taken> {
        let now = self.clock.now();
        if let Some(taken) = self.pool.take(address, now) {
            return Some(taken);
        }
        let until = deadline.min(now + CONNECT_TIMEOUT);
        let conn = self.timers.within(until, HttpConn::connect(address)).await?.ok()?;
        Some(Taken { conn, reused: false })
    }

    fn answered(&self, exchanged: Exchanged, known: &Announcement, now: Instant) -> End {
        let Exchanged { answer, conn } = exchanged;
        if let Some((conn, idle)) = conn {
            self.pool.put(conn, known.address, now + idle);
        }
        self.on_load(&answer.headers);
        if answer.status == header::STATUS_OTHER_UPSTREAM {
            self.forget(&known.incarnation);
            return End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
        }
        if answer.headers.get(header::NOT_RUN).is_some() {
            return End::NotRun { why: ErrorKind::Overloaded, arrived: true };
        }
        let signed = answer.headers.get(header::SIGNATURE).is_some();
        let success = (200..300).contains(&answer.status);
        if success && !signed || answer.headers.get("content-encoding").is_some() {
            return End::Unknown(ErrorKind::MismatchedAnswer);
        }
        End::Answered(clean(answer))
    }

    /// Forgets an upstream at whose address another one answers.
    fn forget(&self, incarnation: &Incarnation) {
        log::warn!(upstream = &*incarnation.id; "another upstream answers at this address");
        self.lock().upstream.forget(incarnation);
        self.pool.clear();
        self.review();
    }

    fn record(&self, offer: &Offer, known: &Announcement, end: &End, run_time: Duration) {
        // Running out of time is a matter of speed: some requests take longer than they may.
        let result = match end {
            End::Answered(answer) if answer.status < 500 => Some(run_time),
            End::Answered(answer) if answer.status == STATUS_DEADLINE => Some(run_time),
            End::Unknown(ErrorKind::UpstreamTimeout) => Some(run_time),
            End::Answered(_) | End::Unknown(_) => None,
            End::NotRun { .. } => return,
        };
        {
            let mut inner = self.lock();
            let calls = inner.running.iter().any(|run| run.id == offer.id && run.calls);
            // A failure of a request that made calls may be that of another service.
            if result.is_some() || !calls || matches!(end, End::Unknown(_)) {
                inner.gate.on_end(result.is_none(), self.clock.now());
            }
        }
        let unproved = self.world().is_unproved(&known.service, &known.version);
        {
            let mut inner = self.lock();
            inner.evidence.record(&known.version, &offer.route, result);
            if !unproved || inner.vetoed {
                return;
            }
            let Finding::Bad(why) = judge(&inner.evidence, &known.version, FOUND) else { return };
            log::warn!(version = known.version.as_str(), why = &*why; "version vetoed here");
            inner.vetoed = true;
        }
        self.review();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the headers of an answer that concern the connection it came on.
fn clean(mut answer: Answer) -> Answer {
    answer.headers.remove_hop_by_hop();
    answer.headers.remove("content-length");
    answer
}
