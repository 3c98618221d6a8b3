//! Invariants and their breaches.

use std::{fmt, time::Duration};

/// An invariant by its number in the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Invariant {
    /// Measuring stays within its budget.
    Measuring = 1,
    /// A cold server gets no more than it bears.
    ColdServer = 2,
    /// A zone that is out gets no new work after 3 s.
    ZoneOut = 3,
    /// A client gets the complete answer to its own request.
    OwnAnswer = 5,
    /// A refusal that says "not run" is true.
    NotRun = 6,
    /// A release or booking runs at most once.
    AtMostOnce = 7,
    /// A leaving upstream gets no new work after 3 s.
    Leaving = 8,
    /// A planned stop interrupts nothing.
    PlannedStop = 9,
    /// An accepted configuration is in force in time and never reverts.
    Configuration = 10,
}

/// A breach of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which invariant.
    pub invariant: Invariant,
    /// When, from the start of the schedule.
    pub at: Duration,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self.invariant as u8;
        let at = self.at.as_secs_f64();
        write!(f, "invariant {number} ({:?}) at {at:.4} s: {}", self.invariant, self.text)
    }
}
