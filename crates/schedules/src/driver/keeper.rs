//! The ledger and the keeper set; mirrors `src/node/shared_ledger.rs` and
//! `src/node/keeper.rs`.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_fleet::CommandOutcome;
use oleandertiller_model::{
    Action, ErrorKind, IdempotencyKey, Lifecycle, Outcome,
    intent::{Keeper, KeeperSet},
};
use oleandertiller_routing::ledger::{Claim, Handover, RunOutcome};
use rand::Rng;

use super::{
    Call, Node, Reply,
    inner::{is_refused, request},
};
use crate::mutant::Mutant;

/// Interval at which a key is polled that is in progress or whose handover is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval of the rounds, and of the checks whether a leave is complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one pull of ledger entries.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of attempts to connect to an unreachable keeper.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive refused connections that prove that no process listens at the address.
const REFUSALS_UNTIL_LOST: u32 = 3;

/// Shortest time between two commands; with jitter it is up to three times as long.
const COMMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the handover at a planned stop.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a command that the node submits.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// The answer to the first run of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredAnswer {
    pub status: u16,
    pub token: u64,
}

/// Decision of a keeper on a request with a key.
pub(crate) enum Decision {
    Run,
    Answer(Reply),
    NotKeeper,
}

/// Evidence on whether the process of an unreachable keeper is gone.
#[derive(Default)]
struct LossEvidence {
    refusals: u32,
    checked_at: Option<Instant>,
}

/// State of [`Node::run_keeper`] that one round passes to the next.
struct RoundState {
    loss_evidence: BTreeMap<Keeper, LossEvidence>,
    next_submit: Instant,
}

impl Node {
    /// Decides on a request as its keeper; waits while its key is in progress or in a handover.
    pub async fn decide(&self, key: IdempotencyKey, call: &Call) -> Decision {
        if self.sim.disables(Mutant::Ledger) {
            return Decision::Run;
        }
        let refuse = |kind| Decision::Answer(Reply::error(call.id, kind));
        loop {
            let (now, wall) = (self.sim.now(), self.sim.executor.wall());
            let claim = self.ledger.borrow_mut().claim(key, now, wall);
            let wait_failure = match claim {
                Claim::Run => return Decision::Run,
                Claim::Replay(stored) => {
                    return Decision::Answer(Reply {
                        id: call.id,
                        outcome: Outcome::Done,
                        status: stored.status,
                        token: stored.token,
                        complete: true,
                        load: None,
                    });
                }
                Claim::Refuse(kind) => return refuse(kind),
                Claim::NotKeeper => return Decision::NotKeeper,
                Claim::InProgress => ErrorKind::KeyInProgress,
                Claim::Pending => ErrorKind::KeyInDoubt,
            };
            if now + POLL_INTERVAL >= call.deadline {
                return refuse(wait_failure);
            }
            self.sim.executor.sleep(POLL_INTERVAL).await;
        }
    }

    pub fn finish(&self, key: &IdempotencyKey, outcome: Outcome, stored: StoredAnswer) {
        let run_outcome = match outcome {
            Outcome::Done => RunOutcome::Done(stored),
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        self.ledger.borrow_mut().finish(key, run_outcome);
    }

    /// Keeps the node in the keeper set of its service.
    pub async fn run_keeper(self: Rc<Self>) {
        let mut state = RoundState { loss_evidence: BTreeMap::new(), next_submit: self.sim.now() };
        while !self.stopping.get() {
            if self.is_fresh() {
                self.round(&mut state).await;
            }
            self.sim.executor.sleep(CHECK_INTERVAL).await;
        }
        // A leaving keeper still applies newer sets, or it would hand over under an old one.
        loop {
            self.sync_keeper_set();
            self.sim.executor.sleep(CHECK_INTERVAL).await;
        }
    }

    async fn round(self: &Rc<Self>, state: &mut RoundState) {
        let set = self.sync_keeper_set();
        let me = self.me();
        if !set.holders().any(|keeper| *keeper == me) {
            self.join(state).await;
            return;
        }
        let missing_handovers = self.ledger.borrow().missing_handovers();
        for holder in missing_handovers {
            self.pull(&set, &holder).await;
        }
        self.declare_lost(&set, state).await;
    }

    fn service_name(&self) -> oleandertiller_model::ServiceName {
        self.sim.services[self.sim.node_specs[self.index].service].name.clone()
    }

    fn sync_keeper_set(&self) -> KeeperSet {
        let agent = self.agent.borrow();
        let set = agent.replica().intent().keepers.get(&self.service_name());
        let set = set.cloned().unwrap_or_default();
        let mut ledger = self.ledger.borrow_mut();
        if set.epoch > ledger.keeper_set().epoch {
            ledger.apply_keeper_set(set.clone());
        }
        set
    }

    async fn join(self: &Rc<Self>, state: &mut RoundState) {
        let name = self.service_name();
        let known = self.agent.borrow().replica().intent().services.contains_key(&name);
        if known && self.lifecycle() != Lifecycle::Absent && self.may_submit(state) {
            self.submit(Action::PutKeeper(name, self.me())).await;
        }
    }

    async fn submit(self: &Rc<Self>, action: Action) -> bool {
        let end = self.sim.now() + COMMAND_TIMEOUT;
        matches!(self.command(action, end).await, CommandOutcome::Accepted(_))
    }

    async fn pull(self: &Rc<Self>, set: &KeeperSet, holder: &Keeper) {
        let Some((to, _)) = self.find(&holder.node) else { return };
        let (me, epoch) = (self.me(), set.epoch);
        let serve = move |node: Rc<Self>| async move {
            let now = node.sim.now();
            node.ledger.borrow_mut().hand_over(&me, epoch, now)
        };
        let end = self.sim.now() + PULL_TIMEOUT;
        let answer = request(&self.sim, self.caller(), to, end, serve).await;
        let handover: Option<Handover<StoredAnswer>> = answer.ok().flatten();
        if let Some(handover) = handover.filter(|handover| handover.from == *holder) {
            self.ledger.borrow_mut().take_over(handover, self.sim.now());
        }
    }

    async fn declare_lost(self: &Rc<Self>, set: &KeeperSet, state: &mut RoundState) {
        let me = self.me();
        state.loss_evidence.retain(|keeper, _| set.holders().any(|known| known == keeper));
        for keeper in set.holders().filter(|keeper| **keeper != me) {
            if !self.is_process_gone(keeper, state).await || !self.may_submit(state) {
                continue;
            }
            let (service, at) = (self.service_name(), self.sim.executor.wall());
            let lost = Action::LoseKeeper { service, keeper: keeper.clone(), at };
            self.submit(lost).await;
            return;
        }
    }

    async fn is_process_gone(self: &Rc<Self>, keeper: &Keeper, state: &mut RoundState) -> bool {
        let Some((index, reachable)) = self.find(&keeper.node) else { return false };
        let evidence = state.loss_evidence.entry(keeper.clone()).or_default();
        if reachable {
            *evidence = LossEvidence::default();
            return false;
        }
        let now = self.sim.now();
        if evidence.checked_at.is_some_and(|checked_at| now < checked_at + REFUSAL_CHECK_INTERVAL) {
            return false;
        }
        let refused = is_refused(&self.sim, self.caller(), index).await;
        evidence.checked_at = Some(now);
        evidence.refusals = if refused { evidence.refusals + 1 } else { 0 };
        evidence.refusals >= REFUSALS_UNTIL_LOST
    }

    /// Returns whether a command may be submitted now; if so, the next one has to wait.
    fn may_submit(&self, state: &mut RoundState) -> bool {
        let now = self.sim.now();
        if now < state.next_submit {
            return false;
        }
        let jitter = self.rng.borrow_mut().random_range(1.0..3.0);
        state.next_submit = now + COMMAND_INTERVAL.mul_f64(jitter);
        true
    }

    /// Hands the ledger over and leaves the keeper set at a planned stop.
    pub async fn leave_keeper_set(self: &Rc<Self>) {
        let deadline = self.sim.now() + LEAVE_TIMEOUT;
        let set = self.sync_keeper_set();
        let me = self.me();
        if !set.members.contains(&me) || set.members.len() < 2 {
            return;
        }
        let service = self.service_name();
        if !self.submit(Action::LeaveKeeper(service.clone(), me.clone())).await {
            return;
        }
        while !self.ledger.borrow().leave_is_complete() {
            if self.sim.now() >= deadline {
                return;
            }
            self.sim.executor.sleep(CHECK_INTERVAL).await;
            self.sync_keeper_set();
        }
        self.submit(Action::FinishLeave(service, me)).await;
    }
}
