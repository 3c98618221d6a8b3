//! Scripts of `tests/scenarios/*.scenario`, run against real processes under load.

mod check;
mod fleet;
mod links;
mod load;
mod moments;
mod revisions;
mod run;
mod watch;

use std::path::PathBuf;

use async_std::task;
use oleandertiller_language::scenario;

/// Runs a script and fails with its name, line, seed and the facts when it does not hold.
fn hold(name: &str) {
    let file = format!("{name}.scenario");
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests/scenarios", &file].iter().collect();
    let script = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{file}: {e}"));
    let parsed = scenario::parse(&script).unwrap_or_else(|errors| {
        let errors: Vec<_> = errors.iter().map(|e| format!("line {}: {e}", e.line)).collect();
        panic!("{file}:\n{}", errors.join("\n"))
    });
    run(&file, parsed, &script);
}

fn run(file: &str, parsed: scenario::Scenario, script: &str) {
    let report = task::block_on(async {
        let run = run::Run::of(parsed).await;
        check::report(&run.0, script).await
    });
    println!("{file}\n{}", report.facts);
    assert!(report.failures.is_empty(), "{file}\n{}", report.failures.join("\n"));
}

/// Runs a script with faults at random moments.
fn hold_at_moments(seed: u32) {
    let scenario = moments::scenario(seed);
    let script = scenario.to_string();
    println!("{script}");
    run("faults at random moments", scenario, &script);
}

/// Guards against faults that matter only together or in an order that no script has.
#[test]
fn random_moments_seed_31() {
    hold_at_moments(31);
}

/// Guards against the same as the test before, with other moments.
#[test]
fn random_moments_seed_32() {
    hold_at_moments(32);
}

macro_rules! scripts {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            hold(&stringify!($name).replace('_', "-"));
        }
    )*};
}

scripts! {
    /// Guards against nodes that learn of a command from the store only.
    zone_out_store_down;
    /// Guards against a node that goes on after a pause with the configuration from before it.
    zone_out_paused_node;
    /// Guards against a node that runs new work in a zone that left while it was cut off.
    zone_out_cut_off_node;
    /// Guards against new work in a zone that left while all of it was cut off.
    zone_out_cut_off_zone;
    /// Guards against work for upstreams that leave, and planned stops that interrupt requests.
    drain_and_stop;
    /// Guards against a departure that other nodes learn of through the store only.
    drain_store_down;
    /// Guards against keys that are forgotten with the process that kept them.
    keepers_restart;
    /// Guards against keys that are lost between a planned stop and a crash.
    keepers_stop_and_kill;
    /// Guards against a retry, or a refusal as not run, of what a killed node had handed over.
    killed_in_flight;
    /// Guards against answers that reach another request or arrive cut short.
    late_answers;
    /// Guards against work that depends on the store after the start.
    store_down;
    /// Guards against commands that are lost, applied twice or undone when answers are lost.
    racing_commands;
    /// Guards against nodes that keep, or return to, an old configuration after a partition.
    partition_heals;
    /// Guards against an owner that admits more than a cold server can handle.
    cold_restart;
    /// Guards against calls for measuring over the budget.
    measuring_budget;
}
