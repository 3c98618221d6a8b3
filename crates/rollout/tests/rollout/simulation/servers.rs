//! Servers of both versions with their queues, cold starts and faults.

use std::time::Duration;

use oleandertiller_rollout::{Arm, Attempt, ServerId};
use rand::{Rng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};

use super::fault::{Fault, Scenario};

/// Mean share of requests that fail at a good server.
const FAILURE_RATE: f64 = 0.002;

/// Name, weight and median latency in seconds of each kind.
pub const KINDS: [(&str, f64, f64); 3] =
    [("temper", 0.6, 0.030), ("status", 0.3, 0.050), ("lookup", 0.1, 0.080)];

/// Standard deviation of the logarithm of latencies.
const LATENCY_LOG_SD: f64 = 0.4;

/// Returns the 95th percentile of a good server's latency at usual load, in seconds.
pub fn slow_bound(kind: u8) -> f64 {
    let (_, _, median) = KINDS[usize::from(kind)];
    median * 1.1 * (1.645 * LATENCY_LOG_SD).exp()
}

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: ServerId,
    pub arm: Arm,
    pub in_flight: usize,
    pub limit: usize,
    slots: usize,
    /// Successes since the limit last grew.
    successes: usize,
    /// Factor of latencies; above 1 the server is a noisy neighbour and fails 5% of requests.
    noise: f64,
}

impl Server {
    pub fn old(index: usize) -> Self {
        let id = ServerId(100 + index as u32);
        let (in_flight, successes) = (0, 0);
        Self { id, arm: Arm::Old, in_flight, limit: 12, slots: 12, successes, noise: 1.0 }
    }

    pub fn new(index: usize, scenario: &Scenario) -> Self {
        let id = ServerId(200 + index as u32);
        let noise = if index == 0 { scenario.noise_factor.unwrap_or(1.0) } else { 1.0 };
        let (in_flight, successes, slots) = (0, 0, scenario.new_slots);
        Self { id, arm: Arm::New, in_flight, limit: 1, slots, successes, noise }
    }

    pub fn accepts_requests(&self) -> bool {
        self.in_flight < self.limit
    }

    fn is_cold(&self) -> bool {
        self.limit < self.slots.min(4)
    }

    /// Starts a request; returns its duration, how it ends, and whether the version's fault hit it.
    pub fn start(&mut self, kind: u8, fault: Fault, at: f64, rng: &mut StdRng) -> Started {
        let (_, _, median) = KINDS[usize::from(kind)];
        let load = 1.0 + self.in_flight as f64 / 24.0;
        let cold = if self.is_cold() { 1.5 } else { 1.0 };
        let spread = LogNormal::new(0.0, LATENCY_LOG_SD).unwrap().sample(rng);
        let mut seconds = median * load * cold * spread * self.noise;
        let others = self.in_flight;
        self.in_flight += 1;
        let mut faulty = false;
        let part = match (self.arm, fault) {
            (Arm::Old, _) | (_, Fault::None) => 0.0,
            (_, Fault::Fails { part, from }) if at >= from => part,
            (_, Fault::FailsUnderLoad { part }) if others >= 2 => part,
            (_, Fault::FailsOnKind { part, kind: bad }) if bad == kind => part,
            (_, Fault::Slow { factor, from }) if at >= from => {
                seconds *= factor;
                faulty = true;
                0.0
            }
            _ => 0.0,
        };
        let noise = if self.noise > 1.0 { 0.05 } else { FAILURE_RATE };
        let hit = rng.random_bool(part);
        let failed = hit || rng.random_bool(noise);
        let attempt = match failed {
            true => Attempt::Failed,
            false if self.is_cold() => Attempt::DoneCold,
            false => Attempt::Done(Duration::from_secs_f64(seconds)),
        };
        Started { seconds, attempt, faulty: faulty || hit }
    }

    pub fn finish(&mut self, attempt: Attempt) {
        self.in_flight -= 1;
        if attempt != Attempt::Failed {
            self.successes += 1;
        }
        if self.successes >= 10 && self.limit < self.slots {
            self.successes = 0;
            self.limit += 1;
        }
    }
}

/// A request that has started.
pub struct Started {
    pub seconds: f64,
    pub attempt: Attempt,
    pub faulty: bool,
}

/// Picks two random servers below their limits and returns the one with fewer requests in flight.
pub fn choose(servers: &[Server], arm: Arm, rng: &mut StdRng) -> Option<usize> {
    let accepts = |index: &usize| servers[*index].arm == arm && servers[*index].accepts_requests();
    let open: Vec<usize> = (0..servers.len()).filter(accepts).collect();
    if open.is_empty() {
        return None;
    }
    let one = open[rng.random_range(0..open.len())];
    let other = open[rng.random_range(0..open.len())];
    let fewer = servers[one].in_flight <= servers[other].in_flight;
    Some(if fewer { one } else { other })
}
