//! Tests of the checks on the records of upstreams.

use oleandertiller_bench::checks::Checks;
use oleandertiller_standin::Record;

/// Guards against a second run of a key that is missed because it was at another upstream.
#[test]
fn finds_keys_that_ran_at_two_upstreams() {
    let ran = |keys: &[(&str, u32)]| Record {
        keys: keys.iter().map(|(key, runs)| ((*key).to_owned(), *runs)).collect(),
        ..Record::default()
    };
    let once = [ran(&[("a", 1), ("b", 1)]), ran(&[("c", 1)])];
    assert_eq!(Checks::of(&once).run_twice, 0);
    let twice = [ran(&[("a", 1), ("b", 2)]), ran(&[("a", 1), ("c", 1)])];
    assert_eq!(Checks::of(&twice).run_twice, 2);
}

/// Guards against sums that leave out an upstream or a run.
#[test]
fn sums_late_work_over_the_upstreams() {
    let record = |count| Record {
        cold_excess: count,
        run_zone_out_late: count * 10,
        run_draining_late: count * 100,
        ..Record::default()
    };
    let mut checks = Checks::of(&[record(1), record(2)]);
    checks.add(Checks::of(&[record(3)]));
    let sums = (checks.cold_excess, checks.zone_out_late, checks.draining_late);
    assert_eq!(sums, (6, 60, 600));
}
