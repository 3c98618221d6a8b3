//! Load on the example deployments: seeded open-loop arrivals, clients that check their answers,
//! and what they saw.
//!
//! The load is open-loop: arrivals follow a seeded schedule whether or not earlier answers have
//! come, and latency counts from the intended start, so that a stalled server is not spared
//! requests and its delay is not hidden.

pub mod arrivals;
pub mod checks;
pub mod load;
pub mod stats;
pub mod workload;
