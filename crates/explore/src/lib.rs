//! Exhaustive breadth-first exploration of small models.
//!
//! A model names its initial states, the events that are possible in a state and the state that
//! follows. [`explore`] visits every reachable state once and reports the shortest sequence of
//! events that leads to a violated invariant.

use std::{collections::HashMap, fmt::Debug, hash::Hash};

use xxhash_rust::xxh3::Xxh3;

/// A system that can be explored.
pub trait Model {
    /// State of the whole system.
    type State: Clone + Hash;
    /// Something that can happen.
    type Event: Clone + Debug;

    /// Returns the states to start from.
    fn initial(&self) -> Vec<Self::State>;

    /// Returns the events that are possible in `state`.
    fn events(&self, state: &Self::State) -> Vec<Self::Event>;

    /// Returns the state after `event`.
    fn next(&self, state: &Self::State, event: &Self::Event) -> Self::State;

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant as one sentence.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// A violated invariant and how it was reached.
#[derive(Clone, Debug)]
pub struct Violation<E> {
    /// The invariant.
    pub message: String,
    /// Shortest sequence of events that leads to it.
    pub trace: Vec<E>,
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Report<E> {
    /// Number of distinct states visited.
    pub states: usize,
    /// Length of the longest shortest path.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// First violation found, if any.
    pub violation: Option<Violation<E>>,
}

struct Visit<E> {
    parent: Option<(u128, E)>,
    depth: usize,
}

/// Explores `model` until a violation, the end, or `max_states` states.
///
/// States are told apart by a 128-bit hash, so their `Hash` must cover everything that matters.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report<M::Event> {
    let mut visits: HashMap<u128, Visit<M::Event>> = HashMap::new();
    let mut layer: Vec<(u128, M::State)> = Vec::new();
    for state in model.initial() {
        let id = fingerprint(&state);
        visits.insert(id, Visit { parent: None, depth: 0 });
        layer.push((id, state));
    }
    let mut depth = 0;
    while !layer.is_empty() {
        let mut following = Vec::new();
        for (id, state) in layer {
            if let Err(message) = model.check(&state) {
                let violation = Some(Violation { message, trace: trace(&visits, id) });
                return Report { states: visits.len(), depth, complete: false, violation };
            }
            for event in model.events(&state) {
                let next = model.next(&state, &event);
                let next_id = fingerprint(&next);
                if visits.contains_key(&next_id) {
                    continue;
                }
                visits.insert(next_id, Visit { parent: Some((id, event)), depth: depth + 1 });
                following.push((next_id, next));
            }
            if visits.len() > max_states {
                return Report { states: visits.len(), depth, complete: false, violation: None };
            }
        }
        layer = following;
        depth += 1;
    }
    let depth = visits.values().map(|visit| visit.depth).max().unwrap_or(0);
    Report { states: visits.len(), depth, complete: true, violation: None }
}

fn fingerprint<S: Hash>(state: &S) -> u128 {
    let mut hasher = Xxh3::new();
    state.hash(&mut hasher);
    hasher.digest128()
}

fn trace<E: Clone>(visits: &HashMap<u128, Visit<E>>, mut id: u128) -> Vec<E> {
    let mut events = Vec::new();
    while let Some((parent, event)) = &visits[&id].parent {
        events.push(event.clone());
        id = *parent;
    }
    events.reverse();
    events
}
