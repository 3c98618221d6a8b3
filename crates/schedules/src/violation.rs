//! Invariants and their violations.

use std::{fmt, time::Duration};

/// An invariant, numbered as in design section 1.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Invariant {
    /// Probes stay within the measuring budget.
    Measuring = 1,
    /// A cold upstream gets no more requests at once than it can serve.
    ColdUpstream = 2,
    /// A zone that is out gets no new requests after 3 s.
    ZoneOut = 3,
    /// A client gets the complete answer to its own request.
    OwnAnswer = 5,
    /// A request that is answered `not-run` has not run and does not run later.
    NotRun = 6,
    /// An operation of an at-most-once kind runs at most once.
    AtMostOnce = 7,
    /// A leaving upstream gets no new requests after 3 s.
    Leaving = 8,
    /// A planned stop interrupts no request.
    PlannedStop = 9,
    /// An accepted change of the intent is in force in time and is never reverted.
    Configuration = 10,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Virtual time since the start of the schedule.
    pub at: Duration,
    /// Description of what happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self.invariant as u8;
        let at = self.at.as_secs_f64();
        write!(f, "invariant {number} ({:?}) at {at:.4} s: {}", self.invariant, self.text)
    }
}
