//! The fleet, its network and its store.

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
    exec::{Exec, WORLD, oneshot},
    glue::Node,
    mutant::Mutant,
    store::Store,
    upstream::Upstream,
};

/// Datagrams in one schedule from which gossip must be feeding on itself. The largest schedules
/// send some ten thousand.
const DATAGRAMS_MAX: u64 = 100_000;

/// What does not change about a node.
pub(crate) struct Place {
    pub name: NodeName,
    pub zone: ZoneName,
    pub service: usize,
    pub slots: u32,
    pub addresses: Addresses,
}

/// A group of nodes that is cut off from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut {
    pub group: u32,
    /// Whether the group loses the store too.
    pub store: bool,
}

/// State of the network between nodes.
#[derive(Default)]
pub(crate) struct Net {
    pub cuts: Vec<Cut>,
    /// Directed pairs whose messages are lost.
    pub one_way: Vec<(usize, usize)>,
    /// Share of datagrams that are lost, doubled, and late.
    pub loss: f64,
    pub doubled: f64,
    pub late: f64,
    /// Share of replies between nodes that carry another request's id.
    pub crossed: f64,
    /// Connections by process of the caller and of the receiver.
    pub connected: HashSet<(usize, usize)>,
}

impl Net {
    /// Returns whether messages pass from one node to the other.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        let split = |cut: &Cut| (cut.group >> from ^ cut.group >> to) & 1 == 1;
        !self.cuts.iter().any(split) && !self.one_way.contains(&(from, to))
    }

    /// Returns whether both directions pass, as a connection needs.
    pub fn connects(&self, a: usize, b: usize) -> bool {
        self.passes(a, b) && self.passes(b, a)
    }

    pub fn reaches_store(&self, node: usize) -> bool {
        !self.cuts.iter().any(|cut| cut.store && cut.group >> node & 1 == 1)
    }
}

/// Everything in one schedule.
pub(crate) struct World {
    pub exec: Exec,
    pub rng: RefCell<StdRng>,
    pub mutant: Option<Mutant>,
    pub places: Vec<Place>,
    pub services: Vec<ServiceSpec>,
    pub nodes: RefCell<Vec<Option<Rc<Node>>>>,
    pub upstreams: Vec<Upstream>,
    pub net: RefCell<Net>,
    pub store: RefCell<Store>,
    pub checks: RefCell<Checks>,
    pub next_id: Cell<u64>,
    pub datagrams: Cell<u64>,
    log: Option<RefCell<Vec<String>>>,
}

/// The two deployments of the design page.
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

impl World {
    pub fn new(
        seed: u64,
        deployment: Deployment,
        mutant: Option<Mutant>,
        traced: bool,
    ) -> Rc<Self> {
        let mut places = Vec::new();
        let mut services = Vec::new();
        for (service, count, slots) in deployment.services() {
            for number in 0..count {
                let index = places.len();
                let zone = deployment.zones()[number % 3];
                places.push(Place {
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
            exec: Exec::new(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            mutant,
            nodes: RefCell::new(vec![None; places.len()]),
            upstreams: places.iter().map(|place| Upstream::new(place.slots)).collect(),
            checks: RefCell::new(Checks::new(places.len())),
            places,
            services,
            net: RefCell::default(),
            store: RefCell::new(store),
            next_id: Cell::new(1),
            datagrams: Cell::new(0),
            log: traced.then(RefCell::default),
        })
    }

    pub fn size(&self) -> usize {
        self.places.len()
    }

    pub fn now(&self) -> Instant {
        self.exec.now()
    }

    pub fn has(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    pub fn id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    pub fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random_bool(share)
    }

    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    pub fn millis(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.draw(range))
    }

    /// Adds a line to the trace, if one is kept.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        if let Some(log) = &self.log {
            let at = self.exec.elapsed().as_secs_f64();
            log.borrow_mut().push(format!("{at:9.4} {}", line()));
        }
    }

    pub fn take_trace(&self) -> Vec<String> {
        self.log.as_ref().map(RefCell::take).unwrap_or_default()
    }

    pub fn node(&self, index: usize) -> Option<Rc<Node>> {
        self.nodes.borrow()[index].clone()
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.nodes.borrow()[index].is_some()
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.node(index).is_some_and(|node| self.exec.is_paused(node.process))
    }

    pub fn index_of(&self, address: SocketAddr) -> Option<usize> {
        match address.ip() {
            std::net::IpAddr::V4(ip) => Some(usize::from(ip.octets()[3]) - 1),
            std::net::IpAddr::V6(_) => None,
        }
    }

    /// One-way time between two nodes, by zone.
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        let near = self.places[from].zone == self.places[to].zone;
        Duration::from_micros(if near { 100 } else { 1_000 } + self.draw(0..500))
    }

    /// Sends a gossip datagram, which may be lost, doubled, late or out of order.
    pub fn send_datagram(self: &Rc<Self>, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.index_of(to) else { return };
        self.datagrams.set(self.datagrams.get() + 1);
        assert!(self.datagrams.get() < DATAGRAMS_MAX, "gossip does not come to rest");
        let (passes, loss, doubled, late) = {
            let net = self.net.borrow();
            (net.passes(from, to), net.loss, net.doubled, net.late)
        };
        if !passes || self.chance(loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance(doubled));
        for _ in 0..copies {
            let mut delay = self.latency(from, to);
            if self.chance(late) {
                delay += self.millis(5..800);
            }
            let Some(node) = self.node(to) else { return };
            let source = self.places[from].addresses.gossip;
            let bytes = bytes.clone();
            let process = node.process;
            self.exec.spawn_in(delay, process, async move { node.receive(source, &bytes) });
        }
    }

    /// Makes a store call for a node and waits for its answer.
    pub async fn store_call(self: &Rc<Self>, from: usize, call: StoreCall) -> StoreAnswer {
        let timeout = match &call {
            StoreCall::Watch { timeout, .. } => *timeout + STORE_TIMEOUT,
            _ => STORE_TIMEOUT,
        };
        let end = self.now() + timeout;
        if self.store.borrow().down {
            self.exec.sleep(Duration::from_millis(1)).await;
            return StoreAnswer::NotSent;
        }
        let (tx, rx) = oneshot(&self.exec);
        let world = self.clone();
        self.exec.spawn(WORLD, async move {
            if let Some(answer) = world.serve_store(from, call).await {
                tx.send(answer);
            } else {
                // Without an answer the caller waits for its time-out.
                world.exec.sleep_until(end).await;
            }
        });
        self.exec.within(end, rx).await.flatten().unwrap_or(StoreAnswer::Lost)
    }

    async fn serve_store(self: &Rc<Self>, from: usize, call: StoreCall) -> Option<StoreAnswer> {
        let delay = self.store.borrow().delay + Duration::from_micros(1_000 + self.draw(0..2_000));
        self.exec.sleep(delay).await;
        if !self.net.borrow().reaches_store(from) || self.store.borrow().down {
            return None;
        }
        if let StoreCall::Watch { key, after, timeout } = &call {
            let end = self.now() + *timeout;
            while self.store.borrow().version(key) <= *after && self.now() < end {
                self.exec.sleep(Duration::from_millis(20)).await;
            }
        }
        let answer = self.store.borrow_mut().call(call.clone(), self.now());
        self.checks.borrow_mut().on_store(self, &call, &answer);
        let lost = self.store.borrow().loses;
        if self.chance(lost) {
            return None;
        }
        self.exec.sleep(Duration::from_millis(1)).await;
        let reachable = self.net.borrow().reaches_store(from) && !self.store.borrow().down;
        reachable.then_some(answer)
    }
}
