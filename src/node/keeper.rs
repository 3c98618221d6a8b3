//! The node's part in the keeper set of its service: joins it, takes ledger entries over, declares
//! keepers lost whose process is gone, and leaves it at a planned stop.

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

/// Interval at which the service looks at the keeper set.
pub const TICK: Duration = Duration::from_millis(50);

/// Time-out of one pull of ledger entries.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of attempts to connect to a keeper that does not answer.
const PROOF_INTERVAL: Duration = Duration::from_millis(300);

/// Refused connections in a row that prove that no process listens at the address. More than one,
/// so that a process that is just opening its port is not taken for gone.
const PROOF_REFUSALS: u32 = 3;

/// Shortest time between two commands of the same kind; the longest is three times that.
const COMMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the handover at a planned stop. A member that does not take over in that time
/// finds the process gone and declares it lost.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Keepers of a service from which on no further node joins. Each change of the set makes pulls
/// that grow with its square: 72 at 9 keepers, 9,900 at 100.
const MAX_KEEPERS: usize = 9;

/// Gives commands to the store on behalf of the node.
pub trait CommandSubmitter: Send + Sync + 'static {
    /// Submits an action and returns whether it was accepted.
    fn submit(&self, action: Action) -> impl Future<Output = bool> + Send;
}

/// What is known about a keeper that does not answer.
#[derive(Clone, Copy, Debug, Default)]
struct Proof {
    refusals: u32,
    tried: Option<Instant>,
}

/// The keeper service of a node.
pub struct KeeperService<C> {
    cfg: Arc<NodeConfig>,
    clock: C,
    view: ViewCell,
    client: Arc<InnerClient<C>>,
    ledger: Arc<SharedLedger<C>>,
    /// Set by a planned stop, after which the node must not join again.
    leaving: AtomicBool,
}

/// State of the service's loop between two ticks.
struct Round {
    proofs: HashMap<Keeper, Proof>,
    next_command: Instant,
}

impl<C: Clock> Service for KeeperService<C> {
    async fn close(self: Arc<Self>) {}
}

impl<C: Clock> KeeperService<C> {
    /// Creates the service; [`Self::run`] does its work.
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
        let mut round = Round { proofs: HashMap::new(), next_command: self.clock.now() };
        while !stop.is_closed() {
            if self.view.is_fresh(self.clock.now()) {
                self.round(&self.view.load(), &mut round, commands).await;
            }
            task::sleep(TICK).await;
        }
    }

    async fn round(&self, view: &View, round: &mut Round, commands: &impl CommandSubmitter) {
        let set = self.apply(view);
        let me = self.me();
        if !set.holders().any(|keeper| *keeper == me) {
            if set.members.len() < MAX_KEEPERS {
                self.join(view, round, commands).await;
            }
            return;
        }
        for holder in self.ledger.missing() {
            self.pull(view, &set, &holder).await;
        }
        self.look_for_lost(view, &set, round, commands).await;
    }

    /// Puts the keeper set of the intent in force at the ledger and returns it.
    fn apply(&self, view: &View) -> KeeperSet {
        let set = view.intent.keepers.get(&self.cfg.service).cloned().unwrap_or_default();
        self.ledger.apply_set(&set);
        set
    }

    async fn join(&self, view: &View, round: &mut Round, commands: &impl CommandSubmitter) {
        let own = view.owners.get(&self.cfg.service);
        let own = own.and_then(|owners| owners.iter().find(|o| o.node == self.cfg.name));
        let has_upstream = own.is_some_and(|own| own.lifecycle != Lifecycle::Absent);
        if self.leaving.load(Ordering::Relaxed)
            || !has_upstream
            || !view.intent.services.contains_key(&self.cfg.service)
        {
            return;
        }
        if self.may_command(round) {
            let action = Action::PutKeeper(self.cfg.service.clone(), self.me());
            commands.submit(action).await;
        }
    }

    /// Pulls the entries of a holder that are now this node's.
    async fn pull(&self, view: &View, set: &KeeperSet, holder: &Keeper) {
        let Some(address) = self.address(view, holder) else { return };
        let service = self.cfg.service.clone();
        let pull = LedgerPull { service, to: self.me(), epoch: set.epoch };
        let message = codec::encode(&pull);
        let answer = self.client.control(address, LEDGER_PATH, message, PULL_TIMEOUT).await;
        let handover = answer.ok().and_then(|answer| {
            codec::decode::<Option<Handover<StoredAnswer>>>(&answer).ok().flatten()
        });
        // Another process at the same address has other entries.
        if let Some(handover) = handover.filter(|handover| handover.from == *holder) {
            self.ledger.take_over(handover);
        }
    }

    /// Declares keepers lost that are proved gone, so that their keys get another keeper.
    async fn look_for_lost(
        &self,
        view: &View,
        set: &KeeperSet,
        round: &mut Round,
        commands: &impl CommandSubmitter,
    ) {
        let me = self.me();
        round.proofs.retain(|keeper, _| set.holders().any(|known| known == keeper));
        for keeper in set.holders().filter(|keeper| **keeper != me) {
            if !self.is_gone(view, keeper, round).await || !self.may_command(round) {
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

    /// Returns whether the process of a keeper that does not answer is proved gone.
    async fn is_gone(&self, view: &View, keeper: &Keeper, round: &mut Round) -> bool {
        let owners = view.owners.get(&self.cfg.service);
        let info = owners.and_then(|owners| owners.iter().find(|o| o.node == keeper.node));
        let Some(info) = info else { return false };
        let proof = round.proofs.entry(keeper.clone()).or_default();
        if info.reachable {
            *proof = Proof::default();
            return false;
        }
        let now = self.clock.now();
        if proof.tried.is_some_and(|tried| now < tried + PROOF_INTERVAL) {
            return false;
        }
        let refused = is_refused(self.cfg.routes.resolve(info.inner)).await;
        proof.tried = Some(now);
        proof.refusals = if refused { proof.refusals + 1 } else { 0 };
        proof.refusals >= PROOF_REFUSALS
    }

    /// Paces commands with jitter, so that the members of a set do not race each other for long.
    fn may_command(&self, round: &mut Round) -> bool {
        let now = self.clock.now();
        if now < round.next_command {
            return false;
        }
        let jitter = rand::rng().random_range(1.0..3.0);
        round.next_command = now + COMMAND_INTERVAL.mul_f64(jitter);
        true
    }

    fn address(&self, view: &View, keeper: &Keeper) -> Option<SocketAddr> {
        let owners = view.owners.get(&self.cfg.service)?;
        owners.iter().find(|owner| owner.node == keeper.node).map(|owner| owner.inner)
    }

    /// Hands the ledger over and leaves the keeper set at a planned stop.
    ///
    /// Work goes on meanwhile: repeats of handed over keys are answered by their new keepers.
    pub async fn leave(&self, commands: &impl CommandSubmitter) {
        self.leaving.store(true, Ordering::Relaxed);
        let deadline = self.clock.now() + LEAVE_TIMEOUT;
        let set = self.apply(&self.view.load());
        let me = self.me();
        // The last keeper has nobody to hand over to.
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
            task::sleep(TICK).await;
            self.apply(&self.view.load());
        }
        commands.submit(Action::FinishLeave(service.clone(), me)).await;
    }
}

/// Returns whether the host refuses connections to the address, which it does only while no
/// process listens there. A paused process still accepts them.
async fn is_refused(address: SocketAddr) -> bool {
    match timeout(PROOF_INTERVAL, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == IoErrorKind::ConnectionRefused,
        _ => false,
    }
}
