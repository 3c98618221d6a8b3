//! Exhaustive breadth-first exploration of small models.
//!
//! A model names its initial states and the steps that are possible in a state. [`explore`] visits
//! every reachable state once and reports the shortest sequence of steps that leads to a violated
//! invariant.

use std::{collections::HashMap, fmt::Debug, hash::Hash};

use xxhash_rust::xxh3::Xxh3;

/// An event with the state after it, or with the invariant that it violates.
pub type Step<M> = (<M as Model>::Event, Result<<M as Model>::State, String>);

/// A system that can be explored.
pub trait Model {
    /// State of the whole system.
    type State: Clone;
    /// Something that can happen.
    type Event: Clone + Debug;

    /// Returns the states to start from.
    fn initial(&self) -> Vec<Self::State>;

    /// Returns every event that is possible in `state`, with the state after it, or with the
    /// invariant that the event itself violates.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self>>;

    /// Returns a digest that is equal only for states that behave alike; see [`digest`].
    fn fingerprint(&self, state: &Self::State) -> u128;

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
}

/// Returns the digest of a value whose `Hash` covers everything that matters.
pub fn digest<T: Hash + ?Sized>(value: &T) -> u128 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.digest128()
}

struct Exploration<E> {
    visits: HashMap<u128, Visit<E>>,
    depth: usize,
}

impl<E: Clone> Exploration<E> {
    fn report(self, complete: bool, violation: Option<Violation<E>>) -> Report<E> {
        Report { states: self.visits.len(), depth: self.depth, complete, violation }
    }

    fn violated(self, id: u128, last: Option<E>, message: String) -> Report<E> {
        let mut trace = trace(&self.visits, id);
        trace.extend(last);
        self.report(false, Some(Violation { message, trace }))
    }
}

/// Explores `model` until a violation, the end, or `max_states` states.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report<M::Event> {
    let mut found = Exploration { visits: HashMap::new(), depth: 0 };
    let mut layer: Vec<(u128, M::State)> = Vec::new();
    for state in model.initial() {
        let id = model.fingerprint(&state);
        found.visits.insert(id, Visit { parent: None });
        layer.push((id, state));
    }
    while !layer.is_empty() {
        let mut following = Vec::new();
        for (id, state) in layer {
            if let Err(message) = model.check(&state) {
                return found.violated(id, None, message);
            }
            for (event, next) in model.steps(&state) {
                let next = match next {
                    Ok(next) => next,
                    Err(message) => return found.violated(id, Some(event), message),
                };
                let next_id = model.fingerprint(&next);
                if found.visits.contains_key(&next_id) {
                    continue;
                }
                found.visits.insert(next_id, Visit { parent: Some((id, event)) });
                following.push((next_id, next));
            }
            if found.visits.len() > max_states {
                return found.report(false, None);
            }
        }
        found.depth += usize::from(!following.is_empty());
        layer = following;
    }
    found.report(true, None)
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
