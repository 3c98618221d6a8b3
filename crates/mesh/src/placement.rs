//! The order in which an ingress asks the owners of a service.
//!
//! What an ingress knows of an owner is as old as the owner's last answer, and an owner refuses
//! what it cannot run well, so the order need not be exact. Near owners come first, since traffic
//! between zones has a cost, and among them the least loaded one.
//!
//! An owner whose upstream has named a limit on its requests is idle most of the time and would
//! always look best, although it refuses nearly all offers of a large fleet. One such owner may
//! come before the others, so that the limited upstreams get what they accept; the rest of them
//! come last. This handles a service of which most upstreams are limited.

use std::time::{Duration, Instant};

use oleandertiller_model::{NodeName, ZoneName};
use rand::Rng;

use crate::admission_queue::OwnerState;

/// Time constant with which the weight of an owner's last known state decays.
const STATE_DECAY: Duration = Duration::from_millis(150);

/// Slowness assumed for an owner without a recent state, in percent of the usual service time.
const DEFAULT_SLOWNESS_PERCENT: f64 = 150.0;

/// Added cost of an owner in another zone, in percent of the usual service time.
const OTHER_ZONE_COST_PERCENT: f64 = 30.0;

/// Added cost of another node in the same zone, in percent of the usual service time.
const OTHER_NODE_COST_PERCENT: f64 = 5.0;

/// Share of the requests for which an owner in another zone that was never asked comes first. In a
/// zone with dozens of owners a node sends each of them a few requests a minute: if all unknown
/// owners of all zones came first, most requests would leave the zone on a new connection.
const EXPLORE_OTHER_ZONES_SHARE: f64 = 0.1;

/// Maximum random addition to a cost, which spreads requests over equal owners, in percent.
const JITTER_PERCENT: f64 = 10.0;

/// Added cost of an owner whose runs all fail, in percent of the usual service time; less in
/// proportion for one that fails some of them. A failed run is repeated elsewhere, from the retry
/// budget, and one that may run at most once is lost.
const FAILURE_COST_PERCENT: f64 = 400.0;

/// Time constant with which the known failures of an owner decay, so that it is tried again. As long
/// as that of the owner itself.
const FAILURE_DECAY: Duration = Duration::from_secs(4);

/// Added cost of an owner all of whose slots are in use, which refuses the offer. More than that of
/// failures, so that the capacity of a failing upstream is used once the others are full.
const FULL_COST_PERCENT: f64 = 500.0;

/// Wait that a failed run is taken to cost a request that chooses where to wait, in seconds.
const FAILED_RUN_SECONDS: f64 = 0.4;

/// An owner as seen by an ingress.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The owner's node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its last known state, and when that arrived.
    pub state: Option<(OwnerState, Instant)>,
    /// Requests that this node has sent to it and that are not answered yet.
    pub in_flight: u32,
    /// Whether this node has sent it any request.
    pub tried: bool,
    /// Whether its upstream has named a limit on its requests.
    pub limited: bool,
}

impl Candidate {
    /// Returns whether the owner has told that its upstream's limit allows no request yet.
    fn is_exhausted(&self, now: Instant) -> bool {
        let exhausted_until = self.state.map(|(state, at)| at + state.expected_wait);
        self.limited && exhausted_until.is_some_and(|until| now < until)
    }
}

/// Sorts candidates by expected cost, the cheapest first. An owner of the same zone that this
/// ingress has never asked comes first once, so that its state becomes known; those of other zones
/// come first for a small share of the requests.
pub fn sort_by_cost(
    candidates: &mut [Candidate],
    node: &NodeName,
    zone: &ZoneName,
    now: Instant,
    rng: &mut impl Rng,
) {
    let explores_other_zones = rng.random_bool(EXPLORE_OTHER_ZONES_SHARE);
    let mut costs: Vec<(f64, Candidate)> = candidates
        .iter()
        .map(|candidate| {
            (cost(candidate, node, zone, explores_other_zones, now, rng), candidate.clone())
        })
        .collect();
    costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let first_limited =
        costs.iter().position(|(_, candidate)| candidate.limited && !candidate.is_exhausted(now));
    let first_limited = first_limited.map(|index| costs[index].1.node.clone());
    // Stable, so that owners of the same group stay in the order of their costs.
    costs.sort_by_key(|(_, candidate)| {
        (
            candidate.limited && first_limited.as_ref() != Some(&candidate.node),
            candidate.is_exhausted(now),
        )
    });
    for (place, (_, candidate)) in candidates.iter_mut().zip(costs) {
        *place = candidate;
    }
}

fn cost(
    candidate: &Candidate,
    node: &NodeName,
    zone: &ZoneName,
    explores_other_zones: bool,
    now: Instant,
    rng: &mut impl Rng,
) -> f64 {
    if !candidate.tried && (candidate.zone == *zone || explores_other_zones) {
        return rng.random::<f64>() - 1.0;
    }
    let distance = match candidate.node == *node {
        true => 0.0,
        false if candidate.zone == *zone => OTHER_NODE_COST_PERCENT,
        false => OTHER_ZONE_COST_PERCENT,
    };
    let (slowness, utilization, known_cost) = match candidate.state {
        Some((state, at)) => {
            let age = now.saturating_duration_since(at);
            let freshness = decay(age, STATE_DECAY);
            let slowness = DEFAULT_SLOWNESS_PERCENT
                + (f64::from(state.slowness) - DEFAULT_SLOWNESS_PERCENT) * freshness;
            let running = f64::from(state.running + state.waiting) * freshness;
            let slots = f64::from(state.slots.max(1));
            let failures = f64::from(state.capacity.failures) / 100.0 * decay(age, FAILURE_DECAY);
            let is_full = state.slots > 0 && state.running + state.waiting >= state.slots;
            let full_cost = if is_full { FULL_COST_PERCENT * freshness } else { 0.0 };
            let known_cost = failures * FAILURE_COST_PERCENT + full_cost;
            (slowness, running.max(f64::from(candidate.in_flight)) / slots, known_cost)
        }
        // Without a state, the number of slots is unknown; four are assumed.
        None => (DEFAULT_SLOWNESS_PERCENT, f64::from(candidate.in_flight) / 4.0, 0.0),
    };
    distance
        + known_cost
        + slowness * (1.0 + (utilization - 0.5).max(0.0))
        + rng.random::<f64>() * JITTER_PERCENT
}

/// Returns the weight that remains of what was learnt `age` ago.
fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the owner at which a request should wait for at most `max_wait` once all have refused it:
/// the one with the shortest expected wait, corrected by its load, slowness and failures. An owner
/// that is not expected to start the request in time comes only if all are like it.
pub fn shortest_wait(states: &[(usize, OwnerState)], max_wait: Duration) -> Option<usize> {
    let cost = |state: &OwnerState| {
        let slowness = f64::from(state.slowness) / 100.0;
        let load = f64::from(state.running + state.waiting) / f64::from(state.slots.max(1));
        let failures = f64::from(state.capacity.failures) / 100.0;
        // Adds 50 ms if all slots are in use at the usual speed.
        state.expected_wait.as_secs_f64() + 0.05 * slowness * load + FAILED_RUN_SECONDS * failures
    };
    let key = |state: &OwnerState| (state.expected_wait > max_wait, cost(state));
    let best = states.iter().min_by(|(_, one), (_, other)| {
        let ((one_late, one), (other_late, other)) = (key(one), key(other));
        one_late.cmp(&other_late).then(one.total_cmp(&other))
    });
    best.map(|(index, _)| *index)
}
