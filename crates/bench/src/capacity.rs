//! Measurements of how the cost of the parts of a node grows with size, from which
//! `docs/CAPACITY.md` is computed.
//!
//! Each module runs the real code of a part at a given size on one machine and returns a row of
//! results.

pub mod calls;
pub mod document;
pub mod ledger;
pub mod nodes;
pub mod sample;
pub mod store;

use std::time::{Duration, Instant};

/// Returns the shortest of `rounds` runs of `work`, since other load on the machine can only make a
/// run longer.
pub fn shortest_time<T>(rounds: u32, mut work: impl FnMut() -> T) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..rounds {
        let start = Instant::now();
        let result = work();
        shortest = shortest.min(start.elapsed());
        drop(std::hint::black_box(result));
    }
    shortest
}
