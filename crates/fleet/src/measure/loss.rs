//! Measurement of the loss of many nodes at once, and of their return.

use std::time::Duration;

use crate::{
    agent::{Agent, AgentConfig},
    datagram::MembersPush,
    measure::{
        IP_UDP_HEADER_BYTES, TARGET_ZONES, config,
        network::{Links, Network, Node, Traffic, record},
        start_steady,
    },
    record::Record,
};

/// How nodes are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// A network partition separates the lost nodes from the others until the outage ends.
    Partition,
    /// The processes crash, and restart after the outage with the gossip addresses of some other
    /// members as seeds.
    Crash,
}

/// Parameters of a simulated loss of many nodes at once.
#[derive(Clone, Copy, Debug)]
pub struct LossCase {
    /// Number of nodes, all with a real agent.
    pub nodes: usize,
    /// Number of nodes that are lost.
    pub lost: usize,
    /// Number of zones that are lost as a whole; with 0, the lost nodes are spread over all zones.
    pub lost_zones: usize,
    /// Number of zones of the other nodes.
    pub zones: usize,
    /// How the nodes are lost.
    pub kind: LossKind,
    /// Seconds until the lost nodes return.
    pub outage_s: u32,
    /// Maximum time for which the recovery after the return is observed, in seconds.
    pub heal_limit_s: u32,
}

impl LossCase {
    /// Creates the case of one zone that is cut off for 30 s.
    pub fn zone(nodes: usize, lost: usize) -> Self {
        Self {
            nodes,
            lost,
            lost_zones: 1,
            zones: TARGET_ZONES - 1,
            kind: LossKind::Partition,
            outage_s: 30,
            heal_limit_s: 60,
        }
    }
}

/// What was measured while nodes were lost and returned.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossOutcome {
    /// Time until no other node selects a lost member, if that was reached.
    pub unselected: Option<Duration>,
    /// Time until all other nodes count all lost zones as unreachable, if they did.
    pub detected: Option<Duration>,
    /// Most datagrams that one of the other nodes sent in one second, until all nodes are healed.
    pub peak_messages: u64,
    /// Most bytes that one of the other nodes sent in one second, headers included.
    pub peak_bytes: u64,
    /// Most bytes that one lost node sent in one second after the return, headers included.
    pub peak_bytes_returning: u64,
    /// Number of members that the other nodes considered failed, summed over these nodes.
    pub failures_outside: u64,
    /// Number of members that the lost nodes considered failed, summed over the lost nodes.
    pub failures_lost: u64,
    /// Time from the return until all nodes select all members again, if they did.
    pub healed: Option<Duration>,
}

/// Simulates the loss and the return of nodes and measures the consequences.
pub fn run_loss_case(case: &LossCase, seed: u64) -> LossOutcome {
    let mut network = fleet(case, seed);
    network.run(Duration::from_secs(5));
    let mut result = LossOutcome::default();
    set_lost(&mut network, case, true);
    let start = network.now;
    for _ in 0..case.outage_s {
        run_second(&mut network, case, &mut result, false);
        let elapsed = network.now - start;
        let outside = &network.nodes[case.lost..];
        if result.detected.is_none() && outside.iter().all(|node| has_detected_loss(node, case)) {
            result.detected = Some(elapsed);
        }
        if result.unselected.is_none()
            && outside.iter().all(|node| selects_no_lost_member(node, case))
        {
            result.unselected = Some(elapsed);
        }
    }
    let failures = |nodes: &[Node]| nodes.iter().map(|node| node.traffic.failures).sum();
    result.failures_lost = failures(&network.nodes[..case.lost]);
    set_lost(&mut network, case, false);
    let start = network.now;
    let mut first_unhealed = 0;
    while network.now - start < Duration::from_secs(case.heal_limit_s.into()) {
        run_second(&mut network, case, &mut result, true);
        // A healed node seldom stops being healed, so the search continues where it ended.
        first_unhealed = next_unhealed(&network, first_unhealed);
        if first_unhealed == network.nodes.len()
            && next_unhealed(&network, 0) == network.nodes.len()
        {
            result.healed = Some(network.now - start);
            break;
        }
        first_unhealed %= network.nodes.len();
    }
    result.failures_outside = failures(&network.nodes[case.lost..]);
    result
}

fn case_record(case: &LossCase, number: usize) -> Record {
    let mut own = record(number, case.zones);
    if number < case.lost && case.lost_zones > 0 {
        own.zone = format!("lost-{}", number % case.lost_zones).as_str().into();
    }
    own
}

fn fleet(case: &LossCase, seed: u64) -> Network {
    let mut network = Network::new(Links::default(), seed);
    let all: Vec<Record> = (0..case.nodes).map(|number| case_record(case, number)).collect();
    let seeds: Vec<_> = all[case.lost..].iter().take(3).map(|r| r.addresses.gossip).collect();
    for (number, local) in all.iter().enumerate() {
        let own = config(number, seed);
        let seeds = if number < case.lost { seeds.clone() } else { Vec::new() };
        network.add(AgentConfig { local: local.clone(), seeds, ..own });
        let push = MembersPush { records: all.clone(), more: false };
        network.with(number, |agent, now| {
            agent.membership_mut().merge_page(push, now);
            start_steady(agent, now);
            Vec::new()
        });
    }
    network
}

fn set_lost(network: &mut Network, case: &LossCase, lost: bool) {
    for number in 0..case.lost {
        match case.kind {
            LossKind::Partition => network.nodes[number].group = u32::from(lost),
            LossKind::Crash if lost => network.kill(number),
            LossKind::Crash => network.restart(number),
        }
    }
}

fn run_second(network: &mut Network, case: &LossCase, result: &mut LossOutcome, returned: bool) {
    let before: Vec<Traffic> = network.nodes.iter().map(|node| node.traffic).collect();
    network.run(Duration::from_secs(1));
    for (number, (node, before)) in network.nodes.iter().zip(&before).enumerate() {
        let messages = node.traffic.sent.saturating_sub(before.sent);
        let bytes = node.traffic.sent_bytes.saturating_sub(before.sent_bytes);
        let bytes = bytes + messages * IP_UDP_HEADER_BYTES;
        if number >= case.lost {
            result.peak_messages = result.peak_messages.max(messages);
            result.peak_bytes = result.peak_bytes.max(bytes);
        } else if returned {
            result.peak_bytes_returning = result.peak_bytes_returning.max(bytes);
        }
    }
}

fn has_detected_loss(node: &Node, case: &LossCase) -> bool {
    let membership = node.agent.membership();
    case.lost_zones > 0 && membership.unreachable_zones().count() >= case.lost_zones
}

fn selects_no_lost_member(node: &Node, case: &LossCase) -> bool {
    let membership = node.agent.membership();
    (0..case.lost).all(|number| !membership.is_selectable(&record(number, case.zones).node))
}

/// Returns the first node from `from` on that does not select all members, or else the node count.
fn next_unhealed(network: &Network, from: usize) -> usize {
    let unhealed = |agent: &Agent| {
        let membership = agent.membership();
        let mut members = membership.table().after(None);
        let known = membership.table().len();
        known < network.nodes.len()
            || members.any(|entry| !membership.is_selectable(&entry.record.node))
    };
    let found = network.nodes[from..].iter().position(|node| unhealed(&node.agent));
    found.map_or(network.nodes.len(), |position| from + position)
}
