//! Prints how the cost of membership and agreement grows with the size of the fleet.
//!
//! `cargo run --release -p oleandertiller-fleet --example slopes [-- SEED]`

use oleandertiller_fleet::measure::{spread, steady_state};

/// Seconds of virtual time of each steady state.
const STEADY_SECONDS: u32 = 60;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    // Largest first: memory freed by one size would hide the state of the next.
    println!("records  nodes  msg/s  B/s    state/node  tick      datagram  core     snapshot");
    for records in [17_000, 5_000, 1_000, 100] {
        let slope = steady_state(records, STEADY_SECONDS, seed);
        println!(
            "{:7}  {:5}  {:5.2}  {:5.0}  {:7.2} MB  {:6.1} us  {:6.1} us  {:.4}%  {:6.2} MB",
            slope.records,
            slope.nodes,
            slope.messages_per_second,
            slope.bytes_per_second,
            slope.state_bytes as f64 / 1e6,
            slope.tick.as_nanos() as f64 / 1e3,
            slope.datagram.as_nanos() as f64 / 1e3,
            slope.core_share * 100.0,
            slope.snapshot_bytes as f64 / 1e6,
        );
    }
    println!("\nnodes  intent at half  intent at all  record at all");
    for nodes in [100, 300, 1_000, 2_000] {
        let spread = spread(nodes, seed);
        println!(
            "{:5}  {:11.2} s  {:10.2} s  {:10.2} s",
            spread.nodes,
            spread.intent_half.as_secs_f64(),
            spread.intent_all.as_secs_f64(),
            spread.record_all.as_secs_f64(),
        );
    }
}
