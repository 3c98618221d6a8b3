//! The order in which an ingress asks the owners of a service.
//!
//! What an ingress knows of an owner is as old as the owner's last answer, and an owner refuses
//! what it cannot run well, so the order need not be exact. Near owners come first, since traffic
//! between zones has a cost, and among them the least loaded one. The better of two random ones
//! among the good owners comes first: if all ingresses asked the same best one, most would be
//! refused. Each refusal is a round trip, so an owner whose recent state shows no capacity is not
//! asked; the request may wait there instead.
//!
//! An owner whose upstream has named a limit on its requests is idle most of the time and would
//! always look best, although it refuses nearly all offers of a large fleet. One such owner may
//! come before the others, so that the limited upstreams get what they accept; the rest of them
//! come last. This handles a service of which most upstreams are limited.

use std::time::{Duration, Instant};

use oleandertiller_model::{NodeName, ZoneName};
use rand::Rng;

use crate::{admission_queue::OwnerState, peer_health::PeerHealth, upstream_capacity::decay};

/// Time constant with which the weight of an owner's last known state decays.
const STATE_DECAY: Duration = Duration::from_millis(150);

/// Slowness assumed for an owner without a recent state while none is known, in percent of the usual
/// service time. Otherwise the mean of those known is assumed: with less, owners that this node never
/// asks would look better than the others, and those are mostly in other zones.
const DEFAULT_SLOWNESS_PERCENT: f64 = 150.0;

/// Added cost of an owner in another zone, in percent of the usual service time.
const OTHER_ZONE_COST_PERCENT: f64 = 45.0;

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

/// Time constant with which the known failures and the usual slowness of an owner decay, so that it
/// is tried again. As long as that of the failures at the owner itself.
const CAPACITY_DECAY: Duration = Duration::from_secs(4);

/// Added cost of an owner without capacity, which refuses the offer. More than that of failures, so
/// that the capacity of a failing upstream is used once the others are full.
const FULL_COST_PERCENT: f64 = 500.0;

/// Wait that a failed run is taken to cost a request that chooses where to wait, in seconds.
const FAILED_RUN_SECONDS: f64 = 0.4;

/// Costs up to this much above the lowest one count as equally good, in percent of the usual service
/// time: less than the cost of another zone.
const GOOD_COST_SPAN_PERCENT: f64 = 20.0;

/// Maximum random change of the cost of another zone, one draw for each request, in percent of the
/// usual service time. The share of requests that leave a zone thus grows with the gain, over twice
/// this span, so that demand does not move to and fro between zones.
const ZONE_JITTER_PERCENT: f64 = 15.0;

/// Weight of an owner's state above which its lack of capacity is trusted: one of up to 180 ms.
const TRUSTED_FRESHNESS: f64 = 0.3;

/// Share of the mean slowness by which an owner's usual slowness may exceed it and still count as
/// ordinary. Each owner tells a mean over a few slow periods, so the figures of equal upstreams differ
/// by this much. The owners with the lowest figures are mostly in other zones, which have most owners.
const ORDINARY_SLOWNESS_EXCESS: f64 = 0.25;
/// Usual service time that a peer's overhead is compared with: of the order of a request's work.
const USUAL_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Share of started offers in a zone from which cold upstreams count as slow as they are. Below, less
/// and less of it counts: their rate is lost if it is not used before the warm ones are full. With a
/// quarter of the owners in slow periods, a zone that is half full starts about this share.
const AMPLE_ROOM: f64 = 0.6;

/// Share of started offers at which cold upstreams count as fast as warm ones.
const FULL_ROOM: f64 = 0.2;

/// Number of upstreams without failures that are assumed beside the known ones in the mean share of
/// failures, so that a single failing upstream is not taken for the usual case.
const ASSUMED_GOOD_UPSTREAMS: f64 = 3.0;

/// An owner as seen by an ingress.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The owner's node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its last known state and the requests of this node to it.
    pub health: PeerHealth,
    /// Whether this node has sent it any request.
    pub tried: bool,
    /// Whether its upstream has named a limit on its requests.
    pub limited: bool,
}

impl Candidate {
    /// Returns whether the owner has told that its upstream's limit allows no request yet.
    fn is_exhausted(&self, now: Instant) -> bool {
        let exhausted_until = self.health.state().map(|(state, at)| at + state.expected_wait);
        self.limited && exhausted_until.is_some_and(|until| now < until)
    }

    /// Returns the owner's state if it is recent and shows that an offer would be refused for want
    /// of capacity. Its expected wait is the time that remains of it.
    pub fn refusing_state(&self, now: Instant) -> Option<OwnerState> {
        let (state, at) = self.health.state()?;
        let age = now.saturating_duration_since(at);
        let is_full = lacks_capacity(&state, &self.health, age) >= TRUSTED_FRESHNESS;
        let expected_wait = state.expected_wait.saturating_sub(age);
        is_full.then_some(OwnerState { expected_wait, ..state })
    }
}

/// Where an ingress is.
#[derive(Clone, Copy, Debug)]
pub struct Position<'a> {
    /// Its node.
    pub node: &'a NodeName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Share of offers that the owners of its zone start; 1 if unknown.
    pub room: f64,
}

/// What applies to all costs of one request.
#[derive(Clone, Copy)]
struct RequestDraw {
    explores_other_zones: bool,
    other_zone_cost: f64,
    /// Slowness of an owner of which nothing is known, in percent.
    default_slowness: f64,
    /// Mean share of the requests that the known upstreams fail or refuse, from 0 to 1.
    usual_failures: f64,
    /// Part of the slowness of cold upstreams that counts.
    cold_weight: f64,
}

impl RequestDraw {
    /// Returns the slowness that counts for a cold upstream, in percent.
    fn cold_slowness(&self, slowness: f64) -> f64 {
        100.0 + (slowness - 100.0) * self.cold_weight
    }
}

/// Returns the indices of candidates in the order in which they are asked. An owner of the same zone
/// that this ingress has never asked comes first once, so that its state becomes known; those of
/// other zones come first for a small share of the requests.
pub fn order_by_cost(
    candidates: &[Candidate],
    position: Position<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let draw = RequestDraw {
        explores_other_zones: rng.random_bool(EXPLORE_OTHER_ZONES_SHARE),
        other_zone_cost: OTHER_ZONE_COST_PERCENT
            + rng.random_range(-ZONE_JITTER_PERCENT..ZONE_JITTER_PERCENT),
        default_slowness: default_slowness(candidates),
        usual_failures: usual_failures(candidates, now),
        cold_weight: ((position.room - FULL_ROOM) / (AMPLE_ROOM - FULL_ROOM)).clamp(0.0, 1.0),
    };
    let mut costs: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (cost(candidate, position, draw, now, rng), index))
        .collect();
    costs.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
    if candidates.iter().any(|candidate| candidate.limited) {
        let first_limited = costs.iter().map(|(_, index)| *index).find(|index| {
            let candidate = &candidates[*index];
            candidate.limited && !candidate.is_exhausted(now)
        });
        // Stable, so that owners of the same group stay in the order of their costs.
        costs.sort_by_key(|(_, index)| {
            let candidate = &candidates[*index];
            (candidate.limited && first_limited != Some(*index), candidate.is_exhausted(now))
        });
    }
    choose_of_two(&mut costs, candidates, position, rng);
    costs.into_iter().map(|(_, index)| index).collect()
}

/// Moves the better of two random good owners to the front, unless the first is this node or one
/// that is to be explored.
fn choose_of_two(
    costs: &mut [(f64, usize)],
    candidates: &[Candidate],
    position: Position<'_>,
    rng: &mut impl Rng,
) {
    let Some(&(lowest, best)) = costs.first() else { return };
    if candidates[best].node == *position.node || candidates[best].limited || lowest < 0.0 {
        return;
    }
    // Most owners are in other zones, so a choice among all good ones would mostly leave the zone.
    let is_good = |(cost, index): &(f64, usize)| {
        let candidate = &candidates[*index];
        *cost <= lowest + GOOD_COST_SPAN_PERCENT
            && !candidate.limited
            && candidate.zone == candidates[best].zone
    };
    let good = costs.iter().take_while(|entry| is_good(entry)).count();
    let chosen = rng.random_range(0..good).min(rng.random_range(0..good));
    costs[..=chosen].rotate_right(1);
}

/// Returns how sure it is, from 0 to 1, that an owner has no capacity for one more offer.
fn lacks_capacity(state: &OwnerState, health: &PeerHealth, age: Duration) -> f64 {
    let has_free = u32::from(state.capacity.free) > health.sent_since();
    if state.slots == 0 || has_free {
        return 0.0;
    }
    // Until the wait is over that it told, nothing has changed.
    let waits = health.sent_since() == 0 && age < state.expected_wait;
    if waits { 1.0 } else { decay(age, STATE_DECAY) }
}

/// Returns the share of the requests that an upstream fails or refuses, by a state of this age.
fn failures(state: &OwnerState, age: Duration) -> f64 {
    f64::from(state.capacity.failures) / 100.0 * decay(age, CAPACITY_DECAY)
}

/// Returns the mean share of the requests that the upstreams of recently known state fail or refuse.
fn usual_failures(candidates: &[Candidate], now: Instant) -> f64 {
    let states = candidates.iter().filter_map(|candidate| candidate.health.state());
    let known = states.filter_map(|(state, at)| {
        let age = now.saturating_duration_since(at);
        (age < CAPACITY_DECAY).then(|| failures(&state, age))
    });
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), share| (sum + share, count + 1.0));
    sum / (count + ASSUMED_GOOD_UPSTREAMS)
}

/// Returns whether an upstream is cold and has capacity, by a state of this age.
fn is_cold(state: &OwnerState, age: Duration) -> bool {
    let cold_for = Duration::from_millis(state.capacity.cold_ms.into());
    state.capacity.free > 0 && age < cold_for
}

/// Returns the slowness to assume for an owner of which nothing is known, in percent.
fn default_slowness(candidates: &[Candidate]) -> f64 {
    let known = candidates.iter().filter_map(|candidate| candidate.health.state());
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), (state, _)| {
        (sum + f64::from(state.capacity.usual_slowness), count + 1.0)
    });
    // The assumption counts as one owner.
    (sum + DEFAULT_SLOWNESS_PERCENT) / (count + 1.0)
}

fn cost(
    candidate: &Candidate,
    position: Position<'_>,
    draw: RequestDraw,
    now: Instant,
    rng: &mut impl Rng,
) -> f64 {
    let same_zone = candidate.zone == *position.zone;
    if !candidate.tried && (same_zone || draw.explores_other_zones) {
        return rng.random::<f64>() - 1.0;
    }
    let distance = match candidate.node == *position.node {
        true => 0.0,
        false if same_zone => OTHER_NODE_COST_PERCENT,
        false => draw.other_zone_cost,
    };
    let health = &candidate.health;
    let in_flight = f64::from(health.in_flight());
    let (slowness, utilization, known_cost) = match health.state() {
        Some((state, at)) => {
            let age = now.saturating_duration_since(at);
            let freshness = decay(age, STATE_DECAY);
            let ordinary = draw.default_slowness * (1.0 + ORDINARY_SLOWNESS_EXCESS);
            let excess = (f64::from(state.capacity.usual_slowness) - ordinary).max(0.0);
            let usual = draw.default_slowness + excess * decay(age, CAPACITY_DECAY);
            let slowness = usual + (f64::from(state.slowness) - usual) * freshness;
            let slowness =
                if is_cold(&state, age) { draw.cold_slowness(slowness) } else { slowness };
            let running = f64::from(state.running + state.waiting) * freshness
                + f64::from(health.sent_since());
            let slots = f64::from(state.slots.max(1));
            // What all upstreams fail is no reason to prefer those of which less is known.
            let failures = (failures(&state, age) - draw.usual_failures).max(0.0);
            let known_cost = failures * FAILURE_COST_PERCENT
                + lacks_capacity(&state, health, age) * FULL_COST_PERCENT;
            (slowness, running.max(in_flight) / slots, known_cost)
        }
        // Without a state, the number of slots is unknown; four are assumed.
        None => (draw.default_slowness, in_flight / 4.0, 0.0),
    };
    let overhead = health.overhead(now).as_secs_f64() / USUAL_SERVICE_TIME.as_secs_f64() * 100.0;
    distance
        + overhead
        + known_cost
        + slowness * (1.0 + (utilization - 0.5).max(0.0))
        + rng.random::<f64>() * JITTER_PERCENT
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
