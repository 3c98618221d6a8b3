//! Control services: membership, intent and the store, connected to sockets and to the node.
//!
//! The [`Agent`] makes the decisions. Its lock is never held across an await, and the request path
//! takes it only when the intent is no longer fresh. Each change of the agent also publishes what
//! the request path reads: first the intent, then the time until which the node may serve from it.

mod answer;
mod ask;
mod commands;
mod entry;
mod gossip;
mod initial;
mod intent;
mod owners;
mod query;
mod report;
mod rollout;
mod stop;

use std::{
    collections::HashSet,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Instant, SystemTime},
};

use async_channel::{Receiver, Sender};
use async_std::{
    net::UdpSocket,
    task::{self, JoinHandle},
};
use bytes::Bytes;
use oleandertiller_fleet::{
    Addresses, Agent, AgentConfig, MemberState, Output, Record, StaleReason, StoreAnswer,
    StoreCall, ViewChange,
};
use oleandertiller_model::{
    Clock, Lifecycle, ServiceName, ServiceSpec, VersionName, codec,
    message::{INTENT_PATH, MEMBERS_PATH},
};

use super::{
    Node,
    config::NodeConfig,
    ingress::Ingress,
    inner::{ControlHandler, client::InnerClient},
    keeper::KeeperService,
    metrics::Metrics,
    operator::OperatorApp,
    owner::Owner,
    rollout::{HEARTBEAT_PATH, REPORT_PATH},
    store::Store,
    view::ViewCell,
};
use crate::{settings::Operator, telemetry::StateChange};

/// Settings of the control services.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Gossip addresses from the settings, through which the node joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Operators that may give commands; when empty, anyone may.
    pub operators: Vec<Operator>,
    /// Services to add to the intent when it lacks them.
    pub services: Vec<ServiceSpec>,
}

/// The control services of one node.
pub struct Control<C: Clock, S> {
    cfg: ControlConfig,
    clock: C,
    started: SystemTime,
    view: ViewCell,
    store: S,
    shared: Mutex<Shared>,
    outputs: (Sender<Output>, Receiver<Output>),
    handles: OnceLock<NodeHandles<C>>,
    /// Whether the node holds a zone entry whose holder watches the intent in the store.
    watching: AtomicBool,
    /// Whether a planned stop is under way.
    stopping: AtomicBool,
    rollouts: Mutex<rollout::RolloutState>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    entry_task: Mutex<Option<JoinHandle<()>>>,
}

/// Parts of the node that the control services use.
struct NodeHandles<C> {
    node: Arc<NodeConfig>,
    owner: Arc<Owner<C>>,
    ingress: Arc<Ingress<C>>,
    client: Arc<InnerClient<C>>,
    metrics: Metrics,
}

/// State of the control services that one lock protects.
struct Shared {
    agent: Agent,
    /// Services whose owners have changed since the view was last updated.
    changed_services: HashSet<ServiceName>,
    /// Whether the owners of all services may have changed.
    all_services_changed: bool,
    /// Staleness as last logged.
    stale: Option<StaleReason>,
}

impl<C: Clock, S: Store> Control<C, S> {
    /// Creates the control services of the node with the settings `node`, which must contain all
    /// addresses of the node.
    pub fn new(
        node: &NodeConfig,
        cfg: ControlConfig,
        clock: C,
        view: ViewCell,
        store: S,
    ) -> Arc<Self> {
        let now = clock.now();
        let agent = AgentConfig {
            local: local_record(node),
            seeds: cfg.seeds.clone(),
            called_services: Vec::new(),
            seed: rand::random(),
        };
        let shared = Shared {
            agent: Agent::new(agent, now),
            changed_services: HashSet::new(),
            all_services_changed: true,
            stale: Some(StaleReason::Starting),
        };
        let control = Arc::new(Self {
            cfg,
            started: clock.wall(),
            clock,
            view,
            store,
            shared: Mutex::new(shared),
            outputs: async_channel::unbounded(),
            handles: OnceLock::new(),
            watching: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            rollouts: Mutex::default(),
            tasks: Mutex::default(),
            entry_task: Mutex::default(),
        });
        let weak = Arc::downgrade(&control);
        control
            .view
            .set_freshness_check(move |now| weak.upgrade().is_some_and(|c| c.check_fresh(now)));
        control
    }

    /// Adds `/ask` and `/report` to the operator port.
    pub fn add_routes(self: &Arc<Self>, app: &mut OperatorApp<C>) {
        ask::add_route(self, app);
        report::add_route(self, app);
    }

    /// Starts the tasks once the node's ports are open.
    ///
    /// # Errors
    ///
    /// Returns an error when the node lacks a required service, or when the control services are
    /// already started.
    pub fn start(self: &Arc<Self>, node: &Node<C>, socket: UdpSocket) -> io::Result<()> {
        let handles = NodeHandles {
            node: Arc::new(node.config().clone()),
            owner: node.owner().clone(),
            ingress: node.kernel().find("ingress").map_err(io::Error::other)?,
            client: node.kernel().find("inner-client").map_err(io::Error::other)?,
            metrics: node.metrics().clone(),
        };
        if self.handles.set(handles).is_err() {
            return Err(io::Error::other("the control services are already started"));
        }
        let socket = Arc::new(socket);
        self.spawn(gossip::receive(self.clone(), socket.clone()));
        self.spawn(gossip::send(self.clone(), socket));
        self.spawn(gossip::tick(self.clone()));
        self.spawn(intent::follow(self.clone()));
        self.spawn(initial::add_services(self.clone()));
        self.spawn(rollout::decide(self.clone()));
        self.spawn(rollout::send_heartbeats(self.clone()));
        self.spawn(rollout::report(self.clone()));
        let keeper = node.kernel().find::<KeeperService<C>>("keeper").map_err(io::Error::other)?;
        self.spawn(run_keeper(self.clone(), keeper));
        let entry = task::spawn(entry::maintain(self.clone()));
        *self.entry_task.lock().unwrap_or_else(PoisonError::into_inner) = Some(entry);
        Ok(())
    }

    /// Changes the agent, publishes the result, and queues the agent's outputs for execution.
    fn update(&self, act: impl FnOnce(&mut Agent, Instant) -> Vec<Output>) {
        let mut shared = self.lock();
        for output in act(&mut shared.agent, self.clock.now()) {
            match output {
                Output::View(change) => shared.apply_view_change(&change),
                // Published below.
                Output::Intent(_) => {}
                // The receiver lives as long as the sender.
                output => drop(self.outputs.0.try_send(output)),
            }
        }
        self.publish(&mut shared);
    }

    /// Reads the agent's state under the lock.
    fn read<T>(&self, read: impl FnOnce(&Agent, Instant) -> T) -> T {
        read(&self.lock().agent, self.clock.now())
    }

    /// Publishes the agent's state to the request path. The order matters: a request that finds the
    /// node fresh again must find the newer intent.
    fn publish(&self, shared: &mut Shared) {
        shared.refresh_owners(&self.view);
        let agent = &shared.agent;
        let intent = agent.replica().intent();
        let before = self.view.load().intent.revision;
        if before < intent.revision {
            self.view.put_intent(intent);
            let change = agent.replica().change(intent.revision);
            let why = change.map_or_else(
                || "received as a whole document".to_owned(),
                |change| format!("{} by {}", answer::action_text(&change.action), change.author),
            );
            StateChange::new("intent", before, intent.revision).with_why(why).log();
        }
        self.view.set_serve_until(agent.freshness().serve_until());
        let stale = agent.freshness().stale();
        if stale != shared.stale {
            let change = StateChange::new(
                "freshness",
                freshness_label(shared.stale),
                freshness_label(stale),
            );
            change.with_why(staleness_cause(stale)).log();
            shared.stale = stale;
        }
    }

    /// Checks freshness for a request that came after the published time, and publishes the result.
    fn check_fresh(&self, now: Instant) -> bool {
        let mut shared = self.lock();
        let fresh = shared.agent.freshness_mut().check(now).is_ok();
        self.publish(&mut shared);
        fresh
    }

    /// Makes one call to the store and counts it.
    async fn call_store(&self, call: &StoreCall) -> StoreAnswer {
        let answer = self.store.call(call).await;
        if let Some(handles) = self.handles.get() {
            handles.metrics.control.store_calls.inc();
            if matches!(answer, StoreAnswer::NotSent | StoreAnswer::Lost) {
                handles.metrics.control.store_failures.inc();
            }
        }
        answer
    }

    async fn sleep_until(&self, at: Instant) {
        task::sleep(at.saturating_duration_since(self.clock.now())).await;
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.lock_tasks().push(task::spawn(task));
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock, S: Store> ControlHandler for Control<C, S> {
    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        match path {
            INTENT_PATH => {
                let pull = codec::decode(&body).ok()?;
                // A document of up to 1 MB is encoded after the lock is released.
                let push = self.read(|agent, _| agent.serve_intent(pull));
                Some(codec::encode(&push))
            }
            MEMBERS_PATH => {
                let pull = codec::decode(&body).ok()?;
                let push = self.read(|agent, _| agent.serve_members(&pull));
                Some(codec::encode(&push))
            }
            REPORT_PATH => {
                let report = codec::decode(&body).ok()?;
                Some(codec::encode(&self.handle_report(&report)))
            }
            HEARTBEAT_PATH => {
                let heartbeat = codec::decode(&body).ok()?;
                Some(codec::encode(&self.handle_heartbeat(&heartbeat)?))
            }
            _ => None,
        }
    }
}

impl Shared {
    fn apply_view_change(&mut self, change: &ViewChange) {
        match change {
            ViewChange::Updated(record) => {
                self.changed_services.insert(record.service.clone());
            }
            ViewChange::Removed(_) => self.all_services_changed = true,
            ViewChange::ZoneUnreachable(zone) => {
                self.all_services_changed = true;
                let change = StateChange::new(format!("zone {zone}"), "reachable", "unreachable");
                change.with_why("most of its members do not answer").warn();
            }
            ViewChange::ZoneReachable(zone) => {
                self.all_services_changed = true;
                let change = StateChange::new(format!("zone {zone}"), "unreachable", "reachable");
                change.with_why("its members answer again").log();
            }
            ViewChange::IncarnationRaised(incarnation) => {
                let change = StateChange::new("own incarnation", "older", incarnation);
                change.with_why("the fleet knew a newer incarnation of this name").log();
            }
        }
    }
}

/// Runs the keeper service until it is cancelled.
async fn run_keeper<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    keeper: Arc<KeeperService<C>>,
) {
    let (_stop, stopped) = async_channel::bounded(1);
    keeper.run(&*control, stopped).await;
}

fn local_record(node: &NodeConfig) -> Record {
    Record {
        node: node.name.clone(),
        incarnation: node.incarnation,
        refutation: 0,
        zone: node.zone.clone(),
        region: node.region.clone(),
        service: node.service.clone(),
        version: VersionName::from("unknown"),
        lifecycle: Lifecycle::Absent,
        slots: 0,
        addresses: Addresses {
            client: node.client,
            inner: node.inner,
            gossip: node.gossip,
            operator: node.operator,
        },
        state: MemberState::Alive,
        entry: None,
    }
}

/// Returns the name of a freshness state, in answers and log lines.
fn freshness_label(stale: Option<StaleReason>) -> &'static str {
    match stale {
        None => "fresh",
        Some(StaleReason::Starting) => "starting",
        Some(StaleReason::Paused) => "paused",
        Some(StaleReason::Isolated) => "isolated",
    }
}

/// Returns why the freshness state was entered, for the log.
fn staleness_cause(stale: Option<StaleReason>) -> &'static str {
    match stale {
        None => "a peer or the store has confirmed the intent",
        Some(StaleReason::Starting) => "no intent has been received since the start",
        Some(StaleReason::Paused) => "the process was paused",
        Some(StaleReason::Isolated) => "neither a peer nor the store has been heard from",
    }
}
