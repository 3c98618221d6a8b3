//! Open-loop load generator.

mod client;
mod route;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::{channel, task};

use crate::arrivals::{Arrival, Arrivals, Profile};
use crate::stats::{Sample, Stats};
use crate::workload::LoadKind;

pub use route::{ClientPolicy, Route};

use client::{Answered, Caller};

/// Time that the generator waits for the last answers after the last deadline.
const DRAIN: Duration = Duration::from_secs(1);

/// Bits that tell the seed of a warm-up from that of its run.
const WARMUP_SEED: u64 = 1 << 63;

/// What a run sends and where.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of arrivals, ids and keys.
    pub seed: u64,
    /// Rate over time.
    pub profile: Profile,
    /// Length of the schedule.
    pub length: Duration,
    /// Kinds with their shares.
    pub kinds: Vec<LoadKind>,
    /// Where requests are sent.
    pub route: Route,
    /// Connections kept to each address; a request that finds none free opens one more.
    pub connections: usize,
    /// One-way latency between clients and the fleet.
    pub client_delay: Duration,
    /// Share of at-most-once requests that the client sends twice at the same time.
    pub duplicate_share: f64,
    /// Times that the client repeats an at-most-once request without a known outcome.
    pub repeats: u64,
    /// Bytes of a request body.
    pub body_bytes: usize,
}

impl Plan {
    /// Returns the plan of a warm-up. Its seed differs, since a repeated idempotency key is
    /// answered from the first run and would not be run again.
    pub fn warmup(mut self, length: Duration) -> Self {
        self.seed ^= WARMUP_SEED;
        self.length = length;
        self
    }

    /// Creates a plan at a constant rate.
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

/// Runs a plan to its end and returns what the clients saw.
pub fn run(plan: Plan) -> Stats {
    let collected = Arc::new(Mutex::new(Stats::new()));
    run_into(plan, &collected);
    std::mem::take(&mut *collected.lock().unwrap())
}

/// Runs a plan to its end and adds what the clients see to `collected` as they see it.
pub fn run_into(plan: Plan, collected: &Arc<Mutex<Stats>>) {
    let longest = plan.kinds.iter().map(|kind| kind.deadline).max().unwrap_or_default();
    let wait = (longest + plan.client_delay * 2) * (plan.repeats as u32 + 1) + DRAIN;
    let arrivals = Arrivals::new(plan.seed, plan.profile, plan.length, &plan.kinds);
    let caller = Arc::new(Caller::new(plan));
    task::block_on(caller.open_connections());
    let start = Instant::now();
    let (open, ended) = channel::bounded::<()>(1);
    for arrival in arrivals {
        // A thread sleeps more exactly than a task whose executor is busy with answers.
        let left = (start + arrival.at).saturating_duration_since(Instant::now());
        if !left.is_zero() {
            std::thread::sleep(left);
        }
        let (caller, collected, open) = (caller.clone(), collected.clone(), open.clone());
        task::spawn(async move {
            one(&caller, arrival, start, &collected).await;
            drop(open);
        });
    }
    drop(open);
    // Completes when the last request has dropped its sender.
    let _ = task::block_on(async_std::future::timeout(wait, ended.recv()));
}

async fn one(caller: &Caller, arrival: Arrival, start: Instant, collected: &Mutex<Stats>) {
    let intended = start + arrival.at;
    let lateness = intended.elapsed();
    let kind = caller.kind(arrival.kind);
    let Answered { ended, repeats, not_run } = caller.request(kind, &arrival, intended).await;
    let latency = intended.elapsed();
    let sample = Sample { kind, at: arrival.at, lateness, latency, repeats, ended, not_run };
    collected.lock().unwrap().add(sample);
}
