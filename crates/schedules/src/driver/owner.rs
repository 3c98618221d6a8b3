//! The owner of the local upstream; mirrors `src/node/owner.rs`, `owner/state.rs` and
//! `owner/exchange.rs`.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Lifecycle, LoadReport, Outcome, Revision, VersionName};
use oleandertiller_routing::limit::{
    Admission, AdmissionRequest, Completion, Decision, LimitConfig, Limiter,
};

use super::{Call, Node, Reply};
use crate::{
    executor::{Sender, is_clearing, oneshot},
    mutant::Mutant,
    upstream::{LOCAL_LATENCY, UpstreamAnswer, exchange},
};

/// Interval at which waiting requests are checked for expiry.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(5);

/// Age of the last announcement from which the upstream counts as absent.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that waits for a slot.
#[derive(Default)]
struct Waiter {
    decision: Option<Admission>,
    /// Wakes the request when dropped.
    waker: Option<Sender<()>>,
}

/// State of an owner.
pub(crate) struct OwnerState {
    pub limiter: Limiter,
    /// Announced instance and life cycle; `None` while the upstream is absent.
    upstream: Option<(u64, Lifecycle)>,
    announced_at: Option<Instant>,
    /// Requests in the admission queue, by ticket.
    waiting: HashMap<u64, Waiter>,
    next_ticket: u64,
    /// Sequence number of the last load report.
    sequence: u64,
    /// Whether a task runs that expires waiting requests.
    expiring: bool,
    /// Time since which the owner knows that its upstream is cold; only the checks read it.
    pub cold_since: Option<Instant>,
}

impl OwnerState {
    pub fn new(cold_limit: u32) -> Self {
        Self {
            limiter: Limiter::new(LimitConfig { cold_limit, ..LimitConfig::default() }),
            upstream: None,
            announced_at: None,
            waiting: HashMap::new(),
            next_ticket: 0,
            sequence: 0,
            expiring: false,
            cold_since: None,
        }
    }

    /// Returns the announced instance.
    pub fn instance(&self) -> Option<u64> {
        self.upstream.map(|(instance, _)| instance)
    }

    /// Returns the number of requests that run or wait.
    pub fn busy(&self) -> usize {
        self.limiter.in_flight() as usize + self.waiting.len()
    }

    fn announce(&mut self, instance: u64, lifecycle: Lifecycle, slots: u32, now: Instant) {
        let restarted = self.instance() != Some(instance);
        if lifecycle != Lifecycle::Cold {
            self.cold_since = None;
        } else if restarted || self.cold_since.is_none() {
            self.cold_since = Some(now);
        }
        self.limiter.on_announce(lifecycle, slots, restarted, now);
        self.upstream = Some((instance, lifecycle));
        self.announced_at = Some(now);
    }

    fn expire_announcement(&mut self, now: Instant) {
        let late = |at: Instant| now.saturating_duration_since(at) >= ANNOUNCE_TIMEOUT;
        if self.announced_at.is_some_and(late) {
            self.limiter.on_announce(Lifecycle::Absent, 0, false, now);
            self.announced_at = None;
            self.upstream = None;
            self.cold_since = None;
        }
    }

    fn release(&mut self, completion: Completion, now: Instant) {
        let decisions = self.limiter.release(completion, now);
        self.apply_decisions(decisions, now);
    }

    /// Delivers decisions, and releases the slots granted to requests that no longer wait.
    fn apply_decisions(&mut self, decisions: impl IntoIterator<Item = Decision>, now: Instant) {
        let mut unclaimed = self.deliver(decisions);
        while unclaimed > 0 {
            unclaimed -= 1;
            let decisions = self.limiter.release(Completion::Ignored, now);
            unclaimed += self.deliver(decisions);
        }
    }

    /// Passes decisions to the waiting requests; returns how many grants found no request.
    fn deliver(&mut self, decisions: impl IntoIterator<Item = Decision>) -> usize {
        let mut unclaimed = 0;
        for decision in decisions {
            match self.waiting.get_mut(&decision.ticket) {
                Some(waiting) => {
                    waiting.decision = Some(decision.admission);
                    waiting.waker = None;
                }
                None => unclaimed += usize::from(decision.admission == Admission::Run),
            }
        }
        unclaimed
    }

    fn report(&mut self, draining: bool, revision: Revision) -> LoadReport {
        self.sequence += 1;
        let limiter = &self.limiter;
        LoadReport {
            sequence: self.sequence,
            in_flight: limiter.in_flight(),
            limit: limiter.limit(),
            queued: limiter.queued(),
            queue_delay_us: limiter.queue_delay().as_micros() as u32,
            service_time_us: limiter.service_time().as_micros() as u32,
            lifecycle: if draining { Lifecycle::Draining } else { limiter.lifecycle() },
            version: VersionName::from("v1"),
            revision,
        }
    }
}

/// A slot granted by the limiter, released when dropped.
struct Slot<'a> {
    node: &'a Node,
    completion: Completion,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !is_clearing() {
            self.node.owner.borrow_mut().release(self.completion, self.node.sim.now());
        }
    }
}

/// A place in the admission queue, given up when dropped.
struct QueuePlace<'a>(&'a Node, u64);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if is_clearing() {
            return;
        }
        let mut state = self.0.owner.borrow_mut();
        let Some(waiting) = state.waiting.remove(&self.1) else { return };
        match waiting.decision {
            Some(Admission::Run) => state.release(Completion::Ignored, self.0.sim.now()),
            Some(_) => {}
            None => state.limiter.withdraw(self.1),
        }
    }
}

impl Node {
    /// Processes an announcement of the local upstream.
    pub fn announce(self: &Rc<Self>, instance: u64, lifecycle: Lifecycle) {
        let ignored = lifecycle == Lifecycle::Draining && self.sim.disables(Mutant::DrainCheck);
        let lifecycle = if ignored { Lifecycle::Serving } else { lifecycle };
        let slots = self.sim.upstreams[self.index].slots;
        self.owner.borrow_mut().announce(instance, lifecycle, slots, self.sim.now());
        self.sync_local_record();
    }

    /// Returns the next load report.
    pub fn load(&self) -> LoadReport {
        let revision = self.agent.borrow().replica().revision();
        self.owner.borrow_mut().report(self.draining.get(), revision)
    }

    /// Expires queued requests and the announcement.
    pub fn owner_tick(self: &Rc<Self>) {
        let now = self.sim.now();
        let before = self.owner.borrow().upstream;
        {
            let mut state = self.owner.borrow_mut();
            let decisions = state.limiter.expire(now);
            state.apply_decisions(decisions, now);
            state.expire_announcement(now);
        }
        if self.owner.borrow().upstream != before {
            self.sync_local_record();
        }
    }

    /// Returns the life cycle of the upstream as the node's member record states it.
    pub fn lifecycle(&self) -> Lifecycle {
        let announced = self.owner.borrow().upstream.map_or(Lifecycle::Absent, |(_, l)| l);
        if self.draining.get() { Lifecycle::Draining } else { announced }
    }

    /// Runs a call at the upstream, or refuses it.
    pub async fn run_as_owner(self: &Rc<Self>, mut call: Call) -> Reply {
        let result = self.attempt_as_owner(&mut call).await;
        let load = Some(self.load());
        match result {
            Ok(answer) => Reply {
                id: call.id,
                outcome: Outcome::Done,
                status: answer.status,
                token: answer.token,
                complete: answer.complete,
                load,
            },
            Err(outcome) => Reply { load, ..Reply::failure(call.id, outcome) },
        }
    }

    async fn attempt_as_owner(self: &Rc<Self>, call: &mut Call) -> Result<UpstreamAnswer, Outcome> {
        let mut slot = self.acquire_slot(call).await.map_err(Outcome::NotRun)?;
        let started = self.sim.now();
        call.granted = started;
        let result = self.send_to_upstream(call).await;
        let elapsed = self.sim.now() - started;
        slot.completion = match &result {
            Ok(answer) if answer.status < 500 => Completion::Success(elapsed),
            Ok(_) | Err(Outcome::Unknown(_)) => Completion::Failure(elapsed),
            Err(Outcome::NotRun(ErrorKind::ConnectFailed)) => Completion::Failure(elapsed),
            Err(_) => Completion::Ignored,
        };
        result
    }

    async fn send_to_upstream(&self, call: &Call) -> Result<UpstreamAnswer, Outcome> {
        self.sim.executor.sleep(LOCAL_LATENCY).await;
        let upstream = &self.sim.upstreams[self.index];
        if !upstream.up.get() {
            return Err(Outcome::NotRun(ErrorKind::ConnectFailed));
        }
        if self.sim.now() >= call.deadline {
            return Err(Outcome::NotRun(ErrorKind::DeadlineExceeded));
        }
        let mut work = exchange(self, call);
        let answer = self.sim.executor.within(call.deadline, &mut work.answer).await;
        let answer = answer.ok_or(Outcome::Unknown(ErrorKind::UpstreamTimeout))?;
        let answer = answer.ok_or(Outcome::Unknown(ErrorKind::ConnectionLost))?;
        if self.sim.disables(Mutant::AnswerCheck) {
            return Ok(answer);
        }
        if answer.id != call.id {
            return Err(Outcome::Unknown(ErrorKind::MismatchedAnswer));
        }
        if !answer.complete {
            return Err(Outcome::Unknown(ErrorKind::TruncatedAnswer));
        }
        Ok(answer)
    }

    async fn acquire_slot(self: &Rc<Self>, call: &Call) -> Result<Slot<'_>, ErrorKind> {
        let weight = self.check_call(call)?;
        let now = self.sim.now();
        let (ticket, admission) = {
            let mut state = self.owner.borrow_mut();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let admission_request =
                AdmissionRequest { ticket, weight, depth: call.depth, deadline: call.deadline };
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
        let slot = Slot { node: self, completion: Completion::Ignored };
        let present = self.owner.borrow().upstream.is_some();
        if present { Ok(slot) } else { Err(ErrorKind::NoUpstream) }
    }

    async fn wait_for_slot(self: &Rc<Self>, ticket: u64) -> Result<(), ErrorKind> {
        let _place = QueuePlace(self, ticket);
        self.expire_while_waiting();
        loop {
            let rx = {
                let mut state = self.owner.borrow_mut();
                let Some(waiting) = state.waiting.get_mut(&ticket) else {
                    return Err(ErrorKind::Internal);
                };
                if let Some(decision) = waiting.decision {
                    state.waiting.remove(&ticket);
                    return match decision {
                        Admission::Refuse(kind) => Err(kind),
                        Admission::Run | Admission::Wait => Ok(()),
                    };
                }
                let (tx, rx) = oneshot(&self.sim.executor);
                waiting.waker = Some(tx);
                rx
            };
            rx.await;
        }
    }

    fn expire_while_waiting(self: &Rc<Self>) {
        if std::mem::replace(&mut self.owner.borrow_mut().expiring, true) {
            return;
        }
        let node = self.clone();
        self.sim.executor.spawn(self.process, async move {
            while !node.owner.borrow().waiting.is_empty() {
                node.sim.executor.sleep(EXPIRE_INTERVAL).await;
                node.owner_tick();
            }
            node.owner.borrow_mut().expiring = false;
        });
    }

    fn check_call(&self, call: &Call) -> Result<u32, ErrorKind> {
        if self.draining.get() {
            return Err(ErrorKind::Draining);
        }
        if !self.is_fresh() {
            return Err(ErrorKind::StaleIntent);
        }
        let spec = &self.sim.node_specs[self.index];
        if !self.zone_in_service(&spec.zone) {
            return Err(ErrorKind::ZoneOut);
        }
        let agent = self.agent.borrow();
        let name = &self.sim.services[call.service].name;
        let known = agent.replica().intent().services.get(name);
        let service = known.filter(|_| spec.service == call.service);
        let service = service.ok_or(ErrorKind::UnknownService)?;
        Ok(service.kinds[call.kind].weight)
    }
}
