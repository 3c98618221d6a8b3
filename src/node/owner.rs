//! The owner of the local upstream, through which all of the upstream's requests go.

pub mod exchange;
pub mod pool;
pub mod state;

use std::{
    future::poll_fn,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use oleandertiller_model::{
    Clock, ErrorKind, LoadReport, Outcome, VersionName,
    codec::PROTOCOL_VERSION,
    message::{CallHead, ReplyHead, Role},
};
use oleandertiller_routing::limit::{Admission, AdmissionRequest, Completion, Limiter};

use self::{
    exchange::{UpstreamAnswer, encode_head, exchange},
    pool::Pool,
    state::{Announcement, State, Waiter},
};
use crate::{
    node::{
        config::NodeConfig,
        metrics::Metrics,
        timer::Timers,
        view::{View, ViewCell},
    },
    telemetry::StateChange,
};

/// Owns the local upstream: its concurrency limit, admission queue, connections and life cycle.
pub struct Owner<C> {
    cfg: Arc<NodeConfig>,
    clock: C,
    view: ViewCell,
    timers: Timers,
    metrics: Metrics,
    state: Mutex<State>,
    pool: Pool,
    draining: AtomicBool,
}

/// A slot granted by the limiter, released when dropped.
struct Slot<'a, C: Clock> {
    owner: &'a Owner<C>,
    upstream: Arc<Announcement>,
    started: Instant,
    completion: Completion,
}

impl<C: Clock> Drop for Slot<'_, C> {
    fn drop(&mut self) {
        let now = self.owner.clock.now();
        self.owner.lock().release(self.completion, now);
    }
}

/// A place in the admission queue, given up when dropped.
struct QueuePlace<'a, C: Clock> {
    owner: &'a Owner<C>,
    ticket: u64,
}

impl<C: Clock> Drop for QueuePlace<'_, C> {
    fn drop(&mut self) {
        let now = self.owner.clock.now();
        let mut state = self.owner.lock();
        let Some(waiting) = state.waiting.remove(&self.ticket) else { return };
        match waiting.decision {
            Some(Admission::Run) => state.release(Completion::Ignored, now),
            Some(_) => {}
            None => state.limiter.withdraw(self.ticket),
        }
    }
}

impl<C: Clock> Owner<C> {
    /// Creates the owner of an upstream that has not been announced yet.
    pub fn new(
        cfg: Arc<NodeConfig>,
        clock: C,
        view: ViewCell,
        timers: Timers,
        metrics: Metrics,
    ) -> Self {
        let state = Mutex::new(State::new(Limiter::new(cfg.limit.clone())));
        let (pool, draining) = (Pool::default(), AtomicBool::new(false));
        Self { cfg, clock, view, timers, metrics, state, pool, draining }
    }

    /// Processes an announcement of the local upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownService`] when the announcement names another service.
    pub fn announce(&self, announcement: Announcement) -> Result<(), ErrorKind> {
        if announcement.service != self.cfg.service {
            return Err(ErrorKind::UnknownService);
        }
        let now = self.clock.now();
        let lifecycle = announcement.lifecycle;
        let (instance, version) = (announcement.instance.clone(), announcement.version.clone());
        let restarted = self.lock().announce(announcement, now);
        if restarted {
            let what = format!("upstream of {}", self.cfg.name);
            let to = format!("instance {instance} of version {version}, {lifecycle:?}");
            let change = StateChange::new(what, "another instance or none", to);
            change.with_why("it announced itself").log();
            self.pool.clear();
        }
        Ok(())
    }

    /// Returns the last announcement of the upstream; `None` if it has none or it has expired.
    pub fn upstream(&self) -> Option<Arc<Announcement>> {
        self.lock().upstream.clone()
    }

    /// Returns a report of the current load.
    pub fn load(&self) -> LoadReport {
        let revision = self.view.load().intent.revision;
        self.lock().report(self.is_draining(), revision)
    }

    /// Expires queued requests, the announcement and idle connections; call it every few
    /// milliseconds.
    pub fn tick(&self, now: Instant) {
        {
            let mut state = self.lock();
            let decisions = state.limiter.expire(now);
            state.apply_decisions(decisions, now);
            state.expire_announcement(self.cfg.announce_timeout, now);
            self.metrics.in_flight.set(state.limiter.in_flight().into());
            self.metrics.queued.set(state.limiter.queued().into());
            self.metrics.limit.set(state.limiter.limit().into());
        }
        self.pool.expire(now);
    }

    /// Runs a call at the upstream until `deadline` at the latest, or refuses it.
    pub async fn run(&self, call: &CallHead, deadline: Instant, body: &[u8]) -> (ReplyHead, Bytes) {
        let result = match call.role {
            Role::Probe => Err(Outcome::Done),
            _ => self.attempt(call, deadline, body).await,
        };
        let mut load = self.load();
        let (outcome, answer, service_time) = match result {
            Ok((answer, service_time)) => (Outcome::Done, answer, service_time),
            Err(outcome) => (outcome, empty_answer(), Duration::ZERO),
        };
        // The upstream may have been replaced between its announcement and its answer.
        if let Some(version) = answer.version.filter(|version| *version != load.version.as_str()) {
            load.version = VersionName::new(version);
        }
        let head = ReplyHead {
            protocol: PROTOCOL_VERSION,
            request: call.request.clone(),
            outcome,
            status: answer.status,
            content_type: answer.content_type,
            body_len: answer.body.len() as u64,
            service_time,
            load,
        };
        (head, answer.body)
    }

    async fn attempt(
        &self,
        call: &CallHead,
        deadline: Instant,
        body: &[u8],
    ) -> Result<(UpstreamAnswer, Duration), Outcome> {
        let mut slot = self.acquire_slot(call, deadline).await.map_err(Outcome::NotRun)?;
        let result = self.send_to_upstream(&slot.upstream, call, deadline, body).await;
        let elapsed = self.clock.now().saturating_duration_since(slot.started);
        slot.completion = match &result {
            Ok(answer) if answer.status < 500 => Completion::Success(elapsed),
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout)) => {
                self.lock().limiter.classify_timeout(elapsed)
            }
            Ok(_) | Err(Outcome::Unknown(_)) => Completion::Failure(elapsed),
            Err(Outcome::NotRun(ErrorKind::ConnectFailed)) => Completion::Failure(elapsed),
            Err(_) => Completion::Ignored,
        };
        result.map(|answer| (answer, elapsed))
    }

    async fn send_to_upstream(
        &self,
        upstream: &Announcement,
        call: &CallHead,
        deadline: Instant,
        body: &[u8],
    ) -> Result<UpstreamAnswer, Outcome> {
        let conn = self.connect(upstream, deadline).await.map_err(Outcome::NotRun)?;
        // This process may have been paused, or the zone taken out, while the request waited.
        self.check_intent().map_err(Outcome::NotRun)?;
        let remaining = deadline.saturating_duration_since(self.clock.now());
        if remaining.is_zero() {
            return Err(Outcome::NotRun(ErrorKind::DeadlineExceeded));
        }
        let head = encode_head(call, upstream.address, remaining, body.len());
        let head = head.map_err(Outcome::NotRun)?;
        let work = exchange(&conn, head, body, &call.request, self.cfg.body_max_bytes);
        // Dropping the connection signals to the upstream that the request is cancelled.
        let result = self.timers.within(deadline, work).await;
        let answer = result.unwrap_or(Err(ErrorKind::UpstreamTimeout)).map_err(Outcome::Unknown)?;
        if answer.keep_alive {
            self.pool.put(conn, upstream.address, self.clock.now());
        }
        Ok(answer)
    }

    async fn connect(
        &self,
        upstream: &Announcement,
        deadline: Instant,
    ) -> Result<super::conn::Conn, ErrorKind> {
        let now = self.clock.now();
        let until = deadline.min(now + self.cfg.connect_timeout);
        match self.timers.within(until, self.pool.take(upstream.address, now)).await {
            Some(Ok(conn)) => Ok(conn),
            None if until == deadline => Err(ErrorKind::DeadlineExceeded),
            _ => Err(ErrorKind::ConnectFailed),
        }
    }

    async fn acquire_slot(
        &self,
        call: &CallHead,
        deadline: Instant,
    ) -> Result<Slot<'_, C>, ErrorKind> {
        let weight = self.check_call(call)?;
        let now = self.clock.now();
        let (ticket, admission) = {
            let mut state = self.lock();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let admission_request =
                AdmissionRequest { ticket, weight, depth: call.depth, deadline };
            let admission = state.limiter.admit(admission_request, now);
            if admission == Admission::Wait {
                state.waiting.insert(ticket, Waiter::default());
            }
            (ticket, admission)
        };
        match admission {
            Admission::Run => {}
            Admission::Wait => self.wait_for_slot(ticket).await?,
            Admission::Refuse(kind) => return Err(kind),
        }
        self.slot()
    }

    /// Returns the guard of a slot that the limiter has granted.
    fn slot(&self) -> Result<Slot<'_, C>, ErrorKind> {
        let started = self.clock.now();
        let mut state = self.lock();
        match state.upstream.clone() {
            Some(upstream) => {
                drop(state);
                Ok(Slot { owner: self, upstream, started, completion: Completion::Ignored })
            }
            None => {
                state.release(Completion::Ignored, started);
                Err(ErrorKind::NoUpstream)
            }
        }
    }

    async fn wait_for_slot(&self, ticket: u64) -> Result<(), ErrorKind> {
        let _place = QueuePlace { owner: self, ticket };
        let decision = poll_fn(|cx| {
            let mut state = self.lock();
            let Some(waiting) = state.waiting.get_mut(&ticket) else {
                return Poll::Ready(Admission::Refuse(ErrorKind::Internal));
            };
            match waiting.decision {
                Some(decision) => {
                    state.waiting.remove(&ticket);
                    Poll::Ready(decision)
                }
                None => {
                    waiting.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        });
        match decision.await {
            Admission::Refuse(kind) => Err(kind),
            Admission::Run | Admission::Wait => Ok(()),
        }
    }

    /// Checks everything that does not depend on load; returns the weight of the kind.
    fn check_call(&self, call: &CallHead) -> Result<u32, ErrorKind> {
        if self.is_draining() {
            return Err(ErrorKind::Draining);
        }
        let view = self.check_intent()?;
        if call.depth > self.cfg.max_depth {
            return Err(ErrorKind::DepthExceeded);
        }
        if call.service != self.cfg.service {
            return Err(ErrorKind::UnknownService);
        }
        let service = view.intent.services.get(&call.service).ok_or(ErrorKind::UnknownService)?;
        let kind = service.kind(call.kind.as_str()).ok_or(ErrorKind::UnknownKind)?;
        Ok(kind.weight)
    }

    /// Checks that the intent is current and has the zone in service; returns the view.
    fn check_intent(&self) -> Result<Arc<View>, ErrorKind> {
        // Checked before the view is loaded: once fresh again, the view holds the newer intent.
        if !self.view.is_fresh(self.clock.now()) {
            return Err(ErrorKind::StaleIntent);
        }
        let view = self.view.load();
        if view.intent.zone_in_service(&self.cfg.zone) { Ok(view) } else { Err(ErrorKind::ZoneOut) }
    }

    /// Starts to drain: new requests are refused from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Closes the idle connections to the upstream.
    pub fn disconnect(&self) {
        self.pool.clear();
    }

    /// Returns whether requests are at the upstream or in the queue.
    pub fn is_busy(&self) -> bool {
        let state = self.lock();
        state.limiter.in_flight() > 0 || !state.waiting.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn empty_answer() -> UpstreamAnswer {
    let body = Bytes::new();
    UpstreamAnswer { status: 0, content_type: None, version: None, body, keep_alive: false }
}
