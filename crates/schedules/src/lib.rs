//! Random fault schedules over the decision libraries of oleandertiller, in virtual time.
//!
//! A seed determines the deployment (one of the two examples), clients, operators and faults. The
//! real libraries (selection, limits, budgets, ledger, membership, intent, freshness) decide; a
//! minimal copy of the node's driver ([`driver`]) connects them over a simulated network and store.
//! The invariants of design section 1.2 are checked while the schedule runs, except invariant 4
//! (rollouts). The simulation does not model capacity: service times are random and cost no
//! processor time.

mod checks;
mod driver;
mod executor;
mod fault;
mod mutant;
mod schedule;
mod simulation;
mod store;
mod traffic;
mod upstream;
mod violation;

use std::{collections::BTreeMap, time::Duration};

pub use mutant::Mutant;
pub use violation::{Invariant, Violation};

/// Options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Mechanism that is disabled, if any.
    pub mutant: Option<Mutant>,
    /// Whether the report contains a trace.
    pub trace: bool,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// Length in virtual time.
    pub length: Duration,
    /// Violations of invariants, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Number of answers to clients, by outcome.
    pub answered: BTreeMap<&'static str, u64>,
    /// Number of probes sent.
    pub probes: u64,
    /// Number of gossip datagrams sent.
    pub datagrams: u64,
    /// Lines of the trace; empty unless [`Options::trace`] is set.
    pub trace: Vec<String>,
}

/// Runs the schedule that `seed` determines.
pub fn run(seed: u64, options: Options) -> Report {
    schedule::run(seed, options)
}
