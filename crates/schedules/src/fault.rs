//! Faults that a schedule injects, and commands of operators.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{Action, Lifecycle, intent::ZoneIntent};

use crate::{
    driver::Node,
    executor::WORLD_PROCESS,
    upstream::announce,
    world::{Partition, World},
};

/// Timeout of an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);

/// A fault or an operator's action.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Crash,
    Pause,
    PartitionNode,
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

pub(crate) fn schedule_fault(world: &Rc<World>, at: Duration, fault: Fault) {
    let task_world = world.clone();
    world.executor.spawn_in(at, WORLD_PROCESS, async move {
        task_world.trace(|| format!("{fault:?}"));
        inject(task_world, fault).await;
    });
}

fn draw_node(world: &World) -> usize {
    world.draw(0..world.node_count() as u64) as usize
}

async fn inject(world: Rc<World>, fault: Fault) {
    let index = draw_node(&world);
    match fault {
        Fault::Crash => crash(world, index).await,
        Fault::Pause => pause(world, index).await,
        Fault::PartitionNode => partition(world, 1 << index).await,
        Fault::PartitionGroup => {
            let group = world.draw(1..1 << world.node_count()) as u32;
            partition(world, group).await;
        }
        Fault::PartitionZone => {
            let zone = world.node_specs[index].zone.clone();
            let of_zone = (0..world.node_count()).filter(|n| world.node_specs[*n].zone == zone);
            let group = of_zone.fold(0, |mask, n| mask | 1 << n);
            partition(world, group).await;
        }
        Fault::OneWayLoss => one_way_loss(world, index).await,
        Fault::UnreliableNetwork => impair_network(world).await,
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLossy => impair_store(world, fault).await,
        Fault::UpstreamSlow | Fault::UpstreamFails | Fault::UpstreamInvalidAnswers => {
            impair_upstream(world, index, fault).await;
        }
        Fault::ColdAnnounced | Fault::ColdUnannounced => turn_cold(world, index, fault).await,
        Fault::UpstreamDrains => drain_upstream(world, index).await,
        Fault::UpstreamCrash => {
            world.upstreams[index].stop();
            world.executor.sleep(world.draw_millis(100..5_000)).await;
            restart_upstream(world, index).await;
        }
        Fault::PlannedStop => planned_stop(world, index).await,
        Fault::ZoneOut => zone_out(world, index).await,
        Fault::ConcurrentCommands => submit_concurrent_commands(world).await,
    }
}

async fn crash(world: Rc<World>, index: usize) {
    let Some(node) = world.node(index) else { return };
    world.trace(|| format!("node {index} crashes"));
    node.kill();
    drop(node);
    world.executor.sleep(world.draw_millis(50..4_000)).await;
    if !world.is_up(index) {
        Node::start(&world, index);
    }
}

async fn pause(world: Rc<World>, index: usize) {
    let Some(node) = world.node(index) else { return };
    if world.is_paused(index) {
        return;
    }
    world.trace(|| format!("node {index} is paused"));
    let process = node.process;
    drop(node);
    world.executor.pause(process);
    world.checks.borrow_mut().update_reachability(&world);
    world.executor.sleep(world.draw_millis(100..7_000)).await;
    world.trace(|| format!("node {index} is resumed"));
    world.checks.borrow_mut().on_disruption_end(&world, index);
    world.executor.resume(process, &mut *world.rng.borrow_mut());
    world.checks.borrow_mut().update_reachability(&world);
}

async fn partition(world: Rc<World>, group: u32) {
    let partition = Partition { group, store: world.chance(0.7) };
    world.trace(|| format!("{partition:?}"));
    world.net.borrow_mut().partitions.push(partition);
    world.checks.borrow_mut().update_reachability(&world);
    world.executor.sleep(world.draw_millis(500..9_000)).await;
    world.trace(|| format!("end of {partition:?}"));
    let mut net = world.net.borrow_mut();
    if let Some(at) = net.partitions.iter().position(|known| *known == partition) {
        net.partitions.remove(at);
    }
    drop(net);
    let mut checks = world.checks.borrow_mut();
    for index in 0..world.node_count() {
        checks.on_disruption_end(&world, index);
    }
    checks.update_reachability(&world);
}

async fn one_way_loss(world: Rc<World>, from: usize) {
    let to = draw_node(&world);
    world.trace(|| format!("messages from {from} to {to} are lost"));
    world.net.borrow_mut().one_way_loss.push((from, to));
    world.checks.borrow_mut().update_reachability(&world);
    world.executor.sleep(world.draw_millis(500..8_000)).await;
    world.trace(|| format!("messages from {from} to {to} are delivered again"));
    let mut net = world.net.borrow_mut();
    if let Some(at) = net.one_way_loss.iter().position(|pair| *pair == (from, to)) {
        net.one_way_loss.remove(at);
    }
    drop(net);
    let mut checks = world.checks.borrow_mut();
    checks.on_disruption_end(&world, from);
    checks.on_disruption_end(&world, to);
    checks.update_reachability(&world);
}

async fn impair_network(world: Rc<World>) {
    {
        let mut net = world.net.borrow_mut();
        net.loss = world.draw(0..10) as f64 / 100.0;
        net.duplicated = world.draw(0..20) as f64 / 100.0;
        net.delayed = world.draw(0..20) as f64 / 100.0;
        net.wrong_id_share = world.draw(0..10) as f64 / 100.0;
    }
    world.executor.sleep(world.draw_millis(1_000..8_000)).await;
    let mut net = world.net.borrow_mut();
    (net.loss, net.duplicated, net.delayed, net.wrong_id_share) = (0.0, 0.0, 0.0, 0.0);
}

async fn impair_store(world: Rc<World>, fault: Fault) {
    {
        let mut store = world.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = true,
            Fault::StoreSlow => store.delay = world.draw_millis(50..3_000),
            _ => store.lost_answer_share = world.draw(10..90) as f64 / 100.0,
        }
    }
    world.checks.borrow_mut().update_reachability(&world);
    world.executor.sleep(world.draw_millis(1_000..10_000)).await;
    {
        let mut store = world.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = false,
            Fault::StoreSlow => store.delay = Duration::ZERO,
            _ => store.lost_answer_share = 0.0,
        }
    }
    world.trace(|| format!("end of {fault:?}"));
    world.checks.borrow_mut().update_reachability(&world);
}

async fn impair_upstream(world: Rc<World>, index: usize, fault: Fault) {
    let upstream = &world.upstreams[index];
    let share = || world.draw(5..100) as f64 / 100.0;
    match fault {
        Fault::UpstreamSlow => upstream.slowdown.set(world.draw(2..60) as u32),
        Fault::UpstreamFails => upstream.fail_share.set(share()),
        _ => {
            upstream.wrong_id_share.set(share() / 2.0);
            upstream.truncated_share.set(share() / 2.0);
            upstream.lost_share.set(share() / 2.0);
        }
    }
    world.executor.sleep(world.draw_millis(500..6_000)).await;
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

async fn turn_cold(world: Rc<World>, index: usize, fault: Fault) {
    let upstream = &world.upstreams[index];
    if upstream.lifecycle.get() != Lifecycle::Serving {
        return;
    }
    match fault {
        Fault::ColdUnannounced => upstream.unannounced_cold.set(true),
        _ if world.chance(0.5) => upstream.restart(Lifecycle::Cold),
        _ => upstream.lifecycle.set(Lifecycle::Cold),
    }
    announce(&world, index);
    warm_up(world, index).await;
}

async fn warm_up(world: Rc<World>, index: usize) {
    world.executor.sleep(world.draw_millis(500..4_000)).await;
    let upstream = &world.upstreams[index];
    upstream.unannounced_cold.set(false);
    if upstream.lifecycle.get() == Lifecycle::Cold {
        upstream.lifecycle.set(Lifecycle::Serving);
        announce(&world, index);
    }
}

async fn restart_upstream(world: Rc<World>, index: usize) {
    world.trace(|| format!("upstream {index} starts"));
    world.upstreams[index].restart(Lifecycle::Cold);
    world.checks.borrow_mut().on_returned(index);
    announce(&world, index);
    warm_up(world, index).await;
}

async fn drain_upstream(world: Rc<World>, index: usize) {
    let upstream = &world.upstreams[index];
    if !upstream.lifecycle.get().accepts_work() {
        return;
    }
    upstream.lifecycle.set(Lifecycle::Draining);
    world.checks.borrow_mut().on_leaving(&world, index);
    announce(&world, index);
    world.executor.sleep(world.draw_millis(1_000..7_000)).await;
    while upstream.in_flight.get() > 0 {
        world.executor.sleep(Duration::from_millis(5)).await;
    }
    upstream.stop();
    world.executor.sleep(world.draw_millis(50..2_000)).await;
    restart_upstream(world, index).await;
}

async fn planned_stop(world: Rc<World>, index: usize) {
    let Some(node) = world.node(index).filter(|node| !node.stopping.get()) else { return };
    let process = node.process;
    world.executor.spawn(process, node.stop());
    while !world.executor.is_dead(process) {
        world.executor.sleep(Duration::from_millis(50)).await;
    }
    world.executor.sleep(world.draw_millis(50..2_000)).await;
    if !world.is_up(index) {
        Node::start(&world, index);
    }
}

async fn submit(world: &Rc<World>, at: usize, action: Action) {
    let Some(node) = world.node(at) else { return };
    let end = world.now() + COMMAND_TIMEOUT;
    let process = node.process;
    world.executor.spawn(process, async move {
        node.command(action, end).await;
    });
}

async fn zone_out(world: Rc<World>, index: usize) {
    let zone = world.node_specs[index].zone.clone();
    let at = draw_node(&world);
    submit(&world, at, Action::SetZone(zone.clone(), ZoneIntent::Out)).await;
    world.executor.sleep(world.draw_millis(4_000..10_000)).await;
    let at = draw_node(&world);
    submit(&world, at, Action::SetZone(zone, ZoneIntent::In)).await;
}

/// Has operators submit commands almost at the same time at different nodes.
async fn submit_concurrent_commands(world: Rc<World>) {
    for _ in 0..world.draw(2..6) {
        let zone = world.node_specs[draw_node(&world)].zone.clone();
        let action = match world.draw(0..3) {
            0 => Action::SetMeasuring(world.draw(0..50_000) as u32),
            1 => Action::SetZone(zone, ZoneIntent::Out),
            _ => Action::SetZone(zone, ZoneIntent::In),
        };
        let at = draw_node(&world);
        submit(&world, at, action).await;
        world.executor.sleep(world.draw_millis(0..30)).await;
    }
}
