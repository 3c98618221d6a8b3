//! Runs the scripts `tests/scenarios/*.scenario` against real processes under load.

mod check;
mod fleet;
mod links;
mod load;
mod random_faults;
mod revisions;
mod run;
mod samples;

use std::path::PathBuf;

use async_std::task;
use oleandertiller_language::scenario;

/// Parses and runs a script. Failures name the script, the line and the seed.
fn run_script(name: &str) {
    let file = format!("{name}.scenario");
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests/scenarios", &file].iter().collect();
    let script = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{file}: {e}"));
    let parsed = scenario::parse(&script).unwrap_or_else(|errors| {
        let errors: Vec<_> = errors.iter().map(|e| format!("line {}: {e}", e.line)).collect();
        panic!("{file}:\n{}", errors.join("\n"))
    });
    run_and_check(&file, parsed, &script);
}

fn run_and_check(name: &str, scenario: scenario::Scenario, script: &str) {
    let report = task::block_on(async {
        let guard = run::Run::execute(scenario).await;
        check::report(&guard.0, script).await
    });
    println!("{name}\n{}", report.summary);
    assert!(report.failures.is_empty(), "{name}\n{}", report.failures.join("\n"));
}

/// Runs a script with random faults at random times.
fn run_with_random_faults(seed: u32) {
    let scenario = random_faults::scenario(seed);
    let script = scenario.to_string();
    println!("{script}");
    run_and_check("faults at random moments", scenario, &script);
}

/// Guards against failures that need a combination or order of faults which no script has.
#[test]
fn random_moments_seed_31() {
    run_with_random_faults(31);
}

/// Guards against the same failures as seed 31, with other faults and times.
#[test]
fn random_moments_seed_32() {
    run_with_random_faults(32);
}

macro_rules! scripts {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run_script(&stringify!($name).replace('_', "-"));
        }
    )*};
}

scripts! {
    /// Guards against nodes that learn of a command only from the store, and not from each other.
    zone_out_store_down;
    /// Guards against a node that accepts work after a pause with the configuration from before it.
    zone_out_paused_node;
    /// Guards against a partitioned node that accepts work after its zone was taken out of service.
    zone_out_cut_off_node;
    /// Guards against new work in a zone that was taken out of service while all of it was
    /// partitioned.
    zone_out_cut_off_zone;
    /// Guards against new work for draining upstreams, and graceful shutdowns that interrupt
    /// requests.
    drain_and_stop;
    /// Guards against drains and shutdowns that other nodes learn of only through the store.
    drain_store_down;
    /// Guards against idempotency keys that are lost when the process of their keeper is killed.
    keepers_restart;
    /// Guards against idempotency keys that are lost when one keeper stops while another is killed.
    keepers_stop_and_kill;
    /// Guards against a request that is retried or reported as not run, although a node that was
    /// killed had already passed it to an upstream.
    killed_in_flight;
    /// Guards against answers that reach another request or are incomplete.
    late_answers;
    /// Guards against requests that need the store once the fleet has started.
    store_down;
    /// Guards against commands that are lost, applied twice or undone when answers are lost.
    racing_commands;
    /// Guards against nodes that keep, or return to, an old configuration after a partition.
    partition_heals;
    /// Guards against an owner that admits more requests than a cold upstream can handle.
    cold_restart;
    /// Guards against measuring calls in excess of the budget.
    measuring_budget;
}
