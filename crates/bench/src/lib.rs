//! Experiment tool for oleandertiller: fleets of processes, their resources, and plots. The load
//! is that of `oleandertiller-load`.

pub mod capacity;
pub mod fleet;
pub mod plot;
pub mod process;
pub mod settings;

pub use oleandertiller_load::{arrivals, checks, load, stats, workload};
