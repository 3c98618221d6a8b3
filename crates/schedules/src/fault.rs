//! Faults that a schedule injects, and commands of operators.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{Action, Lifecycle, intent::ZoneIntent};

use crate::{
    driver::Node,
    executor::SIMULATION_PROCESS,
    simulation::{Partition, Simulation},
    upstream::announce,
};

/// Timeout of an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);

/// A fault or an operator's action.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Crash,
    Pause,
    PartitionNode,
    /// A random group of nodes is cut off.
    PartitionGroup,
    PartitionZone,
    /// Messages from one node to another are lost.
    OneWayLoss,
    UnreliableNetwork,
    StoreDown,
    StoreSlow,
    /// Answers of the store are lost.
    StoreLossy,
    UpstreamSlow,
    UpstreamFails,
    /// Answers of an upstream have a wrong id, are truncated or are lost.
    UpstreamInvalidAnswers,
    ColdAnnounced,
    ColdUnannounced,
    UpstreamDrains,
    UpstreamCrash,
    PlannedStop,
    ZoneOut,
    ConcurrentCommands,
}

/// Faults from which a schedule draws; one that is listed twice is twice as likely.
pub(crate) const FAULTS: &[Fault] = &[
    Fault::Crash,
    Fault::Pause,
    Fault::Pause,
    Fault::PartitionNode,
    Fault::PartitionGroup,
    Fault::PartitionZone,
    Fault::OneWayLoss,
    Fault::UnreliableNetwork,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLossy,
    Fault::UpstreamSlow,
    Fault::UpstreamFails,
    Fault::UpstreamInvalidAnswers,
    Fault::ColdAnnounced,
    Fault::ColdUnannounced,
    Fault::UpstreamDrains,
    Fault::UpstreamCrash,
    Fault::PlannedStop,
    Fault::ZoneOut,
    Fault::ZoneOut,
    Fault::ConcurrentCommands,
];

/// Faults that are injected shortly before or after a zone is taken out.
pub(crate) const FAULTS_NEAR_COMMAND: &[Fault] = &[
    Fault::Pause,
    Fault::PartitionNode,
    Fault::PartitionGroup,
    Fault::PartitionZone,
    Fault::StoreDown,
    Fault::StoreLossy,
    Fault::Crash,
    Fault::UnreliableNetwork,
    Fault::OneWayLoss,
];

pub(crate) fn schedule_fault(sim: &Rc<Simulation>, at: Duration, fault: Fault) {
    let task_sim = sim.clone();
    sim.executor.spawn_in(at, SIMULATION_PROCESS, async move {
        task_sim.trace(|| format!("{fault:?}"));
        inject(task_sim, fault).await;
    });
}

fn draw_node(sim: &Simulation) -> usize {
    sim.draw(0..sim.node_count() as u64) as usize
}

async fn inject(sim: Rc<Simulation>, fault: Fault) {
    let index = draw_node(&sim);
    match fault {
        Fault::Crash => crash(sim, index).await,
        Fault::Pause => pause(sim, index).await,
        Fault::PartitionNode => partition(sim, 1 << index).await,
        Fault::PartitionGroup => {
            let group = sim.draw(1..1 << sim.node_count()) as u32;
            partition(sim, group).await;
        }
        Fault::PartitionZone => {
            let zone = sim.node_specs[index].zone.clone();
            let of_zone = (0..sim.node_count()).filter(|n| sim.node_specs[*n].zone == zone);
            let group = of_zone.fold(0, |mask, n| mask | 1 << n);
            partition(sim, group).await;
        }
        Fault::OneWayLoss => one_way_loss(sim, index).await,
        Fault::UnreliableNetwork => impair_network(sim).await,
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLossy => impair_store(sim, fault).await,
        Fault::UpstreamSlow | Fault::UpstreamFails | Fault::UpstreamInvalidAnswers => {
            impair_upstream(sim, index, fault).await;
        }
        Fault::ColdAnnounced | Fault::ColdUnannounced => turn_cold(sim, index, fault).await,
        Fault::UpstreamDrains => drain_upstream(sim, index).await,
        Fault::UpstreamCrash => {
            sim.upstreams[index].stop();
            sim.executor.sleep(sim.draw_millis(100..5_000)).await;
            restart_upstream(sim, index).await;
        }
        Fault::PlannedStop => planned_stop(sim, index).await,
        Fault::ZoneOut => zone_out(sim, index).await,
        Fault::ConcurrentCommands => submit_concurrent_commands(sim).await,
    }
}

async fn crash(sim: Rc<Simulation>, index: usize) {
    let Some(node) = sim.node(index) else { return };
    sim.trace(|| format!("node {index} crashes"));
    node.kill();
    drop(node);
    sim.executor.sleep(sim.draw_millis(50..4_000)).await;
    if !sim.is_up(index) {
        Node::start(&sim, index);
    }
}

async fn pause(sim: Rc<Simulation>, index: usize) {
    let Some(node) = sim.node(index) else { return };
    if sim.is_paused(index) {
        return;
    }
    sim.trace(|| format!("node {index} is paused"));
    let process = node.process;
    drop(node);
    sim.executor.pause(process);
    sim.checks.borrow_mut().update_reachability(&sim);
    sim.executor.sleep(sim.draw_millis(100..7_000)).await;
    sim.trace(|| format!("node {index} is resumed"));
    sim.checks.borrow_mut().on_disruption_end(&sim, index);
    sim.executor.resume(process, &mut *sim.rng.borrow_mut());
    sim.checks.borrow_mut().update_reachability(&sim);
}

async fn partition(sim: Rc<Simulation>, group: u32) {
    let partition = Partition { group, store: sim.chance(0.7) };
    sim.trace(|| format!("{partition:?}"));
    sim.net.borrow_mut().partitions.push(partition);
    sim.checks.borrow_mut().update_reachability(&sim);
    sim.executor.sleep(sim.draw_millis(500..9_000)).await;
    sim.trace(|| format!("end of {partition:?}"));
    let mut net = sim.net.borrow_mut();
    if let Some(at) = net.partitions.iter().position(|known| *known == partition) {
        net.partitions.remove(at);
    }
    drop(net);
    let mut checks = sim.checks.borrow_mut();
    for index in 0..sim.node_count() {
        checks.on_disruption_end(&sim, index);
    }
    checks.update_reachability(&sim);
}

async fn one_way_loss(sim: Rc<Simulation>, from: usize) {
    let to = draw_node(&sim);
    sim.trace(|| format!("messages from {from} to {to} are lost"));
    sim.net.borrow_mut().one_way_loss.push((from, to));
    sim.checks.borrow_mut().update_reachability(&sim);
    sim.executor.sleep(sim.draw_millis(500..8_000)).await;
    sim.trace(|| format!("messages from {from} to {to} are delivered again"));
    let mut net = sim.net.borrow_mut();
    if let Some(at) = net.one_way_loss.iter().position(|pair| *pair == (from, to)) {
        net.one_way_loss.remove(at);
    }
    drop(net);
    let mut checks = sim.checks.borrow_mut();
    checks.on_disruption_end(&sim, from);
    checks.on_disruption_end(&sim, to);
    checks.update_reachability(&sim);
}

async fn impair_network(sim: Rc<Simulation>) {
    {
        let mut net = sim.net.borrow_mut();
        net.lost_share = sim.draw(0..10) as f64 / 100.0;
        net.duplicated_share = sim.draw(0..20) as f64 / 100.0;
        net.delayed_share = sim.draw(0..20) as f64 / 100.0;
        net.wrong_id_share = sim.draw(0..10) as f64 / 100.0;
    }
    sim.executor.sleep(sim.draw_millis(1_000..8_000)).await;
    let mut net = sim.net.borrow_mut();
    (net.lost_share, net.duplicated_share, net.delayed_share, net.wrong_id_share) =
        (0.0, 0.0, 0.0, 0.0);
}

async fn impair_store(sim: Rc<Simulation>, fault: Fault) {
    {
        let mut store = sim.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = true,
            Fault::StoreSlow => store.delay = sim.draw_millis(50..3_000),
            _ => store.lost_answer_share = sim.draw(10..90) as f64 / 100.0,
        }
    }
    sim.checks.borrow_mut().update_reachability(&sim);
    sim.executor.sleep(sim.draw_millis(1_000..10_000)).await;
    {
        let mut store = sim.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = false,
            Fault::StoreSlow => store.delay = Duration::ZERO,
            _ => store.lost_answer_share = 0.0,
        }
    }
    sim.trace(|| format!("end of {fault:?}"));
    sim.checks.borrow_mut().update_reachability(&sim);
}

async fn impair_upstream(sim: Rc<Simulation>, index: usize, fault: Fault) {
    let upstream = &sim.upstreams[index];
    let share = || sim.draw(5..100) as f64 / 100.0;
    match fault {
        Fault::UpstreamSlow => upstream.slowdown.set(sim.draw(2..60) as u32),
        Fault::UpstreamFails => upstream.fail_share.set(share()),
        _ => {
            upstream.wrong_id_share.set(share() / 2.0);
            upstream.truncated_share.set(share() / 2.0);
            upstream.lost_share.set(share() / 2.0);
        }
    }
    sim.executor.sleep(sim.draw_millis(500..6_000)).await;
    upstream.slowdown.set(1);
    for share in [
        &upstream.fail_share,
        &upstream.wrong_id_share,
        &upstream.truncated_share,
        &upstream.lost_share,
    ] {
        share.set(0.0);
    }
}

async fn turn_cold(sim: Rc<Simulation>, index: usize, fault: Fault) {
    let upstream = &sim.upstreams[index];
    if upstream.lifecycle.get() != Lifecycle::Serving {
        return;
    }
    match fault {
        Fault::ColdUnannounced => upstream.unannounced_cold.set(true),
        _ if sim.chance(0.5) => upstream.restart(Lifecycle::Cold),
        _ => upstream.lifecycle.set(Lifecycle::Cold),
    }
    announce(&sim, index);
    warm_up(sim, index).await;
}

async fn warm_up(sim: Rc<Simulation>, index: usize) {
    sim.executor.sleep(sim.draw_millis(500..4_000)).await;
    let upstream = &sim.upstreams[index];
    upstream.unannounced_cold.set(false);
    if upstream.lifecycle.get() == Lifecycle::Cold {
        upstream.lifecycle.set(Lifecycle::Serving);
        announce(&sim, index);
    }
}

async fn restart_upstream(sim: Rc<Simulation>, index: usize) {
    sim.trace(|| format!("upstream {index} starts"));
    sim.upstreams[index].restart(Lifecycle::Cold);
    sim.checks.borrow_mut().on_returned(index);
    announce(&sim, index);
    warm_up(sim, index).await;
}

async fn drain_upstream(sim: Rc<Simulation>, index: usize) {
    let upstream = &sim.upstreams[index];
    if !upstream.lifecycle.get().accepts_work() {
        return;
    }
    upstream.lifecycle.set(Lifecycle::Draining);
    sim.checks.borrow_mut().on_leaving(&sim, index);
    announce(&sim, index);
    sim.executor.sleep(sim.draw_millis(1_000..7_000)).await;
    while upstream.in_flight.get() > 0 {
        sim.executor.sleep(Duration::from_millis(5)).await;
    }
    upstream.stop();
    sim.executor.sleep(sim.draw_millis(50..2_000)).await;
    restart_upstream(sim, index).await;
}

async fn planned_stop(sim: Rc<Simulation>, index: usize) {
    let Some(node) = sim.node(index).filter(|node| !node.stopping.get()) else { return };
    let process = node.process;
    sim.executor.spawn(process, node.stop());
    while !sim.executor.is_dead(process) {
        sim.executor.sleep(Duration::from_millis(50)).await;
    }
    sim.executor.sleep(sim.draw_millis(50..2_000)).await;
    if !sim.is_up(index) {
        Node::start(&sim, index);
    }
}

/// Submits a command at node `at`; does nothing if no process runs there.
async fn submit(sim: &Rc<Simulation>, at: usize, action: Action) {
    let Some(node) = sim.node(at) else { return };
    let end = sim.now() + COMMAND_TIMEOUT;
    let process = node.process;
    sim.executor.spawn(process, async move {
        node.command(action, end).await;
    });
}

/// Has operators take the zone of a node out of service and put it back.
async fn zone_out(sim: Rc<Simulation>, index: usize) {
    let zone = sim.node_specs[index].zone.clone();
    let at = draw_node(&sim);
    submit(&sim, at, Action::SetZone(zone.clone(), ZoneIntent::Out)).await;
    sim.executor.sleep(sim.draw_millis(4_000..10_000)).await;
    let at = draw_node(&sim);
    submit(&sim, at, Action::SetZone(zone, ZoneIntent::In)).await;
}

/// Has operators submit commands almost at the same time at different nodes.
async fn submit_concurrent_commands(sim: Rc<Simulation>) {
    for _ in 0..sim.draw(2..6) {
        let zone = sim.node_specs[draw_node(&sim)].zone.clone();
        let action = match sim.draw(0..3) {
            0 => Action::SetMeasuring(sim.draw(0..50_000) as u32),
            1 => Action::SetZone(zone, ZoneIntent::Out),
            _ => Action::SetZone(zone, ZoneIntent::In),
        };
        let at = draw_node(&sim);
        submit(&sim, at, action).await;
        sim.executor.sleep(sim.draw_millis(0..30)).await;
    }
}
