//! A breadth-first explorer of all states that a model can reach.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

/// A system whose states are explored.
pub trait Model {
    /// One state of the system.
    type State: Clone;

    /// Returns the first state.
    fn initial(&self) -> Self::State;

    /// Returns a text that is equal for states that behave alike.
    fn key(&self, state: &Self::State) -> String;

    /// Returns every step that is possible in `state`, with the state it leads to or the fault
    /// that the step shows.
    fn steps(&self, state: &Self::State) -> Vec<(String, Result<Self::State, String>)>;

    /// Checks a state.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// A fault with the steps that lead to it.
pub struct Counterexample {
    /// What is wrong.
    pub fault: String,
    /// Steps from the first state.
    pub trace: Vec<String>,
}

/// What an exploration without a fault has covered.
pub struct Explored {
    /// Different states.
    pub states: usize,
    /// Steps between them.
    pub steps: usize,
}

impl fmt::Debug for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.fault)?;
        self.trace.iter().try_for_each(|step| writeln!(f, "  {step}"))
    }
}

impl fmt::Debug for Explored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, {} steps", self.states, self.steps)
    }
}

type Parents = Vec<Option<(usize, String)>>;

/// Explores all states; stops with an error when there are more than `limit`.
pub fn explore<M: Model>(model: &M, limit: usize) -> Result<Explored, Counterexample> {
    let mut seen: HashMap<u128, usize> = HashMap::new();
    let mut parents: Parents = vec![None];
    let mut queue = VecDeque::new();
    let mut steps = 0;
    let initial = model.initial();
    seen.insert(digest(&model.key(&initial)), 0);
    check(model, &initial, &parents, 0)?;
    queue.push_back((0, initial));
    while let Some((id, state)) = queue.pop_front() {
        for (label, next) in model.steps(&state) {
            steps += 1;
            let next = match next {
                Ok(next) => next,
                Err(fault) => return Err(counterexample(fault, &parents, id, Some(label))),
            };
            let next_id = parents.len();
            if *seen.entry(digest(&model.key(&next))).or_insert(next_id) != next_id {
                continue;
            }
            parents.push(Some((id, label)));
            check(model, &next, &parents, next_id)?;
            assert!(parents.len() <= limit, "more than {limit} states");
            queue.push_back((next_id, next));
        }
    }
    Ok(Explored { states: parents.len(), steps })
}

fn digest(key: &str) -> u128 {
    xxhash_rust::xxh3::xxh3_128(key.as_bytes())
}

fn check<M: Model>(
    model: &M,
    state: &M::State,
    parents: &Parents,
    id: usize,
) -> Result<(), Counterexample> {
    model.check(state).map_err(|fault| counterexample(fault, parents, id, None))
}

fn counterexample(
    fault: String,
    parents: &Parents,
    mut id: usize,
    last: Option<String>,
) -> Counterexample {
    let mut trace: Vec<String> = last.into_iter().collect();
    while let Some((parent, label)) = &parents[id] {
        trace.push(label.clone());
        id = *parent;
    }
    trace.reverse();
    Counterexample { fault, trace }
}
