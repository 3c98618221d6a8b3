//! The share of an owner's starts that goes to requests of lower priority.
//!
//! Requests start in order of priority while capacity is short. Without an exception, a route whose
//! rank never comes first would not be served at all. This handles a service whose urgent requests
//! alone exceed its capacity for seconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission_queue::{Priority, PriorityClass};

/// Share of the starts that goes to lower priorities. Users require that no route is served less
/// than a quarter as often as all routes together: a route with the part `x` of the demand then
/// needs `x / 4` of the starts, and all routes with a lower priority together less than a quarter.
pub const LOWER_SHARE: f64 = 0.25;

/// Part of [`LOWER_SHARE`] that goes to the highest of the lower priorities; the next one gets the
/// same part of the rest. In proportion to the queue, the lowest would get most, as its requests
/// wait longest.
const NEXT_PART: f64 = 0.6;

/// Maximum number of starts that a priority is owed, so that it gets no burst after a pause.
const MAX_OWED: f64 = 1.0;

/// Starts that are owed to priorities that others have passed.
#[derive(Clone, Debug, Default)]
pub struct RankShare {
    owed: BTreeMap<Priority, f64>,
}

impl RankShare {
    /// Records the start of a request of priority `started` while requests of the priorities in
    /// `waiting` wait. Those whose answers will be late are owed nothing.
    pub fn on_start(&mut self, started: Priority, waiting: &BTreeSet<Priority>) {
        if let Some(owed) = self.owed.get_mut(&started) {
            *owed = (*owed - 1.0).max(0.0);
        }
        self.owed.retain(|priority, _| waiting.contains(priority));
        let mut rest = LOWER_SHARE;
        let lower = waiting.iter().filter(|priority| **priority > started);
        for priority in lower.filter(|(class, _)| *class <= PriorityClass::Timely) {
            let owed = self.owed.entry(*priority).or_default();
            *owed = (*owed + rest * NEXT_PART).min(MAX_OWED);
            rest *= 1.0 - NEXT_PART;
        }
    }

    /// Returns the highest priority that is owed a start.
    pub fn due(&self) -> Option<Priority> {
        let due = self.owed.iter().find(|(_, owed)| **owed >= MAX_OWED);
        due.map(|(priority, _)| *priority)
    }
}
