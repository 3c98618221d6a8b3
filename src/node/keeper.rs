//! Membership of the node in the keeper set of its service: joins the set, takes ledger entries
//! over, declares keepers lost whose process is gone, and leaves the set at a planned stop.

use std::{
    collections::HashMap,
    future::Future,
    io::ErrorKind as IoErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, task};
use oleandertiller_model::{
    Action, Clock, Lifecycle, codec,
    intent::{Keeper, KeeperSet},
    message::{LEDGER_PATH, LedgerPull},
};
use oleandertiller_routing::ledger::Handover;
use rand::Rng;

use super::{
    config::NodeConfig,
    inner::client::InnerClient,
    shared_ledger::{SharedLedger, StoredAnswer},
    view::{View, ViewCell},
};
use crate::{kernel::Service, telemetry::StateChange};

/// Interval of the service's rounds, and of its checks whether a leave is complete.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one pull of ledger entries.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of attempts to connect to an unreachable keeper, and the timeout of each.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive refused connections that prove that no process listens at the address. It takes more
/// than one, so that a process that is just opening its port is not declared lost.
const REFUSALS_UNTIL_LOST: u32 = 3;

/// Shortest time between two commands; with jitter it is up to three times as long.
const COMMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the handover at a planned stop. Afterwards the process ends, and a member that
/// has not taken over declares it lost.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the keeper set at which no further node joins. The number of pulls after a change grows
/// with the square of the size: 72 at 9 keepers, 9,900 at 100.
const MAX_KEEPERS: usize = 9;

/// Submits commands of the node to the store.
pub trait CommandSubmitter: Send + Sync + 'static {
    /// Submits an action and returns whether it was accepted.
    fn submit(&self, action: Action) -> impl Future<Output = bool> + Send;
}

/// Evidence on whether the process of an unreachable keeper is gone.
#[derive(Clone, Copy, Debug, Default)]
struct LossEvidence {
    refusals: u32,
    checked_at: Option<Instant>,
}

/// The keeper service of a node.
pub struct KeeperService<C> {
    cfg: Arc<NodeConfig>,
    clock: C,
    view: ViewCell,
    client: Arc<InnerClient<C>>,
    ledger: Arc<SharedLedger<C>>,
    /// Set at a planned stop, after which the node must not join again.
    leaving: AtomicBool,
}

/// State of [`KeeperService::run`] that one round passes to the next.
struct RoundState {
    loss_evidence: HashMap<Keeper, LossEvidence>,
    next_submit: Instant,
}

impl<C: Clock> Service for KeeperService<C> {
    async fn close(self: Arc<Self>) {}
}

impl<C: Clock> KeeperService<C> {
    /// Creates the service. It joins and pulls only while [`Self::run`] runs.
    pub fn new(
        cfg: Arc<NodeConfig>,
        clock: C,
        view: ViewCell,
        client: Arc<InnerClient<C>>,
        ledger: Arc<SharedLedger<C>>,
    ) -> Self {
        Self { cfg, clock, view, client, ledger, leaving: AtomicBool::new(false) }
    }

    fn me(&self) -> Keeper {
        Keeper { node: self.cfg.name.clone(), incarnation: self.cfg.incarnation }
    }

    /// Keeps the node in the keeper set until `stop` is closed.
    pub async fn run(&self, commands: &impl CommandSubmitter, stop: async_channel::Receiver<()>) {
        let mut state = RoundState { loss_evidence: HashMap::new(), next_submit: self.clock.now() };
        while !stop.is_closed() {
            if self.view.is_fresh(self.clock.now()) {
                self.round(&self.view.load(), &mut state, commands).await;
            }
            task::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn round(&self, view: &View, state: &mut RoundState, commands: &impl CommandSubmitter) {
        let set = self.sync_keeper_set(view);
        let me = self.me();
        if !set.holders().any(|keeper| *keeper == me) {
            if set.members.len() < MAX_KEEPERS {
                self.join(view, state, commands).await;
            }
            return;
        }
        for holder in self.ledger.missing_handovers() {
            self.pull(view, &set, &holder).await;
        }
        self.declare_lost(view, &set, state, commands).await;
    }

    /// Applies the keeper set of the intent to the ledger and returns it.
    fn sync_keeper_set(&self, view: &View) -> KeeperSet {
        let set = view.intent.keepers.get(&self.cfg.service).cloned().unwrap_or_default();
        self.ledger.apply_keeper_set(&set);
        set
    }

    async fn join(&self, view: &View, state: &mut RoundState, commands: &impl CommandSubmitter) {
        let own = view.owners.get(&self.cfg.service);
        let own = own.and_then(|owners| owners.iter().find(|o| o.node == self.cfg.name));
        let has_upstream = own.is_some_and(|own| own.lifecycle != Lifecycle::Absent);
        if self.leaving.load(Ordering::Relaxed)
            || !has_upstream
            || !view.intent.services.contains_key(&self.cfg.service)
        {
            return;
        }
        if self.may_submit(state) {
            let action = Action::PutKeeper(self.cfg.service.clone(), self.me());
            commands.submit(action).await;
        }
    }

    /// Pulls the entries of a holder for which this node is now the keeper.
    async fn pull(&self, view: &View, set: &KeeperSet, holder: &Keeper) {
        let Some(address) = self.address(view, holder) else { return };
        let service = self.cfg.service.clone();
        let pull = LedgerPull { service, to: self.me(), epoch: set.epoch };
        let message = codec::encode(&pull);
        let answer = self.client.control(address, LEDGER_PATH, message, PULL_TIMEOUT).await;
        let handover = answer.ok().and_then(|answer| {
            codec::decode::<Option<Handover<StoredAnswer>>>(&answer).ok().flatten()
        });
        // A handover from another process at the same address would hold other entries.
        if let Some(handover) = handover.filter(|handover| handover.from == *holder) {
            self.ledger.take_over(handover);
        }
    }

    /// Declares keepers lost whose processes are gone, so that their keys get another keeper.
    async fn declare_lost(
        &self,
        view: &View,
        set: &KeeperSet,
        state: &mut RoundState,
        commands: &impl CommandSubmitter,
    ) {
        let me = self.me();
        state.loss_evidence.retain(|keeper, _| set.holders().any(|known| known == keeper));
        for keeper in set.holders().filter(|keeper| **keeper != me) {
            if !self.is_process_gone(view, keeper, state).await || !self.may_submit(state) {
                continue;
            }
            let action = Action::LoseKeeper {
                service: self.cfg.service.clone(),
                keeper: keeper.clone(),
                at: self.clock.wall(),
            };
            if commands.submit(action).await {
                let what = format!("keeper {}", keeper.node);
                let change = StateChange::new(&what, "holder", "lost");
                change.with_why("its address refuses connections").warn();
            }
            return;
        }
    }

    /// Returns whether the keeper is unreachable and refused connections prove its process gone.
    async fn is_process_gone(&self, view: &View, keeper: &Keeper, state: &mut RoundState) -> bool {
        let owners = view.owners.get(&self.cfg.service);
        let info = owners.and_then(|owners| owners.iter().find(|o| o.node == keeper.node));
        let Some(info) = info else { return false };
        let evidence = state.loss_evidence.entry(keeper.clone()).or_default();
        if info.reachable {
            *evidence = LossEvidence::default();
            return false;
        }
        let now = self.clock.now();
        if evidence.checked_at.is_some_and(|checked_at| now < checked_at + REFUSAL_CHECK_INTERVAL) {
            return false;
        }
        let refused = is_refused(self.cfg.routes.resolve(info.inner)).await;
        evidence.checked_at = Some(now);
        evidence.refusals = if refused { evidence.refusals + 1 } else { 0 };
        evidence.refusals >= REFUSALS_UNTIL_LOST
    }

    /// Limits the rate of commands, with jitter, so that the members of a set do not keep racing
    /// each other.
    fn may_submit(&self, state: &mut RoundState) -> bool {
        let now = self.clock.now();
        if now < state.next_submit {
            return false;
        }
        let jitter = rand::rng().random_range(1.0..3.0);
        state.next_submit = now + COMMAND_INTERVAL.mul_f64(jitter);
        true
    }

    fn address(&self, view: &View, keeper: &Keeper) -> Option<SocketAddr> {
        let owners = view.owners.get(&self.cfg.service)?;
        owners.iter().find(|owner| owner.node == keeper.node).map(|owner| owner.inner)
    }

    /// Hands the ledger over and leaves the keeper set at a planned stop.
    ///
    /// The node serves requests meanwhile: repeats of keys that were handed over are answered by
    /// their new keepers.
    pub async fn leave(&self, commands: &impl CommandSubmitter) {
        self.leaving.store(true, Ordering::Relaxed);
        let deadline = self.clock.now() + LEAVE_TIMEOUT;
        let set = self.sync_keeper_set(&self.view.load());
        let me = self.me();
        // The last keeper has no other member to hand over to.
        if !set.members.contains(&me) || set.members.len() < 2 {
            return;
        }
        let service = &self.cfg.service;
        if !commands.submit(Action::LeaveKeeper(service.clone(), me.clone())).await {
            return;
        }
        while !self.ledger.leave_is_complete() {
            if self.clock.now() >= deadline {
                return;
            }
            task::sleep(CHECK_INTERVAL).await;
            self.sync_keeper_set(&self.view.load());
        }
        commands.submit(Action::FinishLeave(service.clone(), me)).await;
    }
}

/// Returns whether the host refuses connections to the address, which it does only while no process
/// listens there. For a paused process, the system still accepts them.
async fn is_refused(address: SocketAddr) -> bool {
    match timeout(REFUSAL_CHECK_INTERVAL, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == IoErrorKind::ConnectionRefused,
        _ => false,
    }
}
