//! Scripts with random faults at random times, both drawn from a seed.

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

/// Mean number of calls per second.
const CALLS_PER_SECOND: u32 = 200;

/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 15_000;

/// Time before which the last fault begins, in milliseconds; the rest of the load shows whether the
/// fleet recovers.
const FAULT_PHASE_MS: u64 = 9_000;

/// Number of random faults, besides the zone taken out of service and the store outage.
const FAULT_COUNT: usize = 6;

/// Zone that is taken out of service.
const ZONE: &str = "khan-uul";

/// Returns a script that takes a zone out of service at a random time, then stops the store, among
/// random faults of nodes, links and upstreams. Each node has at most one fault.
pub fn scenario(seed: u32) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed.into());
    let mut nodes: Vec<String> =
        (1..=4).flat_map(|n| [format!("recipe-{n}"), format!("kettle-{n}")]).collect();
    nodes.shuffle(&mut rng);
    let mut steps: Vec<Step> = nodes
        .iter()
        .take(FAULT_COUNT)
        .map(|node| step(fault_time(&mut rng), fault(node, &mut rng)))
        .collect();
    let zone_out_at = fault_time(&mut rng);
    steps.push(step(
        zone_out_at,
        Event::Command(Command::Zone(ZoneName::new(ZONE), ZoneIntent::Out)),
    ));
    // Steps run one after the other, so the store goes down once the command has been answered.
    steps.push(step(zone_out_at + Duration::from_millis(1), Event::Store(StoreEvent::Down)));
    steps.sort_by_key(|step| step.at);
    let counts = [Count::RunTwice, Count::WrongAnswers, Count::FalseNotRun];
    let counts = counts.map(|count| Expectation::Count(count, Comparison::Equal, 0));
    let after = zone_out_at + Duration::from_secs(3);
    let zone_out = Expectation::NoNewWorkInZone(ZoneName::new(ZONE), after);
    Scenario {
        title: "faults at random moments".to_owned(),
        fleet: "tuul".into(),
        seed,
        loads: vec![Load { per_second: CALLS_PER_SECOND, lasting: Duration::from_millis(LOAD_MS) }],
        steps,
        expectations: counts.into_iter().chain([zone_out]).collect(),
    }
}

fn step(at: Duration, event: Event) -> Step {
    Step { at, events: vec![event] }
}

fn fault_time(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(500..FAULT_PHASE_MS))
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
