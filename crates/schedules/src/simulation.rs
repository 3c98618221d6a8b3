//! The simulated fleet with its network and store.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Addresses,
    store::{STORE_TIMEOUT, StoreAnswer, StoreCall},
};
use oleandertiller_model::{KindSpec, NodeName, ServiceSpec, ZoneName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    checks::Checks,
    driver::Node,
    executor::{Executor, SIMULATION_PROCESS, oneshot},
    mutant::Mutant,
    store::Store,
    upstream::Upstream,
};

/// Largest number of datagrams in one schedule; more mean that gossip causes ever more gossip. The
/// largest schedules send some ten thousand.
const MAX_DATAGRAMS: u64 = 100_000;

/// Properties of a node that stay the same when its process restarts.
pub(crate) struct NodeSpec {
    pub name: NodeName,
    pub zone: ZoneName,
    pub service: usize,
    pub slots: u32,
    pub addresses: Addresses,
}

/// A network partition that separates a group of nodes from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Partition {
    /// Bit mask of node indices.
    pub group: u32,
    /// Whether the group cannot reach the store either.
    pub store: bool,
}

/// State of the network between the nodes.
#[derive(Default)]
pub(crate) struct Network {
    pub partitions: Vec<Partition>,
    /// Sender and receiver of each link on which messages are lost.
    pub one_way_loss: Vec<(usize, usize)>,
    /// Shares of datagrams that are lost, duplicated and delayed.
    pub lost_share: f64,
    pub duplicated_share: f64,
    pub delayed_share: f64,
    /// Share of replies between nodes that carry the id of another request.
    pub wrong_id_share: f64,
    /// Open connections, by the processes of caller and receiver.
    pub connected: HashSet<(usize, usize)>,
}

impl Network {
    /// Returns whether messages from one node to the other are delivered.
    pub fn delivers(&self, from: usize, to: usize) -> bool {
        let separates =
            |partition: &Partition| (partition.group >> from ^ partition.group >> to) & 1 == 1;
        !self.partitions.iter().any(separates) && !self.one_way_loss.contains(&(from, to))
    }

    /// Returns whether both directions work, as a connection needs.
    pub fn connects(&self, a: usize, b: usize) -> bool {
        self.delivers(a, b) && self.delivers(b, a)
    }

    pub fn reaches_store(&self, node: usize) -> bool {
        !self.partitions.iter().any(|partition| partition.store && partition.group >> node & 1 == 1)
    }
}

/// State of a running schedule: the fleet with its upstreams, network and store, and the checks.
pub(crate) struct Simulation {
    pub executor: Executor,
    pub rng: RefCell<StdRng>,
    pub mutant: Option<Mutant>,
    pub node_specs: Vec<NodeSpec>,
    pub services: Vec<ServiceSpec>,
    /// Running process of each node, if any.
    pub nodes: RefCell<Vec<Option<Rc<Node>>>>,
    pub upstreams: Vec<Upstream>,
    pub net: RefCell<Network>,
    pub store: RefCell<Store>,
    pub checks: RefCell<Checks>,
    pub next_id: Cell<u64>,
    /// Number of gossip datagrams sent.
    pub datagrams: Cell<u64>,
    trace_lines: Option<RefCell<Vec<String>>>,
}

/// The two example deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    Tuul,
    Trunkworks,
}

impl Deployment {
    fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Tuul => ["bayangol", "sukhbaatar", "khan-uul"],
            Self::Trunkworks => ["shore-one", "shore-two", "shore-three"],
        }
    }

    /// Returns each service with its number of nodes and the slots of each upstream.
    fn services(self) -> Vec<(ServiceSpec, usize, u32)> {
        let kind = |name: &str, weight| KindSpec::new(name).with_weight(weight);
        match self {
            Self::Tuul => {
                let recipe = vec![kind("lookup", 2), kind("release", 4).with_at_most_once()];
                let kettle = vec![
                    kind("temper", 8),
                    kind("status", 2),
                    kind("calibrate", 1).with_internal(),
                ];
                vec![
                    (ServiceSpec::new("recipe", recipe), 4, 6),
                    (ServiceSpec::new("kettle", kettle), 4, 6),
                ]
            }
            Self::Trunkworks => {
                let lending = vec![kind("browse", 2), kind("book", 4).with_at_most_once()];
                let stock =
                    vec![kind("wear", 1), kind("dates", 3), kind("size", 1).with_internal()];
                vec![
                    (ServiceSpec::new("lending", lending), 7, 12),
                    (ServiceSpec::new("stock", stock), 5, 12),
                ]
            }
        }
    }
}

fn addresses(index: usize) -> Addresses {
    let at = |port: u16| SocketAddr::from(([10, 0, 0, index as u8 + 1], port));
    Addresses { client: at(1), inner: at(2), gossip: at(3), operator: at(4) }
}

impl Simulation {
    pub fn new(
        seed: u64,
        deployment: Deployment,
        mutant: Option<Mutant>,
        keep_trace: bool,
    ) -> Rc<Self> {
        let mut node_specs = Vec::new();
        let mut services = Vec::new();
        for (service, count, slots) in deployment.services() {
            for number in 0..count {
                let index = node_specs.len();
                let zone = deployment.zones()[number % 3];
                node_specs.push(NodeSpec {
                    name: NodeName::new(format!("{}-{number}", service.name)),
                    zone: ZoneName::from(zone),
                    service: services.len(),
                    slots,
                    addresses: addresses(index),
                });
            }
            services.push(service);
        }
        let mut store = Store::default();
        store.blind_writes = mutant == Some(Mutant::CompareAndSwap);
        Rc::new(Self {
            executor: Executor::new(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            mutant,
            nodes: RefCell::new(vec![None; node_specs.len()]),
            upstreams: node_specs.iter().map(|spec| Upstream::new(spec.slots)).collect(),
            checks: RefCell::new(Checks::new(node_specs.len())),
            node_specs,
            services,
            net: RefCell::default(),
            store: RefCell::new(store),
            next_id: Cell::new(1),
            datagrams: Cell::new(0),
            trace_lines: keep_trace.then(RefCell::default),
        })
    }

    pub fn node_count(&self) -> usize {
        self.node_specs.len()
    }

    pub fn now(&self) -> Instant {
        self.executor.now()
    }

    /// Returns whether the run disables a mechanism.
    pub fn disables(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns an id that is unique within the schedule.
    pub fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Returns true with probability `share`.
    pub fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random_bool(share)
    }

    /// Draws a uniformly distributed number.
    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    pub fn draw_millis(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.draw(range))
    }

    /// Adds a line to the trace if tracing is enabled.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        if let Some(trace_lines) = &self.trace_lines {
            let at = self.executor.elapsed().as_secs_f64();
            trace_lines.borrow_mut().push(format!("{at:9.4} {}", line()));
        }
    }

    pub fn take_trace(&self) -> Vec<String> {
        self.trace_lines.as_ref().map(RefCell::take).unwrap_or_default()
    }

    /// Returns the running process of a node, paused or not.
    pub fn node(&self, index: usize) -> Option<Rc<Node>> {
        self.nodes.borrow()[index].clone()
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.nodes.borrow()[index].is_some()
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.node(index).is_some_and(|node| self.executor.is_paused(node.process))
    }

    /// Returns the index of the node that has an address.
    pub fn index_of(&self, address: SocketAddr) -> Option<usize> {
        match address.ip() {
            std::net::IpAddr::V4(ip) => Some(usize::from(ip.octets()[3]) - 1),
            std::net::IpAddr::V6(_) => None,
        }
    }

    /// Returns a random one-way latency between two nodes; it is higher between zones.
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        let same_zone = self.node_specs[from].zone == self.node_specs[to].zone;
        Duration::from_micros(if same_zone { 100 } else { 1_000 } + self.draw(0..500))
    }

    /// Sends a gossip datagram, which may be lost, duplicated, delayed or reordered.
    pub fn send_datagram(self: &Rc<Self>, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.index_of(to) else { return };
        self.datagrams.set(self.datagrams.get() + 1);
        assert!(
            self.datagrams.get() < MAX_DATAGRAMS,
            "gossip does not settle: too many datagrams in one schedule"
        );
        let (delivers, lost_share, duplicated_share, delayed_share) = {
            let net = self.net.borrow();
            (net.delivers(from, to), net.lost_share, net.duplicated_share, net.delayed_share)
        };
        if !delivers || self.chance(lost_share) {
            return;
        }
        let copies = 1 + usize::from(self.chance(duplicated_share));
        for _ in 0..copies {
            let mut delay = self.latency(from, to);
            if self.chance(delayed_share) {
                delay += self.draw_millis(5..800);
            }
            let Some(node) = self.node(to) else { return };
            let source = self.node_specs[from].addresses.gossip;
            let bytes = bytes.clone();
            let process = node.process;
            self.executor.spawn_in(delay, process, async move { node.receive(source, &bytes) });
        }
    }

    /// Calls the store for a node and waits for the answer.
    pub async fn store_call(self: &Rc<Self>, from: usize, call: StoreCall) -> StoreAnswer {
        let timeout = match &call {
            StoreCall::Watch { timeout, .. } => *timeout + STORE_TIMEOUT,
            _ => STORE_TIMEOUT,
        };
        let end = self.now() + timeout;
        if self.store.borrow().down {
            self.executor.sleep(Duration::from_millis(1)).await;
            return StoreAnswer::NotSent;
        }
        let (tx, rx) = oneshot(&self.executor);
        let sim = self.clone();
        self.executor.spawn(SIMULATION_PROCESS, async move {
            if let Some(answer) = sim.serve_store(from, call).await {
                tx.send(answer);
            } else {
                // Without an answer the caller waits until its timeout.
                sim.executor.sleep_until(end).await;
            }
        });
        self.executor.within(end, rx).await.flatten().unwrap_or(StoreAnswer::Lost)
    }

    async fn serve_store(self: &Rc<Self>, from: usize, call: StoreCall) -> Option<StoreAnswer> {
        let delay = self.store.borrow().delay + Duration::from_micros(1_000 + self.draw(0..2_000));
        self.executor.sleep(delay).await;
        if !self.net.borrow().reaches_store(from) || self.store.borrow().down {
            return None;
        }
        if let StoreCall::Watch { key, after, timeout } = &call {
            let end = self.now() + *timeout;
            while self.store.borrow().version(key) <= *after && self.now() < end {
                self.executor.sleep(Duration::from_millis(20)).await;
            }
        }
        let answer = self.store.borrow_mut().call(call.clone(), self.now());
        self.checks.borrow_mut().on_store_answer(self, &call, &answer);
        let lost_share = self.store.borrow().lost_answer_share;
        if self.chance(lost_share) {
            return None;
        }
        self.executor.sleep(Duration::from_millis(1)).await;
        let reachable = self.net.borrow().reaches_store(from) && !self.store.borrow().down;
        reachable.then_some(answer)
    }
}
