//! Simulates load on admission queues and checks how many requests are answered in time.

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::{
        Admission, AdmissionQueue, AdmissionRequest, ColdRate, Dequeued, PriorityClass, Ticket,
        UpstreamLoad,
    },
    sender_share::SenderId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Requests of one route: their rank, rate, service time and latency objective.
#[derive(Clone, Copy, Debug)]
struct Workload {
    rank: u32,
    per_second: f64,
    service_time: Duration,
    objective: Duration,
}

/// Returns the share of the requests of each workload that are answered within their objective.
fn run_overload(slots: u32, workloads: &[Workload], seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.set_capacity(slots, None);
    let mut arrivals = Vec::new();
    for (index, workload) in workloads.iter().enumerate() {
        let mut at = 0.0;
        while at < 30.0 {
            at -= rng.random::<f64>().max(1e-9).ln() / workload.per_second;
            arrivals.push((start + Duration::from_secs_f64(at), index));
        }
    }
    arrivals.sort();
    let mut ends: BinaryHeap<std::cmp::Reverse<Instant>> = BinaryHeap::new();
    let mut waiting: BTreeMap<Ticket, (usize, Instant)> = BTreeMap::new();
    let mut in_time = vec![0_u32; workloads.len()];
    let mut offered = vec![0_u32; workloads.len()];
    for (now, index) in arrivals {
        while ends.peek().is_some_and(|end| end.0 <= now) {
            let Some(std::cmp::Reverse(end)) = ends.pop() else { break };
            queue.release(Some(Duration::from_millis(200)));
            while let Some(dequeued) = queue.dequeue(end) {
                if let Dequeued::Run(ticket) = dequeued {
                    let (workload, arrived) = waiting[&ticket];
                    let done = end + workloads[workload].service_time;
                    ends.push(std::cmp::Reverse(done));
                    in_time[workload] += u32::from(done <= arrived + workloads[workload].objective);
                }
            }
        }
        let workload = workloads[index];
        offered[index] += 1;
        let request = AdmissionRequest {
            rank: workload.rank,
            deadline: now + workload.objective * 4,
            wait_until: now + workload.objective.mul_f64(0.6),
            allow_slow: false,
            class: PriorityClass::Timely,
            at_most_once: false,
            sender: SenderId::default(),
        };
        match queue.admit(request, now) {
            Admission::Run => {
                ends.push(std::cmp::Reverse(now + workload.service_time));
                in_time[index] += 1;
            }
            Admission::Wait(ticket) => drop(waiting.insert(ticket, (index, now))),
            Admission::Refuse(_) => {}
        }
    }
    in_time
        .iter()
        .zip(offered)
        .map(|(in_time, offered)| f64::from(*in_time) / f64::from(offered))
        .collect()
}

/// Guards against short high-priority requests that starve behind long ones when a service has lost
/// most of its servers: the load is 1.6 times the capacity of one upstream with six slots.
#[test]
fn high_priority_requests_are_served_during_overload() {
    let lookup = Workload {
        rank: 1,
        per_second: 8.0,
        service_time: Duration::from_millis(88),
        objective: Duration::from_millis(250),
    };
    let report = Workload {
        rank: 2,
        per_second: 16.0,
        service_time: Duration::from_millis(550),
        objective: Duration::from_millis(1_500),
    };
    for seed in 0..10 {
        let shares = run_overload(6, &[lookup, report], seed);
        assert!(shares[0] > 0.9, "lookups {shares:?}, seed {seed}");
        // Low priority does not mean never: the users require a quarter of the mean.
        assert!(shares[1] > 0.4, "reports {shares:?}, seed {seed}");
    }
}

/// Service time of a cold upstream, as a multiple of the usual one.
const COLD_FACTOR: f64 = 2.0;

/// Share of the periods that are slow, and the factor by which a request that starts in one takes
/// longer.
const SLOW_SHARE_AND_FACTOR: (f64, f64) = (0.35, 5.0);

/// Time for which an upstream's slowness stays the same.
const SLOWNESS_PERIOD: Duration = Duration::from_millis(150);

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);

/// A request that no owner has accepted yet.
#[derive(Clone, Copy)]
struct Pending {
    arrived: Instant,
    retry_at: Instant,
}

/// Returns the share of requests with an objective of 600 ms that are answered in time while all
/// upstreams are cold, for `load` requests per second with a usual service time of 200 ms and
/// upstreams that accept `rate` requests per second each.
fn run_cold_start(upstreams: usize, rate: f64, load: f64, seed: u64) -> f64 {
    const OBJECTIVE: Duration = Duration::from_millis(600);
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let cold_for = Duration::from_secs(3);
    let mut queues = vec![AdmissionQueue::default(); upstreams];
    for queue in &mut queues {
        queue.set_capacity(12, None);
        queue.set_cold_limit(cold_for, ColdRate::Limited(rate), start);
    }
    let mut slowness = vec![1.0; upstreams];
    let mut ends: BinaryHeap<std::cmp::Reverse<(Instant, usize)>> = BinaryHeap::new();
    let (mut pending, mut offered, mut in_time) = (Vec::<Pending>::new(), 0_u32, 0_u32);
    let (mut now, mut drawn_at) = (start, start - SLOWNESS_PERIOD);
    while now < start + cold_for {
        if now >= drawn_at + SLOWNESS_PERIOD {
            slowness.fill_with(|| {
                if rng.random_bool(SLOW_SHARE_AND_FACTOR.0) { SLOW_SHARE_AND_FACTOR.1 } else { 1.0 }
            });
            drawn_at = now;
        }
        while ends.peek().is_some_and(|end| end.0.0 <= now) {
            let Some(std::cmp::Reverse((_, owner))) = ends.pop() else { break };
            queues[owner].release(Some(Duration::from_millis(400)));
        }
        if rng.random_bool(load * STEP.as_secs_f64()) {
            offered += 1;
            pending.push(Pending { arrived: now, retry_at: now });
        }
        pending.retain_mut(|request| {
            let waited = now - request.arrived;
            if now < request.retry_at {
                return true;
            }
            request.retry_at = now + Duration::from_millis(80);
            for _ in 0..6 {
                let owner = rng.random_range(0..upstreams);
                let percent = (100.0 * COLD_FACTOR * slowness[owner]) as u32;
                let load_report =
                    UpstreamLoad { slowness: Some(percent), ..UpstreamLoad::default() };
                queues[owner].on_load(load_report, now);
                let attempt = AdmissionRequest {
                    rank: 1,
                    deadline: now + OBJECTIVE * 4,
                    wait_until: now,
                    allow_slow: waited >= OBJECTIVE.mul_f64(0.15),
                    class: PriorityClass::Timely,
                    at_most_once: false,
                    sender: SenderId::default(),
                };
                if queues[owner].admit(attempt, now) == Admission::Run {
                    let usual = rng.random_range(0.14..0.26);
                    let end = now + Duration::from_secs_f64(usual * COLD_FACTOR * slowness[owner]);
                    ends.push(std::cmp::Reverse((end, owner)));
                    in_time += u32::from(end <= request.arrived + OBJECTIVE);
                    return false;
                }
            }
            waited < OBJECTIVE.mul_f64(0.6)
        });
        now += STEP;
    }
    f64::from(in_time) / f64::from(offered)
}

/// Guards against a fleet that is late throughout the cold start after a power loss, although the
/// load is within its limits: nine in ten requests must be in time.
#[test]
fn cold_fleet_serves_its_allowed_rate_in_time() {
    for seed in 0..10 {
        let in_time = run_cold_start(20, 12.0, 0.6 * 20.0 * 12.0, seed);
        assert!(in_time > 0.9, "{in_time} in time, seed {seed}");
    }
}
