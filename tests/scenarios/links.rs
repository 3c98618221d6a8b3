//! Fault-injecting proxies on the links that a script partitions or delays.
//!
//! A proxy stands between one node and the inner and gossip ports of another, so that each
//! direction of a pair can be disturbed by itself. Nodes find the proxies through `[peers] routes`.

use std::{collections::BTreeMap, io, net::SocketAddr};

use async_std::task;
use oleandertiller_language::scenario::{Event, Scenario};
use oleandertiller_standin::{Proxy, ProxyFaults, ProxyOptions};

use crate::fleet::Member;

/// Name that stands for the store in a script.
const STORE: &str = "store";

/// Name that stands for all nodes outside the other place of the event.
const OTHERS: &str = "others";

/// One end of a link: a node by its index, or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Node(usize),
    Store,
}

/// Proxies of a fleet, by source and target of the link.
pub struct Links {
    proxies: BTreeMap<(Endpoint, Endpoint), Proxy>,
    /// Name, zone, inner address and gossip address of each node.
    nodes: Vec<(String, String, SocketAddr, SocketAddr)>,
    store: SocketAddr,
}

impl Links {
    /// Starts proxies in both directions on all links that the script disturbs.
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
                links.start_proxy(pair)?;
            }
        }
        Ok(links)
    }

    fn start_proxy(&mut self, pair: (Endpoint, Endpoint)) -> io::Result<()> {
        let mut options = match pair.1 {
            Endpoint::Node(index) => ProxyOptions::new(self.nodes[index].2),
            Endpoint::Store => ProxyOptions::new(self.store),
        };
        if let Endpoint::Node(index) = pair.1 {
            options.udp_target = Some(self.nodes[index].3);
        }
        if !self.proxies.contains_key(&pair) && pair.0 != Endpoint::Store {
            self.proxies.insert(pair, task::block_on(Proxy::start(options))?);
        }
        Ok(())
    }

    /// Returns the indices of the nodes at a place: a node, a zone, or `others`, the nodes outside
    /// of `from`.
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
        assert!(!found.is_empty(), "the fleet has no node or zone {place}");
        found
    }

    /// Returns both directions of all links between two places.
    fn pairs(&self, one: &str, other: &str) -> Vec<(Endpoint, Endpoint)> {
        let ends = |place: &str, from: &str| match place {
            STORE => vec![Endpoint::Store],
            _ => self.nodes_at(place, from).into_iter().map(Endpoint::Node).collect(),
        };
        let (one, other) = (ends(one, other), ends(other, one));
        let pairs = one.iter().flat_map(|a| other.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
        pairs.collect()
    }

    /// Partitions two places from each other, or heals the partition between them. As in a real
    /// network, no connection is refused: bytes are held until the partition heals, and datagrams
    /// are lost.
    pub fn set_partitioned(&self, one: &str, other: &str, partitioned: bool) {
        self.update_faults(self.pairs(one, other), |faults| faults.freeze = partitioned);
    }

    /// Delays what one place sends to another by `delay_ms`; zero ends the delay.
    pub fn set_delay(&self, from: &str, to: &str, delay_ms: f64) {
        let pairs = self.pairs(from, to);
        let one_way = pairs.into_iter().filter(|(a, _)| match a {
            Endpoint::Node(index) => self.nodes_at(from, to).contains(index),
            Endpoint::Store => false,
        });
        self.update_faults(one_way.collect(), |faults| faults.delay_ms = delay_ms);
    }

    fn update_faults(&self, pairs: Vec<(Endpoint, Endpoint)>, update: impl Fn(&mut ProxyFaults)) {
        for pair in pairs {
            let Some(proxy) = self.proxies.get(&pair) else { continue };
            let mut faults = proxy.faults();
            update(&mut faults);
            proxy.set_faults(faults);
        }
    }

    /// Returns the value of the setting `routes` for a node.
    pub fn routes_setting(&self, index: usize) -> String {
        let mut routes = Vec::new();
        for ((from, to), proxy) in &self.proxies {
            let Endpoint::Node(to) = to else { continue };
            if *from == Endpoint::Node(index) {
                let (_, _, inner, gossip) = &self.nodes[*to];
                routes.push(format!("{inner} via {}", proxy.addr()));
                routes.extend(proxy.udp_addr().map(|via| format!("{gossip} via {via}")));
            }
        }
        routes.join(", ")
    }

    /// Returns the address at which a node reaches the store.
    pub fn store_address(&self, index: usize) -> SocketAddr {
        self.proxies.get(&(Endpoint::Node(index), Endpoint::Store)).map_or(self.store, Proxy::addr)
    }

    /// Returns the nodes that a partition from `others` isolates; none for any other partition.
    pub fn isolated_nodes(&self, one: &str, other: &str) -> Vec<usize> {
        match (one, other) {
            (place, OTHERS) | (OTHERS, place) => self.nodes_at(place, OTHERS),
            _ => Vec::new(),
        }
    }
}
