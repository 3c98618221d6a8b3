//! Loads played against gates, and what callers get.

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use oleandertiller_mesh::gate::{Ask, Decided, Entry, Gate, Ticket, Value};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    rank: u32,
    per_second: f64,
    work: Duration,
    objective: Duration,
}

/// Share of the requests of each kind that are answered within their objective.
fn play(slots: u32, kinds: &[Kind], seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut gate = Gate::default();
    gate.set(slots, None);
    let mut arrivals = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at = 0.0;
        while at < 30.0 {
            at -= rng.random::<f64>().max(1e-9).ln() / kind.per_second;
            arrivals.push((start + Duration::from_secs_f64(at), index));
        }
    }
    arrivals.sort();
    let mut ends: BinaryHeap<std::cmp::Reverse<Instant>> = BinaryHeap::new();
    let mut waiting: BTreeMap<Ticket, (usize, Instant)> = BTreeMap::new();
    let mut timely = vec![0_u32; kinds.len()];
    let mut asked = vec![0_u32; kinds.len()];
    for (now, index) in arrivals {
        while ends.peek().is_some_and(|end| end.0 <= now) {
            let Some(std::cmp::Reverse(end)) = ends.pop() else { break };
            gate.release(Some(Duration::from_millis(200)));
            while let Some(decided) = gate.next(end) {
                if let Decided::Run(ticket) = decided {
                    let (kind, arrived) = waiting[&ticket];
                    let done = end + kinds[kind].work;
                    ends.push(std::cmp::Reverse(done));
                    timely[kind] += u32::from(done <= arrived + kinds[kind].objective);
                }
            }
        }
        let kind = kinds[index];
        asked[index] += 1;
        let ask = Ask {
            rank: kind.rank,
            deadline: now + kind.objective * 4,
            wait_until: now + kind.objective.mul_f64(0.6),
            any_moment: false,
            value: Value::Timely,
            once: false,
        };
        match gate.arrive(ask, now) {
            Entry::Run => {
                ends.push(std::cmp::Reverse(now + kind.work));
                timely[index] += 1;
            }
            Entry::Wait(ticket) => drop(waiting.insert(ticket, (index, now))),
            Entry::Refuse(_) => {}
        }
    }
    timely.iter().zip(asked).map(|(timely, asked)| f64::from(*timely) / f64::from(asked)).collect()
}

/// Guards against short urgent readings that starve behind long reports when a service has lost
/// most of its servers: the load is 1.6 times what one upstream of six slots bears.
#[test]
fn urgent_readings_are_served_through_an_overload() {
    let reading = Kind {
        rank: 1,
        per_second: 8.0,
        work: Duration::from_millis(88),
        objective: Duration::from_millis(250),
    };
    let report = Kind {
        rank: 2,
        per_second: 16.0,
        work: Duration::from_millis(550),
        objective: Duration::from_millis(1_500),
    };
    for seed in 0..10 {
        let shares = play(6, &[reading, report], seed);
        assert!(shares[0] > 0.9, "readings {shares:?}, seed {seed}");
        // Less urgent does not mean never: the gate of the users asks for a quarter of the mean.
        assert!(shares[1] > 0.4, "reports {shares:?}, seed {seed}");
    }
}
