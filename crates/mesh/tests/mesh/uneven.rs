//! Generates load on services whose upstreams are unequal, and checks what callers get. Each node has
//! an ingress and an upstream; ingresses know owners only by their replies.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::{
        Admission, AdmissionQueue, AdmissionRequest, ColdRate, PriorityClass, UpstreamLoad,
    },
    peer_health::PeerHealth,
    placement::{Candidate, Position, order_by_cost},
    sender_share::SenderId,
    zone_capacity::ZoneCapacity,
};
use oleandertiller_model::{NodeName, ZoneName};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 6;
const SERVICE_TIME: f64 = 0.1;
const OBJECTIVE: Duration = Duration::from_millis(400);
const ROUND: Duration = Duration::from_millis(80);
const SECONDS: f64 = 8.0;
/// Runs whose figures are added up.
const SEEDS: u64 = 4;

/// What one upstream does.
#[derive(Clone, Copy)]
struct Server {
    slow_down: f64,
    /// Share of its runs that fail at once.
    failing: f64,
    /// Whether it is cold throughout, with 14 requests a second and twice the time.
    cold: bool,
}

const GOOD: Server = Server { slow_down: 1.0, failing: 0.0, cold: false };

#[derive(Clone, Copy)]
struct Pending {
    arrived: Instant,
    due: Instant,
    ingress: usize,
}

/// What callers and owners saw, as numbers of requests.
#[derive(Clone, Debug, Default)]
struct Seen {
    requests: u32,
    in_time: u32,
    failed: u32,
    offers: u32,
    refusals: u32,
    left_zone: u32,
    runs: Vec<u32>,
    /// Runs in each half second, and those of them in another zone.
    halves: Vec<(u32, u32)>,
}

impl Seen {
    fn new(servers: usize) -> Self {
        let halves = vec![(0, 0); SECONDS as usize * 2 + 1];
        Self { runs: vec![0; servers], halves, ..Self::default() }
    }

    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests)
    }
}

/// Runs `per_second` requests a second in all against the servers, whose zones alternate; `demand`
/// gives the share of the demand of zone 0 at a time in seconds. Replies tell states if `tells`.
fn run(
    servers: &[Server],
    zones: usize,
    per_second: f64,
    tells: bool,
    demand: impl Fn(f64) -> f64,
) -> Seen {
    let mut seen = Seen::new(servers.len());
    for seed in 0..SEEDS {
        run_seed(servers, zones, per_second, tells, &demand, seed, &mut seen);
    }
    seen
}

/// Adds what is seen in one run.
fn run_seed(
    servers: &[Server],
    zones: usize,
    per_second: f64,
    tells: bool,
    demand: impl Fn(f64) -> f64,
    seed: u64,
    seen: &mut Seen,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let names: Vec<NodeName> =
        (0..servers.len()).map(|n| format!("n{n:02}").as_str().into()).collect();
    let zone = |node: usize| -> ZoneName { format!("z{}", node % zones).as_str().into() };
    let mut queues = vec![AdmissionQueue::default(); servers.len()];
    for (queue, server) in queues.iter_mut().zip(servers) {
        queue.set_capacity(SLOTS, None);
        if server.cold {
            queue.set_cold_limit(Duration::from_secs(60), ColdRate::Limited(14.0), start);
        }
    }
    let view: Vec<Candidate> = (0..servers.len())
        .map(|node| Candidate {
            node: names[node].clone(),
            zone: zone(node),
            health: PeerHealth::default(),
            tried: true,
            limited: false,
        })
        .collect();
    let mut views = vec![view; servers.len()];
    let mut known_zones = vec![ZoneCapacity::default(); servers.len()];
    let mut ends: BinaryHeap<Reverse<(Instant, usize, usize, bool)>> = BinaryHeap::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut slow_period = vec![1.0; servers.len()];
    let (mut at, mut next_arrival, mut next_period) = (0.0, 0.0, 0.0);
    while at < SECONDS {
        at += 0.005;
        let now = start + Duration::from_secs_f64(at);
        if at >= next_period {
            next_period = at + 0.15;
            slow_period.fill_with(|| if rng.random_bool(0.25) { 5.0 } else { 1.0 });
        }
        while ends.peek().is_some_and(|end| end.0.0 <= now) {
            let Some(Reverse((end, ingress, owner, failed))) = ends.pop() else { break };
            queues[owner].release(Some(Duration::from_secs_f64(SERVICE_TIME)));
            queues[owner].record_outcome(failed, end);
            let health = &mut views[ingress][owner].health;
            health.on_ended();
            if tells {
                let state = queues[owner].state(PriorityClass::Timely, 1, end);
                health.on_state(state, end);
                let reports = known_zones[owner].reports(end);
                if owner != ingress {
                    known_zones[ingress].on_offer(&zone(owner), true, end);
                }
                known_zones[ingress].on_reports(&reports, end);
            }
        }
        while next_arrival <= at {
            next_arrival -= rng.random::<f64>().max(1e-9).ln() / per_second;
            let wanted_zone = match rng.random_bool(demand(at)) {
                true => 0,
                false => rng.random_range(1..zones.max(2)) % zones,
            };
            let node = rng.random_range(0..servers.len() / zones) * zones + wanted_zone;
            pending.push(Pending { arrived: now, due: now, ingress: node.min(servers.len() - 1) });
            seen.requests += 1;
        }
        pending.retain_mut(|request| {
            if now < request.due {
                return true;
            }
            request.due = now + ROUND;
            let waited = now - request.arrived;
            let ingress = request.ingress;
            let own = queues[ingress].state(PriorityClass::Timely, 1, now);
            views[ingress][ingress].health.on_state(own, now);
            let zone_name = zone(ingress);
            let position = Position {
                node: &names[ingress],
                zone: &zone_name,
                room: known_zones[ingress].room(&zone_name, now),
            };
            let max_offers = known_zones[ingress].max_offers(6, now);
            let order = order_by_cost(&views[ingress], position, now, &mut rng);
            for owner in order.into_iter().take(max_offers) {
                if views[ingress][owner].refusing_state(now).is_some() {
                    continue;
                }
                let server = servers[owner];
                let percent = 100.0 * slow_period[owner] * server.slow_down;
                let percent = if server.cold { percent * 2.0 } else { percent };
                let load = UpstreamLoad { slowness: Some(percent as u32), ..Default::default() };
                queues[owner].on_load(load, now);
                let attempt = AdmissionRequest {
                    rank: 1,
                    deadline: now + OBJECTIVE * 3,
                    wait_until: now,
                    allow_slow: waited >= OBJECTIVE.mul_f64(0.15),
                    class: PriorityClass::Timely,
                    at_most_once: false,
                    sender: SenderId::default(),
                };
                seen.offers += u32::from(owner != ingress);
                if queues[owner].admit(attempt, now) != Admission::Run {
                    seen.refusals += u32::from(owner != ingress);
                    if tells {
                        let state = queues[owner].state(PriorityClass::Timely, 1, now);
                        views[ingress][owner].health.on_state(state, now);
                        let reports = known_zones[owner].reports(now);
                        if owner != ingress {
                            known_zones[ingress].on_offer(&zone(owner), false, now);
                        }
                        known_zones[ingress].on_reports(&reports, now);
                    }
                    continue;
                }
                let failed = rng.random_bool(server.failing);
                let time = if failed { 0.005 } else { SERVICE_TIME * percent / 100.0 };
                let end = now + Duration::from_secs_f64(time);
                ends.push(Reverse((end, ingress, owner, failed)));
                views[ingress][owner].health.on_sent();
                seen.runs[owner] += 1;
                seen.failed += u32::from(failed);
                let left_zone = u32::from(zone(owner) != zone_name);
                seen.left_zone += left_zone;
                let half = &mut seen.halves[(at * 2.0) as usize];
                *half = (half.0 + 1, half.1 + left_zone);
                seen.in_time += u32::from(!failed && end <= request.arrived + OBJECTIVE);
                return false;
            }
            waited < OBJECTIVE.mul_f64(0.6)
        });
    }
}

/// Returns the demand of zone 0 if all zones have the same.
fn even(zones: usize) -> impl Fn(f64) -> f64 {
    move |_| 1.0 / zones as f64
}

/// Guards against requests that wait for slow servers while others have capacity: half of the
/// servers are five times slower, and the load is 60% of the capacity of the others.
#[test]
fn slow_half_leaves_requests_late() {
    let slow = Server { slow_down: 5.0, ..GOOD };
    let servers: Vec<_> = (0..40).map(|n| if n % 4 < 2 { GOOD } else { slow }).collect();
    let seen = run(&servers, 2, 0.6 * 20.0 * 4.0 / SERVICE_TIME, true, even(2));
    assert!(seen.share(seen.in_time) > 0.9, "{seen:?}");
}

/// Guards against a third of cold upstreams, which refuse most offers but would be idle.
#[test]
fn cold_third_leaves_requests_late() {
    let cold = Server { cold: true, ..GOOD };
    let servers: Vec<_> = (0..42).map(|n| if n % 3 == 0 { cold } else { GOOD }).collect();
    let seen = run(&servers, 2, 0.6 * 28.0 * 4.0 / SERVICE_TIME, true, even(2));
    assert!(seen.share(seen.in_time) > 0.9, "{seen:?}");
}

/// Guards against cold upstreams that are used only once the warm ones are full: a third is cold, and
/// the load is 75% of the capacity of the others.
#[test]
fn rate_of_cold_upstreams_is_lost() {
    let cold = Server { cold: true, ..GOOD };
    let servers: Vec<_> = (0..42).map(|n| if n % 3 == 0 { cold } else { GOOD }).collect();
    let seen = run(&servers, 2, 0.75 * 28.0 * 4.0 / SERVICE_TIME, true, even(2));
    assert!(seen.share(seen.in_time) > 0.95, "{seen:?}");
    assert!(seen.share(seen.refusals) < 1.4, "{seen:?}");
    let at_cold: u32 = seen.runs.iter().step_by(3).sum();
    assert!(seen.share(at_cold) > 0.15, "{seen:?}");
}

/// Guards against owners that attract requests because their upstreams fail half of them at once,
/// and against their capacity being unused when the others are full.
#[test]
fn fast_failures_attract_requests() {
    let bad = Server { failing: 0.5, ..GOOD };
    let servers: Vec<_> = (0..40).map(|n| if n % 5 == 0 { bad } else { GOOD }).collect();
    let capacity = 32.0 * 4.0 / SERVICE_TIME;
    let seen = run(&servers, 2, 0.5 * capacity, true, even(2));
    assert!(seen.share(seen.failed) < 0.05, "{seen:?}");
    assert!(seen.share(seen.refusals) < 0.8 && seen.offers < 2 * seen.requests, "{seen:?}");
    let seen = run(&servers, 2, 1.1 * capacity, true, even(2));
    let used: u32 = seen.runs.iter().step_by(5).sum();
    assert!(seen.share(used) > 0.05, "{seen:?}");
}

/// Guards against a fleet that stops when no state of a peer arrives.
#[test]
fn lost_states_stop_requests() {
    let seen = run(&[GOOD; 40], 2, 0.5 * 40.0 * 4.0 / SERVICE_TIME, false, even(2));
    assert!(seen.share(seen.in_time) > 0.9, "{seen:?}");
}

/// Guards against a zone whose wave of demand is refused while the other has capacity, and against
/// needless traffic between zones: the demand of zone 0 swings between 20% and 80% in 4 s.
#[test]
fn wave_of_demand_is_refused_in_its_zone() {
    let wave = |at: f64| 0.5 + 0.3 * (at / 4.0 * std::f64::consts::TAU).sin();
    let seen = run(&[GOOD; 40], 2, 0.6 * 40.0 * 4.0 / SERVICE_TIME, true, wave);
    assert!(seen.share(seen.in_time) > 0.9, "{seen:?}");
    assert!(seen.share(seen.left_zone) < 0.35, "{seen:?}");
}

/// Guards against demand that moves to and fro between zones: zone 0 has 80% of it throughout, and
/// the share of requests that leave their zone must stay about the same in each run.
#[test]
fn overflow_oscillates() {
    for seed in 0..SEEDS {
        let mut seen = Seen::new(40);
        run_seed(&[GOOD; 40], 2, 0.6 * 40.0 * 4.0 / SERVICE_TIME, true, |_| 0.8, seed, &mut seen);
        assert!(seen.share(seen.in_time) > 0.9, "{seen:?}");
        let shares =
            seen.halves[4..16].iter().map(|(all, left)| f64::from(*left) / f64::from(*all));
        let (least, most) = shares.fold((1.0_f64, 0.0_f64), |(a, b), x| (a.min(x), b.max(x)));
        assert!(most - least < 0.15, "{least} to {most}: {seen:?}");
    }
}
