//! Tests the checks on the records of upstreams.

use oleandertiller_load::checks::false_not_run;
use oleandertiller_standin::Record;

/// Guards against a check that misses false "not run" answers: an id that any upstream ran
/// counts, one that none ran does not.
#[test]
fn false_not_run_counts_ids_that_ran() {
    let record = |ids: &[&str]| Record {
        requests: ids.iter().map(|id| ((*id).to_owned(), 1)).collect(),
        ..Record::default()
    };
    let records = [record(&["a", "b"]), record(&["c"])];
    let not_run = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<Vec<_>>();
    assert_eq!(false_not_run(&not_run(&["c", "d"]), &records), 1);
    assert_eq!(false_not_run(&not_run(&["d", "e"]), &records), 0);
}
