//! Benchmarks of oleandertiller: starts fleets of processes, measures their resources and draws
//! plots. The load generator is `oleandertiller-load`.

pub mod capacity;
pub mod fleet;
pub mod plot;
pub mod process;
pub mod settings;

pub use oleandertiller_load::{arrivals, checks, load, stats, workload};
