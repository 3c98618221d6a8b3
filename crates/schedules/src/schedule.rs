//! Draws a schedule from a seed and runs it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use oleandertiller_fleet::{Head, intent::HEAD_KEY, store::StoreCall};
use oleandertiller_model::{Action, Change, Revision, intent::Keeper};
use uuid::Uuid;

use crate::{
    Options, Report,
    driver::Node,
    executor::WORLD_PROCESS,
    fault::{FAULTS, FAULTS_NEAR_COMMAND, Fault, schedule_fault},
    traffic,
    upstream::send_heartbeats,
    world::{Deployment, World},
};

/// Share of schedules that run the Tuul deployment.
const TUUL_SHARE: f64 = 0.8;

/// Share of schedules that last 25 to 35 s instead of 8 to 16 s.
const LONG_SHARE: f64 = 0.04;

pub(crate) fn run(seed: u64, options: Options) -> Report {
    let deployment = match seed % 10 < (TUUL_SHARE * 10.0) as u64 {
        true => Deployment::Tuul,
        false => Deployment::Trunkworks,
    };
    let world = World::new(seed, deployment, options.mutant, options.trace);
    let length = match world.chance(LONG_SHARE) {
        true => world.draw_millis(25_000..35_000),
        false => world.draw_millis(8_000..16_000),
    };
    fill_store(&world);
    start(&world);
    draw_faults(&world, length);
    world.executor.run_until(length);
    world.executor.clear();
    let mut checks = world.checks.borrow_mut();
    let answered: BTreeMap<_, _> = checks.answered.iter().map(|(k, v)| (*k, *v)).collect();
    let violations = std::mem::take(&mut checks.violations);
    let probes = checks.probes;
    drop(checks);
    world.nodes.borrow_mut().clear();
    let (datagrams, trace) = (world.datagrams.get(), world.take_trace());
    Report { seed, length, violations, answered, probes, datagrams, trace }
}

/// Writes the services and the initial keepers to the store.
fn fill_store(world: &World) {
    let wall = world.executor.wall();
    let incarnation = wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis();
    let services = world.services.iter().cloned().map(Action::PutService);
    let keepers = world.node_specs.iter().map(|spec| {
        let service = world.services[spec.service].name.clone();
        let keeper = Keeper { node: spec.name.clone(), incarnation: incarnation as u64 };
        Action::PutKeeper(service, keeper)
    });
    let mut head = Head::default();
    for action in services.chain(keepers) {
        let operation = Uuid::from_u128(u128::from(world.id()));
        let revision = head.revision.next();
        let change = Change { revision, operation, author: "setup".into(), at: wall, action };
        head = head.with_change(change.clone(), Revision(0));
        world.checks.borrow_mut().add_commit(change, world);
    }
    let (key, value) = (HEAD_KEY.to_owned(), head.to_json());
    let call = StoreCall::Put { key, value, if_version: 0, lease: None };
    world.store.borrow_mut().call(call, world.now());
}

fn start(world: &Rc<World>) {
    for index in 0..world.node_count() {
        Node::start(world, index);
        world.executor.spawn(WORLD_PROCESS, send_heartbeats(world.clone(), index));
    }
    for _ in 0..world.draw(2..5) {
        let think_time = world.draw_millis(40..200);
        world.executor.spawn(WORLD_PROCESS, traffic::client(world.clone(), think_time));
    }
    let checked = world.clone();
    world.executor.spawn(WORLD_PROCESS, async move {
        loop {
            checked.executor.sleep(Duration::from_millis(100)).await;
            checked.checks.borrow_mut().update_reachability(&checked);
            checked.checks.borrow_mut().check_in_force(&checked);
        }
    });
}

fn draw_faults(world: &Rc<World>, length: Duration) {
    let end = length.as_millis() as u64 - 2_000;
    for _ in 0..world.draw(1..5) {
        let at = world.draw_millis(1_000..end);
        let fault = FAULTS[world.draw(0..FAULTS.len() as u64) as usize];
        schedule_fault(world, at, fault);
    }
    if world.chance(0.5) {
        let at = world.draw_millis(1_500..end);
        schedule_fault(world, at, Fault::ZoneOut);
        for _ in 0..world.draw(1..3) {
            let fault =
                FAULTS_NEAR_COMMAND[world.draw(0..FAULTS_NEAR_COMMAND.len() as u64) as usize];
            let near = at + world.draw_millis(0..3_000) - Duration::from_millis(1_500);
            schedule_fault(world, near, fault);
        }
    }
}
