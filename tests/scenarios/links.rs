//! Fault-injecting proxies on the links that a script cuts or delays.
//!
//! A proxy stands on the way from one node to another, for its inner and its gossip port, so that
//! each direction of each pair can be cut by itself. Nodes find it through `[peers] routes`.

use std::{collections::BTreeMap, io, net::SocketAddr};

use async_std::task;
use oleandertiller_language::scenario::{Event, Scenario};
use oleandertiller_standin::{Proxy, ProxyFaults, ProxyOptions};

use crate::fleet::Member;

/// Place of a script that stands for the store.
const STORE: &str = "store";

/// Place of a script that stands for all nodes outside the other place.
const OTHERS: &str = "others";

/// One end of a link: a node by its index, or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Node(usize),
    Store,
}

pub struct Links {
    proxies: BTreeMap<(End, End), Proxy>,
    nodes: Vec<(String, String, SocketAddr, SocketAddr)>,
    store: SocketAddr,
}

impl Links {
    pub fn start(scenario: &Scenario, members: &[Member], store: SocketAddr) -> io::Result<Self> {
        let node = |m: &Member| (m.name.clone(), m.zone.clone(), m.node.inner, m.node.gossip);
        let nodes = members.iter().map(node).collect();
        let mut links = Self { proxies: BTreeMap::new(), nodes, store };
        for event in scenario.steps.iter().flat_map(|step| &step.events) {
            let pairs = match event {
                Event::Cut { from, to, .. } | Event::Delay { from, to, .. } => {
                    links.pairs(from, to)
                }
                _ => continue,
            };
            for pair in pairs {
                links.add(pair)?;
            }
        }
        Ok(links)
    }

    fn add(&mut self, pair: (End, End)) -> io::Result<()> {
        let mut options = match pair.1 {
            End::Node(index) => ProxyOptions::new(self.nodes[index].2),
            End::Store => ProxyOptions::new(self.store),
        };
        if let End::Node(index) = pair.1 {
            options.udp_target = Some(self.nodes[index].3);
        }
        if !self.proxies.contains_key(&pair) && pair.0 != End::Store {
            self.proxies.insert(pair, task::block_on(Proxy::start(options))?);
        }
        Ok(())
    }

    /// Returns the indices of the nodes at a place, seen from another.
    pub fn nodes_at(&self, place: &str, from: &str) -> Vec<usize> {
        let is_at = |index: &usize, place: &str| {
            let (name, zone, ..) = &self.nodes[*index];
            name == place || zone == place
        };
        let all = 0..self.nodes.len();
        let found: Vec<_> = match place {
            OTHERS => all.filter(|index| !is_at(index, from)).collect(),
            _ => all.filter(|index| is_at(index, place)).collect(),
        };
        assert!(!found.is_empty(), "the fleet has no place {place}");
        found
    }

    /// Returns both directions of all links between two places.
    fn pairs(&self, one: &str, other: &str) -> Vec<(End, End)> {
        let ends = |place: &str, from: &str| match place {
            STORE => vec![End::Store],
            _ => self.nodes_at(place, from).into_iter().map(End::Node).collect(),
        };
        let (one, other) = (ends(one, other), ends(other, one));
        let pairs = one.iter().flat_map(|a| other.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
        pairs.collect()
    }

    /// Cuts or heals all links between two places. As in a network, nothing is refused: bytes are
    /// held until the link is healed, and datagrams are lost.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        self.change(self.pairs(one, other), |faults| faults.freeze = cut);
    }

    /// Delays what one place sends to another; zero ends the delay.
    pub fn set_delay(&self, from: &str, to: &str, delay_ms: f64) {
        let pairs = self.pairs(from, to);
        let one_way = pairs.into_iter().filter(|(a, _)| match a {
            End::Node(index) => self.nodes_at(from, to).contains(index),
            End::Store => false,
        });
        self.change(one_way.collect(), |faults| faults.delay_ms = delay_ms);
    }

    fn change(&self, pairs: Vec<(End, End)>, change: impl Fn(&mut ProxyFaults)) {
        for pair in pairs {
            let Some(proxy) = self.proxies.get(&pair) else { continue };
            let mut faults = proxy.faults();
            change(&mut faults);
            proxy.set_faults(faults);
        }
    }

    /// Returns the node's setting `routes`.
    pub fn routes(&self, index: usize) -> String {
        let mut routes = Vec::new();
        for ((from, to), proxy) in &self.proxies {
            let End::Node(to) = to else { continue };
            if *from == End::Node(index) {
                let (_, _, inner, gossip) = &self.nodes[*to];
                routes.push(format!("{inner} via {}", proxy.addr()));
                routes.extend(proxy.udp_addr().map(|via| format!("{gossip} via {via}")));
            }
        }
        routes.join(", ")
    }

    /// Returns the address at which a node reaches the store.
    pub fn store(&self, index: usize) -> SocketAddr {
        self.proxies.get(&(End::Node(index), End::Store)).map_or(self.store, Proxy::addr)
    }

    /// Returns the nodes that a cut leaves without any link to the others.
    pub fn isolated(&self, one: &str, other: &str) -> Vec<usize> {
        match (one, other) {
            (place, OTHERS) | (OTHERS, place) => self.nodes_at(place, OTHERS),
            _ => Vec::new(),
        }
    }
}
