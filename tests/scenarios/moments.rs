//! Scripts with faults at moments that are drawn from a seed.

use std::time::Duration;

use oleandertiller_language::{
    Command,
    scenario::{
        Behaviour, Comparison, Count, Event, Expectation, Fault, Load, Scenario, Step, StoreEvent,
    },
    units::Factor,
};
use oleandertiller_model::{NodeName, ZoneName, intent::ZoneIntent};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Calls a second.
const RATE: u32 = 200;

/// Length of the load in ms.
const LENGTH_MS: u64 = 15_000;

/// Time before which the last fault begins, in ms; what follows shows whether the fleet recovers.
const FAULTS_MS: u64 = 9_000;

/// Number of faults beside the zone that leaves.
const FAULTS: usize = 6;

/// Zone that leaves.
const ZONE: &str = "khan-uul";

/// Writes a script: a zone leaves at a random moment, among random faults of nodes, links,
/// upstreams and the store. Each node has one fault at most.
pub fn scenario(seed: u32) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed.into());
    let mut nodes: Vec<String> =
        (1..=4).flat_map(|n| [format!("recipe-{n}"), format!("kettle-{n}")]).collect();
    nodes.shuffle(&mut rng);
    let mut steps: Vec<Step> = nodes
        .iter()
        .take(FAULTS)
        .map(|node| step(moment(&mut rng), fault(node, &mut rng)))
        .collect();
    let out = moment(&mut rng);
    steps.push(step(out, Event::Command(Command::Zone(ZoneName::new(ZONE), ZoneIntent::Out))));
    // One millisecond later the step begins once the command has been answered.
    steps.push(step(out + Duration::from_millis(1), Event::Store(StoreEvent::Down)));
    steps.sort_by_key(|step| step.at);
    let counts = [Count::RunTwice, Count::WrongAnswers, Count::FalseNotRun];
    let counts = counts.map(|count| Expectation::Count(count, Comparison::Equal, 0));
    let after = out + Duration::from_secs(3);
    let zone_out = Expectation::NoNewWorkInZone(ZoneName::new(ZONE), after);
    Scenario {
        title: "faults at random moments".to_owned(),
        fleet: "tuul".into(),
        seed,
        loads: vec![Load { per_second: RATE, lasting: Duration::from_millis(LENGTH_MS) }],
        steps,
        expectations: counts.into_iter().chain([zone_out]).collect(),
    }
}

fn step(at: Duration, event: Event) -> Step {
    Step { at, events: vec![event] }
}

fn moment(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(500..FAULTS_MS))
}

fn fault(node: &str, rng: &mut StdRng) -> Event {
    let name = NodeName::new(node);
    let lasting = Duration::from_millis(rng.random_range(500..4_000));
    match rng.random_range(0..9) {
        0 => Event::Kill(name),
        1 => Event::Pause(name, lasting),
        2 => Event::Restart(name),
        3 => Event::Drain(name),
        4 => Event::Upstream(name, Behaviour::ColdAgain),
        5 => Event::Upstream(name, Behaviour::Faulty(Fault::Slow(Factor(20_000)))),
        6 => Event::Upstream(name, Behaviour::Faulty(Fault::Fails(300_000))),
        7 => Event::Upstream(name, Behaviour::Faulty(Fault::FailsFast)),
        _ => Event::Cut { from: "others".into(), to: node.into(), lasting: Some(lasting) },
    }
}
