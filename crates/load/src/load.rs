//! Runs a plan of open-loop load.

mod client;
mod route;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::{channel, task};

use crate::arrivals::{Arrival, Arrivals, Profile};
use crate::stats::{Sample, Stats};
use crate::workload::LoadKind;

pub use route::{ClientPolicy, Route};

use client::{LoadClient, RequestResult};

/// Time that the generator waits after the last deadline for outstanding answers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Bit by which the seed of a warm-up differs from that of its run.
const WARMUP_SEED_BIT: u64 = 1 << 63;

/// Requests that a run sends, and where it sends them.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of arrivals, ids and keys.
    pub seed: u64,
    /// Rate of arrivals over time.
    pub profile: Profile,
    /// Length of the schedule.
    pub length: Duration,
    /// Kinds of request, with their shares of the arrivals.
    pub kinds: Vec<LoadKind>,
    /// Where requests are sent.
    pub route: Route,
    /// Connections kept to each address; a request that finds none idle opens another.
    pub connections: usize,
    /// One-way latency between clients and the fleet.
    pub client_delay: Duration,
    /// Share of at-most-once requests that the client sends twice at the same time, from 0 to 1.
    pub duplicate_share: f64,
    /// Maximum number of times that the client repeats an at-most-once request whose outcome is
    /// unknown or that was not run.
    pub repeats: u64,
    /// Bytes of a request body.
    pub body_bytes: usize,
}

impl Plan {
    /// Returns the plan of a warm-up.
    ///
    /// Its seed differs, since a request with a reused idempotency key gets the stored answer and
    /// is not run again.
    pub fn warmup(mut self, length: Duration) -> Self {
        self.seed ^= WARMUP_SEED_BIT;
        self.length = length;
        self
    }

    /// Creates a plan at a constant `rate`, in requests per second, without repeats or duplicates.
    pub fn new(seed: u64, rate: f64, length: Duration, kinds: Vec<LoadKind>, route: Route) -> Self {
        Self {
            seed,
            profile: Profile::Constant(rate),
            length,
            kinds,
            route,
            connections: 16,
            client_delay: Duration::ZERO,
            duplicate_share: 0.0,
            repeats: 0,
            body_bytes: 64,
        }
    }
}

/// Runs a plan to its end and returns the results that the clients saw.
pub fn run(plan: Plan) -> Stats {
    let collected = Arc::new(Mutex::new(Stats::new()));
    run_into(plan, &collected);
    std::mem::take(&mut *collected.lock().unwrap())
}

/// Runs a plan to its end and adds each request's result to `collected` as it ends.
pub fn run_into(plan: Plan, collected: &Arc<Mutex<Stats>>) {
    let longest = plan.kinds.iter().map(|kind| kind.deadline).max().unwrap_or_default();
    let wait = (longest + plan.client_delay * 2) * (plan.repeats as u32 + 1) + DRAIN_TIMEOUT;
    let arrivals = Arrivals::new(plan.seed, plan.profile, plan.length, &plan.kinds);
    let client = Arc::new(LoadClient::new(plan));
    task::block_on(client.open_connections());
    let start = Instant::now();
    let (pending, finished) = channel::bounded::<()>(1);
    for arrival in arrivals {
        // Blocks the thread, since a task's sleep is less exact while the executor handles answers.
        let remaining = (start + arrival.at).saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            std::thread::sleep(remaining);
        }
        let (client, collected, pending) = (client.clone(), collected.clone(), pending.clone());
        task::spawn(async move {
            run_request(&client, arrival, start, &collected).await;
            drop(pending);
        });
    }
    drop(pending);
    // The channel closes when the last request has dropped its sender.
    let _ = task::block_on(async_std::future::timeout(wait, finished.recv()));
}

async fn run_request(
    client: &LoadClient,
    arrival: Arrival,
    start: Instant,
    collected: &Mutex<Stats>,
) {
    let intended = start + arrival.at;
    let lateness = intended.elapsed();
    let kind = client.kind(arrival.kind);
    let RequestResult { outcome, repeats, not_run } =
        client.request(kind, &arrival, intended).await;
    let latency = intended.elapsed();
    let sample = Sample { kind, at: arrival.at, lateness, latency, repeats, outcome, not_run };
    collected.lock().unwrap().add(sample);
}
