//! A small in-memory network of agents in virtual time, with faults.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use oleandertiller_model::{
    Lifecycle, NodeName,
    message::{IntentPull, IntentPush},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    agent::{Agent, AgentConfig, Output, TICK},
    datagram::{MembersPull, MembersPush},
    record::{Addresses, MemberState, Record},
};

/// Faults and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Probability that a datagram or a pull is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// Shortest one-way delay.
    pub min_delay: Duration,
    /// Longest one-way delay; datagrams overtake each other within the range.
    pub max_delay: Duration,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_millis(3),
        }
    }
}

/// What one node has sent and received, and the time spent in its agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent in datagrams.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received in datagrams.
    pub received_bytes: u64,
    /// Number of calls of [`Agent::tick`].
    pub ticks: u64,
    /// Time spent in [`Agent::tick`].
    pub tick_time: Duration,
    /// Time spent in [`Agent::receive`].
    pub receive_time: Duration,
    /// Number of view changes.
    pub changes: u64,
    /// Number of view changes to the state failed.
    pub failures: u64,
}

/// One node of the network.
#[derive(Debug)]
pub struct Node {
    /// Agent of the node.
    pub agent: Agent,
    /// Whether the process runs.
    pub up: bool,
    /// Side of a network partition: nodes reach only nodes of the same group.
    pub group: u32,
    /// Traffic so far.
    pub traffic: Traffic,
    paused_until: Option<Instant>,
    /// Datagrams received during a pause.
    buffer: Vec<(SocketAddr, Vec<u8>)>,
    /// Number of starts and ends of the process so far; events of an earlier process are dropped.
    generation: u64,
    config: AgentConfig,
}

#[derive(Debug)]
enum Event {
    Tick { node: usize, generation: u64 },
    Datagram { node: usize, from: SocketAddr, bytes: Vec<u8> },
    IntentPulled { node: usize, generation: u64, push: Option<IntentPush> },
    MembersPulled { node: usize, generation: u64, push: Option<MembersPush> },
}

/// A network of agents in virtual time.
#[derive(Debug)]
pub struct Network {
    /// Nodes by number.
    pub nodes: Vec<Node>,
    /// Faults and delays from now on.
    pub links: Links,
    /// Virtual time.
    pub now: Instant,
    /// Members without an agent that answer pings, by gossip address; they stand for the rest of a
    /// larger fleet.
    pub stubs: HashMap<SocketAddr, NodeName>,
    start: Instant,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    by_address: HashMap<SocketAddr, usize>,
}

/// Returns the addresses of the node with this number.
pub fn addresses(number: usize) -> Addresses {
    let [_, a, b, c] = (number as u32 + 1).to_be_bytes();
    let at = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, a, b, c)), port);
    Addresses { client: at(7_000), inner: at(7_001), gossip: at(7_002), operator: at(7_003) }
}

/// Returns the record of the node with this number, in one of `zones` zones and with about nine
/// members to a service.
pub fn record(number: usize, zones: usize) -> Record {
    Record {
        node: NodeName::new(format!("node-{number:05}")),
        incarnation: 1_800_000_000_000,
        refutation: 0,
        zone: format!("zone-{:02}", number % zones).as_str().into(),
        region: format!("region-{}", number % zones / 2).as_str().into(),
        service: format!("service-{:04}", number / 9).as_str().into(),
        version: "v1".into(),
        lifecycle: Lifecycle::Serving,
        slots: 8,
        addresses: addresses(number),
        state: MemberState::Alive,
        entry: None,
    }
}

impl Network {
    /// Creates a network without nodes.
    pub fn new(links: Links, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            nodes: Vec::new(),
            links,
            now,
            stubs: HashMap::new(),
            start: now,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            by_address: HashMap::new(),
        }
    }

    /// Starts a node and returns its number.
    pub fn add(&mut self, config: AgentConfig) -> usize {
        let number = self.nodes.len();
        self.by_address.insert(config.local.addresses.gossip, number);
        self.by_address.insert(config.local.addresses.inner, number);
        self.nodes.push(Node {
            agent: Agent::new(config.clone(), self.now),
            up: true,
            group: 0,
            traffic: Traffic::default(),
            paused_until: None,
            buffer: Vec::new(),
            generation: 0,
            config,
        });
        self.schedule_tick(number);
        number
    }

    /// Crashes a node's process.
    pub fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.up = false;
        node.generation += 1;
        node.buffer.clear();
    }

    /// Restarts a node as a new process with a newer incarnation and empty memory.
    pub fn restart(&mut self, number: usize) {
        let now = self.now;
        let elapsed = now.duration_since(self.start).as_millis() as u64;
        let node = &mut self.nodes[number];
        node.generation += 1;
        node.config.local.incarnation += elapsed + 1;
        node.config.seed = node.config.seed.wrapping_add(elapsed + 1);
        node.agent = Agent::new(node.config.clone(), now);
        node.up = true;
        node.paused_until = None;
        node.buffer.clear();
        self.schedule_tick(number);
    }

    /// Pauses a node's process for a time; datagrams wait in its socket buffer.
    pub fn pause(&mut self, number: usize, duration: Duration) {
        self.nodes[number].paused_until = Some(self.now + duration);
    }

    /// Calls into a node's agent and carries out what it returns.
    pub fn with(&mut self, number: usize, f: impl FnOnce(&mut Agent, Instant) -> Vec<Output>) {
        let outputs = f(&mut self.nodes[number].agent, self.now);
        self.carry_out(number, outputs);
    }

    /// Advances the virtual time and handles the events that become due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            let at = self.start + Duration::from_micros(at);
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Returns whether datagrams from one node reach another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        to.up && from.group == to.group
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let at = (self.now + after).duration_since(self.start).as_micros() as u64;
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn schedule_tick(&mut self, node: usize) {
        let generation = self.nodes[node].generation;
        let after = TICK.mul_f64(self.rng.random::<f64>());
        self.schedule(after, Event::Tick { node, generation });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node, generation } => self.tick(node, generation),
            Event::Datagram { node, from, bytes } => self.deliver(node, from, bytes),
            Event::IntentPulled { node, generation, push } => {
                if self.nodes[node].generation == generation {
                    self.with(node, |agent, now| agent.intent_pulled(push, now));
                }
            }
            Event::MembersPulled { node, generation, push } => {
                if self.nodes[node].generation == generation {
                    self.with(node, |agent, now| agent.members_pulled(push, now));
                }
            }
        }
    }

    fn tick(&mut self, number: usize, generation: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.generation != generation {
            return;
        }
        if let Some(until) = node.paused_until {
            if now < until {
                let wait = until - now;
                return self.schedule(wait, Event::Tick { node: number, generation });
            }
            node.paused_until = None;
            for (from, bytes) in std::mem::take(&mut node.buffer) {
                self.deliver(number, from, bytes);
            }
        }
        let node = &mut self.nodes[number];
        let began = Instant::now();
        let outputs = node.agent.tick(now);
        node.traffic.tick_time += began.elapsed();
        node.traffic.ticks += 1;
        self.carry_out(number, outputs);
        self.schedule(TICK, Event::Tick { node: number, generation });
    }

    fn deliver(&mut self, number: usize, from: SocketAddr, bytes: Vec<u8>) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.up {
            return;
        }
        if node.paused_until.is_some() {
            node.buffer.push((from, bytes));
            return;
        }
        node.traffic.received += 1;
        node.traffic.received_bytes += bytes.len() as u64;
        let began = Instant::now();
        let outputs = node.agent.receive(from, &bytes, now);
        node.traffic.receive_time += began.elapsed();
        self.carry_out(number, outputs);
    }

    fn carry_out(&mut self, number: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(number, to, bytes),
                Output::PullIntent { address, pull, .. } => self.pull_intent(number, address, pull),
                Output::PullMembers { address, pull } => self.pull_members(number, address, &pull),
                Output::View(change) => self.nodes[number].traffic.record_view_change(&change),
                Output::Intent(_) => {}
            }
        }
    }

    fn delay(&mut self) -> Duration {
        let (min, max) = (self.links.min_delay, self.links.max_delay);
        min + (max - min).mul_f64(self.rng.random::<f64>())
    }

    fn send(&mut self, number: usize, to: SocketAddr, bytes: Vec<u8>) {
        let traffic = &mut self.nodes[number].traffic;
        traffic.sent += 1;
        traffic.sent_bytes += bytes.len() as u64;
        let from = self.nodes[number].config.local.addresses.gossip;
        let Some(node) = self.by_address.get(&to).copied() else {
            return self.answer_for_stub(number, to, &bytes);
        };
        if !self.reaches(number, node) || self.rng.random_bool(self.links.loss) {
            return;
        }
        if self.rng.random_bool(self.links.duplication) {
            let delay = self.delay();
            self.schedule(delay, Event::Datagram { node, from, bytes: bytes.clone() });
        }
        let delay = self.delay();
        self.schedule(delay, Event::Datagram { node, from, bytes });
    }

    fn answer_for_stub(&mut self, number: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(name) = self.stubs.get(&to).cloned() else { return };
        if let Some(answer) = super::stub_answer(&name, bytes) {
            let delay = self.delay();
            self.schedule(delay, Event::Datagram { node: number, from: to, bytes: answer });
        }
    }

    /// Returns the node at `address` if a pull by node `number` reaches it.
    fn reachable_peer(&mut self, number: usize, address: SocketAddr) -> Option<usize> {
        let peer = self.by_address.get(&address).copied()?;
        let running = self.nodes[peer].paused_until.is_none();
        let reaches = self.reaches(number, peer) && running;
        (reaches && !self.rng.random_bool(self.links.loss)).then_some(peer)
    }

    fn pull_intent(&mut self, number: usize, address: SocketAddr, pull: IntentPull) {
        let peer = self.reachable_peer(number, address);
        let push = peer.map(|peer| self.nodes[peer].agent.serve_intent(pull));
        let generation = self.nodes[number].generation;
        let delay = self.delay() + self.delay();
        self.schedule(delay, Event::IntentPulled { node: number, generation, push });
    }

    fn pull_members(&mut self, number: usize, address: SocketAddr, pull: &MembersPull) {
        let peer = self.reachable_peer(number, address);
        let push = peer.map(|peer| self.nodes[peer].agent.serve_members(pull));
        let generation = self.nodes[number].generation;
        let delay = self.delay() + self.delay();
        self.schedule(delay, Event::MembersPulled { node: number, generation, push });
    }
}
