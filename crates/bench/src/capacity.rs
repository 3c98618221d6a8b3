//! Slopes of the parts of a node, from which `docs/CAPACITY.md` is worked out.
//!
//! Each module runs the real parts at growing sizes on one machine and returns rows of figures.

pub mod calls;
pub mod document;
pub mod ledger;
pub mod nodes;
pub mod sample;
pub mod store;

use std::time::{Duration, Instant};

/// Returns the shortest time of one run of `work` out of `rounds`; other work on the machine only
/// makes a run longer.
pub fn shortest<T>(rounds: u32, mut work: impl FnMut() -> T) -> Duration {
    let mut best = Duration::MAX;
    for _ in 0..rounds {
        let start = Instant::now();
        let result = work();
        best = best.min(start.elapsed());
        drop(std::hint::black_box(result));
    }
    best
}
