//! What goes wrong in a schedule, and what operators do.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{Action, Lifecycle, intent::ZoneIntent};

use crate::{
    exec::WORLD,
    glue::Node,
    upstream::announce,
    world::{Cut, World},
};

/// Longest time for an operator's command.
const COMMAND_WAIT: Duration = Duration::from_secs(4);

/// One thing that goes wrong or is commanded.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Crash,
    Pause,
    CutOne,
    CutGroup,
    CutZone,
    OneWay,
    BadNetwork,
    StoreDown,
    StoreSlow,
    StoreLoses,
    UpstreamSlow,
    UpstreamFails,
    UpstreamGarbles,
    ColdAnnounced,
    ColdHidden,
    UpstreamDrains,
    UpstreamDies,
    PlannedStop,
    ZoneOut,
    Race,
}

pub(crate) const FAULTS: &[Fault] = &[
    Fault::Crash,
    Fault::Pause,
    Fault::Pause,
    Fault::CutOne,
    Fault::CutGroup,
    Fault::CutZone,
    Fault::OneWay,
    Fault::BadNetwork,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLoses,
    Fault::UpstreamSlow,
    Fault::UpstreamFails,
    Fault::UpstreamGarbles,
    Fault::ColdAnnounced,
    Fault::ColdHidden,
    Fault::UpstreamDrains,
    Fault::UpstreamDies,
    Fault::PlannedStop,
    Fault::ZoneOut,
    Fault::ZoneOut,
    Fault::Race,
];

/// Faults that are likely to meet a command.
pub(crate) const WITH_COMMAND: &[Fault] = &[
    Fault::Pause,
    Fault::CutOne,
    Fault::CutGroup,
    Fault::CutZone,
    Fault::StoreDown,
    Fault::StoreLoses,
    Fault::Crash,
    Fault::BadNetwork,
    Fault::OneWay,
];

pub(crate) fn plan(world: &Rc<World>, at: Duration, fault: Fault) {
    let inside = world.clone();
    world.exec.spawn_in(at, WORLD, async move {
        inside.trace(|| format!("{fault:?}"));
        happen(inside, fault).await;
    });
}

fn any_node(world: &World) -> usize {
    world.draw(0..world.size() as u64) as usize
}

async fn happen(world: Rc<World>, fault: Fault) {
    let index = any_node(&world);
    match fault {
        Fault::Crash => crash(world, index).await,
        Fault::Pause => pause(world, index).await,
        Fault::CutOne => cut(world, 1 << index).await,
        Fault::CutGroup => {
            let group = world.draw(1..1 << world.size()) as u32;
            cut(world, group).await;
        }
        Fault::CutZone => {
            let zone = world.places[index].zone.clone();
            let of_zone = (0..world.size()).filter(|n| world.places[*n].zone == zone);
            let group = of_zone.fold(0, |mask, n| mask | 1 << n);
            cut(world, group).await;
        }
        Fault::OneWay => one_way(world, index).await,
        Fault::BadNetwork => bad_network(world).await,
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLoses => bad_store(world, fault).await,
        Fault::UpstreamSlow | Fault::UpstreamFails | Fault::UpstreamGarbles => {
            bad_upstream(world, index, fault).await;
        }
        Fault::ColdAnnounced | Fault::ColdHidden => cold(world, index, fault).await,
        Fault::UpstreamDrains => drain(world, index).await,
        Fault::UpstreamDies => {
            world.upstreams[index].stop();
            world.exec.sleep(world.millis(100..5_000)).await;
            come_back(world, index).await;
        }
        Fault::PlannedStop => planned_stop(world, index).await,
        Fault::ZoneOut => zone_out(world, index).await,
        Fault::Race => race(world).await,
    }
}

async fn crash(world: Rc<World>, index: usize) {
    let Some(node) = world.node(index) else { return };
    world.trace(|| format!("node {index} crashes"));
    node.kill();
    drop(node);
    world.exec.sleep(world.millis(50..4_000)).await;
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
    world.exec.pause(process);
    world.checks.borrow_mut().reassess(&world);
    world.exec.sleep(world.millis(100..7_000)).await;
    world.trace(|| format!("node {index} goes on"));
    world.checks.borrow_mut().disturb(&world, index);
    world.exec.resume(process, &mut *world.rng.borrow_mut());
    world.checks.borrow_mut().reassess(&world);
}

async fn cut(world: Rc<World>, group: u32) {
    let cut = Cut { group, store: world.chance(0.7) };
    world.trace(|| format!("{cut:?}"));
    world.net.borrow_mut().cuts.push(cut);
    world.checks.borrow_mut().reassess(&world);
    world.exec.sleep(world.millis(500..9_000)).await;
    world.trace(|| format!("end of {cut:?}"));
    let mut net = world.net.borrow_mut();
    if let Some(at) = net.cuts.iter().position(|known| *known == cut) {
        net.cuts.remove(at);
    }
    drop(net);
    let mut checks = world.checks.borrow_mut();
    for index in 0..world.size() {
        checks.disturb(&world, index);
    }
    checks.reassess(&world);
}

async fn one_way(world: Rc<World>, from: usize) {
    let to = any_node(&world);
    world.trace(|| format!("messages from {from} to {to} are lost"));
    world.net.borrow_mut().one_way.push((from, to));
    world.checks.borrow_mut().reassess(&world);
    world.exec.sleep(world.millis(500..8_000)).await;
    world.trace(|| format!("messages from {from} to {to} pass"));
    let mut net = world.net.borrow_mut();
    if let Some(at) = net.one_way.iter().position(|pair| *pair == (from, to)) {
        net.one_way.remove(at);
    }
    drop(net);
    let mut checks = world.checks.borrow_mut();
    checks.disturb(&world, from);
    checks.disturb(&world, to);
    checks.reassess(&world);
}

async fn bad_network(world: Rc<World>) {
    {
        let mut net = world.net.borrow_mut();
        net.loss = world.draw(0..10) as f64 / 100.0;
        net.doubled = world.draw(0..20) as f64 / 100.0;
        net.late = world.draw(0..20) as f64 / 100.0;
        net.crossed = world.draw(0..10) as f64 / 100.0;
    }
    world.exec.sleep(world.millis(1_000..8_000)).await;
    let mut net = world.net.borrow_mut();
    (net.loss, net.doubled, net.late, net.crossed) = (0.0, 0.0, 0.0, 0.0);
}

async fn bad_store(world: Rc<World>, fault: Fault) {
    {
        let mut store = world.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = true,
            Fault::StoreSlow => store.delay = world.millis(50..3_000),
            _ => store.loses = world.draw(10..90) as f64 / 100.0,
        }
    }
    world.checks.borrow_mut().reassess(&world);
    world.exec.sleep(world.millis(1_000..10_000)).await;
    {
        let mut store = world.store.borrow_mut();
        match fault {
            Fault::StoreDown => store.down = false,
            Fault::StoreSlow => store.delay = Duration::ZERO,
            _ => store.loses = 0.0,
        }
    }
    world.trace(|| format!("end of {fault:?}"));
    world.checks.borrow_mut().reassess(&world);
}

async fn bad_upstream(world: Rc<World>, index: usize, fault: Fault) {
    let upstream = &world.upstreams[index];
    let share = || world.draw(5..100) as f64 / 100.0;
    match fault {
        Fault::UpstreamSlow => upstream.slow.set(world.draw(2..60) as u32),
        Fault::UpstreamFails => upstream.fails.set(share()),
        _ => {
            upstream.crossed.set(share() / 2.0);
            upstream.cut_short.set(share() / 2.0);
            upstream.lost.set(share() / 2.0);
        }
    }
    world.exec.sleep(world.millis(500..6_000)).await;
    upstream.slow.set(1);
    for share in [&upstream.fails, &upstream.crossed, &upstream.cut_short, &upstream.lost] {
        share.set(0.0);
    }
}

async fn cold(world: Rc<World>, index: usize, fault: Fault) {
    let upstream = &world.upstreams[index];
    if upstream.lifecycle.get() != Lifecycle::Serving {
        return;
    }
    match fault {
        Fault::ColdHidden => upstream.hidden_cold.set(true),
        _ if world.chance(0.5) => upstream.restart(Lifecycle::Cold),
        _ => upstream.lifecycle.set(Lifecycle::Cold),
    }
    announce(&world, index);
    warm_up(world, index).await;
}

async fn warm_up(world: Rc<World>, index: usize) {
    world.exec.sleep(world.millis(500..4_000)).await;
    let upstream = &world.upstreams[index];
    upstream.hidden_cold.set(false);
    if upstream.lifecycle.get() == Lifecycle::Cold {
        upstream.lifecycle.set(Lifecycle::Serving);
        announce(&world, index);
    }
}

async fn come_back(world: Rc<World>, index: usize) {
    world.trace(|| format!("upstream {index} starts"));
    world.upstreams[index].restart(Lifecycle::Cold);
    world.checks.borrow_mut().on_stays(index);
    announce(&world, index);
    warm_up(world, index).await;
}

async fn drain(world: Rc<World>, index: usize) {
    let upstream = &world.upstreams[index];
    if !upstream.lifecycle.get().accepts_work() {
        return;
    }
    upstream.lifecycle.set(Lifecycle::Draining);
    world.checks.borrow_mut().on_leaving(&world, index);
    announce(&world, index);
    world.exec.sleep(world.millis(1_000..7_000)).await;
    while upstream.in_flight.get() > 0 {
        world.exec.sleep(Duration::from_millis(5)).await;
    }
    upstream.stop();
    world.exec.sleep(world.millis(50..2_000)).await;
    come_back(world, index).await;
}

async fn planned_stop(world: Rc<World>, index: usize) {
    let Some(node) = world.node(index).filter(|node| !node.planned.get()) else { return };
    let process = node.process;
    world.exec.spawn(process, node.stop());
    while !world.exec.is_dead(process) {
        world.exec.sleep(Duration::from_millis(50)).await;
    }
    world.exec.sleep(world.millis(50..2_000)).await;
    if !world.is_up(index) {
        Node::start(&world, index);
    }
}

async fn submit(world: &Rc<World>, at: usize, action: Action) {
    let Some(node) = world.node(at) else { return };
    let end = world.now() + COMMAND_WAIT;
    let process = node.process;
    world.exec.spawn(process, async move {
        node.command(action, end).await;
    });
}

async fn zone_out(world: Rc<World>, index: usize) {
    let zone = world.places[index].zone.clone();
    let at = any_node(&world);
    submit(&world, at, Action::SetZone(zone.clone(), ZoneIntent::Out)).await;
    world.exec.sleep(world.millis(4_000..10_000)).await;
    let at = any_node(&world);
    submit(&world, at, Action::SetZone(zone, ZoneIntent::In)).await;
}

/// Operators who give commands at the same time at different nodes.
async fn race(world: Rc<World>) {
    for _ in 0..world.draw(2..6) {
        let zone = world.places[any_node(&world)].zone.clone();
        let action = match world.draw(0..3) {
            0 => Action::SetMeasuring(world.draw(0..50_000) as u32),
            1 => Action::SetZone(zone, ZoneIntent::Out),
            _ => Action::SetZone(zone, ZoneIntent::In),
        };
        let at = any_node(&world);
        submit(&world, at, action).await;
        world.exec.sleep(world.millis(0..30)).await;
    }
}
