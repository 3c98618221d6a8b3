//! Draws a schedule from a seed and runs it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use oleandertiller_fleet::{Head, intent::HEAD_KEY, store::StoreCall};
use oleandertiller_model::{Action, Change, Revision, intent::Keeper};
use uuid::Uuid;

use crate::{
    Options, Report,
    driver::Node,
    executor::SIMULATION_PROCESS,
    fault::{FAULTS, FAULTS_NEAR_COMMAND, Fault, schedule_fault},
    simulation::{Deployment, Simulation},
    traffic,
    upstream::send_heartbeats,
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
    let sim = Simulation::new(seed, deployment, options.mutant, options.trace);
    let length = match sim.chance(LONG_SHARE) {
        true => sim.draw_millis(25_000..35_000),
        false => sim.draw_millis(8_000..16_000),
    };
    fill_store(&sim);
    start(&sim);
    draw_faults(&sim, length);
    sim.executor.run_until(length);
    sim.executor.clear();
    let mut checks = sim.checks.borrow_mut();
    let answered: BTreeMap<_, _> = checks.answered.iter().map(|(k, v)| (*k, *v)).collect();
    let violations = std::mem::take(&mut checks.violations);
    let probes = checks.probes;
    drop(checks);
    sim.nodes.borrow_mut().clear();
    let (datagrams, trace) = (sim.datagrams.get(), sim.take_trace());
    Report { seed, length, violations, answered, probes, datagrams, trace }
}

/// Writes the services and the initial keepers to the store.
fn fill_store(sim: &Simulation) {
    let wall = sim.executor.wall();
    let incarnation = wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis();
    let services = sim.services.iter().cloned().map(Action::PutService);
    let keepers = sim.node_specs.iter().map(|spec| {
        let service = sim.services[spec.service].name.clone();
        let keeper = Keeper { node: spec.name.clone(), incarnation: incarnation as u64 };
        Action::PutKeeper(service, keeper)
    });
    let mut head = Head::default();
    for action in services.chain(keepers) {
        let operation = Uuid::from_u128(u128::from(sim.next_id()));
        let revision = head.revision.next();
        let change = Change { revision, operation, author: "setup".into(), at: wall, action };
        head = head.with_change(change.clone(), Revision(0));
        sim.checks.borrow_mut().add_commit(change, sim);
    }
    let (key, value) = (HEAD_KEY.to_owned(), head.to_json());
    let call = StoreCall::Put { key, value, if_version: 0, lease: None };
    sim.store.borrow_mut().call(call, sim.now());
}

/// Starts the nodes, upstreams, clients and periodic checks.
fn start(sim: &Rc<Simulation>) {
    for index in 0..sim.node_count() {
        Node::start(sim, index);
        sim.executor.spawn(SIMULATION_PROCESS, send_heartbeats(sim.clone(), index));
    }
    for _ in 0..sim.draw(2..5) {
        let think_time = sim.draw_millis(40..200);
        sim.executor.spawn(SIMULATION_PROCESS, traffic::client(sim.clone(), think_time));
    }
    let task_sim = sim.clone();
    sim.executor.spawn(SIMULATION_PROCESS, async move {
        loop {
            task_sim.executor.sleep(Duration::from_millis(100)).await;
            task_sim.checks.borrow_mut().update_reachability(&task_sim);
            task_sim.checks.borrow_mut().check_in_force(&task_sim);
        }
    });
}

/// Draws and schedules faults; in half of the schedules, some of them act near a zone command.
fn draw_faults(sim: &Rc<Simulation>, length: Duration) {
    let end = length.as_millis() as u64 - 2_000;
    for _ in 0..sim.draw(1..5) {
        let at = sim.draw_millis(1_000..end);
        let fault = FAULTS[sim.draw(0..FAULTS.len() as u64) as usize];
        schedule_fault(sim, at, fault);
    }
    if sim.chance(0.5) {
        let at = sim.draw_millis(1_500..end);
        schedule_fault(sim, at, Fault::ZoneOut);
        for _ in 0..sim.draw(1..3) {
            let fault = FAULTS_NEAR_COMMAND[sim.draw(0..FAULTS_NEAR_COMMAND.len() as u64) as usize];
            let near = at + sim.draw_millis(0..3_000) - Duration::from_millis(1_500);
            schedule_fault(sim, near, fault);
        }
    }
}
