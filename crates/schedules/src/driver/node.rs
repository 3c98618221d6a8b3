//! A node's process and the driver of its agent; mirrors `src/node.rs` and
//! `src/node/control/gossip.rs`.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use oleandertiller_fleet::{
    Agent, AgentConfig, MemberState, Output, Record, TICK, membership::PUSH_FANOUT,
};
use oleandertiller_model::{Lifecycle, Outcome, RegionName, VersionName, ZoneName, intent::Keeper};
use oleandertiller_routing::{
    budget::Budget,
    ledger::{Ledger, LedgerConfig},
    selection::{Candidate, SelectionConfig, Selector},
};
use rand::{SeedableRng, rngs::StdRng};

use super::{
    inner::{Caller, request},
    keeper::StoredAnswer,
    owner::OwnerState,
};
use crate::{mutant::Mutant, simulation::Simulation, upstream};

/// Longest wait for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Default retry budget of `NodeConfig`: millionths of a token a call, tokens a second, and burst.
const RETRY_BUDGET: (u32, f64, f64) = (100_000, 10.0, 100.0);

/// Longest wait for work in flight at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a planned stop checks whether the work in flight has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process of a node.
pub(crate) struct Node {
    pub sim: Rc<Simulation>,
    pub index: usize,
    /// Id of the process in the executor.
    pub process: usize,
    pub incarnation: u64,
    pub rng: RefCell<StdRng>,
    pub agent: RefCell<Agent>,
    pub owner: RefCell<OwnerState>,
    pub ledger: RefCell<Ledger<StoredAnswer>>,
    /// Selector of each service, by its index.
    pub selectors: RefCell<Vec<Selector>>,
    pub retry: RefCell<Budget>,
    pub measuring: RefCell<Budget>,
    pub draining: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Number of clients' requests and runs of keys that have not ended.
    pub active: Cell<usize>,
    /// Number of streams in work, of clients and other nodes.
    pub streams: Cell<usize>,
    /// Whether the candidates of the selectors are out of date.
    view_changed: Cell<bool>,
}

impl Node {
    /// Starts a new process of the node with this index.
    pub fn start(sim: &Rc<Simulation>, index: usize) -> Rc<Self> {
        let process = sim.executor.add_process();
        let now = sim.now();
        let wall = sim.executor.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = wall.as_millis() as u64;
        let spec = &sim.node_specs[index];
        let seed = sim.draw(0..u64::MAX);
        let me = Keeper { node: spec.name.clone(), incarnation };
        let selector = |_| Selector::new(SelectionConfig::default(), spec.zone.clone());
        let cold_limit = if sim.disables(Mutant::ColdLimit) { spec.slots } else { 1 };
        let node = Rc::new(Self {
            index,
            process,
            incarnation,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            agent: RefCell::new(Agent::new(agent_config(sim, index, incarnation, seed), now)),
            owner: RefCell::new(OwnerState::new(cold_limit)),
            ledger: RefCell::new(Ledger::new(LedgerConfig::default(), me)),
            selectors: RefCell::new(sim.services.iter().map(selector).collect()),
            retry: RefCell::new(Budget::new(RETRY_BUDGET.0, RETRY_BUDGET.1, RETRY_BUDGET.2, now)),
            measuring: RefCell::new(Budget::for_measuring(0, now)),
            draining: Cell::new(false),
            stopping: Cell::new(false),
            active: Cell::new(0),
            streams: Cell::new(0),
            view_changed: Cell::new(true),
            sim: sim.clone(),
        });
        sim.trace(|| format!("node {index} ({}, {}) starts", spec.name, spec.zone));
        sim.nodes.borrow_mut()[index] = Some(node.clone());
        sim.checks.borrow_mut().on_process_change(sim, index);
        sim.executor.spawn(process, node.clone().run_ticks());
        sim.executor.spawn(process, node.clone().maintain_entry());
        sim.executor.spawn(process, node.clone().read_while_stale());
        sim.executor.spawn(process, node.clone().run_keeper());
        upstream::announce(sim, index);
        node
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&self) {
        let (sim, index) = (&self.sim, self.index);
        sim.nodes.borrow_mut()[index] = None;
        sim.net
            .borrow_mut()
            .connected
            .retain(|(from, to)| *from != self.process && *to != self.process);
        sim.executor.kill(self.process);
        sim.checks.borrow_mut().on_process_change(sim, index);
    }

    /// Returns this process as the calling end of a connection.
    pub fn caller(&self) -> Caller {
        Caller { index: Some(self.index), process: self.process }
    }

    /// Returns this process as a keeper of idempotency keys.
    pub fn me(&self) -> Keeper {
        Keeper { node: self.sim.node_specs[self.index].name.clone(), incarnation: self.incarnation }
    }

    async fn run_ticks(self: Rc<Self>) {
        loop {
            let outputs = self.agent.borrow_mut().tick(self.sim.now());
            self.execute(outputs);
            self.owner_tick();
            self.sim.executor.sleep(TICK).await;
        }
    }

    /// Passes a received datagram to the agent.
    pub fn receive(self: &Rc<Self>, source: SocketAddr, bytes: &[u8]) {
        let outputs = self.agent.borrow_mut().receive(source, bytes, self.sim.now());
        self.execute(outputs);
    }

    /// Executes the agent's outputs.
    pub fn execute(self: &Rc<Self>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.sim.send_datagram(self.index, to, bytes),
                Output::PullIntent { address, pull, .. } => {
                    self.clone().pull_intent(address, pull);
                }
                Output::PullMembers { address, pull } => self.clone().pull_members(address, pull),
                Output::View(_) => self.view_changed.set(true),
                Output::Intent(intent) => {
                    self.view_changed.set(true);
                    self.measuring.borrow_mut().set_share_ppm(intent.measuring_ppm());
                    let sim = &self.sim;
                    sim.trace(|| format!("node {} has {} in force", self.index, intent.revision));
                    sim.checks.borrow_mut().on_intent(sim, self, intent.revision);
                }
            }
        }
    }

    fn pull_intent(
        self: Rc<Self>,
        address: SocketAddr,
        pull: oleandertiller_model::message::IntentPull,
    ) {
        let (sim, process) = (self.sim.clone(), self.process);
        let Some(to) = sim.index_of(address) else { return };
        sim.clone().executor.spawn(process, async move {
            let end = sim.now() + PULL_TIMEOUT;
            let serve = move |node: Rc<Self>| async move { node.agent.borrow().serve_intent(pull) };
            let push = match sim.disables(Mutant::IntentPull) {
                true => None,
                false => request(&sim, self.caller(), to, end, serve).await.ok(),
            };
            let outputs = self.agent.borrow_mut().intent_pulled(push, sim.now());
            self.execute(outputs);
        });
    }

    fn pull_members(self: Rc<Self>, address: SocketAddr, pull: oleandertiller_fleet::MembersPull) {
        let (sim, process) = (self.sim.clone(), self.process);
        let Some(to) = sim.index_of(address) else { return };
        sim.clone().executor.spawn(process, async move {
            let end = sim.now() + PULL_TIMEOUT;
            let serve =
                move |node: Rc<Self>| async move { node.agent.borrow().serve_members(&pull) };
            let push = request(&sim, self.caller(), to, end, serve).await.ok();
            let outputs = self.agent.borrow_mut().members_pulled(push, sim.now());
            self.execute(outputs);
        });
    }

    /// Copies the life cycle of the local upstream to the node's member record.
    pub fn sync_local_record(self: &Rc<Self>) {
        let (lifecycle, now) = (self.lifecycle(), self.sim.now());
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().update_local(|record| record.lifecycle = lifecycle, now);
            agent.take_outputs(now)
        };
        self.execute(outputs);
    }

    /// Returns whether the intent is fresh enough to accept work.
    pub fn is_fresh(&self) -> bool {
        let checked = self.agent.borrow_mut().freshness_mut().check(self.sim.now());
        self.sim.disables(Mutant::StaleCheck) || checked.is_ok()
    }

    pub fn zone_in_service(&self, zone: &ZoneName) -> bool {
        let agent = self.agent.borrow();
        self.sim.disables(Mutant::ZoneCheck) || agent.replica().intent().zone_in_service(zone)
    }

    /// Sets the present candidates of the selectors; mirrors `ingress/route.rs`.
    pub fn refresh_candidates(&self) {
        if !self.view_changed.replace(false) {
            return;
        }
        let now = self.sim.now();
        for (service, selector) in self.selectors.borrow_mut().iter_mut().enumerate() {
            selector.set_candidates(self.candidates(service), now);
        }
    }

    fn candidates(&self, service: usize) -> Vec<Candidate> {
        let agent = self.agent.borrow();
        let members = agent.membership().of_service(&self.sim.services[service].name);
        let candidate = |record: &Record| Candidate {
            node: record.node.clone(),
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            version: record.version.clone(),
            eligible: self.zone_in_service(&record.zone)
                && agent.membership().is_selectable(&record.node)
                && record.lifecycle.accepts_work(),
        };
        members.map(candidate).collect()
    }

    /// Returns the index of a node in the member table, and whether it is reachable.
    pub fn find(&self, name: &oleandertiller_model::NodeName) -> Option<(usize, bool)> {
        let agent = self.agent.borrow();
        let entry = agent.membership().table().get(name)?;
        let index = self.sim.index_of(entry.record.addresses.inner)?;
        Some((index, agent.membership().is_selectable(name)))
    }

    pub fn work_in_flight(&self) -> usize {
        self.owner.borrow().busy() + self.active.get() + self.streams.get()
    }

    /// Makes a planned stop: hands the ledger over, refuses new work, waits for work in flight and
    /// ends the process.
    pub async fn stop(self: Rc<Self>) {
        self.stopping.set(true);
        self.leave_keeper_set().await;
        self.draining.set(true);
        self.sim.trace(|| format!("node {} drains", self.index));
        self.sim.checks.borrow_mut().on_leaving(&self.sim, self.index);
        let now = self.sim.now();
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().leave(now);
            agent.membership_mut().push(PUSH_FANOUT);
            agent.take_outputs(now)
        };
        self.execute(outputs);
        let deadline = now + DRAIN_TIMEOUT;
        while self.work_in_flight() > 0 && self.sim.now() < deadline {
            if self.sim.disables(Mutant::DrainWait) {
                break;
            }
            self.sim.executor.sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.sim.trace(|| format!("node {} has stopped", self.index));
        let (sim, node) = (self.sim.clone(), self.clone());
        sim.checks.borrow_mut().on_stopped(&sim, &node);
        self.sim.executor.spawn(crate::executor::SIMULATION_PROCESS, async move { node.kill() });
    }

    /// Probes a candidate for its load, if one is worth a probe and the measuring budget allows it.
    pub fn probe_if_due(self: &Rc<Self>, service: usize) {
        let now = self.sim.now();
        let Some(target) = self.selectors.borrow_mut()[service].probe_target(now) else { return };
        let allowed =
            self.measuring.borrow_mut().try_take(now) || self.sim.disables(Mutant::Budget);
        let Some((to, _)) = self.find(&target.node).filter(|_| allowed) else { return };
        self.sim.checks.borrow_mut().on_probe(&self.sim, self.index);
        let node = self.clone();
        self.sim.executor.spawn(self.process, async move {
            let serve = |node: Rc<Self>| async move { node.load() };
            let end = probe_end(now);
            let load: Result<_, Outcome> = request(&node.sim, node.caller(), to, end, serve).await;
            let now = node.sim.now();
            node.selectors.borrow_mut()[service].on_probe(&target.node, load.ok(), now);
        });
    }
}

fn probe_end(now: Instant) -> Instant {
    now + Duration::from_millis(500)
}

fn agent_config(sim: &Simulation, index: usize, incarnation: u64, seed: u64) -> AgentConfig {
    let spec = &sim.node_specs[index];
    let local = Record {
        node: spec.name.clone(),
        incarnation,
        refutation: 0,
        zone: spec.zone.clone(),
        region: RegionName::from("region"),
        service: sim.services[spec.service].name.clone(),
        version: VersionName::from("v1"),
        lifecycle: Lifecycle::Absent,
        slots: spec.slots,
        addresses: spec.addresses,
        state: MemberState::Alive,
        entry: None,
    };
    let others = (1..=3).map(|step| (index + step) % sim.node_count());
    let seeds = others.map(|other| sim.node_specs[other].addresses.gossip).collect();
    AgentConfig { local, seeds, called_services: Vec::new(), seed }
}
