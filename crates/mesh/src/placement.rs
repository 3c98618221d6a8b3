//! In which order an ingress asks the owners of a service.
//!
//! What an ingress knows of an owner is as old as its last answer, and the owner itself hands back
//! what it cannot run well, so the order need not be exact. It asks near owners first, since bytes
//! between zones cost, and among them the one that was the least busy.

use std::time::{Duration, Instant};

use oleandertiller_model::{NodeName, ZoneName};
use rand::Rng;

use crate::admission_queue::OwnerState;

/// Age over which the slowness of a moment is forgotten.
const SLOWNESS_AGE: Duration = Duration::from_millis(150);

/// Slowness that is assumed of an owner that has not been heard lately, in percent.
const USUAL_SLOWNESS: f64 = 150.0;

/// What the way to an owner in another zone counts, in percent of the usual work time.
const OTHER_ZONE_COST: f64 = 30.0;

/// What the way to another node of the same zone counts, in percent of the usual work time.
const OTHER_NODE_COST: f64 = 5.0;

/// Random part of each cost, which spreads the ingress nodes over equal owners, in percent.
const JITTER: f64 = 10.0;

/// An owner as seen by an ingress.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The owner's node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its last state, and when it arrived.
    pub state: Option<(OwnerState, Instant)>,
    /// Requests sent to it from here and not answered yet.
    pub in_flight: u32,
    /// Whether it has been sent any request from here.
    pub tried: bool,
}

/// Sorts candidates by expected cost, the best first. An owner that this ingress has never asked
/// comes first, once, so that it is known and used.
pub fn sort_by_cost(
    candidates: &mut [Candidate],
    node: &NodeName,
    zone: &ZoneName,
    now: Instant,
    rng: &mut impl Rng,
) {
    let mut costs: Vec<(f64, Candidate)> = candidates
        .iter()
        .map(|candidate| (cost(candidate, node, zone, now, rng), candidate.clone()))
        .collect();
    costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    for (place, (_, candidate)) in candidates.iter_mut().zip(costs) {
        *place = candidate;
    }
}

fn cost(
    candidate: &Candidate,
    node: &NodeName,
    zone: &ZoneName,
    now: Instant,
    rng: &mut impl Rng,
) -> f64 {
    if !candidate.tried {
        return rng.random::<f64>() - 1.0;
    }
    let way = match candidate.node == *node {
        true => 0.0,
        false if candidate.zone == *zone => OTHER_NODE_COST,
        false => OTHER_ZONE_COST,
    };
    let (slowness, busy) = match candidate.state {
        Some((state, at)) => {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let fresh = (-age / SLOWNESS_AGE.as_secs_f64()).exp();
            let slowness = USUAL_SLOWNESS + (f64::from(state.slowness) - USUAL_SLOWNESS) * fresh;
            let running = f64::from(state.running + state.waiting) * fresh;
            let slots = f64::from(state.slots.max(1));
            (slowness, running.max(f64::from(candidate.in_flight)) / slots)
        }
        None => (USUAL_SLOWNESS, f64::from(candidate.in_flight) / 4.0),
    };
    way + slowness * (1.0 + (busy - 0.5).max(0.0)) + rng.random::<f64>() * JITTER
}

/// Returns the owner at which a request should wait once all have handed it back: the one that
/// expects a slot soonest, counted in its own slowness.
pub fn shortest_wait(states: &[(usize, OwnerState)]) -> Option<usize> {
    let wait = |state: &OwnerState| {
        let slowness = f64::from(state.slowness) / 100.0;
        let load = f64::from(state.running + state.waiting) / f64::from(state.slots.max(1));
        state.expected_wait.as_secs_f64() + 0.05 * slowness * load
    };
    let best = states.iter().min_by(|(_, one), (_, other)| wait(one).total_cmp(&wait(other)));
    best.map(|(index, _)| *index)
}
