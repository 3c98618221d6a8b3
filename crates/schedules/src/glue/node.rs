//! One process; mirrors `src/node.rs`, with a driver for the agent as `crates/fleet` asks for it.

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
    inner::{From, ask},
    keeper::Stored,
    owner::OwnerState,
};
use crate::{mutant::Mutant, upstream, world::World};

/// Time in which a peer answers a pull.
const PULL_WAIT: Duration = Duration::from_secs(1);

/// Retry budget of `NodeConfig`.
const RETRY: (u32, f64, f64) = (100_000, 10.0, 100.0);

/// Longest wait for work in flight at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at whether the work in flight has ended.
const QUIET_POLL: Duration = Duration::from_millis(5);

/// A running node.
pub(crate) struct Node {
    pub world: Rc<World>,
    pub index: usize,
    pub process: usize,
    pub incarnation: u64,
    pub rng: RefCell<StdRng>,
    pub agent: RefCell<Agent>,
    pub owner: RefCell<OwnerState>,
    pub keys: RefCell<Ledger<Stored>>,
    pub selectors: RefCell<Vec<Selector>>,
    pub retry: RefCell<Budget>,
    pub measuring: RefCell<Budget>,
    pub draining: Cell<bool>,
    pub planned: Cell<bool>,
    /// Requests of clients, and runs of keys, that have not ended.
    pub active: Cell<usize>,
    /// Streams of other nodes in work.
    pub streams: Cell<usize>,
    view_changed: Cell<bool>,
}

impl Node {
    /// Starts the process of a node.
    pub fn start(world: &Rc<World>, index: usize) -> Rc<Self> {
        let process = world.exec.add_process();
        let now = world.now();
        let wall = world.exec.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = wall.as_millis() as u64;
        let place = &world.places[index];
        let seed = world.draw(0..u64::MAX);
        let me = Keeper { node: place.name.clone(), incarnation };
        let selector = |_| Selector::new(SelectionConfig::default(), place.zone.clone());
        let cold_limit = if world.has(Mutant::ColdLimit) { place.slots } else { 1 };
        let node = Rc::new(Self {
            index,
            process,
            incarnation,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            agent: RefCell::new(Agent::new(agent_config(world, index, incarnation, seed), now)),
            owner: RefCell::new(OwnerState::new(cold_limit)),
            keys: RefCell::new(Ledger::new(LedgerConfig::default(), me)),
            selectors: RefCell::new(world.services.iter().map(selector).collect()),
            retry: RefCell::new(Budget::new(RETRY.0, RETRY.1, RETRY.2, now)),
            measuring: RefCell::new(Budget::for_measuring(0, now)),
            draining: Cell::new(false),
            planned: Cell::new(false),
            active: Cell::new(0),
            streams: Cell::new(0),
            view_changed: Cell::new(true),
            world: world.clone(),
        });
        world.trace(|| format!("node {index} ({}, {}) starts", place.name, place.zone));
        world.nodes.borrow_mut()[index] = Some(node.clone());
        world.checks.borrow_mut().on_process(world, index);
        world.exec.spawn(process, node.clone().keep_time());
        world.exec.spawn(process, node.clone().keep_entry());
        world.exec.spawn(process, node.clone().keep_reading());
        world.exec.spawn(process, node.clone().keep_keys());
        upstream::announce(world, index);
        node
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        let (world, index) = (&self.world, self.index);
        world.nodes.borrow_mut()[index] = None;
        world
            .net
            .borrow_mut()
            .connected
            .retain(|(from, to)| *from != self.process && *to != self.process);
        world.exec.kill(self.process);
        world.checks.borrow_mut().on_process(world, index);
    }

    pub fn from(&self) -> From {
        From { index: Some(self.index), process: self.process }
    }

    pub fn me(&self) -> Keeper {
        Keeper { node: self.world.places[self.index].name.clone(), incarnation: self.incarnation }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let outputs = self.agent.borrow_mut().tick(self.world.now());
            self.carry_out(outputs);
            self.owner_tick();
            self.world.exec.sleep(TICK).await;
        }
    }

    /// Takes in a datagram.
    pub fn receive(self: &Rc<Self>, source: SocketAddr, bytes: &[u8]) {
        let outputs = self.agent.borrow_mut().receive(source, bytes, self.world.now());
        self.carry_out(outputs);
    }

    /// Does what the agent asks for.
    pub fn carry_out(self: &Rc<Self>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.world.send_datagram(self.index, to, bytes),
                Output::PullIntent { address, pull, .. } => {
                    self.clone().pull_intent(address, pull);
                }
                Output::PullMembers { address, pull } => self.clone().pull_members(address, pull),
                Output::View(_) => self.view_changed.set(true),
                Output::Intent(intent) => {
                    self.view_changed.set(true);
                    self.measuring.borrow_mut().set_share_ppm(intent.measuring_ppm());
                    let world = &self.world;
                    world.trace(|| format!("node {} has {} in force", self.index, intent.revision));
                    world.checks.borrow_mut().on_intent(world, self, intent.revision);
                }
            }
        }
    }

    fn pull_intent(
        self: Rc<Self>,
        address: SocketAddr,
        pull: oleandertiller_model::message::IntentPull,
    ) {
        let (world, process) = (self.world.clone(), self.process);
        let Some(to) = world.index_of(address) else { return };
        world.clone().exec.spawn(process, async move {
            let end = world.now() + PULL_WAIT;
            let serve = move |node: Rc<Self>| async move { node.agent.borrow().serve_intent(pull) };
            let push = match world.has(Mutant::IntentPull) {
                true => None,
                false => ask(&world, self.from(), to, end, serve).await.ok(),
            };
            let outputs = self.agent.borrow_mut().intent_pulled(push, world.now());
            self.carry_out(outputs);
        });
    }

    fn pull_members(self: Rc<Self>, address: SocketAddr, pull: oleandertiller_fleet::MembersPull) {
        let (world, process) = (self.world.clone(), self.process);
        let Some(to) = world.index_of(address) else { return };
        world.clone().exec.spawn(process, async move {
            let end = world.now() + PULL_WAIT;
            let serve =
                move |node: Rc<Self>| async move { node.agent.borrow().serve_members(&pull) };
            let push = ask(&world, self.from(), to, end, serve).await.ok();
            let outputs = self.agent.borrow_mut().members_pulled(push, world.now());
            self.carry_out(outputs);
        });
    }

    /// Brings the local record up to date with the upstream and the entry held.
    pub fn update_record(self: &Rc<Self>) {
        let (lifecycle, now) = (self.lifecycle(), self.world.now());
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().update_local(|record| record.lifecycle = lifecycle, now);
            agent.take_outputs(now)
        };
        self.carry_out(outputs);
    }

    /// Returns whether the node takes new work.
    pub fn is_fresh(&self) -> bool {
        let checked = self.agent.borrow_mut().freshness_mut().check(self.world.now());
        self.world.has(Mutant::StaleCheck) || checked.is_ok()
    }

    pub fn zone_in_service(&self, zone: &ZoneName) -> bool {
        let agent = self.agent.borrow();
        self.world.has(Mutant::ZoneCheck) || agent.replica().intent().zone_in_service(zone)
    }

    /// Gives the selectors the present candidates; mirrors `ingress/route.rs`.
    pub fn refresh_candidates(&self) {
        if !self.view_changed.replace(false) {
            return;
        }
        let now = self.world.now();
        for (service, selector) in self.selectors.borrow_mut().iter_mut().enumerate() {
            selector.set_candidates(self.candidates(service), now);
        }
    }

    fn candidates(&self, service: usize) -> Vec<Candidate> {
        let agent = self.agent.borrow();
        let members = agent.membership().of_service(&self.world.services[service].name);
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

    /// Returns the number of a node that the membership knows, with whether it is reachable.
    pub fn find(&self, name: &oleandertiller_model::NodeName) -> Option<(usize, bool)> {
        let agent = self.agent.borrow();
        let entry = agent.membership().table().get(name)?;
        let index = self.world.index_of(entry.record.addresses.inner)?;
        Some((index, agent.membership().is_selectable(name)))
    }

    pub fn in_work(&self) -> usize {
        self.owner.borrow().busy() + self.active.get() + self.streams.get()
    }

    /// Stops as planned: hands the ledger over, refuses new work, and ends when nothing is in work.
    pub async fn stop(self: Rc<Self>) {
        self.planned.set(true);
        self.leave_keepers().await;
        self.draining.set(true);
        self.world.trace(|| format!("node {} drains", self.index));
        self.world.checks.borrow_mut().on_leaving(&self.world, self.index);
        let now = self.world.now();
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().leave(now);
            agent.membership_mut().push(PUSH_FANOUT);
            agent.take_outputs(now)
        };
        self.carry_out(outputs);
        let deadline = now + DRAIN_TIMEOUT;
        while self.in_work() > 0 && self.world.now() < deadline {
            if self.world.has(Mutant::DrainWait) {
                break;
            }
            self.world.exec.sleep(QUIET_POLL).await;
        }
        self.world.trace(|| format!("node {} has stopped", self.index));
        let (world, node) = (self.world.clone(), self.clone());
        world.checks.borrow_mut().on_stopped(&world, &node);
        self.world.exec.spawn(crate::exec::WORLD, async move { node.kill() });
    }

    /// Asks a candidate for its load, if one is worth it and the budget pays.
    pub fn probe(self: &Rc<Self>, service: usize) {
        let now = self.world.now();
        let Some(target) = self.selectors.borrow_mut()[service].probe_target(now) else { return };
        let paid = self.measuring.borrow_mut().try_take(now) || self.world.has(Mutant::Budget);
        let Some((to, _)) = self.find(&target.node).filter(|_| paid) else { return };
        self.world.checks.borrow_mut().on_probe(&self.world, self.index);
        let node = self.clone();
        self.world.exec.spawn(self.process, async move {
            let serve = |node: Rc<Self>| async move { node.load() };
            let end = probe_end(now);
            let load: Result<_, Outcome> = ask(&node.world, node.from(), to, end, serve).await;
            let now = node.world.now();
            node.selectors.borrow_mut()[service].on_probe(&target.node, load.ok(), now);
        });
    }
}

fn probe_end(now: Instant) -> Instant {
    now + Duration::from_millis(500)
}

fn agent_config(world: &World, index: usize, incarnation: u64, seed: u64) -> AgentConfig {
    let place = &world.places[index];
    let local = Record {
        node: place.name.clone(),
        incarnation,
        refutation: 0,
        zone: place.zone.clone(),
        region: RegionName::from("region"),
        service: world.services[place.service].name.clone(),
        version: VersionName::from("v1"),
        lifecycle: Lifecycle::Absent,
        slots: place.slots,
        addresses: place.addresses,
        state: MemberState::Alive,
        entry: None,
    };
    let others = (1..=3).map(|step| (index + step) % world.size());
    let seeds = others.map(|other| world.places[other].addresses.gossip).collect();
    AgentConfig { local, seeds, called_services: Vec::new(), seed }
}
