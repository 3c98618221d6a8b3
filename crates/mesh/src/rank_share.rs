//! The share of an owner's starts that goes to requests of lower priority.
//!
//! Requests start in order of priority while capacity is short. Without an exception, a route whose
//! rank never comes first would not be served at all. This handles a service whose urgent requests
//! alone exceed its capacity for seconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission_queue::{Priority, PriorityClass};

/// Share of the starts that goes to lower priorities. Users require that no route is served less
/// than a quarter as often as all routes together: a route with the part `x` of the demand then
/// needs `x / 4` of the starts. This is enough for all lower priorities together if the highest one
/// has a fifth of the demand.
pub const LOWER_SHARE: f64 = 0.2;

/// Starts that are owed to lower priorities for each start that was not owed.
const PER_START: f64 = LOWER_SHARE / (1.0 - LOWER_SHARE);

/// Divides [`LOWER_SHARE`]: of `n` lower priorities, the weight of the first is this times `n`, and
/// decreases by one from each to the next. All need nearly the same if their demand is the same. In
/// proportion to the queue, the lowest would get most, as its requests wait longest.
const FIRST_WEIGHT: usize = 3;

/// Maximum number of starts that a priority is owed, so that it gets no burst after a pause.
const MAX_OWED: f64 = 2.0;

/// Starts that are owed to priorities that others have passed.
#[derive(Clone, Debug, Default)]
pub struct RankShare {
    owed: BTreeMap<Priority, f64>,
}

impl RankShare {
    /// Records the start of a request of priority `started` while requests of the priorities in
    /// `waiting` wait; `due` tells whether it was owed. Requests whose answers will be late are owed
    /// nothing.
    pub fn on_start(&mut self, started: Priority, due: bool, waiting: &BTreeSet<Priority>) {
        if let Some(owed) = self.owed.get_mut(&started) {
            *owed = (*owed - 1.0).max(0.0);
        }
        self.owed.retain(|priority, _| waiting.contains(priority));
        if due {
            return;
        }
        let lower = waiting.iter().filter(|priority| **priority > started);
        let lower: Vec<_> = lower.filter(|(class, _)| *class <= PriorityClass::Timely).collect();
        let weight = |index| FIRST_WEIGHT * lower.len() - index;
        let total: usize = (0..lower.len()).map(weight).sum();
        for (index, priority) in lower.iter().enumerate() {
            let share = PER_START * weight(index) as f64 / total as f64;
            let owed = self.owed.entry(**priority).or_default();
            *owed = (*owed + share).min(MAX_OWED);
        }
    }

    /// Returns the highest priority that is owed a start.
    pub fn due(&self) -> Option<Priority> {
        let due = self.owed.iter().find(|(_, owed)| **owed >= 1.0);
        due.map(|(priority, _)| *priority)
    }
}
