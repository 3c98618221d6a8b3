//! Load generation for the example deployments: seeded arrivals, clients that check their answers,
//! and statistics of the results.
//!
//! The load is open-loop: arrivals follow a seeded schedule whether or not earlier answers have
//! come, and latency counts from the intended start, so that a stalled server gets no
//! fewer requests and its delay shows in the latency.

pub mod arrivals;
pub mod checks;
pub mod load;
pub mod stats;
pub mod workload;
