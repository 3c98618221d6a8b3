//! Exhaustive breadth-first exploration of small models.
//!
//! A [`Model`] returns its initial states and the steps that are possible in a state. [`explore`]
//! visits every reachable state once, and reports the shortest sequence of steps that violates an
//! invariant.

use std::{collections::HashMap, fmt::Debug, hash::Hash};

use xxhash_rust::xxh3::Xxh3;

/// An event with the state after it, or with the invariant that it violates.
pub type Step<M> = (<M as Model>::Event, Result<<M as Model>::State, String>);

/// A system given by its initial states, its steps and its invariants.
pub trait Model {
    /// State of the whole system at one moment.
    type State: Clone;
    /// Label of a step, shown in the trace of a violation.
    type Event: Clone + Debug;

    /// Returns the initial states.
    fn initial(&self) -> Vec<Self::State>;

    /// Returns every event that is possible in `state`, with the state after it, or with the
    /// invariant that the event itself violates.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self>>;

    /// Returns a digest that is equal only for states with the same behaviour; see [`digest`].
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
    /// The violated invariant.
    pub message: String,
    /// Shortest sequence of events that leads to it.
    pub trace: Vec<E>,
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Report<E> {
    /// Number of distinct states visited.
    pub states: usize,
    /// Largest number of steps that a visited state needs from an initial one.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// First violation found, if any.
    pub violation: Option<Violation<E>>,
}

/// A visited state.
struct Visit<E> {
    /// Fingerprint of the state before it and the event in between; `None` for an initial state.
    parent: Option<(u128, E)>,
}

/// Returns the digest of a value; its `Hash` must cover everything that affects behaviour.
pub fn digest<T: Hash + ?Sized>(value: &T) -> u128 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.digest128()
}

struct Exploration<E> {
    /// Visited states by fingerprint.
    visits: HashMap<u128, Visit<E>>,
    depth: usize,
}

impl<E: Clone> Exploration<E> {
    fn report(self, complete: bool, violation: Option<Violation<E>>) -> Report<E> {
        Report { states: self.visits.len(), depth: self.depth, complete, violation }
    }

    fn violation_report(self, id: u128, last: Option<E>, message: String) -> Report<E> {
        let mut trace = trace(&self.visits, id);
        trace.extend(last);
        self.report(false, Some(Violation { message, trace }))
    }
}

/// Explores `model` until a violation, the last reachable state, or more than `max_states` states.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report<M::Event> {
    let mut exploration = Exploration { visits: HashMap::new(), depth: 0 };
    let mut frontier: Vec<(u128, M::State)> = Vec::new();
    for state in model.initial() {
        let id = model.fingerprint(&state);
        exploration.visits.insert(id, Visit { parent: None });
        frontier.push((id, state));
    }
    while !frontier.is_empty() {
        let mut next_frontier = Vec::new();
        for (id, state) in frontier {
            if let Err(message) = model.check(&state) {
                return exploration.violation_report(id, None, message);
            }
            for (event, next) in model.steps(&state) {
                let next = match next {
                    Ok(next) => next,
                    Err(message) => return exploration.violation_report(id, Some(event), message),
                };
                let next_id = model.fingerprint(&next);
                if exploration.visits.contains_key(&next_id) {
                    continue;
                }
                exploration.visits.insert(next_id, Visit { parent: Some((id, event)) });
                next_frontier.push((next_id, next));
            }
            if exploration.visits.len() > max_states {
                return exploration.report(false, None);
            }
        }
        exploration.depth += usize::from(!next_frontier.is_empty());
        frontier = next_frontier;
    }
    exploration.report(true, None)
}

/// Returns the events that lead from an initial state to the state `id`.
fn trace<E: Clone>(visits: &HashMap<u128, Visit<E>>, mut id: u128) -> Vec<E> {
    let mut events = Vec::new();
    while let Some((parent, event)) = &visits[&id].parent {
        events.push(event.clone());
        id = *parent;
    }
    events.reverse();
    events
}
