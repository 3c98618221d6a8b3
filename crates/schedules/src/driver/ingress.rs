//! The client port; mirrors `src/node/ingress.rs`, `ingress/attempts.rs` and `ingress/keyed.rs`.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{ErrorKind, NodeName, Outcome, Safety};
use oleandertiller_routing::{outcome::may_retry, selection::Candidate};

use super::{
    Call, Node, Reply,
    inner::request,
    keeper::{Decision, StoredAnswer},
};
use crate::{
    executor::{is_clearing, oneshot},
    mutant::Mutant,
};

/// Pause before the keeper of a key is looked up again.
const KEEPER_LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// Where the keeper of a key is.
enum KeeperSite {
    Local,
    Remote(usize),
    Unknown,
}

/// Counts a request of a client or a run of a key as active until dropped.
struct ActiveGuard(Rc<Node>);

impl ActiveGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.active.set(node.active.get() + 1);
        Self(node.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// The owner chosen for an attempt, which counts as cancelled if this is dropped unfinished.
struct PickedOwner<'a> {
    node: &'a Node,
    service: usize,
    owner: Candidate,
    started: std::time::Instant,
    finished: bool,
}

impl PickedOwner<'_> {
    fn finish(mut self, reply: &Reply) {
        self.finished = true;
        let failed = reply.outcome == Outcome::Done && reply.status >= 500;
        let outcome = if failed { Outcome::Unknown(ErrorKind::Internal) } else { reply.outcome };
        let now = self.node.sim.now();
        let elapsed = now - self.started;
        let mut selectors = self.node.selectors.borrow_mut();
        let load = reply.load.clone();
        selectors[self.service].on_end(&self.owner.node, outcome, elapsed, load, now);
    }
}

impl Drop for PickedOwner<'_> {
    fn drop(&mut self) {
        if self.finished || is_clearing() {
            return;
        }
        let outcome = Outcome::Unknown(ErrorKind::Cancelled);
        let mut selectors = self.node.selectors.borrow_mut();
        let selector = &mut selectors[self.service];
        selector.on_end(&self.owner.node, outcome, Duration::ZERO, None, self.started);
    }
}

impl Node {
    /// Answers a client's request.
    pub async fn answer_client(self: Rc<Self>, call: Call) -> Reply {
        let _active = ActiveGuard::new(&self);
        if let Err(kind) = self.check_admission(&call) {
            let kind = if self.is_keyed(&call) { ErrorKind::KeeperUnreachable } else { kind };
            return Reply::error(call.id, kind);
        }
        self.retry.borrow_mut().on_call();
        let share = self.agent.borrow().replica().intent().measuring_ppm();
        self.measuring.borrow_mut().on_call();
        self.sim.checks.borrow_mut().on_call(self.index, share);
        let reply = match self.is_keyed(&call) {
            true => self.run_keyed(call.clone()).await,
            false => self.run_attempts(&call).await,
        };
        self.probe_if_due(call.service);
        reply
    }

    fn is_keyed(&self, call: &Call) -> bool {
        call.key.is_some() && self.safety(call) == Safety::AtMostOnce
    }

    fn safety(&self, call: &Call) -> Safety {
        self.sim.services[call.service].kinds[call.kind].safety
    }

    fn check_admission(&self, call: &Call) -> Result<(), ErrorKind> {
        let name = &self.sim.services[call.service].name;
        if !self.agent.borrow().replica().intent().services.contains_key(name) {
            return Err(ErrorKind::UnknownService);
        }
        if call.depth == 0 && self.draining.get() {
            return Err(ErrorKind::Draining);
        }
        if !self.is_fresh() {
            return Err(ErrorKind::StaleIntent);
        }
        Ok(())
    }

    pub async fn run_attempts(self: &Rc<Self>, call: &Call) -> Reply {
        let safety = self.safety(call);
        let mut tried: Vec<NodeName> = Vec::new();
        let mut last = Reply::error(call.id, ErrorKind::NoUpstream);
        let mut first_unknown = None;
        let mut failed = None;
        loop {
            let now = self.sim.now();
            if now >= call.deadline {
                break;
            }
            if !tried.is_empty() && !self.retry.borrow_mut().try_take(now) {
                break;
            }
            let Some(picked) = self.pick(call.service, &tried) else { break };
            tried.push(picked.owner.node.clone());
            last = self.run_attempt(call, picked).await;
            if let Outcome::Unknown(kind) = last.outcome {
                first_unknown.get_or_insert(kind);
            }
            if !is_retryable(&last, safety) {
                break;
            }
            if last.outcome == Outcome::Done && !self.sim.disables(Mutant::FailedAnswer) {
                failed = Some(last.clone());
            }
        }
        if tried.is_empty() && self.sim.now() >= call.deadline {
            last = Reply::error(call.id, ErrorKind::DeadlineExceeded);
        }
        if let (Outcome::NotRun(_) | Outcome::Unknown(_), Some(failed)) = (last.outcome, failed) {
            return failed;
        }
        if let (Outcome::NotRun(_), Some(kind)) = (last.outcome, first_unknown)
            && !self.sim.disables(Mutant::EarlierUnknown)
        {
            last.outcome = Outcome::Unknown(kind);
        }
        last
    }

    fn pick(&self, service: usize, tried: &[NodeName]) -> Option<PickedOwner<'_>> {
        self.refresh_candidates();
        let now = self.sim.now();
        let mut rng = self.rng.borrow_mut();
        let owner = self.selectors.borrow_mut()[service].pick(&mut *rng, tried, None, now)?;
        Some(PickedOwner { node: self, service, owner, started: now, finished: false })
    }

    async fn run_attempt(self: &Rc<Self>, call: &Call, picked: PickedOwner<'_>) -> Reply {
        let reply = self.call_owner(call, &picked.owner.node).await;
        let reply = reply.unwrap_or_else(|outcome| Reply::failure(call.id, outcome));
        picked.finish(&reply);
        reply
    }

    async fn call_owner(self: &Rc<Self>, call: &Call, owner: &NodeName) -> Result<Reply, Outcome> {
        let found = self.find(owner);
        let (to, _) = found.ok_or(Outcome::NotRun(ErrorKind::NoUpstream))?;
        if to == self.index {
            return Ok(self.run_as_owner(call.clone()).await);
        }
        let localize_call = self.localize_call(call);
        let serve = move |node: Rc<Self>| async move {
            let call = localize_call(&node);
            node.run_as_owner(call).await
        };
        let reply = request(&self.sim, self.caller(), to, call.deadline, serve).await?;
        self.check_reply(call, reply)
    }

    /// Returns a function that makes the call as its receiver sees it: a deadline is sent as the
    /// remaining time, which counts from the arrival.
    fn localize_call(&self, call: &Call) -> impl FnOnce(&Node) -> Call + 'static {
        let remaining = call.deadline.saturating_duration_since(self.sim.now());
        let call = call.clone();
        move |node: &Node| Call { deadline: node.sim.now() + remaining, ..call }
    }

    fn check_reply(&self, call: &Call, mut reply: Reply) -> Result<Reply, Outcome> {
        let wrong_id_share = self.sim.net.borrow().wrong_id_share;
        if self.sim.chance(wrong_id_share) {
            reply.id += 1;
            reply.token += 1;
        }
        if reply.id != call.id && !self.sim.disables(Mutant::AnswerCheck) {
            return Err(Outcome::Unknown(ErrorKind::MismatchedAnswer));
        }
        Ok(reply)
    }

    async fn run_keyed(self: &Rc<Self>, call: Call) -> Reply {
        loop {
            let reply = match self.keeper_of(&call) {
                KeeperSite::Local => self.run_once(call.clone()).await,
                KeeperSite::Remote(to) => self.forward_to_keeper(&call, to).await,
                KeeperSite::Unknown => None,
            };
            if let Some(reply) = reply {
                return reply;
            }
            if self.sim.now() + KEEPER_LOOKUP_INTERVAL >= call.deadline {
                return Reply::error(call.id, ErrorKind::KeeperUnreachable);
            }
            self.sim.executor.sleep(KEEPER_LOOKUP_INTERVAL).await;
        }
    }

    fn keeper_of(&self, call: &Call) -> KeeperSite {
        if self.sim.disables(Mutant::Ledger) {
            return KeeperSite::Local;
        }
        let agent = self.agent.borrow();
        let service = &self.sim.services[call.service].name;
        let set = agent.replica().intent().keepers.get(service);
        let keeper = call.key.and_then(|key| set.and_then(|set| set.keeper_of(&key)).cloned());
        drop(agent);
        match keeper.and_then(|keeper| self.find(&keeper.node)) {
            Some((index, _)) if index == self.index => KeeperSite::Local,
            Some((index, _)) => KeeperSite::Remote(index),
            None => KeeperSite::Unknown,
        }
    }

    async fn forward_to_keeper(self: &Rc<Self>, call: &Call, to: usize) -> Option<Reply> {
        let localize_call = self.localize_call(call);
        let serve = move |node: Rc<Self>| async move {
            let call = localize_call(&node);
            let id = call.id;
            let reply = node.run_once(call).await;
            reply.unwrap_or_else(|| Reply::error(id, ErrorKind::StaleIntent))
        };
        let reply = request(&self.sim, self.caller(), to, call.deadline, serve).await;
        match reply.and_then(|reply| self.check_reply(call, reply)) {
            Ok(reply) if reply.outcome == Outcome::NotRun(ErrorKind::StaleIntent) => None,
            Ok(reply) => Some(reply),
            Err(Outcome::NotRun(_)) => None,
            Err(outcome) => Some(Reply::failure(call.id, outcome)),
        }
    }

    /// Decides on a request as its keeper and runs it; returns `None` when this node is not the
    /// keeper or cannot be sure of it.
    async fn run_once(self: &Rc<Self>, call: Call) -> Option<Reply> {
        if !self.is_fresh() {
            return None;
        }
        let key = call.key?;
        match self.decide(key, &call).await {
            Decision::Run => {}
            Decision::Answer(reply) => return Some(reply),
            Decision::NotKeeper => return None,
        }
        let (tx, rx) = oneshot(&self.sim.executor);
        let node = self.clone();
        // The run continues when the client has gone, since a repeat gets the answer of this run.
        self.sim.executor.spawn(self.process, async move {
            let _active = ActiveGuard::new(&node);
            let reply = node.run_attempts(&call).await;
            let stored = StoredAnswer { status: reply.status, token: reply.token };
            node.finish(&key, reply.outcome, stored);
            tx.send(reply);
        });
        rx.await
    }
}

fn is_retryable(reply: &Reply, safety: Safety) -> bool {
    if reply.outcome == Outcome::Done {
        return reply.status >= 500 && safety == Safety::Idempotent;
    }
    may_retry(reply.outcome, safety)
}
