//! Load and experiment tool for oleandertiller.
//!
//! The load is open-loop: arrivals follow a seeded schedule whether or not earlier answers have
//! come, and latency counts from the intended start, so that a stalled server is not spared
//! requests and its delay is not hidden.

pub mod arrivals;
pub mod capacity;
pub mod checks;
pub mod fleet;
pub mod load;
pub mod plot;
pub mod process;
pub mod settings;
pub mod stats;
pub mod workload;
