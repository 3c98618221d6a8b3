//! Random fault schedules over the decision parts of oleandertiller, in virtual time.
//!
//! A seed draws a fleet of one of the two example deployments, clients, operators and faults. The
//! real parts (selection, limits, budgets, ledger, membership, intent, freshness) decide; a thin
//! copy of the node's driver ([`glue`]) connects them over a simulated network and store. The
//! invariants of design section 1.2 are checked while the schedule runs, except invariant 4
//! (rollouts). It is no model of capacity: service times are drawn and cost no processor time.

mod checks;
mod exec;
mod fault;
mod glue;
mod mutant;
mod schedule;
mod store;
mod traffic;
mod upstream;
mod violation;
mod world;

use std::{collections::BTreeMap, time::Duration};

pub use mutant::Mutant;
pub use violation::{Invariant, Violation};

/// How a schedule is run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Mechanism that is switched off, if any.
    pub mutant: Option<Mutant>,
    /// Whether a trace is kept.
    pub trace: bool,
}

/// What a schedule showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// Virtual length.
    pub length: Duration,
    /// Breaches of invariants, in order.
    pub violations: Vec<Violation>,
    /// Answers to clients by outcome.
    pub answered: BTreeMap<&'static str, u64>,
    /// Probes sent.
    pub probes: u64,
    /// Gossip datagrams sent.
    pub datagrams: u64,
    /// The trace, when one was kept.
    pub trace: Vec<String>,
}

/// Runs the schedule that `seed` draws.
pub fn run(seed: u64, options: Options) -> Report {
    schedule::run(seed, options)
}
