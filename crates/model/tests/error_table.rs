//! The table of error kinds is complete and consistent.

use std::collections::HashSet;

use oleandertiller_model::{ErrorKind, Outcome};

/// Guards against two kinds that clients cannot tell apart.
#[test]
fn names_are_unique() {
    let names: HashSet<_> = ErrorKind::ALL.iter().map(|kind| kind.answer().name).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

/// Guards against an outcome that says "not run" for a kind that does not prove it.
#[test]
fn outcome_follows_the_table() {
    for kind in ErrorKind::ALL {
        let expected = match kind.answer().not_run {
            true => Outcome::NotRun(*kind),
            false => Outcome::Unknown(*kind),
        };
        assert_eq!(kind.outcome(), expected);
    }
}
