//! Whole deployments as real processes under load, with changes of the configuration, rollouts,
//! planned stops, cold upstreams, and nodes that lose the store or are killed.
//!
//! What clients, upstreams and the operator see is recorded while it happens and checked against
//! the users' rules with their bounds. A seed determines the schedule.
//! `DEPLOYMENT=trunks SEEDS=1..50 cargo nextest run --test mesh --run-ignored only
//! deployment_by_hand` plays a range.

mod checks;
mod load;
mod operator;
mod schedule;
mod timeline;

use std::{env, fs, time::Duration};

use async_std::task::{self, block_on};
use rand::{SeedableRng, rngs::StdRng};

use self::{load::Load, operator::Operator, schedule::Schedule, timeline::Timeline};
use crate::fleet::{Fleet, MemberSpec};

/// Services of a deployment; versions are rolled out for the first one.
const SERVICES: [&str; 2] = ["first", "second"];

/// Time between two steps of the schedule.
const STEP: Duration = Duration::from_millis(20);

/// Time for which a deployment is played.
const PLAY_TIME: Duration = Duration::from_secs(26);

/// A kind of deployment.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    name: &'static str,
    /// Upstreams of each service in each zone.
    upstreams: [[usize; 2]; 3],
    /// Upstreams of the version that is rolled out.
    new_upstreams: usize,
    /// Clients with a persistent connection at each node.
    clients: usize,
    /// Time between two requests of a client.
    think_time: Duration,
    /// Time for which an upstream works on a request.
    service_time: Duration,
}

/// Many requests; the first node of each zone feeds three others.
const TRUNKS: Deployment = Deployment {
    name: "trunks",
    upstreams: [[3, 1], [2, 2], [2, 2]],
    new_upstreams: 3,
    clients: 3,
    think_time: Duration::from_millis(200),
    service_time: Duration::from_millis(80),
};

/// Few requests and few upstreams.
const BATCHES: Deployment = Deployment {
    name: "batches",
    upstreams: [[2, 2], [1, 1], [1, 1]],
    new_upstreams: 3,
    clients: 3,
    think_time: Duration::from_millis(400),
    service_time: Duration::from_millis(150),
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

impl Deployment {
    fn specs(&self) -> Vec<MemberSpec> {
        let mut specs = Vec::new();
        for (zone, counts) in ZONES.into_iter().zip(self.upstreams) {
            for (service, count) in SERVICES.into_iter().zip(counts) {
                specs.extend(vec![MemberSpec { zone, service, version: "v1" }; count]);
            }
        }
        for index in 0..self.new_upstreams {
            specs.push(MemberSpec {
                zone: ZONES[index % ZONES.len()],
                service: SERVICES[0],
                version: "v2",
            });
        }
        specs
    }
}

/// Plays a deployment and checks it.
///
/// # Panics
///
/// Panics with the broken rules, the schedule and the folder of the nodes' logs.
async fn play(deployment: Deployment, seed: u64) {
    println!("deployment {} with seed {seed}", deployment.name);
    let mut rng = StdRng::seed_from_u64(seed);
    let timeline = Timeline::start();
    let mut operator = Operator::new(timeline.clone());
    let mut fleet = Fleet::start_specs(&deployment.specs(), &operator.first_config()).await;
    let old_nodes = fleet.members.len() - deployment.new_upstreams;
    for member in &fleet.members {
        member.upstream.change(|behaviour| behaviour.service_time = deployment.service_time);
    }
    let mut schedule = Schedule::new(&fleet, old_nodes, timeline.clone());
    fleet.wait_until_serving(old_nodes).await;
    let load = Load::start(&fleet, old_nodes, deployment, &operator, timeline.clone());
    while timeline.elapsed() < PLAY_TIME {
        schedule.advance(&mut fleet, &mut rng).await;
        operator.advance(&fleet, &mut rng, &mut schedule);
        task::sleep(STEP).await;
    }
    schedule.finish(&mut fleet).await;
    let requests = load.stop().await;
    let broken = checks::check(&fleet, &operator, &schedule, &timeline, &requests);
    println!("{}", checks::summary(&requests, &operator));
    if !broken.is_empty() {
        let folder = env::temp_dir().join(format!("deployment-{}-{seed}", deployment.name));
        fs::create_dir_all(&folder).unwrap();
        let text = format!("{}\n\n{}\n", broken.join("\n"), timeline.text());
        fs::write(folder.join("play.txt"), &text).unwrap();
        for member in &fleet.members {
            fs::write(folder.join(format!("{}.log", member.name)), member.log_text()).unwrap();
        }
        let first: Vec<_> = broken.iter().take(6).cloned().collect();
        panic!("{} broken: {}\nsee {}", broken.len(), first.join("\n"), folder.display());
    }
}

/// Guards against rules that break while a deployment is changed and disturbed.
#[test]
fn deployments_keep_the_rules_while_they_run() {
    block_on(play(TRUNKS, 1));
    block_on(play(BATCHES, 2));
}

/// Plays the range of seeds in `SEEDS`, such as `1..50`, of the `DEPLOYMENT`, and lists those that
/// broke a rule.
#[test]
#[ignore = "takes minutes; run by hand with SEEDS and DEPLOYMENT"]
fn deployment_by_hand() {
    let text = env::var("SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (from, to) = text.split_once("..").expect("SEEDS is a range");
    let name = env::var("DEPLOYMENT").unwrap_or_else(|_| TRUNKS.name.to_owned());
    let deployment = [TRUNKS, BATCHES].into_iter().find(|deployment| deployment.name == name);
    let deployment = deployment.expect("DEPLOYMENT is trunks or batches");
    let mut broken = Vec::new();
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        if std::panic::catch_unwind(|| block_on(play(deployment, seed))).is_err() {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "broken seeds of {name}: {broken:?}");
}
