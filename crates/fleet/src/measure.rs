//! Measurement of how the cost of membership and agreement grows with the fleet size.

pub mod loss;
pub mod network;

use std::time::{Duration, Instant, SystemTime};

use oleandertiller_model::{
    Action, Change, Lifecycle, NodeName, Revision,
    codec::{self, PROTOCOL_VERSION},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    agent::{Agent, AgentConfig},
    datagram::{Body, Datagram, MembersPush, Rumour},
    intent::{Replica, WatcherEvent},
    measure::network::{Links, Network, Traffic, record},
    membership::ViewChange,
    record::{MemberState, Record},
};

impl Traffic {
    fn record_view_change(&mut self, change: &ViewChange) {
        self.changes += 1;
        if let ViewChange::Updated(record) = change {
            self.failures += u64::from(record.state == MemberState::Failed);
        }
    }

    fn sum(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            sent_bytes: self.sent_bytes + other.sent_bytes,
            received: self.received + other.received,
            received_bytes: self.received_bytes + other.received_bytes,
            ticks: self.ticks + other.ticks,
            tick_time: self.tick_time + other.tick_time,
            receive_time: self.receive_time + other.receive_time,
            changes: self.changes + other.changes,
            failures: self.failures + other.failures,
        }
    }
}

/// Returns a stub's answer to a ping. A stub is a member without an agent, so that a few real
/// nodes can be measured in a large fleet.
fn stub_answer(name: &NodeName, bytes: &[u8]) -> Option<Vec<u8>> {
    let request = Datagram::decode(bytes).ok()?;
    let Body::Ping { sequence } = request.body else { return None };
    Some(codec::encode(&stub_datagram(name, Body::Ack { sequence, indirect: false })))
}

fn stub_datagram(name: &NodeName, body: Body) -> Datagram {
    Datagram {
        protocol: PROTOCOL_VERSION,
        from: name.clone(),
        revision: Revision(0),
        confirmed: None,
        fresh: true,
        body,
        changes: Vec::new(),
        rumours: Vec::new(),
    }
}

/// Cost of a node in the steady state, at one fleet size.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyState {
    /// Number of records that each node holds.
    pub records: usize,
    /// Number of nodes with a real agent; the others are stubs.
    pub nodes: usize,
    /// Datagrams sent by one node per second in the steady state.
    pub messages_per_second: f64,
    /// Bytes sent by one node per second in the steady state, IP and UDP headers included.
    pub bytes_per_second: f64,
    /// Bytes of memory of one node's membership.
    pub state_bytes: usize,
    /// Mean time spent in a tick.
    pub tick: Duration,
    /// Mean time spent in handling a received datagram and answering it.
    pub datagram: Duration,
    /// Share of a core that ticks and datagrams take.
    pub core_share: f64,
    /// Encoded size in bytes of all records, as transferred to a node that joins.
    pub snapshot_bytes: usize,
}

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub const IP_UDP_HEADER_BYTES: u64 = 28;

/// Record changes per day in the target fleet: 42 failures with a suspicion and a failure each, and
/// 2,300 restarts with draining, leaving, joining cold and serving.
const TARGET_CHANGES_PER_DAY: u32 = 42 * 2 + 2_300 * 4;

/// Number of nodes with a real agent when the fleet is larger than [`MAX_FULL_FLEET_NODES`].
const SAMPLE_NODES: usize = 40;

/// Maximum size of a fleet in which all nodes have a real agent.
const MAX_FULL_FLEET_NODES: usize = 1_000;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of records in the target fleet, whose rate of change is [`TARGET_CHANGES_PER_DAY`].
const TARGET_RECORDS: f64 = 17_000.0;

/// Number of zones of the target fleet.
pub const TARGET_ZONES: usize = 17;

pub(crate) fn config(number: usize, seed: u64) -> AgentConfig {
    AgentConfig {
        local: record(number, TARGET_ZONES),
        seeds: Vec::new(),
        called_services: Vec::new(),
        seed: seed.wrapping_mul(1_000_003).wrapping_add(number as u64),
    }
}

/// Creates a fleet in its steady state: every node holds all records. Members beyond `nodes` are
/// stubs.
pub fn steady_fleet(records: usize, nodes: usize, seed: u64) -> Network {
    let mut network = Network::new(Links::default(), seed);
    let all: Vec<Record> = (0..records).map(|number| record(number, TARGET_ZONES)).collect();
    for stub in &all[nodes..] {
        network.stubs.insert(stub.addresses.gossip, stub.node.clone());
    }
    for number in 0..nodes {
        network.add(config(number, seed));
        let push = MembersPush { records: all.clone(), more: false };
        network.with(number, |agent, now| {
            agent.membership_mut().merge_page(push, now);
            start_steady(agent, now);
            Vec::new()
        });
    }
    network
}

/// Brings a node that holds all records into the steady state, with the intent confirmed.
pub(crate) fn start_steady(agent: &mut Agent, now: Instant) {
    agent.membership_mut().drop_rumours();
    agent.watcher_event(WatcherEvent::Confirmed { revision: Revision(0), requested_at: now }, now);
    agent.take_outputs(now);
}

/// Measures the steady state at one fleet size, with the churn of the target fleet scaled to it.
pub fn steady_state(records: usize, seconds: u32, seed: u64) -> SteadyState {
    let nodes = if records <= MAX_FULL_FLEET_NODES { records } else { SAMPLE_NODES };
    let before = resident_bytes();
    let mut network = steady_fleet(records, nodes, seed);
    let state_bytes = resident_bytes().saturating_sub(before) / nodes;
    network.run(Duration::from_secs(5));
    for node in &mut network.nodes {
        node.traffic = Traffic::default();
    }
    churn(&mut network, records, seconds, seed);
    let total =
        network.nodes.iter().map(|node| node.traffic).fold(Traffic::default(), Traffic::sum);
    let node_seconds = f64::from(seconds) * nodes as f64;
    let sent_bytes = (total.sent_bytes + total.sent * IP_UDP_HEADER_BYTES) as f64;
    let busy = total.tick_time + total.receive_time;
    SteadyState {
        records,
        nodes,
        messages_per_second: total.sent as f64 / node_seconds,
        bytes_per_second: sent_bytes / node_seconds,
        state_bytes,
        tick: total.tick_time / total.ticks.max(1) as u32,
        datagram: total.receive_time / total.received.max(1) as u32,
        core_share: busy.as_secs_f64() / node_seconds,
        snapshot_bytes: (0..records).map(|n| codec::encode(&record(n, TARGET_ZONES)).len()).sum(),
    }
}

/// Runs for some seconds and changes records at the rate of the target fleet. With stubs, every
/// node receives the changes and pings that the stubs would send.
fn churn(network: &mut Network, records: usize, seconds: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let per_second =
        f64::from(TARGET_CHANGES_PER_DAY) / SECONDS_PER_DAY * records as f64 / TARGET_RECORDS;
    let nodes = network.nodes.len();
    let mut versions = vec![0; records];
    for second in 0..seconds {
        if rng.random_bool(per_second.min(1.0)) {
            let subject = rng.random_range(0..records);
            versions[subject] += 1;
            change_record(network, subject, versions[subject]);
        }
        if nodes < records {
            ping_from_stubs(network, records, u64::from(second), &mut rng);
        }
        network.run(Duration::from_secs(1));
    }
}

fn change_record(network: &mut Network, subject: usize, version: u32) {
    if subject < network.nodes.len() {
        return network.with(subject, |agent, now| {
            agent.membership_mut().update_local(|own| own.slots += 1, now);
            agent.take_outputs(now)
        });
    }
    let changed = Record { refutation: version, ..record(subject, TARGET_ZONES) };
    for number in 0..network.nodes.len() {
        let rumour = Rumour::Record(Box::new(changed.clone()));
        network.with(number, |agent, now| {
            agent.membership_mut().merge_rumours(vec![rumour], now);
            agent.take_outputs(now)
        });
    }
}

/// Pings each node once in the name of a stub; called every second, as each node of a full fleet is
/// pinged once a second on average.
fn ping_from_stubs(network: &mut Network, records: usize, sequence: u64, rng: &mut StdRng) {
    for number in 0..network.nodes.len() {
        let stub = record(rng.random_range(network.nodes.len()..records), TARGET_ZONES);
        let ping = stub_datagram(&stub.node, Body::Ping { sequence });
        let bytes = codec::encode(&ping);
        network.with(number, |agent, now| agent.receive(stub.addresses.gossip, &bytes, now));
        network.nodes[number].traffic.received += 1;
    }
}

/// Time in which a change of the intent and a change of a record reach all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Number of nodes, all with a real agent.
    pub nodes: usize,
    /// Time until half of the nodes have the change of the intent in force.
    pub intent_half: Duration,
    /// Time until all have it.
    pub intent_all: Duration,
    /// Time until all nodes have a change of one record.
    pub record_all: Duration,
}

/// Measures how changes spread in a network without stubs that loses one datagram in 100.
pub fn spread(nodes: usize, seed: u64) -> Spread {
    let mut network = steady_fleet(nodes, nodes, seed);
    network.links.loss = 0.01;
    network.run(Duration::from_secs(5));
    let mut learned = Replica::new();
    learned.apply_change(&sample_change());
    network.with(0, |agent, now| agent.adopt_replica(&learned, now));
    let has_intent = |agent: &Agent| agent.replica().revision() == Revision(1);
    let intent_half = run_until(&mut network, nodes / 2, has_intent);
    let intent_all = intent_half + run_until(&mut network, nodes, has_intent);
    network.with(0, |agent, now| {
        agent.membership_mut().update_local(|own| own.lifecycle = Lifecycle::Cold, now);
        agent.take_outputs(now)
    });
    let name = record(0, TARGET_ZONES).node;
    let is_cold = |agent: &Agent| {
        let entry = agent.membership().table().get(&name);
        entry.is_some_and(|entry| entry.record.lifecycle == Lifecycle::Cold)
    };
    let record_all = run_until(&mut network, nodes, is_cold);
    Spread { nodes, intent_half, intent_all, record_all }
}

fn sample_change() -> Change {
    Change {
        revision: Revision(1),
        operation: uuid::Uuid::from_u128(1),
        author: "operator".into(),
        at: SystemTime::UNIX_EPOCH,
        action: Action::SetMeasuring(1),
    }
}

/// Runs until `is_done` holds for `count` running nodes, but at most two minutes, and returns the
/// elapsed time.
pub fn run_until(
    network: &mut Network,
    count: usize,
    is_done: impl Fn(&Agent) -> bool,
) -> Duration {
    let start = network.now;
    let count_done = |network: &Network| {
        network.nodes.iter().filter(|node| node.up && is_done(&node.agent)).count()
    };
    while count_done(network) < count && network.now - start < Duration::from_secs(120) {
        network.run(Duration::from_millis(10));
    }
    network.now - start
}

/// Returns the resident memory of this process in bytes, or 0 where it cannot be read.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}
