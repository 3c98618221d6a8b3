//! Regression tests for faults that random schedules found.

use oleandertiller_schedules::{Options, run};

/// Guards against answers of the only reachable member of a zone that each cause further pings,
/// which sent over 200,000 datagrams within a second and never stopped.
#[test]
fn pings_to_the_last_member_of_a_zone_do_not_multiply() {
    let report = run(1, Options::default());
    let per_node_second = report.datagrams as f64 / 8.0 / report.length.as_secs_f64();
    assert!(per_node_second < 20.0, "{per_node_second} datagrams per node and second");
}

/// Guards against answering `not-run` to a request that ran and failed at the first owner when the
/// second owner cannot be reached.
#[test]
fn a_refusal_after_a_failed_run_does_not_say_not_run() {
    let report = run(308, Options::default());
    assert!(report.violations.is_empty(), "{:?}", report.violations);
}
