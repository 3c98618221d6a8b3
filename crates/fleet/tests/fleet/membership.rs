//! Membership over a small simulated network of agents.

use std::time::Duration;

use oleandertiller_fleet::{
    AgentConfig, MemberState, Record,
    measure::network::{Links, Network, addresses, record},
    membership::{PRUNE_AFTER, table::Table},
};
use oleandertiller_model::{Lifecycle, NodeName, ZoneName};

pub const ZONES: usize = 3;

/// Returns a network of `count` new nodes that join through the first two.
pub fn fleet(count: usize, zones: usize, links: Links, seed: u64) -> Network {
    let mut network = Network::new(links, seed);
    for number in 0..count {
        network.add(config(number, zones, seed));
    }
    network
}

/// Returns the configuration of a node that joins through the first two nodes.
pub fn config(number: usize, zones: usize, seed: u64) -> AgentConfig {
    AgentConfig {
        local: record(number, zones),
        seeds: vec![addresses(0).gossip, addresses(1).gossip],
        called_services: vec![record(0, zones).service],
        seed: seed.wrapping_mul(1_000).wrapping_add(number as u64),
    }
}

/// Returns the member table of a node.
pub fn table(network: &Network, number: usize) -> &Table {
    network.nodes[number].agent.membership().table()
}

/// Returns the record of `member` that `observer` holds.
pub fn seen(network: &Network, observer: usize, member: usize) -> Option<&Record> {
    let node = &network.nodes[member].agent.membership().local().node;
    table(network, observer).get(node).map(|entry| &entry.record)
}

/// Returns what `observer` knows about all present members, without suspicions, sorted by name.
pub fn view(network: &Network, observer: usize) -> Vec<(NodeName, u64, u32, Lifecycle)> {
    table(network, observer)
        .after(None)
        .map(|entry| &entry.record)
        .filter(|record| record.is_present())
        .map(|r| (r.node.clone(), r.incarnation, r.refutation, r.lifecycle))
        .collect()
}

/// Asserts that every running node sees exactly the running nodes, all alive.
pub fn assert_converged(network: &Network) {
    let running: Vec<_> = (0..network.nodes.len()).filter(|n| network.nodes[*n].up).collect();
    for observer in &running {
        for member in &running {
            let own = network.nodes[*member].agent.membership().local();
            let seen = seen(network, *observer, *member);
            assert_eq!(seen, Some(own), "node {observer} on node {member}");
        }
        assert_eq!(
            view(network, *observer).len(),
            running.len(),
            "node {observer}: {:?}",
            view(network, *observer)
        );
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn zone_of(network: &Network, number: usize) -> ZoneName {
    network.nodes[number].agent.membership().local().zone.clone()
}

/// Guards against nodes that stay unknown after all nodes start at once through two seeds.
#[test]
fn nodes_that_start_together_find_each_other() {
    let mut network = fleet(30, ZONES, Links::default(), 1);
    network.run(secs(30));
    assert_converged(&network);
}

/// Guards against running members that others declare failed.
#[test]
fn a_quiet_fleet_reports_no_failure() {
    let mut network = fleet(20, ZONES, Links::default(), 2);
    network.run(secs(120));
    assert!(network.nodes.iter().all(|node| node.traffic.failures == 0));
    assert_converged(&network);
}

/// Guards against a dead member that remains selectable, and against a record that is never
/// pruned.
#[test]
fn a_dead_member_is_suspected_failed_and_pruned() {
    let mut network = fleet(20, ZONES, Links::default(), 3);
    network.run(secs(30));
    network.kill(7);
    network.run(secs(20));
    let dead = record(7, ZONES).node;
    for observer in (0..20).filter(|observer| *observer != 7) {
        assert_eq!(seen(&network, observer, 7).map(|r| r.state), Some(MemberState::Failed));
        assert!(!network.nodes[observer].agent.membership().is_selectable(&dead));
    }
    network.run(PRUNE_AFTER + secs(30));
    assert!(
        (0..20)
            .filter(|observer| *observer != 7)
            .all(|observer| seen(&network, observer, 7).is_none())
    );
}

/// Guards against a failed incarnation that hides the restarted member.
#[test]
fn a_newer_incarnation_wins_over_a_failed_one() {
    let mut network = fleet(20, ZONES, Links::default(), 4);
    network.run(secs(30));
    network.kill(7);
    network.run(secs(20));
    network.restart(7);
    network.run(secs(30));
    assert_converged(&network);
}

/// Guards against a node whose clock went back, so that its incarnation is lower than that of its
/// failed predecessor and it counts as failed.
#[test]
fn a_lower_incarnation_is_raised_by_its_own_node() {
    let mut network = fleet(10, ZONES, Links::default(), 5);
    network.run(secs(30));
    network.kill(4);
    network.run(secs(20));
    let mut outdated = config(4, ZONES, 99);
    outdated.local.incarnation -= 1_000_000;
    network.nodes[4].agent = oleandertiller_fleet::Agent::new(outdated, network.now);
    let agent = network.nodes[4].agent.clone();
    network.restart(4);
    network.nodes[4].agent = agent;
    network.run(secs(40));
    assert_converged(&network);
    let own = network.nodes[4].agent.membership().local();
    assert!(own.incarnation > record(4, ZONES).incarnation);
}

/// Guards against a failure that a paused member does not refute after it resumes.
#[test]
fn a_paused_member_refutes_its_failure() {
    let mut network = fleet(20, ZONES, Links::default(), 6);
    network.run(secs(30));
    network.pause(7, secs(15));
    network.run(secs(12));
    assert_eq!(seen(&network, 3, 7).map(|r| r.state), Some(MemberState::Failed));
    network.run(secs(30));
    assert_converged(&network);
    assert!(network.nodes[7].agent.membership().local().refutation > 0);
}

/// Guards against a planned leave that is only noticed through failure detection: the leaving
/// upstream must get no new work after 3 s.
#[test]
fn a_planned_leave_is_known_everywhere_within_three_seconds() {
    let mut network = fleet(100, ZONES, Links::default(), 7);
    network.run(secs(60));
    network.with(42, |agent, now| {
        agent.membership_mut().update_local(|own| own.lifecycle = Lifecycle::Draining, now);
        agent.take_outputs(now)
    });
    network.run(secs(3));
    for observer in 0..100 {
        let seen = seen(&network, observer, 42).expect("a record");
        assert_eq!(seen.lifecycle, Lifecycle::Draining, "node {observer}");
    }
    network.with(42, |agent, now| {
        agent.membership_mut().leave(now);
        agent.take_outputs(now)
    });
    network.run(secs(3));
    network.kill(42);
    let left = |observer| seen(&network, observer, 42).is_none_or(|r| r.state == MemberState::Left);
    assert!((0..100).all(left));
    network.run(secs(20));
    assert!(network.nodes.iter().all(|node| node.traffic.failures == 0));
}

/// Guards against an unreachable zone whose members are declared failed one by one, and against a
/// slow recovery.
#[test]
fn an_unreachable_zone_is_kept_and_heals_at_once() {
    let mut network = fleet(60, ZONES, Links::default(), 8);
    network.run(secs(60));
    let zone = zone_of(&network, 0);
    let inside: Vec<_> = (0..60).filter(|n| n % ZONES == 0).collect();
    let outside: Vec<_> = (0..60).filter(|n| n % ZONES != 0).collect();
    for n in &inside {
        network.nodes[*n].group = 1;
    }
    network.run(secs(180));
    for observer in &outside {
        let membership = network.nodes[*observer].agent.membership();
        assert!(membership.unreachable_zones().any(|z| *z == zone), "node {observer}");
        for member in &inside {
            assert!(!membership.is_selectable(&record(*member, ZONES).node));
            let seen = seen(&network, *observer, *member).expect("the record is kept");
            assert!(seen.is_present(), "node {observer} on node {member}");
        }
    }
    for n in &inside {
        network.nodes[*n].group = 0;
    }
    network.run(secs(15));
    for observer in 0..60 {
        for member in 0..60 {
            let member = record(member, ZONES).node;
            assert!(
                network.nodes[observer].agent.membership().is_selectable(&member),
                "node {observer} on {member}"
            );
        }
    }
    assert!(network.nodes.iter().all(|node| node.traffic.failures == 0));
}

/// Guards against a zone that stays unreachable for ever after most of its members really failed,
/// with its remaining members flapping.
#[test]
fn most_of_a_zone_may_fail_for_good() {
    let mut network = fleet(60, ZONES, Links::default(), 11);
    network.run(secs(60));
    let dead: Vec<_> = (0..60).filter(|n| n % ZONES == 0 && *n >= 20).collect();
    for n in &dead {
        network.kill(*n);
    }
    network.run(secs(60));
    for observer in (0..60).filter(|n| !dead.contains(n)) {
        let membership = network.nodes[observer].agent.membership();
        assert_eq!(membership.unreachable_zones().count(), 0);
        for member in 0..60 {
            let selectable = membership.is_selectable(&record(member, ZONES).node);
            assert_eq!(selectable, !dead.contains(&member), "node {observer} on node {member}");
        }
    }
}

/// Guards against halves of a fleet that stay separate after a long partition, because each
/// pruned the other's records.
#[test]
fn halves_meet_again_through_seeds_after_pruning() {
    let mut network = fleet(12, 1, Links::default(), 9);
    network.run(secs(30));
    for n in [1, 3, 5, 7] {
        network.nodes[n].group = 1;
    }
    network.run(PRUNE_AFTER + secs(120));
    assert!(seen(&network, 0, 1).is_none(), "the record was pruned");
    for n in 0..12 {
        network.nodes[n].group = 0;
    }
    network.run(secs(150));
    assert_converged(&network);
}

/// Guards against a joining node that needs the whole table before it can call other services.
#[test]
fn called_services_are_pulled_first_and_the_rest_at_a_bounded_rate() {
    let mut network = fleet(2, ZONES, Links::default(), 10);
    for agent in 0..2 {
        network.with(agent, |agent, now| {
            let records = (2..1_500).map(|n| record(n, ZONES)).collect();
            let push = oleandertiller_fleet::MembersPush { records, more: false };
            agent.membership_mut().merge_page(push, now);
            Vec::new()
        });
    }
    let mut joining = config(1_500, ZONES, 10);
    joining.called_services = vec![record(900, ZONES).service];
    let number = network.add(joining.clone());
    network.run(secs(2));
    let membership = network.nodes[number].agent.membership();
    assert_eq!(membership.of_service(&joining.called_services[0]).count(), 9);
    assert!(membership.table().len() < 900, "{} records after 2 s", membership.table().len());
    network.run(secs(10));
    assert!(table(&network, number).len() > 1_400);
}
